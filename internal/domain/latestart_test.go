package domain_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadawharf/cicadawharf/internal/batch"
	"github.com/cicadawharf/cicadawharf/internal/domain"
	"github.com/cicadawharf/cicadawharf/internal/launch"
	"github.com/cicadawharf/cicadawharf/internal/runner"
)

// lateStartSeeds is the number of seeds of each form.
const lateStartSeeds = 8

// lateStart describes a start without a reply whose worker restarts behind a cut before a
// copy of the start arrives there.
type lateStart struct {
	lateness time.Duration // of the copies
	held     time.Duration // for how long starts are late
	cutAfter time.Duration
	downtime time.Duration
	cut      time.Duration
	kill     time.Duration // of the leader, after the start; zero for none
}

// play plays the trouble on the worker that is told to run job j.
func (ls lateStart) play(sim *simulation) {
	sim.run(10 * time.Second)
	began := sim.now
	sim.transit.heldUntil["w00"] = began.Add(ls.lateness)
	jb, pl := oneStepJob("j", 1, 1, 20*time.Second)
	sim.submit(jb, pl)
	sim.run(ls.held)
	delete(sim.transit.heldUntil, "w00")
	if ls.kill > 0 {
		sim.after(max(0, ls.kill-ls.held), func() {
			sim.leader.dead = true
			sim.after(domain.LeaderLeaseTime, func() { sim.elect() })
		})
	}
	sim.run(ls.cutAfter - ls.held)
	sim.unreachable["w00"] = true
	sim.transit.crash("w00", ls.downtime, shortEntryLag)
	sim.run(ls.cut)
	delete(sim.unreachable, "w00")
	sim.run(30 * time.Second)
}

// TestLateStartOfNextIncarnationRunsAlone guards against an attempt elsewhere beside a
// start without a reply, which the next incarnation of its worker carries out behind a
// cut, after the former one had shown that it did not run it.
func TestLateStartOfNextIncarnationRunsAlone(t *testing.T) {
	for _, lateness := range []time.Duration{5500 * time.Millisecond, 9 * time.Second, 11 * time.Second} {
		for _, kill := range []time.Duration{0, 700 * time.Millisecond, 1500 * time.Millisecond, 2900 * time.Millisecond, 3500 * time.Millisecond} {
			for _, cut := range []time.Duration{5 * time.Second, 16 * time.Second} {
				t.Run(fmt.Sprintf("late=%v,kill=%v,cut=%v", lateness, kill, cut), func(t *testing.T) {
					t.Parallel()
					formerLives(t, lateStartSeeds, lateStart{
						lateness: lateness, held: 500 * time.Millisecond, cutAfter: 3 * time.Second, downtime: 2 * time.Second, cut: cut, kill: kill,
					}.play)
				})
			}
		}
	}
}

// loseStart has the only task of job j started on one of two workers, without a reply, and
// the worker say that it does not run it.
func loseStart(t *testing.T) (*scriptedCore, domain.Start) {
	is := is.New(t)
	sc := newScriptedCore(domain.Config{}, "w1", "w2")
	st := sc.startOne(is)
	sc.repeat(st)
	sc.pass(time.Second)
	sc.handle(domain.Started{Call: st, Err: runner.ErrOutcomeUnknown, Repeated: true})
	return sc, st
}

// repeat reports that a start has had no reply, and confirms that the store names it as
// repeated.
func (sc *scriptedCore) repeat(st domain.Start) {
	sc.handle(domain.Unanswered{Call: st})
	sc.pass(tickInterval)
	sc.commitAll()
}

// TestLostStartIsMadeAgain guards against an attempt that is given up, and stopped, since
// the reply to its start was lost, although its worker is in touch.
func TestLostStartIsMadeAgain(t *testing.T) {
	is := is.New(t)
	sc, st := loseStart(t)
	sc.reply(st.Worker.ID, runner.Status{})
	starts := effectsOf[domain.Start](sc)
	is.Equal(len(starts), 2)
	is.Equal(starts[1].Worker.ID, st.Worker.ID)
	is.Equal(starts[1].Request.Attempt, st.Request.Attempt)
	is.Equal(len(effectsOf[domain.Stop](sc)), 0)
}

// TestLostStartIsNotMadeAgainWhereWorkEnds guards against a start that is made again on a
// worker that leaves or is to be emptied, and against work that then waits for a worker
// that can't take it.
func TestLostStartIsNotMadeAgainWhereWorkEnds(t *testing.T) {
	for name, change := range map[string]func(sc *scriptedCore, wk runner.Worker){
		"draining": func(sc *scriptedCore, wk runner.Worker) {
			wk.Draining = true
			sc.handle(domain.Listed{Worker: wk})
		},
		"evacuated": func(sc *scriptedCore, wk runner.Worker) {
			wk.Zone = "z0"
			sc.handle(domain.Listed{Worker: wk})
			sc.handle(domain.EvacuationSet{Zones: []string{"z0"}})
		},
		"maintenance": func(sc *scriptedCore, wk runner.Worker) {
			sc.handle(domain.DrainRequested{By: map[string]time.Time{wk.ID: sc.now.Add(time.Hour)}})
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sc, st := loseStart(t)
			change(sc, st.Worker)
			lost := sc.now
			sc.reply(st.Worker.ID, runner.Status{})
			stops := effectsOf[domain.Stop](sc)
			is.Equal(len(stops), 1)
			sc.handle(domain.Stopped{Call: stops[0]})
			for sc.startsOn("w1") == 0 || sc.startsOn("w2") == 0 {
				sc.pass(tickInterval)
				sc.reply(st.Worker.ID, runner.Status{})
				sc.commitAll()
				is.True(sc.now.Sub(lost) < 6*time.Second)
			}
			is.Equal(len(effectsOf[domain.Start](sc)), 2)
		})
	}
}

// TestLostStartOnMuteWorkerGoesElsewhere guards against work that stands still on a worker
// that answers polls and no starts: in calm nothing may for 3 s, 4 s after the last trouble,
// which is a start without a reply.
func TestLostStartOnMuteWorkerGoesElsewhere(t *testing.T) {
	is := is.New(t)
	sc, st := loseStart(t)
	other := map[string]string{"w1": "w2", "w2": "w1"}[st.Worker.ID]
	lost := sc.now.Add(-time.Second)
	for answered := 1; sc.startsOn(other) == 0; {
		is.True(sc.startsOn(st.Worker.ID) < 12)
		sc.reply(st.Worker.ID, runner.Status{})
		for _, sp := range effectsOf[domain.Stop](sc) {
			sc.handle(domain.Stopped{Call: sp})
		}
		sent := sc.now
		for range 10 { // a call times out after a second
			is.True(sc.startsOn(other) > 0 || sc.now.Sub(lost) < 7*time.Second)
			sc.pass(tickInterval)
			sc.commitAll()
		}
		if starts := effectsOf[domain.Start](sc); len(starts) > answered && starts[answered].Worker.ID == st.Worker.ID {
			sc.handle(domain.Started{Call: starts[answered], Err: runner.ErrOutcomeUnknown, Repeated: true})
			answered++
			lost = sent
		}
	}
}

// TestLostStartOfGangMemberIsMadeAgainThere has the start of a gang member get no reply
// until its attempt is given up. It guards against a next attempt that has another worker
// run this task, on whose former worker a copy may still arrive.
func TestLostStartOfGangMemberIsMadeAgainThere(t *testing.T) {
	is := is.New(t)
	sc := newScriptedCore(domain.Config{}, "w1", "w2", "w3")
	jb, _ := oneStepJob("j", 1, 2, time.Minute)
	jb.Steps[0].Gang, jb.Steps[0].Needs.Accelerators = true, 8
	sc.handle(domain.Accepted{Job: jb})
	sc.pass(tickInterval)
	sc.commitAll()
	starts := effectsOf[domain.Start](sc)
	is.Equal(len(starts), 2)
	lost, kept := starts[1], starts[0]
	sc.handle(domain.Started{Call: kept})
	sc.repeat(lost)
	for range 2 {
		sc.pass(time.Second)
		sc.handle(domain.Started{Call: lost, Err: runner.ErrOutcomeUnknown, Repeated: true})
		sc.reply(lost.Worker.ID, runner.Status{})
	}
	is.Equal(len(effectsOf[domain.Start](sc)), 3) // made again once
	stops := effectsOf[domain.Stop](sc)
	is.Equal(len(stops), 2)
	for _, sp := range stops {
		sc.handle(domain.Stopped{Call: sp})
	}
	end := runner.End{Number: 1, Task: kept.Request.Task, Attempt: 1, Reason: runner.Stopped}
	sc.reply(kept.Worker.ID, runner.Status{Ended: runner.EndPage{Ends: []runner.End{end}}})
	sc.reply(lost.Worker.ID, runner.Status{})
	sc.pass(time.Second)
	sc.commitAll()
	for _, st := range effectsOf[domain.Start](sc)[3:] {
		is.Equal(st.Request.Attempt, 2)
		is.True(st.Request.Task != lost.Request.Task || st.Worker.ID == lost.Worker.ID)
	}
	is.Equal(len(effectsOf[domain.Start](sc)), 5)
}

// TestRepeatedStartMeetsItsEnd has a start that is made again refused, since its first copy
// has run and failed. It guards against a next attempt, or a second count, without a look
// at that end, and against blaming the worker for a refusal.
func TestRepeatedStartMeetsItsEnd(t *testing.T) {
	is := is.New(t)
	sc, st := loseStart(t)
	sc.reply(st.Worker.ID, runner.Status{})
	sc.handle(domain.Started{Call: effectsOf[domain.Start](sc)[1], Err: runner.ErrStaleAttempt})
	sc.pass(tickInterval)
	sc.commitAll()
	is.Equal(len(effectsOf[domain.Start](sc)), 2)
	end := runner.End{Number: 1, Task: st.Request.Task, Attempt: 1, Reason: runner.Succeeded}
	sc.reply(st.Worker.ID, runner.Status{Ended: runner.EndPage{Ends: []runner.End{end}}})
	sc.pass(tickInterval)
	is.True(sc.lastUnit("j").Done)
	is.Equal(len(effectsOf[domain.Start](sc)), 2)
}

// TestSuccessWaitsForLateCopies guards against a success that is acknowledged at once
// although a copy of its start may arrive at the worker's next incarnation, and against an
// acknowledgement that waits for longer than a copy can be late.
func TestSuccessWaitsForLateCopies(t *testing.T) {
	for _, repeated := range []bool{false, true} {
		t.Run(fmt.Sprintf("repeated=%v", repeated), func(t *testing.T) {
			is := is.New(t)
			sc := newScriptedCore(domain.Config{}, "w1", "w2")
			st := sc.startOne(is)
			if repeated {
				sc.repeat(st)
			}
			sc.handle(domain.Started{Call: st, Repeated: repeated})
			returned := sc.now
			end := runner.EndPage{Ends: []runner.End{{Number: 1, Task: st.Request.Task, Attempt: 1, Reason: runner.Succeeded}}}
			sc.reply(st.Worker.ID, runner.Status{Ended: end})
			sc.pass(time.Second)
			is.True(sc.lastUnit("j").Done) // callers don't wait for the acknowledgement
			sc.commitAll()
			acked := func() bool {
				sc.effects = nil
				sc.reply(st.Worker.ID, runner.Status{Ended: end})
				sc.pass(500 * time.Millisecond)
				for _, po := range effectsOf[domain.Poll](sc) {
					if po.Request.Acked == 1 {
						return true
					}
				}
				return false
			}
			is.Equal(acked(), !repeated)
			if !repeated {
				return
			}
			for sc.now.Sub(returned) < launch.MaxDelay-700*time.Millisecond {
				is.True(!acked())
			}
			sc.pass(time.Second)
			is.True(acked())
		})
	}
}

// TestTakeoverStartsAgainWhatIsNotListed guards against a successor that begins the next
// attempt on another worker although a start of its predecessor may still be on its way.
func TestTakeoverStartsAgainWhatIsNotListed(t *testing.T) {
	is := is.New(t)
	jb, _ := oneStepJob("j", 1, 1, time.Minute)
	wk, other := scriptedWorker("w2"), scriptedWorker("w1")
	rc := batch.Record{ID: "j", State: batch.Running, Units: []batch.UnitRecord{{Attempt: 3, Live: true, Workers: []string{"w2"}}}}
	sc := &scriptedCore{now: startTime}
	sc.core = domain.New(sc.now, domain.Config{
		Token: 1, Policy: newSimulation(1).policy, Jobs: []batch.Job{jb}, Records: []batch.Record{rc}, Workers: []runner.Worker{wk, other},
	})
	sc.handle(domain.Ticked{})
	sc.reply("w1", runner.Status{})
	sc.reply("w2", runner.Status{})
	is.Equal(len(effectsOf[domain.Start](sc)), 0) // the store doesn't name the repetition yet
	sc.pass(tickInterval)
	sc.commitAll()
	sc.reply("w2", runner.Status{})
	starts := effectsOf[domain.Start](sc)
	is.Equal(len(starts), 1)
	is.Equal(starts[0].Worker.ID, "w2")
	is.Equal(starts[0].Request.Attempt, 3)
	sc.handle(domain.Started{Call: starts[0], Err: runner.ErrStaleAttempt}) // the predecessor had stopped it
	sc.pass(tickInterval)
	sc.reply("w2", runner.Status{})
	sc.pass(time.Second)
	sc.commitAll()
	starts = effectsOf[domain.Start](sc)
	is.Equal(len(starts), 2)
	is.Equal(starts[1].Request.Attempt, 4)
}

// TestRefusedRepetitionEndsNoEarlierCopy has a start that is made again fail without having
// been sent. It guards against a next attempt on the same worker, which would run an earlier
// copy beside it, before the worker has confirmed the stop.
func TestRefusedRepetitionEndsNoEarlierCopy(t *testing.T) {
	for _, err := range []error{runner.ErrUnreachable, runner.ErrNoCapacity, runner.ErrRefused} {
		t.Run(err.Error(), func(t *testing.T) {
			is := is.New(t)
			sc, st := loseStart(t)
			sc.reply(st.Worker.ID, runner.Status{})
			sc.handle(domain.Started{Call: effectsOf[domain.Start](sc)[1], Err: err})
			sc.reply(st.Worker.ID, runner.Status{})
			sc.pass(time.Second)
			sc.commitAll()
			is.Equal(len(effectsOf[domain.Start](sc)), 2)
			stops := effectsOf[domain.Stop](sc)
			is.Equal(len(stops), 1)
			sc.handle(domain.Stopped{Call: stops[0]})
			sc.pass(tickInterval)
			sc.reply(st.Worker.ID, runner.Status{})
			for sc.startsOn("w1")+sc.startsOn("w2") == 2 && sc.now.Before(startTime.Add(20*time.Second)) {
				sc.pass(tickInterval)
				sc.reply(st.Worker.ID, runner.Status{})
				sc.commitAll()
			}
			is.Equal(len(effectsOf[domain.Start](sc)), 3)
		})
	}
}
