package place

import (
	"cmp"
	"slices"

	"github.com/cicadawharf/cicadawharf/pkg/spec"
)

// spread is one way to place a gang, with what it costs the rest.
type spread struct {
	workers []int // one for each task
	broken  int   // workers that were wholly free and now are not
	left    int   // accelerators left free in the racks that it touches
}

// fit finds the workers for a gang on gr that leave the largest whole pieces
// free. The result has one worker for each task.
func (fl *Fleet) fit(gr ground, sh spec.Shape) ([]int, bool) {
	switch sh.Adjacency {
	case spec.SameWorker:
		return fl.fitWorker(gr, sh)
	case spec.SameRack:
		return fl.fitRack(gr, sh)
	default:
		return fl.fitZone(gr, sh)
	}
}

// fitRack takes the rack with the least room that suffices.
func (fl *Fleet) fitRack(gr ground, sh spec.Shape) ([]int, bool) {
	best := -1
	least := 0
	for i, rack := range fl.racks {
		room := fl.capacity(gr, sh, rack)
		if room >= sh.Tasks && (best < 0 || room < least) {
			best = i
			least = room
		}
	}
	if best < 0 {
		return nil, false
	}
	return fill(gr, sh, slices.Clone(fl.racks[best]))
}

// spotsOf returns several ways to place a gang on gr, best first, at most limit.
func (fl *Fleet) spotsOf(gr ground, sh spec.Shape, limit int) [][]int {
	var sps []spread
	switch sh.Adjacency {
	case spec.SameWorker:
		sps = fl.workerSpreads(gr, sh)
	case spec.SameRack:
		sps = fl.rackSpreads(gr, sh)
	default:
		sps = fl.rackSpreads(gr, sh)
		if whole, ok := fl.fitZone(gr, sh); ok {
			sps = append(sps, fl.measure(gr, sh, whole))
		}
	}
	slices.SortStableFunc(sps, compareSpreads)
	var out [][]int
	for _, sp := range sps[:min(limit, len(sps))] {
		out = append(out, sp.workers)
	}
	return out
}

// fitWorker takes the worker with the least room that suffices.
func (fl *Fleet) fitWorker(gr ground, sh spec.Shape) ([]int, bool) {
	best := -1
	for at := range fl.workers {
		if gr.fits(at, sh.Accelerators) < sh.Tasks {
			continue
		}
		if best < 0 || gr.accelerators[at] < gr.accelerators[best] {
			best = at
		}
	}
	if best < 0 {
		return nil, false
	}
	return slices.Repeat([]int{best}, sh.Tasks), true
}

func (fl *Fleet) workerSpreads(gr ground, sh spec.Shape) []spread {
	var sps []spread
	for at := range fl.workers {
		if gr.fits(at, sh.Accelerators) >= sh.Tasks {
			sps = append(sps, fl.measure(gr, sh, slices.Repeat([]int{at}, sh.Tasks)))
		}
	}
	return sps
}

func (fl *Fleet) rackSpreads(gr ground, sh spec.Shape) []spread {
	var sps []spread
	for _, rack := range fl.racks {
		if fl.capacity(gr, sh, rack) < sh.Tasks {
			continue
		}
		if workers, ok := fill(gr, sh, slices.Clone(rack)); ok {
			sps = append(sps, fl.measure(gr, sh, workers))
		}
	}
	return sps
}

// fitZone fills workers of the whole zone, the fullest first.
func (fl *Fleet) fitZone(gr ground, sh spec.Shape) ([]int, bool) {
	all := make([]int, 0, len(fl.workers))
	for at := range fl.workers {
		if gr.fits(at, sh.Accelerators) > 0 {
			all = append(all, at)
		}
	}
	return fill(gr, sh, all)
}

// fill puts tasks on workers, those with the least room first, so that wholly
// free workers stay so. It reorders its argument.
func fill(gr ground, sh spec.Shape, workers []int) ([]int, bool) {
	slices.SortFunc(workers, func(a, b int) int {
		return cmp.Or(cmp.Compare(gr.accelerators[a], gr.accelerators[b]), cmp.Compare(a, b))
	})
	out := make([]int, 0, sh.Tasks)
	for _, at := range workers {
		for range min(gr.fits(at, sh.Accelerators), sh.Tasks-len(out)) {
			out = append(out, at)
		}
		if len(out) == sh.Tasks {
			return out, true
		}
	}
	return nil, false
}

// capacity counts the tasks of a shape that some workers take.
func (fl *Fleet) capacity(gr ground, sh spec.Shape, workers []int) int {
	sum := 0
	for _, at := range workers {
		sum += gr.fits(at, sh.Accelerators)
	}
	return sum
}

func (fl *Fleet) measure(gr ground, sh spec.Shape, workers []int) spread {
	sp := spread{workers: workers}
	touched := map[int]bool{}
	for i, at := range workers {
		if gr.accelerators[at] == fl.workers[at].Accelerators && !slices.Contains(workers[:i], at) {
			sp.broken++
		}
		touched[fl.rackOf[at]] = true
	}
	for ra := range touched {
		for _, at := range fl.racks[ra] {
			sp.left += max(0, gr.accelerators[at])
		}
	}
	sp.left -= sh.Total()
	return sp
}

func compareSpreads(a, b spread) int {
	return cmp.Or(cmp.Compare(a.broken, b.broken), cmp.Compare(a.left, b.left))
}
