package domain

import (
	"math"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/batch"
)

type (
	// fairness tracks how far each workspace is above or below its fair share
	// of the workers of each service. It is not stored: a new term takes the
	// usage at its first pass as the recent usage.
	fairness struct {
		tenants       map[tenant]*tenantUsage
		capacity      map[string]batch.Resources // of schedulable workers, by service
		weightSums    map[string]float64         // sum of the weights of the tenants with work, by service
		weights       map[string]float64         // by workspace, for those with a guarantee
		defaultWeight float64                    // of a workspace without a guarantee
		decayedAt     time.Time                  // when the usage last decayed; zero before the first time
	}

	// tenant is a workspace in its role as a user of one service. Fair shares
	// are computed per tenant, since the services have different workers.
	tenant struct{ workspace, service string }

	// tenantUsage holds the resources allocated to a tenant, and its present,
	// recent and planned usage, from which its distance from the fair share is
	// computed.
	tenantUsage struct {
		resources batch.Resources // allocated to its runs
		used      float64         // dominant share of resources at the beginning of the pass
		recent    float64         // the same with exponential decay
		planned   float64         // dominant share granted in this pass by claims and reservations
		waiting   bool            // some of its units wait
	}
)

const (
	// usageHalfLife is the half-life of recent usage.
	usageHalfLife = 10 * time.Second
	// minRecentUsage is the dominant share below which recent usage is dropped.
	minRecentUsage = 1e-4
)

func newFairness() *fairness { return &fairness{tenants: map[tenant]*tenantUsage{}} }

// addUsage adds the resources of a run to a tenant's usage. A negative amount
// frees them.
func (fa *fairness) addUsage(te tenant, rs batch.Resources) {
	tu := fa.usageOf(te)
	tu.resources = tu.resources.Plus(rs)
}

// usageOf returns the usage of a tenant, and adds an entry if there is none.
func (fa *fairness) usageOf(te tenant) *tenantUsage {
	tu, ok := fa.tenants[te]
	if !ok {
		tu = &tenantUsage{}
		fa.tenants[te] = tu
	}
	return tu
}

// recountUsage recomputes the usage of the tenants after a change of the policy,
// which may assign queues to other services. The next pass derives the weights
// anew.
func (co *Core) recountUsage() {
	for _, tu := range co.fair.tenants {
		tu.resources = batch.Resources{}
	}
	for _, nd := range co.sortedNodes {
		for _, ru := range nd.runs {
			if ru.unit != nil {
				co.fair.addUsage(co.tenantOf(ru.unit.job), ru.unit.step.Reserved())
			}
		}
	}
	co.fair.weights = nil
}

// tenantOf returns the tenant of a job.
func (co *Core) tenantOf(jb *job) tenant {
	return tenant{jb.Workspace, co.queueOf(jb).Service}
}

// deriveWeights derives weights from guarantees. Workspaces without a guarantee
// get the smallest weight of those with one.
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

// beginPass prepares a placement pass: recent usage decays towards present
// usage, and tenants without either and without waiting work are dropped.
func (fa *fairness) beginPass(now time.Time, po *batch.Policy, capacity map[string]batch.Resources, ugs []unitGroup) {
	if fa.weights == nil {
		fa.deriveWeights(po)
	}
	for _, tu := range fa.tenants {
		tu.waiting = false
	}
	for _, ug := range ugs {
		fa.usageOf(ug.tenant()).waiting = true
	}
	decayFactor := math.Exp2(-float64(now.Sub(fa.decayedAt)) / float64(usageHalfLife))
	fa.capacity, fa.weightSums = capacity, map[string]float64{}
	for te, tu := range fa.tenants {
		tu.planned = 0
		tu.used = dominantShare(tu.resources, capacity[te.service])
		if fa.decayedAt.IsZero() {
			tu.recent = tu.used
		}
		tu.recent = tu.used + decayFactor*(tu.recent-tu.used)
		if !tu.waiting && tu.resources == (batch.Resources{}) {
			if tu.recent < minRecentUsage {
				delete(fa.tenants, te)
			}
			continue
		}
		fa.weightSums[te.service] += fa.weightOf(te.workspace)
	}
	fa.decayedAt = now
}

// relativeUsage returns the usage of a service by a tenant relative to its fair
// share; above 1 it exceeds that share. Usage is the mean of present and recent
// usage, plus everything granted in this pass.
func (fa *fairness) relativeUsage(te tenant) float64 {
	tu, ok := fa.tenants[te]
	if !ok || fa.weightSums[te.service] == 0 {
		return 0
	}
	placed := max(0, dominantShare(tu.resources, fa.capacity[te.service])-tu.used)
	return fa.relativeShare(te, (tu.used+tu.recent)/2+placed+tu.planned)
}

// relativeShare returns a share of a service relative to a tenant's fair share,
// which is what it adds to the relative usage of the tenant.
func (fa *fairness) relativeShare(te tenant, share float64) float64 {
	return share * fa.weightSums[te.service] / fa.weightOf(te.workspace)
}

// addPlanned counts a share of a service as used by a tenant for the rest of a
// pass.
func (fa *fairness) addPlanned(te tenant, share float64) { fa.usageOf(te).planned += share }

// maxRelativeUsage returns the mean of the present and recent usage of a
// workspace relative to its fair share, at the service where that is highest;
// above 1 it exceeds its share. Unlike relativeUsage, it does not count what is
// only planned.
func (fa *fairness) maxRelativeUsage(workspace string) float64 {
	most := 0.0
	for te, tu := range fa.tenants {
		if te.workspace == workspace {
			used := dominantShare(tu.resources, fa.capacity[te.service])
			most = max(most, fa.relativeShare(te, (used+tu.recent)/2))
		}
	}
	return most
}

func (ug unitGroup) tenant() tenant { return tenant{ug.units[0].job.Workspace, ug.service} }

// unitShare returns the dominant share of a service that a unit of the group
// takes.
func (ug unitGroup) unitShare(capacity map[string]batch.Resources) float64 {
	un := ug.units[0]
	return float64(un.tasks) * dominantShare(un.step.Reserved(), capacity[ug.service])
}
