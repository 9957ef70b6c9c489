package domain

import "time"

// stepOutcomes holds the outcomes of the attempts of a job's step in this term.
type stepOutcomes struct {
	failedOn  map[string]bool // by worker
	succeeded bool
	poisoned  bool
}

// minPoisonedWorkers is the number of workers not suspected otherwise on which
// a step has to fail, without any success, to be considered faulty itself.
const minPoisonedWorkers = 2

// outcomesOf returns the outcomes of a step, and adds an entry if there is
// none.
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

// isPoisoned reports whether a step is considered to cause its failures itself.
func (jb *job) isPoisoned(at int) bool {
	so, ok := jb.stepOutcomes[at]
	return ok && so.poisoned
}

// recordStepFailure records the worker on which a step has failed. Once it has
// failed on several workers that are not suspected otherwise, its failures no
// longer count against any worker.
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

// recordStepSuccess records that a step can succeed.
func (co *Core) recordStepSuccess(now time.Time, un *unit) {
	so := un.job.outcomesOf(un.stepIndex)
	so.succeeded = true
	if so.poisoned {
		so.poisoned = false
		co.updateExclusion(now, un, so)
	}
}

// updateExclusion removes the evidence of a job against workers, or adds it
// back.
func (co *Core) updateExclusion(now time.Time, un *unit, so *stepOutcomes) {
	for id := range so.failedOn {
		if nd, ok := co.nodes[id]; ok {
			nd.health.setExcluded(now, un.job.ID, so.poisoned)
		}
	}
	co.detector.due = true
}
