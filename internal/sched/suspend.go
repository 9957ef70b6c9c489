package sched

import (
	"slices"
	"time"
)

// failureHistory holds the recent failures on a worker and the suspension that
// they caused. Failures of one job count once, and a success clears them, so
// that a faulty job does not suspend a healthy worker. A suspended worker is used
// again after a period that doubles with every suspension until the next success.
// Until then it is on probation: one failure suspends it again.
type failureHistory struct {
	failedJobs     []string      // IDs of the jobs that failed on the worker since its last success or suspension
	suspendedUntil time.Time     // end of the last suspension
	suspensionTime time.Duration // length of the last suspension
	probation      bool
}

const (
	// suspendAfterJobs is how many different jobs must fail without a success
	// in between before the worker is suspended.
	suspendAfterJobs = 3
	minSuspension    = time.Minute
	maxSuspension    = time.Hour
	suspensionFactor = 2
)

// recordSuccess returns the history after a gang with a task on the worker has
// succeeded.
func (fh failureHistory) recordSuccess() failureHistory { return failureHistory{} }

// recordFailure returns the history after a task of a job has failed, and whether
// that suspends the worker.
func (fh failureHistory) recordFailure(now time.Time, job string) (failureHistory, bool) {
	if fh.suspended(now) || slices.Contains(fh.failedJobs, job) {
		return fh, false
	}
	fh.failedJobs = append(slices.Clone(fh.failedJobs), job)
	if len(fh.failedJobs) < suspendAfterJobs && !fh.probation {
		return fh, false
	}
	fh.suspensionTime = min(maxSuspension, max(minSuspension, fh.suspensionTime*suspensionFactor))
	fh.suspendedUntil = now.Add(fh.suspensionTime)
	fh.probation = true
	fh.failedJobs = nil
	return fh, true
}

// withoutJob returns the history without the failures of a job that is taken to
// be faulty itself.
func (fh failureHistory) withoutJob(job string) failureHistory {
	fh.failedJobs = slices.DeleteFunc(slices.Clone(fh.failedJobs), func(id string) bool { return id == job })
	return fh
}

func (fh failureHistory) suspended(now time.Time) bool { return now.Before(fh.suspendedUntil) }
