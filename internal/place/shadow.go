package place

import (
	"cmp"
	"slices"
	"time"
)

// reservation is ground that is kept for an aged job: its workers and the time by
// which they should be free for it.
type reservation struct {
	workers      []int
	accelerators int
	from         time.Time
}

// maxReservations bounds the aged jobs that ground is kept for at the same time, so
// that the rest of the zone goes on being filled.
const maxReservations = 4

// Reserve keeps the ground on which a waiting gang could start first, going by
// the expected ends of the gangs that stand there. Until ClearReserved, other
// gangs are placed there only if they are expected to end before, unless a
// guarantee gives them the ground. It tells whether ground was found.
func (fl *Fleet) Reserve(now time.Time, rq Request) bool {
	if len(fl.reserved) >= maxReservations {
		return false
	}
	best := reservation{}
	for _, workers := range fl.adjacencyGroups(rq.Shape) {
		if rv, ok := fl.firstFree(now, rq, workers); ok && (best.workers == nil || rv.from.Before(best.from)) {
			best = rv
		}
	}
	if best.workers == nil {
		return false
	}
	fl.reserved = append(fl.reserved, best)
	return true
}

// ClearReserved ends what Reserve keeps.
func (fl *Fleet) ClearReserved() { fl.reserved = nil }

// firstFree finds when a group of workers has room for a gang.
func (fl *Fleet) firstFree(now time.Time, rq Request, workers []int) (reservation, bool) {
	fc := fl.excluding(fl.withoutReserved(fl.free, now), rq.Avoid).clone()
	from := now
	for _, ga := range fl.byEnd(workers) {
		if fl.countFitting(fc, rq.Shape, workers) >= rq.Shape.Tasks {
			break
		}
		fc.adjust(ga.Workers, ga.Shape.Accelerators, 1)
		from = ga.ExpectedEnd
	}
	chosen, ok := fill(fc, rq.Shape, slices.Clone(workers))
	return reservation{workers: chosen, accelerators: rq.Shape.Accelerators, from: from}, ok
}

// byEnd returns the gangs on some workers in the order of their expected ends.
func (fl *Fleet) byEnd(workers []int) []Gang {
	seen := map[string]bool{}
	var gas []Gang
	for _, at := range workers {
		for _, id := range fl.jobsOn[at] {
			if !seen[id] {
				seen[id] = true
				gas = append(gas, fl.gangs[id])
			}
		}
	}
	slices.SortFunc(gas, func(a, b Gang) int {
		return cmp.Or(a.ExpectedEnd.Compare(b.ExpectedEnd), cmp.Compare(a.Job, b.Job))
	})
	return gas
}

// withoutReserved returns the ground for a gang that is expected to end at a time,
// without what is kept for aged jobs from before then.
func (fl *Fleet) withoutReserved(fc freeCapacity, ends time.Time) freeCapacity {
	cloned := false
	for _, rv := range fl.reserved {
		if !ends.After(rv.from) {
			continue
		}
		if !cloned {
			fc = fc.clone()
			cloned = true
		}
		fc.adjust(rv.workers, rv.accelerators, -1)
	}
	return fc
}
