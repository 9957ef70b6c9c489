package domain_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

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
