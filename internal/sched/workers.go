package sched

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/jobs"
	"github.com/cicadawharf/cicadawharf/internal/plat"
	"github.com/cicadawharf/cicadawharf/internal/worker"
)

// workerState is the last known state of one worker.
type workerState struct {
	host           plat.Host
	listed         bool      // in the platform's last list of hosts
	addedAt        time.Time // when it became known
	lastReply      time.Time // last reply under this epoch; zero if none
	incarnation    string    // changes when the worker restarts with an empty table
	version        int64     // of the table, within one incarnation
	accelerators   int       // according to the worker's last reply, or the platform before the first one
	draining       bool      // according to the worker's last reply
	tasks          map[worker.TaskID]worker.Task
	callInFlight   bool                             // a call with commands is unanswered
	lastCallFailed bool                             // until the next reply
	commands       map[worker.TaskID]worker.Command // to be sent with the next call
	history        failureHistory
	wasUsable      bool // whether it was usable when the fleet was built
}

// maxTasksPerWorker bounds the tasks on a worker, whatever accelerators they
// use.
const maxTasksPerWorker = 64

// updateWorkers applies the platform's list of hosts. Workers that are no longer
// listed are kept until they are lost, but get no new work.
func (co *Core) updateWorkers(now time.Time, hosts []plat.Host) {
	for _, wst := range co.workers {
		wst.listed = false
	}
	for _, ho := range hosts {
		if ho.Kind != plat.KindWorker {
			continue
		}
		wst, ok := co.workers[ho.Name]
		if !ok {
			wst = newWorkerState(now)
			co.workers[ho.Name] = wst
		}
		wst.host = ho
		wst.listed = true
		if wst.accelerators == 0 {
			wst.accelerators = ho.Accelerators
		}
	}
	co.resetFleet()
}

// expectWorkers adds the workers of a recorded attempt, which the platform's
// list may lack: the list lags, and tasks may run on workers that it omits.
func (co *Core) expectWorkers(now time.Time, rc jobs.Record) {
	if !rc.Active() {
		return
	}
	for _, ta := range rc.Tasks {
		if _, ok := co.workers[ta.Worker]; ok {
			continue
		}
		wst := newWorkerState(now)
		wst.host = plat.Host{Name: ta.Worker, Kind: plat.KindWorker, Address: ta.Address}
		co.workers[ta.Worker] = wst
	}
}

func newWorkerState(now time.Time) *workerState {
	return &workerState{addedAt: now, tasks: map[worker.TaskID]worker.Task{}, commands: map[worker.TaskID]worker.Command{}}
}

// WorkerCount returns the number of workers to be called.
func (co *Core) WorkerCount() int { return len(co.workers) }

// Workers returns the workers to be called: those listed, and those on which
// tasks may still run.
func (co *Core) Workers() []plat.Host {
	hosts := make([]plat.Host, 0, len(co.workers))
	for _, name := range slices.Sorted(maps.Keys(co.workers)) {
		hosts = append(hosts, co.workers[name].host)
	}
	return hosts
}

// handleReply handles the reply of a worker, or ends the core if the worker has
// seen a larger epoch.
func (co *Core) handleReply(now time.Time, ev WorkerReplied) {
	wst, ok := co.workers[ev.Worker]
	if !ok {
		return
	}
	if ev.Reply.Epoch > co.epoch {
		co.resign("worker " + ev.Worker + " has seen a larger epoch")
		return
	}
	if len(ev.Commands) > 0 {
		wst.callInFlight = false
	}
	wst.lastReply = now
	wst.lastCallFailed = false
	wst.draining = ev.Reply.Draining
	if ev.Reply.Accelerators > 0 {
		wst.accelerators = ev.Reply.Accelerators
	}
	co.updateTasks(wst, ev)
	co.handleResults(wst, ev)
	if wst.usable(now) != wst.wasUsable {
		co.resetFleet()
	}
	co.markJobsChanged(wst)
}

// updateTasks applies the lease table of a reply, unless a newer one was applied
// before.
func (co *Core) updateTasks(wst *workerState, ev WorkerReplied) {
	outdated := ev.Reply.Incarnation == wst.incarnation && ev.Reply.Version < wst.version
	if ev.Unchanged || outdated {
		return
	}
	wst.incarnation = ev.Reply.Incarnation
	wst.version = ev.Reply.Version
	for id := range wst.tasks {
		co.markChanged(id.Job)
	}
	clear(wst.tasks)
	for _, ta := range ev.Reply.Tasks {
		wst.tasks[ta.ID] = ta
		co.markChanged(ta.ID.Job)
	}
}

// handleResults records which reservations were made, and stops attempts of
// which one was refused. The next attempt avoids the worker that refused.
func (co *Core) handleResults(wst *workerState, ev WorkerReplied) {
	for i, cm := range ev.Commands {
		if i >= len(ev.Reply.Results) {
			return
		}
		jb, ok := co.jobs[cm.Task.Job]
		if !ok || cm.Task.Attempt != jb.rec.Attempt || cm.Task.Index >= len(jb.reserved) {
			continue
		}
		rs := ev.Reply.Results[i]
		if cm.Op == worker.OpReserve && rs.OK {
			jb.reserved[cm.Task.Index] = true
		}
		if cm.Op == worker.OpReserve && !rs.OK && jb.rec.State == jobs.Starting {
			co.stop(jb, cause{requeue: true, detail: "worker " + wst.host.Name + " refused: " + rs.Reason})
			if !slices.Contains(jb.avoid, wst.host.Name) {
				jb.avoid = append(jb.avoid, wst.host.Name)
			}
		}
	}
}

// handleCallFailure handles a call that failed. The next renewal shows whether
// its commands took effect.
func (co *Core) handleCallFailure(now time.Time, ev WorkerCallFailed) {
	wst, ok := co.workers[ev.Worker]
	if !ok {
		return
	}
	if len(ev.Commands) > 0 {
		wst.callInFlight = false
	}
	wst.lastCallFailed = true
	if wst.usable(now) != wst.wasUsable {
		co.resetFleet()
	}
	co.markJobsChanged(wst)
}

// checkWorkers detects workers that have become usable or unusable, and removes
// unlisted workers that are lost.
func (co *Core) checkWorkers(now time.Time) {
	for name, wst := range co.workers {
		if wst.usable(now) != wst.wasUsable {
			co.resetFleet()
		}
		if !wst.listed && wst.lost(now) {
			co.markJobsChanged(wst)
			delete(co.workers, name)
			co.resetFleet()
		}
	}
}

// markJobsChanged has the jobs with tasks on a worker evaluated again, and calls
// releaseUnowned for the worker.
func (co *Core) markJobsChanged(wst *workerState) {
	for id := range wst.tasks {
		co.markChanged(id.Job)
	}
	for id, jb := range co.jobs {
		if jb.rec.State == jobs.Queued || jb.rec.State == jobs.Ended {
			continue
		}
		for _, ta := range jb.rec.Tasks {
			if ta.Worker == wst.host.Name {
				co.markChanged(id)
				break
			}
		}
	}
	co.releaseUnowned(wst)
}

// releaseAllUnowned calls releaseUnowned for every worker.
func (co *Core) releaseAllUnowned() {
	for _, wst := range co.workers {
		co.releaseUnowned(wst)
	}
}

// releaseUnowned queues commands that release, stop or acknowledge the tasks on a
// worker that don't belong to the current attempt of a job. Ended tasks are
// acknowledged only once the store has the job's current record.
func (co *Core) releaseUnowned(wst *workerState) {
	for id, ta := range wst.tasks {
		jb := co.jobs[id.Job]
		if jb != nil && jb.ownsTask(ta, wst.host.Name) {
			continue
		}
		if jb != nil && jb.mayAdopt(ta) && !co.takeoverDone {
			continue
		}
		switch {
		case ta.Phase == worker.PhaseReserved:
			wst.commands[id] = worker.Command{Op: worker.OpRelease, Task: id}
		case !ta.Phase.Ended():
			wst.commands[id] = worker.Command{Op: worker.OpStop, Task: id}
		case jb == nil || jb.isSaved():
			wst.commands[id] = worker.Command{Op: worker.OpAck, Task: id}
		}
	}
}

// ownsTask reports whether a task on a worker belongs to the current attempt.
func (jb *job) ownsTask(ta worker.Task, name string) bool {
	if jb.rec.State == jobs.Queued || jb.rec.State == jobs.Ended {
		return false
	}
	if ta.ID.Attempt != jb.rec.Attempt || ta.Epoch != jb.rec.Epoch || ta.ID.Index >= len(jb.rec.Tasks) {
		return false
	}
	return jb.rec.Tasks[ta.ID.Index].Worker == name
}

// releaseEnded calls releaseUnowned for the workers of a job that has ended. Its
// tasks no longer belong to a current attempt.
func (co *Core) releaseEnded(jb *job) {
	for _, ta := range jb.rec.Tasks {
		if wst, ok := co.workers[ta.Worker]; ok {
			co.releaseUnowned(wst)
		}
	}
}

// sendCommands sends the queued commands, at most one call at a time to each
// worker.
func (co *Core) sendCommands(now time.Time) {
	for _, name := range slices.Sorted(maps.Keys(co.workers)) {
		wst := co.workers[name]
		if wst.callInFlight || len(wst.commands) == 0 || wst.lastReply.IsZero() {
			continue
		}
		sinceReply := now.Sub(wst.lastReply)
		if sinceReply > MaxReplyAge || (wst.lastCallFailed && sinceReply > unresponsiveAfter) {
			continue
		}
		cms := make([]worker.Command, 0, len(wst.commands))
		for _, cm := range wst.commands {
			cms = append(cms, cm)
		}
		clear(wst.commands)
		slices.SortFunc(cms, compareCommands)
		wst.callInFlight = true
		co.emit(Send{Worker: name, Address: wst.host.Address, Commands: cms})
	}
}

// compareCommands sorts commands that free accelerators before those that
// reserve or use them.
func compareCommands(a, b worker.Command) int {
	return cmp.Or(
		cmp.Compare(opRank(a.Op), opRank(b.Op)),
		cmp.Compare(a.Task.Job, b.Task.Job),
		cmp.Compare(a.Task.Attempt, b.Task.Attempt),
		cmp.Compare(a.Task.Index, b.Task.Index),
	)
}

// opRank returns the rank of an operation for compareCommands.
func opRank(op worker.Op) int {
	if op == worker.OpReserve || op == worker.OpStart {
		return 1
	}
	return 0
}

// usable reports whether a worker may get new work.
func (wst *workerState) usable(now time.Time) bool {
	return wst.listed && !wst.lastReply.IsZero() && now.Sub(wst.lastReply) < MaxReplyAge && !wst.lastCallFailed &&
		!wst.isDraining() && !wst.history.suspended(now)
}

// isDraining reports whether the platform or the worker itself says that the
// worker is going to stop.
func (wst *workerState) isDraining() bool {
	return wst.draining || wst.host.State == plat.StateDraining
}

// lost reports whether all leases on a worker have certainly expired.
func (wst *workerState) lost(now time.Time) bool {
	last := wst.lastReply
	if last.IsZero() {
		last = wst.addedAt
	}
	return now.Sub(last) > lostAfter
}
