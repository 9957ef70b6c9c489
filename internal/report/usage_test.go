package report_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadawharf/cicadawharf/internal/jobs"
	"github.com/cicadawharf/cicadawharf/internal/report"
	"github.com/cicadawharf/cicadawharf/pkg/codes"
	"github.com/cicadawharf/cicadawharf/pkg/spec"
)

// TestUsageIncludesQueuedAndPreemptedTime reports a job that ran, was preempted and
// is queued again, and one that has ended. The time in the queue before and after
// the preemption must count.
func TestUsageIncludesQueuedAndPreemptedTime(t *testing.T) {
	is := is.New(t)
	sp := jobs.Spec{Workspace: "sacos", Shape: spec.Shape{Tasks: 1, Accelerators: 8}}
	queued := jobs.Record{
		Spec: sp, Submitted: noon.Add(-3 * time.Hour), AcceleratorTime: 8 * time.Hour, PreemptedTime: 8 * time.Hour, Waited: time.Minute,
	}.WithQueued(noon.Add(-time.Hour))
	ended := jobs.Record{Spec: sp, Submitted: noon.Add(-2 * time.Hour)}.WithQueued(noon.Add(-2*time.Hour)).
		WithAttempt(noon.Add(-90*time.Minute), 1, nil).WithEnd(noon, codes.JobDone, "")
	da := report.Build(july1, report.Input{Jobs: []jobs.Record{queued, ended}, Now: noon})
	is.NoErr(da.Check())
	is.Equal(time.Duration(da.Usage[0].QueueTime), time.Minute+time.Hour+30*time.Minute)
	is.Equal(time.Duration(da.Usage[0].Reclaimed), 8*time.Hour)
}
