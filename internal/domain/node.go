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
	// node is what the core knows of one worker.
	node struct {
		worker              runner.Worker
		listed              bool
		runs                map[runKey]*run // that are not over
		ordered             []*run          // the same by task; nil if it has to be made anew
		used                batch.Resources // by runs and claims
		clock               time.Duration   // the worker's, at clockAt or a little later
		clockAt             time.Time
		lastResponse        time.Time    // last answered look
		lastFailure         time.Time    // last failed call
		lastRefusal         time.Time    // last refused start
		leaseEnd            time.Time    // when every lease that was granted here is over
		looking             bool         // the look that waits for ends is under way
		nextPoll            time.Time    // not before
		lastEnd             int64        // number of the last end that was taken in
		pendingEnds         []pendingEnd // taken in and not in the store
		savedEnd            int64        // number of the last end that is in the store
		ackedEnd            int64        // the same, as the worker was told
		health              health
		fillingBlockedUntil time.Time // no filling work before; see fill.go
		leavesAt            time.Time // it may be gone from then on; zero if that is unknown
		evacuated           bool      // its availability zone is to be emptied
		coldUntil           time.Time // see cold.go
		cold                bool      // coldUntil was in the future when last looked at
		drainBy             time.Time // it should be clear of work by then; zero if it need not be
	}

	runKey struct {
		task    batch.TaskID
		attempt int
	}

	// pendingEnd is an end that is acknowledged once a version of a job is saved.
	pendingEnd struct {
		number  int64
		job     *job // nil if it changed nothing
		version int
	}
)

// listWorker takes in the entry of a worker.
func (co *Core) listWorker(now time.Time, wk runner.Worker) {
	nd, ok := co.nodes[wk.ID]
	if ok && nd.listed && nd.worker.Equal(wk) {
		return // the platform writes entries anew that have not changed
	}
	if !ok {
		nd = co.nodeFor(now, wk.ID)
	}
	if nd.worker.Born != 0 && wk.Born != 0 && nd.worker.Born != wk.Born {
		co.handleRestart(now, nd, wk.Born)
	}
	co.setWorker(nd, wk)
	nd.listed = true
	nd.setLeavesAt(now)
	nd.setCold(now)
	co.drainNode(now, nd)
	co.endPredecessors(now, wk)
	co.passDue = true
}

// endPredecessors ends the life of a former worker at the same address.
func (co *Core) endPredecessors(now time.Time, wk runner.Worker) {
	for _, nd := range slices.Clone(co.addresses[wk.Address]) {
		if nd.worker.ID != wk.ID && nd.worker.Born < wk.Born {
			nd.listed = false
			co.endIncarnation(now, nd)
		}
	}
}

// nodeFor returns the node of a worker, which need not be listed.
func (co *Core) nodeFor(now time.Time, id string) *node {
	nd, ok := co.nodes[id]
	if !ok {
		nd = &node{worker: runner.Worker{ID: id}, runs: map[runKey]*run{}, leaseEnd: now.Add(formerLeaseTime)}
		co.nodes[id] = nd
		at, _ := slices.BinarySearchFunc(co.sortedNodes, id, compareID)
		co.sortedNodes = slices.Insert(co.sortedNodes, at, nd)
	}
	return nd
}

// setWorker notes what the platform lists of a worker.
func (co *Core) setWorker(nd *node, wk runner.Worker) {
	if nd.worker.Address != wk.Address {
		co.removeAddress(nd)
		co.addresses[wk.Address] = append(co.addresses[wk.Address], nd)
	}
	nd.worker = wk
	nd.evacuated = co.evacuated[wk.Zone]
	co.schedulePoll(nd)
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

// removeNode forgets a node. Rounds over the nodes that are under way keep theirs.
func (co *Core) removeNode(nd *node) {
	delete(co.nodes, nd.worker.ID)
	delete(co.unacked, nd)
	co.removeAddress(nd)
	if at, ok := slices.BinarySearchFunc(co.sortedNodes, nd.worker.ID, compareID); ok {
		co.sortedNodes = slices.Concat(co.sortedNodes[:at], co.sortedNodes[at+1:])
	}
}

func compareNodes(a, b *node) int { return strings.Compare(a.worker.ID, b.worker.ID) }

func compareID(nd *node, id string) int { return strings.Compare(nd.worker.ID, id) }

// schedulePoll has a node looked at if that is due.
func (co *Core) schedulePoll(nd *node) { co.pollDue = append(co.pollDue, nd) }

func (co *Core) unlistWorker(now time.Time, id string) {
	nd, ok := co.nodes[id]
	if !ok {
		return
	}
	nd.listed = false
	co.emit(Noted{Decision: "unlisted", Worker: id, Reason: "the platform's list has dropped it"})
	co.expireLeases(now, nd)
}

// handleRestart notes that a worker has lost all that it knew and ran. A start may
// have reached the new life before this was known, or may reach it yet, so the
// next look decides what runs there.
func (co *Core) handleRestart(now time.Time, nd *node, born int64) {
	co.emit(Noted{Decision: "reborn", Worker: nd.worker.ID, Reason: "the worker has started anew"})
	for _, ru := range nd.runs {
		ru.stop.ackedAt = time.Time{}
	}
	if end := now.Add(maxCallDelay + maxLeaseTime); len(nd.runs) > 0 && end.After(nd.leaseEnd) {
		nd.leaseEnd = end
	}
	co.resetHealth(now, nd, len(nd.runs) > 0)
	nd.worker.Born = born
	nd.lastEnd, nd.savedEnd, nd.ackedEnd = 0, 0, 0
	nd.pendingEnds = nil
	nd.lastResponse = time.Time{}
	nd.clockAt = time.Time{}
	nd.nextPoll = now
	co.schedulePoll(nd)
}

// stopWithUnit stops a run, and with it its unit.
func (co *Core) stopWithUnit(now time.Time, ru *run) {
	if un := ru.unit; un != nil && un.phase == live {
		co.stopUnit(now, un, "a start was lost")
		return
	}
	co.stopRun(now, ru)
}

// endIncarnation notes that nothing runs on a worker any more.
func (co *Core) endIncarnation(now time.Time, nd *node) {
	for _, ru := range nd.sortedRuns() {
		co.endRun(ru)
	}
	nd.pendingEnds = nil
	if !nd.listed {
		co.removeNode(nd)
	}
	nd.nextPoll = now
	co.schedulePoll(nd)
}

// silent tells whether the last call to a worker went unanswered, or none was
// answered yet.
func (nd *node) silent() bool {
	return nd.lastResponse.IsZero() || nd.lastFailure.After(nd.lastResponse)
}

// expireLeases ends what a silent worker ran, once no lease can be left there.
func (co *Core) expireLeases(now time.Time, nd *node) {
	if nd.listed && !nd.silent() {
		return
	}
	for _, ru := range nd.sortedRuns() {
		if ru.unit != nil {
			co.endGangCause(ru.unit)
		}
	}
	if now.Before(nd.leaseEnd) {
		return
	}
	if len(nd.runs) > 0 {
		co.emit(Noted{Decision: "silent", Worker: nd.worker.ID, Reason: "every lease there is over"})
		co.recordNodeFailure(now, nd, weightBroken*maxJobPenalty)
	}
	if len(nd.runs) > 0 || !nd.listed {
		co.endIncarnation(now, nd)
	}
}

// grantLease returns a new deadline on the worker's clock and notes by when the
// leases that it grants are over.
func (nd *node) grantLease(now time.Time) time.Duration {
	if nd.clockAt.IsZero() {
		return 0
	}
	deadline := nd.clock + now.Sub(nd.clockAt) + TaskLeaseTime
	span := time.Duration(float64(deadline-nd.clock)/(1-maxClockDrift)) + clockMargin
	if end := nd.clockAt.Add(span); end.After(nd.leaseEnd) {
		nd.leaseEnd = end
	}
	return deadline
}

func (co *Core) addRun(ru *run, nd *node) {
	ru.node = nd
	nd.attach(ru)
	co.schedulePoll(nd)
	nd.used = nd.used.Plus(ru.unit.step.Occupied())
	co.addUsage(ru.unit.job, ru.unit.step.Occupied())
}

func (nd *node) attach(ru *run) {
	nd.runs[runKey{ru.task, ru.attempt}] = ru
	nd.ordered = nil
}

func (nd *node) detach(ru *run) {
	delete(nd.runs, runKey{ru.task, ru.attempt})
	nd.ordered = nil
	if ru.unit != nil {
		nd.used = nd.used.Minus(ru.unit.step.Occupied())
	}
}

func (nd *node) free() batch.Resources { return nd.worker.Capacity.Minus(nd.used) }

// sortedRuns returns the runs of a node by task. The slice is not changed when
// they do.
func (nd *node) sortedRuns() []*run {
	if nd.ordered != nil || len(nd.runs) == 0 {
		return nd.ordered
	}
	rus := make([]*run, 0, len(nd.runs))
	for _, ru := range nd.runs {
		rus = append(rus, ru)
	}
	slices.SortFunc(rus, func(a, b *run) int { return cmp.Or(a.task.Compare(b.task), cmp.Compare(a.attempt, b.attempt)) })
	nd.ordered = rus
	return rus
}

func (co *Core) findRun(worker string, task batch.TaskID, attempt int) (*node, *run) {
	nd, ok := co.nodes[worker]
	if !ok {
		return nil, nil
	}
	return nd, nd.runs[runKey{task, attempt}]
}
