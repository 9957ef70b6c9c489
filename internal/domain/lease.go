package domain

import (
	"time"

	"github.com/cicadawharf/cicadawharf/internal/runner"
)

// ConfirmLease tells the core when the last renewal of the scheduler's own lease that
// the store has confirmed was sent. After a time without one, leases on workers are
// short, and those that may end before the next long poll are renewed at once.
func (co *Core) ConfirmLease(now, sent time.Time) {
	if !sent.After(co.leaseConfirmedAt) {
		return
	}
	shortened := !co.leaseConfirmedAt.IsZero() && now.Sub(co.leaseConfirmedAt) > shortLeaseAge
	co.leaseConfirmedAt = sent
	if !shortened {
		return
	}
	co.examine(len(co.sortedNodes))
	for _, nd := range co.nodesByID() {
		if len(nd.runs) > 0 && !nd.unresponsive() && nd.worker.Address != "" && nd.leaseLeft(now) < minLeaseLeft {
			co.renewNow(now, nd)
		}
	}
}

const (
	// shortLeaseAge is the age of the last confirmation from which leases on workers are
	// examined when the store responds again.
	shortLeaseAge = time.Second
	// minLeaseLeft is the rest of a lease that the next long poll certainly renews: the
	// time until that, its timeout and a margin. A host that is late itself must not poll
	// all workers at once for nothing.
	minLeaseLeft = pollWait + 1500*time.Millisecond
)

// leaseLeft returns the time until the last lease that was granted to a worker ends on its
// clock.
func (nd *node) leaseLeft(now time.Time) time.Duration {
	return nd.deadline - nd.clock - now.Sub(nd.clockAt)
}

// renewNow renews the lease on a worker, in addition to the long poll, which has
// granted a shorter one.
func (co *Core) renewNow(now time.Time, nd *node) {
	rq := runner.PollRequest{Token: nd.fence.nextOrder(), Deadline: co.grantLease(now, nd)}
	co.emit(Poll{Worker: nd.worker, Sent: now, Request: rq, Extra: true})
}

// leaseTime returns the length of a lease that may be granted on a worker at present.
// It is not limited if the scheduler's own lease is not known.
func (co *Core) leaseTime(now time.Time) time.Duration {
	if co.leaseConfirmedAt.IsZero() {
		return TaskLeaseTime
	}
	return min(TaskLeaseTime, co.leaseConfirmedAt.Add(maxGrantTime).Sub(now))
}

// grantLease returns a new lease deadline on a worker's clock, and extends leaseEnd
// to the time by which that lease has expired. It grants no lease, and returns zero,
// as long as the worker's clock is unknown or the scheduler's own lease was not
// renewed for maxGrantTime.
func (co *Core) grantLease(now time.Time, nd *node) time.Duration {
	lease := co.leaseTime(now)
	if nd.clockAt.IsZero() || lease <= 0 {
		return 0
	}
	deadline := nd.clock + now.Sub(nd.clockAt) + lease
	nd.deadline = max(nd.deadline, deadline)
	nd.leaseSentAt = now
	nd.updateLeaseEnd()
	return deadline
}

// updateLeaseEnd sets leaseEnd by the latest deadline granted and the last reading of
// the worker's clock. The older the reading, the later a slow clock may reach the
// deadline, so each reading brings the end closer.
func (nd *node) updateLeaseEnd() {
	nd.leaseEnd = nd.earlierLeases
	if nd.deadline == 0 || nd.clockAt.IsZero() {
		return
	}
	span := time.Duration(float64(nd.deadline-nd.clock)/(1-maxClockDrift)) + replyMargin
	if end := nd.clockAt.Add(span); end.After(nd.leaseEnd) {
		nd.leaseEnd = end
	}
}

// maxStaleGrantTime is how long after the start of a worker an earlier term may grant
// it leases by the clock of its former incarnation: the length of a poll, after which
// the scheduler knows that the worker has restarted, with its timeout and margin.
const maxStaleGrantTime = pollWait + 1500*time.Millisecond

// boundStaleLeases extends the earlier leases of a worker to the end of those that it
// may have been granted by the clock of its former incarnation. Such a lease is only
// limited by the worker. The reply that has just arrived, with the worker's clock,
// shows that none is granted any more; see fence.
func (co *Core) boundStaleLeases(now time.Time, nd *node, sent time.Time, clock time.Duration) {
	startedAfter, startedBefore := sent.Add(-time.Duration(float64(clock)/(1-maxClockDrift))), now.Add(-clock)
	var granted time.Time // the last one
	if startedBefore.Before(co.beganAt) {
		granted = startedBefore.Add(maxStaleGrantTime)
	}
	// Calls of an earlier term may have arrived late. Those that arrived as this term
	// began are accounted for by formerLeasesEnd.
	if nd.hasRunsOfEarlierTerm() && now.Sub(co.beganAt) > unboundedLeaseTime-maxLeaseTime {
		lastSent := co.beganAt.Add(MaxRenewalAge)
		if known := startedBefore.Add(maxStaleGrantTime); known.Before(lastSent) {
			lastSent = known
		}
		granted = latest(granted, lastSent.Add(maxCallDelay))
	}
	if nd.fence.staleToken > 0 {
		granted = latest(granted, nd.leaseSentAt.Add(maxCallDelay))
	}
	if granted.Before(startedAfter) {
		return
	}
	if granted.After(now) {
		granted = now
	}
	nd.earlierLeases = latest(nd.earlierLeases, granted.Add(maxLeaseTime))
}

// hasRunsOfEarlierTerm reports whether a worker has runs that an earlier term may have
// started, so that calls of that term may still arrive there.
func (nd *node) hasRunsOfEarlierTerm() bool {
	for _, ru := range nd.runs {
		if ru.stage != planned && ru.sentAt.IsZero() {
			return true
		}
	}
	return false
}
