package sched

import (
	"slices"
	"time"
)

// failureRecord judges a worker by the jobs that have failed on it. Failures of one
// job count once, and a success wipes them, so that a bad job does not condemn
// a good worker. A worker that was put aside comes back after a pause that
// doubles each time; until its next success, one failure puts it aside again.
type failureRecord struct {
	failedJobs []string // jobs that failed there since the last success
	until      time.Time
	suspension time.Duration
	probation  bool
}

const (
	// suspendAfterJobs is how many different jobs must fail in a row.
	suspendAfterJobs = 3
	minSuspension    = time.Minute
	maxSuspension    = time.Hour
	suspensionFactor = 2
)

// recordSuccess returns the evidence after a task's success.
func (fr failureRecord) recordSuccess() failureRecord { return failureRecord{} }

// recordFailure returns the evidence after a failure of a job's task, and whether
// the worker is put aside by it.
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

// withoutJob returns the evidence without a job that failed elsewhere, too.
func (fr failureRecord) withoutJob(job string) failureRecord {
	fr.failedJobs = slices.DeleteFunc(slices.Clone(fr.failedJobs), func(id string) bool { return id == job })
	return fr
}

func (fr failureRecord) suspended(now time.Time) bool { return now.Before(fr.until) }
