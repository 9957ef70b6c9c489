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
		nodes   []*node // one for each task
		victims map[*unit]bool
		lost    time.Duration
		freed   map[*node]batch.Resources // by victims, less what the tasks take
		taken   map[*node]int             // tasks
	}

	// option is what making room for one task on a worker takes.
	option struct {
		possible bool
		victims  []victim
		lost     time.Duration
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
	if key.assured() {
		co.dropMoves()
	}
	nds := co.usable(ps, key.service)
	var best *clearing
	for _, group := range co.groups(ps, un, key.service) {
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
	co.claimed = append(co.claimed, un)
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

// groups returns the workers near a unit's data, or those of each rack. The
// workers of a group stand in the order of their IDs.
func (co *Core) groups(ps *pass, un *unit, service string) [][]*node {
	if un.step.Rack == "" && !un.step.OneRack {
		return nil
	}
	racks := co.racksOf(ps, service)
	if un.step.Rack == "" {
		return slices.Clone(racks)
	}
	for _, rack := range racks {
		if rack[0].worker.Rack == un.step.Rack {
			return [][]*node{rack}
		}
	}
	return nil
}

// racksOf returns the workers of a service that take new work, by rack.
func (co *Core) racksOf(ps *pass, service string) [][]*node {
	if racks, ok := ps.racks[service]; ok {
		return racks
	}
	byRack := map[string][]*node{}
	for _, nd := range co.usable(ps, service) {
		byRack[nd.worker.Rack] = append(byRack[nd.worker.Rack], nd)
	}
	racks := make([][]*node, 0, len(byRack))
	for _, name := range slices.Sorted(maps.Keys(byRack)) {
		racks = append(racks, byRack[name])
	}
	ps.racks[service] = racks
	return racks
}

// clear finds what has to be stopped on some workers, in the order of their IDs,
// for a unit to fit, at little lost work; nil if that can't be.
func (co *Core) clear(ps *pass, un *unit, nds []*node) *clearing {
	cl := &clearing{victims: map[*unit]bool{}, freed: map[*node]batch.Resources{}, taken: map[*node]int{}}
	options := make([]option, len(nds))
	for i, nd := range nds {
		options[i] = co.clearOne(ps, un, nd, cl)
	}
	for len(cl.nodes) < un.tasks {
		best := cl.cheapest(nds, options)
		if best < 0 {
			return nil
		}
		for _, nd := range cl.choose(un, nds[best], options[best]) {
			if i, ok := slices.BinarySearchFunc(nds, nd.worker.ID, compareID); ok {
				options[i] = co.clearOne(ps, un, nd, cl)
			}
		}
	}
	return cl
}

// cheapest returns the index of the first option that loses the least work, and
// of these of one on a worker that is taken already; -1 if none is possible.
func (cl *clearing) cheapest(nds []*node, options []option) int {
	best := -1
	for i, op := range options {
		if !op.possible {
			continue
		}
		if best < 0 || op.lost < options[best].lost ||
			(op.lost == options[best].lost && cl.taken[nds[best]] == 0 && cl.taken[nds[i]] > 0) {
			best = i
		}
	}
	return best
}

// choose adds a task's place to a clearing and returns the workers on which that
// changes what has to be stopped.
func (cl *clearing) choose(un *unit, nd *node, op option) []*node {
	changed := []*node{nd}
	for _, vi := range op.victims {
		cl.victims[vi.un] = true
		for _, ru := range vi.un.runs {
			cl.freed[ru.node] = cl.freed[ru.node].Plus(vi.un.step.Occupied())
			changed = append(changed, ru.node)
		}
	}
	cl.lost += op.lost
	cl.taken[nd]++
	cl.freed[nd] = cl.freed[nd].Minus(un.step.Occupied())
	cl.nodes = append(cl.nodes, nd)
	return changed
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
func (co *Core) clearOne(ps *pass, un *unit, nd *node, cl *clearing) option {
	if !un.suits(nd) || co.declines(ps, un, nd) {
		return option{}
	}
	if un.step.PerWorker > 0 && nd.tasksOf(un)+cl.taken[nd] >= un.step.PerWorker {
		return option{}
	}
	needs := un.step.Occupied()
	room := nd.free().Plus(nd.leaving()).Plus(cl.freed[nd])
	if room.Holds(needs) {
		return option{possible: true}
	}
	var op option
	for _, vi := range co.victimsOn(ps, nd) {
		if cl.victims[vi.un] || !co.yields(vi.un, un) {
			continue
		}
		op.victims = append(op.victims, vi)
		op.lost += vi.lost
		for _, ru := range vi.un.runs {
			if ru.node == nd {
				room = room.Plus(vi.un.step.Occupied())
			}
		}
		if room.Holds(needs) {
			op.possible = true
			return op
		}
	}
	return option{}
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
	claimed := co.claimed
	co.claimed = nil
	for _, un := range claimed {
		switch {
		case un.claim == nil: // given up since
		case slices.ContainsFunc(un.claim, func(nd *node) bool { return !nd.takesWork(now) }):
			co.release(un)
		case un.phase != waiting:
			co.holdMove(now, un)
		case slices.ContainsFunc(un.claim, func(nd *node) bool { return !nd.free().Holds(batch.Resources{}) }):
			co.claimed = append(co.claimed, un)
		default:
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
