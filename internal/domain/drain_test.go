package domain_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadawharf/cicadawharf/internal/batch"
	"github.com/cicadawharf/cicadawharf/internal/domain"
	"github.com/cicadawharf/cicadawharf/internal/runner"
)

// TestWorkerLeaves gives notice that a worker leaves three seconds later, while
// a task of several seconds runs there.
func TestWorkerLeaves(t *testing.T) {
	tests := []struct {
		name        string
		work        time.Duration
		checkpoints bool
		gang        bool
		starts      int
		end         time.Duration // at most, from the notice
	}{
		{"ends in time", 3 * time.Second, false, false, 1, 3 * time.Second},
		{"begins anew at once", 8 * time.Second, false, false, 2, 9500 * time.Millisecond},
		{"goes on from its checkpoint", 8 * time.Second, true, false, 2, 8500 * time.Millisecond},
		{"gang goes on from its checkpoint", 8 * time.Second, true, true, 8, 8500 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			wo := calm(3)
			jb, pl := single("j", 1, 1, tt.work)
			jb.Steps[0].Checkpoints = tt.checkpoints
			jb.Steps[0].Needs.Accelerators = 4
			if tt.gang {
				jb.Steps[0].Gang = true
				jb.Steps[0].Tasks = 4
			}
			wo.submit(jb, pl)
			wo.run(time.Second)
			wo.leave(wo.workerOf("j"), 3*time.Second)
			wo.run(tt.end)
			is.Equal(wo.state("j"), batch.Done)
			is.Equal(wo.fleet.Starts, tt.starts)
			is.Equal(wo.check(), nil)
		})
	}
}

// workerOf returns the worker of the first task of a job.
func (wo *world) workerOf(job string) string { return wo.records[job].Units[0].Workers[0] }

// leave gives notice that a worker leaves, and takes it away when that time is
// over.
func (wo *world) leave(id string, left time.Duration) {
	wk := wo.workers[id]
	wk.Draining, wk.Leaves = true, left
	wo.workers[id] = wk
	wo.tell(domain.Listed{Worker: wk})
	wo.after(left, func() {
		wo.fleet.Remove(wo.now, id)
		wo.tell(domain.Unlisted{ID: id})
	})
}

// TestEmptiedWorker clears workers for their upkeep: they get no new work, and
// lasting work moves only as far as it may be interrupted.
func TestEmptiedWorker(t *testing.T) {
	is := is.New(t)
	wo := calm(3)
	jb, pl := single("serves", 1, 2, time.Hour)
	jb.Steps[0].Lasting = true
	jb.Steps[0].MayMiss = 1
	jb.Steps[0].Needs.Accelerators = 8
	wo.submit(jb, pl)
	wo.run(3 * time.Second) // at work
	by := map[string]time.Time{}
	for _, un := range wo.records["serves"].Units {
		by[un.Workers[0]] = wo.now.Add(time.Second)
	}
	is.Equal(len(by), 2)
	wo.tell(domain.Emptying{By: by})
	for range 200 {
		wo.run(20 * time.Millisecond)
		is.True(wo.fleet.Running("serves") >= 1) // the other one may be missed
	}
	for id := range by {
		is.Equal(wo.fleet.RunningOn(id), 0) // one runs elsewhere, the other waits for room
	}
	wo.tell(domain.Emptying{})
	wo.submit(single("later", 1, 4, time.Second))
	wo.run(3 * time.Second)
	is.Equal(wo.state("later"), batch.Done)
	is.Equal(wo.check(), nil)
}

// TestUnheardWorkerIsNotIdle asks what stands on workers that have not answered
// a new core yet, or not any more.
func TestUnheardWorkerIsNotIdle(t *testing.T) {
	is := is.New(t)
	wo := calm(2)
	is.True(wo.holder.core.Standing("w00").Idle)
	wo.silent["w00"] = true
	wo.submit(single("j", 1, 16, time.Hour)) // a call to each
	wo.run(3 * time.Second)
	is.True(!wo.holder.core.Standing("w00").Idle)
	fresh := domain.New(wo.now, domain.Config{Token: 9, Workers: []runner.Worker{wo.workers["w11"]}})
	is.True(!fresh.Standing("w11").Idle)
}
