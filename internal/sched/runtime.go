package sched

import (
	"time"

	"github.com/cicadawharf/cicadawharf/internal/jobs"
)

type (
	// runTimes tells how long jobs are expected to run from how long those
	// like them have run. Declared run times are far off, but for jobs of one
	// workspace and program they tend to be off by a like factor.
	runTimes map[jobClass]ratio

	// jobClass groups jobs that are alike.
	jobClass struct {
		workspace string
		program   string
	}

	// ratio is the moving average of observed over declared run times.
	ratio float64
)

const (
	ratioWeight = 0.25
	maxRatio    = 50
	maxClasses  = 4096
)

// observe learns from a job whose present step has succeeded.
func (rt runTimes) observe(rc jobs.Record, ran time.Duration) {
	declared := rc.Present().RunTime
	if declared <= 0 || ran <= 0 {
		return
	}
	jc := classOf(rc)
	seen := min(maxRatio, ratio(float64(ran)/float64(declared)))
	old, ok := rt[jc]
	switch {
	case !ok && len(rt) >= maxClasses:
	case !ok:
		rt[jc] = seen
	default:
		rt[jc] = old*(1-ratioWeight) + seen*ratioWeight
	}
}

// expect returns the run time that is expected of a job's present step.
func (rt runTimes) expect(rc jobs.Record) time.Duration {
	declared := rc.Present().RunTime
	if ra, ok := rt[classOf(rc)]; ok {
		return time.Duration(float64(declared) * float64(ra))
	}
	return declared
}

func classOf(rc jobs.Record) jobClass {
	jc := jobClass{workspace: rc.Workspace}
	if command := rc.Present().Command; len(command) > 0 {
		jc.program = command[0]
	}
	return jc
}
