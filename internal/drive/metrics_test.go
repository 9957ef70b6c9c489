package drive_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"

	"github.com/cicadawharf/cicadawharf/internal/batch"
	"github.com/cicadawharf/cicadawharf/internal/fakes/kvsim"
)

// TestOnlyLeaderReportsWaits queues more tasks than fit, and then stops the
// leader. Its gauges of waiting work must disappear, since the next leader
// reports them.
func TestOnlyLeaderReportsWaits(t *testing.T) {
	is := is.New(t)
	si := newSite(t, 1)
	stop := si.host("a")
	si.submit("j", 40)
	// The gauges of a report are set one after the other.
	kvsim.Eventually(t, func() bool {
		text := metricsText()
		return strings.Contains(text, `waiting_units{queue="q",rank=`) &&
			strings.Contains(text, `cicadawharf_domain_accelerators{state="total"} 8`) &&
			strings.Contains(text, `cicadawharf_domain_workspace_share{`)
	})
	si.await("j", batch.Done)
	stop()
	is.True(!strings.Contains(metricsText(), `waiting_units`))
	is.True(!strings.Contains(metricsText(), `workspace_share`))
	is.True(strings.Contains(metricsText(), `cicadawharf_domain_accelerators{state="total"} 0`))
}

// metricsText returns the metrics of this process in the text format.
func metricsText() string {
	var buf bytes.Buffer
	metrics.WritePrometheus(&buf, false)
	return buf.String()
}
