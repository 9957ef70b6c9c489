package domain

import (
	"cmp"
	"slices"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/batch"
)

// unitGroup holds waiting units of one step that are equal for placement, with
// their place in the order of placement. Work within a guarantee comes first,
// since it has to begin at once. An aged gang or large task is next, and then
// work within its queue's share of the workers, so that no queue starves. The
// rest, and work of the same kind, is ordered by its remaining value, and then
// by priority.
type unitGroup struct {
	units       []*unit
	service     string // whose workers may run the units
	priority    int    // of their queue; zero is the most urgent
	class       int    // one of the constants below
	withinShare bool   // within their queue's share
	aged        bool   // its gang or large task takes precedence; see agedGroup
}

// The classes of units, by what their jobs would be worth if the units started
// now.
const (
	classGuaranteed = iota // within the guarantee of the workspace
	classTimely            // meets the objective, is long-running, or its job has begun and is not late
	classOverdue           // misses the objective, but still has some value
	classLate              // ends after the job has lost all value
)

// mayPreempt reports whether other work may be stopped for the group: for work
// within a guarantee, and for the most urgent work while it can meet its
// objective.
func (ug unitGroup) mayPreempt() bool {
	return ug.class == classGuaranteed || (ug.class == classTimely && ug.priority == 0)
}

// mayReserve reports whether workers may be reserved for the group: only if it
// can meet its objective, or is within its queue's share.
func (ug unitGroup) mayReserve() bool { return ug.withinShare || ug.class <= classTimely }

// waitingGroups returns the units that could be started, in groups and in the
// order of placement. It also computes the capacities and fair shares that the
// pass uses.
func (co *Core) waitingGroups(ps *pass) []unitGroup {
	var ugs []unitGroup
	now := ps.now
	co.openDue(now)
	used := co.guaranteeUsage()
	for _, jb := range co.arrivals {
		if jb.state.Final() || jb.waitingUnits == 0 {
			continue
		}
		co.examine(1 + len(jb.units))
		qu := co.queueOf(jb)
		for _, units := range jb.readySteps(now) {
			ugs = append(ugs, co.classify(now, qu, units, used)...)
		}
	}
	ps.capacity = co.capacities(now)
	co.fair.beginPass(now, co.policy, ps.capacity, ugs)
	ugs = co.markWithinShare(ps, ugs)
	slices.SortStableFunc(ugs, compareGroups)
	return ugs
}

func compareGroups(a, b unitGroup) int {
	return cmp.Or(
		cmp.Compare(a.tier(), b.tier()), cmp.Compare(a.class, b.class), cmp.Compare(a.priority, b.priority),
	)
}

// readySteps returns the units of a job that wait only for capacity, by step.
func (jb *job) readySteps(now time.Time) [][]*unit {
	var steps [][]*unit
	rest := jb.units
	startable := jb.startableTasks()
	for len(rest) > 0 {
		first := rest[0]
		n := jb.unitCount(first.stepIndex)
		if first.stepReady(now) {
			if units := takeStartable(readyUnits(now, rest[:n]), &startable); len(units) > 0 {
				steps = append(steps, units)
			}
		}
		rest = rest[n:]
	}
	return steps
}

// startableTasks returns how many tasks of a job may be started for the first time
// beside those that have not succeeded yet. At least one unit may always be.
func (jb *job) startableTasks() int {
	tasks := 0
	for i := range jb.Steps {
		tasks += jb.Steps[i].Tasks
	}
	startable := maxUnfinishedTasks
	if tasks*(jb.nextOpen-jb.firstOpen) <= startable {
		return startable
	}
	for _, un := range jb.units {
		if un.attempt > 0 && un.isOpen() {
			startable -= un.tasks
		}
	}
	return startable
}

// takeStartable returns the units that were started before and, in their order,
// as many of the others as startable permits, and subtracts their tasks from it.
func takeStartable(units []*unit, startable *int) []*unit {
	return slices.DeleteFunc(units, func(un *unit) bool {
		if un.attempt > 0 {
			return false
		}
		if *startable < min(un.tasks, maxUnfinishedTasks) {
			return true
		}
		*startable -= un.tasks
		return false
	})
}

func readyUnits(now time.Time, units []*unit) []*unit {
	var ready []*unit
	for _, un := range units {
		if un.phase == waiting && un.claim == nil && un.abandonedRuns == 0 && !un.bound && !now.Before(un.notBefore) {
			ready = append(ready, un)
		}
	}
	return ready
}

// tier returns the first criterion of the order, lowest first: units within a
// guarantee, an aged gang or large task, units within their queue's share, and
// all others.
func (ug unitGroup) tier() int {
	switch {
	case ug.class == classGuaranteed:
		return 0
	case ug.aged:
		return 1
	case ug.withinShare:
		return 2
	default:
		return 3
	}
}

// classify groups the units of a step by class. It marks those within a guarantee
// as guaranteed, and adds their accelerators to used, by workspace.
func (co *Core) classify(now time.Time, qu *batch.Queue, units []*unit, used map[string]int) []unitGroup {
	var covered, others []*unit
	for _, un := range units {
		un.guaranteed = false
		if qu.Priority == 0 && co.chargeGuarantee(un, used) {
			covered = append(covered, un)
		} else {
			others = append(others, un)
		}
	}
	var ugs []unitGroup
	if len(covered) > 0 {
		ugs = append(ugs, unitGroup{units: covered, service: qu.Service, priority: qu.Priority, class: classGuaranteed})
	}
	if len(others) > 0 {
		ugs = append(ugs, unitGroup{units: others, service: qu.Service, priority: qu.Priority, class: others[0].class(now)})
	}
	return ugs
}

// class returns the class of a unit that is not within a guarantee.
func (un *unit) class(now time.Time) int {
	switch {
	case un.step.LongRunning:
		return classTimely
	case un.isLate(now):
		return classLate
	case !un.job.begun && now.Add(un.step.RunTime).After(un.deadline()):
		return classOverdue
	default:
		return classTimely
	}
}

// guaranteeUsage returns the accelerators used by the guaranteed units of each
// workspace.
func (co *Core) guaranteeUsage() map[string]int {
	sums := map[string]int{}
	for _, jb := range co.arrivals {
		if !jb.everGuaranteed || jb.state == batch.Done {
			continue
		}
		for _, un := range jb.units {
			if un.guaranteed && (len(un.runs) > 0 || un.claim != nil) {
				sums[jb.Workspace] += un.tasks * un.step.Needs.Accelerators
			}
		}
	}
	return sums
}

// chargeGuarantee counts a unit against the guarantee of its workspace, and
// reports whether the guarantee covers it beside what is used already.
func (co *Core) chargeGuarantee(un *unit, used map[string]int) bool {
	if co.policy == nil {
		return false
	}
	ws := un.job.Workspace
	need := un.tasks * un.step.Needs.Accelerators
	if used[ws]+need > co.policy.Guaranteed(ws) {
		return false
	}
	used[ws] += need
	un.guaranteed = true
	un.job.everGuaranteed = true
	return true
}

// restoreGuaranteeUsage counts the most urgent units started in an earlier term
// against their guarantees, so that they can't be preempted.
func (co *Core) restoreGuaranteeUsage() {
	used := map[string]int{}
	for _, jb := range co.arrivals {
		if jb.state.Final() || co.queueOf(jb).Priority != 0 {
			continue
		}
		for _, un := range jb.units {
			if len(un.runs) > 0 {
				co.chargeGuarantee(un, used)
			}
		}
	}
}

// isLate reports whether a unit started now would end after its job has
// lost all value.
func (un *unit) isLate(now time.Time) bool {
	objective := un.deadline().Sub(un.objectiveStart())
	return now.Add(un.step.RunTime).After(un.objectiveStart().Add(noValueFactor * objective))
}
