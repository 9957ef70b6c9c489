package domain

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/batch"
	"github.com/cicadawharf/cicadawharf/internal/runner"
)

type (
	// crashHistory sums up the crashes of workers under a task. Its ages are
	// those that all of these crashes have in common: a task that crashes its
	// workers does so after the same time, and workers that crash for another
	// reason do so at any time.
	crashHistory struct {
		count    int // crashes
		suspects int // crashes that the task has probably caused; see isSuspect
		ages     ageRange
	}

	// silence is the moment at which a worker stopped responding, and what had
	// just been started there.
	silence struct {
		at       time.Time
		starting []jobStep
	}

	// lostRun describes a run that was lost with its worker. As long as it is
	// unknown whether the worker has crashed, the next sign of life at its address
	// is waited for; see resolveLosses.
	lostRun struct {
		unit    *unit
		task    batch.TaskID
		attempt int
		worker  runner.Worker
		age     ageRange
		suspect bool
		at      time.Time // when the run was considered ended
	}
)

const (
	// maxSuspectCrashes is the number of workers that a task may crash, as far as
	// it is suspected. It is more than the two after which a task may be given
	// up, since a crash may be mistaken.
	maxSuspectCrashes = 3
	// maxCrashes is the number of workers that may crash under a task, suspected
	// or not, each at about the same age of its attempt.
	maxCrashes = 5
	// startupTime is the age of an attempt up to which it is suspected if its
	// worker crashes.
	startupTime = 500 * time.Millisecond
	// crashCorrelation is the time between the losses of two workers up to which
	// they are considered to have a common cause.
	crashCorrelation = 250 * time.Millisecond
	// ageTolerance is the error of the ages of attempts, which contain the
	// latency of calls and the delay of their processing.
	ageTolerance = 500 * time.Millisecond
	// silenceRetention and openLossRetention are how long silences and open
	// losses are kept.
	silenceRetention  = 10 * time.Second
	openLossRetention = time.Minute
)

// overlaps reports whether two ranges have ages in common.
func (ar ageRange) overlaps(other ageRange) bool {
	return max(ar.min, other.min)-ageTolerance <= min(ar.max, other.max)
}

// intersect returns the ages that two overlapping ranges have in common.
func (ar ageRange) intersect(other ageRange) ageRange {
	common := ageRange{min: max(ar.min, other.min), max: min(ar.max, other.max)}
	common.max = max(common.min, common.max)
	return common
}

// withCrash returns the history with one more crash. A crash at another age than
// the earlier ones clears the task of these.
func (ch crashHistory) withCrash(age ageRange, suspect bool) crashHistory {
	if ch.count == 0 || !ch.ages.overlaps(age) {
		ch = crashHistory{ages: age}
	}
	ch.count++
	if suspect {
		ch.suspects++
	}
	ch.ages = ch.ages.intersect(age)
	return ch
}

// isGuilty reports whether a task has crashed so many workers that it is given
// up.
func (ch crashHistory) isGuilty() bool {
	return ch.suspects >= maxSuspectCrashes || ch.count >= maxCrashes
}

// isSuspected reports whether some task of a unit is suspected of having crashed
// a worker.
func (un *unit) isSuspected() bool {
	for _, ch := range un.crashes {
		if ch.suspects > 0 {
			return true
		}
	}
	return false
}

// recordSilence records a call to a worker that got no response.
func (co *Core) recordSilence(now time.Time, nd *node) {
	if !nd.unresponsive() || nd.silentSince.IsZero() {
		nd.silentSince = now
		co.silences[nd.worker.ID] = silence{at: now, starting: nd.startingSteps(now)}
	}
	nd.lastFailure = now
}

// startingSteps returns the steps of the attempts on a worker that are not older
// than startupTime.
func (nd *node) startingSteps(now time.Time) []jobStep {
	var steps []jobStep
	for _, ru := range nd.sortedRuns() {
		if ru.unit != nil && !ru.sentAt.IsZero() && now.Sub(ru.sentAt) <= startupTime {
			steps = append(steps, jobStep{ru.unit.job, ru.unit.stepIndex})
		}
	}
	return steps
}

// forgetSilences drops silences and open losses that are too old to tell
// anything.
func (co *Core) forgetSilences(now time.Time) {
	for id, si := range co.silences {
		if now.Sub(si.at) > silenceRetention {
			delete(co.silences, id)
		}
	}
	co.openLosses = slices.DeleteFunc(co.openLosses, func(lr lostRun) bool { return now.Sub(lr.at) > openLossRetention })
}

// isSuspect reports whether a run has probably caused the crash of its worker:
// it had just been started, and no other worker was lost at the same time, unless
// the same step had just been started there as well.
func (co *Core) isSuspect(now time.Time, ru *run, age ageRange) bool {
	if age.max > startupTime {
		return false
	}
	lostAt := ru.node.lostBy(now)
	step := jobStep{ru.unit.job, ru.unit.stepIndex}
	for id, si := range co.silences {
		if id != ru.node.worker.ID && si.at.Sub(lostAt).Abs() <= crashCorrelation && !slices.Contains(si.starting, step) {
			return false
		}
	}
	return true
}

// recordLoss counts the loss of a run against its task if its worker has
// crashed, or remembers it as long as that is unknown. A run whose stop was
// confirmed had ended before.
func (co *Core) recordLoss(now time.Time, ru *run, ls loss) {
	un := ru.unit
	if un == nil || un.phase == finished || !ru.stop.ackedAt.IsZero() {
		return
	}
	lr := lostRun{
		unit: un, task: ru.task, attempt: ru.attempt, worker: ru.node.worker, age: ls.age,
		suspect: co.isSuspect(now, ru, ls.age), at: now,
	}
	switch ls.cause {
	case Restarted, Replaced:
		co.recordCrash(now, lr)
	case LeaseExpired, GangEnded:
		co.openLosses = append(co.openLosses, lr)
	}
}

// resolveLosses decides about the runs that were given up on a worker, or on
// another one at its address, now that the worker is known to run.
func (co *Core) resolveLosses(now time.Time, wk runner.Worker) {
	if len(co.openLosses) == 0 || wk.Born == 0 {
		return
	}
	open := co.openLosses
	co.openLosses = nil
	for _, lr := range open {
		restarted := lr.worker.ID == wk.ID && lr.worker.Born != 0
		replaced := lr.worker.ID != wk.ID && lr.worker.Address == wk.Address
		switch {
		case (restarted || replaced) && wk.Born > lr.worker.Born:
			co.recordCrash(now, lr)
		case lr.worker.ID != wk.ID || wk.Born < lr.worker.Born:
			co.openLosses = append(co.openLosses, lr)
		}
	}
}

// recordCrash counts the crash of a worker against a task that ran there, and
// gives the task's job up if the task is guilty.
func (co *Core) recordCrash(now time.Time, lr lostRun) {
	un := lr.unit
	if un.phase == finished || un.job.state.Final() {
		return
	}
	if un.crashes == nil {
		un.crashes = map[int]crashHistory{}
	}
	ch := un.crashes[lr.task.Index].withCrash(lr.age, lr.suspect)
	un.crashes[lr.task.Index] = ch
	co.markDirty(un.job)
	co.emit(LogDecision{
		Decision: "crashed", Job: un.job.ID, Task: lr.task.String(), Queue: un.job.Queue.Name, Attempt: lr.attempt, Worker: lr.worker.ID,
		Crashes: ch.count, Suspected: ch.suspects,
	})
	if ch.isGuilty() {
		co.endJob(now, un.job, batch.Failed, fmt.Sprintf("task %s has crashed %d workers", lr.task, ch.count))
	}
}

// crashRecords returns the crash histories of a unit for the store.
func (un *unit) crashRecords() []batch.TaskCrashes {
	var tcs []batch.TaskCrashes
	for _, index := range slices.Sorted(maps.Keys(un.crashes)) {
		ch := un.crashes[index]
		tc := batch.TaskCrashes{Index: index, Count: ch.count, Suspected: ch.suspects, MinAge: ch.ages.min}
		if ch.ages.max != anyAge.max {
			tc.MaxAge = max(time.Millisecond, ch.ages.max) // zero stands for no bound
		}
		tcs = append(tcs, tc)
	}
	return tcs
}

// restoreCrashes restores the crash histories of a unit.
func (un *unit) restoreCrashes(tcs []batch.TaskCrashes) {
	for _, tc := range tcs {
		if un.crashes == nil {
			un.crashes = map[int]crashHistory{}
		}
		ages := ageRange{min: tc.MinAge, max: tc.MaxAge}
		if tc.MaxAge == 0 {
			ages.max = anyAge.max
		}
		un.crashes[tc.Index] = crashHistory{count: tc.Count, suspects: tc.Suspected, ages: ages}
	}
}

// clearSurvivor clears a task of crashes if an attempt that a worker has reported
// the end of was alive at a later age than these crashes.
func (un *unit) clearSurvivor(ru *run) {
	ch, ok := un.crashes[ru.task.Index]
	if !ok || ru.sentAt.IsZero() {
		return
	}
	aliveAt := ru.listedAt
	if ru.stop.triedAt.After(aliveAt) {
		aliveAt = ru.stop.triedAt
	}
	if aliveAt.Sub(ru.sentAt)-ageTolerance > ch.ages.max {
		delete(un.crashes, ru.task.Index)
	}
}
