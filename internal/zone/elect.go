package zone

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/cicadawharf/cicadawharf/internal/jobs"
	"github.com/cicadawharf/cicadawharf/internal/pause"
	"github.com/cicadawharf/cicadawharf/internal/sched"
	"github.com/cicadawharf/cicadawharf/internal/store"
	"github.com/cicadawharf/cicadawharf/pkg/codes"
)

const (
	leaseTTL             = 3 * time.Second
	leaseRenewInterval   = time.Second
	electionRetryDelay   = 500 * time.Millisecond
	electionPollInterval = 5 * time.Second // in case a watch has become unresponsive
	shutdownTimeout      = 2 * time.Second // of due writes, and of revoking the lease
)

// leaderKey is the key of the current Leader, which is deleted when the lease
// ends. epochKey is the key of the Leader with the last epoch that was assigned;
// it is never deleted.
func leaderKey(zone string) string { return "zone/" + zone + "/holder" }
func epochKey(zone string) string  { return "zone/" + zone + "/epoch" }

// Run takes part in the leader election, and schedules the zone while this host
// is the leader. When ctx ends it waits for due writes and revokes its lease. A
// failure to acquire the lease is not logged: usually another host holds it.
func (zo *Zone) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		lease, epoch, err := zo.acquire(ctx)
		if err != nil {
			zo.waitForVacancy(ctx)
			continue
		}
		zo.runTerm(ctx, lease, epoch)
	}
	return nil
}

// acquire obtains the next epoch and the lease. It returns an error if another
// host is the leader, if there are no declarations yet, or if the store fails.
func (zo *Zone) acquire(ctx context.Context) (store.LeaseID, int64, error) {
	if zo.cfg.Declarations() == nil {
		return 0, 0, merry.New("no declarations yet")
	}
	en, _, err := zo.cfg.Store.Get(ctx, leaderKey(zo.cfg.Zone))
	if err != nil {
		return 0, 0, merry.Prepend(err, "read the leader")
	}
	if en.Revision != 0 {
		zo.observeStoredLeader(en.Value)
		return 0, 0, merry.New("another host holds the lease")
	}
	epoch, err := zo.nextEpoch(ctx)
	if err != nil {
		return 0, 0, merry.Prepend(err, "increment the epoch")
	}
	lease, err := zo.cfg.Store.Grant(ctx, leaseTTL)
	if err != nil {
		return 0, 0, merry.Prepend(err, "grant a lease")
	}
	value, err := json.Marshal(Leader{Host: zo.cfg.Host, Epoch: epoch})
	if err != nil {
		return 0, 0, merry.Wrap(err)
	}
	rq := store.SwapRequest{Key: leaderKey(zo.cfg.Zone), Value: value, Lease: lease}
	isOwn := func(en store.Entry) bool { return string(en.Value) == string(value) }
	if _, err := store.SwapAndResolve(ctx, zo.cfg.Store, rq, isOwn); err != nil {
		return 0, 0, merry.Prepend(err, "write the leader")
	}
	return lease, epoch, nil
}

// nextEpoch increments the epoch in the store past every epoch known to this
// host.
func (zo *Zone) nextEpoch(ctx context.Context) (int64, error) {
	key := epochKey(zo.cfg.Zone)
	en, _, err := zo.cfg.Store.Get(ctx, key)
	if err != nil {
		return 0, err
	}
	var last Leader
	if len(en.Value) > 0 {
		if err := json.Unmarshal(en.Value, &last); err != nil {
			return 0, merry.Prepend(err, "value of "+key)
		}
	}
	zo.mu.Lock()
	next := Leader{Host: zo.cfg.Host, Epoch: max(last.Epoch, zo.maxEpoch, zo.leader.Epoch) + 1}
	zo.mu.Unlock()
	value, err := json.Marshal(next)
	if err != nil {
		return 0, err
	}
	isOwn := func(en store.Entry) bool { return string(en.Value) == string(value) }
	_, err = store.SwapAndResolve(ctx, zo.cfg.Store, store.SwapRequest{Key: key, Value: value, Expect: en.Revision}, isOwn)
	return next.Epoch, err
}

// observeStoredLeader records the leader that a value of leaderKey names.
func (zo *Zone) observeStoredLeader(value []byte) {
	var le Leader
	if json.Unmarshal(value, &le) != nil {
		return
	}
	zo.mu.Lock()
	defer zo.mu.Unlock()
	if le.Epoch >= zo.leader.Epoch {
		zo.leader = le
	}
	zo.maxEpoch = max(zo.maxEpoch, le.Epoch)
}

// waitForVacancy waits until the zone may have no leader: until leaderKey is
// deleted, or for electionPollInterval or electionRetryDelay.
func (zo *Zone) waitForVacancy(ctx context.Context) {
	if zo.cfg.Declarations() == nil {
		pause.For(ctx, electionRetryDelay)
		return
	}
	key := leaderKey(zo.cfg.Zone)
	en, at, err := zo.cfg.Store.Get(ctx, key)
	if err != nil || en.Revision == 0 {
		pause.For(ctx, electionRetryDelay)
		return
	}
	zo.observeStoredLeader(en.Value)
	watchCtx, stop := context.WithTimeout(ctx, electionPollInterval)
	defer stop()
	vacant := errors.New("vacant")
	err = zo.cfg.Store.Watch(watchCtx, key, at, func(en store.Entry) error {
		if en.Value == nil {
			return vacant
		}
		zo.observeStoredLeader(en.Value)
		return nil
	})
	if err != nil && !errors.Is(err, vacant) && watchCtx.Err() == nil {
		pause.For(ctx, electionRetryDelay)
	}
}

// runTerm schedules the zone for one term, until ctx ends, the lease expires or a
// larger epoch is seen. It revokes the lease at the end.
func (zo *Zone) runTerm(ctx context.Context, lease store.LeaseID, epoch int64) {
	log := zo.cfg.Log.With("zone", zo.cfg.Zone, "epoch", epoch)
	termCtx, resign := context.WithCancel(context.WithoutCancel(ctx))
	defer resign()
	go zo.keepLease(termCtx, lease, resign)
	bs, rcs, err := openBuckets(termCtx, zo.cfg.Store, zo.cfg.Zone, epoch)
	if err != nil {
		log.Warn("term ended: jobs could not be loaded", "event", "elect", "error", err)
		var newer *newerEpochError
		if errors.As(err, &newer) {
			zo.observeEpoch(newer.epoch)
		}
		zo.revoke(lease)
		pause.For(ctx, electionRetryDelay)
		return
	}
	zo.startTerm(termCtx, bs, rcs, epoch, resign)
	log.Info("term started", "event", "elect", "jobs", len(rcs))
	zo.loop(ctx, termCtx)
	if ctx.Err() != nil {
		zo.flushWrites(termCtx)
	}
	resign()
	zo.endTerm()
	zo.revoke(lease)
	log.Info("term ended", "event", "elect")
}

// startTerm creates the core of a term.
func (zo *Zone) startTerm(termCtx context.Context, bs *bucketStore, rcs []jobs.Record, epoch int64, resign context.CancelFunc) {
	zo.mu.Lock()
	zo.leader = Leader{Host: zo.cfg.Host, Epoch: epoch}
	zo.storeUnavailable = false
	zo.resign = resign
	zo.buckets = bs
	bs.onWritten = func(ev sched.WriteDone) { zo.handle(ev) }
	zo.calls = newWorkerCalls(termCtx, zo, epoch)
	zo.core = sched.New(time.Now(), sched.Config{
		Zone: zo.cfg.Zone, Epoch: epoch, Buckets: Buckets, Records: rcs, Declarations: zo.cfg.Declarations(),
	})
	zo.mu.Unlock()
}

// loop passes ticks and changes of declarations and hosts to the core until ctx or
// the term ends.
func (zo *Zone) loop(ctx, termCtx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	declChanged := zo.cfg.DeclarationsChanged()
	hostsChanged := zo.cfg.HostsChanged()
	zo.handle(sched.DeclarationsChanged{Declarations: zo.cfg.Declarations()})
	zo.listWorkers()
	for {
		select {
		case <-ctx.Done():
			return
		case <-termCtx.Done():
			return
		case <-declChanged:
			declChanged = zo.cfg.DeclarationsChanged()
			zo.handle(sched.DeclarationsChanged{Declarations: zo.cfg.Declarations()})
		case <-hostsChanged:
			hostsChanged = zo.cfg.HostsChanged()
			zo.listWorkers()
		case <-ticker.C:
			zo.handle(sched.Ticked{})
			zo.updateCalls()
		}
	}
}

// updateCalls ends the calls to workers that the core has removed. It suffices
// to compare numbers, as workers are added only by listWorkers, which updates the
// calls itself.
func (zo *Zone) updateCalls() {
	zo.mu.Lock()
	defer zo.mu.Unlock()
	if zo.core != nil && zo.calls.count() != zo.core.WorkerCount() {
		zo.calls.setWorkers(zo.core.Workers())
	}
}

// listWorkers passes the platform's list of hosts to the core, and has the
// workers called that the core then has.
func (zo *Zone) listWorkers() {
	zo.handle(sched.HostsListed{Hosts: zo.cfg.Hosts().Hosts})
	zo.mu.Lock()
	defer zo.mu.Unlock()
	if zo.core != nil {
		zo.calls.setWorkers(zo.core.Workers())
	}
}

// keepLease renews the lease. While the store is unavailable no other host can
// obtain the lease, so only an expiry reported by the store ends the term.
func (zo *Zone) keepLease(termCtx context.Context, lease store.LeaseID, resign context.CancelFunc) {
	for termCtx.Err() == nil {
		pause.For(termCtx, leaseRenewInterval)
		err := zo.cfg.Store.Renew(termCtx, lease)
		if termCtx.Err() != nil {
			return
		}
		zo.setStoreAvailable(err == nil || errors.Is(err, store.ErrLeaseExpired))
		if errors.Is(err, store.ErrLeaseExpired) {
			zo.cfg.Log.Warn("lease expired", "event", "resign", "zone", zo.cfg.Zone)
			resign()
			return
		}
	}
}

// flushWrites waits for due writes before the lease is revoked, for at most
// shutdownTimeout.
func (zo *Zone) flushWrites(termCtx context.Context) {
	ctx, stop := context.WithTimeout(termCtx, shutdownTimeout)
	defer stop()
	for ctx.Err() == nil && zo.hasUnsaved() {
		zo.handle(sched.Ticked{})
		pause.For(ctx, tickInterval/10)
	}
}

// hasUnsaved reports whether the core has changes that may not be in the store.
func (zo *Zone) hasUnsaved() bool {
	zo.mu.Lock()
	defer zo.mu.Unlock()
	return zo.core != nil && zo.core.HasUnsaved()
}

// endTerm drops the core, tells the callers with pending requests that the
// outcome is unknown, and notifies those that wait for the end of a job.
func (zo *Zone) endTerm() {
	zo.mu.Lock()
	defer zo.mu.Unlock()
	zo.core = nil
	zo.calls.stop()
	for rid, pr := range zo.pendingRequests {
		pr.answer <- sched.Answer{RequestID: rid, Err: codes.New(pr.unknownCode, "the scheduler's term of leadership ended before it answered").WithRetryAfter(noSchedulerRetryAfter)}
		delete(zo.pendingRequests, rid)
	}
	for id := range zo.endWaits {
		zo.notifyEnd(id)
	}
}

// revoke ends the lease, so that another host can become the leader at once.
func (zo *Zone) revoke(lease store.LeaseID) {
	ctx, stop := context.WithTimeout(context.Background(), shutdownTimeout)
	defer stop()
	if err := zo.cfg.Store.Revoke(ctx, lease); err != nil {
		zo.cfg.Log.Debug("lease was not revoked", "event", "elect", "zone", zo.cfg.Zone, "error", err)
	}
}
