package place

import (
	"cmp"
	"slices"
	"time"
)

// defragment plans to free workers for an aged gang by stopping gangs that lose
// no work when stopped and that would fit elsewhere at once. The stopped gangs
// are to be queued again; no capacity is reserved for them. Fragmented free
// capacity therefore does not starve a large gang.
func (fl *Fleet) defragment(now time.Time, rq Request) (Preempt, bool) {
	var best Preempt
	least := 0
	for _, workers := range fl.adjacencyGroups(rq.Shape) {
		pr, moved, ok := fl.defragmentWithin(now, rq, workers)
		if ok && (best.Workers == nil || moved < least) {
			best = pr
			least = moved
		}
	}
	return best, best.Workers != nil
}

// defragmentWithin plans to free capacity on the given workers and returns how
// many accelerators the gangs to be moved use.
func (fl *Fleet) defragmentWithin(now time.Time, rq Request, workers []int) (pr Preempt, moved int, ok bool) {
	fc := fl.withoutWorkers(fl.free, rq.Avoid).clone()
	var moving []Gang
	for _, ga := range fl.movableGangs(now, workers) {
		if fl.countFitting(fc, rq.Shape, workers) >= rq.Shape.Tasks {
			break
		}
		fc.adjust(ga.Workers, ga.Shape.Accelerators, 1)
		moving = append(moving, ga)
	}
	if fl.countFitting(fc, rq.Shape, workers) < rq.Shape.Tasks {
		return Preempt{}, 0, false
	}
	moving = fl.dropUnneeded(fc, rq.Shape, workers, moving)
	chosen, ok := fill(fc, rq.Shape, slices.Clone(workers))
	if !ok {
		return Preempt{}, 0, false
	}
	if !rq.Preemptible && !fl.keepsGuarantees(rq.Shape, chosen, NoUnit) {
		return Preempt{}, 0, false
	}
	fc.adjust(chosen, rq.Shape.Accelerators, -1)
	for _, ga := range moving {
		elsewhere, ok := fl.fit(fc, ga.Shape)
		if !ok {
			return Preempt{}, 0, false
		}
		fc.adjust(elsewhere, ga.Shape.Accelerators, -1)
		moved += ga.Shape.Total()
	}
	return newPreempt(now, chosen, moving), moved, true
}

// minRunTimeBeforeMove is how long a gang runs before defragmentation may move
// it.
const minRunTimeBeforeMove = 10 * time.Minute

// movableGangs lists the gangs on the given workers that defragmentation may
// move, smallest first.
func (fl *Fleet) movableGangs(now time.Time, workers []int) []Gang {
	var gas []Gang
	for id := range fl.tasksOn(workers) {
		ga := fl.gangs[id]
		if ga.Lossless && !protected(ga) && !ga.Stopping && now.Sub(ga.Started) >= minRunTimeBeforeMove {
			gas = append(gas, ga)
		}
	}
	slices.SortFunc(gas, func(a, b Gang) int {
		return cmp.Or(cmp.Compare(a.Shape.Total(), b.Shape.Total()), cmp.Compare(a.Job, b.Job))
	})
	return gas
}
