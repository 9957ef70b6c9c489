package domain_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadawharf/cicadawharf/internal/batch"
	"github.com/cicadawharf/cicadawharf/internal/domain"
)

const (
	// calmTime is the time without disturbance after which holds are limited.
	calmTime = 4 * time.Second
	// maxHold is the longest time in calm for which an accepted job may have
	// nothing running although a task of it could run.
	maxHold = 3 * time.Second
)

// begins reports whether a task of a job starts within a time, and advances the
// simulated time until then.
func (sim *simulation) begins(job string, within time.Duration) bool {
	for until := sim.now.Add(within); ; sim.run(tickInterval) {
		if sim.fleet.Running(job) > 0 || sim.state(job) == batch.Done {
			return true
		}
		if !sim.now.Before(until) {
			return false
		}
	}
}

// TestBestEffortWorkIsNotHeldByPastInterference ends the task whose latency
// best-effort work raised. It guards against a worker that gets no best-effort work
// as long as it is idle, since only replies to polls end its block and idle workers
// are not polled.
func TestBestEffortWorkIsNotHeldByPastInterference(t *testing.T) {
	is := is.New(t)
	sim := startSimulation(1)
	serves, pl := longRunningJob("serves", 1)
	serves.Steps[0].TargetLatency = 50 * time.Millisecond
	sim.submit(serves, pl)
	sim.run(time.Second)
	sim.fleet.LatencyMillis[batch.TaskID{Job: "serves"}] = 80
	sim.run(3 * time.Second)
	sim.cancel("serves")
	sim.run(calmTime)
	is.Equal(sim.fleet.RunningOn("w00"), 0)
	fill, pl := oneStepJob("fill", 2, 2, time.Second)
	fill.Steps[0].BestEffort = true
	sim.submit(fill, pl)
	is.True(sim.begins("fill", maxHold))
	is.Equal(sim.check(), nil)
}

// TestLastAttemptIsNotHeldForBusyWorkers leaves a worker idle that a last attempt
// does not prefer, while work of an hour occupies the others. It guards against an
// attempt that waits for these, as if they were empty, until its job has lost all
// value.
func TestLastAttemptIsNotHeldForBusyWorkers(t *testing.T) {
	for _, name := range []string{"it failed there", "the worker is suspected"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sim := startSimulation(2)
			jb, pl := oneStepJob("j", 1, 1, 20*time.Second)
			if name == "it failed there" {
				sim.records["j"] = batch.Record{ID: "j", State: batch.Running, Units: []batch.UnitRecord{
					{Attempt: 2, Failures: 2, FailedOn: []string{"w00"}},
				}}
			} else {
				sim.policy.Queues[1].MaxAttempts = 1
				sim.suspect("w00")
			}
			sim.fillAllBut("w00")
			sim.submit(jb, pl)
			sim.elect()
			is.True(sim.begins("j", calmTime+maxHold))
			is.Equal(sim.check(), nil)
		})
	}
}

// fillAllBut occupies all workers but one with work of an hour.
func (sim *simulation) fillAllBut(idle string) {
	jb, pl := oneStepJob("all", 1, len(sim.workers)-1, time.Hour)
	jb.Workspace = "c"
	jb.Steps[0].Needs.Accelerators = 8
	jb.Steps[0].Label = "busy"
	for id, wk := range sim.workers {
		if id != idle {
			wk.Labels = append(wk.Labels, "busy")
			sim.workers[id] = wk
			sim.notify(domain.Listed{Worker: wk})
		}
	}
	sim.submit(jb, pl)
	sim.run(time.Second)
}

// suspect makes a worker suspected, but not suspended: two jobs fail there, one
// of which could be the cause.
func (sim *simulation) suspect(id string) {
	sim.records["failed"] = batch.Record{ID: "failed", State: batch.Running, Units: []batch.UnitRecord{
		{Attempt: 1, Failures: 1, FailedOn: []string{id}},
	}}
	jb, pl := oneStepJob("failed", 2, 1, time.Hour)
	jb.Steps[0].Label = "none" // it does not run again
	sim.submit(jb, pl)
}

// TestSmallTasksAreNotHeldByReservations makes gangs wait for whole workers, each of
// which has some tasks that run for an hour. It guards against small tasks that stand
// still beside these gangs, although most of the capacity is idle.
func TestSmallTasksAreNotHeldByReservations(t *testing.T) {
	is := is.New(t)
	sim := startSimulation(8)
	spread, pl := oneStepJob("spread", 2, 24, time.Hour)
	spread.Steps[0].PerWorker = 3
	sim.submit(spread, pl)
	sim.run(time.Second)
	for i := range 2 {
		gang, pl := oneStepJob(fmt.Sprintf("gang%d", i), 1, 4, 20*time.Second)
		gang.Steps[0].Gang = true
		gang.Steps[0].Needs = batch.Resources{Accelerators: 8, MemoryMB: 100 + i} // each fits on its own
		sim.submit(gang, pl)
	}
	sim.run(calmTime)
	small, pl := oneStepJob("small", 2, 4, 20*time.Second)
	sim.submit(small, pl)
	is.True(sim.begins("small", maxHold))
	is.Equal(sim.check(), nil)
}

// TestWorkIsNotHeldForItsRack leaves workers idle outside the rack of a task's data,
// or in two racks together for a gang that needs one. It guards against work that
// waits for a rack for most of the time until its objective, also if the rack has no
// worker any more.
func TestWorkIsNotHeldForItsRack(t *testing.T) {
	for name, prepare := range map[string]func(sim *simulation, sp *batch.Step){
		"the rack of the data is busy": func(sim *simulation, sp *batch.Step) { sim.fillAllBut("w11"); sp.DataRack = "r0" },
		"the rack of the data is gone": func(_ *simulation, sp *batch.Step) { sp.DataRack = "r7" },
		"a gang fits into no rack": func(sim *simulation, sp *batch.Step) {
			sim.addWorker("w22", 8)
			sim.addWorker("w33", 8)
			sp.Gang, sp.OneRack, sp.Tasks, sp.Needs.Accelerators = true, true, 2, 8
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sim := startSimulation(2)
			jb, pl := oneStepJob("j", 1, 1, 20*time.Second)
			prepare(sim, &jb.Steps[0])
			sim.run(calmTime)
			sim.submit(jb, pl)
			is.True(sim.begins("j", maxHold))
			is.Equal(sim.check(), nil)
		})
	}
}

// TestWorkIsNotHeldForSuspendedWorkers repairs a worker that has failed tasks, while
// all others are busy. It guards against work that does not run there, since the
// worker is still suspended or on probation.
func TestWorkIsNotHeldForSuspendedWorkers(t *testing.T) {
	for name, change := range map[string]func(jb *batch.Job){
		"gang":                          func(jb *batch.Job) { jb.Steps[0].Gang, jb.Steps[0].Tasks = true, 2 },
		"task that may fail only twice": func(jb *batch.Job) { jb.Queue.Name, jb.Queue.MaxAttempts = "twice", 2 },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sim := startSimulation(4)
			sim.fillAllBut("w00")
			sim.fleet.Fail("w00", true)
			for i := range 6 {
				jb, pl := oneStepJob(fmt.Sprintf("f%d", i), 2, 1, 500*time.Millisecond)
				sim.submit(jb, pl)
			}
			for len(sim.suspended()) == 0 {
				sim.run(tickInterval)
				if sim.now.Sub(startTime) > time.Minute {
					t.Fatalf("no worker is suspended\n%s", sim.logTail())
				}
			}
			sim.fleet.Fail("w00", false)
			for id := range sim.jobs {
				if id != "all" {
					sim.cancel(id)
				}
			}
			jb, pl := oneStepJob("j", 1, 1, 20*time.Second)
			change(&jb)
			sim.submit(jb, pl)
			is.True(sim.begins("j", calmTime+maxHold))
			is.Equal(sim.check(), nil)
		})
	}
}

// suspended returns the workers that have been suspended.
func (sim *simulation) suspended() []string {
	var ids []string
	for _, ld := range sim.decisions {
		if ld.Decision == "suspects" {
			ids = append(ids, ld.Worker)
		}
	}
	return ids
}

// TestUnitsThatFitAreNotHeldByBestEffortWork makes best-effort work wait since it
// interfered on the only worker, and submits a task of the same size that needs no
// processor time either. It guards against taking the two for interchangeable.
func TestUnitsThatFitAreNotHeldByBestEffortWork(t *testing.T) {
	is := is.New(t)
	sim := startSimulation(1)
	serves, pl := longRunningJob("serves", 1)
	serves.Steps[0].TargetLatency = 50 * time.Millisecond
	sim.submit(serves, pl)
	sim.run(time.Second)
	sim.fleet.LatencyMillis[batch.TaskID{Job: "serves"}] = 80
	sim.run(calmTime)
	for _, id := range []string{"fill", "other"} {
		jb, pl := oneStepJob(id, 1, 1, 20*time.Second)
		jb.Steps[0].Needs = batch.Resources{MemoryMB: 100}
		jb.Steps[0].BestEffort = id == "fill"
		sim.submit(jb, pl)
	}
	is.True(sim.begins("other", maxHold))
	is.Equal(sim.check(), nil)
}

// TestWorkIsNotHeldByTicketsOfFormerIncarnations restarts the only worker that may run
// a step. It guards against starts with the ticket of the worker's former life, which
// the worker refuses until the ticket expires.
func TestWorkIsNotHeldByTicketsOfFormerIncarnations(t *testing.T) {
	is := is.New(t)
	sim := startSimulation(2)
	sim.policy.Queues[1].Advised = true
	sim.ticketTime = time.Minute
	jb, pl := oneStepJob("j", 1, 1, 20*time.Second)
	jb.Queue = sim.policy.Queues[1]
	sim.tickets = map[string]map[string]string{"j": {"w00": "first life"}}
	sim.submit(jb, pl)
	is.True(sim.begins("j", maxHold))
	sim.tickets["j"]["w00"] = "second life"
	sim.addWorker("w00", 8)
	is.True(sim.begins("j", calmTime+maxHold))
	is.Equal(sim.check(), nil)
}

// TestWorkIsNotHeldByRefusalsOfFormerIncarnations restarts a worker as one of another
// kind, which may run a step that the former kind may not. It guards against a worker
// that the advice service is never asked about again.
func TestWorkIsNotHeldByRefusalsOfFormerIncarnations(t *testing.T) {
	is := is.New(t)
	sim := startSimulation(2)
	sim.policy.Queues[1].Advised = true
	jb, pl := oneStepJob("j", 1, 1, 20*time.Second)
	jb.Queue = sim.policy.Queues[1]
	sim.tickets = map[string]map[string]string{"j": {}}
	sim.submit(jb, pl)
	sim.run(time.Second)
	sim.tickets["j"]["w00"] = "second life"
	sim.addWorker("w00", 8)
	is.True(sim.begins("j", calmTime+maxHold))
	is.Equal(sim.check(), nil)
}

// TestWorkIsNotHeldByAdviceForOthers makes many steps wait that fit on no worker, and
// submits one that does. It guards against calls for advice about workers without
// room, which keep the service busy, one call at a time.
func TestWorkIsNotHeldByAdviceForOthers(t *testing.T) {
	is := is.New(t)
	sim := startSimulation(2)
	sim.policy.Queues[1].Advised = true
	sim.adviceTime = 200 * time.Millisecond
	sim.tickets = map[string]map[string]string{}
	half, pl := oneStepJob("half", 2, 2, time.Hour)
	half.Steps[0].PerWorker = 1
	half.Steps[0].Needs.MilliCPU = 40_000
	sim.submit(half, pl)
	advised := func(id string, milliCPU int) {
		jb, pl := oneStepJob(id, 1, 1, 20*time.Second)
		jb.Queue = sim.policy.Queues[1]
		jb.Steps[0].Needs.MilliCPU = milliCPU
		sim.tickets[id] = map[string]string{"w00": "t", "w11": "t"}
		sim.submit(jb, pl)
	}
	sim.run(time.Second)
	for i := range 40 {
		advised(fmt.Sprintf("large%d", i), 40_000) // one accelerator, so no worker is reserved for it
	}
	sim.run(calmTime)
	advised("small", 1000)
	is.True(sim.begins("small", maxHold))
	is.Equal(sim.check(), nil)
}

// TestClaimDoesNotHoldUnit lets urgent work preempt tasks whose stops are not
// confirmed, and adds an idle worker. It guards against a unit that waits with its
// claim although it could run elsewhere.
func TestClaimDoesNotHoldUnit(t *testing.T) {
	for name, lose := range map[string]func(sim *simulation, id string){
		"the worker loses stops":    func(sim *simulation, id string) { sim.fleet.LoseStops(id) },
		"the worker is cut off":     func(sim *simulation, id string) { sim.unreachable[id] = true },
		"stops get no reply":        func(sim *simulation, _ string) { sim.faults.lost = 1 },
		"stops arrive seconds late": func(sim *simulation, _ string) { sim.faults.late = 1 },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sim := startSimulation(2)
			long, pl := oneStepJob("long", 2, 2, time.Hour)
			long.Workspace = "c"
			long.Steps[0].Needs.Accelerators = 8
			sim.submit(long, pl)
			sim.run(time.Second)
			for id := range sim.workers {
				lose(sim, id)
			}
			now, pl := oneStepJob("now", 0, 1, 20*time.Second)
			now.Steps[0].Needs.Accelerators = 8
			sim.submit(now, pl)
			sim.run(50 * time.Millisecond)
			is.True(sim.stops("long") > 0) // it is preempted
			sim.addWorker("w02", 8)
			sim.faults = faults{}
			is.True(sim.begins("now", maxHold))
			is.Equal(sim.check(), nil)
		})
	}
}
