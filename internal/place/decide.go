package place

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/jobs"
	"github.com/cicadawharf/cicadawharf/pkg/spec"
)

type (
	// Request asks for the placement of one gang.
	Request struct {
		Job       string
		Workspace string
		Shape     spec.Shape
		Priority  jobs.Priority
		Movable   bool
		Avoid     []string // names of workers on which its attempts have failed
		Share     int      // accelerators that the workspace may claim by urgency
		Shares    func(workspace string) int
	}

	// Decision is one of Placed, Reclaim and Waits.
	Decision interface{ decision() }

	// Placed says where a gang starts at once.
	Placed struct {
		Workers []int
		Unit    int
		From    int // how many spots there were
	}

	// Reclaim says which gangs to stop, and where the gang starts then.
	Reclaim struct {
		Workers []int
		Unit    int
		Victims []string
		Lost    time.Duration // accelerator time that the victims lose
	}

	// Waits says why a gang is not placed now.
	Waits struct{ Reason WaitReason }

	// WaitReason is why a gang waits.
	WaitReason string
)

// The reasons.
const (
	WaitsForRoom      WaitReason = "noRoom"             // not enough free accelerators of the shape
	WaitsForGuarantee WaitReason = "guaranteedToOthers" // there is room, but a guarantee needs it
	WaitsForever      WaitReason = "neverFits"          // not even on empty workers
)

// spotLimit bounds how many spots are tried against the packing.
const spotLimit = 8

func (Placed) decision()  {}
func (Reclaim) decision() {}
func (Waits) decision()   {}

// Fits tells whether a shape could ever stand on the workers if all of them
// were usable and empty, and no guarantee of others were kept.
func (fl *Fleet) Fits(sh spec.Shape) bool {
	var gr ground
	for _, wo := range fl.workers {
		wo.Usable = true
		gr = gr.grow(wo)
	}
	_, ok := fl.fit(gr, sh)
	return ok
}

// Decide places one gang, or says why not. It does not change the fleet.
func (fl *Fleet) Decide(now time.Time, rq Request) Decision {
	unit := fl.UnitFor(rq.Workspace, rq.Shape)
	gr := fl.without(fl.room, rq.Avoid)
	spots := fl.spots(gr, rq.Shape, spotLimit)
	if unit == NoUnit && rq.Movable && len(spots) > 0 {
		return Placed{Workers: spots[0], Unit: NoUnit, From: len(spots)}
	}
	before := fl.packable(fl.firm, unit)
	for _, workers := range spots {
		if fl.keepsGuarantees(rq.Shape, workers, unit, before) {
			return Placed{Workers: workers, Unit: unit, From: len(spots)}
		}
	}
	if rc, ok := fl.reclaim(now, rq, unit, before); ok {
		return rc
	}
	if len(spots) > 0 {
		return Waits{WaitsForGuarantee}
	}
	return Waits{WaitsForRoom}
}

// keepsGuarantees tells whether as many units can be packed as before, if
// the gang stands firm on workers.
func (fl *Fleet) keepsGuarantees(sh spec.Shape, workers []int, unit, before int) bool {
	gr := fl.firm.clone()
	gr.take(workers, sh.Accelerators, -1)
	return fl.packable(gr, unit) >= before
}

// UnitFor returns the smallest unused unit of a workspace that covers a shape,
// or NoUnit.
func (fl *Fleet) UnitFor(workspace string, sh spec.Shape) int {
	best := NoUnit
	for i, un := range fl.units {
		if fl.used[i] || un.Workspace != workspace || !covers(un.Shape, sh) {
			continue
		}
		if best == NoUnit || un.Shape.Total() < fl.units[best].Shape.Total() {
			best = i
		}
	}
	return best
}

// covers tells whether a gang of shape sh stands on any ground of shape un.
func covers(un, sh spec.Shape) bool {
	if sh.Tasks > un.Tasks || sh.Accelerators > un.Accelerators {
		return false
	}
	return tightness(un.Adjacency) >= tightness(sh.Adjacency)
}

func tightness(ad spec.Adjacency) int {
	switch ad {
	case spec.SameWorker:
		return 2
	case spec.SameRack:
		return 1
	default:
		return 0
	}
}

// without returns the ground with some workers closed.
func (fl *Fleet) without(gr ground, names []string) ground {
	if len(names) == 0 {
		return gr
	}
	gr = gr.clone()
	for at, wo := range fl.workers {
		if slices.Contains(names, wo.Name) {
			gr.accelerators[at] = 0
			gr.tasks[at] = 0
		}
	}
	return gr
}

// reclaim finds the victims that free a spot at the least lost work, among
// the workers that the adjacency groups together.
func (fl *Fleet) reclaim(now time.Time, rq Request, unit, before int) (Reclaim, bool) {
	if unit == NoUnit && rq.Priority != jobs.Urgent {
		return Reclaim{}, false
	}
	var found []Reclaim
	for _, workers := range fl.domains(rq.Shape) {
		if rc, ok := fl.reclaimIn(now, rq, unit, workers); ok {
			found = append(found, rc)
		}
	}
	slices.SortStableFunc(found, func(a, b Reclaim) int {
		return cmp.Or(cmp.Compare(a.Lost, b.Lost), cmp.Compare(len(a.Victims), len(b.Victims)))
	})
	for _, rc := range found {
		firm := unit != NoUnit || !rq.Movable
		if !firm || fl.keepsGuarantees(rq.Shape, rc.Workers, unit, before) {
			return rc, true
		}
	}
	return Reclaim{}, false
}

// domains returns the groups of workers within which a shape must stand.
func (fl *Fleet) domains(sh spec.Shape) [][]int {
	switch sh.Adjacency {
	case spec.SameRack:
		return fl.racks
	case spec.SameWorker:
		out := make([][]int, len(fl.workers))
		for at := range fl.workers {
			out[at] = []int{at}
		}
		return out
	default:
		all := make([]int, len(fl.workers))
		for at := range all {
			all[at] = at
		}
		return append(slices.Clone(fl.racks), all)
	}
}

func (fl *Fleet) reclaimIn(now time.Time, rq Request, unit int, workers []int) (Reclaim, bool) {
	gr := fl.without(fl.room, rq.Avoid).clone()
	chosen := fl.victims(now, rq, unit, workers)
	var taken []Gang
	room := fl.capacity(gr, rq.Shape, workers)
	for _, ga := range chosen {
		if room >= rq.Shape.Tasks {
			break
		}
		gr.take(ga.Workers, ga.Shape.Accelerators, 1)
		taken = append(taken, ga)
		room = fl.capacity(gr, rq.Shape, workers)
	}
	if room < rq.Shape.Tasks {
		return Reclaim{}, false
	}
	taken = fl.spare(gr, rq.Shape, workers, taken)
	spot, ok := fill(gr, rq.Shape, slices.Clone(workers))
	if !ok {
		return Reclaim{}, false
	}
	rc := Reclaim{Workers: spot, Unit: unit}
	for _, ga := range taken {
		rc.Victims = append(rc.Victims, ga.Job)
		rc.Lost += lostWork(now, ga)
	}
	return rc, true
}

// spare gives back the victims, dearest first, that turn out not to be needed.
func (fl *Fleet) spare(gr ground, sh spec.Shape, workers []int, taken []Gang) []Gang {
	for i := len(taken) - 1; i >= 0; i-- {
		ga := taken[i]
		gr.take(ga.Workers, ga.Shape.Accelerators, -1)
		if fl.capacity(gr, sh, workers) >= sh.Tasks {
			taken = slices.Delete(taken, i, i+1)
			continue
		}
		gr.take(ga.Workers, ga.Shape.Accelerators, 1)
	}
	return taken
}

// victims lists the gangs on workers that may be stopped for a request, the
// cheapest for each accelerator that they free there first.
func (fl *Fleet) victims(now time.Time, rq Request, unit int, workers []int) []Gang {
	freed := map[string]int{}
	for _, at := range workers {
		for _, id := range fl.here[at] {
			freed[id]++
		}
	}
	var gas []Gang
	for id := range freed {
		if ga := fl.gangs[id]; fl.mayReclaim(rq, unit, ga) {
			gas = append(gas, ga)
		}
	}
	price := func(ga Gang) float64 {
		return float64(lostWork(now, ga)) / float64(max(1, freed[ga.Job]*ga.Shape.Accelerators))
	}
	slices.SortFunc(gas, func(a, b Gang) int {
		return cmp.Or(cmp.Compare(price(a), price(b)), cmp.Compare(a.Job, b.Job))
	})
	return gas
}

// mayReclaim tells whether a gang yields to a request: any movable gang to a
// guaranteed one; to an urgent one, less urgent work of its own workspace, or
// of one that holds more than its share while the urgent one stays within.
func (fl *Fleet) mayReclaim(rq Request, unit int, ga Gang) bool {
	if firmGang(ga) || ga.Busy || ga.Job == rq.Job {
		return false
	}
	if unit != NoUnit {
		return true
	}
	if ga.Priority >= rq.Priority {
		return false
	}
	if ga.Workspace == rq.Workspace {
		return true
	}
	return rq.Shares != nil &&
		fl.held[rq.Workspace]+rq.Shape.Total() <= rq.Share &&
		fl.held[ga.Workspace] > rq.Shares(ga.Workspace)
}

// lostWork is the accelerator time that stopping a gang wastes.
func lostWork(now time.Time, ga Gang) time.Duration {
	if ga.Lossless || ga.Started.IsZero() {
		return 0
	}
	return now.Sub(ga.Started) * time.Duration(ga.Shape.Total())
}

// CheckGuarantees tells whether the guarantees of one availability zone can
// all be kept by its declared racks, and if not, how many of them can.
func CheckGuarantees(de *spec.Declarations, zone string) error {
	zn, ok := de.Zone(zone)
	if !ok {
		return fmt.Errorf("availability zone %q is not declared", zone)
	}
	units := UnitsOf(de, zone)
	fl := NewFleet(DeclaredWorkers(zn), units)
	unused, packable := fl.UnusedUnits()
	if packable == unused {
		return nil
	}
	return fmt.Errorf("availability zone %q can hold only %d of the %d gangs guaranteed in it", zone, packable, unused)
}

// DeclaredWorkers returns the workers that a zone should have.
func DeclaredWorkers(zn spec.Zone) []Worker {
	var wos []Worker
	for _, ra := range zn.Racks {
		for i := range ra.Workers {
			wos = append(wos, Worker{
				Name: fmt.Sprintf("%s-%s-%d", zn.Name, ra.Name, i+1), Rack: ra.Name,
				Accelerators: ra.Accelerators, Tasks: ra.Cores, Usable: true,
			})
		}
	}
	return wos
}
