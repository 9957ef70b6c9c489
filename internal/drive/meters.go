package drive

import (
	"errors"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/cicadawharf/cicadawharf/internal/domain"
	"github.com/cicadawharf/cicadawharf/internal/runner"
)

var (
	// eventTime is what the core takes for an event, rounds of placing
	// among them.
	eventTime = metrics.GetOrCreateHistogram("cicadawharf_domain_event_seconds")
	// takeoverTime goes from the lease of a new scheduler to its loaded state.
	takeoverTime = metrics.GetOrCreateHistogram("cicadawharf_domain_takeover_seconds")
	termCount    = metrics.GetOrCreateCounter("cicadawharf_domain_terms_total")
)

// countDecision counts a decision, and the wait that a placement ends.
func countDecision(no domain.Noted) {
	metrics.GetOrCreateCounter(fmt.Sprintf("cicadawharf_domain_decisions_total{decision=%q}", no.Decision)).Inc()
	if no.Decision == "placed" && no.Attempt == 1 {
		metrics.GetOrCreateHistogram(fmt.Sprintf("cicadawharf_domain_wait_seconds{queue=%q}", no.Queue)).Update(no.Waited.Seconds())
	}
}

// countCall counts and times a call to a worker.
func countCall(call string, began time.Time, err error) {
	metrics.GetOrCreateHistogram(fmt.Sprintf("cicadawharf_worker_call_seconds{call=%q}", call)).UpdateDuration(began)
	metrics.GetOrCreateCounter(fmt.Sprintf("cicadawharf_worker_calls_total{call=%q,result=%q}", call, resultOf(err))).Inc()
}

func resultOf(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, runner.ErrFenced):
		return "fenced"
	case errors.Is(err, runner.ErrRefused):
		return "refused"
	case errors.Is(err, runner.ErrUnreachable):
		return "unreachable"
	case errors.Is(err, runner.ErrOtherLife):
		return "otherLife"
	default:
		return "lost"
	}
}
