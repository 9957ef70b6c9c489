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

// nextBorn identifies the incarnation of a worker that follows that of
// scriptedWorker.
const nextBorn = 7

// nextIncarnation returns the entry of a worker that has restarted.
func nextIncarnation(id string) runner.Worker {
	wk := scriptedWorker(id)
	wk.Born = nextBorn
	return wk
}

// pollRunning returns a core as startOn does, with the long poll of worker w1, which
// runs job j.
func pollRunning(t *testing.T, ids ...string) (*scriptedCore, runner.Status) {
	sc, running := startOn(t, ids...)
	sc.reply("w1", running)
	return sc, running
}

// lastPoll returns the last poll of a worker, which has to exist.
func (sc *scriptedCore) lastPoll(id string) domain.Poll {
	polls := effectsOf[domain.Poll](sc)
	for _, po := range slices.Backward(polls) {
		if po.Worker.ID == id {
			return po
		}
	}
	panic("there is no poll of " + id)
}

// answer replies to a poll as an incarnation whose clock began at the given time.
func (sc *scriptedCore) answer(po domain.Poll, born int64, began time.Time, st runner.Status) {
	st.Born, st.Clock = born, sc.now.Sub(began)+time.Second
	sc.handle(domain.Polled{Call: po, Status: st})
}

// restart lists the next incarnation of a worker and lets it reply to a poll that
// was sent to it.
func (sc *scriptedCore) restart(wk runner.Worker, st runner.Status) time.Time {
	began := sc.now
	sc.handle(domain.Listed{Worker: wk})
	sc.commitAll()
	sc.pass(tickInterval)
	sc.commitAll()
	sc.handle(domain.Polled{Call: sc.lastPoll(wk.ID), Err: runner.ErrOutcomeUnknown}) // sent to the former one
	sc.pass(time.Second)
	sc.commitAll()
	sc.answer(sc.lastPoll(wk.ID), wk.Born, began, st)
	return began
}

// countDecisions counts the decisions of a kind that were logged.
func (sc *scriptedCore) countDecisions(decision string) (n int) {
	for _, ld := range effectsOf[domain.LogDecision](sc) {
		if ld.Decision == decision {
			n++
		}
	}
	return n
}

// startsOn counts the starts that were sent to a worker.
func (sc *scriptedCore) startsOn(id string) (n int) {
	for _, st := range effectsOf[domain.Start](sc) {
		if st.Worker.ID == id {
			n++
		}
	}
	return n
}

// TestReplyOfFormerIncarnationIsNotTheNextOnes delivers the reply to a long poll that
// the former incarnation of a worker has given after its entry has shown the next one.
// It guards against acknowledging ends by the former numbers to the next one.
func TestReplyOfFormerIncarnationIsNotTheNextOnes(t *testing.T) {
	is := is.New(t)
	sc, _ := pollRunning(t, "w1")
	long := sc.lastPoll("w1")
	sc.pass(tickInterval)
	sc.handle(domain.Listed{Worker: nextIncarnation("w1")})
	en := runner.End{Number: 9, Task: batch.TaskID{Job: "j"}, Attempt: 1, Reason: runner.Stopped}
	sc.effects = nil
	sc.answer(long, 1, startTime, runner.Status{Ended: runner.EndPage{Ends: []runner.End{en}}})
	for range 3 {
		sc.pass(time.Second)
		sc.commitAll()
	}
	for _, po := range effectsOf[domain.Poll](sc) {
		is.Equal(po.Request.Acked, int64(0))
	}
}

// TestEndsOfNextIncarnationAreRead restarts a worker whose ends were acknowledged. It
// guards against taking the first ends of the next incarnation, whose numbers begin
// anew, for known ones, and against acknowledging them unread.
func TestEndsOfNextIncarnationAreRead(t *testing.T) {
	is := is.New(t)
	sc, _ := pollRunning(t, "w1")
	stopped := runner.End{Number: 5, Task: batch.TaskID{Job: "j"}, Attempt: 1, Reason: runner.Stopped}
	sc.reply("w1", runner.Status{Ended: runner.EndPage{Ends: []runner.End{stopped}}})
	sc.pass(time.Second)
	sc.commitAll()
	began := sc.restart(nextIncarnation("w1"), runner.Status{})
	sc.pass(time.Second)
	sc.commitAll()
	starts := effectsOf[domain.Start](sc)
	st := starts[len(starts)-1]
	sc.handle(domain.Started{Call: st, Clock: sc.now.Sub(began)})
	sc.pass(time.Second)
	for _, po := range effectsOf[domain.Poll](sc) {
		is.True(po.Worker.Born != nextBorn || po.Request.Acked == 0)
	}
	done := runner.End{Number: 1, Task: st.Request.Task, Attempt: st.Request.Attempt, Reason: runner.Succeeded}
	sc.answer(sc.lastPoll("w1"), nextBorn, began, runner.Status{Ended: runner.EndPage{Ends: []runner.End{done}}})
	sc.pass(time.Second)
	is.True(sc.lastUnit("j").Done)
}

// TestCrashOfFormerIncarnationCountsOnce lets the leases on a worker expire whose entry
// has shown a restart, and the worker reply after that. It guards against counting one
// crash against a task twice.
func TestCrashOfFormerIncarnationCountsOnce(t *testing.T) {
	is := is.New(t)
	sc, _ := pollRunning(t, "w1")
	sc.handle(domain.Listed{Worker: nextIncarnation("w1")})
	began := sc.now
	sc.pass(time.Second)
	sc.fail("w1", runner.ErrOutcomeUnknown)
	sc.pass(25 * time.Second)
	sc.commitAll()
	is.Equal(sc.countDecisions("crashed"), 1)
	sc.answer(sc.lastPoll("w1"), nextBorn, began, runner.Status{})
	sc.pass(time.Second)
	sc.commitAll()
	is.Equal(sc.countDecisions("crashed"), 1)
}

// TestAdviceInFlightDuringRestartIsDropped restarts a worker while a call for advice
// about it is in flight. It guards against a start with the ticket of its former life.
func TestAdviceInFlightDuringRestartIsDropped(t *testing.T) {
	is := is.New(t)
	sc := newScriptedCore(domain.Config{}, "w1")
	jb, _ := oneStepJob("j", 1, 1, time.Minute)
	jb.Queue.Name, jb.Queue.Advised = "advised", true
	sc.handle(domain.Accepted{Job: jb})
	sc.pass(tickInterval)
	calls := effectsOf[domain.Advise](sc)
	is.Equal(len(calls), 1)
	sc.restart(nextIncarnation("w1"), runner.Status{})
	ad := runner.Advice{Tickets: map[string]string{"w1": "first life"}, ValidFor: time.Minute}
	sc.handle(domain.Advised{Call: calls[0], Advice: ad})
	sc.pass(time.Second)
	sc.commitAll()
	is.Equal(sc.startsOn("w1"), 0)
	calls = effectsOf[domain.Advise](sc)
	is.Equal(len(calls), 2)
	ad.Tickets["w1"] = "second life"
	sc.handle(domain.Advised{Call: calls[1], Advice: ad})
	sc.pass(time.Second)
	sc.commitAll()
	starts := effectsOf[domain.Start](sc)
	is.Equal(len(starts), 1)
	is.Equal(starts[0].Request.Ticket, "second life")
}

// TestNextIncarnationHasItsOwnDeparture restarts a worker that was draining, or that
// was not. It guards against judging the next incarnation by what the entry of the
// former one said of its departure.
func TestNextIncarnationHasItsOwnDeparture(t *testing.T) {
	for _, wasDraining := range []bool{false, true} {
		t.Run(fmt.Sprintf("wasDraining=%v", wasDraining), func(t *testing.T) {
			is := is.New(t)
			sc := newScriptedCore(domain.Config{}, "w1")
			former, next := scriptedWorker("w1"), nextIncarnation("w1")
			leaving := &next
			if wasDraining {
				leaving = &former
			}
			leaving.Draining, leaving.Leaves = true, 3*time.Second
			sc.handle(domain.Listed{Worker: former})
			sc.pass(time.Second)
			began := sc.restart(next, runner.Status{})
			jb, _ := oneStepJob("j", 1, 1, time.Minute)
			sc.handle(domain.Accepted{Job: jb})
			sc.pass(time.Second)
			sc.commitAll()
			starts := effectsOf[domain.Start](sc)
			is.Equal(len(starts) == 1, wasDraining)
			is.Equal(sc.core.Occupancy("w1").Draining, !wasDraining)
			if !wasDraining {
				return
			}
			sc.handle(domain.Started{Call: starts[0], Clock: sc.now.Sub(began) + time.Second})
			sc.answer(sc.lastPoll("w1"), nextBorn, began, runner.Status{Running: []runner.Run{{Task: starts[0].Request.Task, Attempt: 1}}})
			sc.pass(5 * time.Second)
			is.Equal(len(effectsOf[domain.Stop](sc)), 0)
		})
	}
}

// TestNextIncarnationInAnotherZone restarts a worker in another availability zone, one
// of the two of which is evacuated. It guards against judging it by its former zone.
func TestNextIncarnationInAnotherZone(t *testing.T) {
	for _, evacuated := range []string{"z0", "z1"} {
		t.Run(evacuated, func(t *testing.T) {
			is := is.New(t)
			sc := newScriptedCore(domain.Config{}, "w1")
			former, next := scriptedWorker("w1"), nextIncarnation("w1")
			former.Zone, next.Zone = "z0", "z1"
			sc.handle(domain.Listed{Worker: former})
			sc.handle(domain.EvacuationSet{Zones: []string{evacuated}})
			sc.restart(next, runner.Status{})
			jb, _ := oneStepJob("j", 1, 1, time.Minute)
			sc.handle(domain.Accepted{Job: jb})
			sc.pass(time.Second)
			sc.commitAll()
			is.Equal(sc.startsOn("w1") == 1, evacuated == "z0")
		})
	}
}

// TestClaimIsForOneIncarnation restarts a worker, on which a unit has claimed capacity,
// as one of another kind, which replies before the next placement pass. It guards
// against a start that the unit's label forbids.
func TestClaimIsForOneIncarnation(t *testing.T) {
	is := is.New(t)
	sc := newScriptedCore(domain.Config{}, "w1")
	labelled := scriptedWorker("w1")
	labelled.Labels = []string{"one"}
	sc.handle(domain.Listed{Worker: labelled})
	low, _ := oneStepJob("low", 2, 1, time.Hour)
	low.Workspace, low.Steps[0].Needs.Accelerators = "c", 8
	sc.handle(domain.Accepted{Job: low})
	sc.pass(time.Second)
	sc.commitAll()
	sc.handle(domain.Started{Call: effectsOf[domain.Start](sc)[0], Clock: sc.now.Sub(startTime) + time.Second})
	sc.pass(time.Second)
	now, _ := oneStepJob("now", 0, 1, time.Minute)
	now.Steps[0].Label, now.Steps[0].Needs.Accelerators = "one", 8
	sc.handle(domain.Accepted{Job: now})
	for len(effectsOf[domain.Stop](sc)) == 0 && sc.now.Before(startTime.Add(time.Minute)) {
		sc.pass(tickInterval)
	}
	is.Equal(len(effectsOf[domain.Stop](sc)), 1)
	sc.commitAll()
	sc.effects = nil
	began := sc.now
	next := nextIncarnation("w1")
	next.Labels = []string{"other"}
	sc.handle(domain.Listed{Worker: next})
	sc.commitAll()
	po := domain.Poll{Worker: next, Sent: sc.now, Request: runner.PollRequest{Token: 1 + sc.commits}, Extra: true}
	sc.answer(po, nextBorn, began, runner.Status{})
	sc.pass(3 * time.Second)
	sc.commitAll()
	for _, st := range effectsOf[domain.Start](sc) {
		is.True(st.Request.Task.Job != "now")
	}
}

// TestCrashBeforeTakeoverIsRecognized has a successor find a restarted worker, by its
// entry, under a task that the former incarnation has run, and the worker reply only
// after the leases have expired. It guards against a crash that counts against no task.
func TestCrashBeforeTakeoverIsRecognized(t *testing.T) {
	is := is.New(t)
	jb, _ := oneStepJob("j", 1, 1, time.Minute)
	former := scriptedWorker("w1")
	rc := batch.Record{ID: "j", State: batch.Running, Units: []batch.UnitRecord{{
		Attempt: 1, Live: true, Workers: []string{"w1"}, Addresses: []string{former.Address}, Incarnations: []uint32{former.Incarnation()},
	}}}
	next := nextIncarnation("w1")
	sc := &scriptedCore{now: startTime}
	sc.core = domain.New(sc.now, domain.Config{
		Token: 1, Policy: newSimulation(1).policy, Jobs: []batch.Job{jb}, Records: []batch.Record{rc}, Workers: []runner.Worker{next},
	})
	sc.handle(domain.Ticked{})
	sc.fail("w1", runner.ErrOutcomeUnknown)
	sc.pass(40 * time.Second)
	sc.commitAll()
	is.Equal(sc.countDecisions("lost"), 1)
	sc.pass(time.Second)
	sc.commitAll()
	sc.answer(sc.lastPoll("w1"), nextBorn, startTime, runner.Status{})
	sc.pass(time.Second)
	is.Equal(sc.countDecisions("crashed"), 1)
}

// TestUnheardIncarnationIsGrantedNoLease renews the leases on all workers after an
// outage of the store, while a worker has restarted that has not replied yet. It guards
// against a lease by the clock of its former incarnation.
func TestUnheardIncarnationIsGrantedNoLease(t *testing.T) {
	for _, restarted := range []bool{false, true} {
		t.Run(fmt.Sprintf("restarted=%v", restarted), func(t *testing.T) {
			is := is.New(t)
			sc, _ := pollRunning(t, "w1")
			sc.core.ConfirmLease(sc.now, sc.now)
			sc.pass(3 * time.Second)
			if restarted {
				sc.handle(domain.Listed{Worker: nextIncarnation("w1")})
			}
			sc.effects = nil
			sc.core.ConfirmLease(sc.now, sc.now)
			sc.pass(time.Second)
			granted := false
			for _, po := range effectsOf[domain.Poll](sc) {
				granted = granted || po.Request.Deadline > 0
			}
			is.Equal(granted, !restarted)
		})
	}
}

// TestUnheardIncarnationIsNotIdle guards against a machine that goes down for
// maintenance since its worker has restarted and has not said yet what it runs.
func TestUnheardIncarnationIsNotIdle(t *testing.T) {
	is := is.New(t)
	sc := newScriptedCore(domain.Config{}, "w1")
	is.True(sc.core.Occupancy("w1").Idle)
	sc.handle(domain.Listed{Worker: nextIncarnation("w1")})
	is.True(!sc.core.Occupancy("w1").Idle)
	sc.restart(nextIncarnation("w1"), runner.Status{})
	is.True(sc.core.Occupancy("w1").Idle)
}
