package domain_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/cicadawharf/cicadawharf/internal/batch"
	"github.com/cicadawharf/cicadawharf/internal/domain"
	"github.com/cicadawharf/cicadawharf/internal/runner"
)

// minMoveRunTime is the remaining run time above which work is moved out of an
// evacuated zone, and maxEvacuationDelay the time after which no start may be
// sent there.
const (
	minMoveRunTime     = 3 * time.Second
	maxEvacuationDelay = 50 * time.Millisecond
)

// evacuate replaces the set of zones to be evacuated.
func (sim *simulation) evacuate(zones ...string) {
	sim.evacuated, sim.evacuatedAt = zones, sim.now
	sim.notify(domain.EvacuationSet{Zones: zones})
}

// checkStart records a start that is sent to a zone too long after the zone was
// evacuated.
func (sim *simulation) checkStart(wk runner.Worker) {
	if slices.Contains(sim.evacuated, wk.Zone) && sim.now.Sub(sim.evacuatedAt) > maxEvacuationDelay {
		sim.lateStarts = append(sim.lateStarts, wk.ID)
	}
}

// runningIn counts the tasks that run on the workers of a zone.
func (sim *simulation) runningIn(zone string) int {
	n := 0
	for id, wk := range sim.workers {
		if wk.Zone == zone {
			n += sim.fleet.RunningOn(id)
		}
	}
	return n
}

// TestNothingStartsInAnEvacuatedZone guards against starts there, also by a new
// scheduler, and against a zone that is not used after it has returned to
// service.
func TestNothingStartsInAnEvacuatedZone(t *testing.T) {
	is := is.New(t)
	sim := startSimulation(4)
	sim.evacuate("z1")
	sim.run(10 * time.Millisecond)
	jb, pl := oneStepJob("j", 1, 32, 2*time.Second)
	sim.submit(jb, pl)
	sim.run(time.Second)
	is.Equal(sim.runningIn("z0"), 16)
	is.Equal(sim.runningIn("z1"), 0)
	sim.elect()
	sim.run(2 * time.Second)
	is.Equal(sim.runningIn("z1"), 0)
	sim.evacuate()
	jb, pl = oneStepJob("k", 1, 32, 2*time.Second)
	sim.submit(jb, pl)
	sim.run(time.Second)
	is.True(sim.runningIn("z1") > 0)
	sim.run(10 * time.Second)
	is.Equal(sim.state("j"), batch.Done)
	is.Equal(sim.state("k"), batch.Done)
	is.Equal(sim.check(), nil)
}

// TestEvacuationStopsPlacedUnits evacuates zones while the record of a gang in
// both zones is being written, so that no start may be sent.
func TestEvacuationStopsPlacedUnits(t *testing.T) {
	for _, zones := range [][]string{{"z1"}, {"z0", "z1"}} {
		is := is.New(t)
		sim := startSimulation(4)
		gang, pl := oneStepJob("gang", 1, 20, time.Second)
		gang.Steps[0].Gang = true
		sim.submit(gang, pl)
		for !sim.decided("placed", "gang") { // its record is being written
			sim.run(time.Millisecond)
		}
		sim.leader.core.Handle(sim.now, domain.EvacuationSet{Zones: zones})
		sim.evacuate(zones...)
		sim.run(time.Second)
		is.Equal(sim.fleet.Starts, 0)
		sim.evacuate()
		sim.run(5 * time.Second)
		is.Equal(sim.state("gang"), batch.Done)
		is.Equal(sim.check(), nil)
	}
}

// submitIn submits a job so that it starts in one of the zones z0 and z1, and
// lets it run there for a while.
func (sim *simulation) submitIn(zone string, jb batch.Job, pl taskPlan) {
	other := map[string]string{"z0": "z1", "z1": "z0"}[zone]
	sim.evacuate(other)
	sim.run(100 * time.Millisecond)
	sim.submit(jb, pl)
	sim.run(time.Second)
	sim.evacuate()
	sim.run(100 * time.Millisecond)
}

// TestEvacuationMovesOnlyCheapWork guards against moving work that would lose
// its state, would end soon anyway, has no free capacity elsewhere, or is
// within a guarantee.
func TestEvacuationMovesOnlyCheapWork(t *testing.T) {
	tests := []struct {
		name     string
		change   func(jb *batch.Job)
		work     time.Duration
		priority int
		full     bool // the other zone has no free capacity
		moved    bool
	}{
		{name: "long", work: 10 * time.Second, priority: 1, moved: true},
		{name: "gang", work: 10 * time.Second, priority: 1, moved: true, change: func(jb *batch.Job) { jb.Steps[0].Gang = true }},
		{name: "no checkpoints", work: 10 * time.Second, priority: 1, change: func(jb *batch.Job) { jb.Steps[0].Checkpoints = false }},
		{name: "ends soon", work: 4500 * time.Millisecond, priority: 1},
		{name: "no free capacity", work: 10 * time.Second, priority: 1, full: true},
		{name: "within a guarantee", work: 10 * time.Second, priority: 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			sim := startSimulation(4)
			jb, pl := oneStepJob("j", tt.priority, 2, tt.work)
			jb.Steps[0].Checkpoints = true
			if tt.change != nil {
				tt.change(&jb)
			}
			sim.submitIn("z1", jb, pl)
			if tt.full {
				fill, pl := oneStepJob("fill", 1, 16, 20*time.Second)
				sim.submitIn("z0", fill, pl)
			}
			sim.evacuate("z1")
			sim.run(5 * time.Second)
			is.Equal(sim.stops("j") > 0, tt.moved)
			if tt.moved {
				is.Equal(sim.runningIn("z1"), 0)
			}
			sim.run(20 * time.Second)
			is.Equal(sim.state("j"), batch.Done)
			is.True(sim.turnaround("j") < tt.work+5*time.Second) // resumes from its checkpoint
			is.Equal(sim.lateStarts, nil)
			is.Equal(sim.check(), nil)
		})
	}
}

// TestEvacuationMovesAreBounded guards against stopping all work of a zone at
// once, since moved work makes no progress meanwhile.
func TestEvacuationMovesAreBounded(t *testing.T) {
	is := is.New(t)
	sim := startSimulation(4)
	jb, pl := oneStepJob("j", 1, 16, 20*time.Second)
	jb.Steps[0].Checkpoints = true
	sim.submitIn("z1", jb, pl)
	sim.evacuate("z1")
	least := 16
	for range 2000 {
		sim.run(5 * time.Millisecond)
		least = min(least, sim.fleet.Running("j"))
	}
	is.True(least >= 10) // 4 are being moved, and some wait for the record of their next attempt
	is.Equal(sim.runningIn("z1"), 0)
	is.Equal(sim.evacuatedTasks, map[string]int{"z1": 0})
	is.Equal(sim.evacuationReports[len(sim.evacuationReports)-1].Zones, []domain.ZoneStatus{{Zone: "z1", Workers: 2}})
	sim.evacuate()
	sim.run(20 * time.Second)
	is.Equal(sim.evacuatedTasks, nil)
	is.Equal(sim.evacuationReports[len(sim.evacuationReports)-1].Zones, []domain.ZoneStatus{})
	is.Equal(sim.state("j"), batch.Done)
	is.Equal(sim.stops("j"), 16)
	is.Equal(sim.check(), nil)
}

// TestEvacuationRespectsDisruptionLimit guards against moves that make more
// tasks of a long-running step unavailable than its MaxUnavailable.
func TestEvacuationRespectsDisruptionLimit(t *testing.T) {
	is := is.New(t)
	sim := startSimulation(4)
	jb, pl := oneStepJob("serves", 1, 4, time.Hour)
	jb.Steps[0].LongRunning = true
	jb.Steps[0].MaxUnavailable = 1
	jb.Steps[0].Needs.Accelerators = 4
	sim.submitIn("z1", jb, pl)
	sim.run(3 * time.Second) // until the tasks are available
	sim.evacuate("z1")
	for range 1000 {
		sim.run(20 * time.Millisecond)
		is.True(sim.fleet.Running("serves") >= 3)
	}
	is.Equal(sim.runningIn("z0"), 4)
	is.Equal(sim.stops("serves"), 4)
	is.Equal(sim.check(), nil)
}

// TestGangAcrossZonesMovesWhole guards against moving only the part of a gang
// in the evacuated zone, and against stopping the gang when only that part fits
// elsewhere.
func TestGangAcrossZonesMovesWhole(t *testing.T) {
	is := is.New(t)
	sim := startSimulation(4)
	gang, pl := oneStepJob("gang", 1, 20, 12*time.Second)
	gang.Steps[0].Gang = true
	gang.Steps[0].Checkpoints = true
	sim.submit(gang, pl)
	sim.run(time.Second)
	is.True(sim.runningIn("z0") > 0 && sim.runningIn("z1") > 0)
	sim.evacuate("z1")
	sim.run(3 * time.Second)
	is.Equal(sim.stops("gang"), 0) // 4 accelerators are free, and 8 of the gang are in z1
	for i := range 3 {
		sim.addWorker(fmt.Sprintf("w0x%d", i), 8)
	}
	sim.run(4 * time.Second)
	is.Equal(sim.stops("gang"), 1)
	is.Equal(sim.runningIn("z1"), 0)
	is.Equal(sim.runningIn("z0"), 20)
	sim.run(12 * time.Second)
	is.Equal(sim.state("gang"), batch.Done)
	is.Equal(sim.check(), nil)
}

// simulateMove returns a simulation in which a gang is being moved from z1 to
// z0.
func simulateMove(is *is.I) *simulation {
	sim := startSimulation(4)
	jb, pl := oneStepJob("j", 1, 2, 10*time.Second)
	jb.Steps[0].Checkpoints = true
	jb.Steps[0].Gang = true
	sim.submitIn("z1", jb, pl)
	sim.evacuate("z1")
	for range 3000 {
		if sim.decided("evacuation", "j") {
			return sim
		}
		sim.run(time.Millisecond)
	}
	is.Fail() // nothing is moved
	return sim
}

// TestChangesDuringMove makes a change at each of the first moments of a move:
// for example the zone returns to service, its target is evacuated as well, or
// the scheduler is killed. It guards against jobs that never end, starts in
// evacuated zones, and claims that are not released.
func TestChangesDuringMove(t *testing.T) {
	changes := map[string]func(sim *simulation){
		"reinstated": func(sim *simulation) { sim.evacuate() },
		"both": func(sim *simulation) {
			sim.evacuate("z0", "z1")
			sim.after(5*time.Second, func() { sim.evacuate("z1") })
		},
		"takeover":    func(sim *simulation) { sim.elect() },
		"cancel":      func(sim *simulation) { sim.cancel("j") },
		"unreachable": func(sim *simulation) { sim.unreachable["w11"] = true },
	}
	for name, change := range changes {
		t.Run(name, func(t *testing.T) {
			for ms := 0; ms < 40; ms += 4 {
				is := is.New(t)
				sim := simulateMove(is)
				sim.run(time.Duration(ms) * time.Millisecond)
				change(sim)
				sim.run(40 * time.Second)
				clear(sim.unreachable)
				is.True(sim.state("j").Final())
				is.Equal(sim.state("j") == batch.Done, name != "cancel")
				is.Equal(sim.lateStarts, nil)
				is.Equal(sim.check(), nil)
				fill, pl := oneStepJob("fill", 1, 16, time.Second) // the claimed capacity is free again
				sim.submitIn("z0", fill, pl)
				sim.run(5 * time.Second)
				is.Equal(sim.state("fill"), batch.Done)
			}
		})
	}
}

// TestTakeoverAppliesEvacuation kills the scheduler after a zone was evacuated
// and before it has learned that, so that only its successor can apply it.
func TestTakeoverAppliesEvacuation(t *testing.T) {
	is := is.New(t)
	sim := startSimulation(4)
	jb, pl := oneStepJob("j", 1, 100, 500*time.Millisecond)
	sim.submit(jb, pl)
	sim.run(300 * time.Millisecond)
	is.True(sim.runningIn("z1") > 0)
	sim.evacuated, sim.evacuatedAt = []string{"z1"}, sim.now
	sim.elect()
	sim.run(time.Second)
	is.Equal(sim.runningIn("z1"), 0)
	sim.run(10 * time.Second)
	is.Equal(sim.state("j"), batch.Done)
	is.Equal(sim.lateStarts, nil)
	is.Equal(sim.check(), nil)
}

// TestOverlappingEvacuations evacuates two zones with an overlap in time, as in
// the maintenance of a region. Nothing runs in them, and a third zone is used
// fully.
func TestOverlappingEvacuations(t *testing.T) {
	is := is.New(t)
	sim := startSimulation(4)
	for i := range 2 {
		sim.addWorker(fmt.Sprintf("w2x%d", i), 8)
	}
	jb, pl := oneStepJob("j", 1, 400, 700*time.Millisecond)
	sim.submit(jb, pl)
	for _, zones := range [][]string{{"z0"}, {"z0", "z1"}, {"z1"}, nil} {
		sim.evacuate(zones...)
		sim.run(time.Second)
		most := 0
		for range 100 {
			sim.run(5 * time.Millisecond)
			for _, zone := range zones {
				is.Equal(sim.runningIn(zone), 0)
			}
			most = max(most, sim.runningIn("z2"))
		}
		is.Equal(most, 16)
	}
	sim.run(10 * time.Second)
	is.Equal(sim.state("j"), batch.Done)
	is.Equal(sim.lateStarts, nil)
	is.Equal(sim.check(), nil)
}

// TestUnconfirmedMovesReleaseClaims makes all workers lose their stop calls.
// Only few units are stopped for moves, and the capacity claimed for them is
// available to work within a guarantee at once, and to other work soon.
func TestUnconfirmedMovesReleaseClaims(t *testing.T) {
	tests := []struct {
		name     string
		priority int
		after    time.Duration
		began    bool
	}{
		{"guaranteed", 0, 0, true},
		{"at once", 2, 0, false},
		{"later", 2, 2200 * time.Millisecond, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			sim := startSimulation(12)
			jb, pl := oneStepJob("j", 1, 6, 20*time.Second)
			jb.Steps[0].Checkpoints = true
			jb.Steps[0].Needs.Accelerators = 8
			sim.submitIn("z1", jb, pl)
			for id := range sim.workers {
				sim.fleet.LoseStops(id)
			}
			sim.evacuate("z1")
			for sim.stops("j") < 4 {
				sim.run(10 * time.Millisecond)
			}
			sim.run(300 * time.Millisecond)
			is.Equal(sim.stops("j"), 4)
			sim.evacuate()
			sim.run(tt.after)
			// The rest of z0 is taken, and nothing there can be preempted.
			fill, pl := oneStepJob("fill", 0, 2, 20*time.Second)
			fill.Workspace = "b"
			fill.Steps[0].Needs.Accelerators = 8
			sim.submit(fill, pl)
			sim.run(200 * time.Millisecond)
			other, pl := oneStepJob("other", tt.priority, 2, time.Second)
			other.Steps[0].Needs.Accelerators = 8
			sim.submit(other, pl)
			sim.run(700 * time.Millisecond)
			is.Equal(sim.fleet.Running("other") > 0, tt.began)
		})
	}
}

// TestEvacuationDespiteFaults evacuates and reinstates zones while other faults
// happen to workers and schedulers. Nothing starts in evacuated zones, and
// every job ends once the faults are over. The input saved in testdata/rapid is
// replayed first, as a regression test.
func TestEvacuationDespiteFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		sim := startSimulation(6)
		submitMixed(rt, sim)
		long, pl := oneStepJob("long", 1, rapid.IntRange(1, 8).Draw(rt, "long"), 8*time.Second)
		long.Steps[0].Checkpoints = true
		long.Steps[0].Gang = rapid.Bool().Draw(rt, "gang")
		sim.submit(long, pl)
		for i := range rapid.IntRange(1, 5).Draw(rt, "faults") {
			sim.evacuate(rapid.SampledFrom([][]string{nil, {"z0"}, {"z1"}, {"z0", "z1"}}).Draw(rt, "zones")...)
			sim.run(time.Duration(rapid.IntRange(0, 2500).Draw(rt, "pause")) * time.Millisecond)
			injectFault(rt, sim, i)
		}
		sim.run(3 * time.Second)
		sim.clearFaults()
		sim.evacuate()
		sim.run(maxAttemptDelay + 30*time.Second)
		for id := range sim.jobs {
			if !sim.state(id).Final() {
				rt.Fatalf("job %s is %v\n%s", id, sim.state(id), sim.logTail())
			}
		}
		if violations := append(sim.check(), sim.lateStarts...); len(violations) > 0 {
			rt.Fatalf("violations: %v\n%s", violations, sim.logTail())
		}
	})
}
