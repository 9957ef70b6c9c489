package domain

import (
	"time"

	"github.com/cicadawharf/cicadawharf/internal/batch"
	"github.com/cicadawharf/cicadawharf/internal/runner"
)

// An end is acknowledged once the store has what it changed and, if the task has succeeded
// or failed, once no copy of a start of it can arrive at the worker any more (package
// launch). If the worker restarts before that, the end is lost with the incarnation, so
// that a copy which the next one carries out is the only run that counts. What callers see
// of the task doesn't wait for that. Ends are acknowledged in order, so an end holds back
// the later ones of its worker.

type (
	// pendingEnd is an end that has been processed and is not acknowledged yet.
	pendingEnd struct {
		number  int64
		task    batch.TaskID
		job     *job // nil if the end changed nothing
		version int  // of the job, that accounts for the end
		counts  bool // copies of starts of the task matter
		readAt  time.Time
	}

	// endCounts counts ends, in this term.
	endCounts struct {
		read       int // processed
		late       int // held back by copies of starts for lateAckTime
		reported   EndReport
		reportedAt time.Time
	}
)

const (
	// lateAckTime is the time after which an end counts as acknowledged late. Workers have
	// to be told within 5 s of nearly all ends.
	lateAckTime = 4500 * time.Millisecond
	// maxLateShare is the part of the ends, one of so many, that may be late, and
	// minLateEnds the number that always may. Beyond that, ends are acknowledged after
	// lateAckTime, whatever may arrive.
	maxLateShare = 10
	minLateEnds  = 32
)

// newPendingEnd returns an end with the version of its job that accounts for it. The end of
// a stopped task without a checkpoint needs no record: a successor that does not find the
// run restarts the task as well.
func (co *Core) newPendingEnd(now time.Time, en runner.End) pendingEnd {
	pe := pendingEnd{number: en.Number, task: en.Task, readAt: now}
	pe.counts = en.Reason == runner.Succeeded || en.Reason == runner.Failed
	if en.Reason == runner.Stopped && en.Checkpoint == "" {
		return pe
	}
	if jb, ok := co.jobs[en.Task.Job]; ok && jb.savedVersion < jb.version {
		pe.job = jb
		pe.version = jb.version
	}
	return pe
}

// advanceSavedEnd advances savedEnd past the ends that may be acknowledged. The next poll
// acknowledges them to the worker.
func (co *Core) advanceSavedEnd(now time.Time, nd *node) {
	for len(nd.pendingEnds) > 0 {
		pe := nd.pendingEnds[0]
		if !pe.isSaved() || co.holdsEnd(now, nd, pe) {
			return
		}
		nd.savedEnd = pe.number
		nd.pendingEnds = nd.pendingEnds[1:]
		nd.lateEnds = max(0, nd.lateEnds-1)
	}
}

// isSaved reports whether the store has what an end changed.
func (pe pendingEnd) isSaved() bool { return pe.job == nil || pe.job.savedVersion >= pe.version }

// endPollDelay returns the minimum time until the next poll of a worker some of whose ends
// are not acknowledged yet.
func (nd *node) endPollDelay() time.Duration {
	if nd.pendingEnds[0].isSaved() {
		return heldEndPollDelay
	}
	return pendingEndPollDelay
}

// holdsEnd reports whether the first end of a worker has to wait for copies of starts of
// its task, and counts the ends that are late for that. If the worker has more ends than it
// lists, none waits, since what has ended would not be known.
func (co *Core) holdsEnd(now time.Time, nd *node, pe pendingEnd) bool {
	if !pe.counts || nd.moreEnds || co.calls.ArrivesUntil(now, nd.worker.ID, pe.task).IsZero() {
		return false
	}
	ld := LogDecision{Worker: nd.worker.ID, Task: pe.task.String(), Beside: len(nd.pendingEnds) - 1}
	for _, other := range nd.pendingEnds[nd.lateEnds:] {
		if now.Sub(other.readAt) < lateAckTime {
			break
		}
		if !co.ends.mayBeLate() {
			ld.Decision, ld.Reason = "releasesEnds", "too many ends wait for copies of starts"
			co.emit(ld)
			return false
		}
		if nd.lateEnds == 0 {
			ld.Decision, ld.Reason = "holdsEnds", "a copy of a start of the task may still arrive"
			co.emit(ld)
		}
		nd.lateEnds++
		co.ends.late++
	}
	return true
}

// mayBeLate reports whether another end may be acknowledged late.
func (ec endCounts) mayBeLate() bool { return ec.late < max(minLateEnds, ec.read/maxLateShare) }

// dropPendingEnds drops the ends of a worker that waits for no acknowledgement of them.
func (nd *node) dropPendingEnds() { nd.pendingEnds, nd.lateEnds = nil, 0 }

// reportEnds reports the number of ends if it has changed, at most once a second.
func (co *Core) reportEnds(now time.Time) {
	er := EndReport{Read: co.ends.read, Late: co.ends.late}
	if er == co.ends.reported || now.Sub(co.ends.reportedAt) < reportInterval {
		return
	}
	co.ends.reported, co.ends.reportedAt = er, now
	co.emit(er)
}
