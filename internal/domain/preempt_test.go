package domain_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadawharf/cicadawharf/internal/batch"
)

// TestGangIsNotStarvedBySmallWork submits a gang of whole workers during a
// flood of small work. Without reserved workers the small work would take each
// accelerator as it becomes free.
func TestGangIsNotStarvedBySmallWork(t *testing.T) {
	is := is.New(t)
	sim := startSimulation(4)
	flood := func(from, to int) {
		for i := from; i < to; i++ {
			jb, pl := oneStepJob(fmt.Sprintf("s%03d", i), 2, 3, 2*time.Second)
			sim.submit(jb, pl)
			sim.run(100 * time.Millisecond)
		}
	}
	flood(0, 30)
	gang, pl := oneStepJob("gang", 1, 2, time.Second)
	gang.Workspace = "b"
	gang.Steps[0].Gang = true
	gang.Steps[0].OneRack = true
	gang.Steps[0].Needs.Accelerators = 8
	sim.submit(gang, pl)
	flood(30, 60)
	is.Equal(sim.state("gang"), batch.Done)
	is.Equal(sim.check(), nil)
}

// TestCheapestVictimsArePreempted fills one worker with work that writes
// checkpoints and one with work that does not, and submits work within a
// guarantee. Only the work with checkpoints is preempted.
func TestCheapestVictimsArePreempted(t *testing.T) {
	is := is.New(t)
	sim := startSimulation(2)
	saves, pl := oneStepJob("saves", 2, 8, time.Minute)
	saves.Workspace = "b"
	saves.Steps[0].Checkpoints = true
	sim.submit(saves, pl)
	loses, pl := oneStepJob("loses", 2, 8, time.Minute)
	loses.Workspace = "b"
	sim.submit(loses, pl)
	sim.run(10 * time.Second)
	jb, pl := oneStepJob("now", 0, 8, 2*time.Second)
	sim.submit(jb, pl)
	sim.run(time.Second)
	is.Equal(sim.fleet.Running("now"), 8)
	is.Equal(sim.fleet.Running("loses"), 8)
	is.Equal(sim.fleet.Running("saves"), 0)
	sim.run(4 * time.Second)
	is.Equal(sim.fleet.Running("saves"), 8) // from its checkpoint
	is.Equal(sim.check(), nil)
}

// TestUrgentWorkBeyondGuaranteePreemptsLittle submits urgent work of a
// workspace without a guarantee. Work that would lose much is not preempted,
// work that loses little is.
func TestUrgentWorkBeyondGuaranteePreemptsLittle(t *testing.T) {
	for _, checkpoints := range []bool{true, false} {
		is := is.New(t)
		sim := startSimulation(2)
		fill, pl := oneStepJob("fill", 2, 16, 40*time.Second)
		fill.Steps[0].Checkpoints = checkpoints
		sim.submit(fill, pl)
		sim.run(30 * time.Second)
		jb, pl := oneStepJob("more", 0, 4, 2*time.Second)
		jb.Workspace = "c" // has no guarantee
		sim.submit(jb, pl)
		sim.run(time.Second)
		if checkpoints {
			is.Equal(sim.fleet.Running("more"), 4)
		} else {
			is.Equal(sim.fleet.Running("fill"), 16)
		}
		is.Equal(sim.check(), nil)
	}
}

// TestGangUsesFewWorkers leaves a little free capacity on two workers and
// enough for the gang on the two others. The gang uses a single worker, since
// it fails with any of its workers.
func TestGangUsesFewWorkers(t *testing.T) {
	is := is.New(t)
	sim := startSimulation(4)
	for i, tasks := range []int{7, 6, 4} {
		jb, pl := oneStepJob(fmt.Sprintf("fill%d", i), 1, 1, time.Minute)
		jb.Steps[0].Needs.Accelerators = tasks
		sim.submit(jb, pl)
		sim.run(100 * time.Millisecond)
	}
	gang, pl := oneStepJob("gang", 1, 4, 5*time.Second)
	gang.Steps[0].Gang = true
	sim.submit(gang, pl)
	sim.run(time.Second)
	is.Equal(sim.fleet.Running("gang"), 4)
	is.Equal(len(sim.lastWorkers("gang")), 1)
}

// lastWorkers returns the workers on which a job was last placed.
func (sim *simulation) lastWorkers(job string) []string {
	var workers []string
	for _, ld := range sim.decisions {
		if ld.Decision == "placed" && ld.Job == job {
			workers = ld.Workers
		}
	}
	return workers
}
