package domain_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadawharf/cicadawharf/internal/batch"
	"github.com/cicadawharf/cicadawharf/internal/domain"
	"github.com/cicadawharf/cicadawharf/internal/runner"
)

// pacedStarts runs a core without responses to its starts, in steps of ten milliseconds,
// and returns the number of starts that it sends in each.
func pacedStarts(iw *instantWorkers, steps int) (counts []int, starts []domain.Start) {
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
	for range steps {
		iw.now = iw.now.Add(10 * time.Millisecond)
		before := len(starts)
		handle(domain.Ticked{})
		counts = append(counts, len(starts)-before)
	}
	return counts, starts
}

func pacedJob(id string, priority, tasks int, gang bool) batch.Job {
	return batch.Job{
		ID: id, Workspace: "a", Queue: queueOf(priority), Payload: "x", Accepted: startTime,
		Steps: []batch.Step{{Tasks: tasks, Gang: gang, RunTime: time.Minute, Needs: batch.Resources{Accelerators: 1}}},
	}
}

// TestStartsWaitForOpenCalls places 400 tasks from a weak host, and has workers respond
// late. It guards against starts that are sent all at once, so that they wait for the
// processor of the host until they are repeated and given up.
func TestStartsWaitForOpenCalls(t *testing.T) {
	is := is.New(t)
	iw := newIdleWorkers(100)
	iw.core.Handle(iw.now, domain.Accepted{Job: pacedJob("j", 2, 400, false)})
	_, starts := pacedStarts(iw, 25)
	is.Equal(len(starts), weakHostCalls) // no response has come
	more := 0
	for _, st := range starts {
		for _, ef := range iw.core.Handle(iw.now, domain.Started{Call: st, Clock: time.Second}) {
			if _, ok := ef.(domain.Start); ok {
				more++
			}
		}
	}
	is.Equal(more, weakHostCalls) // one for each response
	// Workers that do not respond keep nothing from others for long.
	_, starts = pacedStarts(iw, 200)
	is.True(len(starts) >= 4*weakHostCalls)
}

// TestGangIsStartedAsAWhole places gangs that are larger than what a weak host starts at
// a time. It guards against a gang of which a part waits for the others.
func TestGangIsStartedAsAWhole(t *testing.T) {
	is := is.New(t)
	iw := newIdleWorkers(100)
	for _, id := range []string{"a", "b", "c"} {
		iw.core.Handle(iw.now, domain.Accepted{Job: pacedJob(id, 2, 70, true)})
	}
	counts, _ := pacedStarts(iw, 100)
	gangs := 0
	for _, n := range counts {
		is.Equal(n%70, 0)
		gangs += n / 70
	}
	is.Equal(gangs, 3)
}

// TestEndedRunsHaveNoOpenCalls lets tasks end that polls report before the calls to start
// them have a response. It guards against calls that count although nobody waits for them.
func TestEndedRunsHaveNoOpenCalls(t *testing.T) {
	is := is.New(t)
	iw := newIdleWorkers(100)
	iw.core.Handle(iw.now, domain.Accepted{Job: pacedJob("j", 2, 400, false)})
	_, starts := pacedStarts(iw, 10)
	is.Equal(len(starts), weakHostCalls)
	more := 0
	for i, st := range starts {
		ended := runner.Status{Born: 1, Clock: 2 * time.Second}
		ended.Ended.Ends = []runner.End{{Number: int64(i + 1), Task: st.Request.Task, Attempt: 1, Reason: runner.Succeeded}}
		for _, ef := range iw.core.Handle(iw.now, domain.Polled{Call: domain.Poll{Worker: st.Worker, Sent: iw.now, Extra: true}, Status: ended}) {
			if _, ok := ef.(domain.Start); ok {
				more++
			}
		}
	}
	is.Equal(more, weakHostCalls)
}

// TestQueuedStartsAvoidDrainingWorkers has workers drain while starts wait. It guards against
// work that is started long after its worker has asked to be drained.
func TestQueuedStartsAvoidDrainingWorkers(t *testing.T) {
	is := is.New(t)
	iw := newIdleWorkers(100)
	iw.core.Handle(iw.now, domain.Accepted{Job: pacedJob("j", 2, 400, false)})
	_, starts := pacedStarts(iw, 10)
	is.Equal(len(starts), weakHostCalls)
	draining := map[string]bool{}
	for _, wk := range iw.workers[:50] {
		wk.Draining = true
		draining[wk.ID] = true
		iw.core.Handle(iw.now, domain.Listed{Worker: wk})
	}
	_, starts = pacedStarts(iw, 300)
	is.True(len(starts) > 200)
	for _, st := range starts {
		is.True(!draining[st.Worker.ID])
	}
}

// TestGuaranteedStartsGoFirst accepts work within a guarantee while many other starts
// wait. It guards against urgent work that waits behind all that was placed before.
func TestGuaranteedStartsGoFirst(t *testing.T) {
	is := is.New(t)
	iw := newIdleWorkers(100)
	iw.core.Handle(iw.now, domain.Accepted{Job: pacedJob("other", 2, 400, false)})
	_, starts := pacedStarts(iw, 10)
	is.Equal(len(starts), weakHostCalls)
	iw.core.Handle(iw.now, domain.Accepted{Job: pacedJob("urgent", 0, 1, false)})
	_, starts = pacedStarts(iw, 30)
	is.True(len(starts) > 0)
	is.Equal(starts[0].Request.Task.Job, "urgent")
}
