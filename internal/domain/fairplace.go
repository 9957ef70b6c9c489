package domain

import (
	"cmp"
	"slices"

	"github.com/cicadawharf/cicadawharf/internal/batch"
)

// tenantQueue holds groups of one tenant in the order in which they are
// considered.
type tenantQueue struct {
	tenant tenant
	usage  float64 // relative to the fair share; see fairness.relativeUsage
	groups []int   // indices of the groups
}

const (
	// maxGrantShare bounds the share of a service that is granted to a
	// workspace at a time, so that a step of many tasks does not take all of a
	// pass's free capacity.
	maxGrantShare = 1.0 / 16
	// maxFinishShare is the share of a service up to which the remaining units
	// of a begun step are placed before work that has not begun.
	maxFinishShare = 1.0 / 16
)

// finishesStep reports whether the group is the small remainder of a step that
// has begun. It is placed before work that has not begun, since the completed
// part is worth nothing if the job ends too late.
func (ug unitGroup) finishesStep(capacity map[string]batch.Resources) bool {
	un := ug.units[0]
	return un.job.begun && len(ug.units) < un.job.unitCount(un.stepIndex) && float64(len(ug.units))*ug.unitShare(capacity) <= maxFinishShare
}

// contended reports whether fair shares apply and groups belong to at least two
// workspaces.
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

// placeGroups places groups in order. Groups of the same tier, class and
// priority are ordered by how far their workspaces are below their fair shares.
func (co *Core) placeGroups(ps *pass, ugs []unitGroup) {
	for len(ugs) > 0 {
		n := 1
		for n < len(ugs) && compareGroups(ugs[0], ugs[n]) == 0 {
			n++
		}
		if ugs[0].class != classGuaranteed && co.contended(ugs[:n]) {
			co.placeFairly(ps, ugs[:n])
		} else {
			for _, ug := range ugs[:n] {
				co.placeGroup(ps, ug)
			}
		}
		ugs = ugs[n:]
	}
}

// placeFairly places groups of different workspaces. The workspace furthest
// below its fair share gets the next grant, and every grant counts for the
// choices after it.
func (co *Core) placeFairly(ps *pass, ugs []unitGroup) {
	ugs = slices.Clone(ugs) // since grants shorten them
	var begun, others []int
	for i, ug := range ugs {
		if ug.finishesStep(ps.capacity) {
			begun = append(begun, i)
		} else {
			others = append(others, i)
		}
	}
	for _, order := range [][]int{begun, others} {
		co.fillProgressively(co.tenantQueues(ugs, order), func(tq *tenantQueue) float64 { return co.placeGrant(ps, ugs, tq) })
	}
}

// placeGrant places the first group of a tenant's queue, or a part of it, and
// returns the share of the service that is used, claimed or reserved by that.
func (co *Core) placeGrant(ps *pass, ugs []unitGroup, tq *tenantQueue) float64 {
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
	co.fair.addPlanned(tq.tenant, planned)
	return float64(placed)*each + planned
}

// assignShares assigns the queues' shares to groups by calling take for each
// group that is not within a guarantee. With fair shares, the workspace furthest
// below its own comes first in each queue. Within a workspace, and without fair
// shares, the given order applies. Jobs without any value left come last.
func (co *Core) assignShares(qs queueShares, ugs []unitGroup, order []int, take func(i int) float64) {
	type shareKey struct {
		queue string
		late  bool
	}
	byKey := map[shareKey][]int{}
	for _, i := range order {
		if ugs[i].class != classGuaranteed {
			key := shareKey{ugs[i].queue(), ugs[i].class == classLate}
			byKey[key] = append(byKey[key], i)
		}
	}
	for queue := range qs.remaining {
		for _, late := range []bool{false, true} {
			co.fillProgressively(co.tenantQueues(ugs, byKey[shareKey{queue, late}]), func(tq *tenantQueue) float64 {
				i := tq.groups[0]
				tq.groups = tq.groups[1:]
				return take(i)
			})
		}
	}
}

// fillProgressively calls take for the tenant furthest below its fair share,
// and adds the result to its usage, until all queues are empty (progressive
// filling).
func (co *Core) fillProgressively(tqs []*tenantQueue, take func(tq *tenantQueue) float64) {
	for len(tqs) > 0 {
		tq := tqs[0]
		tqs = tqs[1:]
		tq.usage += co.fair.relativeShare(tq.tenant, take(tq))
		if len(tq.groups) > 0 {
			tqs = insertQueue(tqs, tq)
		}
	}
}

// tenantQueues returns the groups in the given order as one queue per tenant,
// sorted by how far tenants are below their fair shares. Without fair shares
// there is one queue per service.
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
			tq = &tenantQueue{tenant: te, usage: co.fair.relativeUsage(te)}
			byTenant[te] = tq
			tqs = append(tqs, tq)
		}
		tq.groups = append(tq.groups, i)
	}
	slices.SortStableFunc(tqs, compareUsage)
	return tqs
}

func compareUsage(a, b *tenantQueue) int { return cmp.Compare(a.usage, b.usage) }

// insertQueue inserts a queue after those of the same relative usage.
func insertQueue(tqs []*tenantQueue, tq *tenantQueue) []*tenantQueue {
	index, _ := slices.BinarySearchFunc(tqs, tq, func(a, b *tenantQueue) int {
		if a.usage <= b.usage {
			return -1
		}
		return 1
	})
	return slices.Insert(tqs, index, tq)
}
