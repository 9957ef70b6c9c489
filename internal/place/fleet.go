// Package place decides where gangs run, for the scheduler of package sched. It
// has no side effects: it takes the state of a fleet and a request, and returns
// a decision.
//
// A gang is placed whole or not at all. Every workspace may be guaranteed
// units, each the shape of one gang. The invariant is that every unit has a
// reservation: workers on which its shape fits, in addition to the reservations
// of all other units and to the work that isn't preemptible. Preemptible work
// runs anywhere, also on reserved workers. The reservation of an unused unit
// may move to make room for work that isn't preemptible, as long as all
// reservations still fit. A gang that uses a unit runs on the workers reserved
// for it, and the reservation then stays until the gang has ended. So a gang
// that an unused unit covers can always be placed, if necessary by preempting
// the work on the reserved workers, and gangs may end in any order without a
// unit losing its reservation. Only the loss of workers can break the
// invariant; a unit without a reservation gets one as soon as capacity is free.
package place

import (
	"slices"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/jobs"
	"github.com/cicadawharf/cicadawharf/pkg/spec"
)

type (
	// Worker is the state of one worker on which a decision is based.
	Worker struct {
		Name         string
		Rack         string
		Address      string
		Accelerators int
		MaxTasks     int  // limit on tasks, whatever accelerators they use
		Usable       bool // false if it is unresponsive, draining or suspended
	}

	// Gang is a job that is placed. Workers holds one index into the fleet's
	// workers for each task.
	Gang struct {
		Job         string
		Workspace   string
		Shape       spec.Shape
		Priority    jobs.Priority
		Unit        int   // index of the guaranteed unit in use, or NoUnit
		UnitWorkers []int // all workers reserved for the unit in use, if known
		Preemptible bool  // may be stopped and run again
		Stopping    bool  // already being stopped
		Started     time.Time
		ExpectedEnd time.Time // from the expected run time
		Lossless    bool      // loses no work when stopped
		Workers     []int
	}

	// Unit is the guarantee of one gang to a workspace. In package domain, a
	// unit is the work itself instead.
	Unit struct {
		Workspace string
		Shape     spec.Shape
	}

	// Fleet is the state on which decisions are based: the workers of one
	// availability zone, the gangs placed on them, and the guaranteed units.
	// It is not safe for concurrent use.
	Fleet struct {
		workers          []Worker
		racks            [][]int // indices of the workers of each rack
		rackOf           []int   // index of the rack of each worker
		units            []Unit
		reservationOrder []int // indices of the units in the order in which they get reservations, most difficult first
		gangs            map[string]Gang
		jobsOn           [][]string     // IDs of the jobs on each worker
		unitUsed         []bool         // by unit
		reservations     [][]int        // by unit; nil if it is used or has none
		free             freeCapacity   // not used by any gang
		reclaimable      freeCapacity   // free, or used by preemptible gangs outside the reservations of used units
		unreserved       freeCapacity   // reclaimable, without the reservations of unused units
		reserveDue       bool           // a unit without a reservation may get one
		usage            map[string]int // accelerators in use, by workspace
		agedReservations []agedReservation
	}

	// freeCapacity is the capacity of each worker that isn't in use. A negative
	// value means that more is in use than the worker has.
	freeCapacity struct {
		accelerators []int
		tasks        []int
	}
)

// NoUnit is the unit of a gang that uses no guarantee.
const NoUnit = -1

// NewFleet returns a fleet without gangs. The index of a unit identifies the
// same guarantee as long as the declarations don't change.
func NewFleet(workers []Worker, units []Unit) *Fleet {
	fl := &Fleet{
		workers:      workers,
		units:        units,
		gangs:        map[string]Gang{},
		jobsOn:       make([][]string, len(workers)),
		unitUsed:     make([]bool, len(units)),
		reservations: make([][]int, len(units)),
		reserveDue:   true,
		usage:        map[string]int{},
		rackOf:       make([]int, len(workers)),
	}
	rackIndex := map[string]int{}
	for i, wo := range workers {
		ra, ok := rackIndex[wo.Rack]
		if !ok {
			ra = len(fl.racks)
			rackIndex[wo.Rack] = ra
			fl.racks = append(fl.racks, nil)
		}
		fl.racks[ra] = append(fl.racks[ra], i)
		fl.rackOf[i] = ra
		fl.free = fl.free.withWorker(wo)
		fl.reclaimable = fl.reclaimable.withWorker(wo)
		fl.unreserved = fl.unreserved.withWorker(wo)
	}
	fl.reservationOrder = reservationOrder(units)
	return fl
}

// UnitsOf returns the guaranteed units of an availability zone in the order in
// which they are declared.
func UnitsOf(de *spec.Declarations, zone string) []Unit {
	var us []Unit
	for _, ws := range de.Workspaces {
		for _, gu := range ws.Guarantees {
			if gu.Zone != zone {
				continue
			}
			for range gu.Count {
				us = append(us, Unit{Workspace: ws.Name, Shape: gu.Shape})
			}
		}
	}
	return us
}

// Add records that a gang is placed on its workers. It replaces an earlier
// entry of the same job, and does not check whether the capacity is free.
func (fl *Fleet) Add(ga Gang) {
	fl.Remove(ga.Job)
	fl.usage[ga.Workspace] += ga.Shape.Total()
	for _, at := range ga.Workers {
		fl.jobsOn[at] = append(fl.jobsOn[at], ga.Job)
	}
	fl.free.adjust(ga.Workers, ga.Shape.Accelerators, -1)
	switch {
	case ga.Unit != NoUnit:
		ga = fl.markUsed(ga)
	case !ga.Preemptible:
		fl.reclaimable.adjust(ga.Workers, ga.Shape.Accelerators, -1)
		fl.unreserved.adjust(ga.Workers, ga.Shape.Accelerators, -1)
		fl.reassignOvercommitted()
	}
	fl.gangs[ga.Job] = ga
}

// Remove frees the capacity of a gang. An unknown job has no effect.
func (fl *Fleet) Remove(job string) {
	ga, ok := fl.gangs[job]
	if !ok {
		return
	}
	delete(fl.gangs, job)
	fl.usage[ga.Workspace] -= ga.Shape.Total()
	for _, at := range ga.Workers {
		fl.jobsOn[at] = slices.DeleteFunc(fl.jobsOn[at], func(id string) bool { return id == job })
	}
	fl.free.adjust(ga.Workers, ga.Shape.Accelerators, 1)
	switch {
	case ga.Unit != NoUnit:
		fl.markUnused(ga)
	case !ga.Preemptible:
		fl.reclaimable.adjust(ga.Workers, ga.Shape.Accelerators, 1)
		fl.unreserved.adjust(ga.Workers, ga.Shape.Accelerators, 1)
		fl.reserveDue = true
	}
}

// Gang returns the gang of a job.
func (fl *Fleet) Gang(job string) (Gang, bool) {
	ga, ok := fl.gangs[job]
	return ga, ok
}

// Worker returns the worker at an index.
func (fl *Fleet) Worker(at int) Worker { return fl.workers[at] }

// Usage returns how many accelerators the gangs of a workspace use.
func (fl *Fleet) Usage(workspace string) int { return fl.usage[workspace] }

// FittingTasks returns how many tasks with the given number of accelerators fit
// on a worker now.
func (fl *Fleet) FittingTasks(at, accelerators int) int { return fl.free.taskCount(at, accelerators) }

// Accelerators returns the number of accelerators of all usable workers.
func (fl *Fleet) Accelerators() int {
	sum := 0
	for _, wo := range fl.workers {
		if wo.Usable {
			sum += wo.Accelerators
		}
	}
	return sum
}

// FreeAccelerators returns the number of accelerators of usable workers that no
// gang uses.
func (fl *Fleet) FreeAccelerators() int {
	sum := 0
	for i := range fl.workers {
		sum += max(0, fl.free.accelerators[i])
	}
	return sum
}

// WithinCapacity reports whether the gangs on each worker of the list fit into
// its capacity. An unusable worker has none.
func (fl *Fleet) WithinCapacity(workers []int) bool {
	for _, at := range workers {
		if fl.free.accelerators[at] < 0 || fl.free.tasks[at] < 0 {
			return false
		}
	}
	return true
}

// FittingAccelerators returns how many of the free accelerators gangs of a shape
// could use now, a measure of fragmentation.
func (fl *Fleet) FittingAccelerators(sh spec.Shape) int {
	fc := fl.free.clone()
	sum := 0
	for {
		workers, ok := fl.fit(fc, sh)
		if !ok || sh.Total() == 0 {
			return sum
		}
		fc.adjust(workers, sh.Accelerators, -1)
		sum += sh.Total()
	}
}

// UnusedUnits returns how many guaranteed units are not in use, and how many of
// them have a reservation.
func (fl *Fleet) UnusedUnits() (unused, reserved int) {
	fl.reserveUnits()
	for i, used := range fl.unitUsed {
		if used {
			continue
		}
		unused++
		if fl.reservations[i] != nil {
			reserved++
		}
	}
	return unused, reserved
}

// protected reports whether a gang can't be preempted.
func protected(ga Gang) bool { return ga.Unit != NoUnit || !ga.Preemptible }

// reservationOrder returns the indices of units sorted so that those that are
// most difficult to place come first.
func reservationOrder(units []Unit) []int {
	order := make([]int, len(units))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return placementDifficulty(units[b].Shape) - placementDifficulty(units[a].Shape)
	})
	return order
}

// placementDifficulty ranks shapes first by the accelerators that must be free on
// one worker, then by adjacency, then by the number of tasks.
func placementDifficulty(sh spec.Shape) int {
	const (
		workerWeight = 1 << 20
		rackWeight   = 1 << 16
	)
	largestPiece := sh.Accelerators
	if sh.Adjacency == spec.SameWorker {
		largestPiece = sh.Total()
	}
	score := largestPiece*workerWeight + sh.Tasks
	if sh.Adjacency == spec.SameRack {
		score += rackWeight
	}
	return score
}

// withWorker returns the capacity with that of another worker appended, zero if
// the worker isn't usable.
func (fc freeCapacity) withWorker(wo Worker) freeCapacity {
	if !wo.Usable {
		wo.Accelerators = 0
		wo.MaxTasks = 0
	}
	fc.accelerators = append(fc.accelerators, wo.Accelerators)
	fc.tasks = append(fc.tasks, wo.MaxTasks)
	return fc
}

func (fc freeCapacity) clone() freeCapacity {
	return freeCapacity{accelerators: slices.Clone(fc.accelerators), tasks: slices.Clone(fc.tasks)}
}

// adjust frees (sign 1) or takes (sign -1) the capacity of one task on each of
// the workers.
func (fc freeCapacity) adjust(workers []int, accelerators, sign int) {
	for _, at := range workers {
		fc.accelerators[at] += sign * accelerators
		fc.tasks[at] += sign
	}
}

// taskCount returns how many tasks with the given number of accelerators fit on
// a worker.
func (fc freeCapacity) taskCount(at, accelerators int) int {
	if fc.tasks[at] <= 0 {
		return 0
	}
	if accelerators == 0 {
		return fc.tasks[at]
	}
	return max(0, min(fc.tasks[at], fc.accelerators[at]/accelerators))
}

// intersect returns the capacity that is free in both fc and other.
func (fc freeCapacity) intersect(other freeCapacity) freeCapacity {
	fc = fc.clone()
	for at := range fc.accelerators {
		fc.accelerators[at] = min(fc.accelerators[at], other.accelerators[at])
		fc.tasks[at] = min(fc.tasks[at], other.tasks[at])
	}
	return fc
}
