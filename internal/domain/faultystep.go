package domain

import "time"

// stepOutcomes holds the outcomes of the attempts of a job's step in this term.
type stepOutcomes struct {
	failedOn  map[string]bool // by worker ID
	succeeded bool
	faulty    bool // the step is considered to cause its failures itself
}

// minFaultyStepWorkers is the number of workers not suspected otherwise on which
// a step has to fail, without any success, to be considered faulty itself.
const minFaultyStepWorkers = 2

// outcomesOf returns the outcomes of a step, and adds an entry if there is
// none.
func (jb *job) outcomesOf(stepIndex int) *stepOutcomes {
	if jb.stepOutcomes == nil {
		jb.stepOutcomes = map[int]*stepOutcomes{}
	}
	so, ok := jb.stepOutcomes[stepIndex]
	if !ok {
		so = &stepOutcomes{failedOn: map[string]bool{}}
		jb.stepOutcomes[stepIndex] = so
	}
	return so
}

// isFaultyStep reports whether a step is considered to cause its failures
// itself.
func (jb *job) isFaultyStep(stepIndex int) bool {
	so, ok := jb.stepOutcomes[stepIndex]
	return ok && so.faulty
}

// recordStepFailure records the worker on which a step has failed. Once it has
// failed on several workers that are not suspected otherwise, its failures no
// longer count against any worker.
func (co *Core) recordStepFailure(now time.Time, nd *node, un *unit) {
	so := un.job.outcomesOf(un.stepIndex)
	so.failedOn[nd.worker.ID] = true
	if so.succeeded || so.faulty {
		return
	}
	unsuspected := 0
	for id := range so.failedOn {
		if other, ok := co.nodes[id]; ok && other.health.scoreWithout(now, un.job.ID) < suspectScore {
			unsuspected++
		}
	}
	if unsuspected >= minFaultyStepWorkers {
		so.faulty = true
		co.updateExclusion(now, un, so)
	}
}

// recordStepSuccess records that a step can succeed.
func (co *Core) recordStepSuccess(now time.Time, un *unit) {
	so := un.job.outcomesOf(un.stepIndex)
	so.succeeded = true
	if so.faulty {
		so.faulty = false
		co.updateExclusion(now, un, so)
	}
}

// updateExclusion removes the evidence of a step's job from the scores of the
// workers on which the step has failed, or adds it back if the step is no
// longer considered faulty. That includes evidence by other steps of the job.
func (co *Core) updateExclusion(now time.Time, un *unit, so *stepOutcomes) {
	for id := range so.failedOn {
		if nd, ok := co.nodes[id]; ok {
			nd.health.setExcluded(now, un.job.ID, so.faulty)
		}
	}
	co.detector.due = true
}
