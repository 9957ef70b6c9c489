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
		Tasks        int  // how many tasks it takes, whatever their accelerators
		Usable       bool // false if it is silent, leaving or put aside
	}

	// Gang is a placed job. Workers holds one index into the fleet's workers
	// for each task.
	Gang struct {
		Job       string
		Workspace string
		Shape     spec.Shape
		Priority  jobs.Priority
		Unit      int   // index of the guaranteed unit in use, or NoUnit
		Ground    []int // the whole spot of the unit in use, if it is known
		Movable   bool  // may be stopped and run again without breaking a promise
		Busy      bool  // already being stopped
		Started   time.Time
		Ends      time.Time // as expected
		Lossless  bool      // keeps its work when stopped
		Workers   []int
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
		workers []Worker
		racks   [][]int // indices of the workers of each rack
		rackOf  []int
		units   []Unit
		order   []int // units in the order of packing, hardest first
		gangs   map[string]Gang
		here    [][]string // jobs by worker
		used    []bool     // by unit
		spots   [][]int    // by unit; nil for a unit that has none
		room    ground     // beside all gangs
		firm    ground     // beside firm gangs and the spots of used units
		open    ground     // beside the spots of unused units, too
		stale   bool       // units without a spot may find one
		held    map[string]int
		shadows []shadow
	}

	// ground is what is free on each worker.
	ground struct {
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
		workers: workers,
		units:   units,
		gangs:   map[string]Gang{},
		here:    make([][]string, len(workers)),
		used:    make([]bool, len(units)),
		spots:   make([][]int, len(units)),
		stale:   true,
		held:    map[string]int{},
		rackOf:  make([]int, len(workers)),
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
		fl.room = fl.room.grow(wo)
		fl.firm = fl.firm.grow(wo)
		fl.open = fl.open.grow(wo)
	}
	fl.order = packingOrder(units)
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
	fl.held[ga.Workspace] += ga.Shape.Total()
	for _, at := range ga.Workers {
		fl.here[at] = append(fl.here[at], ga.Job)
	}
	fl.room.take(ga.Workers, ga.Shape.Accelerators, -1)
	switch {
	case ga.Unit != NoUnit:
		ga = fl.enter(ga)
	case !ga.Movable:
		fl.firm.take(ga.Workers, ga.Shape.Accelerators, -1)
		fl.open.take(ga.Workers, ga.Shape.Accelerators, -1)
		fl.yield()
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
	fl.held[ga.Workspace] -= ga.Shape.Total()
	for _, at := range ga.Workers {
		fl.here[at] = slices.DeleteFunc(fl.here[at], func(id string) bool { return id == job })
	}
	fl.room.take(ga.Workers, ga.Shape.Accelerators, 1)
	switch {
	case ga.Unit != NoUnit:
		fl.leave(ga)
	case !ga.Movable:
		fl.firm.take(ga.Workers, ga.Shape.Accelerators, 1)
		fl.open.take(ga.Workers, ga.Shape.Accelerators, 1)
		fl.stale = true
	}
}

// Gang returns the gang of a job.
func (fl *Fleet) Gang(job string) (Gang, bool) {
	ga, ok := fl.gangs[job]
	return ga, ok
}

// Worker returns the worker of an index.
func (fl *Fleet) Worker(at int) Worker { return fl.workers[at] }

// Held returns the accelerators that the gangs of a workspace hold.
func (fl *Fleet) Held(workspace string) int { return fl.held[workspace] }

// Fitting returns how many tasks of so many accelerators a worker takes now.
func (fl *Fleet) Fitting(at, accelerators int) int { return fl.room.fits(at, accelerators) }

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
		sum += max(0, fl.room.accelerators[i])
	}
	return sum
}

// Clear tells whether no worker of the list is held beyond what it has.
func (fl *Fleet) Clear(workers []int) bool {
	for _, at := range workers {
		if fl.room.accelerators[at] < 0 || fl.room.tasks[at] < 0 {
			return false
		}
	}
	return true
}

// UsableBy returns how many free accelerators gangs of a shape could use now,
// the measure of fragmentation.
func (fl *Fleet) UsableBy(sh spec.Shape) int {
	gr := fl.room.clone()
	sum := 0
	for {
		spot, ok := fl.fit(gr, sh)
		if !ok || sh.Total() == 0 {
			return sum
		}
		gr.take(spot, sh.Accelerators, -1)
		sum += sh.Total()
	}
}

// UnusedUnits returns how many guaranteed units are not in use, and how many of
// them have a spot.
func (fl *Fleet) UnusedUnits() (unused, packable int) {
	fl.pack()
	for i, us := range fl.used {
		if us {
			continue
		}
		unused++
		if fl.spots[i] != nil {
			packable++
		}
	}
	return unused, packable
}

// firmGang tells whether the ground of a gang can't be reclaimed.
func firmGang(ga Gang) bool { return ga.Unit != NoUnit || !ga.Movable }

// packingOrder sorts units so that those with the fewest possible spots come
// first.
func packingOrder(units []Unit) []int {
	order := make([]int, len(units))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return hardness(units[b].Shape) - hardness(units[a].Shape)
	})
	return order
}

// hardness weighs the accelerators that must be free on one worker first, then
// the adjacency, then the size of the gang.
func hardness(sh spec.Shape) int {
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

func (gr ground) grow(wo Worker) ground {
	if !wo.Usable {
		wo.Accelerators = 0
		wo.Tasks = 0
	}
	gr.accelerators = append(gr.accelerators, wo.Accelerators)
	gr.tasks = append(gr.tasks, wo.Tasks)
	return gr
}

func (gr ground) clone() ground {
	return ground{accelerators: slices.Clone(gr.accelerators), tasks: slices.Clone(gr.tasks)}
}

// take gives (sign 1) or takes (sign -1) one task's accelerators on each of
// the workers.
func (gr ground) take(workers []int, accelerators, sign int) {
	for _, at := range workers {
		gr.accelerators[at] += sign * accelerators
		gr.tasks[at] += sign
	}
}

// fits returns how many tasks of so many accelerators a worker takes.
func (gr ground) fits(at, accelerators int) int {
	if gr.tasks[at] <= 0 {
		return 0
	}
	if accelerators == 0 {
		return gr.tasks[at]
	}
	return max(0, min(gr.tasks[at], gr.accelerators[at]/accelerators))
}

// lesser returns what is free on both grounds.
func (gr ground) lesser(other ground) ground {
	gr = gr.clone()
	for at := range gr.accelerators {
		gr.accelerators[at] = min(gr.accelerators[at], other.accelerators[at])
		gr.tasks[at] = min(gr.tasks[at], other.tasks[at])
	}
	return gr
}
