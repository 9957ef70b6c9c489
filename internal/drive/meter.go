package drive

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// workMeter sums up, between two log lines, what a leader spends its time on and how
// late its events are handled.
type workMeter struct {
	since       time.Time     // the last log line
	events      int           // handled by the core
	busy        time.Duration // in the core
	passes      int           // placement passes
	passTime    time.Duration // in events with a placement pass
	longestPass time.Duration
	longestWait time.Duration // of an event in the queue
}

const (
	// loadLogInterval is the time between two log lines of a leader's load, and
	// delayedLogInterval the same while events wait for reportedDelay or longer.
	loadLogInterval    = 10 * time.Second
	delayedLogInterval = time.Second
	reportedDelay      = 100 * time.Millisecond
)

var (
	// passTime is the time of the events in which the core makes a placement pass.
	passTime = metrics.GetOrCreateHistogram("cicadawharf_domain_pass_seconds")
	// eventWait is the time from when an event was queued until it is handled.
	eventWait = metrics.GetOrCreateHistogram("cicadawharf_domain_event_wait_seconds")
)

// observeEvent adds an event that has taken some time in the core.
func (wm *workMeter) observeEvent(took time.Duration, withPass bool) {
	wm.events++
	wm.busy += took
	if withPass {
		wm.passes++
		wm.passTime += took
		wm.longestPass = max(wm.longestPass, took)
	}
}

// observeWait adds an event that has waited in the queue.
func (wm *workMeter) observeWait(waited time.Duration) {
	wm.longestWait = max(wm.longestWait, waited)
}

// due reports whether a log line is due.
func (wm *workMeter) due(now time.Time) bool {
	since := now.Sub(wm.since)
	return since >= loadLogInterval || since >= delayedLogInterval && wm.longestWait >= reportedDelay
}

// logLoad logs what the leader has done since the last such line, if one is due.
func (te *term) logLoad(now time.Time) {
	wm := &te.meter
	if !wm.due(now) {
		return
	}
	te.log.Info("load of the scheduler", "event", "schedulerLoad", "over", now.Sub(wm.since).Round(time.Millisecond),
		"events", wm.events, "busy", wm.busy.Round(time.Millisecond), "passes", wm.passes, "passTime", wm.passTime.Round(time.Millisecond),
		"longestPass", wm.longestPass.Round(10*time.Microsecond), "longestWait", wm.longestWait.Round(time.Millisecond),
		"queued", len(te.events)+len(te.priorityEvents))
	*wm = workMeter{since: now}
}
