package place

import (
	"cmp"
	"slices"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/jobs"
)

type (
	// Waiting is a job in the queue of an availability zone.
	Waiting struct {
		Job       string
		Workspace string
		Priority  jobs.Priority
		Submitted time.Time
	}

	// Queue hands out waiting jobs in the order in which they may try to be
	// placed. Jobs that have waited for the ageing time come first, the oldest
	// in front. Of the others, the workspace that holds least for its weight
	// comes first, and within it the most urgent job, then the oldest: a
	// workspace with few jobs gets through beside one with many.
	Queue struct {
		fleet  *Fleet
		weight func(workspace string) int
		aged   []Waiting
		lines  []line
	}

	// line is the waiting jobs of one workspace, in their order.
	line struct {
		workspace string
		weight    int
		jobs      []Waiting
	}
)

// AgeingTime is how long a job waits until nothing may pass it that would keep
// it waiting longer.
const AgeingTime = 20 * time.Minute

// NewQueue returns a queue of some jobs over a fleet, whose gangs may change
// while the queue is read.
func NewQueue(now time.Time, fl *Fleet, weight func(workspace string) int, waiting []Waiting) *Queue {
	qu := &Queue{fleet: fl, weight: weight}
	byName := map[string]int{}
	slices.SortFunc(waiting, compareWaiting)
	for _, wa := range waiting {
		if now.Sub(wa.Submitted) >= AgeingTime {
			qu.aged = append(qu.aged, wa)
			continue
		}
		at, ok := byName[wa.Workspace]
		if !ok {
			at = len(qu.lines)
			byName[wa.Workspace] = at
			qu.lines = append(qu.lines, line{workspace: wa.Workspace, weight: max(1, weight(wa.Workspace))})
		}
		qu.lines[at].jobs = append(qu.lines[at].jobs, wa)
	}
	slices.SortStableFunc(qu.aged, func(a, b Waiting) int { return a.Submitted.Compare(b.Submitted) })
	return qu
}

// Next returns the next job and whether it has aged; false at the end.
func (qu *Queue) Next() (wa Waiting, aged, ok bool) {
	if len(qu.aged) > 0 {
		wa = qu.aged[0]
		qu.aged = qu.aged[1:]
		return wa, true, true
	}
	if len(qu.lines) == 0 {
		return Waiting{}, false, false
	}
	at := 0
	for i := range qu.lines {
		if qu.compareLines(qu.lines[i], qu.lines[at]) < 0 {
			at = i
		}
	}
	li := &qu.lines[at]
	wa = li.jobs[0]
	li.jobs = li.jobs[1:]
	if len(li.jobs) == 0 {
		qu.lines = slices.Delete(qu.lines, at, at+1)
	}
	return wa, false, true
}

func (qu *Queue) compareLines(a, b line) int {
	return cmp.Or(
		cmp.Compare(qu.fleet.Held(a.workspace)*b.weight, qu.fleet.Held(b.workspace)*a.weight),
		cmp.Compare(a.workspace, b.workspace),
	)
}

func compareWaiting(a, b Waiting) int {
	return cmp.Or(
		cmp.Compare(b.Priority, a.Priority),
		a.Submitted.Compare(b.Submitted),
		cmp.Compare(a.Job, b.Job),
	)
}
