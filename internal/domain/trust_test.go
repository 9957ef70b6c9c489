package domain_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadawharf/cicadawharf/internal/batch"
)

// TestLastAttemptOfGangIsNotStarved makes a gang of two workers, which has
// failed twice on one of three, wait while small work runs on another one. It
// guards against reserving the worker that the gang rejects: one small job after
// another would then run on the third worker, and the gang would wait forever.
func TestLastAttemptOfGangIsNotStarved(t *testing.T) {
	is := is.New(t)
	sim := startSimulation(3)
	small, pl := oneStepJob("small", 2, 1, 2*time.Second)
	sim.submit(small, pl)
	sim.run(time.Second)
	gang, pl := oneStepJob("gang", 1, 2, time.Second)
	gang.Steps[0].Gang = true
	gang.Steps[0].Needs.Accelerators = 8
	sim.submit(gang, pl)
	sim.records["gang"] = batch.Record{ID: "gang", State: batch.Running, Units: []batch.UnitRecord{
		{Attempt: 2, Failures: 2, FailedOn: []string{"w11"}},
	}}
	sim.elect()
	for i := range 20 {
		jb, pl := oneStepJob(fmt.Sprintf("s%03d", i), 2, 1, 2*time.Second)
		sim.submit(jb, pl)
		sim.run(time.Second)
	}
	is.Equal(sim.state("gang"), batch.Done)
	is.Equal(sim.check(), nil)
}
