package domain

import (
	"slices"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/batch"
	"github.com/cicadawharf/cicadawharf/internal/runner"
)

// lostRun describes a run that was lost with its worker. As long as it is
// unknown whether the worker has crashed, the next sign of life at its address
// is waited for; see resolveLosses.
type lostRun struct {
	unit      *unit
	task      batch.TaskID
	attempt   int
	worker    runner.Worker
	age       ageRange
	confirmed bool // the worker had confirmed the start
	suspect   bool
	at        time.Time // when the run was considered ended
}

const (
	// openLossRetention is how long it may take until it is known whether the
	// worker of a lost run has crashed.
	openLossRetention = time.Minute
	// openLossHold is how long a task is not started again that would be given up
	// if its last worker turned out to have crashed.
	openLossHold = 10 * time.Second
)

// recordLoss counts the loss of a run against its task if its worker has
// crashed, or remembers it as long as that is unknown.
func (co *Core) recordLoss(now time.Time, ru *run, ls loss) {
	un := ru.unit
	if un == nil || un.phase == finished {
		return
	}
	lr := lostRun{
		unit: un, task: ru.task, attempt: ru.attempt, worker: ru.node.worker, age: ls.age,
		confirmed: !ru.confirmedAt.IsZero(), suspect: co.isSuspect(now, ru, ls.age), at: now,
	}
	switch ls.cause {
	case Restarted, Replaced:
		co.recordCrash(now, lr)
	case LeaseExpired, GangEnded:
		open := co.countOpenLosses(lr)
		co.openLosses = append(co.openLosses, lr)
		if un.crashes[lr.task.Index].withCrash(lr).isGuilty(open) {
			un.notBefore = now.Add(openLossHold)
		}
	}
}

// countOpenLosses counts the other open losses of a run's task at about the same
// age.
func (co *Core) countOpenLosses(lr lostRun) int {
	n := 0
	for _, other := range co.openLosses {
		if other.unit == lr.unit && other.task == lr.task && other.age.overlaps(lr.age) {
			n++
		}
	}
	return n
}

// resolveLosses decides about the runs that were given up on a worker, or on
// another one at its address, now that the worker is known to run.
func (co *Core) resolveLosses(now time.Time, wk runner.Worker) {
	if len(co.openLosses) == 0 || wk.Born == 0 {
		return
	}
	open := co.openLosses
	co.openLosses = nil
	for _, lr := range open {
		restarted := lr.worker.ID == wk.ID && lr.worker.Born != 0
		replaced := lr.worker.ID != wk.ID && lr.worker.Address == wk.Address
		switch {
		case (restarted || replaced) && wk.Born > lr.worker.Born:
			co.recordCrash(now, lr)
		case lr.worker.ID != wk.ID || wk.Born < lr.worker.Born:
			co.openLosses = append(co.openLosses, lr)
			continue
		}
		lr.unit.notBefore = time.Time{}
		co.passDue = true
	}
}

// forgetOpenLosses drops open losses after openLossRetention.
func (co *Core) forgetOpenLosses(now time.Time) {
	co.openLosses = slices.DeleteFunc(co.openLosses, func(lr lostRun) bool { return now.Sub(lr.at) > openLossRetention })
}
