package route

import "time"

type (
	// Observation is what one attempt or probe has shown about an endpoint, and
	// updates its health. In contrast, AttemptResult is about the request.
	Observation interface{ isObservation() }

	// Response is a complete response to a request.
	Response struct{ ServerError bool }

	// Reachable is a successful probe whose response does not state whether the
	// endpoint is in service, or one that was not sent because every permitted
	// connection to the endpoint is in use.
	Reachable struct{}

	// Serving is a response to a probe in which the endpoint states that it is
	// in service.
	Serving struct{}

	// Draining is a response in which the endpoint states that it is shutting
	// down.
	Draining struct{}

	// NoFreeSlot is a refusal because the endpoint has no free slot.
	NoFreeSlot struct{}

	// Unreachable is a connection that could not be opened for a request, or a
	// failed probe.
	Unreachable struct{}

	// Failed is a connection that broke or a deadline that passed while a
	// request was in progress, or a response that belongs to another request.
	Failed struct{}

	// Inconclusive is an attempt that shows nothing about the endpoint: the
	// request was not sent, the caller disconnected, or the deadline was too
	// short to tell a slow endpoint from one that hangs.
	Inconclusive struct{}

	// health is the state of outlier detection for one endpoint. Its counts are
	// of consecutive events.
	health struct {
		status          status
		failures        int // failed attempts, including server errors
		connectFailures int
		successes       int // on probation
		ejections       int // without a passed probation in between
		ejectedUntil    time.Time
		fullRefusals    int       // of requests, because the endpoint had no free slot
		fullUntil       time.Time // no request is sent before, because of such a refusal
	}

	status uint8
)

// The health states of an endpoint. An endpoint with ejectedFailing counts as on
// probation once ejectedUntil has passed, although its status stays the same.
const (
	healthy status = iota
	probation
	ejectedUnreachable // until a probe succeeds after ejectedUntil
	ejectedFailing     // until ejectedUntil
)

const (
	ejectAfterConnectFailures = 2 // in a row
	ejectAfterFailures        = 8 // in a row
	probationSuccesses        = 3
	minBackoff                = 500 * time.Millisecond
	maxBackoff                = 30 * time.Second // not reached: minBackoff doubles at most five times, to 16 s
	maxBackoffEjections       = 6                // the backoff does not double any more after this many ejections

	// If the failure rate over all endpoints exceeds maxFailureRate, the
	// requests are taken to be the cause and no endpoint is ejected for failed
	// attempts.
	maxFailureRate    = 0.5
	failureRateWeight = 0.02 // of one attempt in the moving average

	// minFullWait is the first pause after an endpoint has refused a request
	// because no slot was free, that is, while other hosts use slots that this
	// host considers its own. The pause doubles with every further refusal.
	minFullWait      = 50 * time.Millisecond
	maxFullDoublings = 4
)

// isEjected reports whether the endpoint gets no requests because of its
// failures.
func (he *health) isEjected(now time.Time) bool {
	switch he.status {
	case ejectedUnreachable:
		return true
	case ejectedFailing:
		return now.Before(he.ejectedUntil)
	default:
		return false
	}
}

// isUnhealthy reports whether the endpoint is ejected or on probation.
func (he *health) isUnhealthy() bool { return he.status != healthy }

// record updates the health of an endpoint with an observation.
func (ta *Table) record(now time.Time, st *endpointState, ob Observation) {
	he := &st.health
	switch ob := ob.(type) {
	case Response:
		he.connectFailures, he.fullRefusals = 0, 0
		if ob.ServerError {
			ta.recordFailure(now, st)
			return
		}
		ta.failureRate -= ta.failureRate * failureRateWeight
		he.recordSuccess(now)
	case Reachable, Serving:
		if _, ok := ob.(Serving); ok {
			st.announcedDraining = false
		}
		he.connectFailures = 0
		if he.status == ejectedUnreachable && !now.Before(he.ejectedUntil) {
			he.status = probation
		}
	case Draining:
		st.announcedDraining = true
		he.connectFailures = 0
	case NoFreeSlot:
		he.connectFailures = 0
		wait := minFullWait << min(he.fullRefusals, maxFullDoublings)
		he.fullUntil = now.Add(wait + time.Duration(ta.rnd.Int64N(int64(wait/2))))
		he.fullRefusals++
		ta.borrowing.backOff(now)
	case Unreachable:
		he.connectFailures++
		if he.connectFailures >= ejectAfterConnectFailures || he.status == probation {
			ta.eject(now, st, ejectedUnreachable)
		}
	case Failed:
		ta.recordFailure(now, st)
	case Inconclusive:
	}
}

// recordFailure records a failed attempt, and ejects the endpoint after
// ejectAfterFailures of them in a row, or after one if the endpoint is
// unhealthy.
func (ta *Table) recordFailure(now time.Time, st *endpointState) {
	ta.failureRate += (1 - ta.failureRate) * failureRateWeight
	st.health.failures++
	st.health.successes = 0
	if ta.failureRate > maxFailureRate {
		return
	}
	if st.health.failures >= ejectAfterFailures || st.health.isUnhealthy() {
		ta.eject(now, st, ejectedFailing)
	}
}

// eject takes an endpoint out of use unless too few would remain. The backoff
// doubles with every ejection and is randomized by up to half of it in either
// direction.
func (ta *Table) eject(now time.Time, st *endpointState, reason status) {
	he := &st.health
	if he.isEjected(now) || !ta.canEject(now, st, reason) {
		return
	}
	he.ejections = min(he.ejections+1, maxBackoffEjections)
	wait := min(minBackoff<<(he.ejections-1), maxBackoff)
	he.status = reason
	he.ejectedUntil = now.Add(wait/2 + time.Duration(ta.rnd.Int64N(int64(wait))))
	he.failures = 0
	he.successes = 0
}

// canEject reports whether enough endpoints remain in use without st: half of
// those that are not draining if the reason is failed attempts, one if st is
// unreachable.
func (ta *Table) canEject(now time.Time, st *endpointState, reason status) bool {
	notDraining, remaining := 0, 0
	for _, other := range ta.states {
		if other.isDraining() {
			continue
		}
		notDraining++
		if other != st && !other.health.isEjected(now) {
			remaining++
		}
	}
	if reason == ejectedFailing {
		return remaining >= (notDraining+1)/2
	}
	return remaining >= 1
}

// recordSuccess records a successful attempt. On probation, probationSuccesses
// of them in a row make the endpoint healthy.
func (he *health) recordSuccess(now time.Time) {
	he.failures = 0
	if he.status == healthy || he.isEjected(now) {
		return
	}
	he.successes++
	if he.successes >= probationSuccesses {
		*he = health{}
	}
}

func (Response) isObservation()     {}
func (Reachable) isObservation()    {}
func (Serving) isObservation()      {}
func (Draining) isObservation()     {}
func (NoFreeSlot) isObservation()   {}
func (Unreachable) isObservation()  {}
func (Failed) isObservation()       {}
func (Inconclusive) isObservation() {}
