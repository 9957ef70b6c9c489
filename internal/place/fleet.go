// Package place decides where gangs run. It is pure: a fleet and a request go
// in, a decision comes out.
//
// A gang is placed whole or not at all. Every workspace may be guaranteed
// units, each the shape of one gang. The invariant is that every unit has a
// spot: workers on which its shape fits, beside the spots of all other units
// and beside the work that can't be stopped without loss. Work that may be
// stopped stands anywhere, also on spots. The spot of a unit that nobody uses
// may move, to make room for firm work, as long as all of them still fit. A
// gang that uses a unit stands within its spot, which then stays until the gang
// has ended. So a gang that an unused unit covers can always be placed, if need
// be by reclaiming the spot, and the end of any gangs in any order leaves every
// unit with a spot. Only the loss of workers can break this; units without a
// spot get one as soon as there is room.
package place

import (
	"slices"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/jobs"
	"github.com/cicadawharf/cicadawharf/pkg/spec"
)

type (
	// Worker is what is known of one worker when a decision is made.
	Worker struct {
		Name         string
		Rack         string
		Address      string
		Accelerators int
		MaxTasks     int  // how many tasks it takes, whatever their accelerators
		Usable       bool // false if it is silent, leaving or put aside
	}

	// Gang is a placed job. Workers holds one index into the fleet's workers
	// for each task.
	Gang struct {
		Job         string
		Workspace   string
		Shape       spec.Shape
		Priority    jobs.Priority
		Unit        int   // index of the guaranteed unit in use, or NoUnit
		UnitWorkers []int // the whole spot of the unit in use, if it is known
		Preemptible bool  // may be stopped and run again without breaking a promise
		Stopping    bool  // already being stopped
		Started     time.Time
		ExpectedEnd time.Time // as expected
		Lossless    bool      // keeps its work when stopped
		Workers     []int
	}

	// Unit is one guaranteed gang of a workspace.
	Unit struct {
		Workspace string
		Shape     spec.Shape
	}

	// Fleet is the state that decisions are made on: the workers of one
	// availability zone, the gangs that hold them, and the guaranteed units.
	// It is not safe for concurrent use.
	Fleet struct {
		workers     []Worker
		racks       [][]int // indices of the workers of each rack
		rackOf      []int
		units       []Unit
		packOrder   []int // units in the order of packing, hardest first
		gangs       map[string]Gang
		jobsOn      [][]string   // jobs by worker
		unitUsed    []bool       // by unit
		unitWorkers [][]int      // by unit; nil for a unit that has none
		free        freeCapacity // beside all gangs
		reclaimable freeCapacity // beside firm gangs and the spots of used units
		unreserved  freeCapacity // beside the spots of unused units, too
		packDue     bool         // units without a spot may find one
		usage       map[string]int
		reserved    []reservation
	}

	// freeCapacity is what is free on each worker.
	freeCapacity struct {
		accelerators []int
		tasks        []int
	}
)

// NoUnit marks a gang that uses no guaranteed unit.
const NoUnit = -1

// NewFleet returns a fleet without gangs. Units of the same index mean the
// same guarantee as long as the declarations stay.
func NewFleet(workers []Worker, units []Unit) *Fleet {
	fl := &Fleet{
		workers:     workers,
		units:       units,
		gangs:       map[string]Gang{},
		jobsOn:      make([][]string, len(workers)),
		unitUsed:    make([]bool, len(units)),
		unitWorkers: make([][]int, len(units)),
		packDue:     true,
		usage:       map[string]int{},
		rackOf:      make([]int, len(workers)),
	}
	byName := map[string]int{}
	for i, wo := range workers {
		at, ok := byName[wo.Rack]
		if !ok {
			at = len(fl.racks)
			byName[wo.Rack] = at
			fl.racks = append(fl.racks, nil)
		}
		fl.racks[at] = append(fl.racks[at], i)
		fl.rackOf[i] = at
		fl.free = fl.free.withWorker(wo)
		fl.reclaimable = fl.reclaimable.withWorker(wo)
		fl.unreserved = fl.unreserved.withWorker(wo)
	}
	fl.packOrder = packingOrder(units)
	return fl
}

// UnitsOf returns the guaranteed units of an availability zone in the order of
// the declarations.
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

// Add puts a gang on its workers. It is the caller's fact, not a decision, so
// it is taken even where the ground is held already.
func (fl *Fleet) Add(ga Gang) {
	fl.Remove(ga.Job)
	fl.usage[ga.Workspace] += ga.Shape.Total()
	for _, at := range ga.Workers {
		fl.jobsOn[at] = append(fl.jobsOn[at], ga.Job)
	}
	fl.free.adjust(ga.Workers, ga.Shape.Accelerators, -1)
	switch {
	case ga.Unit != NoUnit:
		ga = fl.useUnit(ga)
	case !ga.Preemptible:
		fl.reclaimable.adjust(ga.Workers, ga.Shape.Accelerators, -1)
		fl.unreserved.adjust(ga.Workers, ga.Shape.Accelerators, -1)
		fl.repackOverdrawn()
	}
	fl.gangs[ga.Job] = ga
}

// Remove takes a gang off its workers. An unknown job has no effect.
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
		fl.releaseUnit(ga)
	case !ga.Preemptible:
		fl.reclaimable.adjust(ga.Workers, ga.Shape.Accelerators, 1)
		fl.unreserved.adjust(ga.Workers, ga.Shape.Accelerators, 1)
		fl.packDue = true
	}
}

// Gang returns the gang of a job.
func (fl *Fleet) Gang(job string) (Gang, bool) {
	ga, ok := fl.gangs[job]
	return ga, ok
}

// Worker returns the worker of an index.
func (fl *Fleet) Worker(at int) Worker { return fl.workers[at] }

// Usage returns the accelerators that the gangs of a workspace hold.
func (fl *Fleet) Usage(workspace string) int { return fl.usage[workspace] }

// FittingTasks returns how many tasks of so many accelerators a worker takes now.
func (fl *Fleet) FittingTasks(at, accelerators int) int { return fl.free.taskCount(at, accelerators) }

// Accelerators returns those of all usable workers.
func (fl *Fleet) Accelerators() int {
	sum := 0
	for _, wo := range fl.workers {
		if wo.Usable {
			sum += wo.Accelerators
		}
	}
	return sum
}

// Free returns the accelerators of usable workers that no gang holds.
func (fl *Fleet) Free() int {
	sum := 0
	for i := range fl.workers {
		sum += max(0, fl.free.accelerators[i])
	}
	return sum
}

// WithinCapacity tells whether no worker of the list is held beyond what it has.
func (fl *Fleet) WithinCapacity(workers []int) bool {
	for _, at := range workers {
		if fl.free.accelerators[at] < 0 || fl.free.tasks[at] < 0 {
			return false
		}
	}
	return true
}

// UsableBy returns how many free accelerators gangs of a shape could use now,
// the measure of fragmentation.
func (fl *Fleet) UsableBy(sh spec.Shape) int {
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
// them have a spot.
func (fl *Fleet) UnusedUnits() (unused, packable int) {
	fl.packUnits()
	for i, used := range fl.unitUsed {
		if used {
			continue
		}
		unused++
		if fl.unitWorkers[i] != nil {
			packable++
		}
	}
	return unused, packable
}

// protected tells whether the ground of a gang can't be reclaimed.
func protected(ga Gang) bool { return ga.Unit != NoUnit || !ga.Preemptible }

// packingOrder sorts units so that those with the fewest possible spots come
// first.
func packingOrder(units []Unit) []int {
	order := make([]int, len(units))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return packingDifficulty(units[b].Shape) - packingDifficulty(units[a].Shape)
	})
	return order
}

// packingDifficulty weighs the accelerators that must be free on one worker first, then
// the adjacency, then the size of the gang.
func packingDifficulty(sh spec.Shape) int {
	const (
		perWorker = 1 << 20
		perRack   = 1 << 16
	)
	block := sh.Accelerators
	if sh.Adjacency == spec.SameWorker {
		block = sh.Total()
	}
	score := block*perWorker + sh.Tasks
	if sh.Adjacency == spec.SameRack {
		score += perRack
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

// adjust gives (sign 1) or takes (sign -1) one task's accelerators on each of
// the workers.
func (fc freeCapacity) adjust(workers []int, accelerators, sign int) {
	for _, at := range workers {
		fc.accelerators[at] += sign * accelerators
		fc.tasks[at] += sign
	}
}

// taskCount returns how many tasks of so many accelerators a worker takes.
func (fc freeCapacity) taskCount(at, accelerators int) int {
	if fc.tasks[at] <= 0 {
		return 0
	}
	if accelerators == 0 {
		return fc.tasks[at]
	}
	return max(0, min(fc.tasks[at], fc.accelerators[at]/accelerators))
}

// intersect returns what is free on both grounds.
func (fc freeCapacity) intersect(other freeCapacity) freeCapacity {
	fc = fc.clone()
	for at := range fc.accelerators {
		fc.accelerators[at] = min(fc.accelerators[at], other.accelerators[at])
		fc.tasks[at] = min(fc.tasks[at], other.tasks[at])
	}
	return fc
}
