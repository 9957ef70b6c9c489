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

// startOn returns a core with some workers and job j, whose only task runs on w1.
func startOn(t *testing.T, ids ...string) (*scriptedCore, runner.Status) {
	is := is.New(t)
	sc := newScriptedCore(domain.Config{}, ids...)
	jb, _ := oneStepJob("j", 1, 1, time.Minute)
	jb.Steps[0].Needs.Accelerators = 8
	sc.handle(domain.Accepted{Job: jb})
	sc.pass(tickInterval)
	sc.commitAll()
	starts := effectsOf[domain.Start](sc)
	is.Equal(len(starts), 1)
	is.Equal(starts[0].Worker.ID, "w1")
	sc.handle(domain.Started{Call: starts[0]})
	running := runner.Status{Running: []runner.Run{{Task: batch.TaskID{Job: "j"}, Attempt: 1}}}
	sc.reply("w1", running)
	sc.effects = nil
	return sc, running
}

// TestForeignEntryEndsNothing lists an entry of another writer with the address of
// a worker, before or after that worker's entry. It guards against taking the entry
// for proof that the worker has ended, and starting its tasks a second time.
func TestForeignEntryEndsNothing(t *testing.T) {
	foreign := scriptedWorker("x")
	foreign.Address, foreign.Service = "w1:1", "other"
	for _, born := range []int64{1, 99} {
		for _, first := range []bool{false, true} {
			t.Run(fmt.Sprintf("born=%d,first=%v", born, first), func(t *testing.T) {
				is := is.New(t)
				sc, running := startOn(t, "w1", "w2")
				foreign.Born = born
				if first {
					own := scriptedWorker("w1")
					own.Cold = time.Second // a change, so that it is handled
					sc.handle(domain.Listed{Worker: own})
				}
				for range 3 { // it repeats its entry
					foreign.Cold += time.Second
					sc.handle(domain.Listed{Worker: foreign})
					sc.fail("x", runner.ErrRestarted)
					sc.reply("w1", running)
					sc.pass(time.Second)
					sc.commitAll()
				}
				is.Equal(len(effectsOf[domain.Start](sc)), 0)
				for _, ld := range effectsOf[domain.LogDecision](sc) {
					is.True(ld.Decision != "lost" && ld.Decision != "stops")
				}
			})
		}
	}
}

// TestSuccessorEndsRunsAtOnce lists the successor of a worker at its address. It
// guards against tasks that wait for the leases of the former worker to expire,
// although the successor, or a refusal at that address, shows that it has ended.
func TestSuccessorEndsRunsAtOnce(t *testing.T) {
	next := scriptedWorker("n1")
	next.Address, next.Born = "w1:1", 5
	for _, refused := range []bool{false, true} {
		t.Run(fmt.Sprintf("refused=%v", refused), func(t *testing.T) {
			is := is.New(t)
			sc, _ := startOn(t, "w1")
			sc.handle(domain.Listed{Worker: next})
			asked := map[string]bool{}
			for _, po := range effectsOf[domain.Poll](sc) {
				asked[po.Worker.ID] = true
			}
			is.True(asked["w1"] && asked["n1"])
			if refused {
				sc.fail("w1", runner.ErrRestarted)
			}
			sc.reply("n1", runner.Status{Born: 5})
			sc.pass(tickInterval)
			sc.commitAll()
			starts := effectsOf[domain.Start](sc)
			is.Equal(len(starts), 1)
			is.Equal(starts[0].Worker.ID, "n1")
		})
	}
}

// TestWorkerContradictsEntry lists an entry under a worker's ID that names a later
// start, while the worker goes on. It guards against dropping all further replies
// of the worker as those of an earlier incarnation.
func TestWorkerContradictsEntry(t *testing.T) {
	is := is.New(t)
	sc, running := startOn(t, "w1", "w2")
	wrong := scriptedWorker("w1")
	wrong.Born = 99
	sc.handle(domain.Listed{Worker: wrong})
	sc.pass(time.Second)
	sc.reply("w1", running)
	sc.pass(time.Second)
	en := runner.End{Number: 1, Task: batch.TaskID{Job: "j"}, Attempt: 1, Reason: runner.Succeeded}
	sc.reply("w1", runner.Status{Ended: runner.EndPage{Ends: []runner.End{en}}})
	sc.pass(time.Second)
	is.True(sc.lastUnit("j").Done)
	is.Equal(len(effectsOf[domain.Start](sc)), 0)
}
