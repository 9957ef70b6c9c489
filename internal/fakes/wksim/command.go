package wksim

import (
	"time"

	"github.com/cicadawharf/cicadawharf/internal/worker"
)

var resultOK = worker.Result{OK: true}

func refused(reason string) worker.Result { return worker.Result{Reason: reason} }

// execute performs one command that validate has accepted.
func (tb *Table) execute(now time.Time, cm worker.Command) worker.Result {
	ta := tb.find(cm.Task)
	switch cm.Op {
	case worker.OpReserve:
		return tb.reserve(now, ta, cm)
	case worker.OpStart:
		return tb.start(now, ta, cm)
	case worker.OpRelease:
		return tb.release(ta)
	case worker.OpStop:
		return tb.stop(now, ta, cm.CheckpointTimeout)
	case worker.OpAck:
		return tb.ack(ta)
	case worker.OpThrottle:
		return tb.throttle(now, ta, cm.Rate)
	default:
		return refused(worker.ReasonNoTask)
	}
}

func (tb *Table) reserve(now time.Time, ta *task, cm worker.Command) worker.Result {
	if ta != nil {
		return tb.reserveAgain(now, ta, cm)
	}
	if tb.draining {
		return refused(worker.ReasonDraining)
	}
	if cm.Accelerators > tb.Free() {
		return refused(worker.ReasonNoCapacity)
	}
	ta = &task{
		row: worker.Task{
			ID: cm.Task, Workspace: cm.Workspace, Accelerators: cm.Accelerators,
			Phase: worker.PhaseReserved, Epoch: tb.epoch,
		},
		rate:    1,
		expires: now.Add(cm.Lease),
	}
	tb.tasks = append(tb.tasks, ta)
	tb.version++
	return resultOK
}

// reserveAgain repeats a reservation. It renews the lease, and a task that hasn't
// been started takes over the current epoch.
func (tb *Table) reserveAgain(now time.Time, ta *task, cm worker.Command) worker.Result {
	if ta.row.Phase.Ended() {
		return refused(worker.ReasonEnded)
	}
	if ta.row.Phase == worker.PhaseReserved && ta.row.Epoch != tb.epoch {
		ta.row.Epoch = tb.epoch
		tb.version++
	}
	ta.renew(now, cm.Lease)
	return resultOK
}

func (tb *Table) start(now time.Time, ta *task, cm worker.Command) worker.Result {
	if ta == nil {
		return refused(worker.ReasonNoTask)
	}
	if ta.row.Phase.Ended() {
		return refused(worker.ReasonEnded)
	}
	if cm.Lease > 0 {
		ta.renew(now, cm.Lease)
	}
	if ta.row.Started {
		return resultOK
	}
	pl := parsePlan(cm.Command, tb.cfg.RunScale)
	if tb.failStarts {
		pl = plan{failure: failStartsError}
	}
	ta.start(now, pl)
	tb.version++
	tb.runOf[ta.row.ID] = len(tb.runs)
	tb.runs = append(tb.runs, Run{
		Worker: tb.cfg.Worker, Task: ta.row.ID, Workspace: ta.row.Workspace,
		Accelerators: ta.row.Accelerators, Epoch: ta.row.Epoch,
		Started: now, Phase: worker.PhaseRunning,
	})
	return resultOK
}

func (tb *Table) release(ta *task) worker.Result {
	switch {
	case ta == nil:
		return resultOK
	case ta.row.Phase.Ended():
		return refused(worker.ReasonEnded)
	case ta.row.Started:
		return refused(worker.ReasonActive)
	}
	tb.remove(ta)
	return resultOK
}

func (tb *Table) stop(now time.Time, ta *task, timeout time.Duration) worker.Result {
	switch {
	case ta == nil:
		return refused(worker.ReasonNoTask)
	case ta.row.Phase.Ended():
		return resultOK
	case ta.row.Phase == worker.PhaseReserved:
		tb.end(ta, now, worker.PhaseStopped)
		return resultOK
	case ta.row.Phase == worker.PhaseRunning:
		tb.version++
	}
	ta.stop(now, timeout)
	return resultOK
}

func (tb *Table) ack(ta *task) worker.Result {
	switch {
	case ta == nil:
		return resultOK
	case !ta.row.Phase.Ended():
		return refused(worker.ReasonActive)
	}
	tb.remove(ta)
	return resultOK
}

func (tb *Table) throttle(now time.Time, ta *task, rate float64) worker.Result {
	switch {
	case ta == nil:
		return refused(worker.ReasonNoTask)
	case ta.row.Phase.Ended():
		return refused(worker.ReasonEnded)
	}
	ta.setRate(now, rate)
	return resultOK
}
