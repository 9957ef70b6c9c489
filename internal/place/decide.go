package place

import (
	"cmp"
	"slices"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/jobs"
	"github.com/cicadawharf/cicadawharf/pkg/spec"
)

type (
	// Request asks for the placement of one gang.
	Request struct {
		Job         string
		Workspace   string
		Shape       spec.Shape
		Priority    jobs.Priority
		Preemptible bool
		Aged        bool                       // has waited for AgeingTime
		ExpectedEnd time.Time                  // if it starts now
		Avoid       []string                   // names of workers on which earlier attempts failed
		Share       int                        // fair share of the workspace, in accelerators; bounds what urgent jobs may preempt
		ShareOf     func(workspace string) int // fair share of any workspace, in accelerators
	}

	// Decision is the result of Decide: one of Placed, Preempt and Waits.
	Decision interface{ decision() }

	// Placed says on which workers a gang starts at once.
	Placed struct {
		Workers     []int
		Unit        int   // index of the guaranteed unit that the gang uses, or NoUnit
		UnitWorkers []int // all workers reserved for the unit
		Candidates  int   // number of placements considered
		Rejected    int   // candidates before the chosen one that would break a guarantee
	}

	// Preempt says which gangs to stop, and on which workers the gang starts
	// afterwards.
	Preempt struct {
		Workers     []int
		Unit        int // as in Placed
		UnitWorkers []int
		Victims     []string      // IDs of the jobs to stop
		Lost        time.Duration // accelerator time of the victims that is lost
	}

	// Waits says why a gang is not placed now.
	Waits struct{ Reason WaitReason }

	// WaitReason is why a gang can't be placed.
	WaitReason string
)

// The reasons why a gang waits.
const (
	WaitsForCapacity  WaitReason = "noRoom"             // not enough free accelerators of the shape
	WaitsForGuarantee WaitReason = "guaranteedToOthers" // enough is free, but a guarantee needs it
	NeverFits         WaitReason = "neverFits"          // does not fit even on empty workers; set by the caller of Decide
)

// maxCandidates bounds the placements that one search returns, as each of them
// is checked against the guarantees.
const maxCandidates = 8

func (Placed) decision()  {}
func (Preempt) decision() {}
func (Waits) decision()   {}

// Fits reports whether a shape fits on the workers if all of them were usable
// and empty, without regard to guarantees.
func (fl *Fleet) Fits(sh spec.Shape) bool {
	var fc freeCapacity
	for _, wo := range fl.workers {
		wo.Usable = true
		fc = fc.withWorker(wo)
	}
	_, ok := fl.fit(fc, sh)
	return ok
}

// Decide decides where one gang is placed, or why it waits. It tries the workers
// reserved for a unit that covers the gang, then free capacity, then preemption
// for an urgent gang, and last defragmentation for an aged one. It may assign
// reservations to units, but doesn't add, move or remove gangs.
func (fl *Fleet) Decide(now time.Time, rq Request) Decision {
	fl.reserveUnits()
	if unit := fl.UnitFor(rq.Workspace, rq.Shape); unit != NoUnit {
		if de := fl.decideGuaranteed(now, rq, unit); de != nil {
			return de
		}
	}
	candidates := fl.placements(fl.withoutWorkers(fl.withoutAgedReservations(fl.free, rq.ExpectedEnd), rq.Avoid), rq.Shape, maxCandidates)
	for i, workers := range candidates {
		if rq.Preemptible || fl.keepsGuarantees(rq.Shape, workers, NoUnit) {
			return Placed{Workers: workers, Unit: NoUnit, Candidates: len(candidates), Rejected: i}
		}
	}
	if pr, ok := fl.planPreemption(now, rq); ok {
		return pr
	}
	if rq.Aged {
		if pr, ok := fl.defragment(now, rq); ok {
			return pr
		}
	}
	if len(candidates) > 0 {
		return Waits{WaitsForGuarantee}
	}
	return Waits{WaitsForCapacity}
}

// decideGuaranteed places a gang on workers reserved for the unit that covers
// it: on the present reservation, or on another placement of the unit that
// leaves every other unit its reservation. It avoids preemption if it can, and
// otherwise minimizes lost work. It returns nil if no candidate can be freed.
func (fl *Fleet) decideGuaranteed(now time.Time, rq Request, unit int) Decision {
	candidates := fl.unitCandidates(rq, unit)
	var best *Preempt
	rejected := 0
	for i, reserved := range candidates {
		if i > 0 && !fl.keepsGuarantees(fl.units[unit].Shape, reserved, unit) {
			rejected++
			continue
		}
		workers, needsPreemption := fl.pickReserved(rq.Shape, reserved)
		if !needsPreemption {
			return Placed{Workers: workers, Unit: unit, UnitWorkers: reserved, Candidates: len(candidates), Rejected: rejected}
		}
		pr, ok := fl.planPreemptionOn(now, rq, workers)
		if ok && (best == nil || pr.Lost < best.Lost) {
			pr.Unit = unit
			pr.UnitWorkers = reserved
			best = &pr
		}
	}
	if best == nil {
		return nil
	}
	return *best
}

// unitCandidates returns the placements that a unit could use. The first entry
// always stands for the present reservation; it is nil if there is none, or if
// it has workers to be avoided. Placements on free capacity follow, then
// placements on reclaimable capacity.
func (fl *Fleet) unitCandidates(rq Request, unit int) [][]int {
	var out [][]int
	avoided := func(at int) bool { return slices.Contains(rq.Avoid, fl.workers[at].Name) }
	if workers := fl.reservations[unit]; workers != nil && !slices.ContainsFunc(workers, avoided) {
		out = append(out, workers)
	} else {
		out = append(out, nil)
	}
	sh := fl.units[unit].Shape
	reclaimable := fl.withoutWorkers(fl.reclaimable, rq.Avoid)
	out = append(out, fl.placements(reclaimable.intersect(fl.free), sh, maxCandidates)...)
	out = append(out, fl.placements(reclaimable, sh, maxCandidates)...)
	return out
}

// pickReserved picks the workers for a gang from those reserved for its unit,
// the ones with free capacity first. It reports whether too few of them are
// free, so that other gangs have to be preempted.
func (fl *Fleet) pickReserved(sh spec.Shape, reserved []int) (workers []int, needsPreemption bool) {
	free := fl.free.clone()
	var full []int
	for _, at := range reserved {
		if len(workers) == sh.Tasks {
			break
		}
		if free.taskCount(at, sh.Accelerators) == 0 {
			full = append(full, at)
			continue
		}
		free.adjust([]int{at}, sh.Accelerators, -1)
		workers = append(workers, at)
	}
	lacking := sh.Tasks - len(workers)
	return append(workers, full[:min(lacking, len(full))]...), lacking > 0
}

// UnitFor returns the index of the smallest unused unit of a workspace that
// covers a shape, or NoUnit.
func (fl *Fleet) UnitFor(workspace string, sh spec.Shape) int {
	best := NoUnit
	for i, un := range fl.units {
		if fl.unitUsed[i] || un.Workspace != workspace || !covers(un.Shape, sh) {
			continue
		}
		if best == NoUnit || un.Shape.Total() < fl.units[best].Shape.Total() {
			best = i
		}
	}
	return best
}

// covers reports whether a gang of shape sh fits on every placement of a
// guaranteed shape.
func covers(guaranteed, sh spec.Shape) bool {
	if sh.Tasks > guaranteed.Tasks || sh.Accelerators > guaranteed.Accelerators {
		return false
	}
	return tightness(guaranteed.Adjacency) >= tightness(sh.Adjacency)
}

// tightness orders adjacencies from the loosest to the tightest.
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

// withoutWorkers returns the free capacity without that of the named workers. It
// returns fc itself, not a copy, if there are no names.
func (fl *Fleet) withoutWorkers(fc freeCapacity, names []string) freeCapacity {
	if len(names) == 0 {
		return fc
	}
	fc = fc.clone()
	for at, wo := range fl.workers {
		if slices.Contains(names, wo.Name) {
			fc.accelerators[at] = 0
			fc.tasks[at] = 0
		}
	}
	return fc
}

// planPreemption finds the victims for an urgent gang within the adjacency group
// in which the least work is lost. It stops nothing.
func (fl *Fleet) planPreemption(now time.Time, rq Request) (Preempt, bool) {
	if rq.Priority != jobs.Urgent {
		return Preempt{}, false
	}
	var found []Preempt
	for _, workers := range fl.adjacencyGroups(rq.Shape) {
		if len(found) > 0 && len(workers) == len(fl.workers) {
			break // the whole zone is searched only if no rack suffices
		}
		if pr, ok := fl.planPreemptionWithin(now, rq, workers); ok {
			found = append(found, pr)
		}
	}
	slices.SortStableFunc(found, func(a, b Preempt) int {
		return cmp.Or(cmp.Compare(a.Lost, b.Lost), cmp.Compare(len(a.Victims), len(b.Victims)))
	})
	for _, pr := range found {
		if rq.Preemptible || fl.keepsGuarantees(rq.Shape, pr.Workers, NoUnit) {
			return pr, true
		}
	}
	return Preempt{}, false
}

// planPreemptionOn finds the victims for a guaranteed gang that is to run on
// exactly these workers, one entry for each task.
func (fl *Fleet) planPreemptionOn(now time.Time, rq Request, workers []int) (Preempt, bool) {
	if len(workers) < rq.Shape.Tasks {
		return Preempt{}, false
	}
	free := fl.free.clone()
	free.adjust(workers, rq.Shape.Accelerators, -1)
	var victims []Gang
	for _, ga := range fl.victims(now, rq, true, workers) {
		if !free.overcommitted(workers) {
			break
		}
		free.adjust(ga.Workers, ga.Shape.Accelerators, 1)
		victims = append(victims, ga)
	}
	if free.overcommitted(workers) {
		return Preempt{}, false
	}
	for i := len(victims) - 1; i >= 0; i-- {
		free.adjust(victims[i].Workers, victims[i].Shape.Accelerators, -1)
		if free.overcommitted(workers) {
			free.adjust(victims[i].Workers, victims[i].Shape.Accelerators, 1)
			continue
		}
		victims = slices.Delete(victims, i, i+1)
	}
	return newPreempt(now, workers, victims), true
}

func newPreempt(now time.Time, workers []int, victims []Gang) Preempt {
	pr := Preempt{Workers: workers, Unit: NoUnit}
	for _, ga := range victims {
		pr.Victims = append(pr.Victims, ga.Job)
		pr.Lost += lostWork(now, ga)
	}
	return pr
}

// adjacencyGroups returns the groups of workers to be tried for a shape, one of
// which has to hold all tasks. A gang that may span racks is tried on each rack
// first, and then on the whole zone.
func (fl *Fleet) adjacencyGroups(sh spec.Shape) [][]int {
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

// planPreemptionWithin finds the victims for a gang that may run on any of the
// given workers.
func (fl *Fleet) planPreemptionWithin(now time.Time, rq Request, workers []int) (Preempt, bool) {
	fc := fl.withoutWorkers(fl.free, rq.Avoid).clone()
	var victims []Gang
	fitting := fl.countFitting(fc, rq.Shape, workers)
	inside := make(map[int]bool, len(workers))
	for _, at := range workers {
		inside[at] = true
	}
	for _, ga := range fl.victims(now, rq, false, workers) {
		if fitting >= rq.Shape.Tasks {
			break
		}
		for _, at := range ga.Workers {
			before := fc.taskCount(at, rq.Shape.Accelerators)
			fc.adjust([]int{at}, ga.Shape.Accelerators, 1)
			if inside[at] {
				fitting += fc.taskCount(at, rq.Shape.Accelerators) - before
			}
		}
		victims = append(victims, ga)
	}
	if fitting < rq.Shape.Tasks {
		return Preempt{}, false
	}
	victims = fl.dropUnneeded(fc, rq.Shape, workers, victims)
	chosen, ok := fill(fc, rq.Shape, slices.Clone(workers))
	if !ok {
		return Preempt{}, false
	}
	return newPreempt(now, chosen, victims), true
}

// dropUnneeded returns the victims without those that turn out not to be needed,
// and takes the capacity of these from fc again. It starts at the end of the
// list, where the most costly ones are.
func (fl *Fleet) dropUnneeded(fc freeCapacity, sh spec.Shape, workers []int, victims []Gang) []Gang {
	for i := len(victims) - 1; i >= 0; i-- {
		ga := victims[i]
		fc.adjust(ga.Workers, ga.Shape.Accelerators, -1)
		if fl.countFitting(fc, sh, workers) >= sh.Tasks {
			victims = slices.Delete(victims, i, i+1)
			continue
		}
		fc.adjust(ga.Workers, ga.Shape.Accelerators, 1)
	}
	return victims
}

// victims lists the gangs on the given workers that may be preempted for a
// request, ordered by lost work for each accelerator freed on these workers.
func (fl *Fleet) victims(now time.Time, rq Request, guaranteed bool, workers []int) []Gang {
	freed := fl.tasksOn(workers)
	ranked := make([]victim, 0, len(freed))
	for id, n := range freed {
		if ga := fl.gangs[id]; fl.mayPreempt(rq, guaranteed, ga) {
			cost := float64(lostWork(now, ga)) / float64(max(1, n*ga.Shape.Accelerators))
			ranked = append(ranked, victim{job: id, cost: cost})
		}
	}
	slices.SortFunc(ranked, func(a, b victim) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.job, b.job))
	})
	gas := make([]Gang, len(ranked))
	for i, vi := range ranked {
		gas[i] = fl.gangs[vi.job]
	}
	return gas
}

// tasksOn counts the tasks of each job on the given workers.
func (fl *Fleet) tasksOn(workers []int) map[string]int {
	if len(workers) == len(fl.workers) {
		counts := make(map[string]int, len(fl.gangs))
		for id, ga := range fl.gangs {
			counts[id] = len(ga.Workers)
		}
		return counts
	}
	counts := map[string]int{}
	for _, at := range workers {
		for _, id := range fl.jobsOn[at] {
			counts[id]++
		}
	}
	return counts
}

// victim is a gang that may be preempted. Its cost is the accelerator time, in
// nanoseconds, that is lost for each accelerator freed on the workers in
// question.
type victim struct {
	job  string
	cost float64
}

// mayPreempt reports whether a gang may be preempted for a request. A
// guaranteed gang preempts every preemptible gang. An urgent gang preempts less
// urgent gangs of its own workspace, and those of a workspace that uses more
// than its fair share as long as its own workspace stays within its share.
func (fl *Fleet) mayPreempt(rq Request, guaranteed bool, ga Gang) bool {
	if protected(ga) || ga.Stopping || ga.Job == rq.Job {
		return false
	}
	if guaranteed {
		return true
	}
	if ga.Priority >= rq.Priority {
		return false
	}
	if ga.Workspace == rq.Workspace {
		return true
	}
	return rq.ShareOf != nil &&
		fl.usage[rq.Workspace]+rq.Shape.Total() <= rq.Share &&
		fl.usage[ga.Workspace] > rq.ShareOf(ga.Workspace)
}

// lostWork returns the accelerator time that is lost if a gang is stopped.
func lostWork(now time.Time, ga Gang) time.Duration {
	if ga.Lossless || ga.Started.IsZero() {
		return 0
	}
	return now.Sub(ga.Started) * time.Duration(ga.Shape.Total())
}
