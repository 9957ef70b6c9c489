package domain_test

import (
	"testing"
	"time"
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
