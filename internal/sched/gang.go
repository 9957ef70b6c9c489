package sched

import (
	"fmt"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/jobs"
	"github.com/cicadawharf/cicadawharf/internal/place"
	"github.com/cicadawharf/cicadawharf/internal/worker"
	"github.com/cicadawharf/cicadawharf/pkg/codes"
)

// maxFailureRetries is how often a repeatable job whose task failed is retried
// on other workers, in case the worker caused the failure.
const maxFailureRetries = 2

// evaluate compares a job's record with the lease tables and makes the next
// state transition that is due.
func (co *Core) evaluate(now time.Time, jb *job) {
	switch jb.rec.State {
	case jobs.Queued:
		co.evaluateQueued(now, jb)
	case jobs.Starting:
		co.evaluateStarting(now, jb)
	case jobs.Running:
		co.evaluateRunning(now, jb)
	case jobs.Stopping:
		co.evaluateStopping(now, jb)
	case jobs.Ended:
	}
}

// evaluateQueued ends a cancelled job, and starts a pending placement if its
// capacity is free.
func (co *Core) evaluateQueued(now time.Time, jb *job) {
	if jb.rec.Cancelled {
		co.dropPending(jb)
		co.end(now, jb, cancelCode(jb), "cancelled")
		return
	}
	if jb.pending != nil {
		co.startPending(now, jb)
	}
}

// cancelCode returns the code of a cancelled job: whether an attempt has run,
// may have run, or has not run.
func cancelCode(jb *job) codes.Code {
	if jb.rec.AcceleratorTime > 0 {
		return codes.JobCancelled
	}
	if jb.rec.MayHaveRun {
		return codes.CancelledInDoubt
	}
	return codes.CancelledUnstarted
}

// evaluateStarting reserves the missing tasks and then starts the reserved ones.
// Once all tasks run or have succeeded, the job is running. It stops the attempt
// if a task fails, is interrupted or takes too long to start, or if the job was
// cancelled.
func (co *Core) evaluateStarting(now time.Time, jb *job) {
	tl := co.tally(now, jb)
	total := len(jb.rec.Tasks)
	switch {
	case jb.rec.Cancelled:
		co.stop(jb, cause{code: codes.JobCancelled, detail: "cancelled"})
	case tl.failed > 0 || tl.interrupted > 0:
		co.stop(jb, co.failureCause(now, jb, tl))
	case tl.running+tl.succeeded == total:
		jb.rec = jb.rec.WithState(jobs.Running).WithDetail("")
		co.markUnsaved(jb)
		co.logDecision(jb, "started", "")
		co.markChanged(jb.rec.ID)
	case now.After(jb.startDeadline) && tl.unknown == 0:
		co.stop(jb, cause{requeue: true, detail: "the gang did not start in time"})
	case tl.reserved+tl.running+tl.succeeded == total:
		co.startGang(now, jb, tl)
	default:
		co.reserveGang(now, jb, tl)
	}
}

// reserveGang queues commands for the missing reservations, and stops the attempt
// if they take longer than reserveTimeout. An attempt of an earlier epoch has only
// its startDeadline.
func (co *Core) reserveGang(now time.Time, jb *job, tl tally) {
	if !jb.fromEarlierEpoch && now.Sub(jb.beganAt) > reserveTimeout {
		co.stop(jb, cause{requeue: true, detail: "not every worker made its reservation in time"})
		return
	}
	for i, st := range tl.states {
		if st == taskMissing {
			co.queueCommand(jb, i, worker.Command{
				Op: worker.OpReserve, Workspace: jb.rec.Workspace,
				Accelerators: jb.rec.CurrentStep().Shape.Accelerators, Lease: TaskLeaseTime,
			})
		}
	}
}

// startGang starts the reserved tasks of a fully reserved gang if the attempt
// may run. It stops an attempt that has to be recorded first while the store is
// unavailable.
func (co *Core) startGang(now time.Time, jb *job, tl tally) {
	if !co.mayStart(jb) {
		if co.storeUnavailable() && !jb.startSent && tl.ran == 0 {
			co.stop(jb, cause{requeue: true, detail: "the store is unavailable, and the job may not be repeated"})
		}
		return
	}
	if !jb.startSent {
		jb.startSent = true
		jb.startDeadline = now.Add(startTimeout)
	}
	for i, st := range tl.states {
		if st == taskReserved {
			co.queueCommand(jb, i, worker.Command{Op: worker.OpStart, Workspace: jb.rec.Workspace, Lease: TaskLeaseTime, Command: jb.rec.CurrentStep().Command})
		}
	}
}

// mayStart reports whether the attempt may run now: it is in the store, or the
// store is unavailable and the job is repeatable. In any case the store must
// have the current step, so that the next core attributes the attempt to it.
func (co *Core) mayStart(jb *job) bool {
	if jb.saved.Attempt == jb.rec.Attempt && jb.saved.State != jobs.Queued {
		return true
	}
	recorded := jb.saved.ID != "" && jb.saved.Step == jb.rec.Step
	return jb.rec.Repeatable && recorded && co.buckets[jb.bucket].failing
}

// evaluateRunning ends the step if all tasks have succeeded. It stops the attempt
// if a task has failed or was interrupted, if the job was cancelled, or if its
// gang can move off a draining worker.
func (co *Core) evaluateRunning(now time.Time, jb *job) {
	tl := co.tally(now, jb)
	switch {
	case tl.succeeded == len(jb.rec.Tasks):
		co.accountUsage(now, jb, true)
		co.recordSuccess(jb)
		co.succeed(now, jb)
	case jb.rec.Cancelled:
		co.stop(jb, cause{code: codes.JobCancelled, detail: "cancelled"})
	case tl.failed > 0 || tl.interrupted > 0:
		co.stop(jb, co.failureCause(now, jb, tl))
	case jb.rec.Checkpoint:
		co.moveOffDraining(jb)
	}
}

// moveOffDraining stops a gang that takes checkpoints if one of its workers is
// draining, so that it is placed elsewhere. Other gangs keep running, as they
// may end before the worker stops.
func (co *Core) moveOffDraining(jb *job) {
	for _, ta := range jb.rec.Tasks {
		if wst, ok := co.workers[ta.Worker]; ok && wst.isDraining() {
			co.stop(jb, cause{requeue: true, preempted: true, detail: "worker " + ta.Worker + " is draining"})
			return
		}
	}
}

// failureCause returns the cause for stopping an attempt of which a task has
// failed or was interrupted. It records a failure against the worker, but no
// interruption.
func (co *Core) failureCause(now time.Time, jb *job, tl tally) cause {
	if tl.failed == 0 {
		return cause{requeue: true, detail: "a task was interrupted on worker " + tl.failedOn}
	}
	jb.failures++
	co.recordFailure(now, jb, tl.failedOn)
	detail := fmt.Sprintf("a task failed on worker %s: %s", tl.failedOn, tl.taskError)
	if jb.rec.Repeatable && jb.failures <= maxFailureRetries {
		jb.avoid = append(jb.avoid, tl.failedOn)
		return cause{requeue: true, code: codes.JobFailed, detail: detail}
	}
	return cause{code: codes.JobFailed, detail: detail}
}

// recordFailure records a failure against a worker. A job that fails a second
// time in the same step is itself taken to be the cause, and its failures no
// longer count against any worker.
func (co *Core) recordFailure(now time.Time, jb *job, name string) {
	if jb.failures > 1 {
		for _, wst := range co.workers {
			wst.history = wst.history.withoutJob(jb.rec.ID)
		}
		return
	}
	wst, ok := co.workers[name]
	if !ok {
		return
	}
	var suspended bool
	wst.history, suspended = wst.history.recordFailure(now, jb.rec.ID)
	if suspended {
		co.emit(LogDecision{Decision: "aside", Workers: []string{name}, Reason: "tasks of different jobs failed on it, or one on probation"})
		co.resetFleet()
	}
}

// recordSuccess records the success of a gang in the failure histories of its
// workers.
func (co *Core) recordSuccess(jb *job) {
	for _, ta := range jb.rec.Tasks {
		if wst, ok := co.workers[ta.Worker]; ok {
			wst.history = wst.history.recordSuccess()
		}
	}
}

// stop begins to stop an attempt. It has no effect if the attempt is being
// stopped already.
func (co *Core) stop(jb *job, ca cause) {
	if jb.rec.State == jobs.Stopping {
		return
	}
	jb.cause = ca
	jb.rec = jb.rec.WithState(jobs.Stopping).WithDetail(ca.detail)
	co.markUnsaved(jb)
	co.logDecision(jb, "stopping", ca.detail)
	co.markChanged(jb.rec.ID)
	if co.fleet != nil {
		if ga, ok := co.fleet.Gang(jb.rec.ID); ok {
			ga.Stopping = true
			co.fleet.Add(ga)
		}
	}
}

// evaluateStopping stops each task, and finishes the attempt when all tasks are
// known to have ended.
func (co *Core) evaluateStopping(now time.Time, jb *job) {
	tl := co.tally(now, jb)
	if !jb.startSent && !jb.fromEarlierEpoch {
		// No start was sent: reservations that can't be released expire.
		co.finishAttempt(now, jb, tally{})
		return
	}
	var timeout time.Duration
	if jb.cause.preempted && jb.rec.Checkpoint && !jb.rec.Cancelled {
		timeout = checkpointTimeout
	}
	for i, st := range tl.states {
		switch st {
		case taskReserved:
			co.queueCommand(jb, i, worker.Command{Op: worker.OpRelease})
		case taskRunning:
			co.queueCommand(jb, i, worker.Command{Op: worker.OpStop, CheckpointTimeout: timeout})
		}
	}
	if tl.unknown+tl.reserved+tl.running+tl.stopping > 0 || co.hasCallInFlight(jb) {
		co.freeEndedTasks(jb, tl)
		return
	}
	co.finishAttempt(now, jb, tl)
}

// freeEndedTasks frees the capacity of the tasks that have ended while others of
// the gang have not, so that an unresponsive worker does not delay a job that
// waits for capacity on the other workers.
func (co *Core) freeEndedTasks(jb *job, tl tally) {
	if co.fleet == nil {
		return
	}
	ga, ok := co.fleet.Gang(jb.rec.ID)
	if !ok {
		return
	}
	ga.Workers = nil
	for i, st := range tl.states {
		at, known := co.fleetIndex[jb.rec.Tasks[i].Worker]
		ended := st == taskInterrupted || st == taskSucceeded || st == taskFailed || st == taskMissing
		if known && !ended {
			ga.Workers = append(ga.Workers, at)
		}
	}
	co.fleet.Add(ga)
	for id, other := range co.jobs {
		if other.pending != nil {
			co.markChanged(id)
		}
	}
}

// hasCallInFlight reports whether a call that may change a task of the job is
// unanswered.
func (co *Core) hasCallInFlight(jb *job) bool {
	for _, ta := range jb.rec.Tasks {
		if wst, ok := co.workers[ta.Worker]; ok && wst.callInFlight {
			return true
		}
	}
	return false
}

// finishAttempt ends or requeues a job whose attempt is over. A cancellation
// takes precedence over every other cause.
func (co *Core) finishAttempt(now time.Time, jb *job, tl tally) {
	allSucceeded := tl.succeeded == len(jb.rec.Tasks)
	workKept := allSucceeded || (jb.rec.Checkpoint && tl.checkpointed > 0 && tl.checkpointed+tl.succeeded == len(jb.rec.Tasks))
	switch {
	case tl.ran > 0:
		co.accountUsage(now, jb, workKept)
	case tl.mayHaveRun > 0:
		jb.rec.MayHaveRun = true
	}
	ca := jb.cause
	switch {
	case allSucceeded:
		co.succeed(now, jb)
	case jb.rec.Cancelled:
		co.end(now, jb, cancelCode(jb), "cancelled")
	case tl.failed > 0 && !jb.rec.Repeatable:
		co.end(now, jb, codes.JobFailed, ca.detail)
	case !ca.requeue && ca.code != 0:
		co.end(now, jb, ca.code, ca.detail)
	case mayRepeat(jb, tl, workKept):
		co.requeue(now, jb)
	default:
		co.end(now, jb, interruptedCode(jb, tl), ca.detail)
	}
}

// mayRepeat reports whether a job may run again after an attempt: the attempt has
// not run, or has lost no work, or the job is repeatable and has attempts left.
// The first attempt of each further step doesn't count.
func mayRepeat(jb *job, tl tally, workKept bool) bool {
	if tl.ran+tl.mayHaveRun == 0 || workKept {
		return true
	}
	return jb.rec.Repeatable && jb.rec.Attempt-jb.rec.Step < MaxAttempts
}

// interruptedCode returns the code of a job whose attempt was interrupted and
// that may not run again: AttemptsUsed if it is known whether the job has run,
// otherwise AttemptLost. Of a repeatable job that is known once any attempt has
// run; of any other job, if it is known of every task of this attempt.
func interruptedCode(jb *job, tl tally) codes.Code {
	known := tl.mayHaveRun == 0
	if jb.rec.Repeatable {
		known = jb.rec.AcceleratorTime > 0
	}
	if known {
		return codes.AttemptsUsed
	}
	return codes.AttemptLost
}

// requeue queues a job for its next attempt.
func (co *Core) requeue(now time.Time, jb *job) {
	detail := jb.cause.detail
	jb.rec = jb.rec.WithQueued(now).WithDetail(detail)
	jb.rec.Tasks = nil
	jb.notBefore = now.Add(requeueDelay)
	co.releaseCapacity(jb)
	co.markUnsaved(jb)
	co.logDecision(jb, "requeued", detail)
}

// succeed handles the success of a step: it queues the job for its next step,
// or ends it after the last one.
func (co *Core) succeed(now time.Time, jb *job) {
	co.runTimes.observe(jb.rec, now.Sub(jb.rec.Started))
	if jb.rec.IsLastStep() {
		co.end(now, jb, codes.JobDone, "")
		return
	}
	jb.rec = jb.rec.WithNextStep(now)
	jb.failures = 0
	jb.avoid = nil
	co.releaseCapacity(jb)
	co.markUnsaved(jb)
	co.markChanged(jb.rec.ID)
	co.logDecision(jb, "stepDone", fmt.Sprintf("step %d of %d is next", jb.rec.Step+1, len(jb.rec.Then)+1))
}

// end puts a job into its final state.
func (co *Core) end(now time.Time, jb *job, cd codes.Code, detail string) {
	jb.rec = jb.rec.WithEnd(now, cd, detail)
	co.releaseCapacity(jb)
	co.markUnsaved(jb)
	co.logDecision(jb, "ended", cd.String())
}

// releaseCapacity frees the capacity of a job, resets the state of its attempt,
// and makes a placement pass due.
func (co *Core) releaseCapacity(jb *job) {
	jb.unit = place.NoUnit
	jb.unitWorkers = nil
	jb.fromEarlierEpoch = false
	jb.startSent = false
	jb.reserved = nil
	jb.succeeded = nil
	jb.cause = cause{}
	if co.fleet != nil {
		co.fleet.Remove(jb.rec.ID)
	}
	for id, other := range co.jobs {
		if other.pending != nil {
			co.markChanged(id)
		}
	}
	co.placementDue = true
}

// accountUsage adds the accelerator time of an attempt to the record.
func (co *Core) accountUsage(now time.Time, jb *job, workKept bool) {
	// At least one nanosecond, as a positive value also means that an attempt
	// has run.
	held := max(1, now.Sub(jb.rec.Started)*time.Duration(jb.rec.CurrentStep().Shape.Total()))
	jb.rec.AcceleratorTime += held
	if !workKept {
		jb.rec.LostTime += held
	}
	if jb.cause.preempted {
		jb.rec.PreemptedTime += held
	}
}

// queueCommand queues a command for one task, to be sent with the next call to
// its worker.
func (co *Core) queueCommand(jb *job, at int, cm worker.Command) {
	wst, ok := co.workers[jb.rec.Tasks[at].Worker]
	if !ok {
		return
	}
	cm.Task = jb.taskID(at)
	wst.commands[cm.Task] = cm
}
