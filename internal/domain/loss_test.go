package domain_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadawharf/cicadawharf/internal/domain"
	"github.com/cicadawharf/cicadawharf/internal/runner"
)

// TestLostRunsTellTheirCause ends a worker in each way that loses its runs. It
// guards against a crash that the log does not tell from a departure, or from a
// worker that is only silent.
func TestLostRunsTellTheirCause(t *testing.T) {
	const lag = 50 * time.Millisecond
	for _, tt := range []struct {
		cause domain.LossCause
		lose  func(sim *simulation)
	}{
		{domain.Restarted, func(sim *simulation) { sim.addWorker("w00", 8) }},
		{domain.Replaced, func(sim *simulation) { sim.replaceWorker("w00", "n00", lag) }},
		{domain.Departed, func(sim *simulation) {
			sim.announceDeparture("w00")
			sim.run(2 * lag)
			sim.replaceWorker("w00", "n00", lag)
		}},
		{domain.ShutDown, func(sim *simulation) {
			sim.fleet.Remove(sim.now, "w00")
			sim.notify(domain.WorkerDown{Worker: "w00"})
		}},
		{domain.LeaseExpired, func(sim *simulation) { sim.unreachable["w00"] = true }},
	} {
		t.Run(tt.cause.String(), func(t *testing.T) {
			is := is.New(t)
			sim := startSimulation(1)
			jb, pl := oneStepJob("j", 1, 2, time.Minute)
			sim.submit(jb, pl)
			sim.run(time.Second)
			tt.lose(sim)
			sim.run(10 * time.Second)
			var causes []domain.LossCause
			for _, ld := range sim.decisions {
				if ld.Decision == "lost" && ld.Attempt == 1 {
					causes = append(causes, ld.Cause)
					is.Equal(ld.Beside, 1)
					is.True(ld.MaxAge >= ld.MinAge && ld.MaxAge > 0)
				}
			}
			is.Equal(causes, []domain.LossCause{tt.cause, tt.cause})
		})
	}
}

// announceDeparture makes the platform list a worker as draining, without a time
// by which it goes away.
func (sim *simulation) announceDeparture(id string) {
	wk := sim.workers[id]
	wk.Draining = true
	sim.workers[id] = wk
	sim.notify(domain.Listed{Worker: wk})
}

// calmLimit is how long work may stand still after the last trouble.
const calmLimit = calmTime + maxHold

// TestWorkerThatRestartsAndVanishesHoldsNoWork lets a worker come back, as its entry
// says, and go away for good before it has replied to a call. It guards against
// counting the leases of an attempt whose start was confirmed from the restart.
func TestWorkerThatRestartsAndVanishesHoldsNoWork(t *testing.T) {
	is := is.New(t)
	sim := startSimulation(3)
	sim.run(10 * time.Second)
	sim.submitTasks("j", 1, 1)
	sim.run(5 * time.Second)
	id := sim.workerWith("j")
	sim.unreachable[id] = true
	sim.addWorker(id, 8)
	sim.run(500 * time.Millisecond)
	sim.vanish(id)
	sim.run(calmLimit)
	is.Equal(sim.fleet.Running("j"), 1)
}

// TestLateStartOnRestartedWorkerIsWaitedFor gives no reply to a start and restarts the
// worker, where the start arrives late. It guards against a second run beside it.
func TestLateStartOnRestartedWorkerIsWaitedFor(t *testing.T) {
	for _, repeated := range []bool{false, true} {
		is := is.New(t)
		sc := newScriptedCore(domain.Config{}, "w1", "w2")
		jb, _ := oneStepJob("j", 1, 1, time.Minute)
		sc.handle(domain.Accepted{Job: jb})
		sc.pass(tickInterval)
		sc.commitAll()
		starts := effectsOf[domain.Start](sc)
		is.Equal(len(starts), 1)
		var err error = runner.ErrOutcomeUnknown
		if repeated {
			err = nil // the second call got a reply
		}
		sc.handle(domain.Started{Call: starts[0], Err: err, Repeated: repeated})
		wk := starts[0].Worker
		wk.Born = 7
		sc.handle(domain.Listed{Worker: wk})
		sc.fail(wk.ID, runner.ErrOutcomeUnknown)
		sc.pass(20 * time.Second)
		sc.commitAll()
		is.Equal(len(effectsOf[domain.Start](sc)), 1)
		sc.pass(5 * time.Second)
		sc.reply("w2", runner.Status{})
		sc.commitAll()
		is.Equal(len(effectsOf[domain.Start](sc)), 2)
	}
}

// TestTakeoversHoldNoWorkOfVanishedWorkers lets a worker go away for good shortly
// before the scheduler is killed, once or twice in a row. It guards against counting
// leases of the former term for longer than it can have granted them.
func TestTakeoversHoldNoWorkOfVanishedWorkers(t *testing.T) {
	for _, takeovers := range []int{1, 2} {
		is := is.New(t)
		sim := startSimulation(3)
		sim.run(10 * time.Second)
		sim.submitTasks("j", 1, 1)
		sim.run(5 * time.Second)
		sim.vanish(sim.workerWith("j"))
		killed := sim.now
		for range takeovers {
			sim.run(200 * time.Millisecond)
			killed = sim.now
			sim.leader.dead = true
			sim.run(domain.LeaderLeaseTime)
			sim.elect()
		}
		sim.run(calmLimit - sim.now.Sub(killed))
		is.Equal(sim.fleet.Running("j"), 1)
	}
}

// TestLeasesOutlastOutages has the store not respond for some seconds while work runs,
// with the same scheduler before and after and with a new one. It guards against work
// that is lost in outages that the platform announces.
func TestLeasesOutlastOutages(t *testing.T) {
	for _, expires := range []bool{false, true} {
		is := is.New(t)
		sim := startSimulation(3)
		sim.submitTasks("j", 4, 1)
		sim.run(10 * time.Second)
		const outage = 5 * time.Second
		sim.awayUntil = sim.now.Add(outage)
		if expires {
			sim.leader.partitioned = true
		}
		sim.run(outage)
		if expires {
			sim.leader.dead = true
			sim.run(300 * time.Millisecond)
			sim.elect()
		}
		sim.run(5 * time.Second)
		is.Equal(sim.fleet.Starts, 4)
	}
}

// TestVanishedWorkersAreNoCrashesToWaitFor has one worker after another go away for
// good under a task. It guards against a task that waits for signs of life of workers
// that the platform no longer lists.
func TestVanishedWorkersAreNoCrashesToWaitFor(t *testing.T) {
	is := is.New(t)
	sim := startSimulation(8)
	sim.run(10 * time.Second)
	sim.submitTasks("j", 1, 1)
	sim.run(time.Second)
	for range 6 {
		sim.vanish(sim.workerWith("j"))
		sim.run(calmLimit)
		is.Equal(sim.fleet.Running("j"), 1)
	}
}

// TestIdleTimeOfWorkerHoldsNoWork starts work on a worker that was idle for an hour,
// which then vanishes. It guards against counting the drift of its clock since its last
// reading, long ago, although a later reply has read the clock again.
func TestIdleTimeOfWorkerHoldsNoWork(t *testing.T) {
	is := is.New(t)
	sim := startSimulation(3)
	sim.run(time.Hour)
	sim.submitTasks("j", 1, 1)
	sim.run(5 * time.Second)
	sim.vanish(sim.workerWith("j"))
	sim.run(calmLimit)
	is.Equal(sim.fleet.Running("j"), 1)
}
