package report

import (
	"cmp"
	"context"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cicadawharf/cicadawharf/internal/peers"
	"github.com/cicadawharf/cicadawharf/internal/wire"
)

type (
	// ReplicatorConfig configures a Replicator.
	ReplicatorConfig struct {
		Account  *Account
		Copies   *AccountStore
		Caller   peers.Caller
		Members  func(now time.Time) []peers.Member
		Every    time.Duration // interval of copies; SnapshotEvery if zero
		Timeout  time.Duration // of one call; 2 s if zero
		Replicas int           // number of hosts that hold a copy of an account; 2 if zero
		Log      *slog.Logger
	}

	// Replicator replicates accounts between hosts. A host copies its own account
	// to other live hosts of its zone, or of other zones if it is the only one of
	// its zone. It also copies the accounts that it holds of hosts that aren't
	// alive, so that counters survive the loss of one host after another. Only
	// rows that have changed are sent.
	Replicator struct {
		cfg ReplicatorConfig

		mu   sync.Mutex // guards sent; also serializes pushes
		sent map[copyKey]int64
	}

	// copyKey identifies the copy of an account on one incarnation of a host.
	// Replicator.sent maps it to the version of the AccountStore up to which the
	// copy is complete.
	copyKey struct {
		account     accountKey
		host        string
		incarnation uint64
	}

	// copyTask is one account to be sent to one host.
	copyTask struct {
		key   copyKey
		after int64 // version of the AccountStore up to which the copy is complete
		own   bool  // account of this host; sent even if unchanged, to show that the host is alive
	}
)

const (
	// SnapshotEvery is the default interval at which hosts send their accounts
	// to each other.
	SnapshotEvery = 5 * time.Second

	defaultReplicas    = 2
	defaultCopyTimeout = 2 * time.Second
)

// NewReplicator returns a Replicator that has sent nothing yet.
func NewReplicator(cfg ReplicatorConfig) *Replicator {
	cfg.Every = cmp.Or(cfg.Every, SnapshotEvery)
	cfg.Timeout = cmp.Or(cfg.Timeout, defaultCopyTimeout)
	cfg.Replicas = cmp.Or(cfg.Replicas, defaultReplicas)
	cfg.Log = cmp.Or(cfg.Log, slog.Default())
	return &Replicator{cfg: cfg, sent: make(map[copyKey]int64)}
}

// Register registers the handlers of calls from other hosts.
func (rp *Replicator) Register(rg peers.Registry) {
	peers.Handle(rg, peers.MethodPutAccount,
		func(_ context.Context, _ string, ac *wire.Account) (*wire.AccountList, error) {
			rp.cfg.Copies.Merge(ac)
			return &wire.AccountList{}, nil
		})
	peers.Handle(rg, peers.MethodGetAccounts,
		func(_ context.Context, _ string, req *wire.GetAccounts) (*wire.AccountList, error) {
			return &wire.AccountList{Accounts: rp.LocalAccounts(time.Now(), req.GetDay())}, nil
		})
}

// LocalAccounts returns the accounts that this host holds for a day, with a new
// snapshot of its own.
func (rp *Replicator) LocalAccounts(now time.Time, day string) []*wire.Account {
	rp.cfg.Copies.Merge(rp.cfg.Account.Snapshot(now))
	return rp.cfg.Copies.Accounts(day)
}

// Run sends changed rows at every interval until ctx ends.
func (rp *Replicator) Run(ctx context.Context) error {
	tk := time.NewTicker(rp.cfg.Every)
	defer tk.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-tk.C:
			rp.cfg.Copies.Merge(rp.cfg.Account.Snapshot(now))
			rp.cfg.Account.Forget(now)
			rp.cfg.Copies.Forget(now, rp.cfg.Account.location())
			rp.push(ctx, now)
		}
	}
}

// Close closes the account of this host and sends it for the last time, with
// all held accounts of hosts that aren't alive. It must be called after Run has
// returned and the last request has ended. It reports whether the account has
// reached a replica.
func (rp *Replicator) Close(ctx context.Context, now time.Time) bool {
	rp.cfg.Copies.Merge(rp.cfg.Account.Close(now))
	return rp.push(ctx, now) > 0
}

// Collect requests the accounts of a day from every host. It returns the accounts
// and the names of the hosts that failed to reply.
func (rp *Replicator) Collect(ctx context.Context, now time.Time, day string) (accounts []*wire.Account, missing []string) {
	return rp.collect(ctx, now, day, func(peers.Member) bool { return true })
}

// collect requests the accounts from the hosts that pass a filter.
func (rp *Replicator) collect(
	ctx context.Context, now time.Time, day string, include func(peers.Member) bool,
) (accounts []*wire.Account, missing []string) {
	members := slices.DeleteFunc(rp.cfg.Members(now), func(me peers.Member) bool { return !include(me) })
	replies := make([][]*wire.Account, len(members))
	errs := make([]error, len(members))
	var wg sync.WaitGroup
	for i, me := range members {
		wg.Go(func() { replies[i], errs[i] = rp.requestAccounts(ctx, me, day) })
	}
	wg.Wait()
	for i, me := range members {
		if errs[i] != nil {
			rp.cfg.Log.Warn("requesting the accounts of a host failed", "peer", me.Name, "error", errs[i])
			missing = append(missing, me.Name)
		}
		accounts = append(accounts, replies[i]...)
	}
	return accounts, missing
}

// requestAccounts returns the accounts that a host holds for a day. Its own account
// is as of now.
func (rp *Replicator) requestAccounts(ctx context.Context, me peers.Member, day string) ([]*wire.Account, error) {
	if me.Name == rp.cfg.Account.cfg.Host {
		return rp.LocalAccounts(time.Now(), day), nil
	}
	ctx, cancel := context.WithTimeout(ctx, rp.cfg.Timeout)
	defer cancel()
	reply := new(wire.AccountList)
	if err := rp.cfg.Caller.Call(ctx, me.Name, peers.MethodGetAccounts, &wire.GetAccounts{Day: day}, reply); err != nil {
		return nil, err
	}
	for _, ac := range reply.GetAccounts() {
		if ac.GetHost() == me.Name && ac.GetIncarnation() == me.Incarnation {
			ac.AtNanos = max(ac.GetAtNanos(), time.Now().UnixNano()) // the clocks of hosts may differ
		}
	}
	return reply.GetAccounts(), nil
}

// push sends all due copies, to all hosts concurrently, and returns how many
// hosts accepted the account of this host.
func (rp *Replicator) push(ctx context.Context, now time.Time) int {
	rp.mu.Lock()
	defer rp.mu.Unlock()
	members := rp.cfg.Members(now)
	byHost := make(map[string][]copyTask)
	for _, ct := range rp.dueCopies(members) {
		byHost[ct.key.host] = append(byHost[ct.key.host], ct)
	}
	rp.forgetCopies(members)
	var wg sync.WaitGroup
	var mu sync.Mutex
	accepted := 0
	for _, tasks := range byHost {
		wg.Go(func() {
			for _, ct := range tasks {
				version, ok := rp.send(ctx, ct)
				if !ok {
					return
				}
				mu.Lock()
				rp.sent[ct.key] = version
				if ct.own {
					accepted++
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return accepted
}

// dueCopies returns the copies that this host must send, its own account first.
// Hosts that are shutting down receive none.
func (rp *Replicator) dueCopies(members []peers.Member) []copyTask {
	self := rp.cfg.Account.cfg
	var candidates, remote []peers.Member
	alive := make(map[accountKey]bool)
	for _, me := range members {
		if !me.Alive {
			continue
		}
		alive[accountKey{me.Name, me.Incarnation}] = true
		switch {
		case me.Name == self.Host || me.Draining:
		case me.Zone == self.Zone:
			candidates = append(candidates, me)
		default:
			remote = append(remote, me)
		}
	}
	if len(candidates) == 0 {
		candidates = remote // this is the only host of its zone
	}
	own := accountKey{self.Host, self.Incarnation}
	tasks := rp.copyTasks(own, candidates, true)
	for _, key := range rp.cfg.Copies.keys() {
		if key != own && !alive[key] {
			tasks = append(tasks, rp.copyTasks(key, candidates, false)...)
		}
	}
	return tasks
}

// copyTasks returns the copies of one account.
func (rp *Replicator) copyTasks(key accountKey, candidates []peers.Member, own bool) []copyTask {
	var tasks []copyTask
	for _, me := range Replicas(key.host, candidates, rp.cfg.Replicas) {
		ck := copyKey{account: key, host: me.Name, incarnation: me.Incarnation}
		tasks = append(tasks, copyTask{key: ck, after: rp.sent[ck], own: own})
	}
	return tasks
}

// send sends the rows that have changed since the copy was last complete, and
// returns the version of the AccountStore up to which the copy is now complete.
func (rp *Replicator) send(ctx context.Context, ct copyTask) (version int64, ok bool) {
	ac, version, changed := rp.cfg.Copies.changes(ct.key.account, ct.after)
	if ac == nil || !changed && !ct.own {
		return version, true
	}
	ctx, cancel := context.WithTimeout(ctx, rp.cfg.Timeout)
	defer cancel()
	if err := rp.cfg.Caller.Call(ctx, ct.key.host, peers.MethodPutAccount, ac, new(wire.AccountList)); err != nil {
		rp.cfg.Log.Warn("copying an account failed", "account", ct.key.account.host, "peer", ct.key.host, "error", err)
		return 0, false
	}
	return version, true
}

// forgetCopies deletes the state of copies on hosts that are no longer members, and
// of accounts that the AccountStore has forgotten.
func (rp *Replicator) forgetCopies(members []peers.Member) {
	known := make(map[accountKey]bool)
	for _, me := range members {
		known[accountKey{me.Name, me.Incarnation}] = true
	}
	maps.DeleteFunc(rp.sent, func(ck copyKey, _ int64) bool {
		return !known[accountKey{ck.host, ck.incarnation}] || !rp.cfg.Copies.has(ck.account)
	})
}

// Replicas returns the hosts that hold the copies of a host's account. It uses
// rendezvous hashing, so that few copies move when hosts join or leave.
func Replicas(owner string, candidates []peers.Member, count int) []peers.Member {
	hs := slices.Clone(candidates)
	slices.SortFunc(hs, func(a, b peers.Member) int {
		return cmp.Or(cmp.Compare(weight(owner, b.Name), weight(owner, a.Name)), cmp.Compare(a.Name, b.Name))
	})
	return hs[:min(count, len(hs))]
}

// weight returns the rendezvous hash of a candidate for the copies of an owner's
// account; the candidates with the largest weights hold them.
func weight(owner, candidate string) uint64 { return xxhash.Sum64String(owner + "\x00" + candidate) }
