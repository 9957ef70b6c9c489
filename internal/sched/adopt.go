package sched

import (
	"slices"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/jobs"
	"github.com/cicadawharf/cicadawharf/internal/worker"
)

// finishTakeover ends the takeover from an earlier core once every known worker
// has replied or takeoverTimeout is over. It reports whether the takeover is
// done, so that placement may begin.
func (co *Core) finishTakeover(now time.Time) bool {
	if co.takeoverDone {
		return true
	}
	if co.decl == nil || len(co.workers) == 0 {
		return false
	}
	if now.Sub(co.startedAt) < takeoverTimeout {
		for _, wst := range co.workers {
			if wst.lastReply.IsZero() {
				return false
			}
		}
	}
	co.takeoverDone = true
	co.adoptUnrecorded()
	return true
}

// adoptUnrecorded takes over the attempts that an earlier core began while the
// store was unavailable. An attempt of which a task is missing only advances the
// record's attempt; the job stays queued, so no attempt owns the tasks found, and
// releaseUnowned stops them.
func (co *Core) adoptUnrecorded() {
	for id, jb := range co.jobs {
		if jb.rec.State != jobs.Queued {
			continue
		}
		attempt, epoch := co.findAttempt(jb)
		if attempt == 0 {
			continue
		}
		tasks := co.tasksOf(jb, attempt, epoch)
		if !slices.ContainsFunc(tasks, func(ta jobs.Task) bool { return ta.Worker == "" }) {
			jb.rec.Tasks = tasks
			jb.rec.Started = jb.beganAt
			jb.rec = jb.rec.WithState(jobs.Starting)
			jb.reserved = slices.Repeat([]bool{true}, len(tasks))
			jb.succeeded = make([]bool, len(tasks))
		}
		jb.rec.Attempt = attempt
		jb.rec.Epoch = epoch
		co.markUnsaved(jb)
		co.markChanged(id)
	}
	for _, wst := range co.workers {
		co.releaseUnowned(wst)
	}
}

// findAttempt returns the last unrecorded attempt of a job in the lease tables
// and its epoch, or zero if there is none.
func (co *Core) findAttempt(jb *job) (attempt int, epoch int64) {
	for _, wst := range co.workers {
		for id, ta := range wst.tasks {
			if id.Job != jb.rec.ID || id.Attempt <= jb.rec.Attempt {
				continue
			}
			if id.Attempt > attempt || (id.Attempt == attempt && ta.Epoch > epoch) {
				attempt, epoch = id.Attempt, ta.Epoch
			}
		}
	}
	return attempt, epoch
}

// tasksOf returns the tasks of an attempt that run or have succeeded; the
// others are left empty.
func (co *Core) tasksOf(jb *job, attempt int, epoch int64) []jobs.Task {
	tasks := make([]jobs.Task, jb.rec.CurrentStep().Shape.Tasks)
	for _, wst := range co.workers {
		for id, ta := range wst.tasks {
			adoptable := ta.Phase == worker.PhaseRunning || ta.Phase == worker.PhaseSucceeded
			if id.Job == jb.rec.ID && id.Attempt == attempt && ta.Epoch == epoch && id.Index < len(tasks) && adoptable {
				tasks[id.Index] = jobs.Task{Worker: wst.host.Name, Address: wst.host.Address}
			}
		}
	}
	return tasks
}

// mayAdopt reports whether a task belongs to an attempt that an earlier core
// began but could not record.
func (jb *job) mayAdopt(ta worker.Task) bool {
	return jb.fromEarlierEpoch && jb.rec.State == jobs.Queued && ta.ID.Attempt > jb.rec.Attempt
}
