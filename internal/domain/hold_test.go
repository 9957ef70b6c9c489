package domain_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadawharf/cicadawharf/internal/batch"
)

const (
	// calmTime is the time without disturbance after which holds are limited.
	calmTime = 4 * time.Second
	// maxHold is the longest time in calm for which an accepted job may have
	// nothing running although a task of it could run.
	maxHold = 3 * time.Second
)

// begins reports whether a task of a job starts within a time, and advances the
// simulated time until then.
func (sim *simulation) begins(job string, within time.Duration) bool {
	for until := sim.now.Add(within); ; sim.run(tickInterval) {
		if sim.fleet.Running(job) > 0 || sim.state(job) == batch.Done {
			return true
		}
		if !sim.now.Before(until) {
			return false
		}
	}
}

// TestSmallTasksAreNotHeldByReservations makes gangs wait for whole workers, each of
// which has some tasks that run for an hour. It guards against small tasks that stand
// still beside these gangs, although most of the capacity is idle.
func TestSmallTasksAreNotHeldByReservations(t *testing.T) {
	is := is.New(t)
	sim := startSimulation(8)
	spread, pl := oneStepJob("spread", 2, 24, time.Hour)
	spread.Steps[0].PerWorker = 3
	sim.submit(spread, pl)
	sim.run(time.Second)
	for i := range 2 {
		gang, pl := oneStepJob(fmt.Sprintf("gang%d", i), 1, 4, 20*time.Second)
		gang.Steps[0].Gang = true
		gang.Steps[0].Needs = batch.Resources{Accelerators: 8, MemoryMB: 100 + i} // each fits on its own
		sim.submit(gang, pl)
	}
	sim.run(calmTime)
	small, pl := oneStepJob("small", 2, 4, 20*time.Second)
	sim.submit(small, pl)
	is.True(sim.begins("small", maxHold))
	is.Equal(sim.check(), nil)
}
