package domain_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadawharf/cicadawharf/internal/domain"
)

// TestLateConfirmationRenewsOnlyShortLeases has the store confirm the scheduler's own lease
// after a gap. It guards against a poll of each worker of the fleet whenever a host is a
// second late, and against leases that end after an outage of the store.
func TestLateConfirmationRenewsOnlyShortLeases(t *testing.T) {
	for _, tt := range []struct {
		gap   time.Duration
		polls int // at once, beside the long ones
	}{
		{gap: 900 * time.Millisecond},
		{gap: 1500 * time.Millisecond},
		{gap: 2 * time.Second},
		{gap: 3 * time.Second, polls: 1},
		{gap: 5 * time.Second, polls: 1},
	} {
		t.Run(fmt.Sprint(tt.gap), func(t *testing.T) {
			is := is.New(t)
			sc, _ := pollRunning(t, "w1")
			sc.core.ConfirmLease(sc.now, sc.now)
			sc.pass(tt.gap)
			sc.effects = nil
			sc.core.ConfirmLease(sc.now, sc.now)
			sc.handle(domain.Prompted{})
			extra := 0
			for _, po := range effectsOf[domain.Poll](sc) {
				if po.Extra && po.Request.Deadline > 0 {
					extra++
				}
			}
			is.Equal(extra, tt.polls)
		})
	}
}
