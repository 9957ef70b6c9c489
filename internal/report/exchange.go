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
	// ExchangeConfig describes an Exchange.
	ExchangeConfig struct {
		Account  *Account
		Ledger   *Ledger
		Caller   peers.Caller
		Members  func(now time.Time) []peers.Member
		Every    time.Duration // SnapshotEvery if zero
		Timeout  time.Duration // of one call
		Replicas int           // hosts of the zone that hold a copy of an account
		Log      *slog.Logger
	}

	// Exchange copies accounts between hosts. Every account has its replicas
	// among the living hosts of its zone. A host copies its own account there,
	// and those that it holds of hosts that have gone, so that counters
	// outlive one host after the other. Only rows that have changed travel.
	Exchange struct {
		cfg ExchangeConfig

		mu   sync.Mutex // guards sent; pushes are made one after another
		sent map[copyKey]int64
	}

	// copyKey names the copy of an account at one incarnation of a host. The
	// value is the version of the ledger that the copy is complete up to.
	copyKey struct {
		account     accountKey
		host        string
		incarnation uint64
	}

	// copyTask is one account that one host is to be sent.
	copyTask struct {
		key    copyKey
		after  int64 // version of the ledger that the copy is complete up to
		always bool  // sent even if no row has changed, to tell that the host lives
	}
)

const (
	defaultReplicas        = 2
	defaultExchangeTimeout = 2 * time.Second
)

// NewExchange returns an exchange that has copied nothing yet.
func NewExchange(cfg ExchangeConfig) *Exchange {
	cfg.Every = cmp.Or(cfg.Every, SnapshotEvery)
	cfg.Timeout = cmp.Or(cfg.Timeout, defaultExchangeTimeout)
	cfg.Replicas = cmp.Or(cfg.Replicas, defaultReplicas)
	cfg.Log = cmp.Or(cfg.Log, slog.Default())
	return &Exchange{cfg: cfg, sent: make(map[copyKey]int64)}
}

// Register takes the calls of other hosts.
func (ex *Exchange) Register(rg peers.Registry) {
	peers.Handle(rg, peers.MethodPutAccount,
		func(_ context.Context, _ string, ac *wire.Account) (*wire.AccountList, error) {
			ex.cfg.Ledger.Merge(ac)
			return &wire.AccountList{}, nil
		})
	peers.Handle(rg, peers.MethodGetAccounts,
		func(_ context.Context, _ string, req *wire.GetAccounts) (*wire.AccountList, error) {
			return &wire.AccountList{Accounts: ex.Held(time.Now(), req.GetDay())}, nil
		})
}

// Held returns what this host holds of a day, its own account as of now.
func (ex *Exchange) Held(now time.Time, day string) []*wire.Account {
	ex.cfg.Ledger.Merge(ex.cfg.Account.Snapshot(now))
	return ex.cfg.Ledger.Accounts(day)
}

// Run copies accounts at every interval until ctx ends.
func (ex *Exchange) Run(ctx context.Context) error {
	tk := time.NewTicker(ex.cfg.Every)
	defer tk.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-tk.C:
			ex.cfg.Ledger.Merge(ex.cfg.Account.Snapshot(now))
			ex.cfg.Account.Forget(now)
			ex.cfg.Ledger.Forget(now, ex.cfg.Account.location())
			ex.push(ctx, now)
		}
	}
}

// Close ends the account of this host and copies it for the last time, with
// all that is held of others. It is called after Run has returned and the last
// request has ended, and tells whether the account has reached a replica.
func (ex *Exchange) Close(ctx context.Context, now time.Time) bool {
	ex.cfg.Ledger.Merge(ex.cfg.Account.Close(now))
	return ex.push(ctx, now) > 0
}

// Collect asks every host for what it holds of a day, and names the hosts that
// did not answer.
func (ex *Exchange) Collect(ctx context.Context, now time.Time, day string) (accounts []*wire.Account, missing []string) {
	return ex.collect(ctx, now, day, func(peers.Member) bool { return true })
}

// collect asks the hosts that pass a filter.
func (ex *Exchange) collect(
	ctx context.Context, now time.Time, day string, include func(peers.Member) bool,
) (accounts []*wire.Account, missing []string) {
	members := slices.DeleteFunc(ex.cfg.Members(now), func(me peers.Member) bool { return !include(me) })
	replies := make([][]*wire.Account, len(members))
	errs := make([]error, len(members))
	var wg sync.WaitGroup
	for i, me := range members {
		wg.Go(func() { replies[i], errs[i] = ex.requestAccounts(ctx, me, day) })
	}
	wg.Wait()
	for i, me := range members {
		if errs[i] != nil {
			ex.cfg.Log.Warn("host did not give its accounts", "peer", me.Name, "error", errs[i])
			missing = append(missing, me.Name)
		}
		accounts = append(accounts, replies[i]...)
	}
	return accounts, missing
}

func (ex *Exchange) requestAccounts(ctx context.Context, me peers.Member, day string) ([]*wire.Account, error) {
	if me.Name == ex.cfg.Account.cfg.Host {
		return ex.Held(time.Now(), day), nil
	}
	ctx, cancel := context.WithTimeout(ctx, ex.cfg.Timeout)
	defer cancel()
	reply := new(wire.AccountList)
	if err := ex.cfg.Caller.Call(ctx, me.Name, peers.MethodGetAccounts, &wire.GetAccounts{Day: day}, reply); err != nil {
		return nil, err
	}
	for _, ac := range reply.GetAccounts() {
		if ac.GetHost() == me.Name && ac.GetIncarnation() == me.Incarnation {
			ac.AtNanos = max(ac.GetAtNanos(), time.Now().UnixNano()) // the clocks of hosts differ
		}
	}
	return reply.GetAccounts(), nil
}

// push sends every copy that is due, to all hosts at a time, and returns how
// many hosts took the account of this one.
func (ex *Exchange) push(ctx context.Context, now time.Time) int {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	members := ex.cfg.Members(now)
	byHost := make(map[string][]copyTask)
	for _, ct := range ex.dueCopies(members) {
		byHost[ct.key.host] = append(byHost[ct.key.host], ct)
	}
	ex.forgetCopies(members)
	var wg sync.WaitGroup
	var mu sync.Mutex
	accepted := 0
	for _, tasks := range byHost {
		wg.Go(func() {
			for _, ct := range tasks {
				version, ok := ex.send(ctx, ct)
				if !ok {
					return
				}
				mu.Lock()
				ex.sent[ct.key] = version
				if ct.always {
					accepted++
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return accepted
}

// dueCopies lists the copies that this host answers for, its own account first.
func (ex *Exchange) dueCopies(members []peers.Member) []copyTask {
	self := ex.cfg.Account.cfg
	var candidates, remote []peers.Member
	alive := make(map[accountKey]bool)
	for _, me := range members {
		if !me.Alive {
			continue
		}
		alive[accountKey{me.Name, me.Incarnation}] = true
		switch {
		case me.Name == self.Host || me.Leaving:
		case me.Zone == self.Zone:
			candidates = append(candidates, me)
		default:
			remote = append(remote, me)
		}
	}
	if len(candidates) == 0 {
		candidates = remote // the only host of its zone
	}
	own := accountKey{self.Host, self.Incarnation}
	tasks := ex.copyTasks(own, candidates, true)
	for _, key := range ex.cfg.Ledger.keys() {
		if key != own && !alive[key] {
			tasks = append(tasks, ex.copyTasks(key, candidates, false)...)
		}
	}
	return tasks
}

func (ex *Exchange) copyTasks(key accountKey, candidates []peers.Member, always bool) []copyTask {
	var tasks []copyTask
	for _, me := range Replicas(key.host, candidates, ex.cfg.Replicas) {
		ck := copyKey{account: key, host: me.Name, incarnation: me.Incarnation}
		tasks = append(tasks, copyTask{key: ck, after: ex.sent[ck], always: always})
	}
	return tasks
}

// send sends the rows that have changed since the copy was last complete, and
// returns the version of the ledger up to which it is complete now.
func (ex *Exchange) send(ctx context.Context, ct copyTask) (version int64, ok bool) {
	ac, version, changed := ex.cfg.Ledger.changes(ct.key.account, ct.after)
	if ac == nil || !changed && !ct.always {
		return version, true
	}
	ctx, cancel := context.WithTimeout(ctx, ex.cfg.Timeout)
	defer cancel()
	if err := ex.cfg.Caller.Call(ctx, ct.key.host, peers.MethodPutAccount, ac, new(wire.AccountList)); err != nil {
		ex.cfg.Log.Warn("account was not copied", "account", ct.key.account.host, "peer", ct.key.host, "error", err)
		return 0, false
	}
	return version, true
}

// forgetCopies drops what is known of copies at hosts that have gone.
func (ex *Exchange) forgetCopies(members []peers.Member) {
	known := make(map[accountKey]bool)
	for _, me := range members {
		known[accountKey{me.Name, me.Incarnation}] = true
	}
	maps.DeleteFunc(ex.sent, func(ck copyKey, _ int64) bool {
		return !known[accountKey{ck.host, ck.incarnation}] || !ex.cfg.Ledger.has(ck.account)
	})
}

// Replicas returns the hosts that hold the copies of a host's account, by
// rendezvous hashing: when a host comes or goes, few copies move.
func Replicas(owner string, candidates []peers.Member, count int) []peers.Member {
	hs := slices.Clone(candidates)
	slices.SortFunc(hs, func(a, b peers.Member) int {
		return cmp.Or(cmp.Compare(weight(owner, b.Name), weight(owner, a.Name)), cmp.Compare(a.Name, b.Name))
	})
	return hs[:min(count, len(hs))]
}

func weight(owner, candidate string) uint64 { return xxhash.Sum64String(owner + "\x00" + candidate) }
