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
		interrupted  int // stopped, lease expired, missing after a reservation, or lost
		lost         int // part of interrupted: the leases on the worker have expired
		ran          int // known to have run
		mayHaveRun   int // of which it is unknown whether they ran
		checkpointed int // stopped after a checkpoint
		failure      string
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
	ta := tally{states: make([]taskState, len(jb.rec.Tasks))}
	for i, task := range jb.rec.Tasks {
		wst, ok := co.workers[task.Worker]
		switch {
		case jb.done[i]:
			ta.count(i, jb, task.Worker, worker.Task{}, false)
		case ok && wst.lost(now), !ok && now.Sub(co.startedAt) > lostAfter:
			ta.countLost(i, task.Worker)
		case !ok || wst.lastReply.IsZero():
			ta.unknown++
		default:
			entry, found := wst.tasks[jb.taskID(i)]
			found = found && entry.Epoch == jb.rec.Epoch
			ta.count(i, jb, task.Worker, entry, found)
		}
	}
	return ta
}

// countLost counts a task on a worker whose leases have certainly expired.
func (ta *tally) countLost(at int, name string) {
	ta.states[at] = taskInterrupted
	ta.interrupted++
	ta.lost++
	ta.mayHaveRun++
	ta.failedOn = name
}

func (ta *tally) count(at int, jb *job, name string, entry worker.Task, found bool) {
	if jb.done[at] || (found && entry.Phase == worker.PhaseSucceeded) {
		jb.done[at] = true
		ta.states[at] = taskSucceeded
		ta.succeeded++
		ta.ran++
		return
	}
	if !found {
		ta.countMissing(at, jb, name)
		return
	}
	if entry.Started {
		ta.ran++
	}
	switch entry.Phase {
	case worker.PhaseReserved:
		ta.states[at] = taskReserved
		ta.reserved++
	case worker.PhaseRunning:
		ta.states[at] = taskRunning
		ta.running++
	case worker.PhaseStopping:
		ta.states[at] = taskStopping
		ta.stopping++
	case worker.PhaseFailed:
		ta.states[at] = taskFailed
		ta.failed++
		ta.failure = entry.Error
		ta.failedOn = name
	default:
		ta.states[at] = taskInterrupted
		ta.interrupted++
		ta.failedOn = name
		if entry.Checkpointed {
			ta.checkpointed++
		}
	}
}

// countMissing counts a task that is not in its worker's table. If it had been
// reserved, the worker has lost its table, and the task may have run.
func (ta *tally) countMissing(at int, jb *job, name string) {
	if !jb.reserved[at] {
		ta.missing++
		ta.states[at] = taskMissing
		return
	}
	ta.interrupted++
	ta.states[at] = taskInterrupted
	ta.failedOn = name
	if jb.startSent || jb.fromEarlierEpoch {
		ta.mayHaveRun++
	}
}
