package domain_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadawharf/cicadawharf/internal/domain"
)

// makeCold makes the workers of a zone cold for some time.
func (sim *simulation) makeCold(zone string, d time.Duration) {
	for id, wk := range sim.workers {
		if wk.Zone == zone {
			wk.Cold = d
			sim.workers[id] = wk
			sim.notify(domain.Listed{Worker: wk})
		}
	}
	sim.run(10 * time.Millisecond)
}

// TestColdWorkersAreLastChoice guards against work on cold workers while others
// have enough free capacity, and against cold workers that are never used.
func TestColdWorkersAreLastChoice(t *testing.T) {
	for _, kind := range []string{"tasks", "gang", "rack"} {
		for _, tasks := range []int{4, 16, 20} {
			is := is.New(t)
			sim := startSimulation(4)
			sim.makeCold("z0", 10*time.Second) // its workers come first by ID
			jb, pl := oneStepJob("j", 1, tasks, time.Second)
			jb.Steps[0].Gang = kind != "tasks"
			jb.Steps[0].OneRack = kind == "rack" // each zone has one rack here
			sim.submit(jb, pl)
			sim.run(500 * time.Millisecond)
			if kind == "rack" && tasks > 16 {
				continue // no rack is large enough
			}
			is.Equal(sim.runningIn("z1"), min(tasks, 16))
			is.Equal(sim.runningIn("z0"), max(0, tasks-16))
			sim.run(2 * time.Second)
		}
	}
}

// TestWorkerIsWarmAfterColdTime guards against a worker that is still avoided
// after its cold time.
func TestWorkerIsWarmAfterColdTime(t *testing.T) {
	is := is.New(t)
	sim := startSimulation(2)
	sim.makeCold("z0", time.Second)
	sim.run(1200 * time.Millisecond)
	jb, pl := oneStepJob("j", 1, 4, time.Second)
	sim.submit(jb, pl)
	sim.run(500 * time.Millisecond)
	is.Equal(sim.runningIn("z0"), 4) // first by ID
}
