package domain

import (
	"cmp"
	"slices"

	"github.com/cicadawharf/cicadawharf/internal/batch"
)

// tenantQueue is the ranks of one tenant, or those of one of its queues, in order.
type tenantQueue struct {
	tenant tenant
	level  float64
	groups []int
}

const (
	// maxGrantShare bounds the part of a service that a workspace is granted at a
	// time, so that a wide step does not take all room of a round.
	maxGrantShare = 1.0 / 16
	// maxFinishShare bounds the part of a service that the rest of a step may need to
	// come before work that has not begun.
	maxFinishShare = 1.0 / 16
)

// finishesStep tells whether the rank is a small rest of a step that has begun, which
// comes before work that has not, so that what was done is not lost.
func (ug unitGroup) finishesStep(capacity map[string]batch.Resources) bool {
	un := ug.units[0]
	return un.job.begun && len(ug.units) < un.job.unitsOf(un.stepIndex) && float64(len(ug.units))*ug.unitShare(capacity) <= maxFinishShare
}

// contended tells whether ranks are of at least two workspaces, and these have
// fair shares.
func (co *Core) contended(ugs []unitGroup) bool {
	if !co.fairShares {
		return false
	}
	for _, ug := range ugs {
		if ug.units[0].job.Workspace != ugs[0].units[0].job.Workspace {
			return true
		}
	}
	return false
}

// placeGroups places ranks in their order, and those of one turn, class and
// priority by how far their workspaces are below their fair shares.
func (co *Core) placeGroups(ps *pass, ugs []unitGroup) {
	for len(ugs) > 0 {
		n := 1
		for n < len(ugs) && compareGroups(ugs[0], ugs[n]) == 0 {
			n++
		}
		if ugs[0].class != classAssured && co.contended(ugs[:n]) {
			co.placeFairly(ps, ugs[:n])
		} else {
			for _, ug := range ugs[:n] {
				co.placeGroup(ps, ug)
			}
		}
		ugs = ugs[n:]
	}
}

// placeFairly places ranks of different workspaces. The one that is furthest
// below its fair share is granted something, and what was placed counts for the
// next choice.
func (co *Core) placeFairly(ps *pass, ugs []unitGroup) {
	ugs = slices.Clone(ugs) // what is granted is taken from them
	var begun, others []int
	for i, ug := range ugs {
		if ug.finishesStep(ps.capacity) {
			begun = append(begun, i)
		} else {
			others = append(others, i)
		}
	}
	for _, order := range [][]int{begun, others} {
		co.fillProgressively(co.tenantQueues(ugs, order), func(tq *tenantQueue) float64 { return co.grant(ps, ugs, tq) })
	}
}

// grant places the first rank of a lane, or a part of it, and returns the part
// of the service that is taken or kept by that.
func (co *Core) grant(ps *pass, ugs []unitGroup, tq *tenantQueue) float64 {
	ug := ugs[tq.groups[0]]
	each := ug.unitShare(ps.capacity)
	n := len(ug.units)
	if each > 0 {
		n = min(n, max(1, int(maxGrantShare/each)))
	}
	granted, rest := ug, ug
	granted.units, rest.units = ug.units[:n], ug.units[n:]
	reservations := ps.reservations
	co.placeGroup(ps, granted)
	placed, claimed := 0, 0
	for _, un := range granted.units {
		switch {
		case un.claim != nil:
			claimed++
		case un.phase != waiting:
			placed++
		}
	}
	if placed+claimed == n && len(rest.units) > 0 {
		ugs[tq.groups[0]] = rest
	} else {
		tq.groups = tq.groups[1:]
		if len(rest.units) > 0 {
			co.placeGroup(ps, rest)
		}
	}
	planned := float64(claimed+ps.reservations-reservations) * each
	co.fair.plan(tq.tenant, planned)
	return float64(placed)*each + planned
}

// takeSharesFairly has the queues' shares taken by the ranks in an order, and if
// several workspaces have work in a queue, first by the one that is furthest
// below its fair share. Jobs that can earn nothing any more come last.
func (co *Core) takeSharesFairly(sh shares, ugs []unitGroup, order []int, take func(i int) float64) {
	type shareKey struct {
		queue string
		late  bool
	}
	byKey := map[shareKey][]int{}
	for _, i := range order {
		if ugs[i].class != classAssured {
			key := shareKey{ugs[i].queue(), ugs[i].class == classLate}
			byKey[key] = append(byKey[key], i)
		}
	}
	for queue := range sh.remaining {
		for _, late := range []bool{false, true} {
			co.fillProgressively(co.tenantQueues(ugs, byKey[shareKey{queue, late}]), func(tq *tenantQueue) float64 {
				i := tq.groups[0]
				tq.groups = tq.groups[1:]
				return take(i)
			})
		}
	}
}

// fillProgressively lets the lane that is furthest below its fair share take something,
// again and again, until nothing is left in any (progressive filling).
func (co *Core) fillProgressively(tqs []*tenantQueue, take func(tq *tenantQueue) float64) {
	for len(tqs) > 0 {
		tq := tqs[0]
		tqs = tqs[1:]
		tq.level += co.fair.normalize(tq.tenant, take(tq))
		if len(tq.groups) > 0 {
			tqs = insertQueue(tqs, tq)
		}
	}
}

// tenantQueues returns the ranks in an order as one lane for each tenant, those furthest
// below their fair shares first. Without fair shares there is one lane for each
// service.
func (co *Core) tenantQueues(ugs []unitGroup, order []int) []*tenantQueue {
	var tqs []*tenantQueue
	byTenant := map[tenant]*tenantQueue{}
	for _, i := range order {
		te := ugs[i].tenant()
		if !co.fairShares {
			te.workspace = ""
		}
		tq, ok := byTenant[te]
		if !ok {
			tq = &tenantQueue{tenant: te, level: co.fair.level(te)}
			byTenant[te] = tq
			tqs = append(tqs, tq)
		}
		tq.groups = append(tq.groups, i)
	}
	slices.SortStableFunc(tqs, compareLevels)
	return tqs
}

func compareLevels(a, b *tenantQueue) int { return cmp.Compare(a.level, b.level) }

// insertQueue puts a lane behind those of its level.
func insertQueue(tqs []*tenantQueue, tq *tenantQueue) []*tenantQueue {
	at, _ := slices.BinarySearchFunc(tqs, tq, func(a, b *tenantQueue) int {
		if a.level <= b.level {
			return -1
		}
		return 1
	})
	return slices.Insert(tqs, at, tq)
}
