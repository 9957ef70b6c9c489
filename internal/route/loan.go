package route

import "time"

// loans lets a host use idle slots of others. A host lends nothing knowingly:
// one whose requests wait tries a few slots that it does not own, and takes a
// refusal by the endpoint, which is a safe "did not run", as the sign that
// their owner needs them.
type loans struct {
	limit    int // slots of others that may be in use
	waited   int // reviews in a row at which requests waited
	holdOff  time.Duration
	growFrom time.Time // no more is tried before
}

const (
	loanReviews    = 3 // in a row with waiting requests before the first loan
	minLoanHoldOff = time.Second
	maxLoanHoldOff = 8 * time.Second
	lentPart       = 2 // an owner keeps one in so many of its slots at an endpoint
)

// Review adapts how many slots of other hosts may be used to the number of
// requests that wait for one. It is meant to be called at even intervals.
func (ta *Table) Review(now time.Time, waiting int) {
	lo := &ta.loans
	if waiting == 0 {
		lo.waited, lo.holdOff = 0, 0
		lo.limit = max(lo.limit-1, 0)
		return
	}
	lo.waited++
	if lo.waited < loanReviews || now.Before(lo.growFrom) {
		return
	}
	lo.limit = min(max(2*lo.limit, 1), ta.lendable(now))
}

// refused gives up loans, since owners need their slots.
func (lo *loans) refused(now time.Time) {
	lo.limit /= 2
	lo.holdOff = min(max(2*lo.holdOff, minLoanHoldOff), maxLoanHoldOff)
	lo.growFrom = now.Add(lo.holdOff)
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

// pickLoan returns the endpoint at which the smallest part of what can be
// borrowed is in use, or nil.
func (ta *Table) pickLoan(now time.Time, tried []string) *state {
	if ta.borrowed() >= ta.loans.limit {
		return nil
	}
	var best *state
	most := 0
	for _, st := range ta.states {
		if !st.takes(now, tried) {
			continue
		}
		if left := st.owned + st.lendable(now) - st.inUse; left > most {
			best, most = st, left
		}
	}
	return best
}

// lendable returns the slots of other hosts at the endpoint that may be used.
func (st *state) lendable(now time.Time) int {
	if st.leaves() || st.health.onProbation() || st.health.aside(now) {
		return 0
	}
	return (st.Slots - st.owned) / lentPart
}
