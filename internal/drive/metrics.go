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
	// eventTime is the time that the core takes for one event, including
	// placement passes.
	eventTime = metrics.GetOrCreateHistogram("cicadawharf_domain_event_seconds")
	// takeoverTime is the time from a new leader's request for its lease until its
	// state is loaded.
	takeoverTime = metrics.GetOrCreateHistogram("cicadawharf_domain_takeover_seconds")
	// repeatedCalls counts starts and stops that were sent a second time.
	repeatedCalls = metrics.GetOrCreateCounter("cicadawharf_domain_repeated_calls_total")
	termCount     = metrics.GetOrCreateCounter("cicadawharf_domain_terms_total")
)

// countDecision counts a decision and records the durations and losses that it
// reports. Waits are recorded for first attempts only.
func countDecision(ld domain.LogDecision) {
	metrics.GetOrCreateCounter(fmt.Sprintf("cicadawharf_domain_decisions_total{decision=%q}", ld.Decision)).Inc()
	if ld.Decision == "placed" && ld.Attempt == 1 {
		metrics.GetOrCreateHistogram(fmt.Sprintf("cicadawharf_domain_wait_seconds{queue=%q}", ld.Queue)).Update(ld.Waited.Seconds())
	}
	switch ld.Decision {
	case "stops":
		metrics.GetOrCreateFloatCounter(fmt.Sprintf("cicadawharf_domain_lost_core_seconds_total{queue=%q}", ld.Queue)).Add(ld.Lost.Seconds())
	case "lost":
		metrics.GetOrCreateCounter(fmt.Sprintf("cicadawharf_domain_lost_runs_total{cause=%q}", ld.Cause)).Inc()
	case "jobEnds":
		metrics.GetOrCreateHistogram(fmt.Sprintf("cicadawharf_domain_job_seconds{queue=%q}", ld.Queue)).Update(ld.Duration.Seconds())
	}
}

// setBacklogGauges sets the gauges of waiting work and unregisters those of
// queues, classes and workspaces that are missing from br, so that a former
// leader exposes none.
func (te *term) setBacklogGauges(br domain.BacklogReport) {
	present := map[string]bool{}
	set := func(value float64, format string, labels ...any) {
		name := fmt.Sprintf(format, labels...)
		present[name] = true
		metrics.GetOrCreateGauge(name, nil).Set(value)
	}
	for _, bl := range br.Backlogs {
		set(float64(bl.Units), "cicadawharf_domain_waiting_units{queue=%q,rank=%q}", bl.Queue, bl.Class)
	}
	for _, wu := range br.Usage {
		set(wu.Entitled, "cicadawharf_domain_workspace_share{workspace=%q,service=%q,part=\"entitled\"}", wu.Workspace, wu.Service)
		set(wu.Used, "cicadawharf_domain_workspace_share{workspace=%q,service=%q,part=\"used\"}", wu.Workspace, wu.Service)
		set(wu.Borrowed, "cicadawharf_domain_workspace_share{workspace=%q,service=%q,part=\"borrowed\"}", wu.Workspace, wu.Service)
		set(float64(wu.Accelerators), "cicadawharf_domain_workspace_waiting_accelerators{workspace=%q,service=%q}", wu.Workspace, wu.Service)
		set(wu.Oldest.Seconds(), "cicadawharf_domain_workspace_oldest_wait_seconds{workspace=%q,service=%q}", wu.Workspace, wu.Service)
	}
	te.waitGauges = unregisterStale(te.waitGauges, present)
	acceleratorGauge("total").Set(float64(br.Accelerators.Total))
	acceleratorGauge("free").Set(float64(br.Accelerators.Free))
	acceleratorGauge("kept").Set(float64(br.Accelerators.Reserved))
}

// setHoldGauges sets the gauges of the jobs that stand still and unregisters those
// of other reasons.
func (te *term) setHoldGauges(hr domain.HoldReport) {
	present := map[string]bool{}
	set := func(value float64, format string, reason domain.HoldReason) {
		name := fmt.Sprintf(format, reason)
		present[name] = true
		metrics.GetOrCreateGauge(name, nil).Set(value)
	}
	for reason, n := range hr.Jobs {
		set(float64(n), "cicadawharf_domain_held_jobs{hold=%q}", reason)
		set(hr.Oldest[reason].Seconds(), "cicadawharf_domain_held_oldest_seconds{hold=%q}", reason)
	}
	te.holdGauges = unregisterStale(te.holdGauges, present)
}

// setEvacuationGauges sets the gauges of evacuated availability zones and
// unregisters those of other zones.
func (te *term) setEvacuationGauges(er domain.EvacuationReport) {
	present := map[string]bool{}
	for _, zl := range er.Zones {
		name := fmt.Sprintf("cicadawharf_domain_evacuated_tasks{zone=%q}", zl.Zone)
		present[name] = true
		metrics.GetOrCreateGauge(name, nil).Set(float64(zl.Tasks))
	}
	te.zoneGauges = unregisterStale(te.zoneGauges, present)
	metrics.GetOrCreateGauge("cicadawharf_domain_evacuated_zones", nil).Set(float64(len(er.Zones)))
}

// unregisterStale unregisters the former gauges that are not present any more,
// and returns the present ones.
func unregisterStale(former, present map[string]bool) map[string]bool {
	for name := range former {
		if !present[name] {
			metrics.UnregisterMetric(name)
		}
	}
	return present
}

func acceleratorGauge(state string) *metrics.Gauge {
	return metrics.GetOrCreateGauge(fmt.Sprintf("cicadawharf_domain_accelerators{state=%q}", state), nil)
}

// setHealthGauges sets the gauges of suspected and suspended workers and of
// those on probation.
func setHealthGauges(hr domain.HealthReport) {
	for state, n := range map[string]int{"doubted": hr.Suspected, "suspended": hr.Suspended, "probation": hr.OnProbation} {
		metrics.GetOrCreateGauge(fmt.Sprintf("cicadawharf_domain_suspect_workers{state=%q}", state), nil).Set(float64(n))
	}
}

// setStateGauges sets the gauges of what the scheduler holds in memory.
func setStateGauges(sr domain.StateReport) {
	metrics.GetOrCreateGauge("cicadawharf_domain_jobs", nil).Set(float64(sr.Jobs))
	metrics.GetOrCreateGauge("cicadawharf_domain_units", nil).Set(float64(sr.Units))
	for part, bytes := range map[string]int64{"held": sr.Held, "limit": sr.Limit} {
		metrics.GetOrCreateGauge(fmt.Sprintf("cicadawharf_domain_state_bytes{part=%q}", part), nil).Set(float64(bytes))
	}
}

// setEndGauges sets the gauges of the ends that workers have listed in this term.
func setEndGauges(er domain.EndReport) {
	for kind, n := range map[string]int{"read": er.Read, "late": er.Late} {
		metrics.GetOrCreateGauge(fmt.Sprintf("cicadawharf_domain_ends{kind=%q}", kind), nil).Set(float64(n))
	}
}

// countCall records the duration and the result of a call to a worker that
// began at the given time.
func countCall(call string, began time.Time, err error) {
	metrics.GetOrCreateHistogram(fmt.Sprintf("cicadawharf_worker_call_seconds{call=%q}", call)).UpdateDuration(began)
	metrics.GetOrCreateCounter(fmt.Sprintf("cicadawharf_worker_calls_total{call=%q,result=%q}", call, callResult(err))).Inc()
}

func callResult(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, runner.ErrFenced):
		return "fenced"
	case errors.Is(err, runner.ErrRefused):
		return "refused"
	case errors.Is(err, runner.ErrUnreachable):
		return "unreachable"
	case errors.Is(err, runner.ErrRestarted):
		return "otherLife"
	default:
		return "lost"
	}
}
