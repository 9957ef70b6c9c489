package domain

import (
	"fmt"
	"time"
)

const (
	// hangTimeout is how long a task may make no progress before it is
	// considered hung and stopped.
	hangTimeout = 3 * time.Second
	// hangTimeoutShare is the same as a fraction of the declared run time, for
	// long tasks whose percentage rises slowly. The longer of the two applies.
	hangTimeoutShare = 0.04
)

// stopHung stops units with a task that makes no progress while its worker
// replies, so that they are restarted elsewhere.
func (co *Core) stopHung(now time.Time, nd *node) {
	if nd.lastResponse.IsZero() || nd.lastFailure.After(nd.lastResponse) {
		return
	}
	for _, ru := range nd.sortedRuns() {
		un := ru.unit
		if un == nil || un.phase != live || ru.stage != running || ru.mayHaveEnded || un.step.LongRunning || !un.allRunning() || un.waitsForGang(ru) {
			continue
		}
		timeout := max(hangTimeout, time.Duration(hangTimeoutShare*float64(un.step.RunTime)))
		if nd.lastResponse.Sub(ru.progressAt) < timeout || now.Sub(un.allRunningSince()) < timeout {
			continue
		}
		co.emit(LogDecision{Decision: "hangs", Job: un.job.ID, Task: ru.task.String(), Attempt: ru.attempt, Worker: nd.worker.ID, Reason: fmt.Sprintf("the task makes no progress at %d percent", ru.percent)})
		co.recordNodeFailure(now, nd, hangScore)
		un.avoidWorker(nd.worker.ID)
		co.stopUnit(now, un, "a task makes no progress")
	}
}

// waitsForGang reports whether a task of a gang has done its part. It stays at
// 100 percent until the other gang members have done theirs.
func (un *unit) waitsForGang(ru *run) bool { return un.step.Gang && ru.percent >= 100 }

// allRunning reports whether every task of a unit is confirmed to run.
func (un *unit) allRunning() bool {
	for _, ru := range un.runs {
		if ru.stage != running {
			return false
		}
	}
	return true
}

// allRunningSince returns when the last task of a unit was confirmed to run.
func (un *unit) allRunningSince() time.Time {
	var latest time.Time
	for _, ru := range un.runs {
		if ru.confirmedAt.After(latest) {
			latest = ru.confirmedAt
		}
	}
	return latest
}

// workingSince returns when the last of the unit's tasks that are confirmed to
// run began; zero if none is.
func (un *unit) workingSince() time.Time {
	var latest time.Time
	for _, ru := range un.runs {
		if ru.beganAt.After(latest) {
			latest = ru.beganAt
		}
	}
	return latest
}
