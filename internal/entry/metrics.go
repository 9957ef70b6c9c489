package entry

import (
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/cicadawharf/cicadawharf/pkg/codes"
)

const (
	gaugeSlots   = "cicadawharf_slots"
	gaugeInUse   = "cicadawharf_slots_in_use"
	gaugeWaiting = "cicadawharf_requests_waiting"
)

// meters is the metrics of one server.
type meters struct{ set *metrics.Set }

func newMeters() *meters { return &meters{set: metrics.NewSet()} }

// watch adds the gauges of a server.
func (mt *meters) watch(sr *Server) {
	mt.set.NewGauge(`cicadawharf_work_in_progress`, func() float64 { return float64(sr.work.inProgress()) })
	mt.set.NewGauge(`cicadawharf_bodies_buffered_bytes`, func() float64 { return float64(sr.buffered.Load()) })
	mt.set.NewGauge(`cicadawharf_ready`, func() float64 {
		if sr.Ready() {
			return 1
		}
		return 0
	})
}

// open adds the gauges of a service.
func (mt *meters) open(sv *service) {
	for _, ga := range []struct {
		name string
		read func() int
	}{
		{gaugeSlots, sv.admission.Capacity},
		{gaugeInUse, sv.admission.InUse},
		{gaugeWaiting, sv.admission.Waiting},
	} {
		mt.set.NewGauge(serviceMetric(ga.name, sv.name), func() float64 {
			sv.mu.Lock()
			defer sv.mu.Unlock()
			return float64(ga.read())
		})
	}
}

// close removes the gauges of a service.
func (mt *meters) close(sv *service) {
	for _, name := range []string{gaugeSlots, gaugeInUse, gaugeWaiting} {
		mt.set.UnregisterMetric(serviceMetric(name, sv.name))
	}
}

// ended counts a request of a declared service.
func (mt *meters) ended(service string, cd codes.Code, took time.Duration) {
	mt.set.GetOrCreateCounter(fmt.Sprintf(`cicadawharf_requests_total{service=%q,code="%d"}`, service, int(cd))).Inc()
	mt.set.GetOrCreateHistogram(fmt.Sprintf(`cicadawharf_request_seconds{service=%q}`, service)).Update(took.Seconds())
}

func (mt *meters) waited(service string, wait time.Duration) {
	mt.set.GetOrCreateHistogram(fmt.Sprintf(`cicadawharf_wait_seconds{service=%q}`, service)).Update(wait.Seconds())
}

func (mt *meters) repeated(service string) {
	mt.set.GetOrCreateCounter(fmt.Sprintf(`cicadawharf_repeats_total{service=%q}`, service)).Inc()
}

func (mt *meters) regionBytes(workspace string, count int64) {
	mt.set.GetOrCreateCounter(fmt.Sprintf(`cicadawharf_region_bytes_total{workspace=%q}`, workspace)).Add(int(count))
}

func (mt *meters) write(w io.Writer) {
	mt.set.WritePrometheus(w)
	metrics.WritePrometheus(w, true)
}

func serviceMetric(name, service string) string { return fmt.Sprintf("%s{service=%q}", name, service) }
