package domain_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadawharf/cicadawharf/internal/batch"
)

// TestUrgentWorkStarvesTheLastQueue lets gangs of a more urgent queue come as
// fast as the fleet can run them, and hands in jobs of the last queue. Each of
// these has to meet its objective, which is three times its work and a second.
func TestUrgentWorkStarvesTheLastQueue(t *testing.T) {
	for name, shape := range map[string]struct{ tasks, accelerators, every int }{
		"small tasks": {6, 1, 8}, "a gang larger than the queue's share": {4, 8, 16},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			wo := calm(8)
			var last []string
			for i := range 60 {
				gang, pl := single(fmt.Sprintf("gang%02d", i), 1, 2, 4*time.Second)
				gang.Steps[0].Gang = true
				gang.Steps[0].Needs.Accelerators = 8
				wo.submit(gang, pl)
				if i > 0 && i%shape.every == 0 && i < 50 {
					jb, pl := single(fmt.Sprintf("last%02d", i), 2, shape.tasks, 4*time.Second)
					jb.Workspace = "b"
					jb.Steps[0].Gang = shape.accelerators > 1
					jb.Steps[0].Needs.Accelerators = shape.accelerators
					wo.submit(jb, pl)
					last = append(last, jb.ID)
				}
				wo.run(900 * time.Millisecond)
			}
			for _, id := range last {
				jb := wo.jobs[id]
				is.Equal(wo.state(id), batch.Done)                            // it was not starved
				is.True(wo.took(id) <= jb.Queue.Objective(jb.LongestChain())) // and met its objective
			}
			is.Equal(wo.check(), nil)
		})
	}
}

// TestLargeJobTakesItsQueuesShare lets a small job come after a large one of the
// same queue, while gangs of a more urgent queue take all room but its share. The
// small one meets its objective, and the large one goes on.
func TestLargeJobTakesItsQueuesShare(t *testing.T) {
	is := is.New(t)
	wo := calm(8)
	for i := range 40 {
		gang, pl := single(fmt.Sprintf("gang%02d", i), 1, 2, 4*time.Second)
		gang.Steps[0].Gang = true
		gang.Steps[0].Needs.Accelerators = 8
		wo.submit(gang, pl)
		switch i {
		case 8:
			large, pl := single("large", 2, 96, 4*time.Second)
			wo.submit(large, pl)
		case 10:
			small, pl := single("small", 2, 2, 4*time.Second)
			wo.submit(small, pl)
		}
		wo.run(900 * time.Millisecond)
	}
	small := wo.jobs["small"]
	is.Equal(wo.state("small"), batch.Done)
	is.True(wo.took("small") <= small.Queue.Objective(small.LongestChain()))
	is.True(wo.fleet.Running("large") > 0)
	is.Equal(wo.check(), nil)
}

// TestOverdueGangsLetRoomStandIdle frees room for small tasks and not for a gang
// of all workers, when the objectives of both are lost already and both queues
// use more than their shares. The small tasks take the room.
func TestOverdueGangsLetRoomStandIdle(t *testing.T) {
	is := is.New(t)
	wo := calm(4)
	fill := func(id string, priority, tasks int, work time.Duration) {
		jb, pl := single(id, priority, tasks, work)
		wo.submit(jb, pl)
	}
	fill("long1", 1, 13, time.Minute)
	fill("long2", 2, 7, time.Minute)
	fill("short", 2, 12, 6*time.Second)
	wo.run(time.Second)
	gang, pl := single("gang", 1, 4, time.Second)
	gang.Steps[0].Gang = true
	gang.Steps[0].Needs.Accelerators = 8
	wo.submit(gang, pl)
	small, pl := single("small", 2, 6, time.Second)
	wo.submit(small, pl)
	wo.run(8 * time.Second)
	is.Equal(wo.state("gang"), batch.Queued)
	is.Equal(wo.state("small"), batch.Done)
	is.Equal(wo.check(), nil)
}

// TestTakeoverForgetsHowLongJobsHaveWaited lets one job after the other wait for
// a full fleet, and changes the scheduler. They begin as they came.
func TestTakeoverForgetsHowLongJobsHaveWaited(t *testing.T) {
	is := is.New(t)
	wo := calm(1)
	fill, pl := single("fill", 1, 8, 7*time.Second)
	wo.submit(fill, pl)
	wo.run(time.Second)
	for _, id := range []string{"c", "b", "a"} { // not in the order of their IDs
		jb, pl := single(id, 1, 8, time.Second)
		wo.submit(jb, pl)
		wo.run(time.Second)
	}
	wo.elect()
	wo.waits = nil
	wo.run(time.Second)
	is.True(len(wo.waits) > 0)
	is.True(wo.waits[0].Backlogs[0].Oldest >= 3*time.Second)
	wo.run(20 * time.Second)
	is.True(wo.endOf("c").Before(wo.endOf("b")))
	is.True(wo.endOf("b").Before(wo.endOf("a")))
}

// TestTakeoverForgetsWhatIsGuaranteed lets two workspaces run as much as they
// are guaranteed, one after the other, with a change of the scheduler between.
// The second makes its room of other work, and none of what the first runs.
func TestTakeoverForgetsWhatIsGuaranteed(t *testing.T) {
	is := is.New(t)
	wo := calm(4)
	first, pl := single("first", 0, 16, 40*time.Second)
	wo.submit(first, pl)
	wo.run(time.Second)
	fill, pl := single("fill", 2, 16, 40*time.Second)
	fill.Workspace = "c"
	wo.submit(fill, pl)
	wo.run(10 * time.Second)
	wo.elect()
	wo.run(2 * time.Second)
	other, pl := single("other", 0, 16, 10*time.Second)
	other.Workspace = "b"
	wo.submit(other, pl)
	wo.run(2 * time.Second)
	is.Equal(wo.fleet.Running("other"), 16)
	is.Equal(wo.stops("first"), 0)
	is.Equal(wo.check(), nil)
}

// TestTakeoverForgetsHowLongTasksHaveRun asks for room beyond a guarantee after a
// change of the scheduler. Work that would lose much is left alone, as before.
func TestTakeoverForgetsHowLongTasksHaveRun(t *testing.T) {
	is := is.New(t)
	wo := calm(2)
	fill, pl := single("fill", 2, 16, 40*time.Second)
	wo.submit(fill, pl)
	wo.run(30 * time.Second)
	wo.elect()
	wo.run(2 * time.Second)
	jb, pl := single("more", 0, 4, 5*time.Second)
	jb.Workspace = "c" // has no guarantee
	wo.submit(jb, pl)
	wo.run(2 * time.Second)
	is.Equal(wo.fleet.Running("fill"), 16)
	is.Equal(wo.check(), nil)
}

// TestTakeoverBesideClocksThatDiffer accepts jobs by a clock that is seconds
// ahead or behind, or wrong altogether, and changes the scheduler while they run
// and wait. All of them end, and the one that waits keeps its place.
func TestTakeoverBesideClocksThatDiffer(t *testing.T) {
	for _, skew := range []time.Duration{3 * time.Second, -3 * time.Second, time.Hour, -24 * time.Hour} {
		is := is.New(t)
		wo := calm(1)
		wo.skew = skew
		for _, id := range []string{"runs", "waits"} {
			jb, pl := single(id, 1, 8, 3*time.Second)
			wo.submit(jb, pl)
			wo.run(time.Second)
		}
		wo.elect()
		wo.run(10 * time.Second)
		is.Equal(wo.state("runs"), batch.Done)
		is.Equal(wo.state("waits"), batch.Done)
		is.True(wo.endOf("runs").Before(wo.endOf("waits")))
		is.Equal(wo.fleet.Starts, 16) // none twice
		is.Equal(wo.check(), nil)
	}
}
