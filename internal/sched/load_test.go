package sched_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadawharf/cicadawharf/internal/jobs"
	"github.com/cicadawharf/cicadawharf/internal/sched"
	"github.com/cicadawharf/cicadawharf/pkg/codes"
	"github.com/cicadawharf/cicadawharf/pkg/spec"
)

// countByCode counts the jobs in the store by code; zero is the key of those that
// have not ended.
func countByCode(sim *simulation) map[codes.Code]int {
	counts := map[codes.Code]int{}
	for _, bu := range sim.store.buckets {
		for _, rc := range bu {
			if rc.State == jobs.Ended {
				counts[rc.Code]++
			} else {
				counts[0]++
			}
		}
	}
	return counts
}

// TestBurstOfSmallJobs checks that the number of writes to the store is bounded
// by time and does not grow with the number of jobs.
func TestBurstOfSmallJobs(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(2, small, large)
	sim.run(time.Second)
	before := sim.store.writes
	for i := range 500 {
		sim.submit(gang(fmt.Sprintf("z1.s%d", i), 1, 1, "sleep", "500ms"))
	}
	begin := sim.now
	for sim.now.Sub(begin) < time.Minute && countByCode(sim)[codes.JobDone] < 500 {
		sim.run(100 * time.Millisecond)
	}
	is.Equal(countByCode(sim), map[codes.Code]int{codes.JobDone: 500})
	is.Equal(sim.checkInvariants(), nil)
	periods := int(sim.now.Sub(begin)/(100*time.Millisecond)) + 1
	is.True(sim.store.writes-before <= periods*len(sim.store.buckets)) // at most one write of a bucket every 100 ms
}

// TestSmallWorkspaceBesideLarge submits many jobs of one workspace to a full
// zone, and then one of another workspace, which must not wait for them all.
func TestSmallWorkspaceBesideLarge(t *testing.T) {
	is := is.New(t)
	largeWS := spec.Workspace{Name: "large", Weight: 1}
	smallWS := spec.Workspace{Name: "small", Weight: 1}
	sim := newSimulation(1, largeWS, smallWS)
	sim.run(time.Second)
	for i := range 200 {
		sp := gang(fmt.Sprintf("z1.h%d", i), 1, 8, "sleep", "5s")
		sp.Workspace = "large"
		sim.submit(sp)
	}
	sim.run(2 * time.Second)
	sim.submit(gang("z1.small", 1, 8, "sleep", "1s"))
	sim.run(8 * time.Second)
	checkEnd(t, sim, "z1.small", codes.JobDone)
	is.True(countByCode(sim)[0] > 150) // the large workspace still has jobs waiting
}

// TestLargeGangDoesNotStarve keeps the zone busy with small jobs while a gang
// waits that needs a whole rack. The gang must get a reservation when it has
// aged, and end within 40 minutes.
func TestLargeGangDoesNotStarve(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, spec.Workspace{Name: "large", Weight: 1}, spec.Workspace{Name: "small", Weight: 1})
	sim.run(time.Second)
	wide := gang("z1.wide", 4, 8, "sleep", "1m")
	wide.Workspace = "large"
	feed := func(i int) {
		sp := gang(fmt.Sprintf("z1.f%d", i), 1, 4, "sleep", "3m")
		sp.RunTime = 3 * time.Minute
		sim.submit(sp)
	}
	for i := range 8 {
		feed(i)
		sim.run(20 * time.Second)
	}
	sim.submit(wide)
	for i := range 150 {
		feed(8 + i)
		sim.run(20 * time.Second)
	}
	rc, _ := sim.record("z1.wide")
	is.Equal(rc.Code, codes.JobDone)
	is.True(rc.Ended.Sub(rc.Submitted) < 40*time.Minute)
	is.Equal(sim.checkInvariants(), nil)
}

// TestJobOverQuotaReservesNothing lets a gang age that waits because of its
// workspace's quota. No capacity may be reserved for it, so that work of another
// workspace starts.
func TestJobOverQuotaReservesNothing(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, spec.Workspace{Name: "small", Weight: 1, Quota: 32}, spec.Workspace{Name: "large", Weight: 1})
	sim.run(time.Second)
	long := func(id, workspace string, tasks int, run time.Duration) jobs.Spec {
		sp := gang(id, tasks, 8, "sleep", run.String())
		sp.Workspace = workspace
		sp.RunTime = run
		return sp
	}
	sim.submit(long("z1.first", "small", 1, 3*time.Hour))
	sim.submit(long("z1.wide", "small", 4, time.Minute))
	sim.run(30 * time.Minute)
	sim.submit(long("z1.other", "large", 1, 5*time.Hour))
	sim.run(time.Minute)
	is.Equal(len(sim.runsOf("z1.other")), 1)
	is.Equal(len(sim.runsOf("z1.wide")), 0)
}

// TestMassCancellation cancels every second job of a full zone and its queue. The
// code of a cancelled job must say whether it has run, and all others must
// complete.
func TestMassCancellation(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(2, small, large)
	sim.run(time.Second)
	for i := range 60 {
		sim.submit(gang(fmt.Sprintf("z1.c%d", i), 2, 4, "sleep", "4s"))
	}
	sim.run(2 * time.Second)
	for i := 0; i < 60; i += 2 {
		sim.cancel(fmt.Sprintf("z1.c%d", i))
	}
	sim.run(time.Minute)
	counts := countByCode(sim)
	is.Equal(counts[codes.JobDone], 30)
	is.Equal(counts[codes.JobCancelled]+counts[codes.CancelledUnstarted], 30)
	is.True(counts[codes.JobCancelled] > 0 && counts[codes.CancelledUnstarted] > 0)
	is.Equal(sim.checkInvariants(), nil)
}

// TestRackLost disconnects a whole rack with running gangs. Every job must end,
// either by running again elsewhere or as lost.
func TestRackLost(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(3, small)
	sim.run(time.Second)
	for i := range 4 {
		sp := gang(fmt.Sprintf("z1.r%d", i), 2, 8, "sleep", "20s")
		sp.Repeatable = i%2 == 0
		sim.submit(sp)
	}
	sim.run(3 * time.Second)
	for _, hs := range sim.hosts {
		sim.partitioned[hs.Name] = hs.Rack == sim.hosts[0].Rack
	}
	sim.run(2 * time.Minute)
	counts := countByCode(sim)
	is.Equal(counts[0], 0)
	is.Equal(counts[codes.JobDone]+counts[codes.AttemptLost], 4)
	is.Equal(sim.checkInvariants(), nil)
}

// TestFailingWorkerIsSuspended checks that a worker on which different jobs fail
// is suspended and later used again, and that jobs that fail on every worker
// suspend none.
func TestFailingWorkerIsSuspended(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, small)
	sim.run(time.Second)
	for i := range 3 {
		sim.submit(gang(fmt.Sprintf("z1.bad%d", i), 1, 8, "fail", "10ms"))
		sim.run(5 * time.Second)
	}
	suspended := func() bool {
		return slices.ContainsFunc(sim.decisions, func(ld sched.LogDecision) bool { return ld.Decision == "aside" })
	}
	is.True(!suspended())
	faulty := sim.hosts[0].Name
	sim.tables[faulty].SetFailStarts(true)
	for i := range 12 {
		sim.submit(gang(fmt.Sprintf("z1.ok%d", i), 1, 8, "sleep", "1s"))
		sim.run(3 * time.Second)
	}
	is.True(suspended())
	sim.tables[faulty].SetFailStarts(false)
	sim.run(2 * time.Minute)
	is.Equal(sim.current().core.Summary(sim.now).Workers, 4) // used again, on probation
	is.Equal(countByCode(sim), map[codes.Code]int{codes.JobFailed: 3, codes.JobDone: 12})
	is.Equal(sim.checkInvariants(), nil)
}

// TestUnlistedWorkerKeepsItsJob replaces the scheduler while the platform's list
// lacks a worker with a running job. The job must complete there and not be taken
// for lost.
func TestUnlistedWorkerKeepsItsJob(t *testing.T) {
	sim := newSimulation(2, small)
	sim.run(time.Second)
	sp := gang("z1.a", 1, 8, "sleep", "40s")
	sp.Repeatable = false
	sim.submit(sp)
	sim.run(2 * time.Second)
	sim.unlisted = sim.runs()[0].Worker
	sim.current().stopped = true
	sim.takeOver()
	sim.run(time.Minute)
	checkEnd(t, sim, "z1.a", codes.JobDone)
}

// TestDrainingWorkerIsVacated drains a worker with one gang that can be moved
// without lost work and one that can't. Only the first may be stopped and run
// elsewhere.
func TestDrainingWorkerIsVacated(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(2, small)
	sim.run(time.Second)
	for _, checkpoint := range []bool{true, false} {
		sp := gang(fmt.Sprintf("z1.e%v", checkpoint), 1, 4, "sleep", "1m")
		sp.Checkpoint = checkpoint
		sim.submit(sp)
	}
	sim.run(3 * time.Second)
	name := sim.runs()[0].Worker
	is.Equal(sim.runs()[1].Worker, name)
	sim.tables[name].SetDraining(true)
	sim.run(5 * time.Second)
	moved := sim.runsOf("z1.etrue")
	is.Equal(len(moved), 2)
	is.True(moved[1].Worker != name && moved[1].Ended.IsZero() || moved[0].Worker != name && moved[0].Ended.IsZero())
	is.Equal(len(sim.runsOf("z1.efalse")), 1) // it keeps running where it is
	sim.run(2 * time.Minute)
	is.Equal(countByCode(sim), map[codes.Code]int{codes.JobDone: 2})
	is.Equal(sim.checkInvariants(), nil)
}

// TestLongStoreOutage makes the store unavailable for an hour while jobs wait
// and run. All of them must complete.
func TestLongStoreOutage(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(2, small, large)
	sim.run(time.Second)
	for i := range 20 {
		sp := gang(fmt.Sprintf("z1.o%d", i), 2, 8, "sleep", "4m")
		sp.Repeatable = i%2 == 0
		sim.submit(sp)
	}
	sim.run(5 * time.Second)
	sim.store.down = true
	sim.run(time.Hour)
	sim.heal(time.Hour)
	is.Equal(countByCode(sim), map[codes.Code]int{codes.JobDone: 20})
	is.Equal(sim.checkInvariants(), nil)
}

// TestInvalidSubmissions checks that each invalid submission is refused with its
// code and is not recorded.
func TestInvalidSubmissions(t *testing.T) {
	sim := newSimulation(1, small, large)
	sim.run(time.Second)
	tests := []struct {
		name   string
		change func(sp *jobs.Spec)
		want   codes.Code
	}{
		{"unknown workspace", func(sp *jobs.Spec) { sp.Workspace = "nobody" }, codes.UnknownWorkspace},
		{"no tasks", func(sp *jobs.Spec) { sp.Shape.Tasks = 0 }, codes.ShapeTooLarge},
		{"more than 32 tasks", func(sp *jobs.Spec) { sp.Shape.Tasks = 33 }, codes.ShapeTooLarge},
		{"negative accelerators", func(sp *jobs.Spec) { sp.Shape.Accelerators = -1 }, codes.ShapeTooLarge},
		{"larger than a worker", func(sp *jobs.Spec) { sp.Shape.Accelerators = 9 }, codes.ShapeNeverFits},
		{"larger than the quota", func(sp *jobs.Spec) { sp.Shape.Tasks = 9; sp.Shape.Accelerators = 8 }, codes.QuotaExceeded},
		{"not preemptible on guaranteed capacity", func(sp *jobs.Spec) { sp.Repeatable = false }, codes.ShapeNeverFits},
	}
	for i, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			sp := gang(fmt.Sprintf("z1.x%d", i), 1, 8, "sleep", "1s")
			tt.change(&sp)
			rid := sim.submit(sp)
			sim.run(time.Second)
			is.Equal(codes.Of(sim.answers[rid].Err).Code.String(), tt.want.String())
			is.Equal(len(countByCode(sim)), 0)
		})
	}
}
