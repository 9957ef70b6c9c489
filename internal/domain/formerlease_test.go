package domain_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/domain"
)

// takeOverBesideStart starts a task, cuts its worker off, and has another scheduler
// take over after the given time.
func takeOverBesideStart(seed uint64, idle, after time.Duration) []string {
	sim := newSimulation(seed)
	for i := range 3 {
		sim.addWorker(fmt.Sprintf("w%d%d", i, i), 8)
	}
	sim.elect()
	sim.run(idle)
	jb, pl := oneStepJob("j", 1, 1, time.Hour)
	sim.submit(jb, pl)
	for sim.fleet.Running("j") == 0 {
		sim.run(time.Millisecond)
	}
	sim.unreachable[sim.workerWith("j")] = true
	sim.leader.dead = true
	sim.run(after)
	sim.elect()
	sim.run(20 * time.Second)
	return sim.check()
}

// TestStartAfterIdleTimeAndTakeover guards against a successor that ends the lease
// of a start to a worker whose clock was last read long before, which lasts longer.
func TestStartAfterIdleTimeAndTakeover(t *testing.T) {
	for _, idle := range []time.Duration{10 * time.Second, 30 * time.Second, time.Minute, 2 * time.Minute, 10 * time.Minute} {
		t.Run(idle.String(), func(t *testing.T) {
			for seed := range uint64(40) {
				if vs := takeOverBesideStart(seed, idle, domain.LeaderLeaseTime); len(vs) > 0 {
					t.Errorf("seed %d: %v", seed, vs)
				}
			}
		})
	}
}

// TestStartAndHandover guards against a successor of a scheduler that has resigned,
// or whose lease its host has revoked, that begins less than LeaderLeaseTime after it.
func TestStartAndHandover(t *testing.T) {
	for _, after := range []time.Duration{20 * time.Millisecond, 100 * time.Millisecond} {
		t.Run(after.String(), func(t *testing.T) {
			for seed := range uint64(40) {
				if vs := takeOverBesideStart(seed, 2*time.Second, after); len(vs) > 0 {
					t.Errorf("seed %d: %v", seed, vs)
				}
			}
		})
	}
}
