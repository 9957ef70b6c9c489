package domain_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadawharf/cicadawharf/internal/batch"
	"github.com/cicadawharf/cicadawharf/internal/domain"
	"github.com/cicadawharf/cicadawharf/internal/runner"
)

// TestLeavingWorkerIsDrained announces that a worker leaves in three seconds,
// while a task of several seconds runs there. It guards against stopping work
// that would end in time, and against losing more of the other work than
// necessary.
func TestLeavingWorkerIsDrained(t *testing.T) {
	tests := []struct {
		name        string
		work        time.Duration
		checkpoints bool
		gang        bool
		starts      int
		end         time.Duration // maximum time after the announcement
	}{
		{"ends in time", 3 * time.Second, false, false, 1, 3 * time.Second},
		{"restarts at once", 8 * time.Second, false, false, 2, 9500 * time.Millisecond},
		{"resumes from its checkpoint", 8 * time.Second, true, false, 2, 8500 * time.Millisecond},
		{"gang resumes from its checkpoint", 8 * time.Second, true, true, 8, 8500 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			sim := startSimulation(3)
			jb, pl := oneStepJob("j", 1, 1, tt.work)
			jb.Steps[0].Checkpoints = tt.checkpoints
			jb.Steps[0].Needs.Accelerators = 4
			if tt.gang {
				jb.Steps[0].Gang = true
				jb.Steps[0].Tasks = 4
			}
			sim.submit(jb, pl)
			sim.run(time.Second)
			sim.announceLeave(sim.firstWorker("j"), 3*time.Second)
			sim.run(tt.end)
			is.Equal(sim.state("j"), batch.Done)
			is.Equal(sim.fleet.Starts, tt.starts)
			is.Equal(sim.check(), nil)
		})
	}
}

// firstWorker returns the worker of the first task of a job.
func (sim *simulation) firstWorker(job string) string { return sim.records[job].Units[0].Workers[0] }

// announceLeave announces that a worker leaves, and removes it after the given
// time.
func (sim *simulation) announceLeave(id string, left time.Duration) {
	wk := sim.workers[id]
	wk.Draining, wk.Leaves = true, left
	sim.workers[id] = wk
	sim.notify(domain.Listed{Worker: wk})
	sim.after(left, func() {
		sim.fleet.Remove(sim.now, id)
		sim.notify(domain.Unlisted{ID: id})
	})
}

// TestMaintenanceDrain drains workers for maintenance. They get no new work, and
// long-running work is moved only within its disruption limit.
func TestMaintenanceDrain(t *testing.T) {
	is := is.New(t)
	sim := startSimulation(3)
	jb, pl := oneStepJob("serves", 1, 2, time.Hour)
	jb.Steps[0].LongRunning = true
	jb.Steps[0].MaxUnavailable = 1
	jb.Steps[0].Needs.Accelerators = 8
	sim.submit(jb, pl)
	sim.run(3 * time.Second) // until the tasks are available
	by := map[string]time.Time{}
	for _, un := range sim.records["serves"].Units {
		by[un.Workers[0]] = sim.now.Add(time.Second)
	}
	is.Equal(len(by), 2)
	sim.notify(domain.DrainRequested{By: by})
	for range 200 {
		sim.run(20 * time.Millisecond)
		is.True(sim.fleet.Running("serves") >= 1) // the other one may be unavailable
	}
	for id := range by {
		is.Equal(sim.fleet.RunningOn(id), 0) // one runs elsewhere, the other waits for capacity
	}
	sim.notify(domain.DrainRequested{})
	sim.submit(oneStepJob("later", 1, 4, time.Second))
	sim.run(3 * time.Second)
	is.Equal(sim.state("later"), batch.Done)
	is.Equal(sim.check(), nil)
}

// TestUnresponsiveWorkerIsNotIdle guards against reporting a worker as idle
// that has not replied to a new core yet, or no longer replies: work may run
// there.
func TestUnresponsiveWorkerIsNotIdle(t *testing.T) {
	is := is.New(t)
	sim := startSimulation(2)
	is.True(sim.leader.core.Occupancy("w00").Idle)
	sim.unreachable["w00"] = true
	sim.submit(oneStepJob("j", 1, 16, time.Hour)) // sends a call to each worker
	sim.run(3 * time.Second)
	is.True(!sim.leader.core.Occupancy("w00").Idle)
	fresh := domain.New(sim.now, domain.Config{Token: 9, Workers: []runner.Worker{sim.workers["w11"]}})
	is.True(!fresh.Occupancy("w11").Idle)
}
