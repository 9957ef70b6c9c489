package domain_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadawharf/cicadawharf/internal/batch"
)

// TestReservationsLeaveNoFleetIdle has a gang wait for a worker with a long task, with
// all other workers reserved for it. It guards against small work that stands still
// until the long task ends, although most of the service is unused.
func TestReservationsLeaveNoFleetIdle(t *testing.T) {
	is := is.New(t)
	sim := startSimulation(4)
	sim.submitTasks("long", 1, 1)
	sim.run(time.Second)
	sim.submitGang("gang", 4, 8)
	sim.run(time.Second)
	for i := range 5 {
		id := fmt.Sprintf("small%d", i)
		sim.submitTasks(id, 2, 1)
		sim.run(maxHold)
		is.True(sim.fleet.Running(id) > 0)
	}
}

// TestReservationsYieldToSmallerGangs is the same with a gang that fits beside the long
// task. It guards against bounding what reservations hold for single tasks alone.
func TestReservationsYieldToSmallerGangs(t *testing.T) {
	is := is.New(t)
	sim := startSimulation(6)
	sim.submitTasks("long", 1, 1)
	sim.run(time.Second)
	sim.submitGang("large", 6, 8)
	sim.run(time.Second)
	sim.submitGang("gang", 2, 8)
	sim.run(maxHold)
	is.Equal(sim.fleet.Running("gang"), 2)
}

// TestBusyFleetKeepsReservations keeps more than half of the service in use by short
// tasks. It guards against giving up reservations although little is unused, which
// would starve gangs.
func TestBusyFleetKeepsReservations(t *testing.T) {
	is := is.New(t)
	sim := startSimulation(4)
	for i := range 400 {
		jb, pl := oneStepJob(fmt.Sprintf("s%03d", i), 1, 1, 2*time.Second)
		jb.Steps[0].Needs = batch.Resources{MilliCPU: 1000, MemoryMB: 500, Accelerators: 1}
		sim.submit(jb, pl)
	}
	sim.run(time.Second)
	sim.submitGang("gang", 2, 8)
	sim.run(10 * time.Second)
	is.True(sim.fleet.Running("gang") > 0 || sim.state("gang").Final())
}
