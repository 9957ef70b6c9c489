package place_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/cicadawharf/cicadawharf/internal/jobs"
	"github.com/cicadawharf/cicadawharf/internal/place"
	"github.com/cicadawharf/cicadawharf/pkg/spec"
)

// TestMain sets a fixed seed for the property tests; -rapid.seed overrides it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

var start = time.Unix(1_800_000_000, 0)

// rackWorkers returns the workers of n racks, eight each with eight accelerators.
func rackWorkers(n int) []place.Worker {
	zn := spec.Zone{Name: "z1"}
	for i := range n {
		zn.Racks = append(zn.Racks, spec.Rack{Name: fmt.Sprintf("r%d", i), Workers: 8, Accelerators: 8, Cores: 64})
	}
	return place.DeclaredWorkers(zn)
}

func shape(tasks, accelerators int, ad spec.Adjacency) spec.Shape {
	return spec.Shape{Tasks: tasks, Accelerators: accelerators, Adjacency: ad}
}

// decideAndApply decides on a request and applies the decision: it removes the
// victims and adds the gang.
func decideAndApply(fl *place.Fleet, now time.Time, rq place.Request) place.Decision {
	de := fl.Decide(now, rq)
	ga := place.Gang{
		Job: rq.Job, Workspace: rq.Workspace, Shape: rq.Shape, Priority: rq.Priority, Unit: place.NoUnit,
		Preemptible: rq.Preemptible, Started: now,
	}
	switch de := de.(type) {
	case place.Placed:
		ga.Workers, ga.Unit, ga.UnitWorkers = de.Workers, de.Unit, de.UnitWorkers
	case place.Preempt:
		for _, id := range de.Victims {
			fl.Remove(id)
		}
		ga.Workers, ga.Unit, ga.UnitWorkers = de.Workers, de.Unit, de.UnitWorkers
	case place.Waits:
		return de
	}
	fl.Add(ga)
	return de
}

// TestNonPreemptibleWorkKeepsGuarantees submits work to a rack of which all
// accelerators are guaranteed to one workspace. It guards against work of another
// workspace that can't be preempted and takes guaranteed capacity.
func TestNonPreemptibleWorkKeepsGuarantees(t *testing.T) {
	units := []place.Unit{{Workspace: "large", Shape: shape(8, 8, spec.SameRack)}}
	nonPreemptible := place.Request{Job: "gang", Workspace: "small", Shape: shape(1, 1, spec.SameZone), Priority: jobs.Normal}
	preemptible := nonPreemptible
	preemptible.Preemptible = true
	owner := nonPreemptible
	owner.Workspace = "large"
	tests := []struct {
		name    string
		racks   int
		request place.Request
		want    place.Decision
	}{
		{"work that isn't preemptible waits if it would take the only rack", 1, nonPreemptible, place.Waits{Reason: place.WaitsForGuarantee}},
		{"preemptible work runs there", 1, preemptible, place.Placed{Workers: []int{0}, Unit: place.NoUnit, Candidates: 2}},
		{"work of the unit's workspace uses the unit", 1, owner, place.Placed{Workers: []int{0}, Unit: 0, UnitWorkers: []int{0, 1, 2, 3, 4, 5, 6, 7}, Candidates: 3}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			fl := place.NewFleet(rackWorkers(tt.racks), units)
			is.New(t).Equal(fl.Decide(start, tt.request), tt.want)
		})
	}
}

// TestGangsFillPartlyUsedWorkersFirst checks that small gangs don't spread over
// workers and so leave none entirely free for a gang that needs a whole one.
func TestGangsFillPartlyUsedWorkersFirst(t *testing.T) {
	is := is.New(t)
	fl := place.NewFleet(rackWorkers(2), nil)
	rq := place.Request{Job: "a", Workspace: "w", Shape: shape(3, 1, spec.SameZone), Preemptible: true}
	first := decideAndApply(fl, start, rq).(place.Placed)
	rq.Job = "b"
	second := decideAndApply(fl, start, rq).(place.Placed)
	is.Equal(second.Workers, first.Workers)
	is.Equal(fl.FittingAccelerators(shape(1, 8, spec.SameWorker)), 15*8) // only one worker is partly used
}

func TestCheckReportsZoneTooSmallForGuarantees(t *testing.T) {
	const file = `timeZone: UTC
zones:
  - {name: z1, region: r, racks: [{name: a, workers: 4, accelerators: 8, cores: 64, memoryGiB: 64}]}
  - {name: z2, region: r, racks: [{name: a, workers: 4, accelerators: 8, cores: 64, memoryGiB: 64}]}
workspaces:
  - name: w
    guarantees:
      - {zone: z1, shape: {tasks: 4, accelerators: 8, adjacency: rack}, count: 1}
      - {zone: z2, shape: {tasks: 4, accelerators: 8, adjacency: rack}, count: 2}
services: []
`
	is := is.New(t)
	doc, err := spec.Parse("file", []byte(file))
	is.NoErr(err)
	fas := place.Check(doc)
	is.Equal(len(fas), 1)
	is.Equal(fas[0].Line, 4)
}

// TestPreemptionLosesLeastWork fills two racks with gangs that started one after
// the other. A guaranteed gang must preempt those that have run for less time.
func TestPreemptionLosesLeastWork(t *testing.T) {
	is := is.New(t)
	units := []place.Unit{{Workspace: "large", Shape: shape(8, 8, spec.SameRack)}}
	fl := place.NewFleet(rackWorkers(2), units)
	for i := range 16 {
		rq := place.Request{Job: fmt.Sprintf("j%02d", i), Workspace: "small", Shape: shape(1, 8, spec.SameWorker), Preemptible: true}
		decideAndApply(fl, start.Add(time.Duration(i)*time.Minute), rq)
	}
	de := fl.Decide(start.Add(time.Hour), place.Request{Job: "mine", Workspace: "large", Shape: shape(8, 8, spec.SameRack)})
	pr := de.(place.Preempt)
	is.Equal(len(pr.Victims), 8)
	for _, id := range pr.Victims {
		is.True(id >= "j08") // the later half, which has run for less time
	}
}

// TestDefragmentationMovesLosslessGangs partly fills every worker, so that no
// gang that needs a whole worker fits. Gangs may be moved for it only if it has
// aged, they lose no work, and they fit elsewhere.
func TestDefragmentationMovesLosslessGangs(t *testing.T) {
	later := start.Add(time.Hour)
	wide := place.Request{Job: "wide", Workspace: "w", Shape: shape(1, 8, spec.SameWorker), Preemptible: true, Aged: true}
	young := wide
	young.Aged = false
	tests := []struct {
		name      string
		lossless  bool
		perWorker int // accelerators that the gang on each worker uses
		request   place.Request
		victims   int
	}{
		{"a small gang moves to a partly used worker", true, 3, wide, 1},
		{"not for a job that has not aged", true, 3, young, 0},
		{"not if the gangs would lose work", false, 3, wide, 0},
		{"not without free capacity elsewhere", true, 5, wide, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			fl := place.NewFleet(rackWorkers(1), nil)
			for at := range 8 {
				fl.Add(place.Gang{
					Job: fmt.Sprintf("g%d", at), Workspace: "w", Shape: shape(1, tt.perWorker, spec.SameZone), Unit: place.NoUnit,
					Preemptible: true, Lossless: tt.lossless, Started: start, Workers: []int{at},
				})
			}
			switch de := fl.Decide(later, tt.request).(type) {
			case place.Preempt:
				is.Equal(len(de.Victims), tt.victims)
				is.Equal(de.Lost, time.Duration(0))
			default:
				is.Equal(tt.victims, 0)
				_, waits := de.(place.Waits)
				is.True(waits)
			}
		})
	}
}

// TestUrgentJobsStayWithinFairShare checks that an urgent job preempts work of a
// workspace above its fair share, but not if its own workspace would then exceed
// its own share.
func TestUrgentJobsStayWithinFairShare(t *testing.T) {
	is := is.New(t)
	fl := place.NewFleet(rackWorkers(1), nil)
	for i := range 8 {
		decideAndApply(fl, start, place.Request{Job: fmt.Sprintf("j%d", i), Workspace: "busy", Shape: shape(1, 8, spec.SameWorker), Priority: jobs.Normal, Preemptible: true})
	}
	share := func(string) int { return 32 }
	rq := place.Request{Job: "u", Workspace: "quiet", Shape: shape(1, 8, spec.SameWorker), Priority: jobs.Urgent, Preemptible: true, Share: 32, ShareOf: share}
	_, ok := fl.Decide(start, rq).(place.Preempt)
	is.True(ok) // busy uses twice its share
	rq.Share = 4
	_, ok = fl.Decide(start, rq).(place.Waits)
	is.True(ok) // would exceed its own share
}

// TestEveryUnusedUnitKeepsReservation places and removes gangs at random. After
// every step, every unused unit must have a reservation, and a gang that an
// unused unit covers must never wait.
func TestEveryUnusedUnitKeepsReservation(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		units := randomUnits(rt)
		fl := place.NewFleet(rackWorkers(4), units)
		unused, reserved := fl.UnusedUnits()
		if reserved < unused {
			rt.Skip("declarations that Check rejects")
		}
		var placed []string
		for i := range rapid.IntRange(1, 120).Draw(rt, "steps") {
			now := start.Add(time.Duration(i) * time.Minute)
			if len(placed) > 0 && rapid.IntRange(0, 3).Draw(rt, "end") == 0 {
				at := rapid.IntRange(0, len(placed)-1).Draw(rt, "which")
				fl.Remove(placed[at])
				placed = append(placed[:at], placed[at+1:]...)
				continue
			}
			rq := randomRequest(rt, i)
			covered := fl.UnitFor(rq.Workspace, rq.Shape) != place.NoUnit
			de := decideAndApply(fl, now, rq)
			if _, waits := de.(place.Waits); waits && covered {
				rt.Fatalf("step %d: %+v waits although an unused unit covers it", i, rq)
			} else if !waits {
				placed = append(placed, rq.Job)
			}
			unused, reserved := fl.UnusedUnits()
			if reserved < unused {
				rt.Fatalf("step %d: %+v left %d of %d unused units with a reservation", i, rq, reserved, unused)
			}
		}
	})
}

func randomUnits(rt *rapid.T) []place.Unit {
	var units []place.Unit
	for range rapid.IntRange(1, 6).Draw(rt, "units") {
		units = append(units, place.Unit{
			Workspace: rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "owner"),
			Shape: rapid.SampledFrom([]spec.Shape{
				shape(4, 8, spec.SameRack), shape(8, 8, spec.SameRack), shape(2, 4, spec.SameWorker),
				shape(8, 4, spec.SameRack), shape(8, 2, spec.SameZone), shape(16, 4, spec.SameZone),
			}).Draw(rt, "unit"),
		})
	}
	return units
}

func randomRequest(rt *rapid.T, i int) place.Request {
	return place.Request{
		Job:       fmt.Sprintf("j%d", i),
		Workspace: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "workspace"),
		Shape: rapid.SampledFrom([]spec.Shape{
			shape(1, 1, spec.SameZone), shape(1, 8, spec.SameWorker), shape(2, 2, spec.SameRack), shape(4, 8, spec.SameRack),
			shape(8, 4, spec.SameRack), shape(3, 1, spec.SameWorker), shape(16, 2, spec.SameZone), shape(1, 0, spec.SameZone),
		}).Draw(rt, "shape"),
		Priority:    rapid.SampledFrom([]jobs.Priority{jobs.Low, jobs.Normal, jobs.Urgent}).Draw(rt, "priority"),
		Preemptible: rapid.Bool().Draw(rt, "preemptible"),
	}
}
