package domain

import (
	"slices"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/batch"
	"github.com/cicadawharf/cicadawharf/internal/runner"
)

type (
	// lostRun describes a run that was lost with its worker. As long as it is
	// unknown whether the worker has crashed, the next sign of life at its address
	// is waited for; see resolveLosses.
	lostRun struct {
		unit      *unit
		task      batch.TaskID
		attempt   int
		worker    runner.Worker
		age       ageRange
		confirmed bool // the worker had confirmed the start
		suspect   bool
		former    bool      // another incarnation of the worker than the one known since had run it
		lone      bool      // no other worker was lost at the same time
		at        time.Time // when the run was considered ended
	}

	// openRuns counts the lost runs of a task of which it is unknown whether their
	// workers have crashed.
	openRuns struct {
		sameAge int // at about the same age of the attempt
		lone    int // whose workers were lost alone
	}

	// openLosses holds the lost runs of which it is unknown whether their workers
	// have crashed. There may be thousands after the loss of a zone, so each
	// response of a worker looks up only those that it may resolve.
	openLosses struct {
		all      []*lostRun
		byWorker map[string][]*lostRun // by ID and by address of the worker
	}
)

const (
	// openLossRetention is how long it may take until it is known whether the
	// worker of a lost run has crashed.
	openLossRetention = time.Minute
	// openLossHold is how long a task is not started again that would be given up
	// if its last worker turned out to have crashed, as long as the platform lists
	// that worker.
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
		confirmed: !ru.confirmedAt.IsZero(), suspect: co.isSuspect(now, ru, ls.age), former: ru.isOfFormerIncarnation(),
		lone: co.wasLostAlone(now, ru.node), at: now,
	}
	switch ls.cause {
	case Restarted, Replaced:
		co.recordCrash(now, lr)
	case LeaseExpired, GangEnded:
		open := co.openLosses.count(lr)
		co.openLosses.add(lr)
		if ru.node.listed && un.crashes[lr.task.Index].withCrash(lr).isGuilty(open) {
			un.notBefore = now.Add(openLossHold)
		}
	}
}

// resolveLosses decides about the runs that were given up on a worker, or on
// another one at its address, now that the worker is known to run.
func (co *Core) resolveLosses(now time.Time, wk runner.Worker) {
	if wk.Born == 0 {
		return
	}
	co.resolve(now, wk, co.openLosses.at(wk))
}

// resolveOwnLosses decides about the runs that were given up on a worker whose
// entry was read. An entry says nothing about others at its address.
func (co *Core) resolveOwnLosses(now time.Time, wk runner.Worker) {
	if wk.Born == 0 {
		return
	}
	co.resolve(now, wk, slices.DeleteFunc(co.openLosses.at(wk), func(lr *lostRun) bool { return lr.worker.ID != wk.ID }))
}

// resolve decides about those of some lost runs of which a worker that is known to
// run shows whether their worker has crashed.
func (co *Core) resolve(now time.Time, wk runner.Worker, lost []*lostRun) {
	var resolved []*lostRun
	for _, lr := range lost {
		known, crashed := lr.resolvedBy(wk)
		if !known {
			continue
		}
		resolved = append(resolved, lr)
		if crashed {
			co.recordCrash(now, *lr)
		}
		lr.unit.notBefore = time.Time{}
		co.passDue = true
	}
	if len(resolved) > 0 {
		co.openLosses.remove(func(lr *lostRun) bool { return slices.Contains(resolved, lr) })
	}
}

// releaseHolds lets the tasks be started again that wait for a sign of life of a
// worker that the platform no longer lists.
func (co *Core) releaseHolds(worker string) {
	for _, lr := range co.openLosses.byWorker[worker] {
		if lr.worker.ID == worker {
			lr.unit.notBefore = time.Time{}
			co.passDue = true
		}
	}
}

// forgetOpenLosses drops open losses after openLossRetention.
func (co *Core) forgetOpenLosses(now time.Time) {
	co.openLosses.remove(func(lr *lostRun) bool { return now.Sub(lr.at) > openLossRetention })
}

// resolvedBy reports whether a sign of life of a worker shows what became of the
// worker of a lost run, and whether that one has crashed.
func (lr *lostRun) resolvedBy(wk runner.Worker) (known, crashed bool) {
	switch {
	case lr.worker.ID == wk.ID:
		known = wk.Born >= lr.worker.Born
		crashed = known && (lr.former || lr.worker.Born != 0 && wk.Born != lr.worker.Born)
	case lr.worker.Address == wk.Address:
		crashed = wk.Born > lr.worker.Born
		known = crashed
	}
	return known, crashed
}

func newOpenLosses() openLosses { return openLosses{byWorker: map[string][]*lostRun{}} }

// add adds a lost run.
func (ol *openLosses) add(lr lostRun) {
	ol.all = append(ol.all, &lr)
	for _, key := range []string{lr.worker.ID, lr.worker.Address} {
		ol.byWorker[key] = append(ol.byWorker[key], &lr)
	}
}

// at returns the lost runs of a worker and of others at its address.
func (ol *openLosses) at(wk runner.Worker) []*lostRun {
	if len(ol.all) == 0 {
		return nil
	}
	lrs := slices.Clone(ol.byWorker[wk.ID])
	for _, lr := range ol.byWorker[wk.Address] {
		if lr.worker.ID != wk.ID {
			lrs = append(lrs, lr)
		}
	}
	return lrs
}

// remove removes the lost runs for which drop returns true.
func (ol *openLosses) remove(drop func(*lostRun) bool) {
	ol.all = slices.DeleteFunc(ol.all, func(lr *lostRun) bool {
		if !drop(lr) {
			return false
		}
		ol.unindex(lr)
		return true
	})
}

// unindex removes a lost run from byWorker.
func (ol *openLosses) unindex(lr *lostRun) {
	for _, key := range []string{lr.worker.ID, lr.worker.Address} {
		lrs := slices.DeleteFunc(ol.byWorker[key], func(other *lostRun) bool { return other == lr })
		if len(lrs) == 0 {
			delete(ol.byWorker, key)
		} else {
			ol.byWorker[key] = lrs
		}
	}
}

// count counts the other lost runs of a run's task.
func (ol *openLosses) count(lr lostRun) openRuns {
	var open openRuns
	for _, other := range ol.all {
		if other.unit != lr.unit || other.task != lr.task || other.attempt == lr.attempt {
			continue
		}
		if other.age.overlaps(lr.age) {
			open.sameAge++
		}
		if other.lone {
			open.lone++
		}
	}
	return open
}
