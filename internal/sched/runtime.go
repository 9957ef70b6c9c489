package sched

import (
	"time"

	"github.com/cicadawharf/cicadawharf/internal/jobs"
)

type (
	// runTimes predicts run times from those of earlier jobs of the same class.
	// Declared run times are inaccurate, but for jobs of one workspace and
	// program they tend to be wrong by a similar factor.
	runTimes map[jobClass]ratio

	// jobClass groups jobs by workspace and program.
	jobClass struct {
		workspace string
		program   string
	}

	// ratio is the exponentially weighted moving average of observed divided by
	// declared run times.
	ratio float64
)

const (
	ratioWeight = 0.25 // of the newest observation in the average
	maxRatio    = 50   // bound on one observation
	maxClasses  = 4096 // bounds the memory; jobs of further classes use the declared run time
)

// observe updates the ratio of a job's class after its current step has
// succeeded.
func (rt runTimes) observe(rc jobs.Record, ran time.Duration) {
	declared := rc.CurrentStep().RunTime
	if declared <= 0 || ran <= 0 {
		return
	}
	jc := classOf(rc)
	observed := min(maxRatio, ratio(float64(ran)/float64(declared)))
	old, ok := rt[jc]
	switch {
	case !ok && len(rt) >= maxClasses:
	case !ok:
		rt[jc] = observed
	default:
		rt[jc] = old*(1-ratioWeight) + observed*ratioWeight
	}
}

// expect returns the expected run time of a job's current step.
func (rt runTimes) expect(rc jobs.Record) time.Duration {
	declared := rc.CurrentStep().RunTime
	if ra, ok := rt[classOf(rc)]; ok {
		return time.Duration(float64(declared) * float64(ra))
	}
	return declared
}

func classOf(rc jobs.Record) jobClass {
	jc := jobClass{workspace: rc.Workspace}
	if command := rc.CurrentStep().Command; len(command) > 0 {
		jc.program = command[0]
	}
	return jc
}
