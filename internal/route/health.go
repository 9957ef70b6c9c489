package route

import "time"

type (
	// Evidence is what one attempt or probe has shown of an endpoint.
	Evidence interface{ isEvidence() }

	// Answered is a whole answer.
	Answered struct{ ServerError bool }

	// Reachable is a probe's answer.
	Reachable struct{}

	// Live is a probe's answer by which the endpoint says that it stays.
	Live struct{}

	// Leaves is an answer by which the endpoint says that it leaves.
	Leaves struct{}

	// Busy is a refusal for want of a slot.
	Busy struct{}

	// Unreachable is a connection that could not be opened, or a probe without
	// an answer.
	Unreachable struct{}

	// Broken is a connection that failed, or a deadline that passed, while a
	// request was there.
	Broken struct{}

	// Nothing is an attempt that shows nothing, since the caller ended it.
	Nothing struct{}

	// health is the standing of one endpoint.
	health struct {
		standing  standing
		failures  int // bad answers in a row
		misses    int // unreachable in a row
		successes int // on probation, in a row
		rounds    int // times put aside in a row
		until     time.Time
		refusals  int       // for want of a slot, in a row
		fullUntil time.Time // after such a refusal
	}

	standing uint8
)

// The standings of an endpoint.
const (
	good standing = iota
	probation
	unreachable // until a probe reaches it
	faulty      // until the back-off has passed
)

const (
	maxMisses        = 2
	maxFailures      = 8
	probationPassed  = 3
	minBackoff       = 500 * time.Millisecond
	maxBackoff       = 30 * time.Second
	maxBackoffRounds = 6

	// Where more than badTraffic of all attempts fail, the requests are to
	// blame and no endpoint is put aside for bad answers.
	badTraffic = 0.5
	badShare   = 0.02 // of one attempt in the part that fails

	// After a refusal for want of a slot, an endpoint is left alone for a
	// while: other hosts use slots that this one counts as its own.
	minFull         = 50 * time.Millisecond
	maxFullDoubling = 4
)

// aside tells whether the endpoint takes nothing new.
func (he *health) aside(now time.Time) bool {
	switch he.standing {
	case unreachable:
		return true
	case faulty:
		return now.Before(he.until)
	default:
		return false
	}
}

func (he *health) onProbation() bool { return he.standing != good }

// enter applies evidence to an endpoint.
func (ta *Table) enter(now time.Time, st *state, ev Evidence) {
	he := &st.health
	switch ev := ev.(type) {
	case Answered:
		he.misses, he.refusals = 0, 0
		if ev.ServerError {
			ta.fail(now, st)
			return
		}
		ta.bad -= ta.bad * badShare
		he.succeed(now)
	case Reachable, Live:
		if _, ok := ev.(Live); ok {
			st.said = false
		}
		he.misses = 0
		if he.standing == unreachable && !now.Before(he.until) {
			he.standing = probation
		}
	case Leaves:
		st.said = true
		he.misses = 0
	case Busy:
		he.misses = 0
		wait := minFull << min(he.refusals, maxFullDoubling)
		he.fullUntil = now.Add(wait + time.Duration(ta.rnd.Int64N(int64(wait/2))))
		he.refusals++
		ta.loans.refused(now)
	case Unreachable:
		he.misses++
		if he.misses >= maxMisses || he.standing == probation {
			ta.putAside(now, st, unreachable)
		}
	case Broken:
		ta.fail(now, st)
	case Nothing:
	}
}

func (ta *Table) fail(now time.Time, st *state) {
	ta.bad += (1 - ta.bad) * badShare
	st.health.failures++
	st.health.successes = 0
	if ta.bad > badTraffic {
		return
	}
	if st.health.failures >= maxFailures || st.health.onProbation() {
		ta.putAside(now, st, faulty)
	}
}

// putAside takes an endpoint out of use unless too few would be left.
func (ta *Table) putAside(now time.Time, st *state, why standing) {
	he := &st.health
	if he.aside(now) || !ta.spare(now, st, why) {
		return
	}
	he.rounds = min(he.rounds+1, maxBackoffRounds)
	wait := min(minBackoff<<(he.rounds-1), maxBackoff)
	he.standing = why
	he.until = now.Add(wait/2 + time.Duration(ta.rnd.Int64N(int64(wait))))
	he.failures = 0
	he.successes = 0
}

// spare tells whether the others suffice without st.
func (ta *Table) spare(now time.Time, st *state, why standing) bool {
	known, left := 0, 0
	for _, other := range ta.states {
		if other.leaves() {
			continue
		}
		known++
		if other != st && !other.health.aside(now) {
			left++
		}
	}
	if why == faulty {
		return left >= (known+1)/2
	}
	return left >= 1
}

func (he *health) succeed(now time.Time) {
	he.failures = 0
	if he.standing == good || he.aside(now) {
		return
	}
	he.successes++
	if he.successes >= probationPassed {
		*he = health{}
	}
}

func (Answered) isEvidence()    {}
func (Reachable) isEvidence()   {}
func (Live) isEvidence()        {}
func (Leaves) isEvidence()      {}
func (Busy) isEvidence()        {}
func (Unreachable) isEvidence() {}
func (Broken) isEvidence()      {}
func (Nothing) isEvidence()     {}
