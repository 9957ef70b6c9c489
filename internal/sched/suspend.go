package sched

import (
	"slices"
	"time"
)

// failureRecord decides whether to suspend a worker because jobs fail on it.
// Failures of one job count once, and a success clears them, so that a faulty
// job does not suspend a healthy worker. A suspended worker is used again after
// a period that doubles each time. It is then on probation until its next
// success: one failure suspends it again.
type failureRecord struct {
	failedJobs []string // jobs that failed on the worker since its last success
	until      time.Time
	suspension time.Duration
	probation  bool
}

const (
	// suspendAfterJobs is how many different jobs must fail without a success.
	suspendAfterJobs = 3
	minSuspension    = time.Minute
	maxSuspension    = time.Hour
	suspensionFactor = 2
)

// recordSuccess returns the record after a task has succeeded.
func (fr failureRecord) recordSuccess() failureRecord { return failureRecord{} }

// recordFailure returns the record after a task of a job has failed, and whether
// that suspends the worker.
func (fr failureRecord) recordFailure(now time.Time, job string) (failureRecord, bool) {
	if fr.suspended(now) || slices.Contains(fr.failedJobs, job) {
		return fr, false
	}
	fr.failedJobs = append(slices.Clone(fr.failedJobs), job)
	if len(fr.failedJobs) < suspendAfterJobs && !fr.probation {
		return fr, false
	}
	fr.suspension = min(maxSuspension, max(minSuspension, fr.suspension*suspensionFactor))
	fr.until = now.Add(fr.suspension)
	fr.probation = true
	fr.failedJobs = nil
	return fr, true
}

// withoutJob returns the record without the failures of a job that has failed
// on another worker, too.
func (fr failureRecord) withoutJob(job string) failureRecord {
	fr.failedJobs = slices.DeleteFunc(slices.Clone(fr.failedJobs), func(id string) bool { return id == job })
	return fr
}

func (fr failureRecord) suspended(now time.Time) bool { return now.Before(fr.until) }
