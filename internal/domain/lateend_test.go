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

// giveUpAttempt returns a core that has given up the first attempt of job j on
// worker w1, since the worker was unresponsive until its leases had expired. There
// is no capacity for another attempt.
func giveUpAttempt(t *testing.T) (*scriptedCore, batch.TaskID) {
	is := is.New(t)
	sc := newScriptedCore(domain.Config{}, "w1")
	jb, _ := oneStepJob("j", 1, 1, time.Minute)
	sc.handle(domain.Accepted{Job: jb})
	sc.pass(tickInterval)
	sc.commitAll()
	starts := effectsOf[domain.Start](sc)
	is.Equal(len(starts), 1)
	sc.handle(domain.Started{Call: starts[0]})
	sc.reply("w1", runner.Status{Running: []runner.Run{{Task: starts[0].Request.Task, Attempt: 1}}})
	sc.pass(time.Second)
	sc.fail("w1", runner.ErrOutcomeUnknown)
	sc.pass(20 * time.Second)
	sc.commitAll()
	sc.effects = nil
	return sc, starts[0].Request.Task
}

// TestEndsOfAbandonedAttemptsCount reports the end of an attempt that was given
// up, either at once or after a late reply has listed the attempt as running. It
// guards against ends that are dropped and acknowledged, so that the task runs
// again or fails more often than its queue permits.
func TestEndsOfAbandonedAttemptsCount(t *testing.T) {
	for _, listed := range []bool{false, true} {
		for _, reason := range []runner.EndReason{runner.Succeeded, runner.Failed} {
			t.Run(fmt.Sprintf("listed=%v,%v", listed, reason), func(t *testing.T) {
				is := is.New(t)
				sc, ti := giveUpAttempt(t)
				if listed {
					sc.reply("w1", runner.Status{Running: []runner.Run{{Task: ti, Attempt: 1}}})
				}
				en := runner.End{Number: 1, Task: ti, Attempt: 1, Reason: reason}
				sc.reply("w1", runner.Status{Ended: runner.EndPage{Ends: []runner.End{en}}})
				sc.pass(time.Second)
				for _, po := range effectsOf[domain.Poll](sc) {
					is.Equal(po.Request.Acked, int64(0)) // no record holds the end yet
				}
				ur := sc.lastUnit("j")
				is.Equal(ur.Done, reason == runner.Succeeded)
				is.Equal(ur.Failures == 1, reason == runner.Failed)
				sc.commitAll()
				sc.reply("w1", runner.Status{Ended: runner.EndPage{Ends: []runner.End{en}}})
				sc.pass(time.Second)
				polls := effectsOf[domain.Poll](sc)
				is.Equal(polls[len(polls)-1].Request.Acked, int64(1))
			})
		}
	}
}

// TestAbandonedAttemptThatRunsBlocksTheNext lists an attempt that was given up as
// running, while there is capacity for another one. It guards against two attempts
// of a task at the same time.
func TestAbandonedAttemptThatRunsBlocksTheNext(t *testing.T) {
	is := is.New(t)
	sc, ti := giveUpAttempt(t)
	sc.reply("w1", runner.Status{Running: []runner.Run{{Task: ti, Attempt: 1}}})
	sc.pass(time.Second)
	sc.commitAll()
	sc.pass(time.Second)
	is.Equal(len(effectsOf[domain.Start](sc)), 0)
	is.True(len(effectsOf[domain.Stop](sc)) > 0)
	sc.reply("w1", runner.Status{Ended: runner.EndPage{Ends: []runner.End{{Number: 1, Task: ti, Attempt: 1, Reason: runner.Stopped}}}})
	sc.pass(time.Second)
	sc.commitAll()
	is.Equal(len(effectsOf[domain.Start](sc)), 1)
}

// TestExpiredLeasesAcknowledgeNoEnd lets the leases on a worker expire while the
// store has not confirmed the record of an end that the worker has reported. It
// guards against acknowledging that end with a later one: a successor would not
// learn of it.
func TestExpiredLeasesAcknowledgeNoEnd(t *testing.T) {
	is := is.New(t)
	sc := newScriptedCore(domain.Config{}, "w1")
	for _, id := range []string{"a", "b"} {
		jb, _ := oneStepJob(id, 1, 1, time.Minute)
		sc.handle(domain.Accepted{Job: jb})
	}
	sc.pass(time.Second)
	sc.commitAll()
	for _, st := range effectsOf[domain.Start](sc) {
		sc.handle(domain.Started{Call: st})
	}
	done := runner.End{Number: 1, Task: batch.TaskID{Job: "a"}, Attempt: 1, Reason: runner.Succeeded}
	stopped := runner.End{Number: 2, Task: batch.TaskID{Job: "b"}, Attempt: 1, Reason: runner.Stopped}
	running := []runner.Run{{Task: batch.TaskID{Job: "b"}, Attempt: 1}}
	sc.reply("w1", runner.Status{Running: running, Ended: runner.EndPage{Ends: []runner.End{done}}})
	sc.pass(time.Second)
	sc.fail("w1", runner.ErrOutcomeUnknown)
	sc.pass(20 * time.Second)
	sc.reply("w1", runner.Status{Ended: runner.EndPage{Ends: []runner.End{done, stopped}}})
	sc.pass(time.Second)
	for _, po := range effectsOf[domain.Poll](sc) {
		is.Equal(po.Request.Acked, int64(0))
	}
}

// TestOvertakenReplyIsIgnored delivers a reply that a worker has given before
// another one that arrived earlier. It guards against stopping, or losing, what has
// happened between the two.
func TestOvertakenReplyIsIgnored(t *testing.T) {
	is := is.New(t)
	sc, running := startOn(t, "w1", "w2")
	sc.pass(time.Second)
	en := runner.End{Number: 1, Task: batch.TaskID{Job: "j"}, Attempt: 1, Reason: runner.Failed}
	sc.reply("w1", runner.Status{Ended: runner.EndPage{Ends: []runner.End{en}}})
	running.Clock, running.Born = time.Second, 1
	sc.handle(domain.Polled{Call: domain.Poll{Worker: scriptedWorker("w1"), Sent: sc.now}, Status: running})
	is.Equal(len(effectsOf[domain.Stop](sc)), 0)
}

// TestEntriesThatLapsedEndNoGang has the entry of a worker lapse while the store is
// away, and the rest of a gang end as broken. It guards against taking the last task
// of the gang for ended, and starting the gang again, before the worker is back in
// the list and reports that the task has failed.
func TestEntriesThatLapsedEndNoGang(t *testing.T) {
	is := is.New(t)
	sc := newScriptedCore(domain.Config{}, "w1", "w2", "w3", "w4")
	jb, _ := oneStepJob("j", 1, 2, time.Minute)
	jb.Steps[0].Gang, jb.Steps[0].Needs.Accelerators = true, 8
	sc.handle(domain.Accepted{Job: jb})
	sc.pass(tickInterval)
	sc.commitAll()
	starts := effectsOf[domain.Start](sc)
	is.Equal(len(starts), 2)
	for _, st := range starts {
		sc.handle(domain.Started{Call: st})
	}
	sc.pass(time.Second)
	kept, lost := starts[0], starts[1]
	sc.fail(lost.Worker.ID, runner.ErrOutcomeUnknown)
	sc.handle(domain.StoreReturned{})
	sc.handle(domain.Unlisted{ID: lost.Worker.ID})
	broken := runner.End{Number: 1, Task: kept.Request.Task, Attempt: 1, Reason: runner.GangBroken}
	sc.reply(kept.Worker.ID, runner.Status{Ended: runner.EndPage{Ends: []runner.End{broken}}})
	sc.commitAll()
	sc.effects = nil
	sc.pass(2 * time.Second)
	sc.commitAll()
	is.Equal(len(effectsOf[domain.Start](sc)), 0)
	sc.handle(domain.Listed{Worker: scriptedWorker(lost.Worker.ID)})
	failed := runner.End{Number: 1, Task: lost.Request.Task, Attempt: 1, Reason: runner.Failed}
	sc.reply(lost.Worker.ID, runner.Status{Ended: runner.EndPage{Ends: []runner.End{failed}}})
	sc.pass(time.Second)
	is.Equal(sc.lastUnit("j").Failures, 1)
	sc.commitAll()
	is.Equal(len(effectsOf[domain.Start](sc)), 2)
}
