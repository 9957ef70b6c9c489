package sched

import (
	"fmt"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/jobs"
	"github.com/cicadawharf/cicadawharf/internal/place"
	"github.com/cicadawharf/cicadawharf/internal/worker"
	"github.com/cicadawharf/cicadawharf/pkg/codes"
)

// retriesAfterFailure is how often a repeatable job whose task failed is tried
// on other workers, in case the worker is to blame.
const retriesAfterFailure = 2

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
		co.dropEarmark(jb)
		co.end(now, jb, cancelCode(jb), "cancelled")
		return
	}
	if jb.earmark != nil {
		co.claimEarmark(now, jb)
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
	case ta.failed > 0 || ta.cut > 0:
		co.stop(jb, co.blame(now, jb, ta))
	case ta.running+ta.succeeded == total:
		jb.rec = jb.rec.WithState(jobs.Running).WithDetail("")
		co.dirty(jb)
		co.note(jb, "started", "")
		co.touch(jb.rec.ID)
	case now.After(jb.startBy) && ta.unknown == 0:
		co.stop(jb, cause{requeue: true, detail: "the gang did not start in time"})
	case ta.reserved+ta.running+ta.succeeded == total:
		co.startGang(now, jb, ta)
	default:
		co.reserveGang(now, jb, ta)
	}
}

// reserveGang asks for the reservations that are missing.
func (co *Core) reserveGang(now time.Time, jb *job, ta tally) {
	if !jb.adopted && now.Sub(jb.begun) > reserveTime {
		co.stop(jb, cause{requeue: true, detail: "not every worker reserved in time"})
		return
	}
	for i, st := range ta.at {
		if st == isMissing {
			co.want(jb, i, worker.Command{
				Op: worker.OpReserve, Workspace: jb.rec.Workspace,
				Accelerators: jb.rec.Present().Shape.Accelerators, Lease: TaskLease,
			})
		}
	}
}

// startGang starts every task once all are reserved and the attempt may run.
func (co *Core) startGang(now time.Time, jb *job, ta tally) {
	if !co.mayStart(jb) {
		if co.storeAway() && !jb.sent && ta.ran == 0 {
			co.stop(jb, cause{requeue: true, detail: "waits for the store, as it may not be repeated"})
		}
		return
	}
	if !jb.sent {
		jb.sent = true
		jb.startBy = now.Add(startTime)
	}
	for i, st := range ta.at {
		if st == isReserved {
			co.want(jb, i, worker.Command{Op: worker.OpStart, Workspace: jb.rec.Workspace, Lease: TaskLease, Command: jb.rec.Present().Command})
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
		co.settleHeld(now, jb, true)
		co.praise(jb)
		co.succeed(now, jb)
	case jb.rec.Cancelled:
		co.stop(jb, cause{code: codes.JobCancelled, detail: "cancelled"})
	case ta.failed > 0 || ta.cut > 0:
		co.stop(jb, co.blame(now, jb, ta))
	case jb.rec.Checkpoint:
		co.evacuate(jb)
	}
}

// evacuate moves a gang that keeps its work off workers that are leaving. Other
// gangs stay, in the hope that they end before the worker does.
func (co *Core) evacuate(jb *job) {
	for _, ta := range jb.rec.Tasks {
		if ma, ok := co.machines[ta.Worker]; ok && ma.leaving() {
			co.stop(jb, cause{requeue: true, yields: true, detail: "worker " + ta.Worker + " is leaving"})
			return
		}
	}
}

// blame finds the cause that stops an attempt from what its tasks show.
func (co *Core) blame(now time.Time, jb *job, ta tally) cause {
	if ta.failed == 0 {
		return cause{requeue: true, detail: "a task was cut short on worker " + ta.where}
	}
	jb.failures++
	co.accuse(now, jb, ta.where)
	detail := fmt.Sprintf("a task failed on worker %s: %s", ta.where, ta.failure)
	if jb.rec.Repeatable && jb.failures <= retriesAfterFailure {
		jb.avoid = append(jb.avoid, ta.where)
		return cause{requeue: true, code: codes.JobFailed, detail: detail}
	}
	return cause{code: codes.JobFailed, detail: detail}
}

// accuse counts a failure against a worker. A job that fails on a second
// worker is the one to blame, and is no evidence against any.
func (co *Core) accuse(now time.Time, jb *job, name string) {
	if jb.failures > 1 {
		for _, ma := range co.machines {
			ma.record = ma.record.pardoned(jb.rec.ID)
		}
		return
	}
	ma, ok := co.machines[name]
	if !ok {
		return
	}
	var aside bool
	ma.record, aside = ma.record.failedBy(now, jb.rec.ID)
	if aside {
		co.emit(Noted{Decision: "aside", Workers: []string{name}, Reason: "jobs that differ fail on it"})
		co.rebuild()
	}
}

func (co *Core) praise(jb *job) {
	for _, ta := range jb.rec.Tasks {
		if ma, ok := co.machines[ta.Worker]; ok {
			ma.record = ma.record.succeeded()
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
	co.dirty(jb)
	co.note(jb, "stopping", ca.detail)
	co.touch(jb.rec.ID)
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
	if !jb.sent && !jb.adopted {
		// No start was sent: the reservations lapse if they can't be released.
		co.resolve(now, jb, tally{})
		return
	}
	var bound time.Duration
	if jb.cause.yields && jb.rec.Checkpoint && !jb.rec.Cancelled {
		bound = checkpointTime
	}
	for i, st := range ta.at {
		switch st {
		case isReserved:
			co.want(jb, i, worker.Command{Op: worker.OpRelease})
		case isRunning:
			co.want(jb, i, worker.Command{Op: worker.OpStop, Bound: bound})
		}
	}
	if ta.unknown+ta.reserved+ta.running+ta.stopping > 0 || co.underway(jb) {
		co.vacate(jb, ta)
		return
	}
	co.resolve(now, jb, ta)
}

// vacate gives back the ground of the tasks that are over, while others of the
// gang are not, so that a silent worker does not hold up who waits for the rest.
func (co *Core) vacate(jb *job, ta tally) {
	if co.fleet == nil {
		return
	}
	ga, ok := co.fleet.Gang(jb.rec.ID)
	if !ok {
		return
	}
	ga.Workers = nil
	for i, st := range ta.at {
		at, known := co.index[jb.rec.Tasks[i].Worker]
		over := st == isCut || st == isSucceeded || st == isFailed || st == isMissing
		if known && !over {
			ga.Workers = append(ga.Workers, at)
		}
	}
	co.fleet.Add(ga)
	for id, other := range co.jobs {
		if other.earmark != nil {
			co.touch(id)
		}
	}
}

// underway tells whether a call that may change a task of the job has not
// been answered yet.
func (co *Core) underway(jb *job) bool {
	for _, ta := range jb.rec.Tasks {
		if ma, ok := co.machines[ta.Worker]; ok && ma.busy {
			return true
		}
	}
	return false
}

// resolve decides what becomes of a job whose attempt is over.
func (co *Core) resolve(now time.Time, jb *job, ta tally) {
	finished := ta.succeeded == len(jb.rec.Tasks)
	kept := finished || (jb.rec.Checkpoint && ta.saved > 0 && ta.saved+ta.succeeded == len(jb.rec.Tasks))
	switch {
	case ta.ran > 0:
		co.settleHeld(now, jb, kept)
	case ta.doubt > 0:
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
		co.end(now, jb, cutCode(jb, ta), ca.detail)
	}
}

// mayRepeat tells whether a job may be begun again: it has not run, or has
// lost nothing, or says that it may.
func mayRepeat(jb *job, ta tally, kept bool) bool {
	if ta.ran+ta.doubt == 0 || kept {
		return true
	}
	return jb.rec.Repeatable && jb.rec.Attempt-jb.rec.Step < MaxAttempts
}

// cutCode is the code of a job that was cut short and is not begun again.
func cutCode(jb *job, ta tally) codes.Code {
	known := ta.doubt == 0
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
	jb.after = now.Add(requeueDelay)
	co.leave(jb)
	co.dirty(jb)
	co.note(jb, "requeued", detail)
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
	co.leave(jb)
	co.dirty(jb)
	co.touch(jb.rec.ID)
	co.note(jb, "stepDone", fmt.Sprintf("step %d of %d is next", jb.rec.Step+1, len(jb.rec.Then)+1))
}

// end puts a job into its last state.
func (co *Core) end(now time.Time, jb *job, cd codes.Code, detail string) {
	jb.rec = jb.rec.WithEnd(now, cd, detail)
	co.leave(jb)
	co.dirty(jb)
	co.note(jb, "ended", cd.String())
}

// leave gives the ground of a job back.
func (co *Core) leave(jb *job) {
	jb.unit = place.NoUnit
	jb.ground = nil
	jb.adopted = false
	jb.sent = false
	jb.reserved = nil
	jb.done = nil
	jb.cause = cause{}
	if co.fleet != nil {
		co.fleet.Remove(jb.rec.ID)
	}
	for id, other := range co.jobs {
		if other.earmark != nil {
			co.touch(id)
		}
	}
	co.pass = true
}

// settleHeld adds the accelerator time of an attempt to the record.
func (co *Core) settleHeld(now time.Time, jb *job, kept bool) {
	// At least one, as it also tells that an attempt has run.
	held := max(1, now.Sub(jb.rec.Started)*time.Duration(jb.rec.Present().Shape.Total()))
	jb.rec.Held += held
	if !kept {
		jb.rec.Lost += held
	}
	if jb.cause.yields {
		jb.rec.Reclaimed += held
	}
}

// want asks a worker for a change of one task.
func (co *Core) want(jb *job, at int, cm worker.Command) {
	ma, ok := co.machines[jb.rec.Tasks[at].Worker]
	if !ok {
		return
	}
	cm.Task = jb.taskID(at)
	ma.wanted[cm.Task] = cm
}
