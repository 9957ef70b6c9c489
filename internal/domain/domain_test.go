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

var seeds = flag.Int("domain.seeds", 40, "seeds of the random runs")

func single(id string, priority, tasks int, work time.Duration) (batch.Job, planned) {
	jb := batch.Job{ID: id, Workspace: "a", Queue: queueOf(priority), Payload: "do " + id, Steps: []batch.Step{{
		Tasks: tasks, Needs: batch.Resources{MilliCPU: 1000, MemoryMB: 500, Accelerators: 1}, RunTime: work,
	}}}
	return jb, planned{work: work}
}

func calm(workers int) *world { return newWorld(1).calm(workers) }

// calm adds workers and has a first scheduler take over.
func (wo *world) calm(workers int) *world {
	for i := range workers {
		wo.addWorker(fmt.Sprintf("w%d%d", i%2, i), 8)
	}
	wo.elect()
	wo.run(time.Second)
	return wo
}

func TestStepsRunInOrderAndGangsWhole(t *testing.T) {
	is := is.New(t)
	wo := calm(4)
	jb, pl := single("j1", 1, 3, time.Second)
	jb.Steps = append(jb.Steps, batch.Step{
		Tasks: 16, Needs: batch.Resources{Accelerators: 2}, RunTime: time.Second, After: []int{0}, Gang: true,
	})
	wo.submit(jb, pl, planned{work: time.Second})
	wo.run(200 * time.Millisecond)
	is.Equal(wo.state("j1"), batch.Running)
	wo.run(4 * time.Second)
	is.Equal(wo.state("j1"), batch.Done)
	is.Equal(wo.fleet.Starts, 19)
	is.Equal(wo.check(), nil)
}

func TestFailuresUseUpTheAttempts(t *testing.T) {
	is := is.New(t)
	wo := calm(4)
	jb, _ := single("j1", 1, 2, time.Second)
	wo.submit(jb, planned{work: time.Second, fails: true})
	wo.run(20 * time.Second)
	is.Equal(wo.state("j1"), batch.Failed)
	is.Equal(wo.check(), nil)
	is.Equal(wo.fleet.Running("j1"), 0)
}

func TestCancelledJobIsStopped(t *testing.T) {
	is := is.New(t)
	wo := calm(2)
	jb, pl := single("j1", 1, 4, time.Minute)
	wo.submit(jb, pl)
	wo.run(time.Second)
	is.Equal(wo.fleet.Running("j1"), 4)
	wo.cancel("j1")
	wo.run(500 * time.Millisecond)
	is.Equal(wo.fleet.Running("j1"), 0)
	is.Equal(wo.state("j1"), batch.Cancelled)
}

// TestSilentWorkerIsGivenUp replays a worker that left with tasks on it: looks
// at it went on to grant leases, so that it was never given up.
func TestSilentWorkerIsGivenUp(t *testing.T) {
	for _, listed := range []bool{true, false} {
		t.Run(fmt.Sprintf("listed=%v", listed), func(t *testing.T) {
			is := is.New(t)
			wo := calm(2)
			jb, pl := single("j1", 1, 16, 5*time.Second)
			wo.submit(jb, pl)
			wo.run(time.Second)
			wo.fleet.Remove(wo.now, "w00")
			if !listed {
				delete(wo.workers, "w00")
				wo.tell(domain.Unlisted{ID: "w00"})
			}
			wo.run(20 * time.Second)
			is.Equal(wo.state("j1"), batch.Done)
			is.Equal(wo.check(), nil)
		})
	}
}

// TestIdleWorkerComesBack makes a worker silent until its tasks are given up. It
// gets work again once it answers, although nothing runs there.
func TestIdleWorkerComesBack(t *testing.T) {
	is := is.New(t)
	wo := calm(1)
	jb, pl := single("j1", 1, 8, time.Second)
	wo.submit(jb, pl)
	wo.run(500 * time.Millisecond)
	wo.silent["w00"] = true
	wo.run(10 * time.Second)
	delete(wo.silent, "w00")
	wo.run(5 * time.Second)
	is.Equal(wo.state("j1"), batch.Done)
	is.Equal(wo.check(), nil)
}

// TestBrokenGangIsNotWaitedFor loses the worker of one task of a gang. The
// other tasks break, which tells that this one is over, before its lease is.
func TestBrokenGangIsNotWaitedFor(t *testing.T) {
	is := is.New(t)
	wo := calm(4)
	jb, pl := single("j", 1, 3, 2*time.Second)
	jb.Steps[0].Gang = true
	jb.Steps[0].Needs.Accelerators = 8
	wo.submit(jb, pl)
	wo.run(time.Second)
	wo.silent["w02"] = true
	wo.fleet.Remove(wo.now, "w02")
	wo.tell(domain.Unlisted{ID: "w02"})
	wo.run(1200 * time.Millisecond)
	wo.elect() // and the next scheduler knows it, too
	wo.run(1500 * time.Millisecond)
	is.Equal(wo.fleet.Running("j"), 3)
	wo.run(3 * time.Second)
	is.Equal(wo.state("j"), batch.Done)
	is.Equal(wo.check(), nil)
}

// TestGuaranteedWorkBeginsAtOnce fills the fleet and asks for a gang within the
// guarantee: it begins within the time that the platform gives.
func TestGuaranteedWorkBeginsAtOnce(t *testing.T) {
	is := is.New(t)
	wo := calm(4)
	fill, pl := single("fill", 2, 32, time.Minute)
	fill.Workspace = "b"
	wo.submit(fill, pl)
	wo.run(time.Second)
	is.Equal(wo.fleet.Running("fill"), 32)
	jb, _ := single("now", 0, 2, time.Second)
	jb.Steps[0].Gang = true
	jb.Steps[0].OneRack = true
	jb.Steps[0].Needs.Accelerators = 8
	wo.submit(jb, planned{work: 3 * time.Second})
	wo.run(1500 * time.Millisecond)
	is.Equal(wo.fleet.Running("now"), 2)
	wo.run(3 * time.Second)
	is.Equal(wo.state("now"), batch.Done)
	is.Equal(wo.check(), nil)
}

// TestPreemptionKeepsTasksApart fills the fleet and asks, within the guarantee,
// for tasks of which one may be on each worker.
func TestPreemptionKeepsTasksApart(t *testing.T) {
	is := is.New(t)
	wo := calm(4)
	fill, pl := single("fill", 2, 32, time.Minute)
	fill.Steps[0].Checkpoints = true // stopping it loses nothing
	fill.Workspace = "b"
	wo.submit(fill, pl)
	wo.run(time.Second)
	jb, pl := single("apart", 0, 4, time.Second)
	jb.Steps[0].PerWorker = 1
	wo.submit(jb, pl)
	wo.run(3 * time.Second)
	is.Equal(wo.state("apart"), batch.Done)
	is.Equal(wo.check(), nil)
}

// TestWorkerThatFailsEverythingIsSuspended bounds what one bad worker does to
// many jobs.
func TestWorkerThatFailsEverythingIsSuspended(t *testing.T) {
	is := is.New(t)
	wo := calm(4)
	wo.fleet.Fail("w00", true)
	for i := range 20 {
		jb, pl := single(fmt.Sprintf("j%02d", i), 1, 1, 500*time.Millisecond)
		wo.submit(jb, pl)
		wo.run(200 * time.Millisecond)
	}
	wo.run(10 * time.Second)
	for id := range wo.jobs {
		is.Equal(wo.state(id), batch.Done)
	}
	is.True(wo.fleet.Starts <= 20+6)
	is.Equal(wo.check(), nil)
}

// TestStalledTaskIsMoved lets the tasks of one worker stand still. They are
// begun anew elsewhere, and the worker gets nothing new for a while.
func TestStalledTaskIsMoved(t *testing.T) {
	for _, gang := range []bool{false, true} {
		is := is.New(t)
		wo := calm(4)
		jb, pl := single("j", 1, 4, 4*time.Second)
		jb.Steps[0].Gang = gang
		jb.Steps[0].Needs.Accelerators = 4
		wo.submit(jb, pl)
		wo.run(time.Second)
		wo.fleet.Stall(wo.now, "w00", true)
		wo.run(14 * time.Second)
		is.Equal(wo.state("j"), batch.Done)
		is.Equal(wo.check(), nil)
	}
}

// TestUnevenGangIsLeftAlone runs a gang of which one task has much more to do
// than the others. They stand at 100 percent until it is done.
func TestUnevenGangIsLeftAlone(t *testing.T) {
	is := is.New(t)
	wo := calm(4)
	jb, pl := single("j", 1, 4, 4*time.Second)
	jb.Steps[0].Gang = true
	pl.longest = 16 * time.Second
	wo.submit(jb, pl)
	wo.run(17 * time.Second)
	is.Equal(wo.state("j"), batch.Done)
	is.Equal(wo.fleet.Starts, 4)
	is.Equal(wo.check(), nil)
}

// TestSecondAttemptAvoidsTheWorker fails the first attempt of a unit near its
// data, and changes the scheduler. The last attempt goes elsewhere, though far
// from the data.
func TestSecondAttemptAvoidsTheWorker(t *testing.T) {
	is := is.New(t)
	wo := calm(4)
	wo.fleet.Fail("w00", true)
	wo.fleet.Remove(wo.now, "w02") // the other worker of the rack
	wo.tell(domain.Unlisted{ID: "w02"})
	wo.run(100 * time.Millisecond)
	jb, pl := single("j", 1, 1, time.Second)
	jb.Steps[0].Rack = "r0"
	jb.Queue.MaxAttempts = 2
	wo.submit(jb, pl)
	wo.run(70 * time.Millisecond)
	wo.elect()
	wo.run(6 * time.Second)
	is.Equal(wo.state("j"), batch.Done)
	is.Equal(wo.check(), nil)
}

// TestTakeoverStartsNothingTwice kills the holder at many moments of a gang's
// start and of its end.
func TestTakeoverStartsNothingTwice(t *testing.T) {
	for at := time.Duration(0); at < 1200*time.Millisecond; at += 7 * time.Millisecond {
		wo := calm(4)
		jb, pl := single("j1", 1, 8, 500*time.Millisecond)
		jb.Steps[0].Gang = true
		wo.submit(jb, pl)
		two, pl2 := single("j2", 1, 5, 300*time.Millisecond)
		wo.submit(two, pl2)
		wo.run(at)
		wo.elect()
		wo.run(20 * time.Second)
		if bad := wo.check(); len(bad) > 0 || wo.state("j1") != batch.Done || wo.state("j2") != batch.Done {
			t.Fatalf("killed at %v: %v %v %v\n%s", at, wo.state("j1"), wo.state("j2"), bad, wo.tail())
		}
	}
}

// TestRandomFaults plays jobs of all kinds while calls are lost and late,
// workers crash, start anew and fall silent, holders are killed and cut off. No
// rule is broken, and once the faults are over every job ends. One seed is played
// by -run 'RandomFaults/^580$' -domain.seeds 581. The seeds that have failed are
// played in any case: 580 as workers were kept for a gang's last attempt that it
// refused, 215 and 428 as late gangs were passed by late small work without end.
func TestRandomFaults(t *testing.T) {
	played := map[int]bool{}
	for _, seed := range []int{215, 428, 580} {
		played[seed] = true
	}
	for seed := range *seeds {
		played[seed] = true
	}
	for seed := range played {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			playRandom(t, uint64(seed))
		})
	}
}

func playRandom(t *testing.T, seed uint64) {
	wo := newWorld(seed)
	ids := []string{"w00", "w01", "w02", "w10", "w11", "w12"}
	for _, id := range ids {
		wo.addWorker(id, 8)
	}
	wo.elect()
	wo.faults = faults{lost: 0.03 * wo.rng.Float64(), late: 0.03 * wo.rng.Float64(), drop: 0.03 * wo.rng.Float64()}
	for step := range 120 {
		wo.run(time.Duration(wo.rng.IntN(500)) * time.Millisecond)
		wo.disturb(step, ids)
		if bad := wo.check(); len(bad) > 0 {
			t.Fatalf("broken: %v\n%s", bad, wo.tail())
		}
	}
	wo.faults = faults{}
	clear(wo.silent)
	for _, id := range ids {
		wo.fleet.Fail(id, false)
	}
	if wo.holder.dead || wo.holder.cut {
		wo.elect()
	}
	wo.run(2 * time.Minute)
	if bad := wo.check(); len(bad) > 0 {
		t.Fatalf("broken: %v\n%s", bad, wo.tail())
	}
	for id := range wo.jobs {
		if !wo.state(id).Final() {
			t.Errorf("job %s is %v at the end\n%s", id, wo.state(id), wo.tail())
		}
		if n := wo.fleet.Running(id); n > 0 {
			t.Errorf("%d tasks of the ended job %s run", n, id)
		}
	}
}

// disturb does one random thing.
func (wo *world) disturb(step int, ids []string) {
	id := ids[wo.rng.IntN(len(ids))]
	switch n := wo.rng.IntN(100); {
	case n < 45:
		wo.submitRandom(fmt.Sprintf("j%03d", step))
	case n < 52 && len(wo.accepts) > 0:
		wo.cancel(wo.accepts[wo.rng.IntN(len(wo.accepts))])
	case n < 57:
		wo.addWorker(id, 8) // starts anew under its ID
	case n < 62:
		wo.fleet.Fail(id, true)
	case n < 70:
		wo.fleet.Fail(id, false)
	case n < 75:
		wo.silent[id] = true
	case n < 84:
		delete(wo.silent, id)
	case n < 90:
		wo.elect()
	case n < 94:
		wo.cutHolder()
	case n < 97:
		wo.tell(domain.Unlisted{ID: id})
		wk := wo.workers[id]
		wo.after(3*time.Second, func() { wo.tell(domain.Listed{Worker: wk}) })
	}
}

// cutHolder takes the store away from the holder, which goes on for a while
// beside its successor.
func (wo *world) cutHolder() {
	former := wo.holder
	former.cut = true
	wo.after(1500*time.Millisecond, func() {
		if wo.holder == former {
			wo.elect()
		}
	})
	wo.after(domain.RenewTime, func() { former.dead = true })
}

func (wo *world) submitRandom(id string) {
	rng := wo.rng
	jb := batch.Job{ID: id, Workspace: []string{"a", "b", "c"}[rng.IntN(3)], Queue: queueOf(rng.IntN(3)), Payload: "p" + id}
	var plans []planned
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
			step.Rack = "r0"
		}
		if rng.IntN(8) == 0 && !step.Gang {
			step.PerWorker = 2
		}
		jb.Steps = append(jb.Steps, step)
		plans = append(plans, planned{work: work, fails: rng.IntN(25) == 0})
	}
	if rng.IntN(10) == 0 {
		jb.Schedule = &batch.Schedule{First: wo.now.Add(time.Second), Every: 2 * time.Second, Count: 3}
	}
	wo.submit(jb, plans...)
}

// TestJobsWhoseStartsAreLostWait counts a job as waiting until a task of it is
// known to run, however often it was placed.
func TestJobsWhoseStartsAreLostWait(t *testing.T) {
	is := is.New(t)
	wo := calm(2)
	wo.faults = faults{drop: 1}
	jb, pl := single("j1", 1, 2, time.Second)
	wo.submit(jb, pl)
	wo.run(4 * time.Second)
	is.Equal(wo.waiting, map[string]int{"q1": 1})
	wo.faults = faults{}
	wo.run(time.Second)
	is.Equal(wo.fleet.Running("j1"), 2) // a lost start delays its task by little
	wo.run(3 * time.Second)
	is.Equal(wo.waiting, map[string]int{})
	is.Equal(wo.state("j1"), batch.Done)
}

func TestEarlyOccurrencesWait(t *testing.T) {
	is := is.New(t)
	wo := calm(2)
	jb, pl := single("j1", 1, 1, 100*time.Millisecond)
	jb.Schedule = &batch.Schedule{First: wo.now.Add(2 * time.Second), Every: 3 * time.Second, Count: 2}
	wo.submit(jb, pl)
	wo.run(1900 * time.Millisecond)
	is.Equal(wo.fleet.Starts, 0)
	wo.run(600 * time.Millisecond)
	is.Equal(wo.fleet.Starts, 1)
	wo.run(5 * time.Second)
	is.Equal(wo.fleet.Starts, 2)
	is.Equal(wo.state("j1"), batch.Done)
	is.True(slices.ContainsFunc(wo.notes, func(no domain.Noted) bool { return no.Decision == "jobEnds" }))
}
