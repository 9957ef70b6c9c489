package wksim

import (
	"math"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/worker"
)

type (
	// task is a row of the table with what the worker alone knows of it.
	task struct {
		row          worker.Task
		plan         plan
		expires      time.Time // of its lease
		started      time.Time
		ended        time.Time
		rate         float64       // share of full speed
		remaining    time.Duration // work that was left at the time measured
		updated      time.Time     // when left was measured
		stopBy       time.Time     // end of the checkpoint, while stopping
		checkpointed bool          // whether the checkpoint is whole at stopBy
		usage        []usageSample
	}

	usageSample struct {
		at    time.Time
		value float64
	}
)

// maxSpan bounds sums of times, so that endless work does not overflow.
const maxSpan = 100 * 365 * 24 * time.Hour

// nextTransition returns when the task changes by itself, and into which phase.
func (ta *task) nextTransition() (time.Time, worker.Phase, bool) {
	switch ta.row.Phase {
	case worker.PhaseReserved:
		return ta.expires, worker.PhaseLapsed, true
	case worker.PhaseStopping:
		return ta.stopBy, worker.PhaseStopped, true
	case worker.PhaseRunning:
		at, finishes := ta.finishTime()
		if !finishes || at.After(ta.expires) {
			return ta.expires, worker.PhaseLapsed, true
		}
		if ta.plan.failure != "" {
			return at, worker.PhaseFailed, true
		}
		return at, worker.PhaseSucceeded, true
	default:
		return time.Time{}, "", false
	}
}

// finishTime returns when the work will be done at the present rate.
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

func (ta *task) setRate(now time.Time, rate float64) {
	if ta.row.Phase == worker.PhaseRunning && ta.remaining > 0 {
		ta.remaining = max(0, ta.remaining-scaled(now.Sub(ta.updated), ta.rate))
	}
	ta.updated = now
	ta.rate = rate
	ta.recordUsage(now)
}

// stop begins a checkpoint that takes no longer than bound. A second stop can
// only make the first shorter.
func (ta *task) stop(now time.Time, bound time.Duration) {
	if ta.row.Phase == worker.PhaseRunning {
		ta.row.Phase = worker.PhaseStopping
		ta.stopBy = now.Add(ta.plan.checkpoint)
		ta.checkpointed = bound > 0
	}
	limit := now.Add(bound)
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

// renew moves the end of the lease forward, never back.
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

// report returns the row as reported at a time, with the usage of lag ago.
func (ta *task) report(now time.Time, lag time.Duration) worker.Task {
	row := ta.row
	if row.Started {
		until := now
		if row.Phase.Ended() {
			until = ta.ended
		}
		row.Runtime = until.Sub(ta.started)
	}
	for _, up := range ta.usage {
		if up.at.After(now.Add(-lag)) {
			break
		}
		row.Usage = up.value
	}
	return row
}

// heldAccelerators returns the accelerators that the task keeps from others.
func (ta *task) heldAccelerators() int {
	if ta.row.Phase.Ended() {
		return 0
	}
	return ta.row.Accelerators
}
