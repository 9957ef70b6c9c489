package domain_test

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/batch"
	"github.com/cicadawharf/cicadawharf/internal/runner"
)

type (
	// calmWatch looks for work that stands still in calm although it could run. It
	// knows what was submitted, what the workers truly run, what has truly succeeded
	// and which troubles act, and nothing that a scheduler believes.
	calmWatch struct {
		sim     *simulation
		since   map[string]time.Time // since when something stands still, by job or lasting task
		lastRun map[string]time.Time // of lasting tasks that have run
		found   []standstill         // at most one for each time that something stands still
		told    map[string]bool      // what the last entries in found are about
	}

	// standstill is work that stood still for standstillTime in calm.
	standstill struct {
		task     batch.TaskID // the first one whose turn had come
		since    time.Time
		at       time.Time
		calmFor  time.Duration // time without trouble before at
		lasting  bool          // the task lasts; others of its job may have run
		rackFull bool          // the rack that it needs had no room, but others had
	}

	// room is the capacity of a worker that nothing uses in truth.
	room struct {
		worker runner.Worker
		free   batch.Resources
		beside map[stepKey]int // attempts on the worker, by step
	}

	stepKey struct {
		job              string
		occurrence, step int
	}
)

const (
	// standstillTime and calmBefore are the bounds of the rule: work may not stand
	// still for standstillTime if this time and calmBefore ahead of it are calm.
	standstillTime = 3 * time.Second
	calmBefore     = 4 * time.Second
	// lastingPause is how long a task that lasts may be away after its last run
	// before it counts as standing still.
	lastingPause = 6 * time.Second
	// copiesToFit is how many times a unit has to fit into the free capacity.
	copiesToFit = 2
	// calmSampleInterval is the time between two looks at what runs.
	calmSampleInterval = 50 * time.Millisecond
)

// watchCalm begins to look for work that stands still.
func (sim *simulation) watchCalm() *calmWatch {
	cw := &calmWatch{sim: sim, since: map[string]time.Time{}, lastRun: map[string]time.Time{}, told: map[string]bool{}}
	cw.look()
	return cw
}

// look examines all jobs, and does so again after calmSampleInterval.
func (cw *calmWatch) look() {
	sim := cw.sim
	sim.after(calmSampleInterval, cw.look)
	if sim.isTroubled() {
		sim.disturb(0)
	}
	rooms, running := sim.rooms(), sim.runningTasks()
	for _, id := range sim.accepted {
		if _, cancelled := sim.cancelled[id]; cancelled || sim.state(id).Final() {
			delete(cw.since, id)
			continue
		}
		cw.lookAtLasting(id, rooms, running)
		ti, full, stands := batch.TaskID{}, false, false
		if sim.fleet.Running(id) == 0 {
			ti, full, stands = sim.startable(id, rooms)
		}
		cw.record(id, stands, standstill{task: ti, rackFull: full})
	}
}

// lookAtLasting examines the tasks of a job that last. Each counts by itself.
func (cw *calmWatch) lookAtLasting(id string, rooms []room, running map[batch.TaskID]bool) {
	jb := cw.sim.jobs[id]
	for at, step := range jb.Steps {
		if !step.LongRunning {
			continue
		}
		for index := range step.Units() {
			ti := batch.TaskID{Job: id, Step: at, Index: index}
			key := ti.String()
			if running[ti] {
				cw.lastRun[key] = cw.sim.now
			}
			last, hasRun := cw.lastRun[key]
			away := !running[ti] && (!hasRun || cw.sim.now.Sub(last) >= lastingPause)
			fits, rackFull := false, false
			if away && cw.sim.turnHasCome(jb, ti) {
				fits, rackFull = fit(jb, ti, rooms)
			}
			cw.record(key, fits, standstill{task: ti, lasting: true, rackFull: rackFull})
		}
	}
}

// record notes whether a job or a lasting task stands still now.
func (cw *calmWatch) record(key string, stands bool, st standstill) {
	now := cw.sim.now
	if !stands {
		delete(cw.since, key)
		delete(cw.told, key)
		return
	}
	if _, ok := cw.since[key]; !ok {
		cw.since[key] = now
	}
	st.since, st.at, st.calmFor = cw.since[key], now, now.Sub(cw.sim.troubleUntil)
	if now.Sub(st.since) >= standstillTime && st.calmFor >= standstillTime+calmBefore && !cw.told[key] {
		cw.told[key] = true
		cw.found = append(cw.found, st)
	}
}

func (st standstill) String() string {
	kind := "has nothing running"
	if st.lasting {
		kind = "lasts and doesn't run"
	}
	if st.rackFull {
		kind += ", with room on other racks only,"
	}
	return fmt.Sprintf("%s %s from %s to %s, in calm for %v, though it could run", st.task, kind, st.since.Format("05.000"), st.at.Format("05.000"), st.calmFor)
}

// isTroubled reports whether a trouble acts now. Those that only happen at a moment
// are recorded by simulation.disturb.
func (sim *simulation) isTroubled() bool {
	if sim.leader == nil || sim.leader.dead || sim.leader.partitioned || sim.now.Before(sim.awayUntil) || sim.commitDelay > 0 || sim.faults != (faults{}) || len(sim.lapsed) > 0 {
		return true
	}
	for id := range sim.workers {
		if sim.fleet.IsUp(id) && (sim.unreachable[id] || !sim.fleet.IsSound(id)) {
			return true
		}
	}
	return false
}

// rooms returns the true room on the workers that may get work, by ID: those that are
// up, listed as they are, reachable, not draining and not in an evacuated zone.
func (sim *simulation) rooms() []room {
	var rooms []room
	for _, id := range slices.Sorted(maps.Keys(sim.workers)) {
		wk := sim.workers[id]
		if sim.fleet.Born(id) != wk.Born || sim.lapsed[id] || sim.unreachable[id] || wk.Draining || slices.Contains(sim.evacuated, wk.Zone) {
			continue
		}
		rm := room{worker: wk, free: wk.Capacity, beside: map[stepKey]int{}}
		for _, ti := range sim.fleet.TasksOn(id) {
			rm.free = rm.free.Minus(sim.jobs[ti.Job].Steps[ti.Step].Reserved())
			rm.beside[stepKey{ti.Job, ti.Occurrence, ti.Step}]++
		}
		rooms = append(rooms, rm)
	}
	return rooms
}

// runningTasks returns the tasks that run or wait for their gang, on any worker.
func (sim *simulation) runningTasks() map[batch.TaskID]bool {
	running := map[batch.TaskID]bool{}
	for id := range sim.workers {
		for _, ti := range sim.fleet.TasksOn(id) {
			running[ti] = true
		}
	}
	return running
}

// startable returns the first task of a job whose turn has come and for which there
// is room, preferably one whose rack has room, too.
func (sim *simulation) startable(id string, rooms []room) (first batch.TaskID, rackFull, ok bool) {
	jb := sim.jobs[id]
	for oc := range jb.Occurrences() {
		if sim.now.Before(jb.Due(oc)) {
			break
		}
		for at, step := range jb.Steps {
			ti := batch.TaskID{Job: id, Occurrence: oc, Step: at}
			for ti.Index < step.Units()-1 && sim.fleet.Succeeded(ti) {
				ti.Index++
			}
			if !sim.turnHasCome(jb, ti) {
				continue
			}
			fits, full := fit(jb, ti, rooms)
			if fits && !full {
				return ti, false, true
			}
			if fits && !ok {
				first, rackFull, ok = ti, true, true
			}
		}
	}
	return first, rackFull, ok
}

// turnHasCome reports whether a task is due, has not succeeded, and all tasks of the
// steps before it have.
func (sim *simulation) turnHasCome(jb batch.Job, ti batch.TaskID) bool {
	if sim.now.Before(jb.Due(ti.Occurrence)) || sim.fleet.Succeeded(ti) {
		return false
	}
	for _, before := range jb.Steps[ti.Step].After {
		for index := range jb.Steps[before].Units() {
			if !sim.fleet.Succeeded(batch.TaskID{Job: ti.Job, Occurrence: ti.Occurrence, Step: before, Index: index}) {
				return false
			}
		}
	}
	return true
}

// fit reports whether a task, or its whole gang, fits copiesToFit times, and whether
// it fits only outside the rack of its data, or on no single rack although it needs
// one.
func fit(jb batch.Job, ti batch.TaskID, rooms []room) (fits, rackFull bool) {
	step := jb.Steps[ti.Step]
	tasks := step.Tasks / step.Units()
	total, byRack := 0, map[string]int{}
	for _, rm := range rooms {
		n := rm.count(step, stepKey{ti.Job, ti.Occurrence, ti.Step}, copiesToFit*tasks)
		total += n
		byRack[rm.worker.Rack] += n
	}
	inRack := total
	switch {
	case step.DataRack != "":
		inRack = byRack[step.DataRack]
	case step.Gang && step.OneRack:
		inRack = 0
		for _, n := range byRack {
			inRack = max(inRack, n)
		}
	}
	return total >= copiesToFit*tasks, inRack < tasks
}

// count returns how many tasks of a step fit, up to a limit.
func (rm room) count(step batch.Step, key stepKey, limit int) int {
	if step.Label != "" && !slices.Contains(rm.worker.Labels, step.Label) {
		return 0
	}
	if step.PerWorker > 0 {
		limit = min(limit, step.PerWorker-rm.beside[key])
	}
	n, free := 0, rm.free
	for n < limit && free.Covers(step.Reserved()) {
		free = free.Minus(step.Reserved())
		n++
	}
	return n
}
