package domain_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadawharf/cicadawharf/internal/batch"
	"github.com/cicadawharf/cicadawharf/internal/domain"
	"github.com/cicadawharf/cicadawharf/internal/runner"
)

// TestStopConfirmedByFormerIncarnationIsSentAgain delivers the reply to a stop that was
// sent to the former incarnation after the entry has shown the next one, which runs the
// attempt since its start arrived late. It guards against a run that nobody stops.
func TestStopConfirmedByFormerIncarnationIsSentAgain(t *testing.T) {
	is := is.New(t)
	sc, running := pollRunning(t, "w1")
	sc.handle(domain.CancelRequested{ID: "j"})
	stops := effectsOf[domain.Stop](sc)
	is.Equal(len(stops), 1)
	sc.handle(domain.Listed{Worker: nextIncarnation("w1")})
	began := sc.now
	sc.handle(domain.Stopped{Call: stops[0]})
	sc.commitAll()
	sc.pass(time.Second)
	sc.commitAll()
	sc.answer(sc.lastPoll("w1"), nextBorn, began, running)
	sc.pass(time.Second)
	is.True(len(effectsOf[domain.Stop](sc)) > 1)
}

// TestStopConfirmedByFormerIncarnationEndsNoLateStart gives no reply to a start, and
// delivers the reply to the stop after it when the worker has restarted. It guards
// against taking that reply for proof that the next incarnation can't run the attempt.
func TestStopConfirmedByFormerIncarnationEndsNoLateStart(t *testing.T) {
	is := is.New(t)
	sc := newScriptedCore(domain.Config{}, "w1", "w2")
	jb, _ := oneStepJob("j", 1, 1, time.Minute)
	sc.handle(domain.Accepted{Job: jb})
	sc.pass(tickInterval)
	sc.commitAll()
	start := effectsOf[domain.Start](sc)[0]
	id := start.Worker.ID
	sc.pass(time.Second)
	sc.handle(domain.Started{Call: start, Err: runner.ErrOutcomeUnknown})
	leaving := scriptedWorker(id)
	leaving.Draining = true // so that the start is not made again there
	sc.handle(domain.Listed{Worker: leaving})
	sc.answer(sc.lastPoll(id), 1, startTime, runner.Status{})
	stops := effectsOf[domain.Stop](sc)
	is.Equal(len(stops), 1)
	sc.handle(domain.Listed{Worker: nextIncarnation(id)})
	began := sc.now
	sc.handle(domain.Stopped{Call: stops[0]})
	sc.commitAll()
	sc.pass(tickInterval)
	sc.commitAll()
	po := sc.lastPoll(id)
	sc.answer(po, nextBorn, began, runner.Status{})
	sc.pass(time.Second)
	sc.commitAll()
	fenced := po.Request.Token > start.Request.Token
	is.True(fenced || len(effectsOf[domain.Start](sc)) == 1)
}

// TestRefusalAtFormerAddressEndsNothing restarts a worker at another address, and lets
// a poll fail that was sent to the former one, where another worker is now. It guards
// against taking that for the end of what the next incarnation runs.
func TestRefusalAtFormerAddressEndsNothing(t *testing.T) {
	is := is.New(t)
	sc, _ := pollRunning(t, "w1")
	former := sc.lastPoll("w1")
	next := nextIncarnation("w1")
	next.Address = "w1:2"
	sc.handle(domain.Listed{Worker: next})
	began := sc.now
	sc.commitAll()
	sc.pass(time.Second)
	sc.commitAll()
	po := domain.Poll{Worker: next, Sent: sc.now, Request: sc.lastPoll("w1").Request, Extra: true}
	sc.answer(po, nextBorn, began, runner.Status{})
	sc.pass(time.Second)
	sc.commitAll()
	starts := effectsOf[domain.Start](sc)
	is.Equal(len(starts), 1)
	st := starts[0]
	sc.handle(domain.Started{Call: st, Clock: sc.now.Sub(began) + time.Second})
	sc.pass(tickInterval)
	running := []runner.Run{{Task: st.Request.Task, Attempt: st.Request.Attempt}}
	po.Sent = sc.now
	sc.answer(po, nextBorn, began, runner.Status{Running: running})
	sc.effects = nil
	sc.handle(domain.Polled{Call: former, Err: runner.ErrRestarted})
	sc.pass(tickInterval)
	is.Equal(sc.countDecisions("lost"), 0)
}

// TestStoppedRunIsNoCrash restarts a worker after it has confirmed a stop and before a
// poll has returned the end. It guards against counting that restart as a crash under
// the task.
func TestStoppedRunIsNoCrash(t *testing.T) {
	is := is.New(t)
	sc, _ := pollRunning(t, "w1")
	sc.pass(time.Second)
	sc.handle(domain.DrainRequested{By: map[string]time.Time{"w1": sc.now.Add(tickInterval)}})
	stops := effectsOf[domain.Stop](sc)
	is.Equal(len(stops), 1)
	sc.handle(domain.DrainRequested{})
	sc.handle(domain.Stopped{Call: stops[0]})
	sc.pass(tickInterval)
	sc.restart(nextIncarnation("w1"), runner.Status{})
	sc.pass(time.Second)
	is.Equal(sc.countDecisions("lost"), 1)
	is.Equal(sc.countDecisions("crashed"), 0)
}

// TestSecondRestartKeepsAgeOfCrash restarts a worker just after a start and once more
// before it has replied. It guards against a task that is no longer suspected of the
// first crash, since its attempt seems to have lived until the second one.
func TestSecondRestartKeepsAgeOfCrash(t *testing.T) {
	is := is.New(t)
	sc := newScriptedCore(domain.Config{}, "w1")
	jb, _ := oneStepJob("j", 1, 1, time.Minute)
	sc.handle(domain.Accepted{Job: jb})
	sc.pass(tickInterval)
	sc.commitAll()
	sc.handle(domain.Started{Call: effectsOf[domain.Start](sc)[0], Clock: sc.now.Sub(startTime) + time.Second})
	sc.pass(tickInterval)
	sc.handle(domain.Listed{Worker: nextIncarnation("w1")})
	sc.pass(2 * time.Second)
	again := nextIncarnation("w1")
	again.Born++
	sc.restart(again, runner.Status{})
	sc.pass(time.Second)
	suspected := -1
	for _, ld := range effectsOf[domain.LogDecision](sc) {
		if ld.Decision == "crashed" {
			suspected = ld.Suspected
		}
	}
	is.Equal(suspected, 1)
}

// acknowledged returns a core whose worker has ended job j, with a poll that
// acknowledges the end, whose number is 5.
func acknowledged(t *testing.T) (*scriptedCore, domain.Poll) {
	is := is.New(t)
	sc, _ := pollRunning(t, "w1")
	done := runner.End{Number: 5, Task: batch.TaskID{Job: "j"}, Attempt: 1, Reason: runner.Succeeded}
	sc.answer(sc.lastPoll("w1"), 1, startTime, runner.Status{Ended: runner.EndPage{Ends: []runner.End{done}}})
	sc.pass(time.Second)
	sc.commitAll()
	sc.pass(time.Second)
	po := sc.lastPoll("w1")
	is.Equal(po.Request.Acked, int64(5))
	return sc, po
}

// TestEndOfNextIncarnationIsAcknowledgedSoon lets the next incarnation of a worker
// reply to a poll that acknowledges ends of the former one. It guards against taking
// its own ends for acknowledged.
func TestEndOfNextIncarnationIsAcknowledgedSoon(t *testing.T) {
	is := is.New(t)
	sc, po := acknowledged(t)
	began := sc.now.Add(-tickInterval)
	stopped := runner.End{Number: 1, Task: batch.TaskID{Job: "gone"}, Attempt: 1, Reason: runner.Stopped}
	st := runner.Status{Ended: runner.EndPage{Ends: []runner.End{stopped}}}
	sc.answer(po, nextBorn, began, st)
	sc.commitAll()
	sc.pass(time.Second)
	sc.commitAll()
	sc.answer(sc.lastPoll("w1"), nextBorn, began, st)
	sc.pass(time.Second)
	is.Equal(sc.lastPoll("w1").Request.Acked, int64(1))
}

// TestEndsAreAcknowledgedOnce guards against polls that acknowledge what a reply shows
// to be acknowledged: one that reaches another incarnation late makes that one forget
// ends that nobody has read.
func TestEndsAreAcknowledgedOnce(t *testing.T) {
	is := is.New(t)
	sc, po := acknowledged(t)
	sc.answer(po, 1, startTime, runner.Status{})
	sc.effects = nil
	jb, _ := oneStepJob("k", 1, 1, time.Minute)
	sc.handle(domain.Accepted{Job: jb})
	for range 3 {
		sc.pass(time.Second)
		sc.commitAll()
	}
	polls := effectsOf[domain.Poll](sc)
	is.True(len(polls) > 0)
	for _, po := range polls {
		is.Equal(po.Request.Acked, int64(0))
	}
}

// TestNextIncarnationIsPolledAtOnce shows by an entry that a worker has restarted while
// a long poll of the former incarnation gets no reply. It guards against polling the
// next one only after that poll has timed out.
func TestNextIncarnationIsPolledAtOnce(t *testing.T) {
	is := is.New(t)
	sc, running := pollRunning(t, "w1")
	sc.answer(sc.lastPoll("w1"), 1, startTime, running)
	sc.effects = nil
	sc.handle(domain.Listed{Worker: nextIncarnation("w1")})
	sc.commitAll()
	sc.pass(2 * tickInterval)
	sc.commitAll()
	is.True(len(effectsOf[domain.Poll](sc)) > 0)
}

// TestFormerPollSilencesNoNextIncarnation lets a poll of the former incarnation time
// out after the next one has replied. It guards against taking that one for silent, so
// that it gets no work.
func TestFormerPollSilencesNoNextIncarnation(t *testing.T) {
	is := is.New(t)
	sc, _ := pollRunning(t, "w1")
	long := sc.lastPoll("w1")
	sc.pass(time.Second) // so that the task isn't suspected of the crash, and not isolated
	sc.handle(domain.Listed{Worker: nextIncarnation("w1")})
	began := sc.now
	sc.commitAll()
	sc.pass(tickInterval)
	sc.commitAll()
	po := domain.Poll{Worker: nextIncarnation("w1"), Sent: sc.now, Request: sc.lastPoll("w1").Request, Extra: true}
	sc.answer(po, nextBorn, began, runner.Status{})
	sc.handle(domain.Polled{Call: long, Err: runner.ErrOutcomeUnknown})
	sc.commitAll() // of the loss
	sc.effects = nil
	jb, _ := oneStepJob("k", 0, 1, time.Minute)
	jb.Steps[0].Needs = batch.Resources{MilliCPU: 100}
	sc.handle(domain.Accepted{Job: jb})
	sc.pass(2 * tickInterval)
	sc.commitAll()
	starts := effectsOf[domain.Start](sc)
	is.True(slices.ContainsFunc(starts, func(st domain.Start) bool { return st.Request.Task.Job == "k" && st.Worker.ID == "w1" }))
}

// TestAdviceAboutRemovedWorkerIsForgotten removes a worker that may not run a step, or
// whose ticket is known, and lists it again with another start time. It guards against
// judging its next incarnation by advice about the former one.
func TestAdviceAboutRemovedWorkerIsForgotten(t *testing.T) {
	for _, refused := range []bool{false, true} {
		t.Run(fmt.Sprintf("refused=%v", refused), func(t *testing.T) {
			is := is.New(t)
			sim := startSimulation(2)
			sim.policy.Queues[1].Advised = true
			sim.ticketTime = time.Minute
			jb, pl := oneStepJob("j", 1, 1, time.Minute)
			jb.Queue = sim.policy.Queues[1]
			sim.tickets = map[string]map[string]string{"j": {"w00": "first life"}}
			if refused {
				sim.tickets["j"] = map[string]string{}
			}
			sim.submit(jb, pl)
			sim.run(time.Second)
			sim.vanish("w00")
			sim.run(20 * time.Second)
			sim.tickets["j"]["w00"] = "second life"
			sim.addWorker("w00", 8)
			is.True(sim.begins("j", calmTime+maxHold))
			is.Equal(sim.fleet.RefusedStarts, 0)
			is.Equal(sim.check(), nil)
		})
	}
}

// TestRemovedWorkerKeepsItsDrainDeadline removes a worker that is to be drained for
// maintenance and lists it again. It guards against new work there, which the
// maintenance interrupts.
func TestRemovedWorkerKeepsItsDrainDeadline(t *testing.T) {
	for _, born := range []int64{1, nextBorn} {
		t.Run(fmt.Sprintf("born=%d", born), func(t *testing.T) {
			is := is.New(t)
			sc := newScriptedCore(domain.Config{}, "w1")
			sc.pass(15 * time.Second)
			sc.reply("w1", runner.Status{})
			sc.handle(domain.DrainRequested{By: map[string]time.Time{"w1": sc.now.Add(20 * time.Second)}})
			sc.handle(domain.Unlisted{ID: "w1"})
			sc.pass(tickInterval)
			wk := scriptedWorker("w1")
			wk.Born = born
			sc.handle(domain.Listed{Worker: wk})
			sc.commitAll()
			sc.pass(time.Second)
			sc.commitAll()
			sc.answer(sc.lastPoll("w1"), born, startTime, runner.Status{})
			jb, _ := oneStepJob("j", 1, 1, time.Minute)
			sc.handle(domain.Accepted{Job: jb})
			sc.pass(time.Second)
			sc.commitAll()
			is.Equal(sc.startsOn("w1"), 0)
		})
	}
}

// TestRemovedWorkerIsFencedWhenItReturns removes a worker to which calls were sent, and
// lists its next incarnation. It guards against calls to that one that carry the same
// token as those to the former one, which may still arrive there.
func TestRemovedWorkerIsFencedWhenItReturns(t *testing.T) {
	is := is.New(t)
	sc, _ := pollRunning(t, "w1")
	former := sc.lastPoll("w1").Request.Token
	sc.handle(domain.Unlisted{ID: "w1"})
	sc.fail("w1", runner.ErrOutcomeUnknown)
	sc.pass(30 * time.Second)
	sc.commitAll()
	is.Equal(sc.countDecisions("lost"), 1)
	sc.effects = nil
	sc.handle(domain.Listed{Worker: nextIncarnation("w1")})
	began := sc.now
	sc.pass(time.Second)
	sc.commitAll()
	sc.pass(time.Second)
	po := sc.lastPoll("w1")
	is.True(po.Request.Token > former)
	sc.answer(po, nextBorn, began, runner.Status{})
	sc.pass(time.Second)
	sc.commitAll()
	is.Equal(sc.startsOn("w1"), 1)
	for _, st := range effectsOf[domain.Start](sc) {
		is.True(st.Request.Token > former)
	}
}

// TestLateStartAfterItsStopReachesNextIncarnation gives no reply to a start, whose stop
// the worker confirms before it crashes, and has the start arrive after the first reply
// of the next incarnation. It guards against a second run beside the next attempt: the
// next incarnation knows nothing of the stop.
func TestLateStartAfterItsStopReachesNextIncarnation(t *testing.T) {
	eachFormerLife(t, func(sim *simulation) { playLateStart(sim, true) })
}

// TestLateStartAfterItsStopPrecedesFirstReply does the same with a start that arrives
// just after the worker is back, before any call that could fence it off.
func TestLateStartAfterItsStopPrecedesFirstReply(t *testing.T) {
	eachFormerLife(t, func(sim *simulation) { playLateStart(sim, false) })
}

func playLateStart(sim *simulation, heard bool) {
	sim.keepBusy()
	arrival := sim.now.Add(8 * time.Second)
	sim.transit.heldUntil["w00"] = arrival
	sim.submitTo(20 * time.Second)
	sim.run(500 * time.Millisecond)
	delete(sim.transit.heldUntil, "w00")
	sim.notify(domain.DrainRequested{By: map[string]time.Time{"w00": sim.now.Add(time.Hour)}}) // the next attempt runs elsewhere
	sim.run(4 * time.Second)
	downtime := arrival.Sub(sim.now) - time.Millisecond
	if heard {
		downtime = crashDowntime
	}
	sim.transit.crash("w00", downtime, 10*time.Millisecond)
	sim.run(arrival.Sub(sim.now) + 10*time.Second)
}

// TestStartInFlightIsNotOver has a gang end while the call that starts its other task has
// not returned, confirms the stop of that one, and doesn't list it. It guards against a
// next attempt beside one that the same call still begins on another incarnation of the
// worker.
func TestStartInFlightIsNotOver(t *testing.T) {
	is := is.New(t)
	sc := newScriptedCore(domain.Config{}, "w1", "w2", "w3", "w4")
	jb, _ := oneStepJob("j", 1, 2, time.Minute)
	jb.Steps[0].Gang, jb.Steps[0].Needs.Accelerators = true, 8
	sc.handle(domain.Accepted{Job: jb})
	sc.pass(tickInterval)
	sc.commitAll()
	starts := effectsOf[domain.Start](sc)
	is.Equal(len(starts), 2)
	open, begun := starts[0], starts[1]
	sc.handle(domain.Started{Call: begun})
	sc.pass(tickInterval)
	failed := runner.End{Number: 1, Task: begun.Request.Task, Attempt: 1, Reason: runner.Failed}
	sc.reply(begun.Worker.ID, runner.Status{Ended: runner.EndPage{Ends: []runner.End{failed}}})
	sc.commitAll()
	stops := effectsOf[domain.Stop](sc)
	is.Equal(len(stops), 1)
	sc.handle(domain.Stopped{Call: stops[0]})
	sc.pass(tickInterval)
	sc.reply(open.Worker.ID, runner.Status{})
	sc.pass(time.Second)
	sc.commitAll()
	is.Equal(len(effectsOf[domain.Start](sc)), 2)
	sc.handle(domain.Started{Call: open, Err: runner.ErrOutcomeUnknown})
	sc.pass(tickInterval)
	sc.reply(open.Worker.ID, runner.Status{})
	sc.pass(time.Second)
	sc.commitAll()
	is.Equal(len(effectsOf[domain.Start](sc)), 4)
}
