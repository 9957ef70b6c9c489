package domain

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/batch"
	"github.com/cicadawharf/cicadawharf/internal/runner"
)

type (
	// node is the state of one worker.
	node struct {
		worker                 runner.Worker
		bornAt                 time.Time // when worker.Born changed
		entryBorn              int64     // worker.Born by its last entry, zero if that has none; replies may show another one
		listed                 bool
		runs                   map[runKey]*run // that have not ended
		runsByTask             []*run          // nil if outdated; see sortedRuns
		used                   batch.Resources // by runs and claims
		stopping               batch.Resources // the part of it that runs which are being stopped will free
		clock                  time.Duration   // the worker's clock, read at clockAt or shortly before
		clockAt                time.Time
		lastResponse           time.Time     // to a poll
		lastFailure            time.Time     // of a call
		silentSince            time.Time     // when the first call since lastResponse failed; zero if none did
		lastRefusal            time.Time     // of a start
		leaseEnd               time.Time     // when every lease granted here has expired
		earlierLeases          time.Time     // the same for those of an earlier term or incarnation
		deadline               time.Duration // the latest one granted to this incarnation in this term, on its clock
		leaseSentAt            time.Time     // when one was last granted here in this term
		clockReadAfter         time.Time     // when the poll was sent whose reply has the clock
		fence                  fence
		bindingAskedAt         time.Time    // see askBinding
		polling                bool         // the long poll for ends is in flight
		nextPoll               time.Time    // earliest time of the next poll
		lastEnd                int64        // number of the last end processed
		pendingEnds            []pendingEnd // processed, but not in the store yet, or not to be acknowledged yet
		moreEnds               bool         // the last reply has not listed all ends
		lateEnds               int          // how many of the first of these are counted as late
		savedEnd               int64        // number of the last end in the store
		ackedEnd               int64        // number of the last end acknowledged to the worker
		endsOmitted            bool         // the last reply to a poll may have omitted ends of runs
		health                 health
		locations              []locationKey // see locationKeys
		countedAt              []locationKey // the same if it is listed, see countNode; nil otherwise
		bestEffortBlockedUntil time.Time     // see besteffort.go
		hasShrunk              bool          // its capacity was reduced in this term
		isolatedUntil          time.Time     // until when no other work is placed there; see unit.isolate
		departsAt              time.Time     // when the platform may take the worker away at the earliest; zero if unknown
		evacuated              bool          // its availability zone is to be evacuated
		coldUntil              time.Time     // see cold.go
		cold                   bool          // coldUntil was in the future when last checked
		drainBy                time.Time     // when it should be free of work for maintenance; zero if there is no deadline
	}

	runKey struct {
		task    batch.TaskID
		attempt int
	}
)

// listWorker adds or updates the node of a worker by its platform entry.
func (co *Core) listWorker(now time.Time, wk runner.Worker) {
	nd, ok := co.nodes[wk.ID]
	if ok && nd.listed && nd.worker.Equal(wk) && nd.entryBorn == wk.Born {
		return // the platform rewrites entries that have not changed
	}
	if !ok {
		nd = co.nodeFor(wk.ID)
	}
	if nd.worker.Born != 0 && wk.Born != 0 && nd.worker.Born != wk.Born {
		co.handleRestart(now, nd, wk.Born, "the worker has restarted, by its entry")
	}
	former := nd.worker.Capacity
	co.setWorker(now, nd, wk)
	co.setListed(nd, true)
	if !wk.Capacity.Covers(former) {
		co.handleShrink(nd)
	}
	nd.setDepartsAt(now)
	nd.setCold(now)
	co.drainNode(now, nd)
	co.pollPredecessors(now, nd)
	co.resolveOwnLosses(now, wk)
	co.passDue = true
}

// pollPredecessors polls the earlier workers at the address of a worker that was
// listed. Anybody may write an entry, so it ends nothing by itself: the refusal of
// a call that expects a former worker does (runner.ErrRestarted), and so does a
// reply of the new one; see endPredecessors.
func (co *Core) pollPredecessors(now time.Time, nd *node) {
	for _, former := range co.predecessors(nd) {
		co.pollNow(now, former)
	}
}

// endPredecessors ends the earlier workers at the address of a worker that has
// replied there to a poll. One that has replied since that was sent is no earlier one,
// whatever the clocks of the two say.
func (co *Core) endPredecessors(now time.Time, nd *node, sent time.Time) {
	for _, former := range co.predecessors(nd) {
		if former.lastResponse.After(sent) {
			continue
		}
		co.setListed(former, false)
		co.endIncarnation(now, former, Replaced.unlessDeparting(former))
	}
}

// predecessors returns the other workers that have a worker's address, by their
// entries, and were born earlier.
func (co *Core) predecessors(nd *node) []*node {
	var nds []*node
	for _, other := range co.addresses[nd.worker.Address] {
		if other != nd && other.worker.Born < nd.worker.Born {
			nds = append(nds, other)
		}
	}
	return nds
}

// nodeFor returns the node of a worker, and adds one if there is none. The
// worker need not be listed.
func (co *Core) nodeFor(id string) *node {
	nd, ok := co.nodes[id]
	if !ok {
		nd = &node{worker: runner.Worker{ID: id}, runs: map[runKey]*run{}, earlierLeases: co.formerLeasesEnd}
		nd.leaseEnd = nd.earlierLeases
		nd.fence.token = co.tokens.used
		nd.drainBy = co.drainDeadlines[id]
		co.restoreRemoved(nd)
		co.nodes[id] = nd
		at, _ := slices.BinarySearchFunc(co.sortedNodes, id, compareID)
		co.sortedNodes = slices.Insert(co.sortedNodes, at, nd)
	}
	return nd
}

// setWorker stores the platform entry of a worker.
func (co *Core) setWorker(now time.Time, nd *node, wk runner.Worker) {
	if nd.worker.Address != wk.Address {
		co.removeAddress(nd)
		co.addresses[wk.Address] = append(co.addresses[wk.Address], nd)
	}
	if nd.worker.Born != wk.Born {
		nd.bornAt = now
	}
	nd.worker = wk
	nd.entryBorn = wk.Born
	nd.evacuated = co.evacuatedZones[wk.Zone]
	co.considerPoll(nd)
}

// setListed notes whether the platform lists a worker.
func (co *Core) setListed(nd *node, listed bool) {
	nd.listed = listed
	co.countNode(nd, listed)
}

func (co *Core) removeAddress(nd *node) {
	address := nd.worker.Address
	nds := slices.DeleteFunc(co.addresses[address], func(other *node) bool { return other == nd })
	if len(nds) == 0 {
		delete(co.addresses, address)
		return
	}
	co.addresses[address] = nds
}

// removeNode removes a node. What formerWorker holds is kept. It copies the sorted
// slice, so that loops over the old one are not affected.
func (co *Core) removeNode(now time.Time, nd *node) {
	co.rememberRemoved(now, nd)
	co.dropAdvice(nd.worker.ID)
	delete(co.nodes, nd.worker.ID)
	delete(co.unsavedEnds, nd)
	co.countNode(nd, false)
	co.removeAddress(nd)
	if at, ok := slices.BinarySearchFunc(co.sortedNodes, nd.worker.ID, compareID); ok {
		co.sortedNodes = slices.Concat(co.sortedNodes[:at], co.sortedNodes[at+1:])
	}
}

func compareNodes(a, b *node) int { return strings.Compare(a.worker.ID, b.worker.ID) }

func compareID(nd *node, id string) int { return strings.Compare(nd.worker.ID, id) }

// considerPoll makes a node a poll candidate. It is polled if its next poll is
// due.
func (co *Core) considerPoll(nd *node) { co.pollCandidates = append(co.pollCandidates, nd) }

// unlistWorker marks a worker as unlisted. It is removed once its leases have
// expired.
func (co *Core) unlistWorker(now time.Time, id string) {
	nd, ok := co.nodes[id]
	if !ok {
		return
	}
	co.setListed(nd, false)
	co.releaseHolds(id)
	co.emit(LogDecision{Decision: "unlisted", Worker: id, Reason: "the platform no longer lists the worker"})
	co.expireLeases(now, nd)
}

// handleRestart resets the state of a worker that has restarted and lost all
// that it knew and ran. Orders to the former incarnation may have reached the new
// one already, or may still reach it, so the worker is fenced, and the reply that
// shows that decides what runs there. The leases of the former one still hold if the
// worker has not restarted, since anybody may write an entry.
func (co *Core) handleRestart(now time.Time, nd *node, born int64, reason string) {
	ld := LogDecision{Decision: "reborn", Worker: nd.worker.ID, Beside: len(nd.runs), Reason: reason}
	if !nd.leaseSentAt.IsZero() {
		ld.Granted = max(time.Millisecond, now.Sub(nd.leaseSentAt))
	}
	co.emit(ld)
	for _, ru := range nd.runs {
		if ru.stoppedBefore(nd.lostBy(now)) {
			ru.stop.ackedByFormer = true
		} else if ru.lostBy.cause == notLost {
			ru.lostBy = loss{cause: Restarted.unlessDeparting(nd), age: ru.ageAtLoss(now)}
		}
		ru.stop.ackedAt = time.Time{}
		ru.lateUntil = latest(ru.lateUntil, co.lateStartEnd(now, ru))
		ru.startedHere = false
	}
	co.beginFencing(now, nd)
	co.resetHealth(now, nd, len(nd.runs) > 0 && !nd.runsSuspected())
	co.dropAdvice(nd.worker.ID)
	nd.earlierLeases, nd.deadline = nd.leaseEnd, 0
	nd.worker.Born, nd.bornAt = born, now
	nd.lastEnd, nd.savedEnd, nd.ackedEnd = 0, 0, 0
	nd.dropPendingEnds()
	nd.lastResponse = time.Time{}
	nd.clockAt = time.Time{}
	nd.nextPoll = now
	co.considerPoll(nd)
}

// runsSuspected reports whether a run of a worker belongs to a unit that is
// suspected of crashing workers.
func (nd *node) runsSuspected() bool {
	for _, ru := range nd.runs {
		if ru.unit != nil && ru.unit.isSuspected() {
			return true
		}
	}
	return false
}

// stopAfterLostStart stops a run whose start got no reply, together with the
// rest of its unit.
func (co *Core) stopAfterLostStart(now time.Time, ru *run) {
	if un := ru.unit; un != nil && un.phase == live {
		co.stopUnit(now, un, "the reply to a start was lost")
		return
	}
	co.stopRun(now, ru)
}

// endIncarnation ends all runs of a worker that certainly runs nothing any
// more, and removes the worker unless it is listed.
func (co *Core) endIncarnation(now time.Time, nd *node, cause LossCause) {
	co.loseRuns(now, nd.sortedRuns(), cause)
	if cause != LeaseExpired { // otherwise the worker may still wait for their acknowledgement
		nd.dropPendingEnds()
	}
	if !nd.listed {
		co.removeNode(now, nd)
	}
	nd.nextPoll = now
	co.considerPoll(nd)
}

// loseRuns ends runs of a worker that certainly do not run any more.
func (co *Core) loseRuns(now time.Time, rus []*run, cause LossCause) {
	for _, ru := range rus {
		co.loseRun(now, ru, loss{cause: cause, age: ru.ageAtLoss(now)}, len(rus)-1)
	}
}

// unresponsive reports whether the last call to a worker got no reply, or no
// call got one yet.
func (nd *node) unresponsive() bool {
	return nd.lastResponse.IsZero() || nd.lastFailure.After(nd.lastResponse)
}

// expireLeases ends the runs of a worker that is unresponsive or no longer listed
// once all of its leases have expired, and then removes an unlisted worker. The
// last run of a broken gang may end before that; see endUnreportedMember.
func (co *Core) expireLeases(now time.Time, nd *node) {
	if nd.listed && !nd.unresponsive() {
		return
	}
	for _, ru := range nd.sortedRuns() {
		if ru.unit != nil {
			co.endUnreportedMember(now, ru.unit)
		}
	}
	if now.Before(nd.leaseEnd) {
		return
	}
	expired := co.expiredRuns(now, nd)
	if len(expired) > 0 {
		co.emit(LogDecision{Decision: "silent", Worker: nd.worker.ID, Reason: "the worker is unresponsive or no longer listed and all of its leases have expired; its tasks are considered ended"})
		if !nd.runsSuspected() {
			co.recordNodeFailure(now, nd, weightWorkerLost*maxJobPenalty)
		}
	}
	switch {
	case len(expired) < len(nd.runs):
		co.loseRuns(now, expired, LeaseExpired)
	case len(expired) > 0 || !nd.listed:
		co.endIncarnation(now, nd, LeaseExpired)
	}
}

// expiredRuns returns the runs of a worker whose leases have expired, given that
// those of the worker have. A start that may still arrive grants a lease of its own; a
// worker that has never confirmed it may have restarted, unless it left the platform.
func (co *Core) expiredRuns(now time.Time, nd *node) []*run {
	var expired []*run
	for _, ru := range nd.sortedRuns() {
		if !now.Before(ru.lateUntil) && !(nd.listed && ru.confirmedAt.IsZero() && now.Before(co.lateStartEnd(now, ru))) {
			expired = append(expired, ru)
		}
	}
	return expired
}

// addRun adds a run to a node and allocates its capacity.
func (co *Core) addRun(ru *run, nd *node) {
	ru.node, ru.incarnation = nd, nd.worker.Incarnation()
	nd.attach(ru)
	co.considerPoll(nd)
	nd.used = nd.used.Plus(ru.unit.step.Reserved())
	co.addUsage(ru.unit.job, ru.unit.step.Reserved())
}

func (nd *node) attach(ru *run) {
	nd.runs[runKey{ru.task, ru.attempt}] = ru
	nd.runsByTask = nil
}

// detach removes a run from a node and frees its capacity.
func (nd *node) detach(ru *run) {
	delete(nd.runs, runKey{ru.task, ru.attempt})
	nd.runsByTask = nil
	nd.used = nd.used.Minus(ru.reserved())
	if ru.stop.requested {
		nd.stopping = nd.stopping.Minus(ru.reserved())
	}
}

// reserved returns what a run occupies of its worker.
func (ru *run) reserved() batch.Resources {
	if ru.unit == nil {
		return ru.unrecorded
	}
	return ru.unit.step.Reserved()
}

func (nd *node) free() batch.Resources { return nd.worker.Capacity.Minus(nd.used) }

// sortedRuns returns the runs of a node sorted by task. The returned slice is
// not modified by later changes.
func (nd *node) sortedRuns() []*run {
	if nd.runsByTask != nil || len(nd.runs) == 0 {
		return nd.runsByTask
	}
	rus := make([]*run, 0, len(nd.runs))
	for _, ru := range nd.runs {
		rus = append(rus, ru)
	}
	slices.SortFunc(rus, func(a, b *run) int { return cmp.Or(a.task.Compare(b.task), cmp.Compare(a.attempt, b.attempt)) })
	nd.runsByTask = rus
	return rus
}

// findRun returns the node of a worker and its run of an attempt; nil for what
// does not exist.
func (co *Core) findRun(worker string, task batch.TaskID, attempt int) (*node, *run) {
	nd, ok := co.nodes[worker]
	if !ok {
		return nil, nil
	}
	return nd, nd.runs[runKey{task, attempt}]
}
