package domain

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/batch"
)

type (
	// victim is a unit that may be stopped, with the work that is lost by it.
	victim struct {
		un   *unit
		lost time.Duration // of processor time; an accelerator counts as several cores
	}

	// clearing is what making room on some workers takes.
	clearing struct {
		nodes   []*node
		victims map[*unit]bool
		lost    time.Duration
	}

	stepOf struct {
		job *job
		at  int
	}
)

const (
	// acceleratorCores is how many cores an accelerator counts for in lost work.
	acceleratorCores = 8
	// yieldPenalty is added to the lost work of a unit for each time that it was
	// stopped before, so that not the same ones are stopped again and again.
	// restartTime is how long a unit that was stopped waits at least.
	restartTime  = time.Second
	yieldPenalty = 500 * time.Millisecond
)

// preempt makes room for a unit within a guarantee by stopping other work. The
// unit keeps a claim on the workers until they are clear.
func (co *Core) preempt(ps *pass, un *unit, key shape) bool {
	if ps.now.Sub(un.preempted) < preemptGap {
		return false
	}
	un.preempted = ps.now
	nds := co.usable(ps, key.service)
	var best *clearing
	for _, group := range groups(un, nds) {
		cl := co.clear(ps, un, group)
		if cl != nil && (best == nil || cl.lost < best.lost) {
			best = cl
		}
	}
	if best == nil && key.far {
		best = co.clear(ps, un, nds)
	}
	if best == nil || key.class != classAssured && best.lost > time.Duration(un.cores())*un.step.RunTime/2 {
		return false
	}
	if !best.permitted() {
		return false
	}
	for _, vi := range slices.SortedFunc(maps.Keys(best.victims), compareUnits) {
		vi.yielded++
		vi.job.stops++
		vi.job.lost += vi.unsaved(ps.now)
		co.stopUnit(ps.now, vi, "guaranteed work of "+un.job.Workspace+" needs the room")
	}
	un.claim = best.nodes
	for _, nd := range un.claim {
		nd.used = nd.used.Plus(un.step.Occupied())
	}
	co.emit(Noted{Decision: "preempts", Job: un.job.ID, Task: un.taskID(0).String(), Reason: "work within a guarantee"})
	return true
}

// permitted tells whether no lasting step loses more tasks at a time than it
// may miss.
func (cl *clearing) permitted() bool {
	lost := map[stepOf]int{}
	for un := range cl.victims {
		if un.step.Lasting && un.step.MayMiss > 0 {
			lost[stepOf{un.job, un.at}] += un.tasks
		}
	}
	for un := range cl.victims {
		if n := lost[stepOf{un.job, un.at}]; n > 0 && un.job.away(un)+n > un.step.MayMiss {
			return false
		}
	}
	return true
}

// groups returns the workers near a unit's data, or each rack.
func groups(un *unit, nds []*node) [][]*node {
	if un.step.Rack == "" && !un.step.OneRack {
		return nil
	}
	byRack := map[string][]*node{}
	var racks []string
	for _, nd := range nds {
		if un.step.Rack != "" && nd.worker.Rack != un.step.Rack {
			continue
		}
		if byRack[nd.worker.Rack] == nil {
			racks = append(racks, nd.worker.Rack)
		}
		byRack[nd.worker.Rack] = append(byRack[nd.worker.Rack], nd)
	}
	slices.Sort(racks)
	out := make([][]*node, len(racks))
	for i, rack := range racks {
		out[i] = byRack[rack]
	}
	return out
}

// clear finds what has to be stopped on some workers for a unit to fit, at
// little lost work; nil if that can't be.
func (co *Core) clear(ps *pass, un *unit, nds []*node) *clearing {
	cl := &clearing{victims: map[*unit]bool{}}
	freed := map[*node]batch.Resources{}
	taken := map[*node]int{}
	for len(cl.nodes) < un.tasks {
		var (
			bestNode *node
			bestCost time.Duration
			bestSet  []victim
		)
		for _, nd := range nds {
			set, cost, ok := co.clearOne(ps, un, nd, cl, freed[nd], taken[nd])
			if ok && (bestNode == nil || cost < bestCost) {
				bestNode, bestCost, bestSet = nd, cost, set
			}
		}
		if bestNode == nil {
			return nil
		}
		for _, vi := range bestSet {
			cl.victims[vi.un] = true
			for _, ru := range vi.un.runs {
				freed[ru.node] = freed[ru.node].Plus(vi.un.step.Occupied())
			}
		}
		cl.lost += bestCost
		taken[bestNode]++
		freed[bestNode] = freed[bestNode].Minus(un.step.Occupied())
		cl.nodes = append(cl.nodes, bestNode)
	}
	return cl
}

// leaving is what the tasks that are being stopped on a worker will free.
func (nd *node) leaving() batch.Resources {
	var rs batch.Resources
	for _, ru := range nd.runs {
		if ru.unit != nil && ru.stop.wanted {
			rs = rs.Plus(ru.unit.step.Occupied())
		}
	}
	return rs
}

// clearOne finds what has to be stopped on one worker for one more task.
func (co *Core) clearOne(ps *pass, un *unit, nd *node, cl *clearing, freed batch.Resources, taken int) ([]victim, time.Duration, bool) {
	if !un.suits(nd) || un.avoid[nd.worker.ID] {
		return nil, 0, false
	}
	if un.step.PerWorker > 0 && nd.tasksOf(un)+taken >= un.step.PerWorker {
		return nil, 0, false
	}
	needs := un.step.Occupied()
	room := nd.free().Plus(nd.leaving()).Plus(freed)
	if room.Holds(needs) {
		return nil, 0, true
	}
	var set []victim
	var cost time.Duration
	for _, vi := range co.victimsOn(ps, nd) {
		if cl.victims[vi.un] || !co.yields(vi.un, un) {
			continue
		}
		set = append(set, vi)
		cost += vi.lost
		for _, ru := range vi.un.runs {
			if ru.node == nd {
				room = room.Plus(vi.un.step.Occupied())
			}
		}
		if room.Holds(needs) {
			return set, cost, true
		}
	}
	return nil, 0, false
}

// victimsOn lists the units on a worker that yield to guaranteed work, those
// that lose least first.
func (co *Core) victimsOn(ps *pass, nd *node) []victim {
	if vis, ok := ps.victims[nd]; ok {
		return vis
	}
	var vis []victim
	seen := map[*unit]bool{}
	for _, ru := range nd.runs {
		un := ru.unit
		if un == nil || seen[un] || un.assured || un.phase != live || !un.mayInterrupt() {
			continue
		}
		seen[un] = true
		vis = append(vis, victim{un: un, lost: un.lostWork(ps.now)})
	}
	slices.SortFunc(vis, func(a, b victim) int {
		return cmp.Or(cmp.Compare(a.lost, b.lost), compareUnits(a.un, b.un))
	})
	ps.victims[nd] = vis
	return vis
}

// yields tells whether a unit that may be stopped makes way for another: any
// does for work within a guarantee, and less urgent work for the rest. A unit
// that was stopped since the list was made does so no more.
func (co *Core) yields(victim, by *unit) bool {
	if victim.phase != live {
		return false
	}
	return by.assured || co.queueOf(victim.job).Priority > co.queueOf(by.job).Priority
}

// lostWork is the work that stopping a unit wastes.
func (un *unit) lostWork(now time.Time) time.Duration {
	since := un.worksSince()
	if since.IsZero() {
		return 0
	}
	done := now.Sub(since)
	left := max(0, un.step.RunTime-done)
	again := un.step.RunTime
	if un.step.Checkpoints {
		done, again = 0, left
	}
	lost := done + time.Duration(un.yielded)*yieldPenalty
	if !now.Add(left).After(un.goal()) && now.Add(again+restartTime).After(un.goal()) {
		lost += un.step.RunTime
	}
	return lost * time.Duration(un.cores())
}

// unsaved is the processor time that a unit has taken and no checkpoint holds.
func (un *unit) unsaved(now time.Time) time.Duration {
	since := un.worksSince()
	if since.IsZero() || un.step.Checkpoints {
		return 0
	}
	return now.Sub(since) * time.Duration(un.cores())
}

// cores is what a unit takes, in cores.
func (un *unit) cores() int {
	return un.tasks * (un.step.Needs.MilliCPU/1000 + acceleratorCores*un.step.Needs.Accelerators)
}

// placeClaims starts the units whose claims are clear.
func (co *Core) placeClaims(now time.Time) {
	for _, jb := range co.order {
		if jb.state.Final() {
			continue
		}
		for _, un := range jb.units {
			if un.claim == nil {
				continue
			}
			if slices.ContainsFunc(un.claim, func(nd *node) bool { return !nd.takesWork(now) }) {
				co.release(un)
				continue
			}
			if slices.ContainsFunc(un.claim, func(nd *node) bool { return !nd.free().Holds(batch.Resources{}) }) {
				continue
			}
			nodes := un.claim
			co.release(un)
			co.place(now, un, nodes)
		}
	}
}

// release gives up the claim of a unit.
func (co *Core) release(un *unit) {
	for _, nd := range un.claim {
		nd.used = nd.used.Minus(un.step.Occupied())
	}
	un.claim = nil
}
