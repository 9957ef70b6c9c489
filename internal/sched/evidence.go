package sched

import (
	"slices"
	"time"
)

// evidence judges a worker by the jobs that have failed on it. Failures of one
// job count once, and a success wipes them, so that a bad job does not condemn
// a good worker. A worker that was put aside comes back after a pause that
// doubles each time; until its next success, one failure puts it aside again.
type evidence struct {
	failed    []string // jobs that failed there since the last success
	until     time.Time
	pause     time.Duration
	probation bool
}

const (
	// asideJobs is how many different jobs must fail in a row.
	asideJobs     = 3
	firstPause    = time.Minute
	longestPause  = time.Hour
	pauseIncrease = 2
)

// succeeded returns the evidence after a task's success.
func (evd evidence) succeeded() evidence { return evidence{} }

// failedBy returns the evidence after a failure of a job's task, and whether
// the worker is put aside by it.
func (evd evidence) failedBy(now time.Time, job string) (evidence, bool) {
	if evd.aside(now) || slices.Contains(evd.failed, job) {
		return evd, false
	}
	evd.failed = append(slices.Clone(evd.failed), job)
	if len(evd.failed) < asideJobs && !evd.probation {
		return evd, false
	}
	evd.pause = min(longestPause, max(firstPause, evd.pause*pauseIncrease))
	evd.until = now.Add(evd.pause)
	evd.probation = true
	evd.failed = nil
	return evd, true
}

// pardoned returns the evidence without a job that failed elsewhere, too.
func (evd evidence) pardoned(job string) evidence {
	evd.failed = slices.DeleteFunc(slices.Clone(evd.failed), func(id string) bool { return id == job })
	return evd
}

func (evd evidence) aside(now time.Time) bool { return now.Before(evd.until) }
