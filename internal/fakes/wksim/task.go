package wksim

import (
	"math"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/worker"
)

type (
	// task is a row of the table with the worker's internal state.
	task struct {
		row          worker.Task
		plan         plan
		expires      time.Time // end of the lease
		started      time.Time
		ended        time.Time
		rate         float64       // fraction of full speed
		remaining    time.Duration // remaining work at the time updated
		updated      time.Time     // when remaining was computed
		stopBy       time.Time     // end of the stopping phase
		checkpointed bool          // whether the checkpoint is complete at stopBy
		usage        []usageSample
	}

	// usageSample is a task's usage from a time on, in accelerators.
	usageSample struct {
		at    time.Time
		value float64
	}
)

// maxSpan bounds the time to completion, so that adding it to a time doesn't
// overflow.
const maxSpan = 100 * 365 * 24 * time.Hour

// nextTransition returns the time and phase of the next time-driven transition,
// if any.
func (ta *task) nextTransition() (time.Time, worker.Phase, bool) {
	switch ta.row.Phase {
	case worker.PhaseReserved:
		return ta.expires, worker.PhaseExpired, true
	case worker.PhaseStopping:
		return ta.stopBy, worker.PhaseStopped, true
	case worker.PhaseRunning:
		at, finishes := ta.finishTime()
		if !finishes || at.After(ta.expires) {
			return ta.expires, worker.PhaseExpired, true
		}
		if ta.plan.failure != "" {
			return at, worker.PhaseFailed, true
		}
		return at, worker.PhaseSucceeded, true
	default:
		return time.Time{}, "", false
	}
}

// finishTime returns when the work will be complete at the current rate, if
// ever.
func (ta *task) finishTime() (time.Time, bool) {
	if ta.remaining == 0 {
		return ta.updated, true
	}
	if ta.remaining < 0 || ta.rate <= 0 {
		return time.Time{}, false
	}
	span := math.Min(float64(ta.remaining)/ta.rate, float64(maxSpan))
	return ta.updated.Add(time.Duration(math.Ceil(span))), true
}

func (ta *task) start(now time.Time, pl plan) {
	ta.plan = pl
	ta.started = now
	ta.remaining = pl.runTime
	ta.updated = now
	ta.row.Started = true
	ta.row.Phase = worker.PhaseRunning
	ta.recordUsage(now)
}

// setRate changes the rate, which applies to the work that remains.
func (ta *task) setRate(now time.Time, rate float64) {
	if ta.row.Phase == worker.PhaseRunning && ta.remaining > 0 {
		ta.remaining = max(0, ta.remaining-scaled(now.Sub(ta.updated), ta.rate))
	}
	ta.updated = now
	ta.rate = rate
	ta.recordUsage(now)
}

// stop starts a checkpoint, which is abandoned after the timeout. A second stop
// can only shorten the first.
func (ta *task) stop(now time.Time, timeout time.Duration) {
	if ta.row.Phase == worker.PhaseRunning {
		ta.row.Phase = worker.PhaseStopping
		ta.stopBy = now.Add(ta.plan.checkpoint)
		ta.checkpointed = timeout > 0
	}
	limit := now.Add(timeout)
	if limit.Before(ta.stopBy) {
		ta.stopBy = limit
		ta.checkpointed = false
	}
}

func (ta *task) end(at time.Time, phase worker.Phase) {
	wasStopping := ta.row.Phase == worker.PhaseStopping
	ta.row.Phase = phase
	ta.ended = at
	switch {
	case phase == worker.PhaseFailed:
		ta.row.Error = ta.plan.failure
	case phase == worker.PhaseStopped:
		ta.row.Checkpointed = wasStopping && ta.checkpointed
	}
	ta.recordUsage(at)
}

// renew extends the lease; it never shortens it.
func (ta *task) renew(now time.Time, lease time.Duration) {
	if until := now.Add(lease); until.After(ta.expires) {
		ta.expires = until
	}
}

func (ta *task) recordUsage(now time.Time) {
	value := 0.0
	if ta.row.Phase == worker.PhaseRunning || ta.row.Phase == worker.PhaseStopping {
		value = float64(ta.row.Accelerators) * ta.rate
	}
	ta.usage = append(ta.usage, usageSample{at: now, value: value})
}

// report returns the row as reported at a time, with the usage that applied lag
// earlier.
func (ta *task) report(now time.Time, lag time.Duration) worker.Task {
	row := ta.row
	if row.Started {
		until := now
		if row.Phase.Ended() {
			until = ta.ended
		}
		row.Runtime = until.Sub(ta.started)
	}
	for _, us := range ta.usage {
		if us.at.After(now.Add(-lag)) {
			break
		}
		row.Usage = us.value
	}
	return row
}

// heldAccelerators returns the number of accelerators that the task holds.
func (ta *task) heldAccelerators() int {
	if ta.row.Phase.Ended() {
		return 0
	}
	return ta.row.Accelerators
}
