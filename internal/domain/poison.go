package domain

import "time"

// stepOutcomes is how the attempts of a job's step have ended, under this core.
type stepOutcomes struct {
	failedOn  map[string]bool // workers
	succeeded bool
	poisoned  bool
}

// minPoisonedWorkers is on how many workers in no doubt otherwise a step has to fail,
// with no success, for the fault to be its own.
const minPoisonedWorkers = 2

// outcomesOf returns how attempts of a step have ended.
func (jb *job) outcomesOf(at int) *stepOutcomes {
	if jb.stepOutcomes == nil {
		jb.stepOutcomes = map[int]*stepOutcomes{}
	}
	so, ok := jb.stepOutcomes[at]
	if !ok {
		so = &stepOutcomes{failedOn: map[string]bool{}}
		jb.stepOutcomes[at] = so
	}
	return so
}

// isPoisoned tells whether the failures of a step are its own.
func (jb *job) isPoisoned(at int) bool {
	so, ok := jb.stepOutcomes[at]
	return ok && so.poisoned
}

// recordStepFailure notes on which worker a step has failed. Once it has failed on
// several that are in no doubt otherwise, its failures count against none.
func (co *Core) recordStepFailure(now time.Time, nd *node, un *unit) {
	so := un.job.outcomesOf(un.stepIndex)
	so.failedOn[nd.worker.ID] = true
	if so.succeeded || so.poisoned {
		return
	}
	unsuspected := 0
	for id := range so.failedOn {
		if other, ok := co.nodes[id]; ok && other.health.scoreWithout(now, un.job.ID) < suspectScore {
			unsuspected++
		}
	}
	if unsuspected >= minPoisonedWorkers {
		so.poisoned = true
		co.updateExclusion(now, un, so)
	}
}

// recordStepSuccess notes that a step can succeed.
func (co *Core) recordStepSuccess(now time.Time, un *unit) {
	so := un.job.outcomesOf(un.stepIndex)
	so.succeeded = true
	if so.poisoned {
		so.poisoned = false
		co.updateExclusion(now, un, so)
	}
}

// updateExclusion takes back what a job says against workers, or lets it count again.
func (co *Core) updateExclusion(now time.Time, un *unit, so *stepOutcomes) {
	for id := range so.failedOn {
		if nd, ok := co.nodes[id]; ok {
			nd.health.setExcluded(now, un.job.ID, so.poisoned)
		}
	}
	co.detector.due = true
}
