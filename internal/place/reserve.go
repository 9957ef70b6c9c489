package place

import (
	"cmp"
	"slices"
	"time"
)

// agedReservation is capacity reserved for an aged job: its workers and the time
// from which they are expected to be free.
type agedReservation struct {
	workers      []int
	accelerators int
	from         time.Time
}

// maxAgedReservations bounds the aged jobs with a reservation, so that the rest
// of the zone stays available for backfilling.
const maxAgedReservations = 4

// ReserveForAged reserves the workers on which an aged gang can start earliest by
// the expected ends of the gangs running there. Until ClearAgedReservations is
// called, another gang is placed on them without preemption only if it is
// expected to end before that time (backfilling), or if it uses a guaranteed
// unit. ReserveForAged reports whether it made a reservation.
func (fl *Fleet) ReserveForAged(now time.Time, rq Request) bool {
	if len(fl.agedReservations) >= maxAgedReservations {
		return false
	}
	best := agedReservation{}
	for _, workers := range fl.adjacencyGroups(rq.Shape) {
		if rv, ok := fl.earliestStart(now, rq, workers); ok && (best.workers == nil || rv.from.Before(best.from)) {
			best = rv
		}
	}
	if best.workers == nil {
		return false
	}
	fl.agedReservations = append(fl.agedReservations, best)
	return true
}

// ClearAgedReservations removes all reservations made by ReserveForAged.
func (fl *Fleet) ClearAgedReservations() { fl.agedReservations = nil }

// earliestStart finds the earliest time at which a gang fits on a group of
// workers. It returns false if the gang would not fit even after all gangs there
// have ended.
func (fl *Fleet) earliestStart(now time.Time, rq Request, workers []int) (agedReservation, bool) {
	fc := fl.withoutWorkers(fl.withoutAgedReservations(fl.free, now), rq.Avoid).clone()
	from := now
	for _, ga := range fl.byEnd(workers) {
		if fl.countFitting(fc, rq.Shape, workers) >= rq.Shape.Tasks {
			break
		}
		fc.adjust(ga.Workers, ga.Shape.Accelerators, 1)
		from = ga.ExpectedEnd
	}
	chosen, ok := fill(fc, rq.Shape, slices.Clone(workers))
	return agedReservation{workers: chosen, accelerators: rq.Shape.Accelerators, from: from}, ok
}

// byEnd returns the gangs on the given workers ordered by expected end.
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

// withoutAgedReservations returns the capacity that isn't reserved for aged jobs
// until the given time: fc without the reservations that begin before then. It
// returns fc itself, not a copy, if there are none.
func (fl *Fleet) withoutAgedReservations(fc freeCapacity, until time.Time) freeCapacity {
	cloned := false
	for _, rv := range fl.agedReservations {
		if !until.After(rv.from) {
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
