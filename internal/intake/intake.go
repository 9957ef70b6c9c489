// Package intake takes jobs in on any host, whichever host schedules. It
// writes a job to the store itself, and reads states and cancels there.
//
// Every answer rests on a policy that is known to be in force: a call that
// needs it first confirms the policy that this host knows, unless that was
// done a moment ago. A job is written on condition that the policy is still
// the one by which it was let in.
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
	// Config constructs an Intake.
	Config struct {
		Store     store.Committer
		PolicyKey string
		Decode    func(value []byte) (*batch.Policy, error)
		// TrustFor is for how long a policy may be relied on while the store
		// can't confirm it.
		TrustFor time.Duration
		Log      *slog.Logger
	}

	// Intake answers callers. It is safe for concurrent use.
	Intake struct {
		cfg      Config
		confirm  singleflight.Group
		health   storeHealth
		mu       sync.Mutex
		snapshot policySnapshot
	}

	// policySnapshot is the policy that this host relies on. Uptimes include the time
	// for which the host was suspended.
	policySnapshot struct {
		policy        *batch.Policy
		revision      store.Revision
		confirmedAt   time.Duration // uptime when the read that confirmed it was sent
		invalidatedAt time.Duration // uptime from which a confirmation counts; zero for any
	}

	// Access is what a caller may do with a queue.
	Access struct {
		Queue     batch.Queue
		Workspace string // empty for an anonymous caller
		BodyBytes int64
		revision  store.Revision // of the policy that says so
	}
)

const (
	// freshFor is for how long a confirmed policy is relied on without
	// another look.
	freshFor = 1200 * time.Millisecond
	// maxConfirmReads bounds the reads by which one call confirms the policy.
	maxConfirmReads = 2
	// readTimeout bounds one read of the store.
	readTimeout = 800 * time.Millisecond
	// retryAfter is told to callers when the store can't be reached.
	retryAfter = time.Second
)

// New returns an intake that knows no policy yet.
func New(cf Config) *Intake { return &Intake{cfg: cf} }

// Ready tells whether this host can serve calls: it knows a policy and has not
// lost the store.
func (in *Intake) Ready(up time.Duration) bool {
	in.mu.Lock()
	loaded := in.snapshot.policy != nil
	in.mu.Unlock()
	return loaded && in.Reaches(up) == nil
}

// Reaches returns the refusal of a call if this host has lost the store. Being
// asked then makes it try the store now and then: nothing else may do so, since
// callers are sent elsewhere.
func (in *Intake) Reaches(up time.Duration) error {
	if !in.health.unreachable(up) {
		return nil
	}
	if in.health.allowCall(up) {
		go func() { _ = in.readPolicy(context.Background(), up) }()
	}
	return storeUnavailable()
}

// Answers counts the answers of the store to this host. A number that does not
// change while a call waits says that the store is silent rather than slow.
func (in *Intake) Answers() uint64 { return in.health.responseCount() }

// Open finds the queue that a call is for and checks the caller's key.
func (in *Intake) Open(ctx context.Context, up time.Duration, host, path, key string) (_ Access, err error) {
	defer func(began time.Time) { countCall("open", began, err) }(time.Now())
	ps, err := in.usablePolicy(ctx, up)
	if err != nil {
		return Access{}, err
	}
	return ps.authorize(host, path, key)
}

// authorize finds the queue of a call in a policy and checks the key.
func (ps policySnapshot) authorize(host, path, key string) (Access, error) {
	qu, ok := ps.policy.Route(host, path)
	if !ok {
		return Access{}, codes.New(codes.PathNotFound, "no queue has this host and path")
	}
	ac := Access{Queue: qu, BodyBytes: ps.policy.BodyBytes, revision: ps.revision}
	ws, ok := ps.policy.ByKey(key)
	if ok {
		ac.Workspace = ws.Name
	}
	if !ok && !qu.Anonymous {
		return Access{}, codes.New(codes.UnknownWorkspace, "the key belongs to no workspace")
	}
	return ac, nil
}

// Warm reads the policy once, so that the host becomes ready before its first
// call.
func (in *Intake) Warm(ctx context.Context, up time.Duration) error {
	_, err := in.usablePolicy(ctx, up)
	return err
}

// usablePolicy returns the policy in force. A read that was under way already may have
// been sent long ago, if this host was suspended meanwhile: what it says is of
// then, so another one is made.
func (in *Intake) usablePolicy(ctx context.Context, up time.Duration) (policySnapshot, error) {
	ps := in.latestSnapshot()
	for range maxConfirmReads {
		if ps.isFresh(up) {
			break
		}
		err := in.refresh(ctx, up)
		ps = in.latestSnapshot()
		if err != nil {
			break // what is known may still be relied on
		}
	}
	switch {
	case ps.policy == nil:
		return policySnapshot{}, newUndecided(PolicyUnconfirmed, codes.NotReady, "no policy is known yet")
	case ps.isFresh(up), ps.confirmedWithin(up, in.cfg.TrustFor):
		return ps, nil
	default:
		return policySnapshot{}, newUndecided(PolicyUnconfirmed, codes.StoreUnavailable, "the policy can't be confirmed")
	}
}

func (in *Intake) latestSnapshot() policySnapshot {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.snapshot
}

// isFresh tells whether the policy was isFresh a moment before an uptime.
func (ps policySnapshot) isFresh(up time.Duration) bool { return ps.confirmedWithin(up, freshFor) }

// confirmedWithin tells whether the policy was confirmed within a time before an uptime,
// and no other host has judged by its own since.
func (ps policySnapshot) confirmedWithin(up, within time.Duration) bool {
	return ps.policy != nil && up-ps.confirmedAt < within && ps.confirmedAt >= ps.invalidatedAt
}

// Doubt says that another host has judged a call of this one by its own policy,
// which may be newer. The known policy is not relied on until it is confirmed
// again, so that callers never see an older one after that.
func (in *Intake) Doubt(up time.Duration) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.snapshot.invalidatedAt = up
}

// refresh reads the policy. Calls that come meanwhile share one read.
func (in *Intake) refresh(ctx context.Context, up time.Duration) error {
	if !in.health.allowCall(up) {
		return store.ErrUnavailable
	}
	return in.readPolicy(ctx, up)
}

func (in *Intake) readPolicy(ctx context.Context, up time.Duration) error {
	ch := in.confirm.DoChan("policy", func() (any, error) {
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

// applyEntry takes an entry of the policy that was read at an uptime. An older
// version than the one that is known is never gone back to.
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
		in.cfg.Log.Warn("policy can't be read", "event", "policyFails", "revision", en.Revision, "reason", err)
		return err
	}
	in.cfg.Log.Info("policy is in force", "event", "policy", "version", po.Version, "revision", en.Revision)
	in.snapshot = policySnapshot{policy: po, revision: en.Revision, confirmedAt: max(in.snapshot.confirmedAt, up), invalidatedAt: in.snapshot.invalidatedAt}
	return nil
}

// Waiting returns how many jobs of a queue have not begun.
func (in *Intake) Waiting(ctx context.Context, up time.Duration, queue string) (int, error) {
	en, err := in.read(ctx, up, batch.WaitingKey)
	if err != nil || en.Revision == 0 {
		return 0, err
	}
	wa, err := batch.Decode[batch.Waiting](en.Value)
	if err != nil {
		return 0, codes.New(codes.InternalFailure, "%v", err)
	}
	return wa.Queues[queue], nil
}

// read reads one key, or says why that can't be done.
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

func storeUnavailable() error {
	return newUndecided(StoreSilent, codes.StoreUnavailable, "the store does not answer this host")
}

// isConflict tells whether a commit found other revisions than it expected.
func isConflict(err error) bool { return errors.Is(err, store.ErrConflict) }
