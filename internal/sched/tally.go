package sched

import (
	"time"

	"github.com/cicadawharf/cicadawharf/internal/worker"
)

type (
	// taskState is the last known state of one task of an attempt.
	taskState uint8

	// tally counts the tasks of an attempt. The counts from unknown to
	// interrupted are by state, and each task is in one of them; the others
	// overlap with them.
	tally struct {
		states       []taskState
		unknown      int
		missing      int
		reserved     int
		running      int
		stopping     int
		succeeded    int
		failed       int
		interrupted  int    // stopped, lease expired, missing after a reservation, or lost
		lost         int    // part of interrupted: the leases on the worker have expired
		ran          int    // known to have run
		mayHaveRun   int    // of which it is unknown whether they ran
		checkpointed int    // stopped after a checkpoint
		taskError    string // error of the last task that failed
		failedOn     string // worker of the last task that failed or was interrupted
	}
)

const (
	taskUnknown taskState = iota // its worker has not replied yet
	taskMissing                  // no reservation was made
	taskReserved
	taskRunning
	taskStopping
	taskSucceeded
	taskFailed
	taskInterrupted
)

// tally looks up every task of the current attempt in the lease tables.
func (co *Core) tally(now time.Time, jb *job) tally {
	tl := tally{states: make([]taskState, len(jb.rec.Tasks))}
	for i, task := range jb.rec.Tasks {
		wst, ok := co.workers[task.Worker]
		switch {
		case jb.succeeded[i]:
			tl.count(i, jb, task.Worker, worker.Task{}, false)
		case ok && wst.lost(now), !ok && now.Sub(co.startedAt) > lostAfter:
			tl.countLost(i, task.Worker)
		case !ok || wst.lastReply.IsZero():
			tl.unknown++
		default:
			entry, found := wst.tasks[jb.taskID(i)]
			found = found && entry.Epoch == jb.rec.Epoch
			tl.count(i, jb, task.Worker, entry, found)
		}
	}
	return tl
}

// countLost counts a task on a worker whose leases have certainly expired.
func (tl *tally) countLost(at int, name string) {
	tl.states[at] = taskInterrupted
	tl.interrupted++
	tl.lost++
	tl.mayHaveRun++
	tl.failedOn = name
}

// count counts a task by its entry in the worker's lease table, if one was found.
func (tl *tally) count(at int, jb *job, name string, entry worker.Task, found bool) {
	if jb.succeeded[at] || (found && entry.Phase == worker.PhaseSucceeded) {
		jb.succeeded[at] = true
		tl.states[at] = taskSucceeded
		tl.succeeded++
		tl.ran++
		return
	}
	if !found {
		tl.countMissing(at, jb, name)
		return
	}
	if entry.Started {
		tl.ran++
	}
	switch entry.Phase {
	case worker.PhaseReserved:
		tl.states[at] = taskReserved
		tl.reserved++
	case worker.PhaseRunning:
		tl.states[at] = taskRunning
		tl.running++
	case worker.PhaseStopping:
		tl.states[at] = taskStopping
		tl.stopping++
	case worker.PhaseFailed:
		tl.states[at] = taskFailed
		tl.failed++
		tl.taskError = entry.Error
		tl.failedOn = name
	default:
		tl.states[at] = taskInterrupted
		tl.interrupted++
		tl.failedOn = name
		if entry.Checkpointed {
			tl.checkpointed++
		}
	}
}

// countMissing counts a task that is not in its worker's lease table. If it had
// been reserved, the worker has lost the table, and the task may have run.
func (tl *tally) countMissing(at int, jb *job, name string) {
	if !jb.reserved[at] {
		tl.missing++
		tl.states[at] = taskMissing
		return
	}
	tl.interrupted++
	tl.states[at] = taskInterrupted
	tl.failedOn = name
	if jb.startSent || jb.fromEarlierEpoch {
		tl.mayHaveRun++
	}
}
