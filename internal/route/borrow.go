package route

import "time"

// borrowing lets an entry host use free slots that belong to other hosts. The
// hosts do not coordinate: one with queued requests sends a few of them to slots
// that it does not own. If the endpoint refuses such a request, the request
// provably did not run and the owners are using their slots, so the host backs
// off.
type borrowing struct {
	limit        int           // maximum number of borrowed slots
	queuedRounds int           // consecutive calls of AdjustBorrowing with queued requests
	holdOff      time.Duration // after a refusal, before the limit may grow; zero if the queue was empty since
	growAfter    time.Time     // earliest time at which the limit may grow
}

const (
	minQueuedRounds   = 3 // consecutive calls with queued requests before slots are borrowed
	minHoldOff        = time.Second
	maxHoldOff        = 8 * time.Second
	borrowableDivisor = 2 // one in this many slots of other hosts at an endpoint may be borrowed, rounded down
)

// AdjustBorrowing adapts the maximum number of borrowed slots to the length of
// the queue. If the queue is empty, it lowers the maximum by one. From the
// minQueuedRounds-th call in a row with queued requests on, it doubles the
// maximum, starting with 1, up to the number of slots that may be borrowed at
// all endpoints. It does not raise the maximum while borrowing holds off after a
// refusal. It is meant to be called at regular intervals.
func (ta *Table) AdjustBorrowing(now time.Time, queueLength int) {
	bo := &ta.borrowing
	if queueLength == 0 {
		bo.queuedRounds, bo.holdOff = 0, 0
		bo.limit = max(bo.limit-1, 0)
		return
	}
	bo.queuedRounds++
	if bo.queuedRounds < minQueuedRounds || now.Before(bo.growAfter) {
		return
	}
	bo.limit = min(max(2*bo.limit, 1), ta.borrowable(now))
}

// backOff halves the limit after a refusal, since the owners use their slots,
// and doubles the time until it may grow again, up to maxHoldOff.
func (bo *borrowing) backOff(now time.Time) {
	bo.limit /= 2
	bo.holdOff = min(max(2*bo.holdOff, minHoldOff), maxHoldOff)
	bo.growAfter = now.Add(bo.holdOff)
}

// borrowable returns the maximum number of borrowed slots over all endpoints.
func (ta *Table) borrowable(now time.Time) int {
	total := 0
	for _, st := range ta.states {
		total += st.borrowable(now)
	}
	return total
}

// borrowed returns the number of borrowed slots in use.
func (ta *Table) borrowed() int {
	total := 0
	for _, st := range ta.states {
		total += max(st.inUse-st.owned, 0)
	}
	return total
}

// pickBorrowed returns the endpoint with the most slots left to borrow, or nil
// if there is none or the limit is reached.
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
		if left := st.owned + st.borrowable(now) - st.inUse; left > most {
			best, most = st, left
		}
	}
	return best
}

// borrowable returns the maximum number of slots of other hosts that may be
// borrowed at the endpoint.
func (st *endpointState) borrowable(now time.Time) int {
	if st.isDraining() || st.health.isUnhealthy() || st.health.isEjected(now) {
		return 0
	}
	return (st.Slots - st.owned) / borrowableDivisor
}
