package place

import (
	"cmp"
	"slices"

	"github.com/cicadawharf/cicadawharf/pkg/spec"
)

// placement is one way to place a gang, with the fragmentation that it causes.
// Placements are compared by newlyUsed first and then by leftFree.
type placement struct {
	workers   []int // one for each task
	newlyUsed int   // workers that were entirely free and aren't any more
	leftFree  int   // accelerators that stay free in the racks used
}

// fit places a gang on the free capacity fc by best fit, so that whole workers
// and racks stay free. The result has one worker for each task.
func (fl *Fleet) fit(fc freeCapacity, sh spec.Shape) ([]int, bool) {
	switch sh.Adjacency {
	case spec.SameWorker:
		return fl.fitWorker(fc, sh)
	case spec.SameRack:
		return fl.fitRack(fc, sh)
	default:
		return fl.fitZone(fc, sh)
	}
}

// fitRack places a gang on the rack with the least free capacity that suffices.
func (fl *Fleet) fitRack(fc freeCapacity, sh spec.Shape) ([]int, bool) {
	best := -1
	least := 0
	for i, rack := range fl.racks {
		fitting := fl.countFitting(fc, sh, rack)
		if fitting >= sh.Tasks && (best < 0 || fitting < least) {
			best = i
			least = fitting
		}
	}
	if best < 0 {
		return nil, false
	}
	return fill(fc, sh, slices.Clone(fl.racks[best]))
}

// placements returns up to limit ways to place a gang on the free capacity fc,
// the one with the least fragmentation first.
func (fl *Fleet) placements(fc freeCapacity, sh spec.Shape, limit int) [][]int {
	var pls []placement
	switch sh.Adjacency {
	case spec.SameWorker:
		pls = fl.workerPlacements(fc, sh)
	case spec.SameRack:
		pls = fl.rackPlacements(fc, sh)
	default:
		pls = fl.rackPlacements(fc, sh)
		if whole, ok := fl.fitZone(fc, sh); ok {
			pls = append(pls, fl.assess(fc, sh, whole))
		}
	}
	slices.SortStableFunc(pls, comparePlacements)
	var out [][]int
	for _, pl := range pls[:min(limit, len(pls))] {
		out = append(out, pl.workers)
	}
	return out
}

// fitWorker places a gang on the worker with the least free capacity that
// suffices.
func (fl *Fleet) fitWorker(fc freeCapacity, sh spec.Shape) ([]int, bool) {
	best := -1
	for at := range fl.workers {
		if fc.taskCount(at, sh.Accelerators) < sh.Tasks {
			continue
		}
		if best < 0 || fc.accelerators[at] < fc.accelerators[best] {
			best = at
		}
	}
	if best < 0 {
		return nil, false
	}
	return slices.Repeat([]int{best}, sh.Tasks), true
}

func (fl *Fleet) workerPlacements(fc freeCapacity, sh spec.Shape) []placement {
	var pls []placement
	for at := range fl.workers {
		if fc.taskCount(at, sh.Accelerators) >= sh.Tasks {
			pls = append(pls, fl.assess(fc, sh, slices.Repeat([]int{at}, sh.Tasks)))
		}
	}
	return pls
}

func (fl *Fleet) rackPlacements(fc freeCapacity, sh spec.Shape) []placement {
	var pls []placement
	for _, rack := range fl.racks {
		if fl.countFitting(fc, sh, rack) < sh.Tasks {
			continue
		}
		if workers, ok := fill(fc, sh, slices.Clone(rack)); ok {
			pls = append(pls, fl.assess(fc, sh, workers))
		}
	}
	return pls
}

// fitZone places a gang on workers of the whole zone.
func (fl *Fleet) fitZone(fc freeCapacity, sh spec.Shape) ([]int, bool) {
	ats := make([]int, 0, len(fl.workers))
	for at := range fl.workers {
		if fc.taskCount(at, sh.Accelerators) > 0 {
			ats = append(ats, at)
		}
	}
	return fill(fc, sh, ats)
}

// fill assigns tasks to workers, those with the least free capacity first, so
// that entirely free workers stay free. It reorders its argument.
func fill(fc freeCapacity, sh spec.Shape, workers []int) ([]int, bool) {
	slices.SortFunc(workers, func(a, b int) int {
		return cmp.Or(cmp.Compare(fc.accelerators[a], fc.accelerators[b]), cmp.Compare(a, b))
	})
	out := make([]int, 0, sh.Tasks)
	for _, at := range workers {
		for range min(fc.taskCount(at, sh.Accelerators), sh.Tasks-len(out)) {
			out = append(out, at)
		}
		if len(out) == sh.Tasks {
			return out, true
		}
	}
	return nil, false
}

// countFitting counts the tasks of a shape that fit on the given workers.
func (fl *Fleet) countFitting(fc freeCapacity, sh spec.Shape, workers []int) int {
	sum := 0
	for _, at := range workers {
		sum += fc.taskCount(at, sh.Accelerators)
	}
	return sum
}

// assess returns the placement on workers with its fragmentation.
func (fl *Fleet) assess(fc freeCapacity, sh spec.Shape, workers []int) placement {
	pl := placement{workers: workers}
	racks := map[int]bool{}
	for i, at := range workers {
		if fc.accelerators[at] == fl.workers[at].Accelerators && !slices.Contains(workers[:i], at) {
			pl.newlyUsed++
		}
		racks[fl.rackOf[at]] = true
	}
	for ra := range racks {
		for _, at := range fl.racks[ra] {
			pl.leftFree += max(0, fc.accelerators[at])
		}
	}
	pl.leftFree -= sh.Total()
	return pl
}

func comparePlacements(a, b placement) int {
	return cmp.Or(cmp.Compare(a.newlyUsed, b.newlyUsed), cmp.Compare(a.leftFree, b.leftFree))
}
