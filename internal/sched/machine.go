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

// machine is what the core knows of one worker.
type machine struct {
	host     plat.Host
	listed   bool
	since    time.Time // when it was first listed
	heard    time.Time // last answer under this epoch; zero for none
	boot     string
	version  int64 // of the table, within one boot
	capacity int
	draining bool
	rows     map[worker.TaskID]worker.Task
	busy     bool // a call with commands is on its way
	doubtful bool // the last call failed
	wanted   map[worker.TaskID]worker.Command
	record   evidence
	wasFit   bool // usable when the fleet was built
}

// taskSlots bounds the tasks on a worker, whatever their accelerators.
const taskSlots = 64

// list takes the platform's list. Workers that are not on it any more are kept
// while they are heard of, but get no new work.
func (co *Core) list(now time.Time, hosts []plat.Host) {
	for _, ma := range co.machines {
		ma.listed = false
	}
	for _, ho := range hosts {
		if ho.Kind != plat.KindWorker {
			continue
		}
		ma, ok := co.machines[ho.Name]
		if !ok {
			ma = newMachine(now)
			co.machines[ho.Name] = ma
		}
		ma.host = ho
		ma.listed = true
		if ma.capacity == 0 {
			ma.capacity = ho.Accelerators
		}
	}
	co.rebuild()
}

// expectWorkers makes the workers of an attempt known before the list names
// them: the list lags, and tasks may go on where it names nobody.
func (co *Core) expectWorkers(now time.Time, rc jobs.Record) {
	if !rc.Active() {
		return
	}
	for _, ta := range rc.Tasks {
		if _, ok := co.machines[ta.Worker]; ok {
			continue
		}
		ma := newMachine(now)
		ma.host = plat.Host{Name: ta.Worker, Kind: plat.KindWorker, Address: ta.Address}
		co.machines[ta.Worker] = ma
	}
}

func newMachine(now time.Time) *machine {
	return &machine{since: now, rows: map[worker.TaskID]worker.Task{}, wanted: map[worker.TaskID]worker.Command{}}
}

// WorkerCount returns how many workers are to be called.
func (co *Core) WorkerCount() int { return len(co.machines) }

// Workers returns every worker that is to be called: the listed ones and those
// on which tasks may go on.
func (co *Core) Workers() []plat.Host {
	hosts := make([]plat.Host, 0, len(co.machines))
	for _, name := range slices.Sorted(maps.Keys(co.machines)) {
		hosts = append(hosts, co.machines[name].host)
	}
	return hosts
}

// report takes a worker's answer.
func (co *Core) report(now time.Time, ev Reported) {
	ma, ok := co.machines[ev.Worker]
	if !ok {
		return
	}
	if ev.Reply.Epoch > co.epoch {
		co.resign("worker " + ev.Worker + " has seen a larger epoch")
		return
	}
	if len(ev.Commands) > 0 {
		ma.busy = false
	}
	ma.heard = now
	ma.doubtful = false
	ma.draining = ev.Reply.Draining
	if ev.Reply.Accelerators > 0 {
		ma.capacity = ev.Reply.Accelerators
	}
	co.takeRows(ma, ev)
	co.takeResults(ma, ev)
	if ma.usable(now) != ma.wasFit {
		co.rebuild()
	}
	co.touchMachine(ma)
}

// takeRows takes the table of an answer, unless a later one overtook it.
func (co *Core) takeRows(ma *machine, ev Reported) {
	overtaken := ev.Reply.Boot == ma.boot && ev.Reply.Version < ma.version
	if ev.Same || overtaken {
		return
	}
	ma.boot = ev.Reply.Boot
	ma.version = ev.Reply.Version
	for id := range ma.rows {
		co.touch(id.Job)
	}
	clear(ma.rows)
	for _, ta := range ev.Reply.Tasks {
		ma.rows[ta.ID] = ta
		co.touch(ta.ID.Job)
	}
}

// takeResults notes which reservations stand.
func (co *Core) takeResults(ma *machine, ev Reported) {
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
			co.stop(jb, cause{requeue: true, detail: "worker " + ma.host.Name + " refused: " + rs.Reason})
			if !slices.Contains(jb.avoid, ma.host.Name) {
				jb.avoid = append(jb.avoid, ma.host.Name)
			}
		}
	}
}

// unanswered takes note of a call that failed. The next renewal shows what
// became of its commands.
func (co *Core) unanswered(now time.Time, ev Unanswered) {
	ma, ok := co.machines[ev.Worker]
	if !ok {
		return
	}
	if len(ev.Commands) > 0 {
		ma.busy = false
	}
	ma.doubtful = true
	if ma.usable(now) != ma.wasFit {
		co.rebuild()
	}
	co.touchMachine(ma)
}

// watchMachines notices workers that fell silent and forgets lost ones.
func (co *Core) watchMachines(now time.Time) {
	for name, ma := range co.machines {
		if ma.usable(now) != ma.wasFit {
			co.rebuild()
		}
		if !ma.listed && ma.lost(now) {
			co.touchMachine(ma)
			delete(co.machines, name)
			co.rebuild()
		}
	}
}

// touchMachine has the jobs with tasks on a worker looked at.
func (co *Core) touchMachine(ma *machine) {
	for id := range ma.rows {
		co.touch(id.Job)
	}
	for id, jb := range co.jobs {
		if jb.rec.State == jobs.Queued || jb.rec.State == jobs.Ended {
			continue
		}
		for _, ta := range jb.rec.Tasks {
			if ta.Worker == ma.host.Name {
				co.touch(id)
				break
			}
		}
	}
	co.wantStrays(ma)
}

// touchStrays looks for rows that nothing needs any more, after a write.
func (co *Core) touchStrays() {
	for _, ma := range co.machines {
		co.wantStrays(ma)
	}
}

// wantStrays clears the rows that don't belong to the present attempt of a
// job. Ended ones are acknowledged once the store knows what came after.
func (co *Core) wantStrays(ma *machine) {
	for id, ta := range ma.rows {
		jb := co.jobs[id.Job]
		if jb != nil && jb.holds(ta, ma.host.Name) {
			continue
		}
		if jb != nil && jb.mayAdopt(ta) && !co.inventoried {
			continue
		}
		switch {
		case ta.Phase == worker.PhaseReserved:
			ma.wanted[id] = worker.Command{Op: worker.OpRelease, Task: id}
		case !ta.Phase.Ended():
			ma.wanted[id] = worker.Command{Op: worker.OpStop, Task: id}
		case jb == nil || jb.clean():
			ma.wanted[id] = worker.Command{Op: worker.OpAck, Task: id}
		}
	}
}

// holds tells whether a task belongs to the present attempt on that worker.
func (jb *job) holds(ta worker.Task, name string) bool {
	if jb.rec.State == jobs.Queued || jb.rec.State == jobs.Ended {
		return false
	}
	if ta.ID.Attempt != jb.rec.Attempt || ta.Epoch != jb.rec.Epoch || ta.ID.Index >= len(jb.rec.Tasks) {
		return false
	}
	return jb.rec.Tasks[ta.ID.Index].Worker == name
}

// forgetRows acknowledges the tasks of a job that has ended.
func (co *Core) forgetRows(jb *job) {
	for _, ta := range jb.rec.Tasks {
		if ma, ok := co.machines[ta.Worker]; ok {
			co.wantStrays(ma)
		}
	}
}

// sendCommands sends what is wanted of each worker, one call at a time.
func (co *Core) sendCommands(now time.Time) {
	for _, name := range slices.Sorted(maps.Keys(co.machines)) {
		ma := co.machines[name]
		if ma.busy || len(ma.wanted) == 0 || ma.heard.IsZero() {
			continue
		}
		quiet := now.Sub(ma.heard)
		if quiet > RenewGrace || (ma.doubtful && quiet > doubtAfter) {
			continue
		}
		cms := make([]worker.Command, 0, len(ma.wanted))
		for _, cm := range ma.wanted {
			cms = append(cms, cm)
		}
		clear(ma.wanted)
		slices.SortFunc(cms, compareCommands)
		ma.busy = true
		co.emit(Send{Worker: name, Address: ma.host.Address, Commands: cms})
	}
}

// compareCommands puts those that free accelerators before those that take
// them.
func compareCommands(a, b worker.Command) int {
	return cmp.Or(
		cmp.Compare(opRank(a.Op), opRank(b.Op)),
		cmp.Compare(a.Task.Job, b.Task.Job),
		cmp.Compare(a.Task.Attempt, b.Task.Attempt),
		cmp.Compare(a.Task.Index, b.Task.Index),
	)
}

func opRank(op worker.Op) int {
	if op == worker.OpReserve || op == worker.OpStart {
		return 1
	}
	return 0
}

// usable tells whether a worker may get new work.
func (ma *machine) usable(now time.Time) bool {
	return ma.listed && !ma.heard.IsZero() && now.Sub(ma.heard) < RenewGrace && !ma.doubtful &&
		!ma.leaving() && !ma.record.aside(now)
}

// leaving tells whether the platform or the worker itself says that it goes.
func (ma *machine) leaving() bool { return ma.draining || ma.host.State == plat.StateLeaving }

// lost tells whether a worker's leases have certainly run out.
func (ma *machine) lost(now time.Time) bool {
	last := ma.heard
	if last.IsZero() {
		last = ma.since
	}
	return now.Sub(last) > silentAfter
}
