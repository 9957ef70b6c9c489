package domain

import (
	"fmt"
	"time"
)

const (
	// stallTime is how long a task may stand still before it is moved.
	stallTime = 3 * time.Second
	// stallShare of the declared run time is the same for long tasks, whose
	// percents rise slowly.
	stallShare = 0.04
)

// moveStalled moves tasks that stand still while their worker answers.
func (co *Core) moveStalled(now time.Time, nd *node) {
	if nd.lastResponse.IsZero() || nd.lastFailure.After(nd.lastResponse) {
		return
	}
	for _, ru := range nd.sortedRuns() {
		un := ru.unit
		if un == nil || un.phase != live || ru.stage != running || un.step.Lasting || !un.allRunning() || un.waitsForGang(ru) {
			continue
		}
		timeout := max(stallTime, time.Duration(stallShare*float64(un.step.RunTime)))
		if nd.lastResponse.Sub(ru.progressAt) < timeout || now.Sub(un.allRunningSince()) < timeout {
			continue
		}
		co.emit(Noted{Decision: "hangs", Job: un.job.ID, Task: ru.task.String(), Attempt: ru.attempt, Worker: nd.worker.ID, Reason: fmt.Sprintf("the task stands at %d percent", ru.percent)})
		co.recordNodeFailure(now, nd, hangScore)
		un.avoidWorker(nd.worker.ID)
		co.stopUnit(now, un, "a task makes no progress")
	}
}

// waitsForGang tells whether a task of a gang has done its part. It stands at
// 100 percent until the others have done theirs.
func (un *unit) waitsForGang(ru *run) bool { return un.step.Gang && ru.percent >= 100 }

// allRunning tells whether every task of a unit was seen to run.
func (un *unit) allRunning() bool {
	for _, ru := range un.runs {
		if ru.stage != running {
			return false
		}
	}
	return true
}

// allRunningSince is since when every task of a unit is known to run.
func (un *unit) allRunningSince() time.Time {
	var latest time.Time
	for _, ru := range un.runs {
		if ru.confirmedAt.After(latest) {
			latest = ru.confirmedAt
		}
	}
	return latest
}

// workingSince is since when every task of a unit that was seen to run works.
func (un *unit) workingSince() time.Time {
	var latest time.Time
	for _, ru := range un.runs {
		if ru.beganAt.After(latest) {
			latest = ru.beganAt
		}
	}
	return latest
}
