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

// moveOver is from how much time left work is moved out of an evacuated zone, and
// effect the time after which no start may be sent there.
const (
	moveOver = 3 * time.Second
	effect   = 50 * time.Millisecond
)

func (wo *world) evacuate(zones ...string) {
	wo.evacuated, wo.marked = zones, wo.now
	wo.tell(domain.Evacuated{Zones: zones})
}

// noteStart notes a start that is sent to a zone too long after it was marked.
func (wo *world) noteStart(wk runner.Worker) {
	if slices.Contains(wo.evacuated, wk.Zone) && wo.now.Sub(wo.marked) > effect {
		wo.late = append(wo.late, wk.ID)
	}
}

// runningIn counts the tasks that the workers of a zone run.
func (wo *world) runningIn(zone string) int {
	n := 0
	for id, wk := range wo.workers {
		if wk.Zone == zone {
			n += wo.fleet.RunningOn(id)
		}
	}
	return n
}

// TestNothingStartsInAnEvacuatedZone guards against starts there, also after a
// change of the scheduler, and against a zone that is not used once it is back.
func TestNothingStartsInAnEvacuatedZone(t *testing.T) {
	is := is.New(t)
	wo := calm(4)
	wo.evacuate("z1")
	wo.run(10 * time.Millisecond)
	jb, pl := single("j", 1, 32, 2*time.Second)
	wo.submit(jb, pl)
	wo.run(time.Second)
	is.Equal(wo.runningIn("z0"), 16)
	is.Equal(wo.runningIn("z1"), 0)
	wo.elect()
	wo.run(2 * time.Second)
	is.Equal(wo.runningIn("z1"), 0)
	wo.evacuate()
	jb, pl = single("k", 1, 32, 2*time.Second)
	wo.submit(jb, pl)
	wo.run(time.Second)
	is.True(wo.runningIn("z1") > 0)
	wo.run(10 * time.Second)
	is.Equal(wo.state("j"), batch.Done)
	is.Equal(wo.state("k"), batch.Done)
	is.Equal(wo.check(), nil)
}

// TestEvacuationWithdrawsWhatHasNotStarted asks to empty both zones while the
// record of a gang over both of them is written, so that no start may be sent.
func TestEvacuationWithdrawsWhatHasNotStarted(t *testing.T) {
	for _, zones := range [][]string{{"z1"}, {"z0", "z1"}} {
		is := is.New(t)
		wo := calm(4)
		gang, pl := single("gang", 1, 20, time.Second)
		gang.Steps[0].Gang = true
		wo.submit(gang, pl)
		for !wo.noted("placed", "gang") { // until its record is being written
			wo.run(time.Millisecond)
		}
		wo.holder.core.Handle(wo.now, domain.Evacuated{Zones: zones})
		wo.evacuate(zones...)
		wo.run(time.Second)
		is.Equal(wo.fleet.Starts, 0)
		wo.evacuate()
		wo.run(5 * time.Second)
		is.Equal(wo.state("gang"), batch.Done)
		is.Equal(wo.check(), nil)
	}
}

// onlyIn submits a job that starts in one of the zones z0 and z1, and lets it
// run for a while there.
func (wo *world) onlyIn(zone string, jb batch.Job, pl planned) {
	other := map[string]string{"z0": "z1", "z1": "z0"}[zone]
	wo.evacuate(other)
	wo.run(100 * time.Millisecond)
	wo.submit(jb, pl)
	wo.run(time.Second)
	wo.evacuate()
	wo.run(100 * time.Millisecond)
}

// TestDrainMovesOnlyWhatLosesLittle guards against work that is stopped in a zone
// although it would lose its state, would end soon anyway, would find no room, or
// is guaranteed its room.
func TestDrainMovesOnlyWhatLosesLittle(t *testing.T) {
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
			wo := calm(4)
			jb, pl := single("j", tt.priority, 2, tt.work)
			jb.Steps[0].Checkpoints = true
			if tt.change != nil {
				tt.change(&jb)
			}
			wo.onlyIn("z1", jb, pl)
			if tt.full {
				fill, pl := single("fill", 1, 16, 20*time.Second)
				wo.onlyIn("z0", fill, pl)
			}
			wo.evacuate("z1")
			wo.run(5 * time.Second)
			is.Equal(wo.stops("j") > 0, tt.moved)
			if tt.moved {
				is.Equal(wo.runningIn("z1"), 0)
			}
			wo.run(20 * time.Second)
			is.Equal(wo.state("j"), batch.Done)
			is.True(wo.took("j") < tt.work+5*time.Second) // goes on from its checkpoint
			is.Equal(wo.late, nil)
			is.Equal(wo.check(), nil)
		})
	}
}

// TestDrainIsBounded guards against a zone whose whole work stands still at once.
func TestDrainIsBounded(t *testing.T) {
	is := is.New(t)
	wo := calm(4)
	jb, pl := single("j", 1, 16, 20*time.Second)
	jb.Steps[0].Checkpoints = true
	wo.onlyIn("z1", jb, pl)
	wo.evacuate("z1")
	least := 16
	for range 2000 {
		wo.run(5 * time.Millisecond)
		least = min(least, wo.fleet.Running("j"))
	}
	is.True(least >= 10) // some wait for the record of their next attempt
	is.Equal(wo.runningIn("z1"), 0)
	is.Equal(wo.stayed, map[string]int{"z1": 0})
	is.Equal(wo.left[len(wo.left)-1].Zones, []domain.ZoneLeft{{Zone: "z1", Workers: 2}})
	wo.evacuate()
	wo.run(20 * time.Second)
	is.Equal(wo.stayed, nil)
	is.Equal(wo.left[len(wo.left)-1].Zones, []domain.ZoneLeft{})
	is.Equal(wo.state("j"), batch.Done)
	is.Equal(wo.stops("j"), 16)
	is.Equal(wo.check(), nil)
}

// TestLastingWorkIsMovedWithinWhatItMayMiss guards against more of its tasks away
// than it may miss.
func TestLastingWorkIsMovedWithinWhatItMayMiss(t *testing.T) {
	is := is.New(t)
	wo := calm(4)
	jb, pl := single("serves", 1, 4, time.Hour)
	jb.Steps[0].Lasting = true
	jb.Steps[0].MayMiss = 1
	jb.Steps[0].Needs.Accelerators = 4
	wo.onlyIn("z1", jb, pl)
	wo.run(3 * time.Second) // at work
	wo.evacuate("z1")
	for range 1000 {
		wo.run(20 * time.Millisecond)
		is.True(wo.fleet.Running("serves") >= 3)
	}
	is.Equal(wo.runningIn("z0"), 4)
	is.Equal(wo.stops("serves"), 4)
	is.Equal(wo.check(), nil)
}

// TestGangOverTheBoundaryMovesWhole guards against a gang of which only the part
// in the zone is moved, and against one that is stopped with room for that part.
func TestGangOverTheBoundaryMovesWhole(t *testing.T) {
	is := is.New(t)
	wo := calm(4)
	gang, pl := single("gang", 1, 20, 12*time.Second)
	gang.Steps[0].Gang = true
	gang.Steps[0].Checkpoints = true
	wo.submit(gang, pl)
	wo.run(time.Second)
	is.True(wo.runningIn("z0") > 0 && wo.runningIn("z1") > 0)
	wo.evacuate("z1")
	wo.run(3 * time.Second)
	is.Equal(wo.stops("gang"), 0) // 4 accelerators are free, and 8 of the gang are in z1
	for i := range 3 {
		wo.addWorker(fmt.Sprintf("w0x%d", i), 8)
	}
	wo.run(4 * time.Second)
	is.Equal(wo.stops("gang"), 1)
	is.Equal(wo.runningIn("z1"), 0)
	is.Equal(wo.runningIn("z0"), 20)
	wo.run(12 * time.Second)
	is.Equal(wo.state("gang"), batch.Done)
	is.Equal(wo.check(), nil)
}

// moving returns a world in which a unit is being moved from z1 to z0.
func moving(is *is.I) *world {
	wo := calm(4)
	jb, pl := single("j", 1, 2, 10*time.Second)
	jb.Steps[0].Checkpoints = true
	jb.Steps[0].Gang = true
	wo.onlyIn("z1", jb, pl)
	wo.evacuate("z1")
	for range 3000 {
		if wo.noted("evacuation", "j") {
			return wo
		}
		wo.run(time.Millisecond)
	}
	is.Fail() // nothing moves
	return wo
}

// TestChangeWhileWorkMoves changes something at each of the first moments of a
// move: the zone comes back, its target is evacuated, too, the scheduler dies.
func TestChangeWhileWorkMoves(t *testing.T) {
	changes := map[string]func(wo *world){
		"back":     func(wo *world) { wo.evacuate() },
		"both":     func(wo *world) { wo.evacuate("z0", "z1"); wo.after(5*time.Second, func() { wo.evacuate("z1") }) },
		"takeover": func(wo *world) { wo.elect() },
		"cancel":   func(wo *world) { wo.cancel("j") },
		"silent":   func(wo *world) { wo.silent["w11"] = true },
	}
	for name, change := range changes {
		t.Run(name, func(t *testing.T) {
			for ms := 0; ms < 40; ms += 4 {
				is := is.New(t)
				wo := moving(is)
				wo.run(time.Duration(ms) * time.Millisecond)
				change(wo)
				wo.run(40 * time.Second)
				clear(wo.silent)
				is.True(wo.state("j").Final())
				is.Equal(wo.state("j") == batch.Done, name != "cancel")
				is.Equal(wo.late, nil)
				is.Equal(wo.check(), nil)
				fill, pl := single("fill", 1, 16, time.Second) // the room that was held is free
				wo.onlyIn("z0", fill, pl)
				wo.run(5 * time.Second)
				is.Equal(wo.state("fill"), batch.Done)
			}
		})
	}
}

// TestKilledBetweenMarkAndEffect kills the scheduler after a zone was marked and
// before it knows that, so that only its successor can bring it into effect.
func TestKilledBetweenMarkAndEffect(t *testing.T) {
	is := is.New(t)
	wo := calm(4)
	jb, pl := single("j", 1, 100, 500*time.Millisecond)
	wo.submit(jb, pl)
	wo.run(300 * time.Millisecond)
	is.True(wo.runningIn("z1") > 0)
	wo.evacuated, wo.marked = []string{"z1"}, wo.now
	wo.elect()
	wo.run(time.Second)
	is.Equal(wo.runningIn("z1"), 0)
	wo.run(10 * time.Second)
	is.Equal(wo.state("j"), batch.Done)
	is.Equal(wo.late, nil)
	is.Equal(wo.check(), nil)
}

// TestZonesOneAfterTheOther evacuates two zones that overlap in time, as when a
// region is serviced.
func TestZonesOneAfterTheOther(t *testing.T) {
	is := is.New(t)
	wo := calm(4)
	for i := range 2 {
		wo.addWorker(fmt.Sprintf("w2x%d", i), 8)
	}
	jb, pl := single("j", 1, 400, 700*time.Millisecond)
	wo.submit(jb, pl)
	for _, zones := range [][]string{{"z0"}, {"z0", "z1"}, {"z1"}, nil} {
		wo.evacuate(zones...)
		wo.run(time.Second)
		most := 0
		for range 100 {
			wo.run(5 * time.Millisecond)
			for _, zone := range zones {
				is.Equal(wo.runningIn(zone), 0)
			}
			most = max(most, wo.runningIn("z2"))
		}
		is.Equal(most, 16)
	}
	wo.run(10 * time.Second)
	is.Equal(wo.state("j"), batch.Done)
	is.Equal(wo.late, nil)
	is.Equal(wo.check(), nil)
}

// TestMovesThatHang lets the workers of a zone lose their stops: few units are
// stopped for it, and the room that waits for them is free for work within a
// guarantee at once, and for other work soon.
func TestMovesThatHang(t *testing.T) {
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
			wo := calm(12)
			jb, pl := single("j", 1, 6, 20*time.Second)
			jb.Steps[0].Checkpoints = true
			jb.Steps[0].Needs.Accelerators = 8
			wo.onlyIn("z1", jb, pl)
			for id := range wo.workers {
				wo.fleet.Deafen(id)
			}
			wo.evacuate("z1")
			for wo.stops("j") < 4 {
				wo.run(10 * time.Millisecond)
			}
			wo.run(300 * time.Millisecond)
			is.Equal(wo.stops("j"), 4)
			wo.evacuate()
			wo.run(tt.after)
			// The rest of z0 is taken, and nothing can make way there.
			fill, pl := single("fill", 0, 2, 20*time.Second)
			fill.Workspace = "b"
			fill.Steps[0].Needs.Accelerators = 8
			wo.submit(fill, pl)
			wo.run(200 * time.Millisecond)
			other, pl := single("other", tt.priority, 2, time.Second)
			other.Steps[0].Needs.Accelerators = 8
			wo.submit(other, pl)
			wo.run(700 * time.Millisecond)
			is.Equal(wo.fleet.Running("other") > 0, tt.began)
		})
	}
}

// TestEvacuationAmongTroubles marks zones and takes them back while all else that
// may happen to workers and schedulers happens: nothing starts there, and every
// job ends once the trouble is over.
func TestEvacuationAmongTroubles(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		wo := calm(6)
		submitMixed(rt, wo)
		long, pl := single("long", 1, rapid.IntRange(1, 8).Draw(rt, "long"), 8*time.Second)
		long.Steps[0].Checkpoints = true
		long.Steps[0].Gang = rapid.Bool().Draw(rt, "gang")
		wo.submit(long, pl)
		for i := range rapid.IntRange(1, 5).Draw(rt, "troubles") {
			wo.evacuate(rapid.SampledFrom([][]string{nil, {"z0"}, {"z1"}, {"z0", "z1"}}).Draw(rt, "zones")...)
			wo.run(time.Duration(rapid.IntRange(0, 2500).Draw(rt, "pause")) * time.Millisecond)
			trouble(rt, wo, i)
		}
		wo.run(3 * time.Second)
		wo.heal()
		wo.evacuate()
		wo.run(attemptBound + 30*time.Second)
		for id := range wo.jobs {
			if !wo.state(id).Final() {
				rt.Fatalf("job %s is %v\n%s", id, wo.state(id), wo.tail())
			}
		}
		if bad := append(wo.check(), wo.late...); len(bad) > 0 {
			rt.Fatalf("broken: %v\n%s", bad, wo.tail())
		}
	})
}
