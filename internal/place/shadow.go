package place

import (
	"cmp"
	"slices"
	"time"
)

// shadow is ground that is kept for an aged job: its workers and the time by
// which they should be free for it.
type shadow struct {
	workers      []int
	accelerators int
	from         time.Time
}

// maxShadows bounds the aged jobs that ground is kept for at the same time, so
// that the rest of the zone goes on being filled.
const maxShadows = 4

// Reserve keeps the ground on which a waiting gang could start first, going by
// the expected ends of the gangs that stand there. Until ClearReserved, other
// gangs are placed there only if they are expected to end before, unless a
// guarantee gives them the ground. It tells whether ground was found.
func (fl *Fleet) Reserve(now time.Time, rq Request) bool {
	if len(fl.shadows) >= maxShadows {
		return false
	}
	best := shadow{}
	for _, workers := range fl.domains(rq.Shape) {
		if sh, ok := fl.firstFree(now, rq, workers); ok && (best.workers == nil || sh.from.Before(best.from)) {
			best = sh
		}
	}
	if best.workers == nil {
		return false
	}
	fl.shadows = append(fl.shadows, best)
	return true
}

// ClearReserved ends what Reserve keeps.
func (fl *Fleet) ClearReserved() { fl.shadows = nil }

// firstFree finds when a group of workers has room for a gang.
func (fl *Fleet) firstFree(now time.Time, rq Request, workers []int) (shadow, bool) {
	gr := fl.without(fl.shaded(fl.room, now), rq.Avoid).clone()
	from := now
	for _, ga := range fl.byEnd(workers) {
		if fl.capacity(gr, rq.Shape, workers) >= rq.Shape.Tasks {
			break
		}
		gr.take(ga.Workers, ga.Shape.Accelerators, 1)
		from = ga.Ends
	}
	spot, ok := fill(gr, rq.Shape, slices.Clone(workers))
	return shadow{workers: spot, accelerators: rq.Shape.Accelerators, from: from}, ok
}

// byEnd returns the gangs on some workers in the order of their expected ends.
func (fl *Fleet) byEnd(workers []int) []Gang {
	seen := map[string]bool{}
	var gas []Gang
	for _, at := range workers {
		for _, id := range fl.here[at] {
			if !seen[id] {
				seen[id] = true
				gas = append(gas, fl.gangs[id])
			}
		}
	}
	slices.SortFunc(gas, func(a, b Gang) int {
		return cmp.Or(a.Ends.Compare(b.Ends), cmp.Compare(a.Job, b.Job))
	})
	return gas
}

// shaded returns the ground for a gang that is expected to end at a time,
// without what is kept for aged jobs from before then.
func (fl *Fleet) shaded(gr ground, ends time.Time) ground {
	cloned := false
	for _, sh := range fl.shadows {
		if !ends.After(sh.from) {
			continue
		}
		if !cloned {
			gr = gr.clone()
			cloned = true
		}
		gr.take(sh.workers, sh.accelerators, -1)
	}
	return gr
}
