package domain

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/batch"
)

type (
	// victim is a unit that may be preempted, with the cost of preempting it.
	victim struct {
		un   *unit
		cost time.Duration // see preemptionCost
	}

	// preemptionPlan is a plan of which units to preempt on which nodes.
	preemptionPlan struct {
		nodes   []*node // one per task
		victims map[*unit]bool
		cost    time.Duration             // see preemptionCost
		freed   map[*node]batch.Resources // by victims, less what the new tasks take
		taken   map[*node]int             // number of new tasks
	}

	// nodeOption is the cost of making room for one more task on a node.
	nodeOption struct {
		possible bool
		victims  []victim
		cost     time.Duration // sum over the victims
	}

	// jobStep is a step of a job, over all occurrences.
	jobStep struct {
		job       *job
		stepIndex int
	}
)

const (
	// acceleratorCores is the number of cores that an accelerator is equivalent
	// to in lost work.
	acceleratorCores = 8
	// restartTime is the minimum delay of a unit by a preemption.
	restartTime = time.Second
	// preemptionPenalty is added to the cost of a unit, per core equivalent, for
	// each earlier preemption, so that the same units are not preempted
	// repeatedly.
	preemptionPenalty = 500 * time.Millisecond
	// standstillPenalty is added to the cost of a job's units together, per core
	// equivalent, since the job stands still once none of them runs. Otherwise the
	// cheapest units are those that have just begun after their job stood still.
	standstillPenalty = time.Second
	// maxClaimWait is how long a unit waits for its victims to end before it takes
	// other capacity.
	maxClaimWait = 500 * time.Millisecond
)

// preempt stops other work to make room for a unit, and reports whether it did.
// The unit keeps a claim on the workers until their capacity is free.
func (co *Core) preempt(ps *pass, un *unit, key fitKey) bool {
	if ps.now.Sub(un.preemptTriedAt) < preemptInterval {
		return false
	}
	un.preemptTriedAt = ps.now
	if key.guaranteed() {
		co.releaseMoveClaims()
	}
	nds := co.schedulableNodes(ps, key.service)
	var best *preemptionPlan
	for _, group := range co.rackGroups(ps, un, key.service) {
		pp := co.planPreemption(ps, un, group)
		if pp != nil && (best == nil || pp.cost < best.cost) {
			best = pp
		}
	}
	if best == nil && key.anyRack {
		best = co.planPreemption(ps, un, nds)
	}
	// For work outside a guarantee, preemption may cost at most half of that
	// work's own processor time.
	if best == nil || key.class != classGuaranteed && best.cost > time.Duration(un.coreEquivalents())*un.step.RunTime/2 {
		return false
	}
	if !best.withinDisruptionLimits() {
		return false
	}
	for _, target := range slices.SortedFunc(maps.Keys(best.victims), compareUnits) {
		target.preemptions++
		target.job.preemptions++
		target.job.lostTime += target.lossIfStopped(ps.now)
		co.stopUnit(ps.now, target, "workspace "+un.job.Workspace+" needs the capacity for guaranteed or more urgent work")
	}
	un.setClaim(best.nodes)
	co.claimed = append(co.claimed, un)
	co.emit(LogDecision{Decision: "preempts", Job: un.job.ID, Task: un.taskID(0).String(), Reason: "guaranteed or more urgent work"})
	return true
}

// withinDisruptionLimits reports whether no long-running step would have more
// tasks unavailable than its MaxUnavailable.
func (pp *preemptionPlan) withinDisruptionLimits() bool {
	lost := map[jobStep]int{}
	for un := range pp.victims {
		if un.step.LongRunning && un.step.MaxUnavailable > 0 {
			lost[jobStep{un.job, un.stepIndex}] += un.tasks
		}
	}
	for un := range pp.victims {
		if n := lost[jobStep{un.job, un.stepIndex}]; n > 0 && un.job.unavailableTasks(un)+n > un.step.MaxUnavailable {
			return false
		}
	}
	return true
}

// rackGroups returns the workers of the rack of a unit's data, or of each rack
// if it needs a single one. The workers of a group are sorted by ID.
func (co *Core) rackGroups(ps *pass, un *unit, service string) [][]*node {
	if un.step.DataRack == "" && !un.step.OneRack {
		return nil
	}
	racks := co.racksOf(ps, service)
	if un.step.DataRack == "" {
		return slices.Clone(racks)
	}
	for _, rack := range racks {
		if rack[0].worker.Rack == un.step.DataRack {
			return [][]*node{rack}
		}
	}
	return nil
}

// racksOf returns the schedulable workers of a service, by rack.
func (co *Core) racksOf(ps *pass, service string) [][]*node {
	if racks, ok := ps.racksByService[service]; ok {
		return racks
	}
	byRack := map[string][]*node{}
	for _, nd := range co.schedulableNodes(ps, service) {
		byRack[nd.worker.Rack] = append(byRack[nd.worker.Rack], nd)
	}
	racks := make([][]*node, 0, len(byRack))
	for _, name := range slices.Sorted(maps.Keys(byRack)) {
		racks = append(racks, byRack[name])
	}
	ps.racksByService[service] = racks
	return racks
}

// planPreemption returns a plan for a unit to fit on some workers, which are
// sorted by ID; nil if there is none. It is greedy: the cost is low, but not
// always the lowest possible.
func (co *Core) planPreemption(ps *pass, un *unit, nds []*node) *preemptionPlan {
	pp := &preemptionPlan{}
	options := make([]nodeOption, len(nds))
	for i, nd := range nds {
		options[i] = co.optionOn(ps, un, nd, pp)
	}
	for len(pp.nodes) < un.tasks {
		best := pp.cheapest(nds, options)
		co.examine(len(nds))
		if best < 0 {
			return nil
		}
		for _, nd := range pp.add(un, nds[best], options[best]) {
			if i, ok := slices.BinarySearchFunc(nds, nd.worker.ID, compareID); ok {
				options[i] = co.optionOn(ps, un, nd, pp)
			}
		}
	}
	return pp
}

// cheapest returns the index of the first option with the lowest cost, and among
// these one on a worker that the plan uses already; -1 if none is possible.
func (pp *preemptionPlan) cheapest(nds []*node, options []nodeOption) int {
	best := -1
	for i, op := range options {
		if !op.possible {
			continue
		}
		if best < 0 || op.cost < options[best].cost ||
			(op.cost == options[best].cost && pp.taken[nds[best]] == 0 && pp.taken[nds[i]] > 0) {
			best = i
		}
	}
	return best
}

// add adds a task on a node to a plan and returns the nodes whose options
// change by that.
func (pp *preemptionPlan) add(un *unit, nd *node, op nodeOption) []*node {
	if pp.taken == nil {
		pp.victims, pp.freed, pp.taken = map[*unit]bool{}, map[*node]batch.Resources{}, map[*node]int{}
	}
	changed := []*node{nd}
	for _, vi := range op.victims {
		pp.victims[vi.un] = true
		for _, ru := range vi.un.runs {
			pp.freed[ru.node] = pp.freed[ru.node].Plus(vi.un.step.Reserved())
			changed = append(changed, ru.node)
		}
	}
	pp.cost += op.cost
	pp.taken[nd]++
	pp.freed[nd] = pp.freed[nd].Minus(un.step.Reserved())
	pp.nodes = append(pp.nodes, nd)
	return changed
}

// optionOn returns what has to be stopped on a worker for one more task of a
// unit, beside what a plan stops and places already.
func (co *Core) optionOn(ps *pass, un *unit, nd *node, pp *preemptionPlan) nodeOption {
	co.examine(1)
	if !un.suits(nd) || co.rejects(ps, un, nd) {
		return nodeOption{}
	}
	if un.step.PerWorker > 0 && nd.taskCount(un)+pp.taken[nd] >= un.step.PerWorker {
		return nodeOption{}
	}
	needs := un.step.Reserved()
	free := nd.free().Plus(nd.stopping).Plus(pp.freed[nd])
	if free.Covers(needs) {
		return nodeOption{possible: true}
	}
	var op nodeOption
	for _, vi := range co.victimsOn(ps, nd) {
		co.examine(1)
		if pp.victims[vi.un] || !co.preemptibleBy(ps.now, vi.un, un) {
			continue
		}
		op.victims = append(op.victims, vi)
		op.cost += vi.cost
		for _, ru := range vi.un.runs {
			if ru.node == nd {
				free = free.Plus(vi.un.step.Reserved())
			}
		}
		if free.Covers(needs) {
			op.possible = true
			return op
		}
	}
	return nodeOption{}
}

// victimsOn returns the preemptible units on a worker, those with the lowest
// cost first.
func (co *Core) victimsOn(ps *pass, nd *node) []victim {
	if vis, ok := ps.victims[nd]; ok {
		return vis
	}
	var vis []victim
	co.examine(len(nd.runs))
	seen := map[*unit]bool{}
	for _, ru := range nd.runs {
		un := ru.unit
		if un == nil || seen[un] || un.guaranteed || un.phase != live || !un.preemptible() {
			continue
		}
		seen[un] = true
		vis = append(vis, victim{un: un, cost: un.preemptionCost(ps.now)})
	}
	slices.SortFunc(vis, func(a, b victim) int {
		return cmp.Or(
			compareBool(a.un.isProtected(ps.now), b.un.isProtected(ps.now)), cmp.Compare(a.cost, b.cost), compareUnits(a.un, b.un),
		)
	})
	ps.victims[nd] = vis
	return vis
}

// preemptibleBy reports whether a unit yields to another: to work within a
// guarantee any does, and to other work those of lower priority. A unit that
// was stopped after victimsOn had listed it does not, nor does a protected one but to
// work within a guarantee.
func (co *Core) preemptibleBy(now time.Time, target, by *unit) bool {
	if target.phase != live || target.isProtected(now) && !by.guaranteed {
		return false
	}
	return by.guaranteed || co.queueOf(target.job).Priority > co.queueOf(by.job).Priority
}

// preemptionCost returns the cost of preempting a unit: the processor time that
// is lost, with additions for earlier preemptions, for a job of which little or
// nothing else runs, and for an objective that the unit would miss because of it.
// Accelerators count as acceleratorCores each.
func (un *unit) preemptionCost(now time.Time) time.Duration {
	done := time.Duration(0)
	if since := un.workingSince(); !since.IsZero() {
		done = now.Sub(since)
	}
	left := max(0, un.step.RunTime-done)
	rerun := un.step.RunTime
	if un.step.Checkpoints {
		done, rerun = 0, left
	}
	cost := done + un.preemptionPenalties() + standstillPenalty/time.Duration(max(1, un.job.liveUnits))
	if un.isProtected(now) {
		cost += protectionTime
	}
	if !now.Add(left).After(un.deadline()) && now.Add(rerun+restartTime).After(un.deadline()) {
		cost += un.step.RunTime
	}
	return cost * time.Duration(un.coreEquivalents())
}

// preemptionPenalties returns the addition for earlier preemptions: those of the unit
// or, if they are more, those of its job as an average over the open units.
func (un *unit) preemptionPenalties() time.Duration {
	byJob := preemptionPenalty * time.Duration(un.job.preemptions) / time.Duration(max(1, len(un.job.units)))
	return max(time.Duration(un.preemptions)*preemptionPenalty, byJob)
}

// lossIfStopped returns the processor time that is lost if a unit is stopped,
// in core equivalents. It is zero for a step with checkpoints, although the
// time since the last one is lost.
func (un *unit) lossIfStopped(now time.Time) time.Duration {
	since := un.workingSince()
	if since.IsZero() || un.step.Checkpoints {
		return 0
	}
	return now.Sub(since) * time.Duration(un.coreEquivalents())
}

// coreEquivalents returns the cores of a unit, with acceleratorCores for each
// accelerator.
func (un *unit) coreEquivalents() int { return un.tasks * coreEquivalents(un.step.Needs) }

// coreEquivalents returns the cores of an amount of resources, with acceleratorCores
// for each accelerator.
func coreEquivalents(rs batch.Resources) int {
	return rs.MilliCPU/1000 + acceleratorCores*rs.Accelerators
}

// placeClaimed places the units whose claimed capacity is free.
func (co *Core) placeClaimed(now time.Time) {
	claimed := co.claimed
	co.claimed = nil
	for _, un := range claimed {
		switch {
		case un.claim == nil: // released since
		case slices.ContainsFunc(un.claim, func(nd *node) bool { return !nd.schedulable(now) || !co.suitsClaim(un, nd) }):
			co.releaseClaim(un)
		case un.phase != waiting:
			co.updateMoveClaim(now, un)
		case un.abandonedRuns > 0, un.bound, slices.ContainsFunc(un.claim, func(nd *node) bool { return !nd.free().Covers(batch.Resources{}) }):
			// The free capacity is negative while victims still run beside
			// the claim.
			co.waitForClaim(now, un)
		default:
			nodes := un.claim
			co.releaseClaim(un)
			co.place(now, un, nodes)
		}
	}
}

// suitsClaim reports whether a worker on which a unit has a claim may still run it. It
// may have restarted as one of another kind.
func (co *Core) suitsClaim(un *unit, nd *node) bool {
	return nd.worker.Service == co.queueOf(un.job).Service && un.suits(nd)
}

// waitForClaim keeps the claim of a unit or, after maxClaimWait, places the unit where
// there is room by now: some victims end late.
func (co *Core) waitForClaim(now time.Time, un *unit) {
	if un.abandonedRuns == 0 && !un.bound && now.Sub(un.preemptTriedAt) >= maxClaimWait && now.Sub(un.claimCheckedAt) >= maxClaimWait {
		un.claimCheckedAt = now
		claim := un.claim
		co.releaseClaim(un)
		ps := newPass(now)
		if nodes := co.chooseNodes(ps, un, co.fitKeyOf(ps, un.ownGroup(now), un)); nodes != nil {
			co.place(now, un, nodes)
			return
		}
		un.setClaim(claim)
	}
	co.claimed = append(co.claimed, un)
}

// ownGroup returns a group with the class of a unit at present.
func (un *unit) ownGroup(now time.Time) unitGroup {
	if un.guaranteed {
		return unitGroup{class: classGuaranteed}
	}
	return unitGroup{class: un.class(now)}
}

// setClaim allocates capacity on workers for the next attempt of a unit.
func (un *unit) setClaim(nodes []*node) {
	un.claim = nodes
	for _, nd := range nodes {
		nd.used = nd.used.Plus(un.step.Reserved())
	}
}

// releaseClaim releases the claim of a unit.
func (co *Core) releaseClaim(un *unit) {
	for _, nd := range un.claim {
		nd.used = nd.used.Minus(un.step.Reserved())
	}
	un.claim = nil
}
