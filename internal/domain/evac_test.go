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

// minRemaining is from how much time left work is moved out of an evacuated zone, and
// maxEvacuationDelay the time after which no start may be sent there.
const (
	minRemaining       = 3 * time.Second
	maxEvacuationDelay = 50 * time.Millisecond
)

func (sim *simulation) evacuate(zones ...string) {
	sim.evacuated, sim.evacuatedAt = zones, sim.now
	sim.notify(domain.Evacuated{Zones: zones})
}

// checkStart notes a start that is sent to a zone too long after it was marked.
func (sim *simulation) checkStart(wk runner.Worker) {
	if slices.Contains(sim.evacuated, wk.Zone) && sim.now.Sub(sim.evacuatedAt) > maxEvacuationDelay {
		sim.lateStarts = append(sim.lateStarts, wk.ID)
	}
}

// runningIn counts the tasks that the workers of a zone run.
func (sim *simulation) runningIn(zone string) int {
	n := 0
	for id, wk := range sim.workers {
		if wk.Zone == zone {
			n += sim.fleet.RunningOn(id)
		}
	}
	return n
}

// TestNothingStartsInAnEvacuatedZone guards against starts there, also after a
// change of the scheduler, and against a zone that is not used once it is back.
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

// TestEvacuationStopsPlacedUnits asks to empty both zones while the
// record of a gang over both of them is written, so that no start may be sent.
func TestEvacuationStopsPlacedUnits(t *testing.T) {
	for _, zones := range [][]string{{"z1"}, {"z0", "z1"}} {
		is := is.New(t)
		sim := startSimulation(4)
		gang, pl := oneStepJob("gang", 1, 20, time.Second)
		gang.Steps[0].Gang = true
		sim.submit(gang, pl)
		for !sim.decided("placed", "gang") { // until its record is being written
			sim.run(time.Millisecond)
		}
		sim.leader.core.Handle(sim.now, domain.Evacuated{Zones: zones})
		sim.evacuate(zones...)
		sim.run(time.Second)
		is.Equal(sim.fleet.Starts, 0)
		sim.evacuate()
		sim.run(5 * time.Second)
		is.Equal(sim.state("gang"), batch.Done)
		is.Equal(sim.check(), nil)
	}
}

// submitIn submits a job that starts in one of the zones z0 and z1, and lets it
// run for a while there.
func (sim *simulation) submitIn(zone string, jb batch.Job, pl taskPlan) {
	other := map[string]string{"z0": "z1", "z1": "z0"}[zone]
	sim.evacuate(other)
	sim.run(100 * time.Millisecond)
	sim.submit(jb, pl)
	sim.run(time.Second)
	sim.evacuate()
	sim.run(100 * time.Millisecond)
}

// TestEvacuationMovesOnlyCheapWork guards against work that is stopped in a zone
// although it would lose its state, would end soon anyway, would find no room, or
// is guaranteed its room.
func TestEvacuationMovesOnlyCheapWork(t *testing.T) {
	tests := []struct {
		name     string
		change   func(jb *batch.Job)
		work     time.Duration
		priority int
		full     bool // the other zone has no room
		moved    bool
	}{
		{name: "long", work: 10 * time.Second, priority: 1, moved: true},
		{name: "gang", work: 10 * time.Second, priority: 1, moved: true, change: func(jb *batch.Job) { jb.Steps[0].Gang = true }},
		{name: "no checkpoints", work: 10 * time.Second, priority: 1, change: func(jb *batch.Job) { jb.Steps[0].Checkpoints = false }},
		{name: "ends soon", work: 4500 * time.Millisecond, priority: 1},
		{name: "no room", work: 10 * time.Second, priority: 1, full: true},
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
			is.True(sim.took("j") < tt.work+5*time.Second) // goes on from its checkpoint
			is.Equal(sim.lateStarts, nil)
			is.Equal(sim.check(), nil)
		})
	}
}

// TestEvacuationMovesAreBounded guards against a zone whose whole work stands still at once.
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
	is.True(least >= 10) // some wait for the record of their next attempt
	is.Equal(sim.runningIn("z1"), 0)
	is.Equal(sim.evacuatedTasks, map[string]int{"z1": 0})
	is.Equal(sim.evacuations[len(sim.evacuations)-1].Zones, []domain.ZoneLeft{{Zone: "z1", Workers: 2}})
	sim.evacuate()
	sim.run(20 * time.Second)
	is.Equal(sim.evacuatedTasks, nil)
	is.Equal(sim.evacuations[len(sim.evacuations)-1].Zones, []domain.ZoneLeft{})
	is.Equal(sim.state("j"), batch.Done)
	is.Equal(sim.stops("j"), 16)
	is.Equal(sim.check(), nil)
}

// TestEvacuationRespectsDisruptionLimit guards against more of its tasks away
// than it may miss.
func TestEvacuationRespectsDisruptionLimit(t *testing.T) {
	is := is.New(t)
	sim := startSimulation(4)
	jb, pl := oneStepJob("serves", 1, 4, time.Hour)
	jb.Steps[0].Lasting = true
	jb.Steps[0].MayMiss = 1
	jb.Steps[0].Needs.Accelerators = 4
	sim.submitIn("z1", jb, pl)
	sim.run(3 * time.Second) // at work
	sim.evacuate("z1")
	for range 1000 {
		sim.run(20 * time.Millisecond)
		is.True(sim.fleet.Running("serves") >= 3)
	}
	is.Equal(sim.runningIn("z0"), 4)
	is.Equal(sim.stops("serves"), 4)
	is.Equal(sim.check(), nil)
}

// TestGangAcrossZonesMovesWhole guards against a gang of which only the part
// in the zone is moved, and against one that is stopped with room for that part.
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

// movingJob returns a world in which a unit is being moved from z1 to z0.
func movingJob(is *is.I) *simulation {
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
	is.Fail() // nothing moves
	return sim
}

// TestChangesDuringMove changes something at each of the first moments of a
// move: the zone comes back, its target is evacuated, too, the scheduler dies.
func TestChangesDuringMove(t *testing.T) {
	changes := map[string]func(sim *simulation){
		"back": func(sim *simulation) { sim.evacuate() },
		"both": func(sim *simulation) {
			sim.evacuate("z0", "z1")
			sim.after(5*time.Second, func() { sim.evacuate("z1") })
		},
		"takeover": func(sim *simulation) { sim.elect() },
		"cancel":   func(sim *simulation) { sim.cancel("j") },
		"silent":   func(sim *simulation) { sim.unreachable["w11"] = true },
	}
	for name, change := range changes {
		t.Run(name, func(t *testing.T) {
			for ms := 0; ms < 40; ms += 4 {
				is := is.New(t)
				sim := movingJob(is)
				sim.run(time.Duration(ms) * time.Millisecond)
				change(sim)
				sim.run(40 * time.Second)
				clear(sim.unreachable)
				is.True(sim.state("j").Final())
				is.Equal(sim.state("j") == batch.Done, name != "cancel")
				is.Equal(sim.lateStarts, nil)
				is.Equal(sim.check(), nil)
				fill, pl := oneStepJob("fill", 1, 16, time.Second) // the room that was held is free
				sim.submitIn("z0", fill, pl)
				sim.run(5 * time.Second)
				is.Equal(sim.state("fill"), batch.Done)
			}
		})
	}
}

// TestTakeoverAppliesEvacuation kills the scheduler after a zone was marked and
// before it knows that, so that only its successor can bring it into effect.
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

// TestOverlappingEvacuations evacuates two zones that overlap in time, as when a
// region is serviced.
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

// TestUnconfirmedMovesReleaseClaims lets the workers of a zone lose their stops: few units are
// stopped for it, and the room that waits for them is free for work within a
// guarantee at once, and for other work soon.
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
				sim.fleet.Deafen(id)
			}
			sim.evacuate("z1")
			for sim.stops("j") < 4 {
				sim.run(10 * time.Millisecond)
			}
			sim.run(300 * time.Millisecond)
			is.Equal(sim.stops("j"), 4)
			sim.evacuate()
			sim.run(tt.after)
			// The rest of z0 is taken, and nothing can make way there.
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

// TestEvacuationDespiteFaults marks zones and takes them back while all else that
// may happen to workers and schedulers happens: nothing starts there, and every
// job ends once the trouble is over.
func TestEvacuationDespiteFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		sim := startSimulation(6)
		submitMixed(rt, sim)
		long, pl := oneStepJob("long", 1, rapid.IntRange(1, 8).Draw(rt, "long"), 8*time.Second)
		long.Steps[0].Checkpoints = true
		long.Steps[0].Gang = rapid.Bool().Draw(rt, "gang")
		sim.submit(long, pl)
		for i := range rapid.IntRange(1, 5).Draw(rt, "troubles") {
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
				rt.Fatalf("job %s is %v\n%s", id, sim.state(id), sim.tail())
			}
		}
		if violations := append(sim.check(), sim.lateStarts...); len(violations) > 0 {
			rt.Fatalf("broken: %v\n%s", violations, sim.tail())
		}
	})
}
