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
	// saveTime is how long before its worker leaves a task with checkpoints is
	// stopped: for the stop, and for the look that brings its last checkpoint.
	saveTime = 1200 * time.Millisecond
	// endMargin is kept between the expected end of a task and its worker's.
	endMargin = 300 * time.Millisecond
	// seenPercents is how far a task must have come under observation for its
	// pace to be taken from that.
	seenPercents = 4
)

// noteLeaving notes by when a worker that drains may be gone. The platform says
// how much time is left at least, and says it late.
func (nd *node) noteLeaving(now time.Time) {
	if !nd.worker.Draining || nd.worker.Leaves <= 0 {
		nd.leaves = time.Time{}
		return
	}
	at := now.Add(nd.worker.Leaves)
	if nd.leaves.IsZero() || at.Before(nd.leaves) {
		nd.leaves = at
	}
}

// empty takes the workers that should be clear of work for their upkeep.
func (co *Core) empty(now time.Time, by map[string]time.Time) {
	for _, nd := range co.byID() {
		at := by[nd.worker.ID]
		co.pass = co.pass || at.IsZero() != nd.emptyBy.IsZero()
		nd.emptyBy = at
		co.clearWorker(now, nd)
	}
}

// downed ends all that ran on a worker whose machine has gone down on request.
func (co *Core) downed(now time.Time, id string) {
	if nd, ok := co.nodes[id]; ok {
		nd.listed = false
		co.endLife(now, nd)
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
		if un := ru.unit; un != nil && un.step.Lasting && !un.mayInterrupt() {
			st.Pinned = true
		}
	}
	return st
}

// emptyAt is when a worker should be clear of work; zero if it need not be.
func (nd *node) emptyAt() time.Time {
	if nd.leaves.IsZero() || (!nd.emptyBy.IsZero() && nd.emptyBy.Before(nd.leaves)) {
		return nd.emptyBy
	}
	return nd.leaves
}

// clearWorker moves work off a worker that leaves or goes down, if it would not end
// there in time. Work with checkpoints goes on until just before; what would be
// lost anyway begins anew elsewhere at once.
func (co *Core) clearWorker(now time.Time, nd *node) {
	at := nd.emptyAt()
	if at.IsZero() || nd.silent() {
		return
	}
	left := at.Sub(now)
	for _, ru := range nd.sortedRuns() {
		un := ru.unit
		if un == nil || un.phase != live || !un.allRunning() {
			continue
		}
		if !un.step.Lasting && un.timeLeft(now) <= left-endMargin {
			continue
		}
		if un.step.Checkpoints && left > saveTime {
			continue
		}
		if un.step.Lasting && !nd.worker.Draining && !un.mayInterrupt() {
			continue
		}
		co.stopUnit(now, un, fmt.Sprintf("worker %s goes in %v", nd.worker.ID, left.Round(time.Millisecond)))
	}
}

// timeLeft returns how long a unit is expected to run on.
func (un *unit) timeLeft(now time.Time) time.Duration {
	var longest time.Duration
	for _, ru := range un.runs {
		longest = max(longest, ru.timeLeft(now))
	}
	return longest
}

// timeLeft goes by the pace of the task since it was first listed, and by its
// declared run time before there is one.
func (ru *run) timeLeft(now time.Time) time.Duration {
	if come := ru.percent - ru.firstPercent; come >= seenPercents {
		pace := ru.movedAt.Sub(ru.firstAt) / time.Duration(come)
		return time.Duration(100-ru.percent)*pace - now.Sub(ru.movedAt)
	}
	if ru.firstAt.IsZero() {
		return ru.unit.step.RunTime - now.Sub(ru.seenAt)
	}
	return time.Duration(100-ru.firstPercent)*ru.unit.step.RunTime/100 - now.Sub(ru.firstAt)
}
