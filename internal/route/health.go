package route

import "time"

type (
	// Observation is what one attempt or probe has shown of an endpoint.
	Observation interface{ isObservation() }

	// Response is a whole answer.
	Response struct{ ServerError bool }

	// Reachable is a probe's answer.
	Reachable struct{}

	// Serving is a probe's answer by which the endpoint says that it stays.
	Serving struct{}

	// Draining is an answer by which the endpoint says that it leaves.
	Draining struct{}

	// Busy is a refusal for want of a slot.
	Busy struct{}

	// Unreachable is a connection that could not be opened, or a probe without
	// an answer.
	Unreachable struct{}

	// Failed is a connection that failed, or a deadline that passed, while a
	// request was there.
	Failed struct{}

	// Inconclusive is an attempt that shows nothing, since the caller ended it.
	Inconclusive struct{}

	// health is the standing of one endpoint.
	health struct {
		status          status
		failures        int // bad answers in a row
		connectFailures int // unreachable in a row
		successes       int // on probation, in a row
		ejections       int // times put aside in a row
		ejectedUntil    time.Time
		refusals        int       // for want of a slot, in a row
		fullUntil       time.Time // after such a refusal
	}

	status uint8
)

// The standings of an endpoint.
const (
	healthy status = iota
	probation
	ejectedUnreachable // until a probe reaches it
	ejectedFailing     // until the back-off has passed
)

const (
	maxConnectFailures  = 2
	maxFailures         = 8
	probationSuccesses  = 3
	minBackoff          = 500 * time.Millisecond
	maxBackoff          = 30 * time.Second
	maxBackoffEjections = 6

	// Where more than maxFailureRate of all attempts fail, the requests are to
	// blame and no endpoint is put aside for bad answers.
	maxFailureRate    = 0.5
	failureRateWeight = 0.02 // of one attempt in the part that fails

	// After a refusal for want of a slot, an endpoint is left alone for a
	// while: other hosts use slots that this one counts as its own.
	minFullWait      = 50 * time.Millisecond
	maxFullDoublings = 4
)

// isEjected tells whether the endpoint takes nothing new.
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

func (he *health) isUnhealthy() bool { return he.status != healthy }

// record applies evidence to an endpoint.
func (ta *Table) record(now time.Time, st *endpointState, ob Observation) {
	he := &st.health
	switch ob := ob.(type) {
	case Response:
		he.connectFailures, he.refusals = 0, 0
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
	case Busy:
		he.connectFailures = 0
		wait := minFullWait << min(he.refusals, maxFullDoublings)
		he.fullUntil = now.Add(wait + time.Duration(ta.rnd.Int64N(int64(wait/2))))
		he.refusals++
		ta.borrowing.backOff(now)
	case Unreachable:
		he.connectFailures++
		if he.connectFailures >= maxConnectFailures || he.status == probation {
			ta.eject(now, st, ejectedUnreachable)
		}
	case Failed:
		ta.recordFailure(now, st)
	case Inconclusive:
	}
}

func (ta *Table) recordFailure(now time.Time, st *endpointState) {
	ta.failureRate += (1 - ta.failureRate) * failureRateWeight
	st.health.failures++
	st.health.successes = 0
	if ta.failureRate > maxFailureRate {
		return
	}
	if st.health.failures >= maxFailures || st.health.isUnhealthy() {
		ta.eject(now, st, ejectedFailing)
	}
}

// eject takes an endpoint out of use unless too few would be left.
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

// canEject tells whether the others suffice without st.
func (ta *Table) canEject(now time.Time, st *endpointState, reason status) bool {
	known, left := 0, 0
	for _, other := range ta.states {
		if other.isDraining() {
			continue
		}
		known++
		if other != st && !other.health.isEjected(now) {
			left++
		}
	}
	if reason == ejectedFailing {
		return left >= (known+1)/2
	}
	return left >= 1
}

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
func (Busy) isObservation()         {}
func (Unreachable) isObservation()  {}
func (Failed) isObservation()       {}
func (Inconclusive) isObservation() {}
