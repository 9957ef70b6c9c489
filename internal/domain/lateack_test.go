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

// lateAckSeeds is the number of seeds of each form.
const lateAckSeeds = 2

// repeatedEnd describes a start whose first copy is late. The second one runs the task, and
// the worker restarts behind a cut before the first one arrives.
type repeatedEnd struct {
	lateness time.Duration // of the first copy
	second   time.Duration // of the second copy, which has no reply then, either; zero if it is in time
	work     time.Duration
	fails    bool
	kill     time.Duration // of the leader, after the start; zero for none
	vacant   time.Duration // until it has a successor
}

const (
	// restartAfter is how long after the start of the task the worker is cut off, and
	// restartCut for how long.
	restartAfter = 6800 * time.Millisecond
	restartCut   = 5500 * time.Millisecond
)

// play plays the trouble on the worker that is told to run job j. Both workers have work
// all the while, so that they are polled.
func (re repeatedEnd) play(sim *simulation) {
	sim.keepBusy()
	sim.transit.lateStart["w00"] = sim.now.Add(re.lateness)
	jb, pl := oneStepJob("j", 1, 1, re.work)
	jb.Steps[0].DataRack = "r0"
	pl.fails = re.fails
	sim.submit(jb, pl)
	if re.second > 0 {
		sim.run(200 * time.Millisecond)
		sim.transit.lateStart["w00"] = sim.now.Add(re.second)
	}
	if re.kill > 0 {
		sim.after(re.kill, func() {
			sim.leader.dead = true
			sim.after(re.vacant, func() { sim.elect() })
		})
	}
	sim.run(restartAfter)
	sim.unreachable["w00"] = true
	sim.run(time.Second)
	sim.transit.crash("w00", time.Second, shortEntryLag)
	sim.run(restartCut - time.Second)
	delete(sim.unreachable, "w00")
	sim.run(30 * time.Second)
}

// TestLateCopyOfRepeatedStartRunsNothingAgain guards against an end that is acknowledged
// while a copy of its start may still arrive at the next incarnation of the worker, by the
// scheduler that sent it or by one that follows.
func TestLateCopyOfRepeatedStartRunsNothingAgain(t *testing.T) {
	eachRepeatedEnd(t, func(re repeatedEnd) bool { return !re.fails || re.second == 0 })
}

// TestLateCopiesOfFailedAttemptRunAlone does the same with attempts that fail after both copies
// of their start were late. It guards against a copy that runs beside a later attempt, which
// begins elsewhere 5 s after the last copy was sent.
func TestLateCopiesOfFailedAttemptRunAlone(t *testing.T) {
	eachRepeatedEnd(t, func(re repeatedEnd) bool { return re.fails && re.second > 0 })
}

// eachRepeatedEnd plays the forms that are selected.
func eachRepeatedEnd(t *testing.T, selects func(re repeatedEnd) bool) {
	for _, work := range []time.Duration{300 * time.Millisecond, 1500 * time.Millisecond} {
		for _, kill := range []time.Duration{0, 400 * time.Millisecond, 800 * time.Millisecond, 2 * time.Second, 4 * time.Second} {
			for _, vacant := range []time.Duration{domain.LeaderLeaseTime, 2500 * time.Millisecond} {
				if kill == 0 && vacant > domain.LeaderLeaseTime {
					continue
				}
				for _, second := range []time.Duration{0, 9 * time.Second} {
					for _, fails := range []bool{false, true} {
						re := repeatedEnd{lateness: 11 * time.Second, second: second, work: work, fails: fails, kill: kill, vacant: vacant}
						if !selects(re) {
							continue
						}
						t.Run(fmt.Sprintf("%+v", re), func(t *testing.T) {
							t.Parallel()
							formerLives(t, lateAckSeeds, re.play)
						})
					}
				}
			}
		}
	}
}

// firstAck returns how long after the present time the first poll acknowledges an end that a
// worker lists, or more than a limit.
func (sc *scriptedCore) firstAck(worker string, page runner.EndPage, limit time.Duration) time.Duration {
	began := sc.now
	sc.effects = nil
	for sc.now.Sub(began) <= limit {
		sc.reply(worker, runner.Status{Ended: page})
		sc.pass(tickInterval)
		sc.commitAll()
		for _, po := range effectsOf[domain.Poll](sc) {
			if po.Worker.ID == worker && po.Request.Acked > 0 {
				return sc.now.Sub(began)
			}
		}
	}
	return sc.now.Sub(began)
}

// TestSuccessorHoldsEndsOfRepeatedStarts has a successor find the end of a task, whose job has
// ended or not, and whose start its record names as repeated or not. It guards against an
// acknowledgement at once where a copy may arrive, and against a wait where none can.
func TestSuccessorHoldsEndsOfRepeatedStarts(t *testing.T) {
	for _, ended := range []bool{false, true} {
		for _, repeated := range []bool{false, true} {
			for _, reason := range []runner.EndReason{runner.Succeeded, runner.Failed, runner.Stopped} {
				t.Run(fmt.Sprintf("ended=%v,repeated=%v,%v", ended, repeated, reason), func(t *testing.T) {
					is := is.New(t)
					jb, _ := oneStepJob("j", 1, 1, time.Minute)
					ti := batch.TaskID{Job: "j"}
					rc := batch.Record{ID: "j", State: batch.Running, Units: []batch.UnitRecord{{Attempt: 1, Live: true, Workers: []string{"w1"}}}}
					if ended {
						rc.State, rc.Units = batch.Done, []batch.UnitRecord{{Attempt: 1, Done: true}}
					}
					if repeated {
						rc.RepeatedStarts = []batch.RepeatedStart{{Task: ti, Attempt: 1, Worker: "w1"}}
					}
					sc := &scriptedCore{now: startTime}
					sc.core = domain.New(sc.now, domain.Config{
						Token: 1, Policy: newSimulation(1).policy, Jobs: []batch.Job{jb}, Records: []batch.Record{rc}, Workers: []runner.Worker{scriptedWorker("w1")},
					})
					sc.handle(domain.Ticked{})
					page := runner.EndPage{Ends: []runner.End{{Number: 1, Task: ti, Attempt: 1, Reason: reason}}}
					waited := sc.firstAck("w1", page, 2*launch.MaxDelay)
					if repeated && reason != runner.Stopped {
						is.True(waited >= launch.MaxDelay)
					} else {
						is.True(waited < time.Second)
					}
				})
			}
		}
	}
}

// TestStartIsRepeatedOnceTheStoreNamesIt guards against a second copy of which a successor
// would know nothing, and against one after the start was answered, listed or stopped.
func TestStartIsRepeatedOnceTheStoreNamesIt(t *testing.T) {
	for name, change := range map[string]func(sc *scriptedCore, st domain.Start){
		"": nil,
		"answered": func(sc *scriptedCore, st domain.Start) {
			sc.handle(domain.Started{Call: st})
		},
		"listed": func(sc *scriptedCore, st domain.Start) {
			sc.reply("w1", runner.Status{Running: []runner.Run{{Task: st.Request.Task, Attempt: 1}}})
		},
		"cancelled": func(sc *scriptedCore, _ domain.Start) {
			sc.handle(domain.CancelRequested{ID: "j"})
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sc := newScriptedCore(domain.Config{}, "w1")
			st := sc.startOne(is)
			sc.handle(domain.Unanswered{Call: st})
			is.Equal(len(effectsOf[domain.Repeat](sc)), 0)
			if change != nil {
				change(sc, st)
			}
			sc.pass(time.Second)
			named := false
			for _, cm := range effectsOf[domain.Commit](sc) {
				for _, rc := range cm.Records {
					named = named || len(rc.RepeatedStarts) > 0
				}
			}
			is.Equal(named, change == nil || name == "cancelled")
			sc.commitAll()
			is.Equal(len(effectsOf[domain.Repeat](sc)) == 1, change == nil)
		})
	}
}

// TestWorkerThatFallsSilentKeepsTheNextAttempt has the start of a task get no reply from a
// worker that is to be emptied, so that the task waits for another one, and that falls silent
// before there is one. It guards against an attempt there while a copy may be carried out.
func TestWorkerThatFallsSilentKeepsTheNextAttempt(t *testing.T) {
	is := is.New(t)
	sc := newScriptedCore(domain.Config{}, "w1")
	st := sc.startOne(is)
	sent := sc.now
	sc.repeat(st)
	sc.handle(domain.DrainRequested{By: map[string]time.Time{"w1": sc.now.Add(time.Hour)}})
	sc.pass(time.Second)
	sc.handle(domain.Started{Call: st, Err: runner.ErrOutcomeUnknown, Repeated: true})
	for sc.now.Sub(sent) < 8*time.Second {
		sc.reply("w1", runner.Status{})
		for _, sp := range effectsOf[domain.Stop](sc) {
			sc.handle(domain.Stopped{Call: sp})
		}
		sc.pass(time.Second)
		sc.commitAll()
	}
	sc.fail("w1", runner.ErrOutcomeUnknown)
	sc.handle(domain.Listed{Worker: scriptedWorker("w2")})
	for sc.startsOn("w2") == 0 && sc.now.Sub(sent) < time.Minute {
		sc.reply("w2", runner.Status{})
		sc.pass(tickInterval)
		sc.commitAll()
	}
	is.Equal(sc.startsOn("w2"), 1)
	is.True(sc.now.Sub(sent) >= launch.MaxDelay+launch.MaxLease)
}

// TestAnsweredCopiesHoldNoEnd has both copies of a start answered, one after the other. It
// guards against ends that wait since a worker, or the scheduler's host, was merely slow.
func TestAnsweredCopiesHoldNoEnd(t *testing.T) {
	for _, answered := range []bool{false, true} {
		t.Run(fmt.Sprintf("answered=%v", answered), func(t *testing.T) {
			is := is.New(t)
			sc := newScriptedCore(domain.Config{}, "w1")
			st := sc.startOne(is)
			sc.repeat(st)
			sc.handle(domain.Started{Call: st, Repeated: true})
			if answered {
				sc.handle(domain.Answered{Call: st})
			}
			page := runner.EndPage{Ends: []runner.End{{Number: 1, Task: st.Request.Task, Attempt: 1, Reason: runner.Succeeded}}}
			is.Equal(sc.firstAck("w1", page, launch.MaxDelay) < time.Second, answered)
		})
	}
}

// TestFullListIsAcknowledged guards against ends that are never listed, since those before
// them wait for copies of starts.
func TestFullListIsAcknowledged(t *testing.T) {
	is := is.New(t)
	sc := newScriptedCore(domain.Config{}, "w1")
	st := sc.startOne(is)
	sc.repeat(st)
	sc.handle(domain.Started{Call: st, Repeated: true})
	page := runner.EndPage{More: true, Ends: []runner.End{{Number: 1, Task: st.Request.Task, Attempt: 1, Reason: runner.Succeeded}}}
	is.True(sc.firstAck("w1", page, launch.MaxDelay) < time.Second)
}
