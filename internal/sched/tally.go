package sched

import (
	"time"

	"github.com/cicadawharf/cicadawharf/internal/worker"
)

type (
	// standing is where one task of an attempt is, as far as it is known.
	standing uint8

	// tally counts the tasks of an attempt by standing.
	tally struct {
		at        []standing
		unknown   int
		missing   int
		reserved  int
		running   int
		stopping  int
		succeeded int
		failed    int
		cut       int // stopped, lapsed, missing after a reservation, or lost
		lost      int
		ran       int // known to have run
		doubt     int // may have run
		saved     int // stopped after a checkpoint
		failure   string
		where     string // worker of the first failure
	}
)

const (
	isUnknown standing = iota // its worker was not heard yet
	isMissing                 // no reservation was made
	isReserved
	isRunning
	isStopping
	isSucceeded
	isFailed
	isCut
)

// tally looks up every task of the present attempt.
func (co *Core) tally(now time.Time, jb *job) tally {
	ta := tally{at: make([]standing, len(jb.rec.Tasks))}
	for i, task := range jb.rec.Tasks {
		ma, ok := co.machines[task.Worker]
		switch {
		case jb.done[i]:
			ta.count(i, jb, task.Worker, worker.Task{}, false)
		case ok && ma.lost(now), !ok && now.Sub(co.began) > silentAfter:
			ta.lose(i, task.Worker)
		case !ok || ma.heard.IsZero():
			ta.unknown++
		default:
			row, found := ma.rows[jb.taskID(i)]
			found = found && row.Epoch == jb.rec.Epoch
			ta.count(i, jb, task.Worker, row, found)
		}
	}
	return ta
}

// lose counts a task whose worker has been silent for longer than its lease.
func (ta *tally) lose(at int, name string) {
	ta.at[at] = isCut
	ta.cut++
	ta.lost++
	ta.doubt++
	ta.where = name
}

func (ta *tally) count(at int, jb *job, name string, row worker.Task, found bool) {
	if jb.done[at] || (found && row.Phase == worker.PhaseSucceeded) {
		jb.done[at] = true
		ta.at[at] = isSucceeded
		ta.succeeded++
		ta.ran++
		return
	}
	if !found {
		ta.countMissing(at, jb, name)
		return
	}
	if row.Started {
		ta.ran++
	}
	switch row.Phase {
	case worker.PhaseReserved:
		ta.at[at] = isReserved
		ta.reserved++
	case worker.PhaseRunning:
		ta.at[at] = isRunning
		ta.running++
	case worker.PhaseStopping:
		ta.at[at] = isStopping
		ta.stopping++
	case worker.PhaseFailed:
		ta.at[at] = isFailed
		ta.failed++
		ta.failure = row.Error
		ta.where = name
	default:
		ta.at[at] = isCut
		ta.cut++
		ta.where = name
		if row.Checkpointed {
			ta.saved++
		}
	}
}

// countMissing counts a task that its worker knows nothing of. If it had been
// reserved, the worker has lost its table, and the task may have run.
func (ta *tally) countMissing(at int, jb *job, name string) {
	if !jb.reserved[at] {
		ta.missing++
		ta.at[at] = isMissing
		return
	}
	ta.cut++
	ta.at[at] = isCut
	ta.where = name
	if jb.sent || jb.adopted {
		ta.doubt++
	}
}
