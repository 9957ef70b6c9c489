package domain_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadawharf/cicadawharf/internal/domain"
	"github.com/cicadawharf/cicadawharf/internal/runner"
)

// TestPollsAreCheapAfterManyLosses loses half of the workers and compares what a
// poll of another worker allocates before and after. It guards against a poll
// that goes over every run of which it is unknown whether its worker has crashed.
func TestPollsAreCheapAfterManyLosses(t *testing.T) {
	is := is.New(t)
	iw := newInstantWorkers(64)
	kept := iw.workers[len(iw.workers)-1]
	poll := func() {
		st := runner.Status{Born: 1, Clock: time.Second, Running: iw.running[kept.ID]}
		iw.core.Handle(iw.now, domain.Polled{Call: domain.Poll{Worker: kept, Sent: iw.now}, Status: st})
	}
	poll()
	before := testing.AllocsPerRun(10, poll)
	lost := 0
	for _, wk := range iw.workers[:len(iw.workers)/2] {
		lost += len(iw.running[wk.ID])
		iw.handle(domain.Polled{Call: domain.Poll{Worker: wk, Sent: iw.now}, Err: runner.ErrOutcomeUnknown})
		iw.handle(domain.Unlisted{ID: wk.ID})
	}
	is.True(lost > 32)
	for range 60 {
		iw.tick()
	}
	is.Equal(testing.AllocsPerRun(10, poll), before)
}
