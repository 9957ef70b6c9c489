package domain

import (
	"slices"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/batch"
)

// placeTrials gives workers on probation work that can bear a failure, and returns
// the ranks without it.
func (co *Core) placeTrials(ps *pass, ras []rank) []rank {
	if len(co.evidence.nodes) == 0 {
		return ras
	}
	for _, nd := range co.byID() {
		if nd.health.standing != onProbation || !nd.mayTake(ps.now) {
			continue
		}
		for n := len(nd.runs) + nd.health.passed; n < nd.health.atOnce(); n++ {
			ras = co.placeTrial(ps, ras, nd)
		}
	}
	return ras
}

// placeTrial gives a worker the first unit in the order that can bear a failure and
// fits there.
func (co *Core) placeTrial(ps *pass, ras []rank, nd *node) []rank {
	for i, ra := range ras {
		if ra.service != nd.worker.Service || ra.class == classAssured {
			continue
		}
		un := ra.units[0]
		if !co.bears(ps.now, un) || un.avoid[nd.worker.ID] || !un.suits(nd) || un.fits(nd, nd.free(), 1) == 0 {
			continue
		}
		co.place(ps.now, un, []*node{nd})
		ras[i].units = ra.units[1:]
		if len(ras[i].units) == 0 {
			return slices.Delete(ras, i, i+1)
		}
		return ras
	}
	return ras
}

// bears tells whether a unit can bear a failure: it has attempts left after that,
// holds no guarantee and nothing else up, and does not miss its objective by it.
func (co *Core) bears(now time.Time, un *unit) bool {
	if un.tasks > 1 || un.step.Lasting || un.step.PerWorker > 0 || un.step.Rack != "" || un.job.advice != nil || co.queueOf(un.job).Advised {
		return false
	}
	if un.failures+2 >= co.maxAttempts(un.job) || un.job.state == batch.Failed {
		return false
	}
	again := now.Add(un.step.RunTime + un.job.chainFrom(un.at) + stallTime)
	return !again.After(un.goal()) || now.Add(un.step.RunTime).After(un.goal())
}
