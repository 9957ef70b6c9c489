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

// TestOnlyLeaderReportsWaits has more tasks than room, and then stops
// the host that schedules.
func TestOnlyLeaderReportsWaits(t *testing.T) {
	is := is.New(t)
	si := newSite(t, 1)
	stop := si.host("a")
	si.submit("j", 40)
	kvsim.Eventually(t, func() bool { return strings.Contains(exposed(), `waiting_units{queue="q",rank=`) })
	is.True(strings.Contains(exposed(), `cicadawharf_domain_accelerators{state="total"} 8`))
	is.True(strings.Contains(exposed(), `cicadawharf_domain_workspace_share{`))
	si.await("j", batch.Done)
	stop()
	is.True(!strings.Contains(exposed(), `waiting_units`))
	is.True(!strings.Contains(exposed(), `workspace_share`))
	is.True(strings.Contains(exposed(), `cicadawharf_domain_accelerators{state="total"} 0`))
}

// exposed returns the metrics of this process as text.
func exposed() string {
	var buf bytes.Buffer
	metrics.WritePrometheus(&buf, false)
	return buf.String()
}
