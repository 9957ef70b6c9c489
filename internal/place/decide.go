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
		Aged        bool      // has waited for the ageing time
		ExpectedEnd time.Time // as expected, if it starts now
		Avoid       []string  // names of workers on which its attempts have failed
		Share       int       // accelerators that the workspace may claim by urgency
		ShareOf     func(workspace string) int
	}

	// Decision is one of Placed, Reclaim and Waits.
	Decision interface{ decision() }

	// Placed says where a gang starts at once.
	Placed struct {
		Workers     []int
		Unit        int
		UnitWorkers []int // the whole spot of the unit
		Candidates  int   // how many spots there were
		Rejected    int   // of them, those that a guarantee needs; the rest ranked lower
	}

	// Preempt says which gangs to stop, and where the gang starts then.
	Preempt struct {
		Workers     []int
		Unit        int
		UnitWorkers []int
		Victims     []string
		Lost        time.Duration // accelerator time that the victims lose
	}

	// Waits says why a gang is not placed now.
	Waits struct{ Reason WaitReason }

	// WaitReason is why a gang waits.
	WaitReason string
)

// The reasons.
const (
	WaitsForCapacity  WaitReason = "noRoom"             // not enough free accelerators of the shape
	WaitsForGuarantee WaitReason = "guaranteedToOthers" // there is room, but a guarantee needs it
	NeverFits         WaitReason = "neverFits"          // not even on empty workers
)

// maxCandidates bounds how many spots are tried against the packing.
const maxCandidates = 8

func (Placed) decision()  {}
func (Preempt) decision() {}
func (Waits) decision()   {}

// Fits tells whether a shape could ever stand on the workers if all of them
// were usable and empty, and no guarantee of others were kept.
func (fl *Fleet) Fits(sh spec.Shape) bool {
	var fc freeCapacity
	for _, wo := range fl.workers {
		wo.Usable = true
		fc = fc.withWorker(wo)
	}
	_, ok := fl.fit(fc, sh)
	return ok
}

// Decide places one gang, or says why not. It does not change what stands.
func (fl *Fleet) Decide(now time.Time, rq Request) Decision {
	fl.packUnits()
	if unit := fl.UnitFor(rq.Workspace, rq.Shape); unit != NoUnit {
		if de := fl.decideGuaranteed(now, rq, unit); de != nil {
			return de
		}
	}
	candidates := fl.candidates(fl.excluding(fl.withoutReserved(fl.free, rq.ExpectedEnd), rq.Avoid), rq.Shape, maxCandidates)
	for i, workers := range candidates {
		if rq.Preemptible || fl.keepsGuarantees(rq.Shape, workers, NoUnit) {
			return Placed{Workers: workers, Unit: NoUnit, Candidates: len(candidates), Rejected: i}
		}
	}
	if rc, ok := fl.preempt(now, rq); ok {
		return rc
	}
	if rq.Aged {
		if rc, ok := fl.compact(now, rq); ok {
			return rc
		}
	}
	if len(candidates) > 0 {
		return Waits{WaitsForGuarantee}
	}
	return Waits{WaitsForCapacity}
}

// decideGuaranteed places a gang within a spot of the unit that covers it: the
// unit's present spot or another that the other units spare, without reclaiming
// if that can be, and otherwise at the least lost work. It returns nil only if
// the unit has no spot, or all of them are on workers to be avoided.
func (fl *Fleet) decideGuaranteed(now time.Time, rq Request, unit int) Decision {
	candidates := fl.unitCandidates(rq, unit)
	var best *Preempt
	refused := 0
	for i, reserved := range candidates {
		if i > 0 && !fl.keepsGuarantees(fl.units[unit].Shape, reserved, unit) {
			refused++
			continue
		}
		workers, missing := fl.pickReserved(rq.Shape, reserved)
		if !missing {
			return Placed{Workers: workers, Unit: unit, UnitWorkers: reserved, Candidates: len(candidates), Rejected: refused}
		}
		rc, ok := fl.preemptOn(now, rq, workers)
		if ok && (best == nil || rc.Lost < best.Lost) {
			rc.Unit = unit
			rc.UnitWorkers = reserved
			best = &rc
		}
	}
	if best == nil {
		return nil
	}
	return *best
}

// unitCandidates returns the spots that a unit could use: its present one first, then
// others that are free, then others without firm work.
func (fl *Fleet) unitCandidates(rq Request, unit int) [][]int {
	var out [][]int
	avoided := func(at int) bool { return slices.Contains(rq.Avoid, fl.workers[at].Name) }
	if workers := fl.unitWorkers[unit]; workers != nil && !slices.ContainsFunc(workers, avoided) {
		out = append(out, workers)
	} else {
		out = append(out, nil)
	}
	sh := fl.units[unit].Shape
	reclaimable := fl.excluding(fl.reclaimable, rq.Avoid)
	out = append(out, fl.candidates(reclaimable.intersect(fl.free), sh, maxCandidates)...)
	out = append(out, fl.candidates(reclaimable, sh, maxCandidates)...)
	return out
}

// pickReserved picks the workers of a spot that a gang stands on, those with room
// first, and tells whether room is missing on some.
func (fl *Fleet) pickReserved(sh spec.Shape, reserved []int) (workers []int, missing bool) {
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

// UnitFor returns the smallest unused unit of a workspace that covers a shape,
// or NoUnit.
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

// covers tells whether a gang of shape sh stands on any ground of shape un.
func covers(un, sh spec.Shape) bool {
	if sh.Tasks > un.Tasks || sh.Accelerators > un.Accelerators {
		return false
	}
	return tightness(un.Adjacency) >= tightness(sh.Adjacency)
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

// excluding returns the ground with some workers closed.
func (fl *Fleet) excluding(fc freeCapacity, names []string) freeCapacity {
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

// preempt finds the victims that free room for an urgent gang at the least lost
// work, among the workers that the adjacency groups together.
func (fl *Fleet) preempt(now time.Time, rq Request) (Preempt, bool) {
	if rq.Priority != jobs.Urgent {
		return Preempt{}, false
	}
	var found []Preempt
	for _, workers := range fl.adjacencyGroups(rq.Shape) {
		if len(found) > 0 && len(workers) == len(fl.workers) {
			break // the whole zone is only asked if no rack suffices
		}
		if rc, ok := fl.preemptIn(now, rq, workers); ok {
			found = append(found, rc)
		}
	}
	slices.SortStableFunc(found, func(a, b Preempt) int {
		return cmp.Or(cmp.Compare(a.Lost, b.Lost), cmp.Compare(len(a.Victims), len(b.Victims)))
	})
	for _, rc := range found {
		if rq.Preemptible || fl.keepsGuarantees(rq.Shape, rc.Workers, NoUnit) {
			return rc, true
		}
	}
	return Preempt{}, false
}

// preemptOn finds the victims that make room for a guaranteed gang on exactly
// these workers.
func (fl *Fleet) preemptOn(now time.Time, rq Request, workers []int) (Preempt, bool) {
	if len(workers) < rq.Shape.Tasks {
		return Preempt{}, false
	}
	free := fl.free.clone()
	free.adjust(workers, rq.Shape.Accelerators, -1)
	var taken []Gang
	for _, ga := range fl.victims(now, rq, true, workers) {
		if !free.overdrawn(workers) {
			break
		}
		free.adjust(ga.Workers, ga.Shape.Accelerators, 1)
		taken = append(taken, ga)
	}
	if free.overdrawn(workers) {
		return Preempt{}, false
	}
	for i := len(taken) - 1; i >= 0; i-- {
		free.adjust(taken[i].Workers, taken[i].Shape.Accelerators, -1)
		if free.overdrawn(workers) {
			free.adjust(taken[i].Workers, taken[i].Shape.Accelerators, 1)
			continue
		}
		taken = slices.Delete(taken, i, i+1)
	}
	return newPreempt(now, workers, taken), true
}

func newPreempt(now time.Time, workers []int, taken []Gang) Preempt {
	rc := Preempt{Workers: workers, Unit: NoUnit}
	for _, ga := range taken {
		rc.Victims = append(rc.Victims, ga.Job)
		rc.Lost += lostWork(now, ga)
	}
	return rc
}

// adjacencyGroups returns the groups of workers within which a shape must stand.
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

// preemptIn finds the victims that free capacity for a gang anywhere on some
// workers.
func (fl *Fleet) preemptIn(now time.Time, rq Request, workers []int) (Preempt, bool) {
	fc := fl.excluding(fl.free, rq.Avoid).clone()
	var taken []Gang
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
		taken = append(taken, ga)
	}
	if fitting < rq.Shape.Tasks {
		return Preempt{}, false
	}
	taken = fl.dropUnneeded(fc, rq.Shape, workers, taken)
	chosen, ok := fill(fc, rq.Shape, slices.Clone(workers))
	if !ok {
		return Preempt{}, false
	}
	return newPreempt(now, chosen, taken), true
}

// dropUnneeded gives back the victims, dearest first, that turn out not to be needed.
func (fl *Fleet) dropUnneeded(fc freeCapacity, sh spec.Shape, workers []int, taken []Gang) []Gang {
	for i := len(taken) - 1; i >= 0; i-- {
		ga := taken[i]
		fc.adjust(ga.Workers, ga.Shape.Accelerators, -1)
		if fl.countFitting(fc, sh, workers) >= sh.Tasks {
			taken = slices.Delete(taken, i, i+1)
			continue
		}
		fc.adjust(ga.Workers, ga.Shape.Accelerators, 1)
	}
	return taken
}

// victims lists the gangs on workers that may be stopped for a request, the
// cheapest for each accelerator that they free there first.
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

// tasksOn counts the tasks of each job on some workers.
func (fl *Fleet) tasksOn(workers []int) map[string]int {
	if len(workers) == len(fl.workers) {
		all := make(map[string]int, len(fl.gangs))
		for id, ga := range fl.gangs {
			all[id] = len(ga.Workers)
		}
		return all
	}
	some := map[string]int{}
	for _, at := range workers {
		for _, id := range fl.jobsOn[at] {
			some[id]++
		}
	}
	return some
}

// victim is a gang that may be stopped, with the work that is lost for each
// accelerator it frees.
type victim struct {
	job  string
	cost float64
}

// mayPreempt tells whether a gang yields to a request: any movable gang to a
// guaranteed one; to an urgent one, less urgent work of its own workspace, or
// of one that holds more than its share while the urgent one stays within.
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

// lostWork is the accelerator time that stopping a gang wastes.
func lostWork(now time.Time, ga Gang) time.Duration {
	if ga.Lossless || ga.Started.IsZero() {
		return 0
	}
	return now.Sub(ga.Started) * time.Duration(ga.Shape.Total())
}
