package place

import (
	"cmp"
	"slices"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/jobs"
)

type (
	// QueuedJob is a job in the queue of an availability zone. Its age counts from
	// Submitted.
	QueuedJob struct {
		Job       string
		Workspace string
		Priority  jobs.Priority
		Submitted time.Time
	}

	// Queue returns waiting jobs in the order in which the scheduler tries to
	// place them. Jobs that have waited for AgeingTime come first, the oldest
	// first. Of the others, the workspace with the least usage for its weight
	// comes first (weighted fair sharing), and within it the most urgent job,
	// then the oldest. A workspace with many jobs therefore can't starve one
	// with few.
	Queue struct {
		fleet    *Fleet
		weight   func(workspace string) int
		aged     []QueuedJob
		backlogs []backlog
	}

	// backlog is the list of waiting jobs of one workspace, in the order in
	// which Next returns them.
	backlog struct {
		workspace string
		weight    int
		jobs      []QueuedJob
	}
)

// AgeingTime is how long a job waits before it takes precedence over all younger
// jobs, and may get workers reserved by ReserveForAged.
const AgeingTime = 20 * time.Minute

// NewQueue returns a queue of the waiting jobs, which it reorders. Gangs may be
// added to and removed from the fleet between calls of Next.
func NewQueue(now time.Time, fl *Fleet, weight func(workspace string) int, waiting []QueuedJob) *Queue {
	qu := &Queue{fleet: fl, weight: weight}
	backlogIndex := map[string]int{}
	slices.SortFunc(waiting, compareQueued)
	for _, qj := range waiting {
		if now.Sub(qj.Submitted) >= AgeingTime {
			qu.aged = append(qu.aged, qj)
			continue
		}
		at, ok := backlogIndex[qj.Workspace]
		if !ok {
			at = len(qu.backlogs)
			backlogIndex[qj.Workspace] = at
			qu.backlogs = append(qu.backlogs, backlog{workspace: qj.Workspace, weight: max(1, weight(qj.Workspace))})
		}
		qu.backlogs[at].jobs = append(qu.backlogs[at].jobs, qj)
	}
	slices.SortStableFunc(qu.aged, func(a, b QueuedJob) int { return a.Submitted.Compare(b.Submitted) })
	return qu
}

// Next removes and returns the next job and whether it has aged; ok is false if
// the queue is empty.
func (qu *Queue) Next() (qj QueuedJob, aged, ok bool) {
	if len(qu.aged) > 0 {
		qj = qu.aged[0]
		qu.aged = qu.aged[1:]
		return qj, true, true
	}
	if len(qu.backlogs) == 0 {
		return QueuedJob{}, false, false
	}
	at := 0
	for i := range qu.backlogs {
		if qu.compareBacklogs(qu.backlogs[i], qu.backlogs[at]) < 0 {
			at = i
		}
	}
	bl := &qu.backlogs[at]
	qj = bl.jobs[0]
	bl.jobs = bl.jobs[1:]
	if len(bl.jobs) == 0 {
		qu.backlogs = slices.Delete(qu.backlogs, at, at+1)
	}
	return qj, false, true
}

// compareBacklogs orders backlogs by the workspace's usage divided by its weight.
func (qu *Queue) compareBacklogs(a, b backlog) int {
	return cmp.Or(
		cmp.Compare(qu.fleet.Usage(a.workspace)*b.weight, qu.fleet.Usage(b.workspace)*a.weight),
		cmp.Compare(a.workspace, b.workspace),
	)
}

func compareQueued(a, b QueuedJob) int {
	return cmp.Or(
		cmp.Compare(b.Priority, a.Priority),
		a.Submitted.Compare(b.Submitted),
		cmp.Compare(a.Job, b.Job),
	)
}
