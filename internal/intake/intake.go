// Package intake accepts, inspects and cancels batch jobs (package batch) on any
// host, independent of the host that runs the scheduler. It communicates with the
// scheduler through the store only.
//
// Every response is based on a policy that is confirmed to be in force: a call
// that needs the policy first confirms this host's copy with the store, unless
// that happened within freshFor. While the store is unreachable, a policy that was
// confirmed within Config.MaxPolicyAge is used. A job is written on the condition
// that the policy under which it was authorized is still in force.
package intake

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"golang.org/x/sync/singleflight"

	"github.com/cicadawharf/cicadawharf/internal/batch"
	"github.com/cicadawharf/cicadawharf/internal/store"
	"github.com/cicadawharf/cicadawharf/pkg/codes"
)

type (
	// Config is the configuration of an Intake.
	Config struct {
		Store     store.TxnStore
		PolicyKey string                                    // key of the policy in the store
		Decode    func(value []byte) (*batch.Policy, error) // parses the value under PolicyKey
		// MaxPolicyAge is the maximum age of the last confirmation of a policy
		// that is used while the store is unreachable.
		MaxPolicyAge time.Duration
		// Announce is called after each job or cancellation that this host has
		// written to the store. It must not block. It may be nil.
		Announce func(batch.Notice)
		Log      *slog.Logger
		// MemoryLimit is the memory limit of this process and of those that may run
		// the scheduler, in bytes; zero if there is none.
		MemoryLimit int64
	}

	// Intake serves the calls of callers. It is safe for concurrent use. The
	// parameter up of its methods is the uptime of the host when the call
	// arrived, including the time for which the host was suspended.
	Intake struct {
		cfg         Config
		policyReads singleflight.Group
		health      storeHealth
		state       stateGauge
		mu          sync.Mutex
		snapshot    policySnapshot
	}

	// policySnapshot is this host's copy of the policy. Uptimes include the
	// time for which the host was suspended.
	policySnapshot struct {
		policy        *batch.Policy
		revision      store.Revision
		confirmedAt   time.Duration // uptime at which the read that confirmed it was sent
		invalidatedAt time.Duration // confirmations from before this uptime don't count
	}

	// Access is the result of authorizing a call to a queue.
	Access struct {
		Queue     batch.Queue
		Workspace string         // empty for an anonymous caller
		BodyBytes int64          // maximum body size of the call; zero for no limit
		revision  store.Revision // of the policy on which it is based
	}
)

const (
	// freshFor is the time for which a confirmed policy is used without another
	// read.
	freshFor = 1200 * time.Millisecond
	// maxConfirmReads is the maximum number of reads by which one call confirms
	// the policy.
	maxConfirmReads = 2
	// readTimeout is the timeout of one read from the store.
	readTimeout = 800 * time.Millisecond
	// retryAfter is the retry-after time in responses while the store is
	// unreachable.
	retryAfter = time.Second
)

// New returns an Intake without a policy.
func New(cf Config) *Intake {
	if cf.Announce == nil {
		cf.Announce = func(batch.Notice) {}
	}
	return &Intake{cfg: cf}
}

// Ready reports whether this host can serve calls: it has a policy and the
// store is reachable.
func (in *Intake) Ready(up time.Duration) bool {
	in.mu.Lock()
	loaded := in.snapshot.policy != nil
	in.mu.Unlock()
	return loaded && in.CheckStore(up) == nil
}

// CheckStore returns an error for the caller if the store is unreachable. In this
// case, it also probes the store in the background, at most once every
// probeInterval: since callers are redirected to other hosts in the meantime,
// there may be no other call that finds the store reachable again.
func (in *Intake) CheckStore(up time.Duration) error {
	if !in.health.unreachable(up) {
		return nil
	}
	if in.health.allowCall(up) {
		go func() { _ = in.readPolicy(context.Background(), up) }()
	}
	return storeUnavailable()
}

// StoreResponses returns the number of responses that this host has received
// from the store so far. If it does not change while a call waits, the store is
// unresponsive rather than slow.
func (in *Intake) StoreResponses() uint64 { return in.health.responseCount() }

// Authorize authorizes a call: it finds the queue that the call addresses and
// checks the caller's key. The code of the error is PathNotFound if there is no
// such queue, UnknownWorkspace for an invalid key, and StoreUnavailable or
// NotReady if this host has no usable policy, see CauseOf.
func (in *Intake) Authorize(ctx context.Context, up time.Duration, host, path, key string) (_ Access, err error) {
	defer func(began time.Time) { countCall("open", began, err) }(time.Now())
	ps, err := in.usablePolicy(ctx, up)
	if err != nil {
		return Access{}, err
	}
	return ps.authorize(host, path, key)
}

// authorize finds the queue that a call addresses and checks the caller's key.
func (ps policySnapshot) authorize(host, path, key string) (Access, error) {
	qu, ok := ps.policy.Route(host, path)
	if !ok {
		return Access{}, codes.New(codes.PathNotFound, "no queue has this host and path")
	}
	ac := Access{Queue: qu, BodyBytes: ps.policy.BodyBytes, revision: ps.revision}
	ws, ok := ps.policy.WorkspaceByKey(key)
	if ok {
		ac.Workspace = ws.Name
	}
	if !ok && !qu.Anonymous {
		return Access{}, codes.New(codes.UnknownWorkspace, "the key belongs to no workspace")
	}
	return ac, nil
}

// Recognizes reports whether a call would be authorized by this host's copy of the
// policy, which may be outdated. It says only whose requests give way first.
func (in *Intake) Recognizes(host, path, key string) bool {
	ps := in.latestSnapshot()
	if ps.policy == nil {
		return false
	}
	_, err := ps.authorize(host, path, key)
	return err == nil
}

// LoadPolicy reads the policy, so that the host becomes ready before its first
// call. It returns an error if no usable policy could be read.
func (in *Intake) LoadPolicy(ctx context.Context, up time.Duration) error {
	_, err := in.usablePolicy(ctx, up)
	return err
}

// usablePolicy returns a policy that is fresh or, if it can't be read, that was
// confirmed within Config.MaxPolicyAge. It may have to read it twice: a read that
// was already in progress may have been sent long ago if this host was suspended
// since, so its result may be outdated.
func (in *Intake) usablePolicy(ctx context.Context, up time.Duration) (policySnapshot, error) {
	ps := in.latestSnapshot()
	for range maxConfirmReads {
		if ps.isFresh(up) {
			break
		}
		err := in.refresh(ctx, up)
		ps = in.latestSnapshot()
		if err != nil {
			break // the copy may still be usable
		}
	}
	switch {
	case ps.policy == nil:
		return policySnapshot{}, newUndecided(PolicyUnconfirmed, codes.NotReady, "no policy has been loaded yet")
	case ps.isFresh(up), ps.confirmedWithin(up, in.cfg.MaxPolicyAge):
		return ps, nil
	default:
		return policySnapshot{}, newUndecided(PolicyUnconfirmed, codes.StoreUnavailable, "the policy can't be confirmed")
	}
}

// latestSnapshot returns this host's copy of the policy.
func (in *Intake) latestSnapshot() policySnapshot {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.snapshot
}

// isFresh reports whether the policy was confirmed less than freshFor before the
// uptime up, and has not been invalidated since.
func (ps policySnapshot) isFresh(up time.Duration) bool { return ps.confirmedWithin(up, freshFor) }

// confirmedWithin reports whether the policy was confirmed less than the duration
// within before the uptime up, and has not been invalidated since.
func (ps policySnapshot) confirmedWithin(up, within time.Duration) bool {
	return ps.policy != nil && up-ps.confirmedAt < within && ps.confirmedAt >= ps.invalidatedAt
}

// InvalidatePolicy invalidates the policy as of the uptime up, because another
// host has decided a call of this host by its own policy, which may be newer. The
// policy is not used until it has been confirmed again, so that callers never see
// the effect of an older policy after that of a newer one.
func (in *Intake) InvalidatePolicy(up time.Duration) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.snapshot.invalidatedAt = up
}

// refresh reads the policy, see readPolicy. While the store is unreachable, it
// returns store.ErrUnavailable, except once every probeInterval.
func (in *Intake) refresh(ctx context.Context, up time.Duration) error {
	if !in.health.allowCall(up) {
		return store.ErrUnavailable
	}
	return in.readPolicy(ctx, up)
}

// readPolicy reads the policy. Concurrent calls share one read, which is not
// cancelled with ctx.
func (in *Intake) readPolicy(ctx context.Context, up time.Duration) error {
	ch := in.policyReads.DoChan("policy", func() (any, error) {
		rctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), readTimeout)
		defer cancel()
		en, _, err := in.cfg.Store.Get(rctx, in.cfg.PolicyKey)
		in.health.record(up, err)
		if err != nil {
			return nil, err
		}
		return nil, in.applyEntry(up, en)
	})
	select {
	case res := <-ch:
		return res.Err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// applyEntry updates or confirms the policy by an entry that was read at the
// uptime up. It ignores entries older than the current policy. It returns an
// error if the policy can't be decoded.
func (in *Intake) applyEntry(up time.Duration, en store.Entry) error {
	in.mu.Lock()
	defer in.mu.Unlock()
	if en.Revision < in.snapshot.revision {
		return nil
	}
	if en.Revision == in.snapshot.revision {
		in.snapshot.confirmedAt = max(in.snapshot.confirmedAt, up)
		return nil
	}
	po, err := in.cfg.Decode(en.Value)
	if err != nil {
		in.cfg.Log.Warn("policy can't be decoded", "event", "policyFails", "revision", en.Revision, "reason", err)
		return err
	}
	in.cfg.Log.Info("policy is in force", "event", "policy", "version", po.Version, "revision", en.Revision)
	in.snapshot = policySnapshot{policy: po, revision: en.Revision, confirmedAt: max(in.snapshot.confirmedAt, up), invalidatedAt: in.snapshot.invalidatedAt}
	return nil
}

// QueueLength returns the number of waiting jobs of a queue, as counted by the
// scheduler, see batch.Backlog. It is zero before the first count.
func (in *Intake) QueueLength(ctx context.Context, up time.Duration, queue string) (int, error) {
	en, err := in.read(ctx, up, batch.BacklogKey)
	if err != nil || en.Revision == 0 {
		return 0, err
	}
	bl, err := batch.Decode[batch.Backlog](en.Value)
	if err != nil {
		return 0, codes.New(codes.InternalFailure, "%v", err)
	}
	in.state.reported(up, bl.Held)
	return bl.Queues[queue], nil
}

// read reads one key. The error is meant for the caller.
func (in *Intake) read(ctx context.Context, up time.Duration, key string) (store.Entry, error) {
	if !in.health.allowCall(up) {
		return store.Entry{}, storeUnavailable()
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	en, _, err := in.cfg.Store.Get(ctx, key)
	in.health.record(up, err)
	if err != nil {
		return store.Entry{}, storeUnavailable()
	}
	return en, nil
}

// storeUnavailable returns the error of a call that has not written anything
// because the store does not respond.
func storeUnavailable() error {
	return newUndecided(StoreUnreachable, codes.StoreUnavailable, "the store does not respond to this host")
}

// isConflict reports whether a transaction failed because a key had another
// revision than expected.
func isConflict(err error) bool { return errors.Is(err, store.ErrConflict) }
