package domain

import (
	"time"

	"github.com/cicadawharf/cicadawharf/internal/batch"
	"github.com/cicadawharf/cicadawharf/internal/launch"
)

// A start without a reply is sent again, and any copy of it may arrive late. So the store
// names a start as repeated before its second copy is sent: a successor knows of any other
// start that at most one copy was sent, and that none is left if the worker has carried it
// out.

// callPruneInterval is the time between two searches for calls that no longer matter.
const callPruneInterval = time.Second

// handleUnanswered has a start sent a second time that has had no reply.
func (co *Core) handleUnanswered(now time.Time, ev Unanswered) {
	rq := ev.Call.Request
	if _, ru := co.findRun(ev.Call.Worker.ID, rq.Task, rq.Attempt); ru != nil && ru.stage == starting && ru.unit != nil {
		co.recordRepeat(ru)
		co.sendRepeats(now)
	}
}

// recordRepeat has the store name the start of a run as repeated, and the start sent again
// after that.
func (co *Core) recordRepeat(ru *run) {
	switch {
	case ru.isRepeatRecorded():
	case !co.calls.MakeRepeatable(ru.call):
		return // it waits for the store, or too many do
	default:
		co.markDirty(ru.unit.job)
		co.commits.urgent = true
		ru.repeatVersion = ru.unit.job.version
	}
	co.repeats = append(co.repeats, ru)
}

// isRepeatRecorded reports whether the store names the start of a run as repeated.
func (ru *run) isRepeatRecorded() bool {
	return ru.call.IsRepeatable() && ru.unit.job.savedVersion >= ru.repeatVersion
}

// sendRepeats sends the starts a second time that the store names by now. If the call has
// returned in the meantime, a poll shows whether it is to be made again.
func (co *Core) sendRepeats(now time.Time) {
	var left []*run
	for _, ru := range co.repeats {
		switch {
		case ru.stage != starting && ru.stage != adopted, ru.unit == nil, ru.stop.requested:
		case !ru.isRepeatRecorded():
			left = append(left, ru)
		case ru.call.MayRepeat():
			ru.call.Repeat()
			co.emit(Repeat{Worker: ru.node.worker.ID, Task: ru.task, Attempt: ru.attempt})
		case !ru.call.IsOpen():
			co.pollNow(now, ru.node)
		}
	}
	co.repeats = left
}

// recordOf returns the state of a job for the store.
func (co *Core) recordOf(now time.Time, jb *job) batch.Record {
	rc := jb.record()
	for _, ca := range co.calls.Repeatable(now, jb.ID) {
		rc.RepeatedStarts = append(rc.RepeatedStarts, batch.RepeatedStart{Task: ca.Task(), Attempt: ca.Attempt(), Worker: ca.Worker()})
	}
	return rc
}

// restoreRepeats restores the starts that a record names as repeated.
func (co *Core) restoreRepeats(now time.Time, rc batch.Record) {
	for _, rs := range rc.RepeatedStarts {
		ca := co.calls.Begin(rs.Worker, rs.Task, rs.Attempt)
		co.calls.MakeRepeatable(ca)
		ca.Adopt(now, now.Add(MaxRenewalAge))
	}
}

// pruneCalls drops the calls that no longer matter, from time to time.
func (co *Core) pruneCalls(now time.Time) {
	if now.Sub(co.callsPrunedAt) >= callPruneInterval {
		co.callsPrunedAt = now
		co.examine(co.calls.Prune(now))
	}
}

// adoptCall returns the call of an earlier term that may have started an attempt.
func (co *Core) adoptCall(now time.Time, worker string, ti batch.TaskID, attempt int) *launch.Call {
	if ca := co.calls.Find(worker, ti, attempt); ca != nil {
		return ca
	}
	ca := co.calls.Begin(worker, ti, attempt)
	ca.Adopt(now, now.Add(MaxRenewalAge))
	return ca
}
