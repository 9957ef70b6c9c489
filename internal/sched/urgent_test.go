package sched_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadawharf/cicadawharf/internal/jobs"
	"github.com/cicadawharf/cicadawharf/pkg/codes"
	"github.com/cicadawharf/cicadawharf/pkg/spec"
)

// urgentTime bounds the time from the submission of urgent work to its start.
const urgentTime = 4900 * time.Millisecond

// TestUrgentStart fills the zone and submits a guaranteed urgent gang, which
// must start within urgentTime also under faults.
func TestUrgentStart(t *testing.T) {
	tests := []struct {
		name  string
		fill  int  // tasks of each gang that fills the zone
		slow  bool // these gangs take 10 s for a checkpoint, longer than they are given
		fault func(sim *simulation)
	}{
		{"full zone", 1, false, func(*simulation) {}},
		{"checkpoints that take too long", 1, true, func(*simulation) {}},
		{"gangs that span racks", 4, true, func(*simulation) {}},
		{"one unresponsive worker", 1, true, func(sim *simulation) { sim.partitioned[sim.hosts[1].Name] = true }},
		{"one unresponsive worker of a wide gang", 4, true, func(sim *simulation) { sim.partitioned[sim.hosts[5].Name] = true }},
		{"one worker whose replies are lost", 1, true, func(sim *simulation) { sim.losesReplies[sim.hosts[2].Name] = true }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			sim := newSimulation(3, large, claims)
			sim.run(time.Second)
			for i := range 96 / 8 / tt.fill {
				sp := gang(fmt.Sprintf("z1.fill%d", i), tt.fill, 8, "sleep", "10m")
				sp.Workspace = "large"
				sp.Checkpoint = true
				if tt.slow {
					sp.Command = append(sp.Command, "checkpoint=10s")
				}
				sim.submit(sp)
				sim.run(20 * time.Millisecond)
			}
			sim.run(5 * time.Second)
			is.Equal(sim.current().core.Summary(sim.now).FreeAccelerators, 0)
			tt.fault(sim)
			begin := sim.now
			sp := gang("z1.urgent", 4, 8, "sleep", "2s")
			sp.Workspace = "claims"
			sp.Shape.Adjacency = spec.SameRack
			sp.Priority = jobs.Urgent
			sp.Repeatable = false
			sim.submit(sp)
			sim.run(10 * time.Second)
			checkEnd(t, sim, "z1.urgent", codes.JobDone)
			rus := sim.runsOf("z1.urgent")
			took := rus[0].Started.Sub(begin)
			t.Logf("started after %v", took)
			is.True(took < urgentTime)
		})
	}
}
