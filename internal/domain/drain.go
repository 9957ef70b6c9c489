package domain

import (
	"fmt"
	"time"
)

// Occupancy describes what occupies a worker.
type Occupancy struct {
	Idle            bool  // nothing runs, by the worker's own report
	Uninterruptible bool  // some long-running work can't be interrupted now
	Draining        bool  // the platform has announced that the worker leaves
	Born            int64 // identifies its incarnation; zero if unknown
}

const (
	// checkpointLead is how long before its worker's drain deadline a task with
	// checkpoints is stopped. It covers the stop and the poll that returns
	// the last checkpoint.
	checkpointLead = 1200 * time.Millisecond
	// finishMargin is the minimum time between the expected end of a task and
	// the drain deadline of its worker.
	finishMargin = 300 * time.Millisecond
	// minObservedPercent is the observed progress from which a task's pace is
	// measured.
	minObservedPercent = 4
)

// setDepartsAt sets the time from which the platform may take a draining worker
// away. The platform gives a lower bound for the remaining time, and its entries
// arrive with a delay, so the earliest time counts.
func (nd *node) setDepartsAt(now time.Time) {
	if !nd.worker.Draining || nd.worker.Leaves <= 0 {
		nd.departsAt = time.Time{}
		return
	}
	at := now.Add(nd.worker.Leaves)
	if nd.departsAt.IsZero() || at.Before(nd.departsAt) {
		nd.departsAt = at
	}
}

// setDrainDeadlines replaces the set of workers to be drained for maintenance,
// with their deadlines.
func (co *Core) setDrainDeadlines(now time.Time, by map[string]time.Time) {
	co.drainDeadlines = by
	for _, nd := range co.nodesByID() {
		deadline := by[nd.worker.ID]
		co.passDue = co.passDue || deadline.IsZero() != nd.drainBy.IsZero()
		nd.drainBy = deadline
		co.drainNode(now, nd)
	}
}

// workerDown ends all runs of a worker whose machine was shut down on request.
func (co *Core) workerDown(now time.Time, id string) {
	if nd, ok := co.nodes[id]; ok {
		co.setListed(nd, false)
		co.endIncarnation(now, nd, ShutDown)
	}
}

// Occupancy returns what occupies a worker.
func (co *Core) Occupancy(worker string) Occupancy {
	nd, ok := co.nodes[worker]
	if !ok {
		return Occupancy{Idle: true}
	}
	oc := Occupancy{Idle: len(nd.runs) == 0 && !nd.unresponsive(), Draining: nd.worker.Draining, Born: nd.worker.Born}
	for _, ru := range nd.runs {
		if un := ru.unit; un != nil && un.step.LongRunning && !un.preemptible() {
			oc.Uninterruptible = true
		}
	}
	return oc
}

// drainDeadline returns when a worker should be free of work: the earlier of its
// departure and the deadline for maintenance; zero if there is neither.
func (nd *node) drainDeadline() time.Time {
	if nd.departsAt.IsZero() || (!nd.drainBy.IsZero() && nd.drainBy.Before(nd.departsAt)) {
		return nd.drainBy
	}
	return nd.departsAt
}

// drainNode stops work on a worker that would not end there before the drain
// deadline. Work with checkpoints continues until shortly before the deadline.
// Work that would be lost anyway is stopped at once, to be restarted elsewhere.
func (co *Core) drainNode(now time.Time, nd *node) {
	deadline := nd.drainDeadline()
	if deadline.IsZero() || nd.unresponsive() {
		return
	}
	left := deadline.Sub(now)
	for _, ru := range nd.sortedRuns() {
		un := ru.unit
		if un == nil || un.phase != live || !un.allRunning() {
			continue
		}
		if !un.step.LongRunning && un.remainingTime(now) <= left-finishMargin {
			continue
		}
		if un.step.Checkpoints && left > checkpointLead {
			continue
		}
		if un.step.LongRunning && !nd.worker.Draining && !un.preemptible() {
			continue
		}
		co.stopUnit(now, un, fmt.Sprintf("worker %s has to be free of work in %v", nd.worker.ID, left.Round(time.Millisecond)))
	}
}

// remainingTime returns the expected remaining run time of a unit.
func (un *unit) remainingTime(now time.Time) time.Duration {
	var longest time.Duration
	for _, ru := range un.runs {
		longest = max(longest, ru.remainingTime(now))
	}
	return longest
}

// remainingTime extrapolates the pace of the task since it was first listed.
// Until a pace can be measured, it uses the declared run time.
func (ru *run) remainingTime(now time.Time) time.Duration {
	if observed := ru.percent - ru.firstSeenPercent; observed >= minObservedPercent {
		pace := ru.progressAt.Sub(ru.firstSeenAt) / time.Duration(observed)
		return time.Duration(100-ru.percent)*pace - now.Sub(ru.progressAt)
	}
	if ru.firstSeenAt.IsZero() {
		return ru.unit.step.RunTime - now.Sub(ru.confirmedAt)
	}
	return time.Duration(100-ru.firstSeenPercent)*ru.unit.step.RunTime/100 - now.Sub(ru.firstSeenAt)
}
