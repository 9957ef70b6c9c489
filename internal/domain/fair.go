package domain

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/batch"
)

type (
	// fairness knows how far each workspace is over its fair share of the workers
	// of each service. It is not written to the store.
	fairness struct {
		tenants  map[tenant]*account
		capacity map[string]batch.Resources // of what takes new work, by service
		shares   map[string]float64         // weights of the accounts with work, added up by service
		weights  map[string]float64         // by workspace
		least    float64                    // weight of a workspace without a guarantee
		at       time.Time                  // when the usage last decayed; zero before that
	}

	// tenant is a workspace at a service.
	tenant struct{ workspace, service string }

	// account is what a tenant uses.
	account struct {
		resources batch.Resources // of its runs
		used      float64         // dominant part of the service that these are
		recent    float64         // the same over the last seconds
		planned   float64         // for units that were placed, or for which workers are kept, in this round
		waits     bool
	}

	// lane is the ranks of one tenant, or those of one of its queues, in order.
	lane struct {
		tenant tenant
		level  float64
		ranks  []int
	}
)

const (
	// usageHalfLife is how long former use counts against a workspace.
	usageHalfLife = 10 * time.Second
	// grantPart bounds the part of a service that a workspace is granted at a
	// time, so that a wide step does not take all room of a round.
	grantPart = 1.0 / 16
	// finishPart bounds the part of a service that the rest of a step may need to
	// come before work that has not begun.
	finishPart = 1.0 / 16
	// usageFloor is the part of a service below which former use is forgotten.
	usageFloor = 1e-4
)

func newFairness() *fairness { return &fairness{tenants: map[tenant]*account{}} }

// use adds what a run takes of a service, or frees as a negative amount.
func (fa *fairness) use(te tenant, rs batch.Resources) {
	ac := fa.account(te)
	ac.resources = ac.resources.Plus(rs)
}

func (fa *fairness) account(te tenant) *account {
	ac, ok := fa.tenants[te]
	if !ok {
		ac = &account{}
		fa.tenants[te] = ac
	}
	return ac
}

// recount takes a policy that changes weights, and perhaps the services of
// queues.
func (co *Core) recount() {
	for _, ac := range co.fair.tenants {
		ac.resources = batch.Resources{}
	}
	for _, nd := range co.sorted {
		for _, ru := range nd.runs {
			if ru.unit != nil {
				co.fair.use(co.tenantOf(ru.unit.job), ru.unit.step.Occupied())
			}
		}
	}
	co.fair.weights = nil
}

func (co *Core) tenantOf(jb *job) tenant {
	return tenant{jb.Workspace, co.queueOf(jb).Service}
}

// weigh derives weights from guarantees. A workspace without one has the least
// weight of those that have one.
func (fa *fairness) weigh(po *batch.Policy) {
	fa.weights, fa.least = map[string]float64{}, 1
	if po == nil {
		return
	}
	least := math.Inf(1)
	for _, ws := range po.Workspaces {
		if ws.Guaranteed > 0 {
			fa.weights[ws.Name] = float64(ws.Guaranteed)
			least = min(least, float64(ws.Guaranteed))
		}
	}
	if len(fa.weights) > 0 {
		fa.least = least
	}
}

func (fa *fairness) weightOf(workspace string) float64 {
	if weight, ok := fa.weights[workspace]; ok {
		return weight
	}
	return fa.least
}

// begin prepares a round: usage decays towards what runs now, and the tenants
// that have neither used anything lately nor wait are forgotten.
func (fa *fairness) begin(now time.Time, po *batch.Policy, capacity map[string]batch.Resources, ras []rank) {
	if fa.weights == nil {
		fa.weigh(po)
	}
	for _, ac := range fa.tenants {
		ac.waits = false
	}
	for _, ra := range ras {
		fa.account(ra.tenant()).waits = true
	}
	kept := math.Exp2(-float64(now.Sub(fa.at)) / float64(usageHalfLife))
	fa.capacity, fa.shares = capacity, map[string]float64{}
	for te, ac := range fa.tenants {
		ac.planned = 0
		ac.used = dominant(ac.resources, capacity[te.service])
		if fa.at.IsZero() {
			ac.recent = ac.used
		}
		ac.recent = ac.used + kept*(ac.recent-ac.used)
		if !ac.waits && ac.resources == (batch.Resources{}) {
			if ac.recent < usageFloor {
				delete(fa.tenants, te)
			}
			continue
		}
		fa.shares[te.service] += fa.weightOf(te.workspace)
	}
	fa.at = now
}

// level is how much of a service a tenant uses for its fair share of it; above 1
// it is over that share. What it uses now and what it has used lately count
// alike.
func (fa *fairness) level(te tenant) float64 {
	ac, ok := fa.tenants[te]
	if !ok || fa.shares[te.service] == 0 {
		return 0
	}
	return fa.rise(te, (ac.used+ac.recent)/2+ac.planned)
}

// rise is what a part of a service adds to the level of a tenant.
func (fa *fairness) rise(te tenant, part float64) float64 {
	return part * fa.shares[te.service] / fa.weightOf(te.workspace)
}

// plan counts units as used for the rest of a round.
func (fa *fairness) plan(te tenant, part float64) { fa.account(te).planned += part }

// excess returns what a workspace uses now and has used lately for its fair share,
// at the service where that is most; above 1 it is over its share.
func (fa *fairness) excess(workspace string) float64 {
	most := 0.0
	for te, ac := range fa.tenants {
		if te.workspace == workspace {
			used := dominant(ac.resources, fa.capacity[te.service])
			most = max(most, fa.rise(te, (used+ac.recent)/2))
		}
	}
	return most
}

func (ra rank) tenant() tenant { return tenant{ra.units[0].job.Workspace, ra.service} }

// part is the dominant part of a service that a unit of the rank takes.
func (ra rank) part(capacity map[string]batch.Resources) float64 {
	un := ra.units[0]
	return float64(un.tasks) * dominant(un.step.Occupied(), capacity[ra.service])
}

// finishes tells whether the rank is a small rest of a step that has begun, which
// comes before work that has not, so that what was done is not lost.
func (ra rank) finishes(capacity map[string]batch.Resources) bool {
	un := ra.units[0]
	return un.job.begun && len(ra.units) < un.job.unitsOf(un.at) && float64(len(ra.units))*ra.part(capacity) <= finishPart
}

// contended tells whether at least two workspaces have work among ranks.
func contended(ras []rank) bool {
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
		if ras[0].class != classAssured && contended(ras[:n]) {
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
		co.takeTurns(co.lanesOf(ras, order), func(la *lane) float64 { return co.grant(ps, ras, la) })
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
	placed := 0
	for _, un := range granted.units {
		if un.phase != waiting || un.claim != nil {
			placed++
		}
	}
	if placed == n && len(rest.units) > 0 {
		ras[la.ranks[0]] = rest
	} else {
		la.ranks = la.ranks[1:]
		if len(rest.units) > 0 {
			co.placeRank(ps, rest)
		}
	}
	taken := float64(placed+ps.keeps-keeps) * each
	co.fair.plan(la.tenant, taken)
	return taken
}

// takeFairly has the queues' shares taken by the ranks in an order, and if
// several workspaces have work in a queue, first by the one that is furthest
// below its fair share. Jobs that can earn nothing any more come last.
func (co *Core) takeFairly(sh shares, ras []rank, order []int, take func(i int) float64) {
	type part struct {
		queue string
		late  bool
	}
	byPart := map[part][]int{}
	for _, i := range order {
		if ras[i].class != classAssured {
			pa := part{ras[i].queue(), ras[i].class == classLate}
			byPart[pa] = append(byPart[pa], i)
		}
	}
	for queue := range sh.left {
		for _, late := range []bool{false, true} {
			co.takeTurns(co.lanesOf(ras, byPart[part{queue, late}]), func(la *lane) float64 {
				i := la.ranks[0]
				la.ranks = la.ranks[1:]
				return take(i)
			})
		}
	}
}

// takeTurns lets lanes take something, always the one that is furthest below its
// fair share, until nothing is left in them.
func (co *Core) takeTurns(lanes []*lane, take func(la *lane) float64) {
	for len(lanes) > 0 {
		la := lanes[0]
		lanes = lanes[1:]
		la.level += co.fair.rise(la.tenant, take(la))
		if len(la.ranks) > 0 {
			lanes = insertLane(lanes, la)
		}
	}
}

// lanesOf parts ranks by tenant, those furthest below their fair shares first.
func (co *Core) lanesOf(ras []rank, order []int) []*lane {
	var lanes []*lane
	byTenant := map[tenant]*lane{}
	for _, i := range order {
		te := ras[i].tenant()
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
