package domain

import (
	"fmt"
	"time"
)

// Standing is what runs on a worker.
type Standing struct {
	Idle     bool // nothing, as the worker has said itself
	Pinned   bool // some work that may not be interrupted now
	Draining bool // the worker gets no new work in any case
}

const (
	// checkpointLead is how long before its worker leaves a task with checkpoints is
	// stopped: for the stop, and for the look that brings its last checkpoint.
	checkpointLead = 1200 * time.Millisecond
	// finishMargin is kept between the expected end of a task and its worker's.
	finishMargin = 300 * time.Millisecond
	// minObservedPercent is how far a task must have come under observation for its
	// pace to be taken from that.
	minObservedPercent = 4
)

// setLeavesAt notes by when a worker that drains may be gone. The platform says
// how much time is left at least, and says it late.
func (nd *node) setLeavesAt(now time.Time) {
	if !nd.worker.Draining || nd.worker.Leaves <= 0 {
		nd.leavesAt = time.Time{}
		return
	}
	at := now.Add(nd.worker.Leaves)
	if nd.leavesAt.IsZero() || at.Before(nd.leavesAt) {
		nd.leavesAt = at
	}
}

// setDrainDeadlines takes the workers that should be clear of work for their upkeep.
func (co *Core) setDrainDeadlines(now time.Time, by map[string]time.Time) {
	for _, nd := range co.nodesByID() {
		at := by[nd.worker.ID]
		co.passDue = co.passDue || at.IsZero() != nd.drainBy.IsZero()
		nd.drainBy = at
		co.drainNode(now, nd)
	}
}

// workerDown ends all that ran on a worker whose machine has gone down on request.
func (co *Core) workerDown(now time.Time, id string) {
	if nd, ok := co.nodes[id]; ok {
		nd.listed = false
		co.endIncarnation(now, nd)
	}
}

// Standing returns what runs on a worker.
func (co *Core) Standing(worker string) Standing {
	nd, ok := co.nodes[worker]
	if !ok {
		return Standing{Idle: true}
	}
	st := Standing{Idle: len(nd.runs) == 0 && !nd.silent(), Draining: nd.worker.Draining}
	for _, ru := range nd.runs {
		if un := ru.unit; un != nil && un.step.Lasting && !un.preemptible() {
			st.Pinned = true
		}
	}
	return st
}

// drainDeadline is when a worker should be clear of work; zero if it need not be.
func (nd *node) drainDeadline() time.Time {
	if nd.leavesAt.IsZero() || (!nd.drainBy.IsZero() && nd.drainBy.Before(nd.leavesAt)) {
		return nd.drainBy
	}
	return nd.leavesAt
}

// drainNode moves work off a worker that leaves or goes down, if it would not end
// there in time. Work with checkpoints goes on until just before; what would be
// lost anyway begins anew elsewhere at once.
func (co *Core) drainNode(now time.Time, nd *node) {
	at := nd.drainDeadline()
	if at.IsZero() || nd.silent() {
		return
	}
	left := at.Sub(now)
	for _, ru := range nd.sortedRuns() {
		un := ru.unit
		if un == nil || un.phase != live || !un.allRunning() {
			continue
		}
		if !un.step.Lasting && un.remainingTime(now) <= left-finishMargin {
			continue
		}
		if un.step.Checkpoints && left > checkpointLead {
			continue
		}
		if un.step.Lasting && !nd.worker.Draining && !un.preemptible() {
			continue
		}
		co.stopUnit(now, un, fmt.Sprintf("worker %s goes in %v", nd.worker.ID, left.Round(time.Millisecond)))
	}
}

// remainingTime returns how long a unit is expected to run on.
func (un *unit) remainingTime(now time.Time) time.Duration {
	var longest time.Duration
	for _, ru := range un.runs {
		longest = max(longest, ru.remainingTime(now))
	}
	return longest
}

// remainingTime goes by the pace of the task since it was first listed, and by its
// declared run time before there is one.
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
