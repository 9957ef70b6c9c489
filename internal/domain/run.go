package domain

import (
	"errors"
	"slices"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/batch"
	"github.com/cicadawharf/cicadawharf/internal/launch"
	"github.com/cicadawharf/cicadawharf/internal/runner"
)

type (
	// run is an attempt of one task on one worker. It occupies capacity there
	// until it has ended.
	run struct {
		unit             *unit           // nil if no record names the run
		abandonedBy      *unit           // the unit that gave the run's attempt up; nil unless unit is nil
		unrecorded       batch.Resources // what a run without a unit occupies, as far as it is known
		task             batch.TaskID
		attempt          int
		node             *node
		stage            runStage
		sentAt           time.Time     // when its start was sent; zero if an earlier term may have started it
		incarnation      uint32        // of its worker; zero if unknown
		token            int64         // of its start; zero if it was not sent in this term
		clockSent        time.Duration // the worker's clock as last read before the start was sent
		clockReadAfter   time.Time     // see node.clockReadAfter, for clockSent
		startedHere      bool          // the present incarnation of its worker has confirmed or listed it
		call             *launch.Call  // that starts it; nil if it was not sent and no record names it
		repeatVersion    int           // version of the job that names the start as repeated; zero before recordRepeat
		startLostAt      time.Time     // when the reply to its start was lost
		startRefused     bool          // no incarnation of the worker has carried its start out
		lateUntil        time.Time     // until when a start that reaches the worker's next incarnation late may run there; zero if none can
		confirmedAt      time.Time     // when its start was confirmed, or a poll first listed the run
		listedAt         time.Time     // when a poll last listed the run
		lostBy           loss          // set if its worker has restarted since; see handleRestart
		beganAt          time.Time     // estimated from its progress if the start was not confirmed
		stop             stopState
		openStarts       int              // calls to start it that count in the pacer
		openStops        int              // the same to stop it
		mayHaveEnded     bool             // the last poll did not list it, but may have omitted its end
		outcome          runner.EndReason // set if the worker has reported its end
		percent          int
		progressAt       time.Time // when percent last rose
		firstSeenPercent int       // percent at firstSeenAt, when it was first listed as running
		firstSeenAt      time.Time
	}

	// runStage is the state of a run. The state of its unit is a phase.
	runStage uint8

	// stopState is the state of the request to stop a run.
	stopState struct {
		requested     bool
		inFlight      bool      // a call is in flight
		triedAt       time.Time // when the last call was sent
		ackedAt       time.Time // when the worker replied; zero before
		ackedByFormer bool      // a former incarnation had replied, before it was lost
	}
)

// The stages of a run.
const (
	planned  runStage = iota // its record is being written
	starting                 // its start was sent
	adopted                  // an earlier term may have started it
	running
	ended
)

// evaluate advances a unit after a change of one of its runs or of its job.
func (co *Core) evaluate(now time.Time, un *unit) {
	switch un.phase {
	case placed:
		if reason := un.startObstacle(); reason != "" {
			co.stopUnit(now, un, reason)
		} else if un.job.savedVersion >= un.recordVersion {
			co.startOrQueue(now, un)
		}
	case live:
		if un.job.state.Final() {
			co.stopUnit(now, un, "the job has ended")
		} else if un.memberEnded || un.anyEnded() {
			co.stopUnit(now, un, "one of its tasks has ended")
		}
	case finished:
		co.stopFinished(now, un)
	}
	if un.phase == stopping && un.allEnded() {
		un.setPhase(waiting)
		un.runs = nil
		un.memberEnded = false
		co.watchCalls(now, un)
		co.markDirty(un.job)
		co.passDue = true
	}
}

// startObstacle returns why a placed unit must not be started where it was placed, or
// an empty string if it may be.
func (un *unit) startObstacle() string {
	switch {
	case un.job.state.Final():
		return "the job has ended"
	case un.abandonedRuns > 0:
		return "an earlier attempt still runs"
	case un.anyWorkerRestarted(), un.anyWorkerUnfenced():
		return "one of its workers has restarted before the start"
	case un.anyEnded():
		return "one of its workers was lost before the start"
	case un.inEvacuatedZone():
		return "the availability zone of its worker is evacuated"
	case un.exceedsCapacity():
		return "the capacity of its worker has shrunk"
	default:
		return ""
	}
}

// stopFinished stops what still runs of a finished unit whose job did not
// succeed, and drops runs that have all ended.
func (co *Core) stopFinished(now time.Time, un *unit) {
	if un.job.state.Final() && un.job.state != batch.Done {
		for _, ru := range un.runs {
			co.stopRun(now, ru)
		}
	}
	if len(un.runs) > 0 && un.allEnded() {
		un.runs = nil
		co.markDirty(un.job)
	}
}

// anyEnded reports whether some run of the current attempt has ended.
func (un *unit) anyEnded() bool {
	for _, ru := range un.runs {
		if ru.stage == ended {
			return true
		}
	}
	return false
}

// anyWorkerRestarted reports whether the worker of some run of the current attempt
// has restarted since the run was placed there.
func (un *unit) anyWorkerRestarted() bool {
	return slices.ContainsFunc(un.runs, (*run).isOfFormerIncarnation)
}

// anyWorkerUnfenced reports whether orders to a former incarnation may still take effect
// on some worker of the current attempt.
func (un *unit) anyWorkerUnfenced() bool {
	return slices.ContainsFunc(un.runs, func(ru *run) bool { return ru.node.fence.pending })
}

// allEnded reports whether every run of the current attempt has ended.
func (un *unit) allEnded() bool {
	for _, ru := range un.runs {
		if ru.stage != ended {
			return false
		}
	}
	return true
}

// sendStarts starts every task of a unit whose attempt is recorded.
func (co *Core) sendStarts(now time.Time, un *unit) {
	un.setPhase(live)
	un.isolate(now)
	for _, ru := range un.runs {
		ru.call = co.calls.Begin(ru.node.worker.ID, ru.task, ru.attempt)
		co.sendStart(now, ru)
	}
}

// sendStart makes the call that starts a run, for the first time or again.
func (co *Core) sendStart(now time.Time, ru *run) {
	un := ru.unit
	ru.call.Send(now, ru.node.worker.Born)
	ru.stage = starting
	ru.startLostAt = time.Time{}
	ru.sentAt, ru.token = now, ru.node.fence.nextOrder()
	ru.clockSent, ru.clockReadAfter = ru.node.clock, ru.node.clockReadAfter
	co.pacer.callSent(now, ru, false)
	co.emit(Start{Worker: ru.node.worker, Request: runner.StartRequest{
		Token: ru.token, Task: ru.task, Attempt: ru.attempt, Payload: un.job.Payload,
		Checkpoint: un.checkpoint, Ticket: un.ticket(ru.node), Deadline: co.grantLease(now, ru.node),
	}})
}

// stopUnit stops every task of a unit that has not ended.
func (co *Core) stopUnit(now time.Time, un *unit, reason string) {
	un.setPhase(stopping)
	un.stopRequestedAt, un.stuckStopReported = now, false
	lost := un.lossIfStopped(now)
	for _, ru := range un.runs {
		co.stopRun(now, ru)
	}
	co.emit(LogDecision{
		Decision: "stops", Job: un.job.ID, Task: un.taskID(0).String(), Queue: un.job.Queue.Name, Attempt: un.attempt,
		Lost: lost, Reason: reason,
	})
}

func (co *Core) stopRun(now time.Time, ru *run) {
	switch {
	case ru.stage == planned:
		co.endRun(ru)
	case ru.stage != ended && !ru.stop.requested:
		ru.stop.requested = true
		ru.node.stopping = ru.node.stopping.Plus(ru.reserved())
		co.sendStop(now, ru)
	}
}

func (co *Core) sendStop(now time.Time, ru *run) {
	ru.stop.inFlight = true
	ru.stop.triedAt = now
	co.pacer.callSent(now, ru, true)
	co.emit(Stop{Worker: ru.node.worker, Request: runner.StopRequest{Token: ru.node.fence.token, Task: ru.task, Attempt: ru.attempt}})
}

// reportStuckStops reports units whose attempt has been stopping for longer than
// any lease can last, which means that an event about their runs was missed.
func (co *Core) reportStuckStops(now time.Time) {
	if now.Sub(co.stuckStopsCheckedAt) < stuckStopInterval {
		return
	}
	co.stuckStopsCheckedAt = now
	for _, jb := range co.arrivals {
		for _, un := range jb.units {
			if un.phase != stopping || un.stuckStopReported || now.Sub(un.stopRequestedAt) <= maxCallDelay+maxLeaseTime {
				continue
			}
			un.stuckStopReported = true
			co.emit(LogDecision{
				Decision: "overdue", Job: jb.ID, Task: un.taskID(0).String(), Queue: jb.Queue.Name, Attempt: un.attempt,
				Workers: un.pendingWorkers(), Reason: "the attempt has not ended although all leases have expired",
			})
		}
	}
}

// pendingWorkers returns the workers of the runs that have not ended.
func (un *unit) pendingWorkers() []string {
	var ids []string
	for _, ru := range un.runs {
		if ru.stage != ended {
			ids = append(ids, ru.node.worker.ID)
		}
	}
	return ids
}

// retryStops repeats the stops on a worker that got no reply.
func (co *Core) retryStops(now time.Time, nd *node) {
	for _, ru := range nd.sortedRuns() {
		st := ru.stop
		if st.requested && !st.inFlight && st.ackedAt.IsZero() && now.Sub(st.triedAt) >= stopRetryDelay {
			co.sendStop(now, ru)
		}
	}
}

// endRun ends a run and frees its capacity.
func (co *Core) endRun(ru *run) {
	if ru.stage == ended {
		return
	}
	co.withdrawStart(ru)
	co.pacer.runEnded(ru)
	ru.stage = ended
	ru.node.detach(ru)
	if ru.abandonedBy != nil {
		ru.abandonedBy.abandonedRuns--
	}
	if ru.unit != nil {
		co.addUsage(ru.unit.job, batch.Resources{}.Minus(ru.unit.step.Reserved()))
	}
	co.markChanged(ru.unit)
	co.passDue = true
}

// handleStart processes the outcome of a start.
func (co *Core) handleStart(now time.Time, ev Started) {
	co.resignIfSuperseded(ev.Call.Worker.ID, ev.Call.Request.Token, ev.Err)
	co.noteStartReturned(now, ev)
	nd, ru := co.findRun(ev.Call.Worker.ID, ev.Call.Request.Task, ev.Call.Request.Attempt)
	if ru == nil {
		return
	}
	co.pacer.callReturned(ru, false)
	if nd.fence.isConfirmedBy(ev.Call.Request.Token) {
		co.checkStartClock(now, nd, ru, ev.Clock)
	}
	if ru.stage != starting {
		return
	}
	switch {
	case errors.Is(ev.Err, runner.ErrFenced), errors.Is(ev.Err, runner.ErrOutcomeUnknown) && !nd.fence.isConfirmedBy(ev.Call.Request.Token):
		// The worker has restarted since, and its fencing decides.
		ru.startRefused = errors.Is(ev.Err, runner.ErrFenced) && !ev.Repeated
		ru.startLostAt = now
		co.pollNow(now, nd)
	case ev.Err == nil:
		ru.call.See()
		ru.stage = running
		ru.confirmedAt = now
		ru.beganAt = now
		ru.progressAt = now
		ru.unit.job.begun = true
	case errors.Is(ev.Err, runner.ErrOutcomeUnknown):
		ru.startLostAt = now
		co.recordSilence(now, nd)
		co.recordFailure(now, nd, ru.unit, weightOutcomeUnknown)
		co.pollNow(now, nd)
	case errors.Is(ev.Err, runner.ErrStaleAttempt) && !ru.call.Settled():
		// An earlier copy has run the attempt, or it was stopped. Its end may be listed.
		ru.stop.ackedAt = now
		co.pollNow(now, nd)
	default:
		nd.lastRefusal = now
		if errors.Is(ev.Err, runner.ErrUnreachable) {
			co.recordSilence(now, nd)
		}
		ru.unit.avoidWorker(nd.worker.ID)
		if ru.unit.job.advice == nil { // otherwise the ticket may be the cause
			co.recordFailure(now, nd, ru.unit, weightRefused)
		}
		co.endRefused(now, ru)
	}
	if ev.Err != nil {
		co.emit(LogDecision{Decision: "startFails", Job: ru.task.Job, Task: ru.task.String(), Attempt: ru.attempt, Worker: nd.worker.ID, Reason: ev.Err.Error()})
	}
}

// handleStop processes the outcome of a stop.
func (co *Core) handleStop(now time.Time, ev Stopped) {
	co.resignIfSuperseded(ev.Call.Worker.ID, ev.Call.Request.Token, ev.Err)
	nd, ru := co.findRun(ev.Call.Worker.ID, ev.Call.Request.Task, ev.Call.Request.Attempt)
	if ru == nil {
		return
	}
	ru.stop.inFlight = false
	co.pacer.callReturned(ru, true)
	switch {
	case !nd.fence.isConfirmedBy(ev.Call.Request.Token) && !errors.Is(ev.Err, runner.ErrRestarted):
		// A former incarnation may have replied. The stop is repeated.
	case ev.Err == nil:
		ru.stop.ackedAt = now
		if ru.confirmedAt.IsZero() {
			co.pollNow(now, nd)
		}
	case errors.Is(ev.Err, runner.ErrRestarted) && ev.Call.Worker.Address != nd.worker.Address:
		// The worker has another address since. The stop is repeated there.
	case errors.Is(ev.Err, runner.ErrRestarted):
		co.loseRun(now, ru, loss{cause: Replaced.unlessDeparting(nd), age: ru.ageAtLoss(now)}, len(nd.runs)-1)
	default:
		co.recordSilence(now, nd)
	}
}

// handleEnd processes the end of an attempt that a worker reports, whatever is
// believed of the attempt.
func (co *Core) handleEnd(now time.Time, nd *node, en runner.End) {
	ru := nd.runs[runKey{en.Task, en.Attempt}]
	if ru != nil {
		co.emit(LogDecision{Decision: "ends", Job: en.Task.Job, Task: en.Task.String(), Attempt: en.Attempt, Worker: nd.worker.ID, Reason: en.Reason.String()})
		ru.outcome = en.Reason
		co.endRun(ru)
	}
	if ca := co.calls.Find(nd.worker.ID, en.Task, en.Attempt); ca != nil {
		ca.See()
		if en.Reason == runner.Failed {
			ca.Fail()
		}
	}
	un := co.unitOf(en.Task)
	switch {
	case un == nil, un.phase == finished:
	case ru != nil && ru.unit == un && ru.attempt == un.attempt:
		co.handleCurrentEnd(now, ru, en)
	default:
		co.handleAbandonedEnd(now, nd, un, en)
	}
}

// unitOf returns the unit of a task, or nil if there is none.
func (co *Core) unitOf(ti batch.TaskID) *unit {
	jb, ok := co.jobs[ti.Job]
	if !ok {
		return nil
	}
	return jb.unitAt(ti)
}

// handleCurrentEnd processes the end of a run of its unit's current attempt.
func (co *Core) handleCurrentEnd(now time.Time, ru *run, en runner.End) {
	un := ru.unit
	un.setCheckpoint(ru, en.Checkpoint)
	un.clearSurvivor(ru)
	un.job.begun = true
	co.markDirty(un.job)
	switch en.Reason {
	case runner.Succeeded:
		co.recordSuccess(now, ru.node, un)
		if !un.step.LongRunning {
			co.finishUnit(now, un)
		}
	case runner.Failed:
		co.handleFailure(now, ru.node, un, en.Attempt)
	case runner.GangBroken:
		co.endUnreportedMember(now, un)
	}
}

// handleAbandonedEnd processes the end of an attempt that was given up. If the
// attempt succeeded, the unit is finished, and what runs of a later attempt is
// stopped. If it failed, the failure counts.
func (co *Core) handleAbandonedEnd(now time.Time, nd *node, un *unit, en runner.End) {
	if un.job.state.Final() || un.step.LongRunning || en.Attempt > un.attempt {
		return
	}
	switch en.Reason {
	case runner.Succeeded:
		for _, other := range un.runs {
			co.stopRun(now, other)
		}
		co.finishUnit(now, un)
		co.releaseClaim(un)
		co.markChanged(un)
	case runner.Failed:
		co.handleFailure(now, nd, un, en.Attempt)
	default:
		return
	}
	un.job.begun = true
	co.markDirty(un.job)
	co.emit(LogDecision{
		Decision: "endsLate", Job: un.job.ID, Task: en.Task.String(), Attempt: en.Attempt, Worker: nd.worker.ID,
		Reason: "the attempt was given up, but has " + en.Reason.String(),
	})
}

// endUnreportedMember ends the last run of a gang if all other gang members
// have ended as runner.GangBroken and its worker is unresponsive and no longer
// listed. The end of that task must have caused the others, but nobody will
// report it. A worker that is still listed, or that may be listed again soon,
// reports the end itself.
func (co *Core) endUnreportedMember(now time.Time, un *unit) {
	if !co.storeReturnedAt.IsZero() && now.Sub(co.storeReturnedAt) < entryReturnTime {
		return
	}
	var unreported *run
	broken := 0
	for _, ru := range un.runs {
		switch {
		case ru.outcome == runner.GangBroken:
			broken++
		case ru.stage != ended && unreported == nil:
			unreported = ru
		default:
			return
		}
	}
	if unreported != nil && broken == un.tasks-1 && broken > 0 && !unreported.node.listed && unreported.node.unresponsive() {
		co.loseRun(now, unreported, loss{cause: GangEnded, age: unreported.ageAtLoss(now)}, len(unreported.node.runs)-1)
	}
}

// setCheckpoint sets the newest checkpoint of a unit. Only checkpoints of the
// first task of a gang count, so that those of different gang members are never
// mixed.
func (un *unit) setCheckpoint(ru *run, checkpoint string) {
	if checkpoint != "" && ru.task.Index == un.index {
		un.checkpoint = checkpoint
	}
}

func (co *Core) finishUnit(now time.Time, un *unit) {
	un.markFinished()
	if un.job.unitsLeft == 0 && !un.job.state.Final() {
		co.endJob(now, un.job, batch.Done, "every task has succeeded")
	}
}

// handleFailure counts the failure of an attempt, once per gang, and records it
// against the step and the worker.
func (co *Core) handleFailure(now time.Time, nd *node, un *unit, attempt int) {
	un.avoidWorker(nd.worker.ID)
	co.recordStepFailure(now, nd, un)
	co.recordFailure(now, nd, un, weightFailed)
	if slices.Contains(un.failedAttempts, attempt) || un.step.LongRunning {
		return
	}
	un.failedAttempts = append(un.failedAttempts, attempt)
	un.failures++
	if un.failures >= co.maxAttempts(un.job) && !un.job.state.Final() {
		co.endJob(now, un.job, batch.Failed, "a task has failed in all attempts that its queue permits")
	}
}

func (co *Core) maxAttempts(jb *job) int { return max(1, co.queueOf(jb).MaxAttempts) }

// queueOf returns a job's queue by the policy in force, or as of the job's
// acceptance if that has no such queue.
func (co *Core) queueOf(jb *job) *batch.Queue {
	if co.policy == nil {
		return &jb.Queue
	}
	if jb.queuePolicy != co.policy {
		jb.queuePolicy = co.policy
		jb.currentQueue = jb.Queue
		if qu, ok := co.policy.Queue(jb.Queue.Name); ok {
			jb.currentQueue = qu
		}
	}
	return &jb.currentQueue
}
