package domain_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadawharf/cicadawharf/internal/domain"
)

// TestLateEventsGoBeforePasses counts the passes of a core whose events are in time, are
// late, and are in time again. It guards against passes that keep a scheduler from the
// replies which wait for it, and against passes that are left out for good.
func TestLateEventsGoBeforePasses(t *testing.T) {
	is := is.New(t)
	iw := newIdleWorkers(100)
	passesIn := func(d, waited time.Duration) int {
		former := iw.core.Passes()
		for range d / (10 * time.Millisecond) {
			iw.now = iw.now.Add(10 * time.Millisecond)
			iw.core.ObserveWait(iw.now, waited)
			iw.core.Handle(iw.now, domain.Listed{Worker: iw.workers[0]})
			iw.core.Handle(iw.now, domain.Ticked{})
		}
		return iw.core.Passes() - former
	}
	inTime := passesIn(2*time.Second, time.Millisecond)
	is.True(inTime > 20)
	late := passesIn(4*time.Second, 200*time.Millisecond)
	is.True(late >= 4) // each second at least
	is.True(late <= 6)
	is.True(passesIn(2*time.Second, time.Millisecond) > 20)
}
