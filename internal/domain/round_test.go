package domain_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/batch"
	"github.com/cicadawharf/cicadawharf/internal/domain"
	"github.com/cicadawharf/cicadawharf/internal/runner"
)

const (
	// maxBurstSteps bounds the steps of an event with a pass beside stepsPerWorker for each
	// worker: those in which it places work and ends standstills, and the last unit of each.
	maxBurstSteps  = 200_000
	stepsPerWorker = 40
)

// passSteps passes an event to the core, and returns the steps that it takes and whether it
// makes a pass.
func (iw *instantWorkers) passSteps(ev domain.Event) (steps int64, withPass bool) {
	passes, before := iw.core.Passes(), iw.core.Steps()
	iw.core.Handle(iw.now, ev)
	return iw.core.Steps() - before, iw.core.Passes() > passes
}

// TestPassKeepsToBudget measures the passes of an idle fleet to which twice the work comes
// that it can do, and those of a takeover of the full fleet. It guards against passes that
// keep a scheduler from the replies and leases of its workers.
func TestPassKeepsToBudget(t *testing.T) {
	for _, workers := range []int{48, 350, 1100, 5000} {
		t.Run(fmt.Sprint(workers), func(t *testing.T) {
			t.Parallel()
			permitted := int64(maxBurstSteps + stepsPerWorker*workers)
			iw := newIdleWorkers(workers)
			for _, jb := range iw.jobs(workers) {
				iw.core.Handle(iw.now, domain.Accepted{Job: jb})
			}
			most := int64(0)
			for range 10 {
				iw.now = iw.now.Add(time.Second)
				if steps, withPass := iw.passSteps(domain.Ticked{}); withPass {
					most = max(most, steps)
				}
			}
			t.Logf("a pass takes %d steps at most", most)
			if most > permitted {
				t.Errorf("a pass takes %d steps, more than %d", most, permitted)
			}
			full := newInstantWorkers(workers)
			if most := full.takeOver(); most > permitted {
				t.Errorf("an event of a takeover takes %d steps, more than %d", most, permitted)
			}
		})
	}
}

// takeOver replaces the core by one that is given the jobs, and polls each worker. It
// returns the most steps that an event has taken.
func (iw *instantWorkers) takeOver() int64 {
	iw.core = domain.New(iw.now, iw.config())
	most := int64(0)
	for _, wk := range iw.workers {
		st := runner.Status{Born: 1, Clock: time.Second, Running: iw.running[wk.ID]}
		steps, _ := iw.passSteps(domain.Polled{Call: domain.Poll{Worker: wk, Sent: iw.now}, Status: st})
		most = max(most, steps)
	}
	for range 4 {
		iw.now = iw.now.Add(time.Second)
		steps, _ := iw.passSteps(domain.Ticked{})
		most = max(most, steps)
	}
	return most
}

// TestCutPassesTryAllWork has urgent tasks wait that fit nowhere, each of which takes a look
// at the whole fleet, before a task that fits. It guards against passes that always end
// before they come to the last of the work, which would only run as a standstill.
func TestCutPassesTryAllWork(t *testing.T) {
	const (
		workers   = 1100
		urgent    = 75
		maxPasses = 4 // in less time than until a standstill is ended
	)
	iw := newIdleWorkers(workers)
	oneStep := func(id, workspace string, tasks, milliCPU, accelerators int) batch.Job {
		return batch.Job{
			ID: id, Workspace: workspace, Queue: queueOf(0), Payload: "x", Accepted: iw.now,
			Steps: []batch.Step{{Tasks: tasks, RunTime: time.Minute, Needs: batch.Resources{MilliCPU: milliCPU, Accelerators: accelerators}}},
		}
	}
	iw.handle(domain.Accepted{Job: oneStep("fill", "a", workers, 63_000, 0)})
	for range 5 * workers / weakHostCalls {
		iw.tick()
	}
	for i := range urgent {
		iw.handle(domain.Accepted{Job: oneStep(fmt.Sprintf("urgent%d", i), "b", 1, 2000+i, 1)})
	}
	iw.handle(domain.Accepted{Job: oneStep("small", "b", 1, 500, 1)})
	passes := iw.core.Passes()
	for !iw.isRunning("small") && iw.core.Passes()-passes < 40 {
		iw.tick()
	}
	if n := iw.core.Passes() - passes; n > maxPasses {
		t.Errorf("the task that fits runs after %d passes, more than %d", n, maxPasses)
	}
}

// isRunning reports whether some task of a job runs.
func (iw *instantWorkers) isRunning(job string) bool {
	for _, rns := range iw.running {
		if slices.ContainsFunc(rns, func(rn runner.Run) bool { return rn.Task.Job == job }) {
			return true
		}
	}
	return false
}
