package place

import (
	"slices"

	"github.com/cicadawharf/cicadawharf/pkg/spec"
)

// enter has a gang use its unit: the spot of the unit becomes firm. A gang
// whose ground is not known, or is taken, gets a spot around its workers.
func (fl *Fleet) enter(ga Gang) Gang {
	fl.dropSpot(ga.Unit)
	fl.used[ga.Unit] = true
	sh := fl.units[ga.Unit].Shape
	if len(ga.Ground) != sh.Tasks {
		ga.Ground = fl.groundAround(ga, sh)
	}
	fl.firm.take(ga.Ground, sh.Accelerators, -1)
	fl.open.take(ga.Ground, sh.Accelerators, -1)
	fl.yield()
	return ga
}

// leave ends the use of a unit, which keeps its spot if that was a whole one.
func (fl *Fleet) leave(ga Gang) {
	sh := fl.units[ga.Unit].Shape
	fl.used[ga.Unit] = false
	fl.firm.take(ga.Ground, sh.Accelerators, 1)
	if len(ga.Ground) == sh.Tasks && fl.standing(ga.Ground) {
		fl.spots[ga.Unit] = ga.Ground
		return
	}
	fl.open.take(ga.Ground, sh.Accelerators, 1)
	fl.stale = true
}

// standing tells whether all workers of a spot are usable.
func (fl *Fleet) standing(spot []int) bool {
	for _, at := range spot {
		if !fl.workers[at].Usable {
			return false
		}
	}
	return true
}

// groundAround returns a spot of a unit that has a gang's workers in it, or,
// where there is none, the workers alone.
func (fl *Fleet) groundAround(ga Gang, sh spec.Shape) []int {
	spot := slices.Clone(ga.Workers)
	gr := fl.open.clone()
	gr.take(spot, sh.Accelerators, -1)
	rest := sh
	rest.Tasks = sh.Tasks - len(spot)
	if rest.Tasks <= 0 || len(spot) == 0 {
		return spot
	}
	for _, workers := range fl.domains(sh) {
		if !slices.Contains(workers, spot[0]) {
			continue
		}
		if more, ok := fill(gr, rest, slices.Clone(workers)); ok {
			return append(spot, more...)
		}
	}
	return spot
}

// dropSpot gives up the spot of an unused unit.
func (fl *Fleet) dropSpot(unit int) {
	if spot := fl.spots[unit]; spot != nil {
		fl.open.take(spot, fl.units[unit].Shape.Accelerators, 1)
		fl.spots[unit] = nil
	}
}

// yield moves the spots of unused units when firm work has come to stand on
// one of them.
func (fl *Fleet) yield() {
	for at := range fl.workers {
		if fl.open.accelerators[at] < 0 || fl.open.tasks[at] < 0 {
			fl.spots = fl.repack(fl.firm, NoUnit)
			fl.reopen()
			return
		}
	}
}

// reopen works out the open ground anew.
func (fl *Fleet) reopen() {
	fl.open = fl.firm.clone()
	for i, spot := range fl.spots {
		fl.open.take(spot, fl.units[i].Shape.Accelerators, -1)
		if spot == nil && !fl.used[i] {
			fl.stale = true
		}
	}
}

// pack looks for spots of the units that have none: on open ground, and
// otherwise by moving all of them if that gives more units a spot.
func (fl *Fleet) pack() {
	if !fl.stale {
		return
	}
	fl.stale = false
	lacking := 0
	for _, ui := range fl.order {
		if fl.used[ui] || fl.spots[ui] != nil {
			continue
		}
		sh := fl.units[ui].Shape
		spot, ok := fl.fit(fl.open, sh)
		if !ok {
			lacking++
			continue
		}
		fl.spots[ui] = spot
		fl.open.take(spot, sh.Accelerators, -1)
	}
	if lacking == 0 {
		return
	}
	if spots := fl.repack(fl.firm, NoUnit); countSpots(spots) > countSpots(fl.spots) {
		fl.spots = spots
		fl.reopen()
		fl.stale = false
	}
}

// repack gives every unused unit but skip a spot on gr, first fit in order of
// difficulty.
func (fl *Fleet) repack(gr ground, skip int) [][]int {
	gr = gr.clone()
	spots := make([][]int, len(fl.units))
	for _, ui := range fl.order {
		if fl.used[ui] || ui == skip {
			continue
		}
		sh := fl.units[ui].Shape
		if spot, ok := fl.fit(gr, sh); ok {
			gr.take(spot, sh.Accelerators, -1)
			spots[ui] = spot
		}
	}
	return spots
}

// spares tells whether the unused units but skip keep spots if firm work of a
// shape comes to stand on workers.
func (fl *Fleet) spares(sh spec.Shape, workers []int, skip int) bool {
	open := fl.open.clone()
	if skip != NoUnit {
		open.take(fl.spots[skip], fl.units[skip].Shape.Accelerators, 1)
	}
	open.take(workers, sh.Accelerators, -1)
	if !open.overdrawn(workers) {
		return true
	}
	had := countSpots(fl.spots)
	if skip != NoUnit && fl.spots[skip] != nil {
		had--
	}
	firm := fl.firm.clone()
	firm.take(workers, sh.Accelerators, -1)
	if firm.overdrawn(workers) {
		return false
	}
	return countSpots(fl.repack(firm, skip)) >= had
}

func countSpots(spots [][]int) int {
	n := 0
	for _, spot := range spots {
		if spot != nil {
			n++
		}
	}
	return n
}

// overdrawn tells whether more was taken of one of the workers than it has.
func (gr ground) overdrawn(workers []int) bool {
	for _, at := range workers {
		if gr.accelerators[at] < 0 || gr.tasks[at] < 0 {
			return true
		}
	}
	return false
}
