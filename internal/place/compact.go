package place

import (
	"cmp"
	"slices"
	"time"
)

// compact frees a spot for an aged gang by moving gangs that keep their work
// when stopped and for which there is room elsewhere at once. It costs no work
// and takes no ground from anybody, so that scattered free accelerators do not
// starve a large gang.
func (fl *Fleet) compact(now time.Time, rq Request) (Reclaim, bool) {
	var best Reclaim
	least := 0
	for _, workers := range fl.domains(rq.Shape) {
		rc, moved, ok := fl.compactIn(now, rq, workers)
		if ok && (best.Workers == nil || moved < least) {
			best = rc
			least = moved
		}
	}
	return best, best.Workers != nil
}

// compactIn frees a spot on some workers and tells how many accelerators have
// to move.
func (fl *Fleet) compactIn(now time.Time, rq Request, workers []int) (rc Reclaim, moved int, ok bool) {
	gr := fl.without(fl.room, rq.Avoid).clone()
	var taken []Gang
	for _, ga := range fl.portable(now, workers) {
		if fl.capacity(gr, rq.Shape, workers) >= rq.Shape.Tasks {
			break
		}
		gr.take(ga.Workers, ga.Shape.Accelerators, 1)
		taken = append(taken, ga)
	}
	if fl.capacity(gr, rq.Shape, workers) < rq.Shape.Tasks {
		return Reclaim{}, 0, false
	}
	taken = fl.spare(gr, rq.Shape, workers, taken)
	spot, ok := fill(gr, rq.Shape, slices.Clone(workers))
	if !ok {
		return Reclaim{}, 0, false
	}
	if !rq.Movable && !fl.spares(rq.Shape, spot, NoUnit) {
		return Reclaim{}, 0, false
	}
	gr.take(spot, rq.Shape.Accelerators, -1)
	for _, ga := range taken {
		elsewhere, ok := fl.fit(gr, ga.Shape)
		if !ok {
			return Reclaim{}, 0, false
		}
		gr.take(elsewhere, ga.Shape.Accelerators, -1)
		moved += ga.Shape.Total()
	}
	return newReclaim(now, spot, taken), moved, true
}

// settledTime is how long a gang stays where it is before it may be moved.
const settledTime = 10 * time.Minute

// portable lists the gangs on workers that may be moved, the smallest first.
func (fl *Fleet) portable(now time.Time, workers []int) []Gang {
	var gas []Gang
	for id := range fl.tasksOn(workers) {
		ga := fl.gangs[id]
		if ga.Lossless && !firmGang(ga) && !ga.Busy && now.Sub(ga.Started) >= settledTime {
			gas = append(gas, ga)
		}
	}
	slices.SortFunc(gas, func(a, b Gang) int {
		return cmp.Or(cmp.Compare(a.Shape.Total(), b.Shape.Total()), cmp.Compare(a.Job, b.Job))
	})
	return gas
}
