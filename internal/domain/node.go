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
		worker    runner.Worker
		listed    bool
		runs      map[runKey]*run // that are not over
		ordered   []*run          // the same by task; nil if it has to be made anew
		used      batch.Resources // by runs and claims
		clock     time.Duration   // the worker's, at clockAt or a little later
		clockAt   time.Time
		answered  time.Time // last answered look
		failed    time.Time // last failed call
		refused   time.Time // last refused start
		leaseEnd  time.Time // when every lease that was granted here is over
		looking   bool      // the look that waits for ends is under way
		nextLook  time.Time // not before
		processed int64     // number of the last end that was taken in
		ends      []heldEnd // taken in and not in the store
		seen      int64     // number of the last end that is in the store
		told      int64     // the same, as the worker was told
		health    health
		harmed    time.Time // no filling work before; see fill.go
		leaves    time.Time // it may be gone from then on; zero if that is unknown
		evacuated bool      // its availability zone is to be emptied
		coldUntil time.Time // see cold.go
		cold      bool      // coldUntil was in the future when last looked at
		emptyBy   time.Time // it should be clear of work by then; zero if it need not be
	}

	runKey struct {
		task    batch.TaskID
		attempt int
	}

	// heldEnd is an end that is acknowledged once a version of a job is saved.
	heldEnd struct {
		number  int64
		job     *job // nil if it changed nothing
		version int
	}
)

// list takes in the entry of a worker.
func (co *Core) list(now time.Time, wk runner.Worker) {
	nd, ok := co.nodes[wk.ID]
	if ok && nd.listed && nd.worker.Equal(wk) {
		return // the platform writes entries anew that have not changed
	}
	if !ok {
		nd = co.nodeFor(now, wk.ID)
	}
	if nd.worker.Born != 0 && wk.Born != 0 && nd.worker.Born != wk.Born {
		co.reborn(now, nd, wk.Born)
	}
	co.setWorker(nd, wk)
	nd.listed = true
	nd.noteLeaving(now)
	nd.noteCold(now)
	co.clearWorker(now, nd)
	co.replaceAt(now, wk)
	co.pass = true
}

// replaceAt ends the life of a former worker at the same address.
func (co *Core) replaceAt(now time.Time, wk runner.Worker) {
	for _, nd := range slices.Clone(co.addresses[wk.Address]) {
		if nd.worker.ID != wk.ID && nd.worker.Born < wk.Born {
			nd.listed = false
			co.endLife(now, nd)
		}
	}
}

// nodeFor returns the node of a worker, which need not be listed.
func (co *Core) nodeFor(now time.Time, id string) *node {
	nd, ok := co.nodes[id]
	if !ok {
		nd = &node{worker: runner.Worker{ID: id}, runs: map[runKey]*run{}, leaseEnd: now.Add(formerLease)}
		co.nodes[id] = nd
		at, _ := slices.BinarySearchFunc(co.sorted, id, compareID)
		co.sorted = slices.Insert(co.sorted, at, nd)
	}
	return nd
}

// setWorker notes what the platform lists of a worker.
func (co *Core) setWorker(nd *node, wk runner.Worker) {
	if nd.worker.Address != wk.Address {
		co.leaveAddress(nd)
		co.addresses[wk.Address] = append(co.addresses[wk.Address], nd)
	}
	nd.worker = wk
	nd.evacuated = co.evacuated[wk.Zone]
	co.wake(nd)
}

func (co *Core) leaveAddress(nd *node) {
	address := nd.worker.Address
	nds := slices.DeleteFunc(co.addresses[address], func(other *node) bool { return other == nd })
	if len(nds) == 0 {
		delete(co.addresses, address)
		return
	}
	co.addresses[address] = nds
}

// remove forgets a node. Rounds over the nodes that are under way keep theirs.
func (co *Core) remove(nd *node) {
	delete(co.nodes, nd.worker.ID)
	delete(co.holding, nd)
	co.leaveAddress(nd)
	if at, ok := slices.BinarySearchFunc(co.sorted, nd.worker.ID, compareID); ok {
		co.sorted = slices.Concat(co.sorted[:at], co.sorted[at+1:])
	}
}

func compareNodes(a, b *node) int { return strings.Compare(a.worker.ID, b.worker.ID) }

func compareID(nd *node, id string) int { return strings.Compare(nd.worker.ID, id) }

// wake has a node looked at if that is due.
func (co *Core) wake(nd *node) { co.woken = append(co.woken, nd) }

func (co *Core) unlist(now time.Time, id string) {
	nd, ok := co.nodes[id]
	if !ok {
		return
	}
	nd.listed = false
	co.emit(Noted{Decision: "unlisted", Worker: id, Reason: "the platform's list has dropped it"})
	co.expire(now, nd)
}

// reborn notes that a worker has lost all that it knew and ran. A start may
// have reached the new life before this was known, or may reach it yet, so the
// next look decides what runs there.
func (co *Core) reborn(now time.Time, nd *node, born int64) {
	co.emit(Noted{Decision: "reborn", Worker: nd.worker.ID, Reason: "the worker has started anew"})
	for _, ru := range nd.runs {
		ru.stop.acked = time.Time{}
	}
	if end := now.Add(lateCall + maxHold); len(nd.runs) > 0 && end.After(nd.leaseEnd) {
		nd.leaseEnd = end
	}
	co.resetHealth(now, nd, len(nd.runs) > 0)
	nd.worker.Born = born
	nd.processed, nd.seen, nd.told = 0, 0, 0
	nd.ends = nil
	nd.answered = time.Time{}
	nd.clockAt = time.Time{}
	nd.nextLook = now
	co.wake(nd)
}

// stopLone stops a run, and with it its unit.
func (co *Core) stopLone(now time.Time, ru *run) {
	if un := ru.unit; un != nil && un.phase == live {
		co.stopUnit(now, un, "a start was lost")
		return
	}
	co.stopRun(now, ru)
}

// endLife notes that nothing runs on a worker any more.
func (co *Core) endLife(now time.Time, nd *node) {
	for _, ru := range nd.sortedRuns() {
		co.finishRun(ru)
	}
	nd.ends = nil
	if !nd.listed {
		co.remove(nd)
	}
	nd.nextLook = now
	co.wake(nd)
}

// silent tells whether the last call to a worker went unanswered, or none was
// answered yet.
func (nd *node) silent() bool { return nd.answered.IsZero() || nd.failed.After(nd.answered) }

// expire ends what a silent worker ran, once no lease can be left there.
func (co *Core) expire(now time.Time, nd *node) {
	if nd.listed && !nd.silent() {
		return
	}
	for _, ru := range nd.sortedRuns() {
		if ru.unit != nil {
			co.endCause(ru.unit)
		}
	}
	if now.Before(nd.leaseEnd) {
		return
	}
	if len(nd.runs) > 0 {
		co.emit(Noted{Decision: "silent", Worker: nd.worker.ID, Reason: "every lease there is over"})
		co.blameWithoutJob(now, nd, weightBroken*maxBlame)
	}
	if len(nd.runs) > 0 || !nd.listed {
		co.endLife(now, nd)
	}
}

// grant returns a new deadline on the worker's clock and notes by when the
// leases that it grants are over.
func (nd *node) grant(now time.Time) time.Duration {
	if nd.clockAt.IsZero() {
		return 0
	}
	deadline := nd.clock + now.Sub(nd.clockAt) + HoldTime
	span := time.Duration(float64(deadline-nd.clock)/(1-clockSlack)) + clockMargin
	if end := nd.clockAt.Add(span); end.After(nd.leaseEnd) {
		nd.leaseEnd = end
	}
	return deadline
}

func (co *Core) put(ru *run, nd *node) {
	ru.node = nd
	nd.add(ru)
	co.wake(nd)
	nd.used = nd.used.Plus(ru.unit.step.Occupied())
	co.use(ru.unit.job, ru.unit.step.Occupied())
}

func (nd *node) add(ru *run) {
	nd.runs[runKey{ru.task, ru.attempt}] = ru
	nd.ordered = nil
}

func (nd *node) drop(ru *run) {
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

func (co *Core) find(worker string, task batch.TaskID, attempt int) (*node, *run) {
	nd, ok := co.nodes[worker]
	if !ok {
		return nil, nil
	}
	return nd, nd.runs[runKey{task, attempt}]
}
