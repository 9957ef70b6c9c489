package domain_test

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadawharf/cicadawharf/internal/batch"
	"github.com/cicadawharf/cicadawharf/internal/domain"
)

var seeds = flag.Int("domain.seeds", 40, "number of seeds of TestRandomFaults, beside those that are always run")

// oneStepJob returns a job of one step whose tasks need one accelerator each,
// and the plan of that step.
func oneStepJob(id string, priority, tasks int, work time.Duration) (batch.Job, taskPlan) {
	jb := batch.Job{ID: id, Workspace: "a", Queue: queueOf(priority), Payload: "do " + id, Steps: []batch.Step{{
		Tasks: tasks, Needs: batch.Resources{MilliCPU: 1000, MemoryMB: 500, Accelerators: 1}, RunTime: work,
	}}}
	return jb, taskPlan{work: work}
}

// startSimulation returns a simulation with some workers of 8 accelerators, in
// up to two zones of one rack each, and a scheduler.
func startSimulation(workers int) *simulation { return newSimulation(1).start(workers) }

// start adds workers and elects a first scheduler. Worker w13 is the fourth
// one, in zone z1 and rack r1.
func (sim *simulation) start(workers int) *simulation {
	for i := range workers {
		sim.addWorker(fmt.Sprintf("w%d%d", i%2, i), 8)
	}
	sim.elect()
	sim.run(time.Second)
	return sim
}

func TestStepsRunInOrderAndGangsWhole(t *testing.T) {
	is := is.New(t)
	sim := startSimulation(4)
	jb, pl := oneStepJob("j1", 1, 3, time.Second)
	jb.Steps = append(jb.Steps, batch.Step{
		Tasks: 16, Needs: batch.Resources{Accelerators: 2}, RunTime: time.Second, After: []int{0}, Gang: true,
	})
	sim.submit(jb, pl, taskPlan{work: time.Second})
	sim.run(200 * time.Millisecond)
	is.Equal(sim.state("j1"), batch.Running)
	sim.run(4 * time.Second)
	is.Equal(sim.state("j1"), batch.Done)
	is.Equal(sim.fleet.Starts, 19)
	is.Equal(sim.check(), nil)
}

func TestJobFailsAfterMaxAttempts(t *testing.T) {
	is := is.New(t)
	sim := startSimulation(4)
	jb, _ := oneStepJob("j1", 1, 2, time.Second)
	sim.submit(jb, taskPlan{work: time.Second, fails: true})
	sim.run(20 * time.Second)
	is.Equal(sim.state("j1"), batch.Failed)
	is.Equal(sim.check(), nil)
	is.Equal(sim.fleet.Running("j1"), 0)
}

func TestCancelledJobIsStopped(t *testing.T) {
	is := is.New(t)
	sim := startSimulation(2)
	jb, pl := oneStepJob("j1", 1, 4, time.Minute)
	sim.submit(jb, pl)
	sim.run(time.Second)
	is.Equal(sim.fleet.Running("j1"), 4)
	sim.cancel("j1")
	sim.run(500 * time.Millisecond)
	is.Equal(sim.fleet.Running("j1"), 0)
	is.Equal(sim.state("j1"), batch.Cancelled)
}

// TestUnresponsiveWorkerLosesItsTasks removes a worker, with and without the
// platform's notice. It guards against polls that continue to grant leases to a
// worker that has left, so that its tasks are never given up.
func TestUnresponsiveWorkerLosesItsTasks(t *testing.T) {
	for _, listed := range []bool{true, false} {
		t.Run(fmt.Sprintf("listed=%v", listed), func(t *testing.T) {
			is := is.New(t)
			sim := startSimulation(2)
			jb, pl := oneStepJob("j1", 1, 16, 5*time.Second)
			sim.submit(jb, pl)
			sim.run(time.Second)
			sim.fleet.Remove(sim.now, "w00")
			if !listed {
				delete(sim.workers, "w00")
				sim.notify(domain.Unlisted{ID: "w00"})
			}
			sim.run(20 * time.Second)
			is.Equal(sim.state("j1"), batch.Done)
			is.Equal(sim.check(), nil)
		})
	}
}

// TestRecoveredWorkerGetsWork makes a worker unreachable until its tasks are
// given up. It guards against a worker that gets no work any more since it is
// no longer polled: without a task there, no other event shows that it replies.
func TestRecoveredWorkerGetsWork(t *testing.T) {
	is := is.New(t)
	sim := startSimulation(1)
	jb, pl := oneStepJob("j1", 1, 8, time.Second)
	sim.submit(jb, pl)
	sim.run(500 * time.Millisecond)
	sim.unreachable["w00"] = true
	sim.run(10 * time.Second)
	delete(sim.unreachable, "w00")
	sim.run(5 * time.Second)
	is.Equal(sim.state("j1"), batch.Done)
	is.Equal(sim.check(), nil)
}

// TestBrokenGangRestartsBeforeLeaseExpiry loses the worker of one task of a
// gang. The other gang members end as broken, which shows that this task has
// ended, too. The gang has to be restarted before the lease of the task has
// expired.
func TestBrokenGangRestartsBeforeLeaseExpiry(t *testing.T) {
	is := is.New(t)
	sim := startSimulation(4)
	jb, pl := oneStepJob("j", 1, 3, 2*time.Second)
	jb.Steps[0].Gang = true
	jb.Steps[0].Needs.Accelerators = 8
	sim.submit(jb, pl)
	sim.run(time.Second)
	sim.unreachable["w02"] = true
	sim.fleet.Remove(sim.now, "w02")
	sim.notify(domain.Unlisted{ID: "w02"})
	sim.run(1200 * time.Millisecond)
	sim.elect() // the next scheduler has to come to the same conclusion
	sim.run(1500 * time.Millisecond)
	is.Equal(sim.fleet.Running("j"), 3)
	sim.run(3 * time.Second)
	is.Equal(sim.state("j"), batch.Done)
	is.Equal(sim.check(), nil)
}

// TestGuaranteedWorkBeginsAtOnce fills all workers and submits a gang within
// the guarantee. The gang must be running 1.5 s after its submission.
func TestGuaranteedWorkBeginsAtOnce(t *testing.T) {
	is := is.New(t)
	sim := startSimulation(4)
	fill, pl := oneStepJob("fill", 2, 32, time.Minute)
	fill.Workspace = "b"
	sim.submit(fill, pl)
	sim.run(time.Second)
	is.Equal(sim.fleet.Running("fill"), 32)
	jb, _ := oneStepJob("now", 0, 2, time.Second)
	jb.Steps[0].Gang = true
	jb.Steps[0].OneRack = true
	jb.Steps[0].Needs.Accelerators = 8
	sim.submit(jb, taskPlan{work: 3 * time.Second})
	sim.run(1500 * time.Millisecond)
	is.Equal(sim.fleet.Running("now"), 2)
	sim.run(3 * time.Second)
	is.Equal(sim.state("now"), batch.Done)
	is.Equal(sim.check(), nil)
}

// TestPreemptionRespectsPerWorkerLimit fills all workers and submits, within
// the guarantee, tasks of which each worker may run one. It guards against
// preemption for more than one of them on the same worker.
func TestPreemptionRespectsPerWorkerLimit(t *testing.T) {
	is := is.New(t)
	sim := startSimulation(4)
	fill, pl := oneStepJob("fill", 2, 32, time.Minute)
	fill.Steps[0].Checkpoints = true // preempting it loses nothing
	fill.Workspace = "b"
	sim.submit(fill, pl)
	sim.run(time.Second)
	jb, pl := oneStepJob("apart", 0, 4, time.Second)
	jb.Steps[0].PerWorker = 1
	sim.submit(jb, pl)
	sim.run(3 * time.Second)
	is.Equal(sim.state("apart"), batch.Done)
	is.Equal(sim.check(), nil)
}

// TestWorkerThatFailsEverythingIsSuspended bounds the failures that one faulty
// worker causes to many jobs. Since its tasks end at once, it soon has free
// capacity for the next ones.
func TestWorkerThatFailsEverythingIsSuspended(t *testing.T) {
	is := is.New(t)
	sim := startSimulation(4)
	sim.fleet.Fail("w00", true)
	for i := range 20 {
		jb, pl := oneStepJob(fmt.Sprintf("j%02d", i), 1, 1, 500*time.Millisecond)
		sim.submit(jb, pl)
		sim.run(200 * time.Millisecond)
	}
	sim.run(10 * time.Second)
	for id := range sim.jobs {
		is.Equal(sim.state(id), batch.Done)
	}
	is.True(sim.fleet.Starts <= 20+6) // at most 6 failures of 20 jobs
	is.Equal(sim.check(), nil)
}

// TestHungTaskIsRestarted makes the tasks of one worker hang. They are
// restarted elsewhere, so that the job ends.
func TestHungTaskIsRestarted(t *testing.T) {
	for _, gang := range []bool{false, true} {
		is := is.New(t)
		sim := startSimulation(4)
		jb, pl := oneStepJob("j", 1, 4, 4*time.Second)
		jb.Steps[0].Gang = gang
		jb.Steps[0].Needs.Accelerators = 4
		sim.submit(jb, pl)
		sim.run(time.Second)
		sim.fleet.Stall(sim.now, "w00", true)
		sim.run(14 * time.Second)
		is.Equal(sim.state("j"), batch.Done)
		is.Equal(sim.check(), nil)
	}
}

// TestUnevenGangIsNotHung runs a gang with one task that takes much longer than
// the others, which stay at 100 percent until it is done. It guards against
// stopping the gang because these make no progress.
func TestUnevenGangIsNotHung(t *testing.T) {
	is := is.New(t)
	sim := startSimulation(4)
	jb, pl := oneStepJob("j", 1, 4, 4*time.Second)
	jb.Steps[0].Gang = true
	pl.firstTaskWork = 16 * time.Second
	sim.submit(jb, pl)
	sim.run(17 * time.Second)
	is.Equal(sim.state("j"), batch.Done)
	is.Equal(sim.fleet.Starts, 4)
	is.Equal(sim.check(), nil)
}

// TestRetryAvoidsFailedWorker fails the first attempt of a unit near its data,
// and elects a new scheduler. The last attempt goes to another worker, although
// that is far from the data.
func TestRetryAvoidsFailedWorker(t *testing.T) {
	is := is.New(t)
	sim := startSimulation(4)
	sim.fleet.Fail("w00", true)
	sim.fleet.Remove(sim.now, "w02") // the other worker of the rack
	sim.notify(domain.Unlisted{ID: "w02"})
	sim.run(100 * time.Millisecond)
	jb, pl := oneStepJob("j", 1, 1, time.Second)
	jb.Steps[0].DataRack = "r0"
	jb.Queue.MaxAttempts = 2
	sim.submit(jb, pl)
	sim.run(70 * time.Millisecond)
	sim.elect()
	sim.run(6 * time.Second)
	is.Equal(sim.state("j"), batch.Done)
	is.Equal(sim.check(), nil)
}

// TestTakeoverStartsNothingTwice kills the leader at many moments of a gang's
// start and of its end. It guards against a successor that starts a task a
// second time, or loses one.
func TestTakeoverStartsNothingTwice(t *testing.T) {
	for at := time.Duration(0); at < 1200*time.Millisecond; at += 7 * time.Millisecond {
		sim := startSimulation(4)
		jb, pl := oneStepJob("j1", 1, 8, 500*time.Millisecond)
		jb.Steps[0].Gang = true
		sim.submit(jb, pl)
		other, pl2 := oneStepJob("j2", 1, 5, 300*time.Millisecond)
		sim.submit(other, pl2)
		sim.run(at)
		sim.elect()
		sim.run(20 * time.Second)
		if violations := sim.check(); len(violations) > 0 || sim.state("j1") != batch.Done || sim.state("j2") != batch.Done {
			t.Fatalf("killed at %v: %v %v %v\n%s", at, sim.state("j1"), sim.state("j2"), violations, sim.logTail())
		}
	}
}

// TestRandomFaults runs jobs of all kinds while calls are lost and delayed,
// workers crash, restart and become unreachable, and leaders are killed and
// partitioned. No invariant is violated, and once the faults are over every job
// ends. A single seed is run by -run 'RandomFaults/^580$' -domain.seeds 581.
// Three seeds are always run, since they have found faults. With 580, workers
// were reserved for a gang whose last attempt rejected them; with 215 and 428,
// late small work overtook late gangs again and again.
func TestRandomFaults(t *testing.T) {
	chosen := map[int]bool{}
	for _, seed := range []int{215, 428, 580} {
		chosen[seed] = true
	}
	for seed := range *seeds {
		chosen[seed] = true
	}
	for seed := range chosen {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			runRandomFaults(t, uint64(seed))
		})
	}
}

func runRandomFaults(t *testing.T, seed uint64) {
	sim := newSimulation(seed)
	ids := []string{"w00", "w01", "w02", "w10", "w11", "w12"}
	for _, id := range ids {
		sim.addWorker(id, 8)
	}
	sim.elect()
	sim.faults = faults{lost: 0.03 * sim.rng.Float64(), late: 0.03 * sim.rng.Float64(), drop: 0.03 * sim.rng.Float64()}
	for step := range 120 {
		sim.run(time.Duration(sim.rng.IntN(500)) * time.Millisecond)
		sim.injectRandomFault(step, ids)
		if violations := sim.check(); len(violations) > 0 {
			t.Fatalf("violations: %v\n%s", violations, sim.logTail())
		}
	}
	sim.faults = faults{}
	clear(sim.unreachable)
	for _, id := range ids {
		sim.fleet.Fail(id, false)
	}
	if sim.leader.dead || sim.leader.partitioned {
		sim.elect()
	}
	sim.run(2 * time.Minute)
	if violations := sim.check(); len(violations) > 0 {
		t.Fatalf("violations: %v\n%s", violations, sim.logTail())
	}
	for id := range sim.jobs {
		if !sim.state(id).Final() {
			t.Errorf("job %s is %v at the end\n%s", id, sim.state(id), sim.logTail())
		}
		if n := sim.fleet.Running(id); n > 0 {
			t.Errorf("%d tasks of the ended job %s still run", n, id)
		}
	}
}

// injectRandomFault submits or cancels a job, or injects or ends a random
// fault.
func (sim *simulation) injectRandomFault(step int, ids []string) {
	id := ids[sim.rng.IntN(len(ids))]
	switch n := sim.rng.IntN(100); {
	case n < 45:
		sim.submitRandom(fmt.Sprintf("j%03d", step))
	case n < 52 && len(sim.accepted) > 0:
		sim.cancel(sim.accepted[sim.rng.IntN(len(sim.accepted))])
	case n < 57:
		sim.addWorker(id, 8) // restarts it under the same ID
	case n < 62:
		sim.fleet.Fail(id, true)
	case n < 70:
		sim.fleet.Fail(id, false)
	case n < 75:
		sim.unreachable[id] = true
	case n < 84:
		delete(sim.unreachable, id)
	case n < 90:
		sim.elect()
	case n < 94:
		sim.partitionLeader()
	case n < 97:
		sim.notify(domain.Unlisted{ID: id})
		wk := sim.workers[id]
		sim.after(3*time.Second, func() { sim.notify(domain.Listed{Worker: wk}) })
	}
}

// partitionLeader cuts the leader off from the store. It continues beside its
// successor until MaxRenewalAge is over.
func (sim *simulation) partitionLeader() {
	former := sim.leader
	former.partitioned = true
	sim.disturb(domain.MaxRenewalAge)
	sim.after(1500*time.Millisecond, func() {
		if sim.leader == former {
			sim.elect()
		}
	})
	sim.after(domain.MaxRenewalAge, func() { former.dead = true })
}

// submitRandom submits a job of random shape.
func (sim *simulation) submitRandom(id string) {
	rng := sim.rng
	jb := batch.Job{ID: id, Workspace: []string{"a", "b", "c"}[rng.IntN(3)], Queue: queueOf(rng.IntN(3)), Payload: "p" + id}
	var plans []taskPlan
	for at := range 1 + rng.IntN(2) {
		work := time.Duration(200+rng.IntN(4000)) * time.Millisecond
		step := batch.Step{
			Tasks: 1 + rng.IntN(10), RunTime: work, Gang: rng.IntN(2) == 0, OneRack: rng.IntN(2) == 0,
			Checkpoints: rng.IntN(2) == 0,
			Needs:       batch.Resources{MilliCPU: 1000, MemoryMB: 100, Accelerators: []int{1, 1, 2, 4}[rng.IntN(4)]},
		}
		if at > 0 && rng.IntN(2) == 0 {
			step.After = []int{at - 1}
		}
		if rng.IntN(6) == 0 {
			step.DataRack = "r0"
		}
		if rng.IntN(8) == 0 && !step.Gang {
			step.PerWorker = 2
		}
		jb.Steps = append(jb.Steps, step)
		plans = append(plans, taskPlan{work: work, fails: rng.IntN(25) == 0})
	}
	if rng.IntN(10) == 0 {
		jb.Schedule = &batch.Schedule{First: sim.now.Add(time.Second), Every: 2 * time.Second, Count: 3}
	}
	sim.submit(jb, plans...)
}

// TestJobWithLostStartsCountsAsWaiting loses all calls to the workers. The job
// has to count as waiting until a task of it is known to run, although it was
// placed.
func TestJobWithLostStartsCountsAsWaiting(t *testing.T) {
	is := is.New(t)
	sim := startSimulation(2)
	sim.faults = faults{drop: 1}
	jb, pl := oneStepJob("j1", 1, 2, time.Second)
	sim.submit(jb, pl)
	sim.run(4 * time.Second)
	is.Equal(sim.waiting, map[string]int{"q1": 1})
	sim.faults = faults{}
	sim.run(time.Second)
	is.Equal(sim.fleet.Running("j1"), 2) // a lost start delays its task only a little
	sim.run(3 * time.Second)
	is.Equal(sim.waiting, map[string]int{})
	is.Equal(sim.state("j1"), batch.Done)
}

func TestOccurrencesWaitForSchedule(t *testing.T) {
	is := is.New(t)
	sim := startSimulation(2)
	jb, pl := oneStepJob("j1", 1, 1, 100*time.Millisecond)
	jb.Schedule = &batch.Schedule{First: sim.now.Add(2 * time.Second), Every: 3 * time.Second, Count: 2}
	sim.submit(jb, pl)
	sim.run(1900 * time.Millisecond)
	is.Equal(sim.fleet.Starts, 0)
	sim.run(600 * time.Millisecond)
	is.Equal(sim.fleet.Starts, 1)
	sim.run(5 * time.Second)
	is.Equal(sim.fleet.Starts, 2)
	is.Equal(sim.state("j1"), batch.Done)
	is.True(slices.ContainsFunc(sim.decisions, func(ld domain.LogDecision) bool { return ld.Decision == "jobEnds" }))
}
