package domain_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/cicadawharf/cicadawharf/internal/batch"
)

// TestShrunkWorkerGetsNoRecordedStart shrinks a worker while the record of an
// attempt there is being written for several seconds. It guards against a start
// that relies on the capacity as of its placement.
func TestShrunkWorkerGetsNoRecordedStart(t *testing.T) {
	is := is.New(t)
	sim := startSimulation(2)
	sim.commitDelay = 7 * time.Second
	jb, pl := oneStepJob("j", 1, 16, time.Second)
	sim.submit(jb, pl)
	sim.run(500 * time.Millisecond)
	is.True(sim.decided("placed", "j"))
	sim.resize("w00", 2)
	sim.run(time.Second)
	sim.commitDelay = 0
	sim.run(30 * time.Second)
	is.Equal(sim.state("j"), batch.Done)
	is.Equal(sim.check(), nil)
}

// TestShrunkWorkerKeepsNoClaim shrinks a worker while other work is being stopped
// there for urgent work. It guards against urgent work that waits for capacity
// which a worker no longer has.
func TestShrunkWorkerKeepsNoClaim(t *testing.T) {
	is := is.New(t)
	sim := startSimulation(2)
	fill, pl := oneStepJob("fill", 2, 16, time.Minute)
	fill.Workspace = "b"
	sim.submit(fill, pl)
	sim.run(time.Second)
	jb, pl := oneStepJob("urgent", 0, 1, time.Second)
	jb.Steps[0].Needs.Accelerators = 8
	sim.submit(jb, pl)
	for !sim.decided("preempts", "urgent") {
		sim.run(time.Millisecond)
	}
	claimed := "w00"
	if sim.fleet.RunningOn("w11") < 8 {
		claimed = "w11"
	}
	sim.resize(claimed, 4)
	sim.run(5 * time.Second)
	is.Equal(sim.state("urgent"), batch.Done)
	is.Equal(sim.check(), nil)
}

// TestRunOfEndedJobOccupiesCapacity makes a worker keep running the tasks of a
// cancelled job, as it loses the stops. It guards against starting other work in
// the capacity that they still take, also by the next scheduler.
func TestRunOfEndedJobOccupiesCapacity(t *testing.T) {
	is := is.New(t)
	sim := startSimulation(2)
	sim.fleet.LoseStops("w00")
	jb, pl := oneStepJob("late", 1, 8, 30*time.Second)
	sim.submit(jb, pl)
	sim.run(time.Second)
	sim.cancel("late")
	sim.run(time.Second)
	sim.elect()
	other, pl := oneStepJob("other", 1, 12, time.Second)
	sim.submit(other, pl)
	sim.run(15 * time.Second)
	is.Equal(sim.state("other"), batch.Done)
	is.Equal(sim.check(), nil)
}

// TestRandomResizes shrinks and grows workers at any time, under work that waits
// for records of uneven delay and is preempted. No worker is started anything
// that exceeds its capacity, and every job ends once the workers have grown.
func TestRandomResizes(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		sim := startSimulation(6)
		for i := range rapid.IntRange(2, 6).Draw(rt, "rounds") {
			submitMixedAs(rt, sim, fmt.Sprintf("-%d", i))
			for range rapid.IntRange(1, 5).Draw(rt, "resizes") {
				sim.commitDelay = time.Duration(rapid.SampledFrom([]int{0, 0, 200, 6000}).Draw(rt, "delay")) * time.Millisecond
				id := rapid.SampledFrom(sim.workerIDs()).Draw(rt, "worker")
				sim.resize(id, rapid.SampledFrom([]int{0, 1, 2, 4, 8, 8}).Draw(rt, "accelerators"))
				sim.run(time.Duration(rapid.SampledFrom([]int{1, 5, 20, 80, 400, 3000}).Draw(rt, "pause")) * time.Millisecond)
				if rapid.IntRange(0, 5).Draw(rt, "takeover") == 0 {
					sim.elect()
				}
			}
		}
		sim.commitDelay = 0
		for _, id := range sim.workerIDs() {
			sim.resize(id, 8)
		}
		sim.run(2 * time.Minute)
		sim.checkAllEnded(rt)
	})
}
