package domain

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/batch"
)

// crashHistory sums up the crashes of workers under a task. Its ages are those that
// all of these crashes have in common: most tasks that crash their workers do so
// after the same time, and workers that crash for another reason do so at any time.
// A task that does so after varying times is recognized by workers that were lost
// alone, again and again, with no attempt that has lived longer between.
type crashHistory struct {
	count     int // crashes
	confirmed int // crashes of workers that had confirmed the start of the task
	suspects  int // crashes that the task has probably caused; see isSuspect
	ages      ageRange
	// lone counts the crashes of workers that were lost alone, at any age. No
	// attempt has outlived loneAge since.
	lone    int
	loneAge time.Duration
}

const (
	// minConfirmedCrashes is the number of workers that must have crashed under a
	// task, which they are known to have started, for it to be given up.
	minConfirmedCrashes = 2
	// maxSuspectCrashes is the number of workers that a task may crash, as far as
	// it is suspected. It is more than minConfirmedCrashes, since a crash may be
	// mistaken.
	maxSuspectCrashes = 3
	// maxCrashes is the number of workers that may crash under a task, suspected
	// or not, known to have started it or not, each at about the same age of its
	// attempt.
	maxCrashes = 5
	// maxLoneCrashes is the number of workers that may be lost alone under a task, at
	// any age of its attempts.
	maxLoneCrashes = 5
	// ageTolerance is the error of the ages of attempts, which contain the
	// latency of calls and the delay of their processing.
	ageTolerance = 500 * time.Millisecond
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
func (ch crashHistory) withCrash(lr lostRun) crashHistory {
	if ch.count == 0 || !ch.ages.overlaps(lr.age) {
		ch = crashHistory{ages: lr.age, lone: ch.lone, loneAge: ch.loneAge}
	}
	if lr.lone {
		ch.lone++
		ch.loneAge = max(ch.loneAge, lr.age.atMost())
	}
	ch.count++
	if lr.confirmed {
		ch.confirmed++
	}
	if lr.suspect {
		ch.suspects++
	}
	ch.ages = ch.ages.intersect(lr.age)
	return ch
}

// isGuilty reports whether a task has crashed so many workers that it is given
// up. open counts its runs of which it is unknown whether their workers have
// crashed.
func (ch crashHistory) isGuilty(open openRuns) bool {
	if ch.lone+open.lone >= maxLoneCrashes {
		return true
	}
	if ch.confirmed < minConfirmedCrashes {
		return ch.count >= maxCrashes
	}
	return ch.suspects >= maxSuspectCrashes || ch.count+open.sameAge >= maxCrashes
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
	ch := un.crashes[lr.task.Index].withCrash(lr)
	un.crashes[lr.task.Index] = ch
	co.markDirty(un.job)
	co.emit(LogDecision{
		Decision: "crashed", Job: un.job.ID, Task: lr.task.String(), Queue: un.job.Queue.Name, Attempt: lr.attempt, Worker: lr.worker.ID,
		Crashes: ch.count, Suspected: ch.suspects,
	})
	if ch.isGuilty(co.openLosses.count(lr)) {
		co.endJob(now, un.job, batch.Failed, fmt.Sprintf("task %s has crashed %d workers", lr.task, ch.count))
	}
}

// crashRecords returns the crash histories of a unit for the store.
func (un *unit) crashRecords() []batch.TaskCrashes {
	if len(un.crashes) == 0 {
		return nil
	}
	var tcs []batch.TaskCrashes
	for _, index := range slices.Sorted(maps.Keys(un.crashes)) {
		ch := un.crashes[index]
		tcs = append(tcs, batch.TaskCrashes{
			Index: index, Count: ch.count, Confirmed: ch.confirmed, Suspected: ch.suspects, MinAge: ch.ages.min, MaxAge: ch.ages.bound(),
			Lone: ch.lone, LoneAge: ch.loneAge,
		})
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
		un.crashes[tc.Index] = crashHistory{
			count: tc.Count, confirmed: tc.Confirmed, suspects: tc.Suspected, ages: ages, lone: tc.Lone, loneAge: tc.LoneAge,
		}
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
	lived := aliveAt.Sub(ru.sentAt) - ageTolerance
	if lived > ch.loneAge {
		ch.lone, ch.loneAge = 0, 0
	}
	if lived > ch.ages.max {
		ch = crashHistory{lone: ch.lone, loneAge: ch.loneAge}
	}
	if ch == (crashHistory{}) {
		delete(un.crashes, ru.task.Index)
		return
	}
	un.crashes[ru.task.Index] = ch
}
