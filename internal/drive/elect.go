package drive

import (
	"bytes"
	"context"
	"errors"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/cicadawharf/cicadawharf/internal/batch"
	"github.com/cicadawharf/cicadawharf/internal/domain"
	"github.com/cicadawharf/cicadawharf/internal/pause"
	"github.com/cicadawharf/cicadawharf/internal/store"
)

const (
	// renewInterval is the time between two renewals, which may overlap. A lease
	// outlasts three renewals without a response.
	renewInterval = 250 * time.Millisecond
	// electionRetryDelay is the pause after a failed read or watch of the leader
	// key. After a failed campaign the pause is a tenth of it.
	electionRetryDelay = 300 * time.Millisecond
	// electionDelayUnit is the election delay of a host with half a core, which
	// gives stronger hosts a head start. maxElectionDelay bounds the delay of the
	// weakest host.
	electionDelayUnit = 40 * time.Millisecond
	maxElectionDelay  = 300 * time.Millisecond
	// firstElectionFactor multiplies the delay in the first election of a process,
	// because hosts that start together do so some hundred milliseconds apart.
	firstElectionFactor = 3
	// electionTimeout bounds all calls of one election.
	electionTimeout = 2 * time.Second
	// confirmMargin is subtracted from the time for which a renewed lease certainly
	// holds, for the way of an order to its receiver.
	confirmMargin = 300 * time.Millisecond
	// revokeTimeout bounds the call that revokes the lease.
	revokeTimeout = 500 * time.Millisecond
)

var (
	errLeaderExists = errors.New("another host is the leader")
	errNoLeader     = errors.New("the leader key was deleted")
	errTermEnded    = errors.New("the term has ended")
	// errLeaseUnconfirmed means that the store has not confirmed in time that this
	// host still leads.
	errLeaseUnconfirmed = errors.New("the lease can't be confirmed")
)

// electionDelay returns how long a host with the given number of cores waits
// before it campaigns, so that a host with enough cores for a large domain
// wins. It is zero for one core or more and for an unknown number (zero).
func electionDelay(cores float64) time.Duration {
	if cores <= 0 || cores >= 1 {
		return 0
	}
	return min(maxElectionDelay, time.Duration((1/cores-1)*float64(electionDelayUnit)))
}

// campaign tries to become the leader. It returns errLeaderExists if it finds a
// leader, and another error if it loses to a host that campaigns at the same
// time or the store does not respond within electionTimeout.
func (sc *Scheduler) campaign(ctx context.Context) (*term, error) {
	ctx, cancel := context.WithTimeout(ctx, electionTimeout)
	defer cancel()
	en, _, err := sc.cfg.Store.Get(ctx, batch.LeaderKey)
	sc.outages.observe(time.Now(), err)
	if err != nil {
		return nil, merry.Prepend(err, "read the leader key")
	}
	if en.Revision != 0 {
		return nil, errLeaderExists
	}
	sent := time.Now()
	lease, err := sc.cfg.Store.Grant(ctx, domain.LeaderLeaseTime)
	if err != nil {
		return nil, merry.Prepend(err, "grant a lease")
	}
	token, err := sc.acquireLeaderKey(ctx, lease)
	if err != nil {
		return nil, merry.Prepend(err, "create the leader key")
	}
	te := &term{
		Scheduler: sc, token: token, lease: lease, leaseRequested: sent,
		events: make(chan queuedEvent, eventQueueSize), priorityEvents: make(chan queuedEvent, eventQueueSize), revisions: newRevisionTable(),
		log: sc.cfg.Log.With("token", token),
	}
	te.ctx, te.end = context.WithCancel(context.Background())
	return te, nil
}

// acquireLeaderKey creates the leader key and returns the revision of that
// write, which is the fencing token of the term.
func (sc *Scheduler) acquireLeaderKey(ctx context.Context, lease store.LeaseID) (store.Revision, error) {
	value := leader{sc.cfg.Host, sc.incarnation, lease, sc.cfg.PeerAddress, false}.encode()
	tx := store.Txn{
		Expect: []store.Expectation{{Key: batch.LeaderKey}},
		Puts:   []store.Put{{Key: batch.LeaderKey, Value: value, Lease: lease}},
	}
	rev, ents, err := sc.cfg.Store.Commit(ctx, tx)
	if errors.Is(err, store.ErrOutcomeUnknown) {
		// If the first write took effect, this one conflicts with it and returns
		// its entry, whose value contains this host's lease.
		rev, ents, err = sc.cfg.Store.Commit(ctx, tx)
	}
	if errors.Is(err, store.ErrConflict) && len(ents) > 0 && bytes.Equal(ents[0].Value, value) {
		return ents[0].Revision, nil
	}
	return rev, err
}

// awaitNoLeader waits until there is no leader key. It returns false, after a
// pause, if the store fails meanwhile. While it waits, it also responds to
// handover requests: the watch includes batch.HandoverRequestKey, which begins
// with batch.LeaderKey.
func (sc *Scheduler) awaitNoLeader(ctx context.Context) bool {
	en, at, err := sc.cfg.Store.Get(ctx, batch.LeaderKey)
	sc.outages.observe(time.Now(), err)
	if err != nil {
		pause.For(ctx, electionRetryDelay)
		return false
	}
	if en.Revision != 0 {
		sc.setFormer(en)
	}
	if en.Revision == 0 || sc.revokeFormerLease(ctx, en) {
		return true
	}
	sc.setLeader(en)
	defer sc.leader.Store(nil)
	err = sc.cfg.Store.Watch(ctx, batch.LeaderKey, at, func(en store.Entry) error {
		switch {
		case en.Key == batch.LeaderKey && en.Value == nil:
			return errNoLeader
		case en.Key == batch.LeaderKey:
			sc.setLeader(en)
		case en.Key == batch.HandoverRequestKey && en.Value != nil:
			go sc.offerHandover(ctx, en)
		}
		return nil
	})
	if !errors.Is(err, errNoLeader) {
		sc.outages.observe(time.Now(), err)
		pause.For(ctx, electionRetryDelay)
		return false
	}
	return true
}

// revokeFormerLease revokes the lease of the leader key if the key names this
// host, and reports whether the key is free then. This host is not the leader
// while it waits for the key, so the lease is that of an earlier process or term,
// which nobody renews any more.
func (sc *Scheduler) revokeFormerLease(ctx context.Context, en store.Entry) bool {
	le, err := parseLeader(en.Value)
	if err != nil || le.host != sc.cfg.Host {
		return false
	}
	if err := sc.cfg.Store.Revoke(ctx, le.lease); err != nil && !errors.Is(err, store.ErrLeaseExpired) {
		sc.cfg.Log.Warn("lease of an earlier term was not revoked", "event", "revokeFails", "reason", err)
		return false
	}
	sc.cfg.Log.Info("lease of an earlier term of this host revoked", "event", "formerLeaseRevoked", "revision", en.Revision)
	return true
}

// setLeader remembers the leader in an entry of the leader key.
func (sc *Scheduler) setLeader(en store.Entry) {
	le, err := parseLeader(en.Value)
	if err != nil {
		sc.cfg.Log.Warn("malformed entry of the store is ignored", "event", "invalidEntry", "key", en.Key, "reason", err)
		sc.leader.Store(nil)
		return
	}
	sc.leader.Store(&le)
	sc.former.Store(&le)
}

// setFormer remembers the leader in an entry of the leader key, which may be gone when
// this host is elected.
func (sc *Scheduler) setFormer(en store.Entry) {
	if le, err := parseLeader(en.Value); err == nil {
		sc.former.Store(&le)
	}
}

// formerBounded reports whether the last leader that this host has seen bounds its
// leases on workers by its own lease. It is not known if this host has seen none.
func (sc *Scheduler) formerBounded() bool {
	le := sc.former.Load()
	return le != nil && le.boundedLeases
}

// keepLease renews the leader's lease until the term ends. The term ends when
// the store reports the lease as expired, or when no renewal has succeeded for
// domain.MaxRenewalAge: from then on, this host must not renew leases on
// workers, so that they expire in time for the next leader.
func (te *term) keepLease() {
	for te.pauseFor(renewInterval) {
		go te.renewLease(time.Since(te.leaseRequested))
		if te.leaseAge() > domain.MaxRenewalAge {
			te.log.Warn("lease state unknown", "event", "leaseUnknown", "reason", "no renewal was confirmed in time")
			te.end()
		}
	}
}

// renewLease renews the lease once. Sent is the time of the call, counted from
// te.leaseRequested. Errors other than an expired lease are left to keepLease.
func (te *term) renewLease(sent time.Duration) {
	ctx, cancel := context.WithTimeout(te.ctx, domain.LeaderLeaseTime)
	defer cancel()
	err := te.cfg.Store.Renew(ctx, te.lease)
	switch {
	case err == nil:
		te.recordRenewal(sent)
	case errors.Is(err, store.ErrLeaseExpired):
		te.log.Warn("lease expired", "event", "leaseExpired")
		te.end()
	}
	if te.ctx.Err() == nil {
		te.observeStore(err)
	}
}

// confirmLease returns nil if this host certainly leads at present: a renewal of its
// lease was sent so recently that the lease can't have expired. Otherwise it renews
// the lease. A host that was suspended notices here that its lease has expired.
func (te *term) confirmLease() error {
	if te.leaseAge() < domain.LeaderLeaseTime-confirmMargin {
		return nil
	}
	te.renewLease(time.Since(te.leaseRequested))
	switch {
	case te.ctx.Err() != nil:
		return errTermEnded
	case te.leaseAge() >= domain.LeaderLeaseTime-confirmMargin:
		return errLeaseUnconfirmed
	default:
		return nil
	}
}

// leaseAge returns the time since the last successful renewal of the lease was
// sent.
func (te *term) leaseAge() time.Duration { return time.Since(te.leaseConfirmedAt()) }

// leaseConfirmedAt returns when the last successful renewal of the lease was sent.
func (te *term) leaseConfirmedAt() time.Time {
	return te.leaseRequested.Add(time.Duration(te.lastRenewal.Load()))
}

// recordRenewal records a successful renewal that was sent at the given time.
// It keeps the latest, because responses may arrive out of order.
func (te *term) recordRenewal(sent time.Duration) {
	for {
		last := te.lastRenewal.Load()
		if int64(sent) <= last || te.lastRenewal.CompareAndSwap(last, int64(sent)) {
			return
		}
	}
}

// resign ends the term and revokes its lease, which frees the leader key.
func (te *term) resign() {
	te.end()
	ctx, cancel := context.WithTimeout(context.Background(), revokeTimeout)
	defer cancel()
	if err := te.cfg.Store.Revoke(ctx, te.lease); err != nil && !errors.Is(err, store.ErrLeaseExpired) {
		te.log.Warn("lease was not revoked", "event", "revokeFails", "reason", err)
	}
}
