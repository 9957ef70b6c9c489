package domain

import (
	"math"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/batch"
)

type (
	// fairness knows how far each workspace is over its fair share of the workers
	// of each service. It is not written to the store.
	fairness struct {
		tenants       map[tenant]*account
		capacity      map[string]batch.Resources // of what takes new work, by service
		weightSums    map[string]float64         // weights of the accounts with work, added up by service
		weights       map[string]float64         // by workspace
		defaultWeight float64                    // weight of a workspace without a guarantee
		decayedAt     time.Time                  // when the usage last decayed; zero before that
	}

	// tenant is a workspace at a service.
	tenant struct{ workspace, service string }

	// account is what a tenant uses.
	account struct {
		resources batch.Resources // of its runs
		used      float64         // the dominant share of the service that these were when the round began
		recent    float64         // the same over the last seconds
		planned   float64         // for units that got claims, or for which workers are kept, in this round
		waiting   bool
	}
)

const (
	// usageHalfLife is how long former use counts against a workspace.
	usageHalfLife = 10 * time.Second
	// usageFloor is the part of a service below which former use is forgotten.
	usageFloor = 1e-4
)

func newFairness() *fairness { return &fairness{tenants: map[tenant]*account{}} }

// use adds what a run takes of a service, or frees as a negative amount.
func (fa *fairness) use(te tenant, rs batch.Resources) {
	ac := fa.account(te)
	ac.resources = ac.resources.Plus(rs)
}

// account returns the account of a tenant, and opens it if there is none.
func (fa *fairness) account(te tenant) *account {
	ac, ok := fa.tenants[te]
	if !ok {
		ac = &account{}
		fa.tenants[te] = ac
	}
	return ac
}

// recountUsage counts usage and weights anew after a change of the policy, which may
// move queues to other services.
func (co *Core) recountUsage() {
	for _, ac := range co.fair.tenants {
		ac.resources = batch.Resources{}
	}
	for _, nd := range co.sortedNodes {
		for _, ru := range nd.runs {
			if ru.unit != nil {
				co.fair.use(co.tenantOf(ru.unit.job), ru.unit.step.Occupied())
			}
		}
	}
	co.fair.weights = nil
}

// tenantOf returns the tenant that a job counts for.
func (co *Core) tenantOf(jb *job) tenant {
	return tenant{jb.Workspace, co.queueOf(jb).Service}
}

// deriveWeights derives weights from guarantees. A workspace without one has the least
// weight of those that have one.
func (fa *fairness) deriveWeights(po *batch.Policy) {
	fa.weights, fa.defaultWeight = map[string]float64{}, 1
	if po == nil {
		return
	}
	smallest := math.Inf(1)
	for _, ws := range po.Workspaces {
		if ws.Guaranteed > 0 {
			fa.weights[ws.Name] = float64(ws.Guaranteed)
			smallest = min(smallest, float64(ws.Guaranteed))
		}
	}
	if len(fa.weights) > 0 {
		fa.defaultWeight = smallest
	}
}

// weightOf returns the weight of a workspace.
func (fa *fairness) weightOf(workspace string) float64 {
	if weight, ok := fa.weights[workspace]; ok {
		return weight
	}
	return fa.defaultWeight
}

// beginPass prepares a round: usage decays towards what runs now, and the tenants
// that have neither used anything lately nor wait are forgotten.
func (fa *fairness) beginPass(now time.Time, po *batch.Policy, capacity map[string]batch.Resources, ugs []unitGroup) {
	if fa.weights == nil {
		fa.deriveWeights(po)
	}
	for _, ac := range fa.tenants {
		ac.waiting = false
	}
	for _, ug := range ugs {
		fa.account(ug.tenant()).waiting = true
	}
	decayFactor := math.Exp2(-float64(now.Sub(fa.decayedAt)) / float64(usageHalfLife))
	fa.capacity, fa.weightSums = capacity, map[string]float64{}
	for te, ac := range fa.tenants {
		ac.planned = 0
		ac.used = dominantShare(ac.resources, capacity[te.service])
		if fa.decayedAt.IsZero() {
			ac.recent = ac.used
		}
		ac.recent = ac.used + decayFactor*(ac.recent-ac.used)
		if !ac.waiting && ac.resources == (batch.Resources{}) {
			if ac.recent < usageFloor {
				delete(fa.tenants, te)
			}
			continue
		}
		fa.weightSums[te.service] += fa.weightOf(te.workspace)
	}
	fa.decayedAt = now
}

// level is the usage of a service by a tenant, divided by its fair share; above 1 it
// is over that share. Usage is the mean of present and decayed usage, and all that
// this round has granted.
func (fa *fairness) level(te tenant) float64 {
	ac, ok := fa.tenants[te]
	if !ok || fa.weightSums[te.service] == 0 {
		return 0
	}
	placed := max(0, dominantShare(ac.resources, fa.capacity[te.service])-ac.used)
	return fa.normalize(te, (ac.used+ac.recent)/2+placed+ac.planned)
}

// normalize is what a part of a service adds to the level of a tenant.
func (fa *fairness) normalize(te tenant, share float64) float64 {
	return share * fa.weightSums[te.service] / fa.weightOf(te.workspace)
}

// plan counts a part of a service as used for the rest of a round.
func (fa *fairness) plan(te tenant, share float64) { fa.account(te).planned += share }

// excess returns the present and decayed usage of a workspace, divided by its fair
// share, at the service where that is highest; above 1 it is over its share.
func (fa *fairness) excess(workspace string) float64 {
	most := 0.0
	for te, ac := range fa.tenants {
		if te.workspace == workspace {
			used := dominantShare(ac.resources, fa.capacity[te.service])
			most = max(most, fa.normalize(te, (used+ac.recent)/2))
		}
	}
	return most
}

func (ug unitGroup) tenant() tenant { return tenant{ug.units[0].job.Workspace, ug.service} }

// unitShare is the dominant share of a service that a unit of the rank takes.
func (ug unitGroup) unitShare(capacity map[string]batch.Resources) float64 {
	un := ug.units[0]
	return float64(un.tasks) * dominantShare(un.step.Occupied(), capacity[ug.service])
}
