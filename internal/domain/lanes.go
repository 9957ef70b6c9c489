package domain

import (
	"cmp"
	"slices"

	"github.com/cicadawharf/cicadawharf/internal/batch"
)

// lane is the ranks of one tenant, or those of one of its queues, in order.
type lane struct {
	tenant tenant
	level  float64
	ranks  []int
}

const (
	// grantPart bounds the part of a service that a workspace is granted at a
	// time, so that a wide step does not take all room of a round.
	grantPart = 1.0 / 16
	// finishPart bounds the part of a service that the rest of a step may need to
	// come before work that has not begun.
	finishPart = 1.0 / 16
)

// finishes tells whether the rank is a small rest of a step that has begun, which
// comes before work that has not, so that what was done is not lost.
func (ra rank) finishes(capacity map[string]batch.Resources) bool {
	un := ra.units[0]
	return un.job.begun && len(ra.units) < un.job.unitsOf(un.at) && float64(len(ra.units))*ra.part(capacity) <= finishPart
}

// contended tells whether ranks are of at least two workspaces, and these have
// fair shares.
func (co *Core) contended(ras []rank) bool {
	if !co.fairShares {
		return false
	}
	for _, ra := range ras {
		if ra.units[0].job.Workspace != ras[0].units[0].job.Workspace {
			return true
		}
	}
	return false
}

// placeRanks places ranks in their order, and those of one turn, class and
// priority by how far their workspaces are below their fair shares.
func (co *Core) placeRanks(ps *pass, ras []rank) {
	for len(ras) > 0 {
		n := 1
		for n < len(ras) && compareRanks(ras[0], ras[n]) == 0 {
			n++
		}
		if ras[0].class != classAssured && co.contended(ras[:n]) {
			co.placeFairly(ps, ras[:n])
		} else {
			for _, ra := range ras[:n] {
				co.placeRank(ps, ra)
			}
		}
		ras = ras[n:]
	}
}

// placeFairly places ranks of different workspaces. The one that is furthest
// below its fair share is granted something, and what was placed counts for the
// next choice.
func (co *Core) placeFairly(ps *pass, ras []rank) {
	ras = slices.Clone(ras) // what is granted is taken from them
	var begun, others []int
	for i, ra := range ras {
		if ra.finishes(ps.capacity) {
			begun = append(begun, i)
		} else {
			others = append(others, i)
		}
	}
	for _, order := range [][]int{begun, others} {
		co.fillLanes(co.lanesOf(ras, order), func(la *lane) float64 { return co.grant(ps, ras, la) })
	}
}

// grant places the first rank of a lane, or a part of it, and returns the part
// of the service that is taken or kept by that.
func (co *Core) grant(ps *pass, ras []rank, la *lane) float64 {
	ra := ras[la.ranks[0]]
	each := ra.part(ps.capacity)
	n := len(ra.units)
	if each > 0 {
		n = min(n, max(1, int(grantPart/each)))
	}
	granted, rest := ra, ra
	granted.units, rest.units = ra.units[:n], ra.units[n:]
	keeps := ps.keeps
	co.placeRank(ps, granted)
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
		ras[la.ranks[0]] = rest
	} else {
		la.ranks = la.ranks[1:]
		if len(rest.units) > 0 {
			co.placeRank(ps, rest)
		}
	}
	planned := float64(claimed+ps.keeps-keeps) * each
	co.fair.plan(la.tenant, planned)
	return float64(placed)*each + planned
}

// takeFairly has the queues' shares taken by the ranks in an order, and if
// several workspaces have work in a queue, first by the one that is furthest
// below its fair share. Jobs that can earn nothing any more come last.
func (co *Core) takeFairly(sh shares, ras []rank, order []int, take func(i int) float64) {
	type shareKey struct {
		queue string
		late  bool
	}
	byKey := map[shareKey][]int{}
	for _, i := range order {
		if ras[i].class != classAssured {
			key := shareKey{ras[i].queue(), ras[i].class == classLate}
			byKey[key] = append(byKey[key], i)
		}
	}
	for queue := range sh.left {
		for _, late := range []bool{false, true} {
			co.fillLanes(co.lanesOf(ras, byKey[shareKey{queue, late}]), func(la *lane) float64 {
				i := la.ranks[0]
				la.ranks = la.ranks[1:]
				return take(i)
			})
		}
	}
}

// fillLanes lets the lane that is furthest below its fair share take something,
// again and again, until nothing is left in any (progressive filling).
func (co *Core) fillLanes(lanes []*lane, take func(la *lane) float64) {
	for len(lanes) > 0 {
		la := lanes[0]
		lanes = lanes[1:]
		la.level += co.fair.rise(la.tenant, take(la))
		if len(la.ranks) > 0 {
			lanes = insertLane(lanes, la)
		}
	}
}

// lanesOf returns the ranks in an order as one lane for each tenant, those furthest
// below their fair shares first. Without fair shares there is one lane for each
// service.
func (co *Core) lanesOf(ras []rank, order []int) []*lane {
	var lanes []*lane
	byTenant := map[tenant]*lane{}
	for _, i := range order {
		te := ras[i].tenant()
		if !co.fairShares {
			te.workspace = ""
		}
		la, ok := byTenant[te]
		if !ok {
			la = &lane{tenant: te, level: co.fair.level(te)}
			byTenant[te] = la
			lanes = append(lanes, la)
		}
		la.ranks = append(la.ranks, i)
	}
	slices.SortStableFunc(lanes, compareLanes)
	return lanes
}

func compareLanes(a, b *lane) int { return cmp.Compare(a.level, b.level) }

// insertLane puts a lane behind those of its level.
func insertLane(lanes []*lane, la *lane) []*lane {
	at, _ := slices.BinarySearchFunc(lanes, la, func(a, b *lane) int {
		if a.level <= b.level {
			return -1
		}
		return 1
	})
	return slices.Insert(lanes, at, la)
}
