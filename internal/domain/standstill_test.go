package domain_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadawharf/cicadawharf/internal/batch"
)

// termSettles is a time after which nothing depends on the beginning of a term any more.
const termSettles = 12 * time.Second

// startLong starts a simulation of some workers and, some time later, a job of one long
// task. It returns the task's worker.
func startLong(workers int) (sim *simulation, id string) {
	sim = startSimulation(workers)
	sim.run(termSettles)
	sim.submit(oneStepJob("j", 1, 1, time.Minute))
	sim.run(time.Second)
	return sim, sim.firstWorker("j")
}

// TestVanishedWorkerHoldsNoWork lets a worker vanish at any time between two polls. It
// guards against leases that outlast the worker by more than callers were promised.
func TestVanishedWorkerHoldsNoWork(t *testing.T) {
	for at := time.Duration(0); at < 2500*time.Millisecond; at += 90 * time.Millisecond {
		for _, silent := range []bool{true, false} {
			sim, id := startLong(4)
			watch := sim.watchCalm()
			sim.run(at)
			sim.vanishWorker(id, silent, entryTimeout)
			sim.run(20 * time.Second)
			if len(watch.found) > 0 {
				t.Errorf("vanishes after %v, silent=%v: %v", at, silent, watch.found)
			}
		}
	}
}

// TestTakeoverHoldsNoWorkOfVanishedWorker lets a worker vanish shortly before or after
// the leader is killed. It guards against a successor that takes the worker's tasks for
// running until the longest lease of the former term has expired, counted from its own
// beginning.
func TestTakeoverHoldsNoWorkOfVanishedWorker(t *testing.T) {
	for _, before := range []bool{true, false} {
		t.Run(fmt.Sprintf("vanishesBefore=%v", before), func(t *testing.T) {
			is := is.New(t)
			sim, id := startLong(4)
			watch := sim.watchCalm()
			if before {
				sim.vanishWorker(id, true, entryTimeout)
				sim.run(time.Second)
			}
			sim.elect()
			if !before {
				sim.run(time.Second)
				sim.vanishWorker(id, true, entryTimeout)
			}
			sim.run(20 * time.Second)
			is.Equal(watch.found, nil)
		})
	}
}

// TestNewTermHoldsNoWorkOfItsOwn lets a worker vanish under a task that a new leader has
// started there, seconds after its term has begun. It guards against waiting for leases of
// the former term for work that it knew nothing of.
func TestNewTermHoldsNoWorkOfItsOwn(t *testing.T) {
	is := is.New(t)
	sim := startSimulation(4)
	sim.run(termSettles)
	watch := sim.watchCalm()
	sim.elect()
	sim.submit(oneStepJob("j", 1, 1, time.Minute))
	sim.run(time.Second)
	sim.vanishWorker(sim.workerOf("j"), true, entryTimeout)
	sim.run(20 * time.Second)
	is.Equal(watch.found, nil)
}

// TestNewWorkerHoldsNoWork lets a worker vanish that was added in the middle of a term. It
// guards against waiting for leases of a former term, which did not know the worker.
func TestNewWorkerHoldsNoWork(t *testing.T) {
	is := is.New(t)
	sim := startSimulation(4)
	sim.run(termSettles)
	watch := sim.watchCalm()
	sim.addWorker("w24", 8)
	jb, pl := oneStepJob("j", 1, 1, time.Minute)
	jb.Steps[0].DataRack = "r2"
	sim.submit(jb, pl)
	sim.run(time.Second)
	sim.vanishWorker("w24", true, entryTimeout)
	sim.run(2 * time.Second)
	sim.addWorker("w26", 8)
	sim.run(20 * time.Second)
	is.Equal(watch.found, nil)
}

// TestTakeoversInSeriesHoldNoWork kills leaders in series after a worker has vanished. It
// guards against a wait for its leases that begins anew with each term.
func TestTakeoversInSeriesHoldNoWork(t *testing.T) {
	is := is.New(t)
	sim, id := startLong(4)
	watch := sim.watchCalm()
	sim.vanishWorker(id, true, entryTimeout)
	for range 4 {
		sim.run(3 * time.Second)
		sim.elect()
	}
	sim.run(20 * time.Second)
	is.Equal(watch.found, nil)
}

// TestRestartThenLossHoldsNoWork restarts a worker under a task and then lets it vanish,
// or has it cut off for good. It guards against waiting for a lease that a late call may
// have been granted by the new incarnation, which has ended as well.
func TestRestartThenLossHoldsNoWork(t *testing.T) {
	for _, silent := range []bool{true, false} {
		t.Run(fmt.Sprintf("silent=%v", silent), func(t *testing.T) {
			is := is.New(t)
			sim, id := startLong(4)
			watch := sim.watchCalm()
			sim.addWorker(id, 8)
			sim.run(time.Millisecond)
			sim.vanishWorker(id, silent, entryTimeout)
			sim.run(30 * time.Second)
			is.Equal(watch.found, nil)
		})
	}
}

// TestEarlierRestartHoldsNoLaterWork restarts a worker under a task, starts another one
// there, and lets the worker vanish some seconds later. It guards against holding the
// second task until a lease has expired that only the first one's start may have got.
func TestEarlierRestartHoldsNoLaterWork(t *testing.T) {
	is := is.New(t)
	sim, id := startLong(1)
	watch := sim.watchCalm()
	sim.addWorker(id, 8)
	sim.run(5 * time.Second)
	is.True(sim.fleet.Runs(id, "j"))
	sim.addWorker("w11", 8)
	sim.run(time.Second)
	sim.vanishWorker(id, false, entryTimeout)
	sim.run(30 * time.Second)
	is.Equal(watch.found, nil)
}

// TestStartToVanishedWorkerHoldsNoWork starts a task on an idle worker that has vanished
// silently and is still listed. It guards against a start that finds nobody and then holds
// its task for the length of a lease: idle workers aren't polled, so nothing else shows
// that the worker is gone.
func TestStartToVanishedWorkerHoldsNoWork(t *testing.T) {
	for _, pause := range []time.Duration{time.Second, 3 * time.Second, 4 * time.Second} {
		t.Run(pause.String(), func(t *testing.T) {
			is := is.New(t)
			sim := startSimulation(4)
			sim.run(termSettles)
			watch := sim.watchCalm()
			sim.vanishWorker("w00", true, entryTimeout)
			sim.run(pause)
			sim.submit(oneStepJob("j", 1, 1, time.Minute))
			sim.run(20 * time.Second)
			is.Equal(watch.found, nil)
		})
	}
}

// TestSuspicionHoldsNoWork crashes two workers just after the start of a task, which come
// back without room, and lets the third one vanish for good. It guards against waiting for a sign of life of a worker
// that never gives one.
func TestSuspicionHoldsNoWork(t *testing.T) {
	is := is.New(t)
	sim := startSimulation(6)
	sim.run(termSettles)
	watch := sim.watchCalm()
	sim.submit(oneStepJob("j", 1, 1, time.Minute))
	for range 2 {
		sim.run(200 * time.Millisecond)
		sim.addWorker(sim.workerOf("j"), 0)
		for sim.fleet.Running("j") == 0 {
			sim.run(10 * time.Millisecond)
		}
	}
	sim.run(200 * time.Millisecond)
	sim.vanishWorker(sim.workerOf("j"), false, entryTimeout)
	sim.run(30 * time.Second)
	is.Equal(watch.found, nil)
}

// TestReservationsLeaveRoomForOthers lets gangs wait for a rack while more than half of the
// workers is idle. It guards against reservations that keep every other task from that room.
func TestReservationsLeaveRoomForOthers(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1)
	for i := range 9 {
		sim.addWorker(fmt.Sprintf("w%d%d", i%3, i), 8)
	}
	sim.elect()
	for rack := range 3 { // occupies one worker of each rack
		jb, pl := oneStepJob(fmt.Sprintf("long%d", rack), 2, 1, time.Hour)
		jb.Steps[0].Needs.Accelerators, jb.Steps[0].DataRack = 8, fmt.Sprintf("r%d", rack)
		sim.submit(jb, pl)
	}
	sim.run(time.Second)
	for i := range 3 {
		jb, pl := oneStepJob(fmt.Sprintf("gang%d", i), 1, 3, 10*time.Second)
		jb.Steps[0].Gang, jb.Steps[0].OneRack, jb.Steps[0].Needs.Accelerators = true, true, 8-i
		sim.submit(jb, pl)
	}
	sim.run(time.Second)
	watch := sim.watchCalm()
	sim.submit(oneStepJob("small", 2, 1, time.Second))
	sim.run(12 * time.Second)
	for _, st := range watch.found {
		is.True(st.rackFull) // a gang that waits for a rack; see TestRackWaitIsShort
	}
}

// TestRackWaitIsShort submits a task whose rack of data is full, or a gang for which no
// single rack has room, beside idle workers of other racks. It guards against a wait for
// locality that is bounded by the job's slack alone.
func TestRackWaitIsShort(t *testing.T) {
	for _, gang := range []bool{false, true} {
		t.Run(fmt.Sprintf("gang=%v", gang), func(t *testing.T) {
			is := is.New(t)
			sim := newSimulation(1)
			for i := range 9 {
				sim.addWorker(fmt.Sprintf("w%d%d", i%3, i), 8)
			}
			sim.elect()
			fill, pl := oneStepJob("fill", 1, 3, time.Hour)
			fill.Steps[0].Needs.Accelerators, fill.Steps[0].DataRack = 8, "r0"
			sim.submit(fill, pl)
			sim.run(time.Second)
			watch := sim.watchCalm()
			jb, pl := oneStepJob("j", 1, 1, 10*time.Second)
			jb.Steps[0].DataRack = "r0"
			if gang {
				jb.Steps[0] = batch.Step{Tasks: 4, Gang: true, OneRack: true, RunTime: 10 * time.Second, Needs: batch.Resources{Accelerators: 5}}
				for i := range 3 {
					sim.addWorker(fmt.Sprintf("w%d%d", 3+i, 9+i), 8)
				}
			}
			sim.submit(jb, pl)
			sim.run(15 * time.Second)
			is.Equal(watch.found, nil)
		})
	}
}

// TestGangWiderThanAnyRackWaitsForNone submits a gang that needs one rack, but more room
// than any rack has when it is empty. It guards against waiting for such a rack.
func TestGangWiderThanAnyRackWaitsForNone(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1)
	for i := range 9 {
		sim.addWorker(fmt.Sprintf("w%d%d", i%3, i), 8)
	}
	sim.elect()
	sim.run(time.Second)
	watch := sim.watchCalm()
	jb, pl := oneStepJob("j", 1, 4, 10*time.Second)
	jb.Steps[0].Gang, jb.Steps[0].OneRack, jb.Steps[0].Needs.Accelerators = true, true, 8
	sim.submit(jb, pl)
	sim.run(15 * time.Second)
	is.Equal(watch.found, nil)
}

// TestLastAttemptRunsWhereRoomIs lets a task fail on one worker while the others that it
// may use are full. It guards against a last attempt that waits for these, counted as if
// they were empty, until its job has lost all value.
func TestLastAttemptRunsWhereRoomIs(t *testing.T) {
	is := is.New(t)
	sim := startSimulation(4)
	fill, pl := oneStepJob("fill", 1, 3, time.Hour)
	fill.Steps[0].Needs.Accelerators = 8
	sim.submit(fill, pl)
	sim.run(8 * time.Second)
	watch := sim.watchCalm()
	jb, pl := oneStepJob("j", 1, 1, 10*time.Second)
	jb.Queue.MaxAttempts = 2
	pl.fails, pl.work = true, time.Second
	sim.submit(jb, pl)
	sim.run(20 * time.Second)
	is.Equal(watch.found, nil)
}

// TestSuspendedWorkerRunsWhatFindsNoOther has a worker fail its tasks until it is
// suspended, while all others are full, and then recover. It guards against work that
// waits for the end of a suspension, and for work on probation that never comes.
func TestSuspendedWorkerRunsWhatFindsNoOther(t *testing.T) {
	is := is.New(t)
	sim := startSimulation(6)
	fill, pl := oneStepJob("fill", 1, 5, time.Hour)
	fill.Steps[0].Needs.Accelerators = 8
	sim.submit(fill, pl)
	sim.run(time.Second)
	idle := ""
	for _, id := range sim.workerIDs() {
		if sim.fleet.RunningOn(id) == 0 {
			idle = id
		}
	}
	sim.fleet.Fail(idle, true)
	for i := range 4 {
		id := fmt.Sprintf("fails%d", i)
		sim.submit(oneStepJob(id, 1, 1, time.Second))
		sim.run(200 * time.Millisecond)
		sim.cancel(id)
	}
	sim.fleet.Fail(idle, false)
	sim.disturb(0)
	is.True(sim.decided("suspects", ""))
	watch := sim.watchCalm()
	jb, pl := oneStepJob("gang", 1, 2, time.Second)
	jb.Steps[0].Gang = true
	sim.submit(jb, pl)
	sim.run(30 * time.Second)
	is.Equal(watch.found, nil)
}
