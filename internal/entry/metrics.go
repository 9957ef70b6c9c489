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

// serverMetrics holds the metrics of one server.
type serverMetrics struct{ set *metrics.Set }

func newServerMetrics() *serverMetrics { return &serverMetrics{set: metrics.NewSet()} }

// registerServer registers the gauges of the whole server.
func (sm *serverMetrics) registerServer(sr *Server) {
	sm.set.NewGauge(`cicadawharf_work_in_progress`, func() float64 { return float64(sr.inProgress.count()) })
	sm.set.NewGauge(`cicadawharf_bodies_buffered_bytes`, func() float64 { return float64(sr.cfg.Guard.Used()) })
	sm.set.NewGauge(`cicadawharf_ready`, func() float64 {
		if sr.Ready() {
			return 1
		}
		return 0
	})
}

// registerService registers the gauges of a service.
func (sm *serverMetrics) registerService(sv *service) {
	for _, ga := range []struct {
		name string
		read func() int
	}{
		{gaugeSlots, sv.admission.Capacity},
		{gaugeInUse, sv.admission.InUse},
		{gaugeWaiting, sv.admission.QueueLength},
	} {
		sm.set.NewGauge(serviceMetric(ga.name, sv.name), func() float64 {
			sv.mu.Lock()
			defer sv.mu.Unlock()
			return float64(ga.read())
		})
	}
}

// unregisterService unregisters the gauges of a service.
func (sm *serverMetrics) unregisterService(sv *service) {
	for _, name := range []string{gaugeSlots, gaugeInUse, gaugeWaiting} {
		sm.set.UnregisterMetric(serviceMetric(name, sv.name))
	}
}

// countRequest counts a request and its duration.
func (sm *serverMetrics) countRequest(service string, cd codes.Code, took time.Duration) {
	sm.set.GetOrCreateCounter(fmt.Sprintf(`cicadawharf_requests_total{service=%q,code="%d"}`, service, int(cd))).Inc()
	sm.set.GetOrCreateHistogram(fmt.Sprintf(`cicadawharf_request_seconds{service=%q}`, service)).Update(took.Seconds())
}

// observeWait records the time that an admitted request spent in the queue.
func (sm *serverMetrics) observeWait(service string, wait time.Duration) {
	sm.set.GetOrCreateHistogram(fmt.Sprintf(`cicadawharf_wait_seconds{service=%q}`, service)).Update(wait.Seconds())
}

func (sm *serverMetrics) countRetry(service string) {
	sm.set.GetOrCreateCounter(fmt.Sprintf(`cicadawharf_repeats_total{service=%q}`, service)).Inc()
}

// countRegionBytes counts bytes sent between regions.
func (sm *serverMetrics) countRegionBytes(workspace string, count int64) {
	sm.set.GetOrCreateCounter(fmt.Sprintf(`cicadawharf_region_bytes_total{workspace=%q}`, workspace)).Add(int(count))
}

func (sm *serverMetrics) write(w io.Writer) {
	sm.set.WritePrometheus(w)
	metrics.WritePrometheus(w, true)
}

func serviceMetric(name, service string) string { return fmt.Sprintf("%s{service=%q}", name, service) }
