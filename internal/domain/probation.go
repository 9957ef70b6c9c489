package domain

import (
	"slices"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/batch"
)

// placeOnProbation places work that tolerates a failure on workers on
// probation, and returns the groups without it.
func (co *Core) placeOnProbation(ps *pass, ugs []unitGroup) []unitGroup {
	if len(co.detector.withEvidence) == 0 {
		return ugs
	}
	for _, nd := range co.nodesByID() {
		if nd.health.state != onProbation || !nd.acceptsWorkIfHealthy(ps.now) {
			continue
		}
		for n := len(nd.runs) + nd.health.trialsPassed; n < nd.health.maxTrials(); n++ {
			ugs = co.placeTrialOn(ps, ugs, nd)
		}
	}
	return ugs
}

// placeTrialOn places on a worker the first unit that fits there, tolerates a
// failure and is not within a guarantee. It returns the groups without that
// unit.
func (co *Core) placeTrialOn(ps *pass, ugs []unitGroup, nd *node) []unitGroup {
	for i, ug := range ugs {
		if ug.service != nd.worker.Service || ug.class == classGuaranteed {
			continue
		}
		un := ug.units[0]
		if !co.toleratesFailure(ps.now, un) || un.avoided[nd.worker.ID] || !un.suits(nd) || un.fitCount(nd, nd.free(), 1) == 0 {
			continue
		}
		co.place(ps.now, un, []*node{nd})
		ugs[i].units = ug.units[1:]
		if len(ugs[i].units) == 0 {
			return slices.Delete(ugs, i, i+1)
		}
		return ugs
	}
	return ugs
}

// toleratesFailure reports whether a failure of a unit does little harm: it is
// a single task without special requirements, its attempt after a failure is
// not the last one, and there is time for that one and all dependent steps
// before the deadline. The time is irrelevant if the unit misses its deadline
// anyway.
func (co *Core) toleratesFailure(now time.Time, un *unit) bool {
	if un.tasks > 1 || un.step.LongRunning || un.step.PerWorker > 0 || un.step.DataRack != "" || un.job.advice != nil || co.queueOf(un.job).Advised {
		return false
	}
	if un.failures+2 >= co.maxAttempts(un.job) || un.job.state == batch.Failed {
		return false
	}
	retryEnd := now.Add(un.step.RunTime + un.job.criticalPathFrom(un.stepIndex) + hangTimeout)
	return !retryEnd.After(un.deadline()) || now.Add(un.step.RunTime).After(un.deadline())
}
