package domain

import (
	"slices"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/batch"
)

type (
	// pass is one round over the units that wait. Room only shrinks in it, so
	// that what has not fitted once need not be tried again.
	pass struct {
		now     time.Time
		service map[string][]*node
		racks   map[string][][]*node // by service
		roomy   map[demand][]*node   // workers that had room for one task when last asked for
		full    map[shape]bool
		keeps   int            // gangs for which workers are kept
		kept    map[*node]bool // for gangs that wait
		victims map[*node][]victim
		least   map[*unit]trust

		capacity map[string]batch.Resources // of what takes new work, by service
	}

	// shape is what decides whether a unit fits.
	shape struct {
		service string
		needs   batch.Resources
		tasks   int
		label   string
		rack    string
		only    *unit // the unit itself, if more than the rest decides about it
		far     bool
		class   int
	}

	// demand is what decides whether a worker has room for one task.
	demand struct {
		service string
		needs   batch.Resources
		assured bool // may use workers that are kept for gangs
	}

	// slot is a worker with the number of tasks that it takes.
	slot struct {
		node *node
		fits int
	}
)

// nearShare is the part of a unit's slack that it waits for room near its data
// before it goes elsewhere.
const nearShare = 0.8

// maxNearWait bounds the same for work within a guarantee, which has to begin
// soon.
const maxNearWait = 1400 * time.Millisecond

func newPass(now time.Time) *pass {
	return &pass{
		now: now, service: map[string][]*node{}, racks: map[string][][]*node{}, roomy: map[demand][]*node{}, full: map[shape]bool{},
		kept: map[*node]bool{}, victims: map[*node][]victim{}, least: map[*unit]trust{},
	}
}

// placeWaiting starts whatever fits, in order.
func (co *Core) placeWaiting(now time.Time) {
	co.placeClaims(now)
	ps := newPass(now)
	ras := co.waitingUnits(ps)
	co.waiting = len(ras)
	ras = co.placeTrials(ps, ras)
	co.placeRanks(ps, ras)
	co.drain(ps)
	co.report(ps, ras)
}

// placeRank starts the units of a rank that fit. What is asked for one of them
// that does not fit need not be asked for the others.
func (co *Core) placeRank(ps *pass, ra rank) {
	full := false
	for _, un := range co.placeAlike(ps, ra) {
		if full && un.plain() {
			continue
		}
		key := co.shapeOf(ps, ra, un)
		if ps.full[key] {
			full = full || un.plain()
			continue
		}
		if !co.hasAdvice(ps, un) {
			continue
		}
		if nodes := co.choose(ps, un, key); nodes != nil {
			co.place(ps.now, un, nodes)
			continue
		}
		if ra.mayPreempt() && co.preempt(ps, un, key) {
			continue
		}
		ps.full[key] = true
		if ra.mayKeep() {
			co.keep(ps, un, key)
		}
	}
}

// placeAlike places those units of a rank that are single tasks which fit
// wherever another of them does, as many as there is room for. It returns the
// units that are left.
func (co *Core) placeAlike(ps *pass, ra rank) []*unit {
	un := ra.units[0]
	key := co.shapeOf(ps, ra, un)
	if un.tasks > 1 || !un.plain() || co.placedSingly(un, key.service) || ps.full[key] || co.queueOf(un.job).Advised {
		return ra.units
	}
	n := 0
	for n < len(ra.units) && ra.units[n].plain() {
		n++
	}
	nodes := un.spread(un.slots(co.withRoom(ps, key), n), n, key.far)
	for i, nd := range nodes {
		co.place(ps.now, ra.units[i], []*node{nd})
	}
	return ra.units[len(nodes):]
}

// plain tells whether a unit fits wherever others of its rank do.
func (un *unit) plain() bool {
	return un.step.PerWorker == 0 && len(un.avoid) == 0 && un.job.advice == nil
}

func (co *Core) shapeOf(ps *pass, ra rank, un *unit) shape {
	key := shape{
		service: co.queueOf(un.job).Service, needs: un.step.Occupied(), tasks: un.tasks,
		label: un.step.Label, rack: un.step.Rack, far: un.mayGoFar(ps.now), class: ra.class,
	}
	if !un.plain() || co.placedSingly(un, key.service) {
		key.only = un
	}
	return key
}

// mayGoFar tells whether a unit has waited long enough for room near its data.
func (un *unit) mayGoFar(now time.Time) bool {
	if un.step.Rack == "" && !(un.step.Gang && un.step.OneRack) {
		return true
	}
	slack := un.goal().Sub(un.submitted()) - un.step.RunTime
	wait := max(0, time.Duration(nearShare*float64(slack)))
	if un.assured {
		wait = min(wait, maxNearWait)
	}
	return now.Sub(un.submitted()) >= wait
}

// usable returns the workers of a service that take new work.
func (co *Core) usable(ps *pass, service string) []*node {
	if nds, ok := ps.service[service]; ok {
		return nds
	}
	var nds []*node
	for _, nd := range co.byID() {
		if nd.worker.Service == service && nd.takesWork(ps.now) {
			nds = append(nds, nd)
		}
	}
	ps.service[service] = nds
	return nds
}

// withRoom returns the workers of a service that have room for one task.
func (co *Core) withRoom(ps *pass, key shape) []*node {
	de := demand{service: key.service, needs: key.needs, assured: key.assured()}
	nds, ok := ps.roomy[de]
	if !ok {
		nds = slices.Clone(co.usable(ps, key.service))
	}
	nds = slices.DeleteFunc(nds, func(nd *node) bool {
		return !nd.free().Holds(de.needs) || (ps.kept[nd] && !de.assured)
	})
	ps.roomy[de] = nds
	return nds
}

func (nd *node) takesWork(now time.Time) bool { return nd.health.usable() && nd.mayTake(now) }

// mayTake tells whether a worker takes work, whatever the evidence on it is.
func (nd *node) mayTake(now time.Time) bool {
	switch {
	case !nd.listed, nd.worker.Draining, nd.evacuated, !nd.emptyBy.IsZero(), nd.answered.IsZero(), nd.failed.After(nd.answered):
		return false
	case now.Sub(nd.refused) < refusedPause && !nd.refused.IsZero():
		return false
	default:
		return true
	}
}

// place begins the next attempt of a unit.
func (co *Core) place(now time.Time, un *unit, nodes []*node) {
	un.attempt++
	un.counted = false
	un.enter(placed)
	un.runs = nil
	if un.job.state == batch.Queued {
		un.job.state = batch.Running
		un.job.firstStart = now
	}
	names := make([]string, len(nodes))
	for i, nd := range nodes {
		ru := &run{unit: un, task: un.taskID(i), attempt: un.attempt, stage: planned}
		co.put(ru, nd)
		un.runs = append(un.runs, ru)
		names[i] = nd.worker.ID
	}
	co.dirty(un.job)
	co.book.urgent = true
	un.version = un.job.version
	waited := now.Sub(un.submitted())
	co.emit(Noted{
		Decision: "placed", Job: un.job.ID, Task: un.taskID(0).String(), Attempt: un.attempt, Workers: slices.Compact(names),
		Queue: un.job.Queue.Name, Waited: waited, Reason: "waited " + waited.Round(time.Millisecond).String(),
	})
}
