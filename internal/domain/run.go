package domain

import (
	"errors"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/batch"
	"github.com/cicadawharf/cicadawharf/internal/runner"
)

type (
	// run is an attempt of one task on one worker. It holds its room there
	// until it is over.
	run struct {
		unit         *unit // nil if no record names it
		task         batch.TaskID
		attempt      int
		node         *node
		stage        stage
		lostAt       time.Time // when the answer to its start was lost
		seenAt       time.Time // when its start was answered, or a look has first shown it
		began        time.Time // when it began to work, as far as its percent tells
		stop         stopState
		how          runner.How // it has ended, if the worker has listed its end
		percent      int
		movedAt      time.Time // when percent last rose
		firstPercent int       // when it was first listed as running
		firstAt      time.Time
	}

	// stage is where a run stands.
	stage uint8

	// stopState is how far stopping a run has come.
	stopState struct {
		wanted bool
		open   bool // a call is under way
		tried  time.Time
		acked  time.Time // zero until the worker has answered
	}
)

// The stages.
const (
	planned  stage = iota // its record is being written
	starting              // the start was sent
	adopted               // a former core may have started it
	running
	over
)

// evaluate moves a unit on after one of its runs or its job has changed.
func (co *Core) evaluate(now time.Time, un *unit) {
	switch un.phase {
	case placed:
		if un.job.state.Final() {
			co.stopUnit(now, un, "the job has ended")
		} else if un.anyOver() {
			co.stopUnit(now, un, "a worker of it has gone before its start")
		} else if un.onEvacuated() {
			co.stopUnit(now, un, "the availability zone of its worker is to be emptied")
		} else if un.job.savedVersion >= un.version {
			co.sendStarts(now, un)
		}
	case live:
		if un.job.state.Final() {
			co.stopUnit(now, un, "the job has ended")
		} else if un.broken || un.anyOver() {
			co.stopUnit(now, un, "a task of it is over")
		}
	case finished:
		co.dropFinished(now, un)
	}
	if un.phase == stopping && un.allOver() {
		un.enter(waiting)
		un.runs = nil
		un.broken = false
		co.dirty(un.job)
		co.pass = true
	}
}

// dropFinished stops what still runs of a unit whose end is known.
func (co *Core) dropFinished(now time.Time, un *unit) {
	if un.job.state.Final() && un.job.state != batch.Done {
		for _, ru := range un.runs {
			co.stopRun(now, ru)
		}
	}
	if len(un.runs) > 0 && un.allOver() {
		un.runs = nil
		co.dirty(un.job)
	}
}

func (un *unit) anyOver() bool {
	for _, ru := range un.runs {
		if ru.stage == over {
			return true
		}
	}
	return false
}

func (un *unit) allOver() bool {
	for _, ru := range un.runs {
		if ru.stage != over {
			return false
		}
	}
	return true
}

// sendStarts starts every task of a unit whose attempt is recorded.
func (co *Core) sendStarts(now time.Time, un *unit) {
	un.enter(live)
	for _, ru := range un.runs {
		ru.stage = starting
		co.emit(Start{Worker: ru.node.worker, Request: runner.StartRequest{
			Token: co.token, Task: ru.task, Attempt: ru.attempt, Payload: un.job.Payload,
			Checkpoint: un.checkpoint, Ticket: un.ticket(ru.node), Deadline: ru.node.grant(now),
		}})
	}
}

// stopUnit stops every task of a unit that is not over.
func (co *Core) stopUnit(now time.Time, un *unit, reason string) {
	un.enter(stopping)
	un.stopped, un.overdue = now, false
	lost := un.unsaved(now)
	for _, ru := range un.runs {
		co.stopRun(now, ru)
	}
	co.emit(Noted{
		Decision: "stops", Job: un.job.ID, Task: un.taskID(0).String(), Queue: un.job.Queue.Name, Attempt: un.attempt,
		Lost: lost, Reason: reason,
	})
}

func (co *Core) stopRun(now time.Time, ru *run) {
	switch {
	case ru.stage == planned:
		co.finishRun(ru)
	case ru.stage != over && !ru.stop.wanted:
		ru.stop.wanted = true
		co.sendStop(now, ru)
	}
}

func (co *Core) sendStop(now time.Time, ru *run) {
	ru.stop.open = true
	ru.stop.tried = now
	co.emit(Stop{Worker: ru.node.worker, Request: runner.StopRequest{Token: co.token, Task: ru.task, Attempt: ru.attempt}})
}

// reportOverdue tells of units that wait for the end of an attempt longer than
// any lease can last: something about their runs was missed.
func (co *Core) reportOverdue(now time.Time) {
	if now.Sub(co.overdueAt) < overdueGap {
		return
	}
	co.overdueAt = now
	for _, jb := range co.order {
		for _, un := range jb.units {
			if un.phase != stopping || un.overdue || now.Sub(un.stopped) <= lateCall+maxHold {
				continue
			}
			un.overdue = true
			co.emit(Noted{
				Decision: "overdue", Job: jb.ID, Task: un.taskID(0).String(), Queue: jb.Queue.Name, Attempt: un.attempt,
				Workers: un.pending(), Reason: "the attempt outlasts every lease",
			})
		}
	}
}

// pending names the workers of the runs that are not over.
func (un *unit) pending() []string {
	var ids []string
	for _, ru := range un.runs {
		if ru.stage != over {
			ids = append(ids, ru.node.worker.ID)
		}
	}
	return ids
}

// retryStops repeats the stops on a worker that went unanswered.
func (co *Core) retryStops(now time.Time, nd *node) {
	for _, ru := range nd.sortedRuns() {
		st := ru.stop
		if st.wanted && !st.open && st.acked.IsZero() && now.Sub(st.tried) >= retryStop {
			co.sendStop(now, ru)
		}
	}
}

// finishRun notes that a run is over and frees its room.
func (co *Core) finishRun(ru *run) {
	if ru.stage == over {
		return
	}
	ru.stage = over
	ru.node.drop(ru)
	if ru.unit != nil {
		co.use(ru.unit.job, batch.Resources{}.Minus(ru.unit.step.Occupied()))
	}
	co.touch(ru.unit)
	co.pass = true
}

// started takes the outcome of a start.
func (co *Core) started(now time.Time, ev Started) {
	if errors.Is(ev.Err, runner.ErrFenced) {
		co.resign("worker " + ev.Call.Worker.ID + " has seen a larger token")
		return
	}
	nd, ru := co.find(ev.Call.Worker.ID, ev.Call.Request.Task, ev.Call.Request.Attempt)
	if ru == nil || ru.stage != starting {
		return
	}
	switch {
	case ev.Err == nil:
		ru.stage = running
		ru.seenAt = now
		ru.began = now
		ru.movedAt = now
		ru.unit.job.begun = true
	case errors.Is(ev.Err, runner.ErrLost):
		ru.lostAt = now
		nd.failed = now
		co.blameWorker(now, nd, ru.unit, weightLost)
		co.lookExtra(now, nd)
	default:
		nd.refused = now
		if errors.Is(ev.Err, runner.ErrUnreachable) {
			nd.failed = now
		}
		ru.unit.shun(nd.worker.ID)
		if ru.unit.job.advice == nil { // else its ticket may be at fault
			co.blameWorker(now, nd, ru.unit, weightRefused)
		}
		co.finishRun(ru)
	}
	if ev.Err != nil {
		co.emit(Noted{Decision: "startFails", Job: ru.task.Job, Task: ru.task.String(), Attempt: ru.attempt, Worker: nd.worker.ID, Reason: ev.Err.Error()})
	}
}

// stopped takes the outcome of a stop.
func (co *Core) stopped(now time.Time, ev Stopped) {
	if errors.Is(ev.Err, runner.ErrFenced) {
		co.resign("worker " + ev.Call.Worker.ID + " has seen a larger token")
		return
	}
	nd, ru := co.find(ev.Call.Worker.ID, ev.Call.Request.Task, ev.Call.Request.Attempt)
	if ru == nil {
		return
	}
	ru.stop.open = false
	switch {
	case ev.Err == nil:
		ru.stop.acked = now
		if ru.seenAt.IsZero() {
			co.lookExtra(now, nd)
		}
	case errors.Is(ev.Err, runner.ErrOtherLife):
		co.finishRun(ru)
	default:
		nd.failed = now
	}
}

// ended takes the end of a run that a worker lists.
func (co *Core) ended(now time.Time, nd *node, en runner.End) {
	ru := nd.runs[runKey{en.Task, en.Attempt}]
	if ru == nil {
		co.endedEarlier(now, nd, en)
		return
	}
	co.emit(Noted{Decision: "ends", Job: en.Task.Job, Task: en.Task.String(), Attempt: en.Attempt, Worker: nd.worker.ID, Reason: en.How.String()})
	ru.how = en.How
	co.finishRun(ru)
	un := ru.unit
	if un == nil || un.phase == finished || un.attempt != ru.attempt {
		return
	}
	un.keep(ru, en.Checkpoint)
	un.job.begun = true
	co.dirty(un.job)
	switch en.How {
	case runner.Succeeded:
		co.creditWorker(now, nd, un)
		if !un.step.Lasting {
			co.finishUnit(now, un)
		}
	case runner.Failed:
		co.failed(now, nd, un)
	case runner.Broken:
		co.endCause(un)
	}
}

// endedEarlier takes the end of an attempt that was given up because its worker
// was silent. If it has succeeded, the unit's work is done and is not done again.
func (co *Core) endedEarlier(now time.Time, nd *node, en runner.End) {
	jb, ok := co.jobs[en.Task.Job]
	if !ok || jb.state.Final() || en.How != runner.Succeeded {
		return
	}
	un := jb.unitAt(en.Task)
	if un == nil || un.step.Lasting || un.phase == finished || en.Attempt > un.attempt {
		return
	}
	co.emit(Noted{Decision: "endsLate", Job: jb.ID, Task: en.Task.String(), Attempt: en.Attempt, Worker: nd.worker.ID, Reason: "the attempt had been given up, and has succeeded"})
	for _, other := range un.runs {
		co.stopRun(now, other)
	}
	jb.begun = true
	co.dirty(jb)
	co.finishUnit(now, un)
	co.release(un)
	co.touch(un)
}

// endCause ends the one task of a gang that has not been heard of, on a silent
// worker that has left the list, once all others have broken: it is the one
// whose end has broken them. Any other worker will say how it ended.
func (co *Core) endCause(un *unit) {
	var cause *run
	broken := 0
	for _, ru := range un.runs {
		switch {
		case ru.how == runner.Broken:
			broken++
		case ru.stage != over && cause == nil:
			cause = ru
		default:
			return
		}
	}
	if cause != nil && broken == un.tasks-1 && broken > 0 && !cause.node.listed && cause.node.silent() {
		co.finishRun(cause)
	}
}

// keep remembers the newest checkpoint. The first task speaks for its gang, so
// that a gang's checkpoints are never mixed.
func (un *unit) keep(ru *run, checkpoint string) {
	if checkpoint != "" && ru.task.Index == un.index {
		un.checkpoint = checkpoint
	}
}

func (co *Core) finishUnit(now time.Time, un *unit) {
	un.finish()
	if un.job.left == 0 && !un.job.state.Final() {
		co.endJob(now, un.job, batch.Done, "every task has succeeded")
	}
}

// failed counts the failure of an attempt, once for a gang.
func (co *Core) failed(now time.Time, nd *node, un *unit) {
	un.shun(nd.worker.ID)
	co.noteFailure(now, nd, un)
	co.blameWorker(now, nd, un, weightFailed)
	if un.counted || un.step.Lasting {
		return
	}
	un.counted = true
	un.failures++
	if un.failures >= co.maxAttempts(un.job) && !un.job.state.Final() {
		co.endJob(now, un.job, batch.Failed, "a task has failed as often as its queue permits")
	}
}

func (co *Core) maxAttempts(jb *job) int { return max(1, co.queueOf(jb).MaxAttempts) }

// queueOf returns a job's queue by the policy in force, or as it was when the
// job was accepted.
func (co *Core) queueOf(jb *job) *batch.Queue {
	if co.policy == nil {
		return &jb.Queue
	}
	if jb.policy != co.policy {
		jb.policy = co.policy
		jb.inForce = jb.Queue
		if qu, ok := co.policy.Queue(jb.Queue.Name); ok {
			jb.inForce = qu
		}
	}
	return &jb.inForce
}
