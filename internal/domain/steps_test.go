package domain_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/batch"
	"github.com/cicadawharf/cicadawharf/internal/domain"
	"github.com/cicadawharf/cicadawharf/internal/runner"
)

// maxEventSteps bounds the work of the core for one event without a placement pass,
// whatever the number of workers.
const maxEventSteps = 300

// TestFailedStartsDoNotExamineTheFleet lets the starts on all workers of a fleet go without
// a response. It guards against an event that costs as much as the fleet is large: calls
// fail in numbers when the scheduler is late, which made it later.
func TestFailedStartsDoNotExamineTheFleet(t *testing.T) {
	for _, workers := range []int{48, 350, 1100, 5000} {
		t.Run(fmt.Sprint(workers), func(t *testing.T) {
			t.Parallel()
			iw := newIdleWorkers(workers)
			job := batch.Job{
				ID: "j", Workspace: "a", Queue: queueOf(0), Payload: "x", Accepted: iw.now,
				Steps: []batch.Step{{Tasks: workers, RunTime: time.Minute, Needs: batch.Resources{Accelerators: 8}}},
			}
			starts := iw.startsOf(job)
			if len(starts) != workers {
				t.Fatalf("%d starts of %d tasks", len(starts), workers)
			}
			most := int64(0)
			for _, st := range starts {
				passes, steps := iw.core.Passes(), iw.core.Steps()
				iw.core.Handle(iw.now, domain.Started{Call: st, Err: runner.ErrOutcomeUnknown})
				if iw.core.Passes() == passes {
					most = max(most, iw.core.Steps()-steps)
				}
			}
			t.Logf("an event takes %d steps at most", most)
			if most > maxEventSteps {
				t.Errorf("an event takes %d steps, more than %d", most, maxEventSteps)
			}
		})
	}
}

// weakHostCalls is the number of open calls of the weakest hosts.
const weakHostCalls = 32

// newIdleWorkers returns a core on a weak host over some workers on which nothing runs.
func newIdleWorkers(workers int) *instantWorkers {
	iw := &instantWorkers{now: startTime, running: map[string][]runner.Run{}, lastEnds: map[string]int64{}}
	iw.workers = manyWorkers(workers)
	iw.core = domain.New(iw.now, domain.Config{Token: 1, Workers: iw.workers, Policy: iw.policy(workers), Cores: 0.1})
	for _, wk := range iw.workers {
		iw.handle(domain.Polled{Call: domain.Poll{Worker: wk, Sent: iw.now}, Status: runner.Status{Born: 1, Clock: time.Second}})
	}
	return iw
}

// startsOf submits a job, stores what is to be stored, and returns the starts that follow.
func (iw *instantWorkers) startsOf(jb batch.Job) []domain.Start {
	var starts []domain.Start
	var handle func(ev domain.Event)
	handle = func(ev domain.Event) {
		for _, ef := range iw.core.Handle(iw.now, ev) {
			switch ef := ef.(type) {
			case domain.Commit:
				handle(domain.Committed{Seq: ef.Seq})
			case domain.Start:
				starts = append(starts, ef)
			}
		}
	}
	handle(domain.Accepted{Job: jb})
	for range 10 + jb.Steps[0].Tasks/32 { // not all starts are sent at once
		iw.now = iw.now.Add(300 * time.Millisecond)
		handle(domain.Ticked{})
	}
	return starts
}
