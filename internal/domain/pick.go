package domain

import (
	"cmp"
	"container/heap"
	"slices"
	"strings"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/batch"
)

// packTasks returns workers for up to a number of tasks like the unit's: first
// those near its data, and others only if any rack is allowed. Of both it fills
// the workers with the least free capacity first.
func (un *unit) packTasks(sls []slot, number int, anyRack bool) []*node {
	slices.SortFunc(sls, preferWarm(compareFree))
	if un.step.DataRack == "" {
		return takeFrom(sls, number)
	}
	isNear := func(sl slot) bool { return sl.node.worker.Rack == un.step.DataRack }
	near := slices.DeleteFunc(slices.Clone(sls), func(sl slot) bool { return !isNear(sl) })
	nodes := takeFrom(near, number)
	if anyRack {
		nodes = append(nodes, takeFrom(slices.DeleteFunc(sls, isNear), number-len(nodes))...)
	}
	return nodes
}

// chooseNodes returns a worker for each task of a unit, or nil if not all fit.
// It tries the highest level of trust first.
func (co *Core) chooseNodes(ps *pass, un *unit, key fitKey) []*node {
	levels := co.trustLevels(ps, un, key.service)
	if un.step.DataRack == "" && len(levels) == 1 && levels[0] == trustAny {
		sls, more := co.candidates(ps, un, key, un.tasks, false)
		sls = co.dropFailed(ps.now, un, sls)
		if nodes := un.pick(sls, key.anyRack); nodes != nil || !more {
			return nodes
		}
	}
	sls, _ := co.candidates(ps, un, key, un.tasks, true)
	if sls = co.dropFailed(ps.now, un, sls); len(sls) == 0 {
		return nil
	}
	for _, tr := range levels {
		if tr == trustAny {
			return un.pick(sls, key.anyRack)
		}
		trusted := slices.DeleteFunc(slices.Clone(sls), func(sl slot) bool { return !co.meetsTrust(ps.now, un, sl.node, tr) })
		if nodes := un.pick(trusted, key.anyRack || co.lastAttempt(un)); nodes != nil {
			return nodes
		}
	}
	return nil
}

// dropFailed drops the workers on which an attempt of a unit has failed, as long as a copy of
// its start may arrive there: the next incarnation would run it beside the next attempt.
func (co *Core) dropFailed(now time.Time, un *unit, sls []slot) []slot {
	for i := range un.tasks {
		for _, worker := range co.calls.FailedOn(now, un.taskID(i)) {
			sls = slices.DeleteFunc(sls, func(sl slot) bool { return sl.node.worker.ID == worker })
		}
	}
	return sls
}

// guaranteed reports whether the key belongs to a unit within a guarantee.
func (fk fitKey) guaranteed() bool { return fk.class == classGuaranteed }

// slots returns the workers where tasks of a unit fit, each with the number
// that fits, up to a limit.
func (un *unit) slots(nds []*node, limit int) []slot {
	var sls []slot
	for _, nd := range nds {
		if !un.suits(nd) {
			continue
		}
		if n := un.fitCount(nd, nd.free(), limit); n > 0 {
			sls = append(sls, slot{nd, n})
		}
	}
	return sls
}

// suits reports whether a worker may run a unit, regardless of its free
// capacity. A unit is placed on workers that suit it, that meet the required
// level of trust (meetsTrust), and where enough of its tasks fit (fitCount).
func (un *unit) suits(nd *node) bool {
	return un.mayUse(nd) && (un.job.advice == nil || un.ticket(nd) != "")
}

// mayUse reports whether a worker may run a unit, if it needs no ticket or gets one
// there.
func (un *unit) mayUse(nd *node) bool {
	if un.step.Label != "" && !slices.Contains(nd.worker.Labels, un.step.Label) {
		return false
	}
	return !un.isRefusedBy(nd) && !un.bestEffortBlocked(nd)
}

// fitCount returns how many tasks of a unit fit into the given resources of a
// worker, up to a limit and to the number that its step may have there.
func (un *unit) fitCount(nd *node, free batch.Resources, limit int) int {
	n := 0
	needs := un.step.Reserved()
	if un.step.PerWorker > 0 && free.Covers(needs) {
		limit = min(limit, un.step.PerWorker-nd.taskCount(un))
	}
	for n < limit && free.Covers(needs) {
		free = free.Minus(needs)
		n++
	}
	return n
}

// taskCount counts the tasks of a unit's step that run or have a claim on a
// worker.
func (nd *node) taskCount(un *unit) int {
	n := 0
	for _, ru := range nd.runs {
		if ru.unit != nil && ru.unit.job == un.job && ru.unit.stepIndex == un.stepIndex && ru.unit.occurrence == un.occurrence {
			n++
		}
	}
	return n + nd.claimCount(un)
}

// claimCount counts the tasks of a unit's step that have a claim on a worker.
func (nd *node) claimCount(un *unit) int {
	n := 0
	for _, other := range un.job.units {
		if other.stepIndex != un.stepIndex || other.occurrence != un.occurrence {
			continue
		}
		for _, claimed := range other.claim {
			if claimed == nd {
				n++
			}
		}
	}
	return n
}

// pick returns a worker for each task of a unit: workers near its data, or of
// one rack for a gang that needs it. Others are taken only if any rack is
// allowed. It returns nil if not all tasks fit.
func (un *unit) pick(sls []slot, anyRack bool) []*node {
	if rack := un.step.DataRack; rack != "" {
		near := slices.DeleteFunc(slices.Clone(sls), func(sl slot) bool { return sl.node.worker.Rack != rack })
		if nodes := un.assign(near); nodes != nil {
			return nodes
		}
		if !anyRack {
			return nil
		}
	}
	if un.step.Gang && un.step.OneRack {
		if nodes := un.assignWarmRack(sls); nodes != nil || !anyRack {
			return nodes
		}
	}
	return un.assign(sls)
}

// assignRack returns workers of the rack with the least free capacity that
// suffices for a unit, or nil if there is none.
func (un *unit) assignRack(sls []slot) []*node {
	free := map[string]int{}
	for _, sl := range sls {
		free[sl.node.worker.Rack] += sl.tasks
	}
	best := ""
	found := false
	for rack, n := range free {
		if n < un.tasks {
			continue
		}
		if !found || n < free[best] || (n == free[best] && rack < best) {
			best, found = rack, true
		}
	}
	if !found {
		return nil
	}
	return un.assign(slices.DeleteFunc(slices.Clone(sls), func(sl slot) bool { return sl.node.worker.Rack != best }))
}

// assign returns a worker for each task of a unit, or nil if not all fit. A
// gang fails with any of its workers, so it is assigned to as few as possible. A
// unit that may crash its workers is assigned to those where it can harm the
// least.
func (un *unit) assign(sls []slot) []*node {
	if countTasks(sls) < un.tasks {
		return nil
	}
	if !un.isSuspected() {
		return takeFirst(sls, un.tasks, preferWarm(compareFew))
	}
	slices.SortFunc(sls, preferWarm(compareFew))
	slices.SortStableFunc(sls, func(a, b slot) int { return cmp.Compare(len(a.node.runs), len(b.node.runs)) })
	return takeFrom(sls, un.tasks)
}

// countTasks returns the number of tasks that fit in all slots.
func countTasks(sls []slot) int {
	n := 0
	for _, sl := range sls {
		n += sl.tasks
	}
	return n
}

// compareFew orders slots with many tasks first, and those of equal size by compareFree.
func compareFew(a, b slot) int { return cmp.Or(cmp.Compare(b.tasks, a.tasks), compareFree(a, b)) }

// compareFree orders suspected workers last, and otherwise those with the least
// free capacity first (best fit), so that whole workers stay free for large
// tasks.
func compareFree(a, b slot) int {
	ra, rb := a.node.free(), b.node.free()
	return cmp.Or(
		compareBool(a.node.health.suspected, b.node.health.suspected),
		cmp.Compare(ra.Accelerators, rb.Accelerators), cmp.Compare(ra.MilliCPU, rb.MilliCPU),
		strings.Compare(a.node.worker.ID, b.node.worker.ID),
	)
}

// slotHeap is a heap of slots, the first one in the order of compare on top.
type slotHeap struct {
	slots   []slot
	compare func(a, b slot) int
}

func (sh *slotHeap) Len() int           { return len(sh.slots) }
func (sh *slotHeap) Less(i, j int) bool { return sh.compare(sh.slots[i], sh.slots[j]) < 0 }
func (sh *slotHeap) Swap(i, j int)      { sh.slots[i], sh.slots[j] = sh.slots[j], sh.slots[i] }

// Push implements heap.Interface.
func (sh *slotHeap) Push(x any) { sh.slots = append(sh.slots, x.(slot)) }

// Pop implements heap.Interface.
func (sh *slotHeap) Pop() any {
	last := sh.slots[len(sh.slots)-1]
	sh.slots = sh.slots[:len(sh.slots)-1]
	return last
}

// takeFirst returns a worker for each of a number of tasks, which fit: the first ones in
// the order of compare. It changes the order of the slots. Few of many are needed, so they
// are not sorted.
func takeFirst(sls []slot, number int, compare func(a, b slot) int) []*node {
	sh := &slotHeap{sls, compare}
	heap.Init(sh)
	nodes := make([]*node, 0, number)
	for len(nodes) < number {
		sl := heap.Pop(sh).(slot)
		for range min(sl.tasks, number-len(nodes)) {
			nodes = append(nodes, sl.node)
		}
	}
	return nodes
}

// takeFrom returns a worker for each task that fits, in the order of slots and
// up to a number.
func takeFrom(sls []slot, number int) []*node {
	var nodes []*node
	for _, sl := range sls {
		for range min(sl.tasks, number-len(nodes)) {
			nodes = append(nodes, sl.node)
		}
	}
	return nodes
}
