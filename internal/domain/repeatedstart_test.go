package domain_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadawharf/cicadawharf/internal/domain"
	"github.com/cicadawharf/cicadawharf/internal/runner"
)

// TestRepeatedStartThatAPollConfirms lists a run in a reply to a poll before the
// second call of its start ends, and restarts the worker, where the first call may arrive late.
func TestRepeatedStartThatAPollConfirms(t *testing.T) {
	is := is.New(t)
	sc := newScriptedCore(domain.Config{}, "w1", "w2")
	jb, _ := oneStepJob("j", 1, 1, time.Minute)
	sc.handle(domain.Accepted{Job: jb})
	sc.pass(tickInterval)
	sc.commitAll()
	starts := effectsOf[domain.Start](sc)
	is.Equal(len(starts), 1)
	rq := starts[0].Request
	sc.pass(tickInterval)
	sc.replyOf(starts[0].Worker, runner.Status{Born: 1, Running: []runner.Run{{Task: rq.Task, Attempt: rq.Attempt}}})
	sc.pass(tickInterval)
	sc.handle(domain.Started{Call: starts[0], Repeated: true})
	wk := starts[0].Worker
	wk.Born = 7
	sc.handle(domain.Listed{Worker: wk})
	sc.fail(wk.ID, runner.ErrOutcomeUnknown)
	sc.pass(20 * time.Second)
	sc.commitAll()
	is.Equal(len(effectsOf[domain.Start](sc)), 1)
}
