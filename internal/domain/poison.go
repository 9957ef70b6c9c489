package domain

import "time"

// stepEnds is how the attempts of a job's step have ended, under this core.
type stepEnds struct {
	failedOn  map[string]bool // workers
	succeeded bool
	poisoned  bool
}

// poisonWorkers is on how many workers in no doubt otherwise a step has to fail,
// with no success, for the fault to be its own.
const poisonWorkers = 2

// endsOf returns how attempts of a step have ended.
func (jb *job) endsOf(at int) *stepEnds {
	if jb.ends == nil {
		jb.ends = map[int]*stepEnds{}
	}
	se, ok := jb.ends[at]
	if !ok {
		se = &stepEnds{failedOn: map[string]bool{}}
		jb.ends[at] = se
	}
	return se
}

// failsEverywhere tells whether the failures of a step are its own.
func (jb *job) failsEverywhere(at int) bool {
	se, ok := jb.ends[at]
	return ok && se.poisoned
}

// noteFailure notes on which worker a step has failed. Once it has failed on
// several that are in no doubt otherwise, its failures count against none.
func (co *Core) noteFailure(now time.Time, nd *node, un *unit) {
	se := un.job.endsOf(un.at)
	se.failedOn[nd.worker.ID] = true
	if se.succeeded || se.poisoned {
		return
	}
	sound := 0
	for id := range se.failedOn {
		if other, ok := co.nodes[id]; ok && other.health.scoreWithout(now, un.job.ID) < doubtScore {
			sound++
		}
	}
	if sound >= poisonWorkers {
		se.poisoned = true
		co.withhold(now, un, se)
	}
}

// clearStep notes that a step can succeed.
func (co *Core) clearStep(now time.Time, un *unit) {
	se := un.job.endsOf(un.at)
	se.succeeded = true
	if se.poisoned {
		se.poisoned = false
		co.withhold(now, un, se)
	}
}

// withhold takes back what a job says against workers, or lets it count again.
func (co *Core) withhold(now time.Time, un *unit, se *stepEnds) {
	for id := range se.failedOn {
		if nd, ok := co.nodes[id]; ok {
			nd.health.withhold(now, un.job.ID, se.poisoned)
		}
	}
	co.evidence.due = true
}
