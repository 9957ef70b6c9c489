package jobs_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/cicadawharf/cicadawharf/internal/jobs"
	"github.com/cicadawharf/cicadawharf/pkg/codes"
	"github.com/cicadawharf/cicadawharf/pkg/spec"
)

// TestWireKeepsEveryField checks that a record is the same after it was encoded
// and decoded, so that no field is lost when the next scheduler loads it.
func TestWireKeepsEveryField(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		is := is.New(rt)
		times := rapid.Custom(func(rt *rapid.T) time.Time {
			if rapid.Bool().Draw(rt, "never") {
				return time.Time{}
			}
			return time.Unix(rapid.Int64Range(1, 1<<32).Draw(rt, "second"), 5).UTC()
		})
		rc := jobs.Record{
			Spec: jobs.Spec{
				ID: rapid.String().Draw(rt, "id"), Workspace: "ws", Caller: "caller", Key: "k",
				Shape:   spec.Shape{Tasks: rapid.IntRange(1, 32).Draw(rt, "tasks"), Accelerators: 8, Adjacency: spec.SameRack},
				RunTime: time.Duration(rapid.Int64().Draw(rt, "run")), Priority: jobs.Urgent,
				Repeatable: rapid.Bool().Draw(rt, "repeatable"), Checkpoint: rapid.Bool().Draw(rt, "checkpoint"),
				Command: []string{"run", "it"},
				Then:    []jobs.Step{{Shape: spec.Shape{Tasks: 2, Adjacency: spec.SameZone}, RunTime: time.Minute, Command: []string{"then"}}},
			},
			State: jobs.Running, Step: rapid.IntRange(0, 1).Draw(rt, "step"), Attempt: 3, Epoch: 9, Tasks: []jobs.Task{{Worker: "w1", Address: "127.0.0.1:1"}},
			Code: codes.JobRunning, Detail: "d", Cancelled: rapid.Bool().Draw(rt, "cancelled"), MayHaveRun: rapid.Bool().Draw(rt, "doubt"),
			Submitted: times.Draw(rt, "submitted"), Started: times.Draw(rt, "started"), Ended: times.Draw(rt, "ended"),
			AcceleratorTime: time.Hour, LostTime: time.Minute, PreemptedTime: time.Second, Waited: 2 * time.Hour, Queued: times.Draw(rt, "queued"),
		}
		is.Equal(jobs.FromWire(jobs.ToWire(rc)), rc)
	})
}
