package intake

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/cicadawharf/cicadawharf/pkg/codes"
)

// countCall records the duration and the result of a call in the metrics.
func countCall(call string, began time.Time, err error) {
	result := "ok"
	if err != nil {
		result = codes.Of(err).Code.String()
	}
	metrics.GetOrCreateHistogram(fmt.Sprintf("cicadawharf_intake_call_seconds{call=%q}", call)).UpdateDuration(began)
	metrics.GetOrCreateCounter(fmt.Sprintf("cicadawharf_intake_calls_total{call=%q,result=%q}", call, result)).Inc()
}
