package domain

import (
	"cmp"
	"slices"
	"time"
)

// rank says in which order units that wait are placed. Work within a guarantee
// comes first, since it must begin at once, and then what its queue's share of
// the workers is for, so that no queue waits for ever. The rest goes by what can
// still be earned, and then by priority.
type rank struct {
	un       *unit
	service  string // whose workers may run it
	priority int    // of its queue
	class    int
	shared   bool // within its queue's share
}

const (
	classAssured = iota
	classTimely
	classOverdue // its objective is lost, and something can still be earned
	classLate
)

// mayPreempt tells whether other work is stopped for a unit: for work within a
// guarantee, and for the most urgent work while it can meet its objective.
func (ra rank) mayPreempt() bool {
	return ra.class == classAssured || (ra.class == classTimely && ra.priority == 0)
}

// mayKeep tells whether workers are kept for a unit: not for one that would miss
// its objective, unless it is its turn by its queue's share.
func (ra rank) mayKeep() bool { return ra.shared || ra.class <= classTimely }

// waitingUnits lists the units that could be started, in their order.
func (co *Core) waitingUnits(now time.Time) []rank {
	var ras []rank
	held := map[string]int{}
	for _, jb := range co.order {
		if jb.state.Final() || jb.left == 0 {
			continue
		}
		qu := co.queueOf(jb)
		for _, un := range jb.units {
			if un.claim == nil && un.ready(now) {
				ras = append(ras, rank{un: un, service: qu.Service, priority: qu.Priority})
			}
		}
	}
	for i := range ras {
		ras[i].class = co.classify(now, ras[i], held)
	}
	co.share(now, ras)
	slices.SortStableFunc(ras, func(a, b rank) int {
		return cmp.Or(
			cmp.Compare(a.turn(), b.turn()), cmp.Compare(a.class, b.class), cmp.Compare(a.priority, b.priority),
		)
	})
	return ras
}

// turn parts the units within a guarantee from those within their queue's share,
// and these from the rest.
func (ra rank) turn() int {
	switch {
	case ra.class == classAssured:
		return 0
	case ra.shared:
		return 1
	default:
		return 2
	}
}

// classify gives a unit its class, and counts what it takes of its
// workspace's guarantee.
func (co *Core) classify(now time.Time, ra rank, held map[string]int) int {
	un := ra.un
	un.assured = false
	if ra.priority == 0 && co.assure(un, held) {
		return classAssured
	}
	switch {
	case un.step.Lasting:
		return classTimely
	case un.hopeless(now):
		return classLate
	case !un.job.begun && now.Add(un.step.RunTime).After(un.goal()):
		return classOverdue
	default:
		return classTimely
	}
}

// assure counts a unit against the guarantee of its workspace if that has room
// for it, and tells whether it does. What the workspaces hold is added up once.
func (co *Core) assure(un *unit, held map[string]int) bool {
	if co.policy == nil {
		return false
	}
	ws := un.job.Workspace
	if _, ok := held[ws]; !ok {
		held[ws] = co.held(ws)
	}
	need := un.tasks * un.step.Needs.Accelerators
	if held[ws]+need > co.policy.Guaranteed(ws) {
		return false
	}
	held[ws] += need
	un.assured = true
	return true
}

// assureAdopted does so for the most urgent units that a former core has
// started, so that they keep their room and fill their guarantee.
func (co *Core) assureAdopted() {
	held := map[string]int{}
	for _, jb := range co.order {
		if jb.state.Final() || co.queueOf(jb).Priority != 0 {
			continue
		}
		for _, un := range jb.units {
			if len(un.runs) > 0 {
				co.assure(un, held)
			}
		}
	}
}

// hopeless tells whether a unit started now would end after its job has stopped
// earning anything.
func (un *unit) hopeless(now time.Time) bool {
	objective := un.goal().Sub(un.submitted())
	return now.Add(un.step.RunTime).After(un.submitted().Add(lateFactor * objective))
}
