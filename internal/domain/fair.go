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
		used      float64         // the dominant share of the service that these were when the round began
		recent    float64         // the same over the last seconds
		planned   float64         // for units that got claims, or for which workers are kept, in this round
		waits     bool
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
	for _, nd := range co.sorted {
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

// weightOf returns the weight of a workspace.
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

// level is the usage of a service by a tenant, divided by its fair share; above 1 it
// is over that share. Usage is the mean of present and decayed usage, and all that
// this round has granted.
func (fa *fairness) level(te tenant) float64 {
	ac, ok := fa.tenants[te]
	if !ok || fa.shares[te.service] == 0 {
		return 0
	}
	placed := max(0, dominant(ac.resources, fa.capacity[te.service])-ac.used)
	return fa.rise(te, (ac.used+ac.recent)/2+placed+ac.planned)
}

// rise is what a part of a service adds to the level of a tenant.
func (fa *fairness) rise(te tenant, part float64) float64 {
	return part * fa.shares[te.service] / fa.weightOf(te.workspace)
}

// plan counts a part of a service as used for the rest of a round.
func (fa *fairness) plan(te tenant, part float64) { fa.account(te).planned += part }

// excess returns the present and decayed usage of a workspace, divided by its fair
// share, at the service where that is highest; above 1 it is over its share.
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

// part is the dominant share of a service that a unit of the rank takes.
func (ra rank) part(capacity map[string]batch.Resources) float64 {
	un := ra.units[0]
	return float64(un.tasks) * dominant(un.step.Occupied(), capacity[ra.service])
}
