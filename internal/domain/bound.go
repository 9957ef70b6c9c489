package domain

import (
	"errors"
	"slices"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/batch"
	"github.com/cicadawharf/cicadawharf/internal/launch"
	"github.com/cicadawharf/cicadawharf/internal/runner"
)

// A start without a reply may be carried out by a later incarnation of its worker. So it
// is made again there, with the same number, as long as the worker is in touch; and an
// attempt that follows it begins on the same worker, until no copy of the start can take
// effect any more. A unit to which this applies is bound (unit.bound): no pass chooses
// workers for it but placeBound. Package launch decides by what is known of the calls.

const (
	// gangRepeatTime is how long after it was first sent the start of a gang member is
	// made again. The other members wait for it for 3 s at least.
	gangRepeatTime = 1500 * time.Millisecond
	// entryLapseTime is the time after which the entry of a worker that has ended is gone:
	// the platform removes it after three reports that it misses, 4.5 s, and a margin.
	entryLapseTime = 6 * time.Second
)

// noteStartReturned notes in the account of the calls that one has returned, whether the
// run that it was for has ended or not.
func (co *Core) noteStartReturned(now time.Time, ev Started) {
	rq := ev.Call.Request
	if ca := co.calls.Find(ev.Call.Worker.ID, rq.Task, rq.Attempt); ca != nil {
		ca.Return(now, ev.Repeated, ev.lostCopies())
	}
}

// lostCopies returns the number of copies of a start whose outcome is unknown.
func (ev Started) lostCopies() int {
	copies := 1
	if ev.Repeated {
		copies = 2
	}
	switch {
	case errors.Is(ev.Err, runner.ErrOutcomeUnknown):
		return copies
	case ev.Err == nil, errors.Is(ev.Err, runner.ErrFenced), errors.Is(ev.Err, runner.ErrRestarted):
		return copies - 1 // the outcome of one copy decides for both
	default:
		return 0
	}
}

// handleAnswered notes that the second reply to a start has arrived that was sent twice.
func (co *Core) handleAnswered(ev Answered) {
	rq := ev.Call.Request
	if ca := co.calls.Find(ev.Call.Worker.ID, rq.Task, rq.Attempt); ca != nil {
		ca.Answer()
	}
}

// withdrawStart gives up the call that starts a run if it has not returned.
func (co *Core) withdrawStart(ru *run) {
	if ru.call != nil && ru.call.Withdraw() {
		co.emit(Withdraw{Worker: ru.node.worker.ID, Task: ru.task, Attempt: ru.attempt})
	}
}

// see notes that the worker has carried out the start of a run.
func (ru *run) see() {
	if ru.call != nil {
		ru.call.See()
	}
}

// lateStartEnd returns when every lease has expired of an attempt of a run's task whose
// start may have reached another incarnation of the worker than the one that was known so
// far, or may still reach it. It returns zero if it can't: each start is settled and the
// known incarnation has carried out that of the run, or all of them are so old that they
// had arrived when that one last listed the run.
func (co *Core) lateStartEnd(now time.Time, ru *run) time.Time {
	if ru.stage == planned || ru.call == nil {
		return time.Time{}
	}
	var sent time.Time
	if !ru.startedHere || !ru.call.Settled() {
		sent = ru.call.Last(now)
	}
	sent = latest(sent, co.calls.LastUnsettled(now, ru.node.worker.ID, ru.task, ru.call))
	if sent.IsZero() || ru.startedHere && ru.listedAt.Sub(sent) >= maxCallDelay {
		return time.Time{}
	}
	return latest(sent, ru.node.leaseSentAt).Add(maxCallDelay + maxLeaseTime)
}

// mayRepeatStart reports whether the start of a run that its worker doesn't list is made
// again there. The worker has just replied.
func (co *Core) mayRepeatStart(now time.Time, ru *run) bool {
	un, nd := ru.unit, ru.node
	span := launch.Patience
	if un != nil && un.tasks > 1 {
		span = gangRepeatTime
	}
	switch {
	case un == nil, un.phase != live, ru.stop.requested, un.memberEnded, un.job.state.Final(), now.Sub(ru.call.First()) >= span:
		return false
	case ru.stage == adopted && un.tasks > 1: // it may have to carry another checkpoint than the others
		return false
	case nd.fence.pending, ru.isOfFormerIncarnation(), nd.entryBorn != 0 && nd.entryBorn != nd.worker.Born:
		return false
	case !nd.listed, nd.worker.Draining, nd.evacuated, !nd.drainBy.IsZero(), !nd.free().Covers(batch.Resources{}):
		return false
	default:
		return co.pacer.open < co.pacer.limit && co.suitsClaim(un, nd)
	}
}

// repeatStart makes the start of a run again on the same worker, once the store names it
// as repeated.
func (co *Core) repeatStart(now time.Time, ru *run, reason string) {
	if !ru.isRepeatRecorded() {
		co.recordRepeat(ru)
		return
	}
	co.emit(LogDecision{Decision: "startsAgain", Job: ru.task.Job, Task: ru.task.String(), Attempt: ru.attempt, Worker: ru.node.worker.ID, Reason: reason})
	co.sendStart(now, ru)
}

// endRefused ends a run whose start was refused, or stops it if an earlier copy of the start
// may still run it there.
func (co *Core) endRefused(now time.Time, ru *run) {
	if ru.call.Settled() {
		co.endRun(ru)
		return
	}
	ru.startLostAt = now
	co.stopAfterLostStart(now, ru)
	co.pollNow(now, ru.node)
}

// watchCalls notes that a unit has no attempt and that a start of it may still take effect,
// so that checkBound decides whether it is bound.
func (co *Core) watchCalls(now time.Time, un *unit) {
	if co.mayBar(now, un) && !un.watched {
		un.watched, un.bound = true, true
		co.watched = append(co.watched, un)
	}
}

// contactOf returns what is known of a worker that was told to start something.
func (co *Core) contactOf(now time.Time, worker string) launch.Contact {
	nd, ok := co.nodes[worker]
	if !ok {
		return launch.Contact{Gone: true}
	}
	return launch.Contact{
		Alive:   co.isKnownAlive(now, nd),
		InTouch: !nd.unresponsive() && !nd.fence.pending,
		Born:    nd.worker.Born,
		Gone:    !nd.listed || nd.worker.Draining,
		HeardAt: nd.clockReadAfter,
	}
}

// contacts returns contactOf at a time.
func (co *Core) contacts(now time.Time) func(worker string) launch.Contact {
	return func(worker string) launch.Contact { return co.contactOf(now, worker) }
}

// isKnownAlive reports whether a silent worker must have lived on since it fell silent: its
// entry would have lapsed by now, or would show the next incarnation.
func (co *Core) isKnownAlive(now time.Time, nd *node) bool {
	return nd.listed && nd.entryBorn == nd.worker.Born && !nd.silentSince.IsZero() && now.Sub(nd.silentSince) >= entryLapseTime &&
		now.Sub(co.leaseConfirmedAt) < shortLeaseAge // the store answers
}

// checkBound determines which units are bound, and polls the workers that they wait for. A
// unit may be bound again, since a worker that was in touch may fall silent.
func (co *Core) checkBound(now time.Time) {
	co.watched = slices.DeleteFunc(co.watched, func(un *unit) bool {
		co.examine(un.tasks)
		un.watched = un.phase == waiting && !un.job.state.Final() && co.mayBar(now, un)
		un.bound = un.watched && !co.mayBeginAnywhere(now, un)
		return !un.watched
	})
	for _, un := range co.watched {
		if !un.bound {
			continue
		}
		for i := range un.tasks {
			for _, worker := range co.calls.Asks(now, un.taskID(i), co.contacts(now)) {
				co.askBinding(now, co.nodes[worker])
			}
		}
	}
}

// askBinding polls a worker that work is bound to, unless it was polled for that a moment
// ago.
func (co *Core) askBinding(now time.Time, nd *node) {
	if now.Sub(nd.bindingAskedAt) >= pollRetryDelay {
		nd.bindingAskedAt = now
		co.pollNow(now, nd)
	}
}

// mayBeginAnywhere reports whether no task of a unit is restricted to a worker.
func (co *Core) mayBeginAnywhere(now time.Time, un *unit) bool {
	for i := range un.tasks {
		if !co.calls.Next(now, un.taskID(i), co.contacts(now)).Anywhere {
			return false
		}
	}
	return true
}

// mayBar reports whether some call may restrict where the next attempt of a unit begins.
func (co *Core) mayBar(now time.Time, un *unit) bool {
	for i := range un.tasks {
		if co.calls.MayBar(now, un.taskID(i)) {
			return true
		}
	}
	return false
}

// placeBound places the bound units for which their workers have room.
func (co *Core) placeBound(ps *pass) {
	for _, un := range co.watched {
		co.examine(un.tasks)
		if !un.bound || un.claim != nil || un.abandonedRuns > 0 || ps.now.Before(un.notBefore) || !co.bindingAccepts(ps, un) || !co.ensureAdvice(ps, un) {
			continue
		}
		if nodes := co.chooseBound(ps, un); nodes != nil {
			co.place(ps.now, un, nodes)
		}
	}
}

// bindingAccepts reports whether the workers that the tasks of a unit are restricted to take
// work, so that advice about them is of use.
func (co *Core) bindingAccepts(ps *pass, un *unit) bool {
	for i := range un.tasks {
		ch := co.calls.Next(ps.now, un.taskID(i), co.contacts(ps.now))
		if nd := co.nodes[ch.Worker]; !ch.Anywhere && (nd == nil || !nd.acceptsWorkIfHealthy(ps.now)) {
			return false
		}
	}
	return true
}

// chooseBound returns a worker for each task of a bound unit: the one that the task is
// restricted to, and any others for the rest of a gang. It returns nil if not all fit.
func (co *Core) chooseBound(ps *pass, un *unit) []*node {
	key := co.fitKeyOf(ps, un.ownGroup(ps.now), un)
	nodes := make([]*node, un.tasks)
	taken := map[*node]int{}
	rack := ""
	for i := range nodes {
		ch := co.calls.Next(ps.now, un.taskID(i), co.contacts(ps.now))
		if ch.Anywhere {
			continue
		}
		nd := co.nodes[ch.Worker]
		if nd == nil || !co.takesBound(ps, un, nd) || un.fitCount(nd, nd.free(), taken[nd]+1) <= taken[nd] {
			return nil
		}
		nodes[i], rack = nd, nd.worker.Rack
		taken[nd]++
	}
	if un.tasks > 1 && !co.fillBound(ps, un, key, nodes, taken, rack) {
		return nil
	}
	return nodes
}

// takesBound reports whether a worker may run a unit that is bound to it, whatever its
// health.
func (co *Core) takesBound(ps *pass, un *unit, nd *node) bool {
	return nd.acceptsWorkIfHealthy(ps.now) && !ps.now.Before(nd.isolatedUntil) && co.suitsClaim(un, nd)
}

// fillBound chooses workers for the members of a gang that are not restricted to one, and
// reports whether all fit. Those that are have been chosen and are on one of the workers
// in taken.
func (co *Core) fillBound(ps *pass, un *unit, key fitKey, nodes []*node, taken map[*node]int, rack string) bool {
	sls, _ := co.candidates(ps, un, key, un.tasks, true)
	if un.step.OneRack && !key.anyRack {
		sls = slices.DeleteFunc(sls, func(sl slot) bool { return sl.node.worker.Rack != rack })
	}
	for i := range sls {
		sls[i].tasks -= taken[sls[i].node]
	}
	sls = slices.DeleteFunc(sls, func(sl slot) bool { return sl.tasks <= 0 })
	left := 0
	for _, nd := range nodes {
		if nd == nil {
			left++
		}
	}
	if countTasks(sls) < left {
		return false
	}
	rest := takeFirst(sls, left, preferWarm(compareFew))
	for i, nd := range nodes {
		if nd == nil {
			nodes[i], rest = rest[0], rest[1:]
		}
	}
	return true
}
