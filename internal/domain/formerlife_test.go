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

const (
	formerLifeSeeds = 40
	// crashDowntime is how long a worker that crashes is down in these tests.
	crashDowntime = 600 * time.Millisecond
	// shortEntryLag is the time until the entry of a worker shows the restart, if that
	// is before any reply of the new incarnation.
	shortEntryLag = 50 * time.Millisecond
)

// eachFormerLife plays a scenario with two workers for each seed and reports what broke
// a rule. The wait of a scheduler for the leases of its predecessor is that of hosts.
func eachFormerLife(t *testing.T, play func(sim *simulation)) { formerLives(t, formerLifeSeeds, play) }

// formerLives does the same for some seeds.
func formerLives(t *testing.T, seeds uint64, play func(sim *simulation)) {
	for seed := range seeds {
		sim := newSimulation(seed)
		sim.formerUnbounded = true
		sim.start(2)
		sim.carryCallsOver()
		play(sim)
		if violations := sim.check(); len(violations) > 0 {
			t.Errorf("seed %d: %v", seed, violations)
		}
	}
}

// keepBusy has both workers run a task that lasts, so that they are polled and granted
// leases all the time.
func (sim *simulation) keepBusy() {
	jb, pl := oneStepJob("keep", 1, 16, time.Hour)
	jb.Steps[0].Needs = batch.Resources{MilliCPU: 500, MemoryMB: 100}
	sim.submit(jb, pl)
	sim.run(20 * time.Second)
}

// submitTo submits job j, whose task goes to w00.
func (sim *simulation) submitTo(work time.Duration) {
	jb, pl := oneStepJob("j", 1, 1, work)
	jb.Steps[0].DataRack = "r0"
	sim.submit(jb, pl)
}

// TestLeaseGrantedBeforeCrashArrivesAfterIt has a poll arrive after the worker has
// restarted and replied, and cuts the worker off. It guards against a second run of a
// task that the former incarnation's lease keeps running.
func TestLeaseGrantedBeforeCrashArrivesAfterIt(t *testing.T) {
	eachFormerLife(t, func(sim *simulation) {
		sim.keepBusy()
		arrival := sim.now.Add(9 * time.Second)
		sim.transit.heldUntil["w00"] = arrival
		sim.run(2 * time.Second)
		delete(sim.transit.heldUntil, "w00")
		sim.transit.crash("w00", crashDowntime, sim.upTo(shortEntryLag))
		sim.run(5 * time.Second)
		sim.submitTo(20 * time.Second)
		sim.run(arrival.Sub(sim.now) + sim.upTo(200*time.Millisecond))
		sim.unreachable["w00"] = true
		sim.run(20 * time.Second)
	})
}

// startDuringCrash crashes w00 and sends a start there, which the next incarnation
// confirms before its entry shows the restart.
func (sim *simulation) startDuringCrash(entryLag time.Duration) {
	sim.run(10 * time.Second)
	sim.transit.crash("w00", crashDowntime, entryLag)
	sim.run(crashDowntime - 150*time.Millisecond) // the start isn't sent twice
	sim.submitTo(15 * time.Second)
	for sim.fleet.Running("j") == 0 {
		sim.run(time.Millisecond)
	}
}

// TestStartConfirmedByNextIncarnation cuts a worker off once its entry shows that it has
// restarted, before it replies to a poll. It guards against a second run of a task whose
// start by the former incarnation's clock the new one has confirmed.
func TestStartConfirmedByNextIncarnation(t *testing.T) {
	eachFormerLife(t, func(sim *simulation) {
		sim.startDuringCrash(200*time.Millisecond + sim.upTo(200*time.Millisecond))
		sim.run(450 * time.Millisecond)
		sim.unreachable["w00"] = true
		sim.run(25 * time.Second)
	})
}

// TestTakeoverBetweenCrashAndCut kills the scheduler after such a start, whose call
// arrives at once or late, and cuts the worker off before its successor gets a reply. It
// guards against a successor that knows nothing of leases by the former clock.
func TestTakeoverBetweenCrashAndCut(t *testing.T) {
	for _, late := range []bool{false, true} {
		t.Run(fmt.Sprintf("late=%v", late), func(t *testing.T) {
			eachFormerLife(t, func(sim *simulation) { playTakeover(sim, late) })
		})
	}
}

// TestTakeoverBetweenCrashAndCutAfterShortWait does the same with the shorter wait of a
// successor whose predecessor bounds its leases, which no host says of itself yet.
func TestTakeoverBetweenCrashAndCutAfterShortWait(t *testing.T) {
	eachFormerLife(t, func(sim *simulation) {
		sim.formerUnbounded = false
		playTakeover(sim, false)
	})
}

func playTakeover(sim *simulation, late bool) {
	sim.run(10 * time.Second)
	sim.transit.crash("w00", crashDowntime, sim.upTo(shortEntryLag))
	sim.run(crashDowntime / 2)
	if late {
		sim.transit.heldUntil["w00"] = sim.now.Add(4*time.Second + sim.upTo(4*time.Second))
	}
	sim.submitTo(15 * time.Second)
	sim.run(crashDowntime/2 + shortEntryLag/2)
	sim.leader.dead = true
	delete(sim.transit.heldUntil, "w00")
	sim.after(sim.upTo(domain.LeaderLeaseTime+500*time.Millisecond), func() { sim.unreachable["w00"] = true })
	sim.run(domain.LeaderLeaseTime)
	sim.elect()
	sim.run(30 * time.Second)
}

// TestEndsAcknowledgedByFormerNumbers has a poll of before a crash, which acknowledges
// ends of the former incarnation, arrive when the new one has an end of a like number
// and is cut off. It guards against an end that is lost, and its task run again.
func TestEndsAcknowledgedByFormerNumbers(t *testing.T) {
	eachFormerLife(t, func(sim *simulation) {
		jb, pl := oneStepJob("many", 1, 16, time.Second)
		sim.submit(jb, pl)
		sim.run(5 * time.Second)
		sim.keepBusy()
		arrival := sim.now.Add(6 * time.Second)
		sim.transit.heldUntil["w00"] = arrival
		sim.run(2 * time.Second)
		delete(sim.transit.heldUntil, "w00")
		sim.transit.crash("w00", crashDowntime, sim.upTo(shortEntryLag))
		sim.run(time.Second)
		sim.submitTo(time.Second)
		for !sim.fleet.Runs("w00", "j") {
			sim.run(time.Millisecond)
		}
		sim.run(500 * time.Millisecond)
		sim.unreachable["w00"] = true
		sim.run(arrival.Sub(sim.now) + 10*time.Millisecond)
		delete(sim.unreachable, "w00")
		sim.run(10 * time.Second)
	})
}

// TestStartRefusedByTokenIsNoCrash sends a start to a worker that has just restarted and
// refuses it for its token. It guards against counting the restart as a crash under a task
// that has not run, and giving its job up after some of these.
func TestStartRefusedByTokenIsNoCrash(t *testing.T) {
	is := is.New(t)
	sc := newScriptedCore(domain.Config{}, "w1")
	jb, _ := oneStepJob("j", 1, 1, time.Minute)
	sc.handle(domain.Accepted{Job: jb})
	sc.pass(tickInterval)
	sc.commitAll()
	starts := effectsOf[domain.Start](sc)
	is.Equal(len(starts), 1)
	wk := scriptedWorker("w1")
	wk.Born = 7
	sc.handle(domain.Listed{Worker: wk})
	sc.pass(tickInterval)
	sc.commitAll()
	sc.handle(domain.Started{Call: starts[0], Err: runner.ErrFenced})
	sc.pass(time.Second)
	sc.commitAll()
	polls := effectsOf[domain.Poll](sc)
	sc.handle(domain.Polled{Call: polls[len(polls)-1], Status: runner.Status{Clock: time.Second, Born: 7}})
	lost := false
	for _, ld := range effectsOf[domain.LogDecision](sc) {
		is.True(ld.Decision != "crashed")
		lost = lost || ld.Decision == "lost"
	}
	is.True(lost)
}
