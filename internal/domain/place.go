package domain

import (
	"slices"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/batch"
)

type (
	// pass is the state of one placement pass over the waiting units. Free
	// capacity only shrinks during a pass, so once a unit did not fit, others
	// with the same key are not tried.
	pass struct {
		now            time.Time
		budget         passBudget
		explained      int                  // standstills whose reason was determined
		nodesByService map[string][]*node   // schedulable workers
		racksByService map[string][][]*node // schedulable workers by rack, sorted by the name of the rack
		nodesWithRoom  map[roomKey][]*node  // see Core.nodesWithRoom
		roomyNodes     map[roomKey][]*node  // see Core.roomyNodes
		nodesByDemand  map[demand][]*node   // workers with enough free capacity for one task, as of the last query
		unplaceable    map[fitKey]bool
		reservations   int                 // number of units with reserved workers
		reserved       map[*node]time.Time // for waiting gangs and large tasks, with their expected starts
		rooms          map[roomKey][]nodeRoom
		freeNodes      map[roomKey][]*node      // see Core.freeNodes
		backfillable   map[demand]reservedNodes // see backfillNodes
		notBackfilled  map[backfillKey]bool     // units like these did not fit
		ends           map[*node][]expectedEnd
		reserving      map[string]bool    // services with units for which workers are to be reserved
		victims        map[*node][]victim // see victimsOn
		minTrust       map[*unit]trust    // see Core.minTrust

		capacity map[string]batch.Resources // of schedulable workers, by service
	}

	// fitKey holds everything that determines whether a unit fits. Units with
	// equal keys fit on the same workers.
	fitKey struct {
		service    string
		needs      batch.Resources
		tasks      int
		label      string
		dataRack   string
		uniqueTo   *unit // the unit, if whether it fits depends on more than the other fields; nil otherwise
		anyRack    bool  // may be placed outside the rack of its data, or on several racks
		class      int   // see unitGroup
		bestEffort bool  // may be blocked where others fit; see bestEffortBlocked
	}

	// demand determines whether a worker has enough free capacity for one task.
	demand struct {
		service    string
		needs      batch.Resources
		guaranteed bool // may use reserved workers
	}

	// slot is a worker with the number of tasks that fit there.
	slot struct {
		node  *node
		tasks int
	}
)

// localityWaitShare is the fraction of a unit's slack that it waits for
// capacity near its data before it accepts any rack (delay scheduling).
const localityWaitShare = 0.8

// maxGuaranteedWait bounds that wait, and the one for proven workers (trust.go),
// for work within a guarantee, which has to begin soon.
const maxGuaranteedWait = 1400 * time.Millisecond

// maxCandidates is the number of workers among which a unit is placed if it may use any of
// more. The best of so many are good enough, and a pass takes no longer in a larger fleet.
const maxCandidates = 512

func newPass(now time.Time) *pass {
	ps := &pass{
		now: now, nodesByService: map[string][]*node{}, racksByService: map[string][][]*node{}, unplaceable: map[fitKey]bool{},
		reserved: map[*node]time.Time{}, rooms: map[roomKey][]nodeRoom{}, backfillable: map[demand]reservedNodes{}, notBackfilled: map[backfillKey]bool{},
		ends: map[*node][]expectedEnd{}, reserving: map[string]bool{}, victims: map[*node][]victim{}, minTrust: map[*unit]trust{},
	}
	ps.forgetRoom()
	return ps
}

// placeWaiting runs a placement pass: it places the units whose claimed capacity
// is free, then all waiting units that fit, in order, and moves one unit out of
// the evacuated zones.
func (co *Core) placeWaiting(now time.Time) {
	co.checkBound(now)
	co.placeClaimed(now)
	ps := newPass(now)
	co.placeBound(ps)
	ugs := co.waitingGroups(ps)
	co.groupCount = len(ugs)
	co.findStandstills(ps, ugs)
	ugs = co.placeOnProbation(ps, ugs)
	guaranteed, others := splitGuaranteed(ugs)
	before, budget := co.steps, co.passSteps(ps.now)
	co.beginTier(ps, roundGuaranteed, int64(guaranteedShare*float64(budget)))
	co.placeGroups(ps, guaranteed)
	co.endTier(ps)
	used := co.steps - before
	co.endStandstills(ps, maxOvertaken)
	co.beginTier(ps, roundOthers, max(budget-used, int64((1-guaranteedShare)*float64(budget))))
	co.placeGroups(ps, stillWaiting(others))
	co.endTier(ps)
	co.endStandstills(ps, maxStandstill)
	co.updateIdleReservations(ps)
	co.evacuateNext(ps)
	co.reportBacklog(ps, ugs)
	co.reportHolds(ps)
}

// splitGuaranteed returns the groups within guarantees, which come first, and the others.
func splitGuaranteed(ugs []unitGroup) (guaranteed, others []unitGroup) {
	n := 0
	for n < len(ugs) && ugs[n].class == classGuaranteed {
		n++
	}
	return ugs[:n], ugs[n:]
}

// stillWaiting returns groups without the units that a pass has placed or that have a
// claim.
func stillWaiting(ugs []unitGroup) []unitGroup {
	out := make([]unitGroup, 0, len(ugs))
	for _, ug := range ugs {
		if slices.ContainsFunc(ug.units, (*unit).isSettled) {
			ug.units = slices.DeleteFunc(slices.Clone(ug.units), (*unit).isSettled)
		}
		if len(ug.units) > 0 {
			out = append(out, ug)
		}
	}
	return out
}

// isSettled reports whether a unit needs no workers any more.
func (un *unit) isSettled() bool { return un.phase != waiting || un.claim != nil }

// placeGroup places the units of a group that fit, unless an earlier pass of the round has
// tried them.
func (co *Core) placeGroup(ps *pass, ug unitGroup) {
	if co.isTried(ps, ug) {
		co.keepReservations(ps, ug)
		return
	}
	if co.tryGroup(ps, ug) {
		co.markTried(ps, ug)
	}
}

// tryGroup places the units of a group that fit. If an interchangeable unit
// does not fit, the others are not tried. It returns false if the pass has to end before.
func (co *Core) tryGroup(ps *pass, ug unitGroup) bool {
	if !co.mayTry(ps) {
		return false
	}
	noneFits := false
	for _, un := range co.placeInterchangeable(ps, ug) {
		if !co.mayTry(ps) {
			return false
		}
		co.examine(1)
		if noneFits && un.interchangeable() {
			continue
		}
		key := co.fitKeyOf(ps, ug, un)
		if ps.unplaceable[key] {
			if !co.backfill(ps, un, key) {
				noneFits = noneFits || un.interchangeable()
			}
			continue
		}
		if !co.ensureAdvice(ps, un) {
			continue
		}
		if nodes := co.chooseNodes(ps, un, key); nodes != nil {
			co.place(ps.now, un, nodes)
			continue
		}
		if co.backfill(ps, un, key) || ug.mayPreempt() && co.preempt(ps, un, key) {
			continue
		}
		ps.unplaceable[key] = true
		if ug.mayReserve() {
			co.reserveNodes(ps, un, key)
		}
	}
	return true
}

// placeInterchangeable places as many as possible of a group's interchangeable
// single tasks. It returns the remaining units.
func (co *Core) placeInterchangeable(ps *pass, ug unitGroup) []*unit {
	un := ug.units[0]
	key := co.fitKeyOf(ps, ug, un)
	if un.tasks > 1 || !un.interchangeable() || co.placedIndividually(un, key.service) || ps.unplaceable[key] || co.queueOf(un.job).Advised {
		return ug.units
	}
	n := 0
	for n < len(ug.units) && ug.units[n].interchangeable() {
		n++
	}
	sls, more := co.candidates(ps, un, key, n, un.step.DataRack != "")
	if more && countTasks(sls) < n {
		sls, _ = co.candidates(ps, un, key, n, true)
	}
	nodes := un.packTasks(sls, n, key.anyRack)
	for i, nd := range nodes {
		co.place(ps.now, ug.units[i], []*node{nd})
	}
	return ug.units[len(nodes):]
}

// interchangeable reports whether a unit fits wherever others of its group do.
func (un *unit) interchangeable() bool {
	return un.step.PerWorker == 0 && len(un.avoided) == 0 && un.job.advice == nil && !un.isSuspected()
}

// fitKeyOf returns the key of a unit at present. It changes when the unit has
// waited long enough for capacity near its data.
func (co *Core) fitKeyOf(ps *pass, ug unitGroup, un *unit) fitKey {
	key := fitKey{
		service: co.queueOf(un.job).Service, needs: un.step.Reserved(), tasks: un.tasks,
		label: un.step.Label, dataRack: un.step.DataRack, anyRack: un.localityWaitOver(ps.now), class: ug.class,
		bestEffort: un.step.BestEffort,
	}
	if !un.interchangeable() || co.placedIndividually(un, key.service) {
		key.uniqueTo = un
	}
	return key
}

// localityWaitOver reports whether a unit has waited long enough for capacity
// near its data.
func (un *unit) localityWaitOver(now time.Time) bool {
	if un.step.DataRack == "" && !(un.step.Gang && un.step.OneRack) {
		return true
	}
	slack := un.deadline().Sub(un.objectiveStart()) - un.step.RunTime
	wait := max(0, time.Duration(localityWaitShare*float64(slack)))
	if un.guaranteed {
		wait = min(wait, maxGuaranteedWait)
	}
	return now.Sub(un.objectiveStart()) >= wait
}

// schedulableNodes returns the workers of a service that take new work.
func (co *Core) schedulableNodes(ps *pass, service string) []*node {
	if nds, ok := ps.nodesByService[service]; ok {
		return nds
	}
	var nds []*node
	co.examine(len(co.sortedNodes))
	for _, nd := range co.nodesByID() {
		if nd.worker.Service == service && nd.schedulable(ps.now) {
			nds = append(nds, nd)
		}
	}
	ps.nodesByService[service] = nds
	return nds
}

// nodesWithRoom returns the workers of a service, whatever their state, that had some free
// capacity of each kind that is needed when they were first asked for in a pass.
func (co *Core) nodesWithRoom(ps *pass, service string, needs batch.Resources) []*node {
	key := roomKeyOf(service, needs)
	nds, ok := ps.nodesWithRoom[key]
	if !ok {
		co.examine(len(co.sortedNodes))
		for _, nd := range co.sortedNodes {
			if nd.worker.Service == service && key.hasRoom(nd.free()) {
				nds = append(nds, nd)
			}
		}
		ps.nodesWithRoom[key] = nds
	}
	co.examine(len(nds))
	return nds
}

// roomyNodes returns those of them that take new work. There are few when load is high.
func (co *Core) roomyNodes(ps *pass, service string, needs batch.Resources) []*node {
	key := roomKeyOf(service, needs)
	nds, ok := ps.roomyNodes[key]
	if !ok {
		nds = slices.DeleteFunc(slices.Clone(co.nodesWithRoom(ps, service, needs)), func(nd *node) bool { return !nd.schedulable(ps.now) })
		ps.roomyNodes[key] = nds
	}
	return nds
}

// forgetRoom has the room of the workers determined anew, after some was released during
// a pass.
func (ps *pass) forgetRoom() {
	ps.nodesByDemand, ps.freeNodes = map[demand][]*node{}, map[roomKey][]*node{}
	ps.nodesWithRoom, ps.roomyNodes = map[roomKey][]*node{}, map[roomKey][]*node{}
}

// candidates returns the workers of a service on which tasks of a unit fit that may be used
// now, each with the number that fits, up to a limit. Unless all are wanted, it returns
// maxCandidates at most, and whether there may be more.
func (co *Core) candidates(ps *pass, un *unit, key fitKey, limit int, all bool) (sls []slot, more bool) {
	de := demand{service: key.service, needs: key.needs, guaranteed: key.guaranteed()}
	nds, ok := ps.nodesByDemand[de]
	if !ok {
		nds = slices.Clone(co.roomyNodes(ps, key.service, key.needs))
	}
	kept := 0
	for i, nd := range nds {
		co.examine(1)
		if !nd.free().Covers(de.needs) || (ps.isReserved(nd) && !de.guaranteed) || ps.now.Before(nd.isolatedUntil) {
			continue // for the rest of the pass
		}
		nds[kept] = nd
		kept++
		if !un.suits(nd) {
			continue
		}
		if n := un.fitCount(nd, nd.free(), limit); n > 0 {
			sls = append(sls, slot{nd, n})
		}
		if !all && len(sls) == maxCandidates {
			kept += copy(nds[kept:], nds[i+1:])
			more = true
			break
		}
	}
	ps.nodesByDemand[de] = nds[:kept]
	return sls, more
}

// schedulable reports whether a worker takes new work: it is in service, and
// nothing else prevents that; see acceptsWorkIfHealthy.
func (nd *node) schedulable(now time.Time) bool {
	return nd.health.isInService() && nd.acceptsWorkIfHealthy(now)
}

// acceptsWorkIfHealthy reports whether a worker could take new work if it were
// in service, regardless of its health state.
func (nd *node) acceptsWorkIfHealthy(now time.Time) bool {
	switch {
	case nd.entryBorn != 0 && nd.entryBorn != nd.worker.Born: // its kind and capacity are not known yet
		return false
	case !nd.listed, nd.worker.Draining, nd.evacuated, !nd.drainBy.IsZero(), nd.lastResponse.IsZero(), nd.lastFailure.After(nd.lastResponse):
		return false
	case now.Sub(nd.lastRefusal) < refusalBackoff && !nd.lastRefusal.IsZero():
		return false
	default:
		return true
	}
}

// place begins the next attempt of a unit on the given workers, one per task.
// The logged wait is the time since the unit's due time or acceptance, which
// includes earlier attempts.
func (co *Core) place(now time.Time, un *unit, nodes []*node) {
	un.attempt++
	co.protectAfterStandstill(now, un)
	un.setPhase(placed)
	un.runs = nil
	if un.job.state == batch.Queued {
		un.job.state = batch.Running
		un.job.firstPlacedAt = now
	}
	names := make([]string, len(nodes))
	for i, nd := range nodes {
		ru := &run{unit: un, task: un.taskID(i), attempt: un.attempt, stage: planned}
		co.addRun(ru, nd)
		un.runs = append(un.runs, ru)
		names[i] = nd.worker.ID
	}
	un.isolate(now)
	co.markDirty(un.job)
	co.commits.urgent = true
	un.recordVersion = un.job.version
	waited := now.Sub(un.objectiveStart())
	if un.job.Schedule == nil {
		waited += un.job.unseen
	}
	co.emit(LogDecision{
		Decision: "placed", Job: un.job.ID, Task: un.taskID(0).String(), Attempt: un.attempt, Workers: slices.Compact(names),
		Queue: un.job.Queue.Name, Waited: waited, Unseen: un.job.unseen, Reason: "waited " + waited.Round(time.Millisecond).String(),
	})
}
