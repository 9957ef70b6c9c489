package sched

import (
	"fmt"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/jobs"
	"github.com/cicadawharf/cicadawharf/internal/place"
	"github.com/cicadawharf/cicadawharf/internal/worker"
	"github.com/cicadawharf/cicadawharf/pkg/codes"
)

// maxFailureRetries is how often a repeatable job whose task failed is tried
// on other workers, in case the worker is to blame.
const maxFailureRetries = 2

// evaluate compares a job's record with the lease tables and takes the next
// step.
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

// cancelCode tells apart whether any attempt has run.
func cancelCode(jb *job) codes.Code {
	if jb.rec.Held > 0 {
		return codes.JobCancelled
	}
	if jb.rec.Doubt {
		return codes.CancelledInDoubt
	}
	return codes.CancelledUnstarted
}

func (co *Core) evaluateStarting(now time.Time, jb *job) {
	ta := co.tally(now, jb)
	total := len(jb.rec.Tasks)
	switch {
	case jb.rec.Cancelled:
		co.stop(jb, cause{code: codes.JobCancelled, detail: "cancelled"})
	case ta.failed > 0 || ta.interrupted > 0:
		co.stop(jb, co.failureCause(now, jb, ta))
	case ta.running+ta.succeeded == total:
		jb.rec = jb.rec.WithState(jobs.Running).WithDetail("")
		co.markUnsaved(jb)
		co.logDecision(jb, "started", "")
		co.markChanged(jb.rec.ID)
	case now.After(jb.startDeadline) && ta.unknown == 0:
		co.stop(jb, cause{requeue: true, detail: "the gang did not start in time"})
	case ta.reserved+ta.running+ta.succeeded == total:
		co.startGang(now, jb, ta)
	default:
		co.reserveGang(now, jb, ta)
	}
}

// reserveGang asks for the reservations that are missing.
func (co *Core) reserveGang(now time.Time, jb *job, ta tally) {
	if !jb.adopted && now.Sub(jb.begunAt) > reserveTimeout {
		co.stop(jb, cause{requeue: true, detail: "not every worker reserved in time"})
		return
	}
	for i, st := range ta.states {
		if st == taskMissing {
			co.queueCommand(jb, i, worker.Command{
				Op: worker.OpReserve, Workspace: jb.rec.Workspace,
				Accelerators: jb.rec.Present().Shape.Accelerators, Lease: TaskLease,
			})
		}
	}
}

// startGang starts every task once all are reserved and the attempt may run.
func (co *Core) startGang(now time.Time, jb *job, ta tally) {
	if !co.mayStart(jb) {
		if co.storeUnavailable() && !jb.startSent && ta.ran == 0 {
			co.stop(jb, cause{requeue: true, detail: "waits for the store, as it may not be repeated"})
		}
		return
	}
	if !jb.startSent {
		jb.startSent = true
		jb.startDeadline = now.Add(startTimeout)
	}
	for i, st := range ta.states {
		if st == taskReserved {
			co.queueCommand(jb, i, worker.Command{Op: worker.OpStart, Workspace: jb.rec.Workspace, Lease: TaskLease, Command: jb.rec.Present().Command})
		}
	}
}

// mayStart tells whether the attempt may run now: it is in the store, or the
// store is away and the job may be repeated. That its step has come must be in
// the store in any case, so that the next core takes the attempt for what it is.
func (co *Core) mayStart(jb *job) bool {
	if jb.saved.Attempt == jb.rec.Attempt && jb.saved.State != jobs.Queued {
		return true
	}
	recorded := jb.saved.ID != "" && jb.saved.Step == jb.rec.Step
	return jb.rec.Repeatable && recorded && co.buckets[jb.bucket].failing
}

func (co *Core) evaluateRunning(now time.Time, jb *job) {
	ta := co.tally(now, jb)
	switch {
	case ta.succeeded == len(jb.rec.Tasks):
		co.accountUsage(now, jb, true)
		co.recordSuccess(jb)
		co.succeed(now, jb)
	case jb.rec.Cancelled:
		co.stop(jb, cause{code: codes.JobCancelled, detail: "cancelled"})
	case ta.failed > 0 || ta.interrupted > 0:
		co.stop(jb, co.failureCause(now, jb, ta))
	case jb.rec.Checkpoint:
		co.moveOffDraining(jb)
	}
}

// moveOffDraining moves a gang that keeps its work off workers that are leaving. Other
// gangs stay, in the hope that they end before the worker does.
func (co *Core) moveOffDraining(jb *job) {
	for _, ta := range jb.rec.Tasks {
		if wst, ok := co.workers[ta.Worker]; ok && wst.isDraining() {
			co.stop(jb, cause{requeue: true, preempted: true, detail: "worker " + ta.Worker + " is leaving"})
			return
		}
	}
}

// failureCause finds the cause that stops an attempt from what its tasks show.
func (co *Core) failureCause(now time.Time, jb *job, ta tally) cause {
	if ta.failed == 0 {
		return cause{requeue: true, detail: "a task was cut short on worker " + ta.failedOn}
	}
	jb.failures++
	co.recordFailure(now, jb, ta.failedOn)
	detail := fmt.Sprintf("a task failed on worker %s: %s", ta.failedOn, ta.failure)
	if jb.rec.Repeatable && jb.failures <= maxFailureRetries {
		jb.avoid = append(jb.avoid, ta.failedOn)
		return cause{requeue: true, code: codes.JobFailed, detail: detail}
	}
	return cause{code: codes.JobFailed, detail: detail}
}

// recordFailure counts a failure against a worker. A job that fails on a second
// worker is the one to blame, and is no evidence against any.
func (co *Core) recordFailure(now time.Time, jb *job, name string) {
	if jb.failures > 1 {
		for _, wst := range co.workers {
			wst.failures = wst.failures.withoutJob(jb.rec.ID)
		}
		return
	}
	wst, ok := co.workers[name]
	if !ok {
		return
	}
	var suspended bool
	wst.failures, suspended = wst.failures.recordFailure(now, jb.rec.ID)
	if suspended {
		co.emit(PlacementDecision{Decision: "aside", Workers: []string{name}, Reason: "jobs that differ fail on it"})
		co.resetFleet()
	}
}

func (co *Core) recordSuccess(jb *job) {
	for _, ta := range jb.rec.Tasks {
		if wst, ok := co.workers[ta.Worker]; ok {
			wst.failures = wst.failures.recordSuccess()
		}
	}
}

// stop begins to end an attempt. A cancellation overrides other causes.
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

// evaluateStopping asks for the end of each task and resolves the attempt when
// every task is known to be over.
func (co *Core) evaluateStopping(now time.Time, jb *job) {
	ta := co.tally(now, jb)
	if !jb.startSent && !jb.adopted {
		// No start was sent: the reservations lapse if they can't be released.
		co.finishAttempt(now, jb, tally{})
		return
	}
	var bound time.Duration
	if jb.cause.preempted && jb.rec.Checkpoint && !jb.rec.Cancelled {
		bound = checkpointTimeout
	}
	for i, st := range ta.states {
		switch st {
		case taskReserved:
			co.queueCommand(jb, i, worker.Command{Op: worker.OpRelease})
		case taskRunning:
			co.queueCommand(jb, i, worker.Command{Op: worker.OpStop, Bound: bound})
		}
	}
	if ta.unknown+ta.reserved+ta.running+ta.stopping > 0 || co.hasCallInFlight(jb) {
		co.releaseFinished(jb, ta)
		return
	}
	co.finishAttempt(now, jb, ta)
}

// releaseFinished gives back the ground of the tasks that are over, while others of the
// gang are not, so that a silent worker does not hold up who waits for the rest.
func (co *Core) releaseFinished(jb *job, ta tally) {
	if co.fleet == nil {
		return
	}
	ga, ok := co.fleet.Gang(jb.rec.ID)
	if !ok {
		return
	}
	ga.Workers = nil
	for i, st := range ta.states {
		at, known := co.fleetIndex[jb.rec.Tasks[i].Worker]
		over := st == taskInterrupted || st == taskSucceeded || st == taskFailed || st == taskMissing
		if known && !over {
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

// hasCallInFlight tells whether a call that may change a task of the job has not
// been answered yet.
func (co *Core) hasCallInFlight(jb *job) bool {
	for _, ta := range jb.rec.Tasks {
		if wst, ok := co.workers[ta.Worker]; ok && wst.callInFlight {
			return true
		}
	}
	return false
}

// finishAttempt decides what becomes of a job whose attempt is over.
func (co *Core) finishAttempt(now time.Time, jb *job, ta tally) {
	finished := ta.succeeded == len(jb.rec.Tasks)
	kept := finished || (jb.rec.Checkpoint && ta.checkpointed > 0 && ta.checkpointed+ta.succeeded == len(jb.rec.Tasks))
	switch {
	case ta.ran > 0:
		co.accountUsage(now, jb, kept)
	case ta.mayHaveRun > 0:
		jb.rec.Doubt = true
	}
	ca := jb.cause
	switch {
	case finished:
		co.succeed(now, jb)
	case jb.rec.Cancelled:
		co.end(now, jb, cancelCode(jb), "cancelled")
	case ta.failed > 0 && !jb.rec.Repeatable:
		co.end(now, jb, codes.JobFailed, ca.detail)
	case !ca.requeue && ca.code != 0:
		co.end(now, jb, ca.code, ca.detail)
	case mayRepeat(jb, ta, kept):
		co.requeue(now, jb)
	default:
		co.end(now, jb, interruptedCode(jb, ta), ca.detail)
	}
}

// mayRepeat tells whether a job may be begun again: it has not run, or has
// lost nothing, or says that it may.
func mayRepeat(jb *job, ta tally, kept bool) bool {
	if ta.ran+ta.mayHaveRun == 0 || kept {
		return true
	}
	return jb.rec.Repeatable && jb.rec.Attempt-jb.rec.Step < MaxAttempts
}

// interruptedCode is the code of a job that was cut short and is not begun again.
func interruptedCode(jb *job, ta tally) codes.Code {
	known := ta.mayHaveRun == 0
	if jb.rec.Repeatable {
		known = jb.rec.Held > 0
	}
	if known {
		return codes.AttemptsUsed
	}
	return codes.AttemptLost
}

// requeue puts a job back among the waiting.
func (co *Core) requeue(now time.Time, jb *job) {
	detail := jb.cause.detail
	jb.rec = jb.rec.WithQueued(now).WithDetail(detail)
	jb.rec.Tasks = nil
	jb.notBefore = now.Add(requeueDelay)
	co.releaseCapacity(jb)
	co.markUnsaved(jb)
	co.logDecision(jb, "requeued", detail)
}

// succeed queues a job whose step has succeeded for the next one, and ends it
// after the last.
func (co *Core) succeed(now time.Time, jb *job) {
	co.runTimes.observe(jb.rec, now.Sub(jb.rec.Started))
	if jb.rec.LastStep() {
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

// end puts a job into its last state.
func (co *Core) end(now time.Time, jb *job, cd codes.Code, detail string) {
	jb.rec = jb.rec.WithEnd(now, cd, detail)
	co.releaseCapacity(jb)
	co.markUnsaved(jb)
	co.logDecision(jb, "ended", cd.String())
}

// releaseCapacity gives the ground of a job back.
func (co *Core) releaseCapacity(jb *job) {
	jb.unit = place.NoUnit
	jb.unitWorkers = nil
	jb.adopted = false
	jb.startSent = false
	jb.reserved = nil
	jb.done = nil
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
func (co *Core) accountUsage(now time.Time, jb *job, kept bool) {
	// At least one, as it also tells that an attempt has run.
	held := max(1, now.Sub(jb.rec.Started)*time.Duration(jb.rec.Present().Shape.Total()))
	jb.rec.Held += held
	if !kept {
		jb.rec.Lost += held
	}
	if jb.cause.preempted {
		jb.rec.Reclaimed += held
	}
}

// queueCommand asks a worker for a change of one task.
func (co *Core) queueCommand(jb *job, at int, cm worker.Command) {
	wst, ok := co.workers[jb.rec.Tasks[at].Worker]
	if !ok {
		return
	}
	cm.Task = jb.taskID(at)
	wst.commands[cm.Task] = cm
}
