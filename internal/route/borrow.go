package route

import "time"

// borrowing lets a host use idle slots of others. A host lends nothing knowingly:
// one whose requests wait tries a few slots that it does not own, and takes a
// refusal by the endpoint, which is a safe "did not run", as the sign that
// their owner needs them.
type borrowing struct {
	limit       int // slots of others that may be in use
	busyReviews int // reviews in a row at which requests waited
	holdOff     time.Duration
	growAfter   time.Time // no more is tried before
}

const (
	minBusyReviews  = 3 // in a row with waiting requests before the first loan
	minHoldOff      = time.Second
	maxHoldOff      = 8 * time.Second
	lendableDivisor = 2 // an owner keeps one in so many of its slots at an endpoint
)

// AdjustBorrowing adapts how many slots of other hosts may be used to the number of
// requests that wait for one. It is meant to be called at even intervals.
func (ta *Table) AdjustBorrowing(now time.Time, waiting int) {
	bo := &ta.borrowing
	if waiting == 0 {
		bo.busyReviews, bo.holdOff = 0, 0
		bo.limit = max(bo.limit-1, 0)
		return
	}
	bo.busyReviews++
	if bo.busyReviews < minBusyReviews || now.Before(bo.growAfter) {
		return
	}
	bo.limit = min(max(2*bo.limit, 1), ta.lendable(now))
}

// backOff gives up loans, since owners need their slots.
func (bo *borrowing) backOff(now time.Time) {
	bo.limit /= 2
	bo.holdOff = min(max(2*bo.holdOff, minHoldOff), maxHoldOff)
	bo.growAfter = now.Add(bo.holdOff)
}

// lendable returns the slots of other hosts that may be used at most.
func (ta *Table) lendable(now time.Time) int {
	total := 0
	for _, st := range ta.states {
		total += st.lendable(now)
	}
	return total
}

// borrowed returns the slots of other hosts that are in use.
func (ta *Table) borrowed() int {
	total := 0
	for _, st := range ta.states {
		total += max(st.inUse-st.owned, 0)
	}
	return total
}

// pickBorrowed returns the endpoint at which the smallest part of what can be
// borrowed is in use, or nil.
func (ta *Table) pickBorrowed(now time.Time, tried []string) *endpointState {
	if ta.borrowed() >= ta.borrowing.limit {
		return nil
	}
	var best *endpointState
	most := 0
	for _, st := range ta.states {
		if !st.accepts(now, tried) {
			continue
		}
		if left := st.owned + st.lendable(now) - st.inUse; left > most {
			best, most = st, left
		}
	}
	return best
}

// lendable returns the slots of other hosts at the endpoint that may be used.
func (st *endpointState) lendable(now time.Time) int {
	if st.isDraining() || st.health.isUnhealthy() || st.health.isEjected(now) {
		return 0
	}
	return (st.Slots - st.owned) / lendableDivisor
}
