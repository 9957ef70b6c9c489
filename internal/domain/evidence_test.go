package domain_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadawharf/cicadawharf/internal/batch"
)

// TestEndsBehindFullPageAreNoLosses makes workers accumulate more ends than they
// return at a time, while the store takes no record. It guards against giving up
// attempts that are in neither list of a worker, since the rest of their ends is
// not listed yet, and starting them a second time. A successor that takes over in
// the middle of it comes to the same conclusion.
func TestEndsBehindFullPageAreNoLosses(t *testing.T) {
	const tasks = 4 * endPageSize
	for _, takeover := range []bool{false, true} {
		t.Run(fmt.Sprintf("takeover=%v", takeover), func(t *testing.T) {
			is := is.New(t)
			sim := startSimulation(2)
			jb, pl := oneStepJob("j", 1, tasks, 2*time.Second)
			jb.Steps[0].Needs = batch.Resources{MilliCPU: 100}
			sim.submit(jb, pl)
			sim.run(time.Second)
			is.Equal(sim.fleet.Running("j"), tasks)
			sim.commitDelay = 4 * time.Second
			sim.run(3 * time.Second)
			sim.commitDelay = 0
			if takeover {
				sim.elect()
			}
			sim.run(8 * time.Second)
			is.Equal(sim.state("j"), batch.Done)
			is.Equal(sim.fleet.Starts, tasks)
			is.True(!sim.decided("hangs", "j")) // an attempt that has ended makes no progress
			is.Equal(sim.check(), nil)
		})
	}
}
