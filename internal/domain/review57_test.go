package domain_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadawharf/cicadawharf/internal/batch"
	"github.com/cicadawharf/cicadawharf/internal/domain"
	"github.com/cicadawharf/cicadawharf/internal/runner"
)

// startOne has a scripted core start the only task of job j, and returns the call.
func (sc *scriptedCore) startOne(is *is.I) domain.Start {
	jb, _ := oneStepJob("j", 1, 1, time.Minute)
	sc.handle(domain.Accepted{Job: jb})
	sc.pass(tickInterval)
	sc.commitAll()
	starts := effectsOf[domain.Start](sc)
	is.Equal(len(starts), 1)
	return starts[0]
}

// TestStartConfirmedByYoungNextIncarnation has a start confirmed by a clock that is
// larger than the one read last, but too small for the time since, by a worker that is
// cut off at once. It guards against a second run of the task while the lease by the
// former incarnation's clock lasts on the next one.
func TestStartConfirmedByYoungNextIncarnation(t *testing.T) {
	is := is.New(t)
	sc := newScriptedCore(domain.Config{}, "w1", "w2") // their clocks are at 1 s
	sc.pass(9 * time.Second)                           // without another reading
	st := sc.startOne(is)
	sc.handle(domain.Started{Call: st, Clock: 1500 * time.Millisecond})
	began := sc.now
	for sc.now.Sub(began) < 10*time.Second {
		sc.fail(st.Worker.ID, runner.ErrOutcomeUnknown)
		sc.pass(500 * time.Millisecond)
		sc.commitAll()
	}
	is.Equal(len(effectsOf[domain.Start](sc)), 1)
}

// TestUnlistedWorkerWithoutRunsGetsNoAcknowledgement has a worker report the end of its
// only task, leave the list and fall silent. It guards against an acknowledgement that
// the worker's next incarnation takes for one of its own ends.
func TestUnlistedWorkerWithoutRunsGetsNoAcknowledgement(t *testing.T) {
	is := is.New(t)
	sc := newScriptedCore(domain.Config{}, "w1")
	st := sc.startOne(is)
	sc.handle(domain.Started{Call: st, Clock: 1500 * time.Millisecond})
	sc.pass(tickInterval)
	end := runner.End{Number: 1, Task: st.Request.Task, Attempt: st.Request.Attempt, Reason: runner.Succeeded}
	sc.reply("w1", runner.Status{Ended: runner.EndPage{Ends: []runner.End{end}}})
	sc.now = sc.now.Add(time.Millisecond)
	sc.fail("w1", runner.ErrOutcomeUnknown)
	sc.handle(domain.Unlisted{ID: "w1"})
	sc.effects = keepCommits(sc.effects)
	sc.commitAll()
	sc.pass(time.Second)
	for _, po := range effectsOf[domain.Poll](sc) {
		is.Equal(po.Request.Acked, int64(0))
	}
}

func keepCommits(efs []domain.Effect) []domain.Effect {
	var kept []domain.Effect
	for _, ef := range efs {
		if cm, ok := ef.(domain.Commit); ok {
			kept = append(kept, cm)
		}
	}
	return kept
}

// TestRestartAfterTakeoverCarriesOutFormerStart has a start of the former term arrive
// at a worker that has restarted in the present one, which replies once and is cut off.
// It guards against a successor that takes the lease of that start, which only the
// worker limits, to have ended with those of its predecessor.
func TestRestartAfterTakeoverCarriesOutFormerStart(t *testing.T) {
	eachFormerLife(t, func(sim *simulation) {
		sim.run(10 * time.Second)
		arrival := sim.now.Add(6*time.Second + sim.upTo(5*time.Second))
		sim.transit.heldUntil["w00"] = arrival
		sim.submitTo(30 * time.Second)
		sim.run(200 * time.Millisecond)
		sim.leader.dead = true
		delete(sim.transit.heldUntil, "w00")
		sim.run(domain.LeaderLeaseTime)
		sim.unreachable["w00"] = true // so that the call is not refused for the new token
		sim.elect()
		sim.run(arrival.Sub(sim.now) - crashDowntime - 100*time.Millisecond)
		sim.transit.crash("w00", crashDowntime, sim.upTo(shortEntryLag))
		sim.run(arrival.Sub(sim.now) + time.Millisecond)
		delete(sim.unreachable, "w00")
		sim.run(700 * time.Millisecond)
		sim.unreachable["w00"] = true
		sim.run(20 * time.Second)
	})
}

// TestStartWithoutReplyBeginsAfterLongCrash has a start arrive at the next incarnation of
// a worker that is down for longer than a lease lasts. It guards against a second run of
// the task, which the scheduler takes for ended although the start can still arrive.
func TestStartWithoutReplyBeginsAfterLongCrash(t *testing.T) {
	eachFormerLife(t, func(sim *simulation) {
		sim.run(10 * time.Second)
		sim.transit.crash("w00", 7*time.Second+sim.upTo(3*time.Second), sim.upTo(shortEntryLag))
		sim.run(100 * time.Millisecond)
		sim.submitTo(20 * time.Second)
		sim.run(30 * time.Second)
	})
}

// TestLateStartEndsBeforeLateAcknowledgement has a start and a poll of before a crash arrive
// after it, while the worker is cut off: the start, whose task succeeds, and then the poll,
// which acknowledges ends of the former incarnation. It guards against a success that is
// forgotten unread, and its task run again.
func TestLateStartEndsBeforeLateAcknowledgement(t *testing.T) {
	eachFormerLife(t, func(sim *simulation) {
		sim.keepBusy()
		jb, pl := oneStepJob("many", 1, 16, time.Second)
		sim.submit(jb, pl)
		for sim.fleet.Running("many") == 0 {
			sim.run(time.Millisecond)
		}
		sim.run(time.Second + sim.upTo(100*time.Millisecond)) // until the ends are acknowledged
		began := sim.now
		sim.transit.heldUntil["w00"] = began.Add(8 * time.Second) // a poll
		sim.run(2*time.Second + sim.upTo(500*time.Millisecond))
		sim.transit.heldUntil["w00"] = began.Add(5 * time.Second) // a start
		sim.submitTo(time.Second)
		sim.run(500 * time.Millisecond)
		delete(sim.transit.heldUntil, "w00")
		sim.unreachable["w00"] = true
		sim.transit.crash("w00", crashDowntime, sim.upTo(shortEntryLag))
		sim.run(began.Add(8*time.Second + 10*time.Millisecond).Sub(sim.now))
		delete(sim.unreachable, "w00")
		sim.run(20 * time.Second)
	})
}

// TestStartIsRepeatedAfterItsEnd loses the reply to a start, whose task succeeds before the
// start is made again, and restarts the worker just then. It guards against a second call
// although a poll has shown the outcome of the first.
func TestStartIsRepeatedAfterItsEnd(t *testing.T) {
	eachFormerLife(t, func(sim *simulation) {
		sim.keepBusy()
		sim.submitTo(50 * time.Millisecond)
		sim.transit.lost = 1
		for sim.fleet.Running("j") == 0 {
			sim.run(time.Millisecond)
		}
		sim.transit.lost = 0
		sim.run(repeatDelay - 20*time.Millisecond)
		sim.transit.crash("w00", 100*time.Millisecond, sim.upTo(shortEntryLag))
		sim.run(20 * time.Second)
	})
}

// TestReplyThatWaitsHidesLateLease has a start arrive 11.9 s after it was sent at a worker
// that has just restarted, and its reply to a poll wait for a second in the scheduler. It
// guards against an estimate of the worker's start that is late by that second, by which
// no order of before can have been carried out since.
func TestReplyThatWaitsHidesLateLease(t *testing.T) {
	is := is.New(t)
	sc := newScriptedCore(domain.Config{}, "w1", "w2")
	sc.pass(30 * time.Second) // so that the leases of earlier terms have expired
	sc.reply("w1", runner.Status{})
	sc.reply("w2", runner.Status{})
	st := sc.startOne(is)
	sent := sc.now
	sc.handle(domain.Started{Call: st, Err: runner.ErrOutcomeUnknown})
	wk := st.Worker
	wk.Born = 7
	sc.handle(domain.Listed{Worker: wk})
	sc.fail(wk.ID, runner.ErrOutcomeUnknown)
	sc.pass(time.Second)
	sc.commitAll()
	sc.pass(11 * time.Second)
	po := domain.Poll{Worker: wk, Sent: sc.now, Request: runner.PollRequest{Token: sc.lastToken(wk.ID)}}
	sc.pass(time.Second)
	run := runner.Run{Task: st.Request.Task, Attempt: st.Request.Attempt}
	sc.handle(domain.Polled{Call: po, Status: runner.Status{Born: 7, Clock: 200 * time.Millisecond, Running: []runner.Run{run}}})
	for sc.now.Sub(sent) < 21900*time.Millisecond {
		sc.pass(100 * time.Millisecond)
		sc.fail(wk.ID, runner.ErrOutcomeUnknown)
		sc.commitAll()
	}
	is.Equal(len(effectsOf[domain.Start](sc)), 1)
}

// TestLateReplyOfReplacedWorker has a worker that is replaced at its address, by one whose
// clock is behind, reply late. It guards against a reply that was sent for before the new
// worker replied, and ends all that runs there.
func TestLateReplyOfReplacedWorker(t *testing.T) {
	is := is.New(t)
	sc := newScriptedCore(domain.Config{}, "w1")
	former := scriptedWorker("w0")
	former.Address, former.Service, former.Born = scriptedWorker("w1").Address, "other", 50
	sc.handle(domain.Listed{Worker: former})
	po := domain.Poll{Worker: former, Sent: sc.now, Request: runner.PollRequest{Token: 1}}
	sc.pass(time.Second)
	sc.reply("w1", runner.Status{})
	st := sc.startOne(is)
	sc.handle(domain.Started{Call: st, Clock: time.Minute})
	sc.handle(domain.Polled{Call: po, Status: runner.Status{Born: 50, Clock: time.Second}})
	sc.pass(tickInterval)
	for _, ld := range effectsOf[domain.LogDecision](sc) {
		is.True(ld.Decision != "lost")
	}
}

// TestUnrecordedRunOccupiesItsWorker has a worker list a run of a cancelled job that no
// record names. It guards against a start above the worker's capacity while that run is
// being stopped.
func TestUnrecordedRunOccupiesItsWorker(t *testing.T) {
	is := is.New(t)
	sc := newScriptedCore(domain.Config{}, "w1")
	jb, _ := oneStepJob("j", 1, 1, time.Minute)
	jb.Steps[0].Needs = batch.Resources{MilliCPU: 8000, MemoryMB: 8000, Accelerators: 8}
	sc.handle(domain.Accepted{Job: jb})
	sc.handle(domain.CancelRequested{ID: "j"})
	run := runner.Run{Task: batch.TaskID{Job: "j"}, Attempt: 1}
	sc.reply("w1", runner.Status{Running: []runner.Run{run}})
	other, _ := oneStepJob("other", 1, 1, time.Minute)
	other.Steps[0].Needs = jb.Steps[0].Needs
	sc.handle(domain.Accepted{Job: other})
	sc.pass(time.Second)
	sc.commitAll()
	is.Equal(len(effectsOf[domain.Stop](sc)) > 0, true)
	is.Equal(len(effectsOf[domain.Start](sc)), 0)
	end := runner.End{Number: 1, Task: run.Task, Attempt: run.Attempt, Reason: runner.Stopped}
	sc.reply("w1", runner.Status{Ended: runner.EndPage{Ends: []runner.End{end}}})
	sc.pass(time.Second)
	sc.commitAll()
	is.Equal(len(effectsOf[domain.Start](sc)), 1)
}
