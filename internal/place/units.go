package place

import (
	"slices"

	"github.com/cicadawharf/cicadawharf/pkg/spec"
)

// markUsed marks a gang's unit as used, so that its reservation can't move and
// its workers can't be taken by other protected work. If the reserved workers are
// unknown or incomplete, it reserves workers that include those of the gang. It
// returns the gang with the reserved workers.
func (fl *Fleet) markUsed(ga Gang) Gang {
	fl.dropReservation(ga.Unit)
	fl.unitUsed[ga.Unit] = true
	sh := fl.units[ga.Unit].Shape
	if len(ga.UnitWorkers) != sh.Tasks {
		ga.UnitWorkers = fl.reserveAround(ga, sh)
	}
	fl.reclaimable.adjust(ga.UnitWorkers, sh.Accelerators, -1)
	fl.unreserved.adjust(ga.UnitWorkers, sh.Accelerators, -1)
	fl.reassignOvercommitted()
	return ga
}

// markUnused marks a gang's unit as unused. The unit keeps its reservation if
// that is complete and all its workers are usable.
func (fl *Fleet) markUnused(ga Gang) {
	sh := fl.units[ga.Unit].Shape
	fl.unitUsed[ga.Unit] = false
	fl.reclaimable.adjust(ga.UnitWorkers, sh.Accelerators, 1)
	if len(ga.UnitWorkers) == sh.Tasks && fl.allUsable(ga.UnitWorkers) {
		fl.reservations[ga.Unit] = ga.UnitWorkers
		return
	}
	fl.unreserved.adjust(ga.UnitWorkers, sh.Accelerators, 1)
	fl.reserveDue = true
}

// allUsable reports whether all of the workers are usable.
func (fl *Fleet) allUsable(workers []int) bool {
	for _, at := range workers {
		if !fl.workers[at].Usable {
			return false
		}
	}
	return true
}

// reserveAround returns workers for a unit that include those of a gang, or
// only the gang's workers if the unit doesn't fit around them.
func (fl *Fleet) reserveAround(ga Gang, sh spec.Shape) []int {
	reserved := slices.Clone(ga.Workers)
	fc := fl.unreserved.clone()
	fc.adjust(reserved, sh.Accelerators, -1)
	rest := sh
	rest.Tasks = sh.Tasks - len(reserved)
	if rest.Tasks <= 0 || len(reserved) == 0 {
		return reserved
	}
	for _, workers := range fl.adjacencyGroups(sh) {
		if !slices.Contains(workers, reserved[0]) {
			continue
		}
		if more, ok := fill(fc, rest, slices.Clone(workers)); ok {
			return append(reserved, more...)
		}
	}
	return reserved
}

// dropReservation removes the reservation of an unused unit.
func (fl *Fleet) dropReservation(unit int) {
	if workers := fl.reservations[unit]; workers != nil {
		fl.unreserved.adjust(workers, fl.units[unit].Shape.Accelerators, 1)
		fl.reservations[unit] = nil
	}
}

// reassignOvercommitted moves the reservations of unused units if the protected
// work on some worker leaves too little capacity for those reserved there.
func (fl *Fleet) reassignOvercommitted() {
	for at := range fl.workers {
		if fl.unreserved.accelerators[at] < 0 || fl.unreserved.tasks[at] < 0 {
			fl.reservations = fl.reassignUnits(fl.reclaimable, NoUnit)
			fl.recomputeUnreserved()
			return
		}
	}
}

// recomputeUnreserved recomputes the unreserved capacity from the reclaimable
// capacity and the reservations.
func (fl *Fleet) recomputeUnreserved() {
	fl.unreserved = fl.reclaimable.clone()
	for i, workers := range fl.reservations {
		fl.unreserved.adjust(workers, fl.units[i].Shape.Accelerators, -1)
		if workers == nil && !fl.unitUsed[i] {
			fl.reserveDue = true
		}
	}
}

// reserveUnits reserves workers for the unused units that have none: on
// unreserved capacity, or else by computing the reservations of all unused units
// anew if more units then have one.
func (fl *Fleet) reserveUnits() {
	if !fl.reserveDue {
		return
	}
	fl.reserveDue = false
	lacking := 0
	for _, ui := range fl.reservationOrder {
		if fl.unitUsed[ui] || fl.reservations[ui] != nil {
			continue
		}
		sh := fl.units[ui].Shape
		workers, ok := fl.fit(fl.unreserved, sh)
		if !ok {
			lacking++
			continue
		}
		fl.reservations[ui] = workers
		fl.unreserved.adjust(workers, sh.Accelerators, -1)
	}
	if lacking == 0 {
		return
	}
	if reassigned := fl.reassignUnits(fl.reclaimable, NoUnit); countReserved(reassigned) > countReserved(fl.reservations) {
		fl.reservations = reassigned
		fl.recomputeUnreserved()
		fl.reserveDue = false
	}
}

// reassignUnits computes reservations on fc for every unused unit but skip. Units
// are placed one after the other, the most difficult one first. A unit that
// doesn't fit gets none.
func (fl *Fleet) reassignUnits(fc freeCapacity, skip int) [][]int {
	fc = fc.clone()
	reserved := make([][]int, len(fl.units))
	for _, ui := range fl.reservationOrder {
		if fl.unitUsed[ui] || ui == skip {
			continue
		}
		sh := fl.units[ui].Shape
		if workers, ok := fl.fit(fc, sh); ok {
			fc.adjust(workers, sh.Accelerators, -1)
			reserved[ui] = workers
		}
	}
	return reserved
}

// keepsGuarantees reports whether as many unused units as before, not counting
// skip, have a reservation after a protected gang of a shape is placed on
// workers.
func (fl *Fleet) keepsGuarantees(sh spec.Shape, workers []int, skip int) bool {
	unreserved := fl.unreserved.clone()
	if skip != NoUnit {
		unreserved.adjust(fl.reservations[skip], fl.units[skip].Shape.Accelerators, 1)
	}
	unreserved.adjust(workers, sh.Accelerators, -1)
	if !unreserved.overcommitted(workers) {
		return true
	}
	before := countReserved(fl.reservations)
	if skip != NoUnit && fl.reservations[skip] != nil {
		before--
	}
	reclaimable := fl.reclaimable.clone()
	reclaimable.adjust(workers, sh.Accelerators, -1)
	if reclaimable.overcommitted(workers) {
		return false
	}
	return countReserved(fl.reassignUnits(reclaimable, skip)) >= before
}

// countReserved counts the unused units that have a reservation.
func countReserved(reservations [][]int) int {
	n := 0
	for _, workers := range reservations {
		if workers != nil {
			n++
		}
	}
	return n
}

// overcommitted reports whether more is in use on one of the workers than it has.
func (fc freeCapacity) overcommitted(workers []int) bool {
	for _, at := range workers {
		if fc.accelerators[at] < 0 || fc.tasks[at] < 0 {
			return true
		}
	}
	return false
}
