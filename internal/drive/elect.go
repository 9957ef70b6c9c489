package drive

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/cicadawharf/cicadawharf/internal/batch"
	"github.com/cicadawharf/cicadawharf/internal/domain"
	"github.com/cicadawharf/cicadawharf/internal/pause"
	"github.com/cicadawharf/cicadawharf/internal/store"
)

const (
	// renewInterval is the time between two renewals, which may overlap. A lease
	// lasts for three that get no answer.
	renewInterval = 350 * time.Millisecond
	// electionRetry is the pause after an election that failed.
	electionRetry = 300 * time.Millisecond
	// electionDelayUnit is how long a host of half a core lets stronger ones stand
	// for election first, and maxHandicap bounds that of the weakest.
	electionDelayUnit = 40 * time.Millisecond
	maxElectionDelay  = 300 * time.Millisecond
	// firstElectionFactor multiplies it for the first election of a process, since
	// hosts that start together do so some hundred milliseconds apart.
	firstElectionFactor = 3
	// electionTimeout bounds the calls of an election.
	electionTimeout = 2 * time.Second
	// revokeTimeout bounds the call that gives the lease up.
	revokeTimeout = 500 * time.Millisecond
)

var (
	errLeaderExists = errors.New("another host holds")
	errNoLeader     = errors.New("the holder's key is gone")
)

// electionDelay returns for how long a host with some cores stands back from an
// election, so that one that can carry the work of a large domain wins it.
func electionDelay(cores float64) time.Duration {
	if cores <= 0 || cores >= 1 {
		return 0
	}
	return min(maxElectionDelay, time.Duration((1/cores-1)*float64(electionDelayUnit)))
}

// campaign tries to become the holder.
func (sc *Scheduler) campaign(ctx context.Context) (*term, error) {
	ctx, cancel := context.WithTimeout(ctx, electionTimeout)
	defer cancel()
	en, _, err := sc.cfg.Store.Get(ctx, batch.HolderKey)
	if err != nil {
		return nil, merry.Prepend(err, "read the holder")
	}
	if en.Revision != 0 {
		return nil, errLeaderExists
	}
	sent := time.Now()
	lease, err := sc.cfg.Store.Grant(ctx, domain.LeaseTime)
	if err != nil {
		return nil, merry.Prepend(err, "obtain a lease")
	}
	token, err := sc.acquireLeaderKey(ctx, lease)
	if err != nil {
		return nil, merry.Prepend(err, "take the holder's key")
	}
	te := &term{
		Scheduler: sc, token: token, lease: lease, began: sent,
		events: make(chan queuedEvent, eventQueueSize), urgent: make(chan queuedEvent, eventQueueSize), revisions: newRevisionTable(),
		log: sc.cfg.Log.With("token", token),
	}
	te.ctx, te.end = context.WithCancel(context.Background())
	return te, nil
}

// acquireLeaderKey creates the holder's key and returns the revision of that.
func (sc *Scheduler) acquireLeaderKey(ctx context.Context, lease store.LeaseID) (store.Revision, error) {
	value := fmt.Appendf(nil, "%s %d %d", sc.cfg.Host, sc.incarnation, lease)
	tx := store.Txn{
		Expect: []store.Expectation{{Key: batch.HolderKey}},
		Puts:   []store.Put{{Key: batch.HolderKey, Value: value, Lease: lease}},
	}
	rev, ents, err := sc.cfg.Store.Commit(ctx, tx)
	if errors.Is(err, store.ErrLost) {
		// Either the write stands, or this one decides.
		rev, ents, err = sc.cfg.Store.Commit(ctx, tx)
	}
	if errors.Is(err, store.ErrConflict) && len(ents) > 0 && bytes.Equal(ents[0].Value, value) {
		return ents[0].Revision, nil
	}
	return rev, err
}

// awaitNoLeader waits until the holder's key is free. It is false if that could
// not be found out.
func (sc *Scheduler) awaitNoLeader(ctx context.Context) bool {
	en, at, err := sc.cfg.Store.Get(ctx, batch.HolderKey)
	if err != nil {
		pause.For(ctx, electionRetry)
		return false
	}
	if en.Revision == 0 {
		return true
	}
	err = sc.cfg.Store.Watch(ctx, batch.HolderKey, at, func(en store.Entry) error {
		switch {
		case en.Key == batch.HolderKey && en.Value == nil:
			return errNoLeader
		case en.Key == batch.ReliefKey && en.Value != nil:
			go sc.offerTakeover(ctx, en)
		}
		return nil
	})
	if !errors.Is(err, errNoLeader) {
		pause.For(ctx, electionRetry)
		return false
	}
	return true
}

// keepLease renews the holder's lease. The term ends when the store says that
// the lease has ended, or has said nothing for so long that workers must not
// be kept from the next holder.
func (te *term) keepLease() {
	for te.pauseFor(renewInterval) {
		go te.renewLease(time.Since(te.began))
		if time.Since(te.began)-time.Duration(te.lastRenewal.Load()) > domain.RenewTime {
			te.log.Warn("lease was not renewed", "event", "leaseUnknown", "reason", "no renewal was answered")
			te.end()
		}
	}
}

// renewLease renews the lease by a call that is sent at a time of the term.
func (te *term) renewLease(sent time.Duration) {
	ctx, cancel := context.WithTimeout(te.ctx, domain.LeaseTime)
	defer cancel()
	err := te.cfg.Store.Renew(ctx, te.lease)
	switch {
	case err == nil:
		te.recordRenewal(sent)
	case errors.Is(err, store.ErrLapsed):
		te.log.Warn("lease has lapsed", "event", "leaseLapsed")
		te.end()
	}
}

// recordRenewal notes a renewal that has succeeded. Answers may come out of order.
func (te *term) recordRenewal(sent time.Duration) {
	for {
		last := te.lastRenewal.Load()
		if int64(sent) <= last || te.lastRenewal.CompareAndSwap(last, int64(sent)) {
			return
		}
	}
}

// resign ends the term and frees the holder's key for the next one.
func (te *term) resign() {
	te.end()
	ctx, cancel := context.WithTimeout(context.Background(), revokeTimeout)
	defer cancel()
	if err := te.cfg.Store.Revoke(ctx, te.lease); err != nil && !errors.Is(err, store.ErrLapsed) {
		te.log.Warn("lease was not given up", "event", "leaseLeft", "reason", err)
	}
}
