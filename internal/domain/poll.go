package domain

import (
	"errors"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/runner"
)

// sendPolls polls those poll candidates that are due. A tick makes all nodes
// candidates.
func (co *Core) sendPolls(now time.Time) {
	due := co.pollCandidates
	co.pollCandidates = co.pollCandidates[:0]
	for _, nd := range due {
		if nd.polling || now.Before(nd.nextPoll) || nd.worker.Address == "" || co.nodes[nd.worker.ID] != nd {
			continue
		}
		co.advanceSavedEnd(now, nd)
		rq := runner.PollRequest{Token: nd.fence.token}
		if nd.savedEnd > nd.ackedEnd {
			rq.Acked = nd.savedEnd
		}
		switch {
		case nd.unresponsive() && nd.isAwaited():
			// This poll grants no lease, since repeated polls would extend the
			// leases of an unresponsive worker without bound, and acknowledges
			// nothing, since the worker may have restarted. An idle worker is polled,
			// too, until it replies.
			rq.Acked = 0
		case len(nd.runs) > 0:
			rq.Deadline = co.grantLease(now, nd)
			rq.Wait = pollWait
			if len(nd.pendingEnds) > 0 {
				rq.Wait = 0
			}
		case rq.Acked > 0:
		case nd.listed && now.Sub(nd.clockAt) >= idlePollInterval:
			// The older the reading of its clock, the longer a lease may last there.
		default:
			continue
		}
		nd.fence.noteOrder(rq)
		nd.polling = true
		co.emit(Poll{Worker: nd.worker, Sent: now, Request: rq})
	}
}

// isAwaited reports whether a worker that doesn't respond is polled until it does.
func (nd *node) isAwaited() bool {
	return nd.listed || len(nd.runs) > 0 || nd.savedEnd > nd.ackedEnd
}

// pollNow polls a worker at once, in addition to a long poll, which acknowledges ends.
func (co *Core) pollNow(now time.Time, nd *node) {
	rq := runner.PollRequest{Token: nd.fence.token}
	co.emit(Poll{Worker: nd.worker, Sent: now, Request: rq, Extra: true})
}

// handlePoll processes the outcome of a poll.
func (co *Core) handlePoll(now time.Time, ev Polled) {
	co.resignIfSuperseded(ev.Call.Worker.ID, ev.Call.Request.Token, ev.Err)
	nd, ok := co.nodes[ev.Call.Worker.ID]
	if !ok {
		return
	}
	if !ev.Call.Extra && !ev.Call.Sent.Before(nd.fence.restartKnownAt) {
		nd.polling = false
	}
	co.considerPoll(nd)
	if ev.Err != nil {
		co.handlePollFailure(now, nd, ev)
		return
	}
	if nd.predates(ev) || nd.hasOvertaken(ev) {
		return
	}
	if ev.Status.Born != nd.worker.Born && ev.Status.Born != 0 && nd.worker.Born != 0 {
		co.handleRestart(now, nd, ev.Status.Born, "the worker has restarted, by its reply to a poll")
	} else {
		delete(co.silences, nd.worker.ID)
	}
	if nd.worker.Born == 0 {
		nd.worker.Born = ev.Status.Born
	}
	co.endPredecessors(now, nd, ev.Call.Sent)
	if !nd.fence.isConfirmedBy(ev.Call.Request.Token) {
		co.observeUnfenced(now, nd, ev)
		return
	}
	co.handleStatus(now, nd, ev)
}

// handleStatus processes the status of a worker that no order to a former incarnation
// can change any more.
func (co *Core) handleStatus(now time.Time, nd *node, ev Polled) {
	if nd.lastResponse.IsZero() || nd.lastFailure.After(nd.lastResponse) {
		co.passDue = true
	}
	if nd.lastResponse.IsZero() {
		co.endFencing(now, nd, ev.Call.Sent, ev.Status.Clock)
	}
	nd.lastResponse, nd.silentSince = now, time.Time{}
	nd.clock, nd.clockAt, nd.clockReadAfter = ev.Status.Clock, now, ev.Call.Sent
	nd.updateLeaseEnd()
	nd.ackedEnd = max(nd.ackedEnd, ev.Call.Request.Acked)
	co.resolveLosses(now, nd.worker)
	co.reconcile(now, nd, ev)
	nd.nextPoll = now
	if len(nd.pendingEnds) > 0 {
		nd.nextPoll = now.Add(nd.endPollDelay())
	}
}

// predates reports whether the reply to a poll is of an earlier incarnation of the
// worker than the known one. A poll that was sent since that one became known shows
// instead that the worker has not restarted, whatever its entry says.
func (nd *node) predates(ev Polled) bool {
	born := ev.Status.Born
	return born != 0 && born < nd.worker.Born && !ev.Call.Sent.After(nd.bornAt)
}

// hasOvertaken reports whether the worker has given a reply that was processed
// already later than the reply to a poll, which is out of date then.
func (nd *node) hasOvertaken(ev Polled) bool {
	return ev.Status.Born == nd.worker.Born && !nd.clockAt.IsZero() && ev.Status.Clock < nd.clock
}

// handlePollFailure processes a failed poll. runner.ErrRestarted shows that
// everything that ran on the worker has ended.
func (co *Core) handlePollFailure(now time.Time, nd *node, ev Polled) {
	if errors.Is(ev.Err, runner.ErrFenced) || nd.fence.precedes(ev.Call) {
		return // it says nothing of the present incarnation
	}
	nd.nextPoll = now.Add(pollRetryDelay)
	if nd.lastFailure.Before(nd.lastResponse) || nd.lastFailure.IsZero() {
		co.emit(LogDecision{Decision: "lookFails", Worker: nd.worker.ID, Reason: ev.Err.Error()})
	}
	co.recordSilence(now, nd)
	if errors.Is(ev.Err, runner.ErrRestarted) && ev.Call.Worker.Address == nd.worker.Address {
		co.setListed(nd, false)
		co.endIncarnation(now, nd, Replaced.unlessDeparting(nd))
	}
}

// reconcile updates the runs of a worker from its reply to a poll.
func (co *Core) reconcile(now time.Time, nd *node, ev Polled) {
	co.examine(len(ev.Status.Running))
	reported := make(map[runKey]bool, len(ev.Status.Running))
	for _, rn := range ev.Status.Running {
		key := runKey{rn.Task, rn.Attempt}
		reported[key] = true
		co.observeRun(now, nd, key, rn)
	}
	co.processEnds(now, nd, ev.Status.Ended)
	co.handleUnlisted(now, nd, ev, reported)
	co.advanceSavedEnd(now, nd)
}

// processEnds processes the ends that a worker has not reported before.
func (co *Core) processEnds(now time.Time, nd *node, page runner.EndPage) {
	nd.moreEnds = page.More
	for _, en := range page.Ends {
		if en.Number <= nd.lastEnd {
			continue
		}
		nd.lastEnd = en.Number
		co.handleEnd(now, nd, en)
		nd.pendingEnds = append(nd.pendingEnds, co.newPendingEnd(now, en))
		co.unsavedEnds[nd] = true
		co.ends.read++
	}
}

// handleUnlisted processes the runs of a worker that its reply to a poll does not
// list. They are lost, unless the reply may omit their ends.
func (co *Core) handleUnlisted(now time.Time, nd *node, ev Polled, listed map[runKey]bool) {
	present, unknown := len(nd.runs), 0
	for _, ru := range nd.sortedRuns() {
		switch {
		case listed[runKey{ru.task, ru.attempt}]:
		case ev.Status.ShowsAbsence():
			co.handleMissing(now, ru, ev.Call, present-1)
		default:
			ru.mayHaveEnded = true
			unknown++
		}
	}
	if unknown > 0 && !nd.endsOmitted {
		co.emit(LogDecision{
			Decision: "endsOmitted", Worker: nd.worker.ID, Beside: unknown,
			Reason: "the list of ends is full, so attempts that are not listed may have ended",
		})
	}
	nd.endsOmitted = unknown > 0
}

// observeRun processes a run that a worker lists. A run that no record names is
// stopped.
func (co *Core) observeRun(now time.Time, nd *node, key runKey, rn runner.Run) {
	ru, ok := nd.runs[key]
	if !ok {
		co.stopUnrecorded(now, nd, rn)
		return
	}
	if ru.stage == starting || ru.stage == adopted {
		ru.stage = running
		ru.progressAt = now
	}
	ru.see()
	ru.startLostAt = time.Time{}
	ru.listedAt, ru.incarnation, ru.lostBy = now, nd.worker.Incarnation(), loss{}
	ru.startedHere, ru.lateUntil, ru.stop.ackedByFormer = true, time.Time{}, false
	co.withdrawStart(ru)
	ru.mayHaveEnded = false
	if ru.confirmedAt.IsZero() {
		ru.confirmedAt = now
		ru.beganAt = now
		if ru.unit != nil {
			ru.beganAt = now.Add(-ru.unit.step.RunTime / 100 * time.Duration(rn.Percent))
		}
	}
	if ru.firstSeenAt.IsZero() {
		ru.firstSeenAt, ru.firstSeenPercent = now, rn.Percent
	}
	if rn.Percent != ru.percent {
		ru.percent = rn.Percent
		ru.progressAt = now
	}
	if ru.unit != nil && ru.unit.attempt == ru.attempt {
		ru.unit.job.begun = true
		co.observeLatency(now, ru, rn.LatencyMillis)
		// In this order, since a checkpoint is fresh only if it was not set
		// yet.
		co.markCheckpointFresh(now, ru, rn.Checkpoint)
		ru.unit.setCheckpoint(ru, rn.Checkpoint)
	}
}

// stopUnrecorded stops a run that no record names, and tracks it until it has
// ended. Until then it occupies its worker, and its task is not started again,
// unless the task has succeeded.
func (co *Core) stopUnrecorded(now time.Time, nd *node, rn runner.Run) {
	ru := &run{task: rn.Task, attempt: rn.Attempt, node: nd, stage: running, confirmedAt: now, token: nd.fence.token}
	if jb, ok := co.jobs[rn.Task.Job]; ok && rn.Task.Step >= 0 && rn.Task.Step < len(jb.Steps) {
		ru.unrecorded = jb.Steps[rn.Task.Step].Reserved()
	}
	nd.attach(ru)
	nd.used = nd.used.Plus(ru.unrecorded)
	if un := co.unitOf(rn.Task); un != nil && un.phase != finished {
		ru.abandonedBy = un
		un.abandonedRuns++
		co.markChanged(un)
	}
	co.emit(LogDecision{Decision: "stops", Job: rn.Task.Job, Task: rn.Task.String(), Attempt: rn.Attempt, Worker: nd.worker.ID, Reason: "no record names the attempt"})
	co.stopRun(now, ru)
}

// handleMissing processes a run that is missing in the reply to a poll. beside is
// the number of other runs that the worker was supposed to have.
func (co *Core) handleMissing(now time.Time, ru *run, po Poll, beside int) {
	sent := po.Sent
	switch {
	case ru.stage == starting && ru.call.IsOpen():
		// The call may still reach this incarnation or another one.
	case ru.stage == adopted && co.mayRepeatStart(now, ru):
		co.repeatStart(now, ru, "the earlier term may not have started the attempt")
	case ru.stage == adopted, ru.stage != planned && ru.token < po.Request.Token:
		// The poll carries a larger token than the start, which can't take effect
		// any more.
		co.loseRun(now, ru, ru.lossIfMissing(now), beside)
	case happenedBefore(ru.confirmedAt, sent), happenedBefore(ru.stop.ackedAt, sent):
		co.loseRun(now, ru, ru.lossIfMissing(now), beside)
	case happenedBefore(ru.startLostAt, sent) && co.mayRepeatStart(now, ru):
		co.repeatStart(now, ru, "the reply to a start was lost")
	case happenedBefore(ru.startLostAt, sent):
		co.stopAfterLostStart(now, ru)
	}
}

// lossIfMissing returns the loss of a run that its worker does not list.
func (ru *run) lossIfMissing(now time.Time) loss {
	if ru.isOfFormerIncarnation() {
		return loss{cause: Restarted.unlessDeparting(ru.node), age: anyAge}
	}
	return loss{cause: NotListed, age: ru.ageAtLoss(now)}
}

// happenedBefore reports whether something happened before a poll was sent. A
// zero time means that it has not happened.
func happenedBefore(at, sent time.Time) bool { return !at.IsZero() && !at.After(sent) }
