package domain_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadawharf/cicadawharf/internal/batch"
	"github.com/cicadawharf/cicadawharf/internal/domain"
	"github.com/cicadawharf/cicadawharf/internal/runner"
)

// slowStore runs a core with one large worker and a store that replies to every
// commit after the same time. No task ends.
type slowStore struct {
	core    *domain.Core
	now     time.Time
	replies map[time.Time][]domain.Committed // by the time at which they arrive
	polled  bool                             // the worker was polled
	poll    domain.Poll                      // the last one
	starts  int                              // number of tasks started
	written map[string]time.Time             // time of the first commit, by job
}

const (
	storeLatency = 90 * time.Millisecond // of a commit
	storeStep    = 5 * time.Millisecond  // of the simulated time
)

func newSlowStore(accelerators int) *slowStore {
	ss := &slowStore{now: startTime, replies: map[time.Time][]domain.Committed{}, written: map[string]time.Time{}}
	ss.core = domain.New(startTime, domain.Config{Token: 1, Policy: newSimulation(1).policy, Workers: []runner.Worker{
		{ID: "w1", Address: "w1:1", Service: "svc", Born: 1, Capacity: batch.Resources{Accelerators: accelerators}},
	}})
	ss.handle(domain.Ticked{})
	return ss
}

func (ss *slowStore) submit(id string, priority int) {
	ss.handle(domain.Accepted{Job: batch.Job{ID: id, Queue: queueOf(priority), Steps: []batch.Step{oneAccelerator(1)}}})
}

func (ss *slowStore) handle(ev domain.Event) {
	for _, ef := range ss.core.Handle(ss.now, ev) {
		switch ef := ef.(type) {
		case domain.Poll:
			ss.poll = ef
			if !ss.polled { // later polls wait for an end
				ss.polled = true
				ss.handle(domain.Polled{Call: ef, Status: runner.Status{Born: 1}})
			}
		case domain.Start:
			ss.starts++
		case domain.Commit:
			ss.commit(ef)
		}
	}
}

func (ss *slowStore) commit(cm domain.Commit) {
	due := ss.now.Add(storeLatency)
	ss.replies[due] = append(ss.replies[due], domain.Committed{Seq: cm.Seq})
	for _, rc := range cm.Records {
		if _, ok := ss.written[rc.ID]; !ok {
			ss.written[rc.ID] = ss.now
		}
	}
}

// end reports the end of the only task of a job in reply to the last poll.
func (ss *slowStore) end(number int64, id string, reason runner.EndReason) {
	ti := batch.TaskID{Job: id}
	ss.handle(domain.Polled{Call: ss.poll, Status: runner.Status{Born: 1, Ended: runner.EndPage{Ends: []runner.End{{Number: number, Task: ti, Attempt: 1, Reason: reason}}}}})
}

// step advances the time by storeStep.
func (ss *slowStore) step() {
	ss.now = ss.now.Add(storeStep)
	for _, ev := range ss.replies[ss.now] {
		ss.handle(ev)
	}
	ss.handle(domain.Prompted{})
}

// TestCommitsOverlapWithSlowStore places a hundred and forty jobs at once,
// whose attempts have to be written to a store that replies after 90 ms. One
// commit after the other would take ten times that.
func TestCommitsOverlapWithSlowStore(t *testing.T) {
	const (
		count    = 140
		allBegun = 600 * time.Millisecond
	)
	is := is.New(t)
	ss := newSlowStore(count)
	for i := range count {
		ss.submit(fmt.Sprintf("j%03d", i), 1)
	}
	for ss.now.Before(startTime.Add(allBegun)) {
		ss.step()
	}
	is.Equal(ss.starts, count)
	is.Equal(len(ss.written), count)
}

// TestUrgentCommitsDoNotStarveOthers submits urgent jobs faster than the store
// takes their records. The record of another job is written within a second
// nevertheless.
func TestUrgentCommitsDoNotStarveOthers(t *testing.T) {
	const (
		steps   = 300
		perStep = 5
	)
	is := is.New(t)
	ss := newSlowStore(2 * steps * perStep)
	var submittedAt time.Time
	for i := range steps {
		for j := range perStep {
			ss.submit(fmt.Sprintf("u%03d.%d", i, j), 0)
		}
		if i == steps/3 {
			submittedAt = ss.now
			ss.submit("other", 2)
		}
		ss.step()
	}
	at, ok := ss.written["other"]
	is.True(ok)                                 // written while urgent jobs arrive
	is.True(at.Sub(submittedAt) <= time.Second) // and within a second
}

// TestEndsOfJobsAreWrittenAtOnce guards against callers that ask for the state of
// a job just after its end and are told that it runs, since the commit of another
// end has just been made.
func TestEndsOfJobsAreWrittenAtOnce(t *testing.T) {
	is := is.New(t)
	ss := newSlowStore(2)
	ss.submit("a", 1)
	ss.submit("b", 1)
	for ss.starts < 2 {
		ss.step()
	}
	for range 40 { // until no commit is in flight
		ss.step()
	}
	ss.written = map[string]time.Time{}
	ss.end(1, "a", runner.Succeeded)
	is.Equal(ss.written["a"], ss.now)
	for range 19 { // the commit takes 90 ms
		ss.step()
	}
	ss.end(2, "b", runner.Succeeded)
	is.Equal(ss.written["b"], ss.now)
}

// TestStoppedTasksAreAcknowledgedAtOnce guards against a worker whose other ends
// are seen late while the end of a stopped task, which a successor needs no
// record of, waits for the store.
func TestStoppedTasksAreAcknowledgedAtOnce(t *testing.T) {
	is := is.New(t)
	ss := newSlowStore(2)
	ss.submit("stopped", 1)
	ss.submit("other", 1)
	for ss.starts < 2 {
		ss.step()
	}
	ss.handle(domain.CancelRequested{ID: "stopped"})
	ss.end(1, "stopped", runner.Stopped)
	is.Equal(ss.poll.Request.Acked, int64(1))
	is.True(ss.poll.Request.Wait > 0) // until the next end
	is.True(len(ss.replies) > 0)      // the store has not replied yet
	ss.end(2, "other", runner.Succeeded)
	is.Equal(ss.poll.Request.Acked, int64(1))
}
