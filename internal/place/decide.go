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
		Job       string
		Workspace string
		Shape     spec.Shape
		Priority  jobs.Priority
		Movable   bool
		Aged      bool      // has waited for the ageing time
		Ends      time.Time // as expected, if it starts now
		Avoid     []string  // names of workers on which its attempts have failed
		Share     int       // accelerators that the workspace may claim by urgency
		Shares    func(workspace string) int
	}

	// Decision is one of Placed, Reclaim and Waits.
	Decision interface{ decision() }

	// Placed says where a gang starts at once.
	Placed struct {
		Workers []int
		Unit    int
		Ground  []int // the whole spot of the unit
		From    int   // how many spots there were
		Refused int   // of them, those that a guarantee needs; the rest ranked lower
	}

	// Reclaim says which gangs to stop, and where the gang starts then.
	Reclaim struct {
		Workers []int
		Unit    int
		Ground  []int
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

// Decide places one gang, or says why not. It does not change what stands.
func (fl *Fleet) Decide(now time.Time, rq Request) Decision {
	fl.pack()
	if unit := fl.UnitFor(rq.Workspace, rq.Shape); unit != NoUnit {
		if de := fl.decideGuaranteed(now, rq, unit); de != nil {
			return de
		}
	}
	spots := fl.spotsOf(fl.without(fl.shaded(fl.room, rq.Ends), rq.Avoid), rq.Shape, spotLimit)
	for i, workers := range spots {
		if rq.Movable || fl.spares(rq.Shape, workers, NoUnit) {
			return Placed{Workers: workers, Unit: NoUnit, From: len(spots), Refused: i}
		}
	}
	if rc, ok := fl.reclaim(now, rq); ok {
		return rc
	}
	if rq.Aged {
		if rc, ok := fl.compact(now, rq); ok {
			return rc
		}
	}
	if len(spots) > 0 {
		return Waits{WaitsForGuarantee}
	}
	return Waits{WaitsForRoom}
}

// decideGuaranteed places a gang within a spot of the unit that covers it: the
// unit's present spot or another that the other units spare, without reclaiming
// if that can be, and otherwise at the least lost work. It returns nil only if
// the unit has no spot, or all of them are on workers to be avoided.
func (fl *Fleet) decideGuaranteed(now time.Time, rq Request, unit int) Decision {
	grounds := fl.grounds(rq, unit)
	var best *Reclaim
	refused := 0
	for i, gd := range grounds {
		if i > 0 && !fl.spares(fl.units[unit].Shape, gd, unit) {
			refused++
			continue
		}
		workers, missing := fl.within(rq.Shape, gd)
		if !missing {
			return Placed{Workers: workers, Unit: unit, Ground: gd, From: len(grounds), Refused: refused}
		}
		rc, ok := fl.reclaimOn(now, rq, workers)
		if ok && (best == nil || rc.Lost < best.Lost) {
			rc.Unit = unit
			rc.Ground = gd
			best = &rc
		}
	}
	if best == nil {
		return nil
	}
	return *best
}

// grounds returns the spots that a unit could use: its present one first, then
// others that are free, then others without firm work.
func (fl *Fleet) grounds(rq Request, unit int) [][]int {
	var gds [][]int
	avoided := func(at int) bool { return slices.Contains(rq.Avoid, fl.workers[at].Name) }
	if spot := fl.spots[unit]; spot != nil && !slices.ContainsFunc(spot, avoided) {
		gds = append(gds, spot)
	} else {
		gds = append(gds, nil)
	}
	sh := fl.units[unit].Shape
	firm := fl.without(fl.firm, rq.Avoid)
	gds = append(gds, fl.spotsOf(firm.lesser(fl.room), sh, spotLimit)...)
	gds = append(gds, fl.spotsOf(firm, sh, spotLimit)...)
	return gds
}

// within picks the workers of a spot that a gang stands on, those with room
// first, and tells whether room is missing on some.
func (fl *Fleet) within(sh spec.Shape, spot []int) (workers []int, missing bool) {
	room := fl.room.clone()
	var full []int
	for _, at := range spot {
		if len(workers) == sh.Tasks {
			break
		}
		if room.fits(at, sh.Accelerators) == 0 {
			full = append(full, at)
			continue
		}
		room.take([]int{at}, sh.Accelerators, -1)
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

// reclaim finds the victims that free room for an urgent gang at the least lost
// work, among the workers that the adjacency groups together.
func (fl *Fleet) reclaim(now time.Time, rq Request) (Reclaim, bool) {
	if rq.Priority != jobs.Urgent {
		return Reclaim{}, false
	}
	var found []Reclaim
	for _, workers := range fl.domains(rq.Shape) {
		if len(found) > 0 && len(workers) == len(fl.workers) {
			break // the whole zone is only asked if no rack suffices
		}
		if rc, ok := fl.reclaimIn(now, rq, workers); ok {
			found = append(found, rc)
		}
	}
	slices.SortStableFunc(found, func(a, b Reclaim) int {
		return cmp.Or(cmp.Compare(a.Lost, b.Lost), cmp.Compare(len(a.Victims), len(b.Victims)))
	})
	for _, rc := range found {
		if rq.Movable || fl.spares(rq.Shape, rc.Workers, NoUnit) {
			return rc, true
		}
	}
	return Reclaim{}, false
}

// reclaimOn finds the victims that make room for a guaranteed gang on exactly
// these workers.
func (fl *Fleet) reclaimOn(now time.Time, rq Request, workers []int) (Reclaim, bool) {
	if len(workers) < rq.Shape.Tasks {
		return Reclaim{}, false
	}
	room := fl.room.clone()
	room.take(workers, rq.Shape.Accelerators, -1)
	var taken []Gang
	for _, ga := range fl.victims(now, rq, true, workers) {
		if !room.overdrawn(workers) {
			break
		}
		room.take(ga.Workers, ga.Shape.Accelerators, 1)
		taken = append(taken, ga)
	}
	if room.overdrawn(workers) {
		return Reclaim{}, false
	}
	for i := len(taken) - 1; i >= 0; i-- {
		room.take(taken[i].Workers, taken[i].Shape.Accelerators, -1)
		if room.overdrawn(workers) {
			room.take(taken[i].Workers, taken[i].Shape.Accelerators, 1)
			continue
		}
		taken = slices.Delete(taken, i, i+1)
	}
	return newReclaim(now, workers, taken), true
}

func newReclaim(now time.Time, workers []int, taken []Gang) Reclaim {
	rc := Reclaim{Workers: workers, Unit: NoUnit}
	for _, ga := range taken {
		rc.Victims = append(rc.Victims, ga.Job)
		rc.Lost += lostWork(now, ga)
	}
	return rc
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

func (fl *Fleet) reclaimIn(now time.Time, rq Request, workers []int) (Reclaim, bool) {
	gr := fl.without(fl.room, rq.Avoid).clone()
	var taken []Gang
	room := fl.capacity(gr, rq.Shape, workers)
	inside := make(map[int]bool, len(workers))
	for _, at := range workers {
		inside[at] = true
	}
	for _, ga := range fl.victims(now, rq, false, workers) {
		if room >= rq.Shape.Tasks {
			break
		}
		for _, at := range ga.Workers {
			before := gr.fits(at, rq.Shape.Accelerators)
			gr.take([]int{at}, ga.Shape.Accelerators, 1)
			if inside[at] {
				room += gr.fits(at, rq.Shape.Accelerators) - before
			}
		}
		taken = append(taken, ga)
	}
	if room < rq.Shape.Tasks {
		return Reclaim{}, false
	}
	taken = fl.spare(gr, rq.Shape, workers, taken)
	spot, ok := fill(gr, rq.Shape, slices.Clone(workers))
	if !ok {
		return Reclaim{}, false
	}
	return newReclaim(now, spot, taken), true
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
func (fl *Fleet) victims(now time.Time, rq Request, guaranteed bool, workers []int) []Gang {
	freed := fl.tasksOn(workers)
	offers := make([]offer, 0, len(freed))
	for id, n := range freed {
		if ga := fl.gangs[id]; fl.mayReclaim(rq, guaranteed, ga) {
			price := float64(lostWork(now, ga)) / float64(max(1, n*ga.Shape.Accelerators))
			offers = append(offers, offer{job: id, price: price})
		}
	}
	slices.SortFunc(offers, func(a, b offer) int {
		return cmp.Or(cmp.Compare(a.price, b.price), cmp.Compare(a.job, b.job))
	})
	gas := make([]Gang, len(offers))
	for i, of := range offers {
		gas[i] = fl.gangs[of.job]
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
		for _, id := range fl.here[at] {
			some[id]++
		}
	}
	return some
}

// offer is a gang that may be stopped, with the work that is lost for each
// accelerator it frees.
type offer struct {
	job   string
	price float64
}

// mayReclaim tells whether a gang yields to a request: any movable gang to a
// guaranteed one; to an urgent one, less urgent work of its own workspace, or
// of one that holds more than its share while the urgent one stays within.
func (fl *Fleet) mayReclaim(rq Request, guaranteed bool, ga Gang) bool {
	if firmGang(ga) || ga.Busy || ga.Job == rq.Job {
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
