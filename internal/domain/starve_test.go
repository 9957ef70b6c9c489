package domain_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadawharf/cicadawharf/internal/batch"
)

// TestUrgentWorkDoesNotStarveLastQueue submits gangs of a more urgent queue as
// fast as the workers can run them, and some jobs of the last queue. Each of
// these has to meet its objective, which is three times its run time plus a
// second.
func TestUrgentWorkDoesNotStarveLastQueue(t *testing.T) {
	for name, shape := range map[string]struct{ tasks, accelerators, every int }{
		"small tasks": {6, 1, 8}, "a gang larger than the queue's share": {4, 8, 16},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sim := startSimulation(8)
			var last []string
			for i := range 60 {
				gang, pl := oneStepJob(fmt.Sprintf("gang%02d", i), 1, 2, 4*time.Second)
				gang.Steps[0].Gang = true
				gang.Steps[0].Needs.Accelerators = 8
				sim.submit(gang, pl)
				if i > 0 && i%shape.every == 0 && i < 50 {
					jb, pl := oneStepJob(fmt.Sprintf("last%02d", i), 2, shape.tasks, 4*time.Second)
					jb.Workspace = "b"
					jb.Steps[0].Gang = shape.accelerators > 1
					jb.Steps[0].Needs.Accelerators = shape.accelerators
					sim.submit(jb, pl)
					last = append(last, jb.ID)
				}
				sim.run(900 * time.Millisecond)
			}
			for _, id := range last {
				jb := sim.jobs[id]
				is.Equal(sim.state(id), batch.Done)                                  // not starved
				is.True(sim.turnaround(id) <= jb.Queue.Objective(jb.CriticalPath())) // and met its objective
			}
			is.Equal(sim.check(), nil)
		})
	}
}

// TestLargeJobLeavesQueueShareToSmallJob submits a small job after a large one
// of the same queue, while gangs of a more urgent queue use all capacity beyond
// the share of that queue. The small job meets its objective, and the large one
// continues.
func TestLargeJobLeavesQueueShareToSmallJob(t *testing.T) {
	is := is.New(t)
	sim := startSimulation(8)
	for i := range 40 {
		gang, pl := oneStepJob(fmt.Sprintf("gang%02d", i), 1, 2, 4*time.Second)
		gang.Steps[0].Gang = true
		gang.Steps[0].Needs.Accelerators = 8
		sim.submit(gang, pl)
		switch i {
		case 8:
			large, pl := oneStepJob("large", 2, 96, 4*time.Second)
			sim.submit(large, pl)
		case 10:
			small, pl := oneStepJob("small", 2, 2, 4*time.Second)
			sim.submit(small, pl)
		}
		sim.run(900 * time.Millisecond)
	}
	small := sim.jobs["small"]
	is.Equal(sim.state("small"), batch.Done)
	is.True(sim.turnaround("small") <= small.Queue.Objective(small.CriticalPath()))
	is.True(sim.fleet.Running("large") > 0)
	is.Equal(sim.check(), nil)
}

// TestOverdueGangsDoNotBlockSmallTasks frees enough capacity for small tasks,
// but not for a gang that needs all workers. Both can't meet their objectives
// any more, and both queues use more than their shares. It guards against
// capacity that is reserved for the gang: the small tasks use it.
func TestOverdueGangsDoNotBlockSmallTasks(t *testing.T) {
	is := is.New(t)
	sim := startSimulation(4)
	fill := func(id string, priority, tasks int, work time.Duration) {
		jb, pl := oneStepJob(id, priority, tasks, work)
		sim.submit(jb, pl)
	}
	fill("long1", 1, 13, time.Minute)
	fill("long2", 2, 7, time.Minute)
	fill("short", 2, 12, 6*time.Second)
	sim.run(time.Second)
	gang, pl := oneStepJob("gang", 1, 4, time.Second)
	gang.Steps[0].Gang = true
	gang.Steps[0].Needs.Accelerators = 8
	sim.submit(gang, pl)
	small, pl := oneStepJob("small", 2, 6, time.Second)
	sim.submit(small, pl)
	sim.run(8 * time.Second)
	is.Equal(sim.state("gang"), batch.Queued)
	is.Equal(sim.state("small"), batch.Done)
	is.Equal(sim.check(), nil)
}

// TestTakeoverKeepsWaitTimes makes jobs wait for capacity, and elects a new
// scheduler. They begin in the order of their submission, and their reported
// wait includes the time before.
func TestTakeoverKeepsWaitTimes(t *testing.T) {
	is := is.New(t)
	sim := startSimulation(1)
	fill, pl := oneStepJob("fill", 1, 8, 7*time.Second)
	sim.submit(fill, pl)
	sim.run(time.Second)
	for _, id := range []string{"c", "b", "a"} { // not in the order of their IDs
		jb, pl := oneStepJob(id, 1, 8, time.Second)
		sim.submit(jb, pl)
		sim.run(time.Second)
	}
	sim.elect()
	sim.backlogReports = nil
	sim.run(time.Second)
	is.True(len(sim.backlogReports) > 0)
	is.True(sim.backlogReports[0].Backlogs[0].Oldest >= 3*time.Second)
	sim.run(20 * time.Second)
	is.True(sim.endOf("c").Before(sim.endOf("b")))
	is.True(sim.endOf("b").Before(sim.endOf("a")))
}

// TestTakeoverKeepsGuarantees makes two workspaces use their whole guarantees,
// one after the other, with a change of the scheduler in between. The second
// preempts other work, and none of the first.
func TestTakeoverKeepsGuarantees(t *testing.T) {
	is := is.New(t)
	sim := startSimulation(4)
	first, pl := oneStepJob("first", 0, 16, 40*time.Second)
	sim.submit(first, pl)
	sim.run(time.Second)
	fill, pl := oneStepJob("fill", 2, 16, 40*time.Second)
	fill.Workspace = "c"
	sim.submit(fill, pl)
	sim.run(10 * time.Second)
	sim.elect()
	sim.run(2 * time.Second)
	other, pl := oneStepJob("other", 0, 16, 10*time.Second)
	other.Workspace = "b"
	sim.submit(other, pl)
	sim.run(2 * time.Second)
	is.Equal(sim.fleet.Running("other"), 16)
	is.Equal(sim.stops("first"), 0)
	is.Equal(sim.check(), nil)
}

// TestTakeoverKeepsRunTimes submits work beyond a guarantee after a change of
// the scheduler. Work that would lose much is still not preempted: its run time
// is estimated from its progress.
func TestTakeoverKeepsRunTimes(t *testing.T) {
	is := is.New(t)
	sim := startSimulation(2)
	fill, pl := oneStepJob("fill", 2, 16, 40*time.Second)
	sim.submit(fill, pl)
	sim.run(30 * time.Second)
	sim.elect()
	sim.run(2 * time.Second)
	jb, pl := oneStepJob("more", 0, 4, 5*time.Second)
	jb.Workspace = "c" // has no guarantee
	sim.submit(jb, pl)
	sim.run(2 * time.Second)
	is.Equal(sim.fleet.Running("fill"), 16)
	is.Equal(sim.check(), nil)
}

// TestTakeoverWithClockSkew accepts jobs by a clock that is seconds ahead or
// behind, or completely wrong, and elects a new scheduler while they run and
// wait. All of them end, and the waiting job keeps its place in the order.
func TestTakeoverWithClockSkew(t *testing.T) {
	for _, skew := range []time.Duration{3 * time.Second, -3 * time.Second, time.Hour, -24 * time.Hour} {
		is := is.New(t)
		sim := startSimulation(1)
		sim.clockSkew = skew
		for _, id := range []string{"runs", "waits"} {
			jb, pl := oneStepJob(id, 1, 8, 3*time.Second)
			sim.submit(jb, pl)
			sim.run(time.Second)
		}
		sim.elect()
		sim.run(10 * time.Second)
		is.Equal(sim.state("runs"), batch.Done)
		is.Equal(sim.state("waits"), batch.Done)
		is.True(sim.endOf("runs").Before(sim.endOf("waits")))
		is.Equal(sim.fleet.Starts, 16) // none twice
		is.Equal(sim.check(), nil)
	}
}
