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

// ended counts the jobs of the store by their code; zero stands for those that
// have not ended.
func ended(wd *world) map[codes.Code]int {
	counts := map[codes.Code]int{}
	for _, bu := range wd.store.buckets {
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

// TestBurstOfSmallJobs checks that the store's calls grow with time and not
// with the number of jobs.
func TestBurstOfSmallJobs(t *testing.T) {
	is := is.New(t)
	wd := newWorld(2, small, large)
	wd.run(time.Second)
	before := wd.store.writes
	for i := range 500 {
		wd.submit(gang(fmt.Sprintf("z1.s%d", i), 1, 1, "sleep", "500ms"))
	}
	begin := wd.now
	for wd.now.Sub(begin) < time.Minute && ended(wd)[codes.JobDone] < 500 {
		wd.run(100 * time.Millisecond)
	}
	is.Equal(ended(wd), map[codes.Code]int{codes.JobDone: 500})
	is.Equal(wd.checkInvariants(), nil)
	periods := int(wd.now.Sub(begin)/(100*time.Millisecond)) + 1
	is.True(wd.store.writes-before <= periods*len(wd.store.buckets)) // one a bucket each 100 ms at most
}

// TestSmallWorkspaceBesideLarge submits much for one workspace and then a
// little for another, with the zone full.
func TestSmallWorkspaceBesideLarge(t *testing.T) {
	is := is.New(t)
	hotel := spec.Workspace{Name: "large", Weight: 1}
	parish := spec.Workspace{Name: "small", Weight: 1}
	wd := newWorld(1, hotel, parish)
	wd.run(time.Second)
	for i := range 200 {
		sp := gang(fmt.Sprintf("z1.h%d", i), 1, 8, "sleep", "5s")
		sp.Workspace = "large"
		wd.submit(sp)
	}
	wd.run(2 * time.Second)
	wd.submit(gang("z1.parish", 1, 8, "sleep", "1s"))
	wd.run(8 * time.Second)
	expect(t, wd, "z1.parish", codes.JobDone)
	is.True(ended(wd)[0] > 150) // the large one still waits
}

// TestLargeGangIsNotPassedForEver keeps the zone busy with small jobs while a
// gang that needs a whole rack waits.
func TestLargeGangIsNotPassedForEver(t *testing.T) {
	is := is.New(t)
	wd := newWorld(1, spec.Workspace{Name: "large", Weight: 1}, spec.Workspace{Name: "small", Weight: 1})
	wd.run(time.Second)
	wide := gang("z1.wide", 4, 8, "sleep", "1m")
	wide.Workspace = "large"
	feed := func(i int) {
		sp := gang(fmt.Sprintf("z1.f%d", i), 1, 4, "sleep", "3m")
		sp.RunTime = 3 * time.Minute
		wd.submit(sp)
	}
	for i := range 8 {
		feed(i)
		wd.run(20 * time.Second)
	}
	wd.submit(wide)
	for i := range 150 {
		feed(8 + i)
		wd.run(20 * time.Second)
	}
	rc, _ := wd.record("z1.wide")
	is.Equal(rc.Code, codes.JobDone)
	is.True(rc.Ended.Sub(rc.Submitted) < 40*time.Minute)
	is.Equal(wd.checkInvariants(), nil)
}

// TestQuotaKeepsNoGround lets a gang that its quota holds back grow old beside
// long work of another workspace.
func TestQuotaKeepsNoGround(t *testing.T) {
	is := is.New(t)
	wd := newWorld(1, spec.Workspace{Name: "small", Weight: 1, Quota: 32}, spec.Workspace{Name: "large", Weight: 1})
	wd.run(time.Second)
	long := func(id, workspace string, tasks int, run time.Duration) jobs.Spec {
		sp := gang(id, tasks, 8, "sleep", run.String())
		sp.Workspace = workspace
		sp.RunTime = run
		return sp
	}
	wd.submit(long("z1.first", "small", 1, 3*time.Hour))
	wd.submit(long("z1.wide", "small", 4, time.Minute))
	wd.run(30 * time.Minute)
	wd.submit(long("z1.other", "large", 1, 5*time.Hour))
	wd.run(time.Minute)
	is.Equal(len(wd.runsOf("z1.other")), 1)
	is.Equal(len(wd.runsOf("z1.wide")), 0)
}

// TestWaveOfCancellations cancels every second job of a full zone and its
// queue at once.
func TestWaveOfCancellations(t *testing.T) {
	is := is.New(t)
	wd := newWorld(2, small, large)
	wd.run(time.Second)
	for i := range 60 {
		wd.submit(gang(fmt.Sprintf("z1.c%d", i), 2, 4, "sleep", "4s"))
	}
	wd.run(2 * time.Second)
	for i := 0; i < 60; i += 2 {
		wd.cancel(fmt.Sprintf("z1.c%d", i))
	}
	wd.run(time.Minute)
	counts := ended(wd)
	is.Equal(counts[codes.JobDone], 30)
	is.Equal(counts[codes.JobCancelled]+counts[codes.CancelledUnstarted], 30)
	is.True(counts[codes.JobCancelled] > 0 && counts[codes.CancelledUnstarted] > 0)
	is.Equal(wd.checkInvariants(), nil)
}

// TestRackLost cuts a whole rack under running gangs.
func TestRackLost(t *testing.T) {
	is := is.New(t)
	wd := newWorld(3, small)
	wd.run(time.Second)
	for i := range 4 {
		sp := gang(fmt.Sprintf("z1.r%d", i), 2, 8, "sleep", "20s")
		sp.Repeatable = i%2 == 0
		wd.submit(sp)
	}
	wd.run(3 * time.Second)
	for _, hs := range wd.hosts {
		wd.cut[hs.Name] = hs.Rack == wd.hosts[0].Rack
	}
	wd.run(2 * time.Minute)
	counts := ended(wd)
	is.Equal(counts[0], 0)
	is.Equal(counts[codes.JobDone]+counts[codes.AttemptLost], 4)
	is.Equal(wd.checkInvariants(), nil)
}

// TestWorkerThatFailsEverything is put aside on the evidence of different jobs
// and comes back; a job that fails everywhere is no evidence.
func TestWorkerThatFailsEverything(t *testing.T) {
	is := is.New(t)
	wd := newWorld(1, small)
	wd.run(time.Second)
	for i := range 3 {
		wd.submit(gang(fmt.Sprintf("z1.bad%d", i), 1, 8, "fail", "10ms"))
		wd.run(5 * time.Second)
	}
	aside := func() bool {
		return slices.ContainsFunc(wd.notes, func(no sched.Noted) bool { return no.Decision == "aside" })
	}
	is.True(!aside())
	sick := wd.hosts[0].Name
	wd.tables[sick].SetFailStarts(true)
	for i := range 12 {
		wd.submit(gang(fmt.Sprintf("z1.ok%d", i), 1, 8, "sleep", "1s"))
		wd.run(3 * time.Second)
	}
	is.True(aside())
	wd.tables[sick].SetFailStarts(false)
	wd.run(2 * time.Minute)
	is.Equal(wd.current().core.Summary(wd.now).Workers, 4) // back on probation
	is.Equal(ended(wd), map[codes.Code]int{codes.JobFailed: 3, codes.JobDone: 12})
	is.Equal(wd.checkInvariants(), nil)
}

// TestListThatLagsLosesNoJob changes the scheduler while the platform's list
// leaves out a worker with a running job.
func TestListThatLagsLosesNoJob(t *testing.T) {
	wd := newWorld(2, small)
	wd.run(time.Second)
	sp := gang("z1.a", 1, 8, "sleep", "40s")
	sp.Repeatable = false
	wd.submit(sp)
	wd.run(2 * time.Second)
	wd.unlisted = wd.runs()[0].Worker
	wd.current().gone = true
	wd.takeOver()
	wd.run(time.Minute)
	expect(t, wd, "z1.a", codes.JobDone)
}

// TestLeavingWorkerIsEvacuated drains a worker under gangs that can and that
// can't be moved without loss.
func TestLeavingWorkerIsEvacuated(t *testing.T) {
	is := is.New(t)
	wd := newWorld(2, small)
	wd.run(time.Second)
	for _, checkpoint := range []bool{true, false} {
		sp := gang(fmt.Sprintf("z1.e%v", checkpoint), 1, 4, "sleep", "1m")
		sp.Checkpoint = checkpoint
		wd.submit(sp)
	}
	wd.run(3 * time.Second)
	name := wd.runs()[0].Worker
	is.Equal(wd.runs()[1].Worker, name)
	wd.tables[name].SetDraining(true)
	wd.run(5 * time.Second)
	moved := wd.runsOf("z1.etrue")
	is.Equal(len(moved), 2)
	is.True(moved[1].Worker != name && moved[1].Ended.IsZero() || moved[0].Worker != name && moved[0].Ended.IsZero())
	is.Equal(len(wd.runsOf("z1.efalse")), 1) // it stays and goes on
	wd.run(2 * time.Minute)
	is.Equal(ended(wd), map[codes.Code]int{codes.JobDone: 2})
	is.Equal(wd.checkInvariants(), nil)
}

// TestZoneCutOffFromThePlatform lets the store go away for an hour under all
// kinds of work.
func TestZoneCutOffFromThePlatform(t *testing.T) {
	is := is.New(t)
	wd := newWorld(2, small, large)
	wd.run(time.Second)
	for i := range 20 {
		sp := gang(fmt.Sprintf("z1.o%d", i), 2, 8, "sleep", "4m")
		sp.Repeatable = i%2 == 0
		wd.submit(sp)
	}
	wd.run(5 * time.Second)
	wd.store.down = true
	wd.run(time.Hour)
	wd.heal(time.Hour)
	is.Equal(ended(wd), map[codes.Code]int{codes.JobDone: 20})
	is.Equal(wd.checkInvariants(), nil)
}

// TestBadSubmissions are refused with their code and leave nothing behind.
func TestBadSubmissions(t *testing.T) {
	wd := newWorld(1, small, large)
	wd.run(time.Second)
	tests := []struct {
		name   string
		change func(sp *jobs.Spec)
		want   codes.Code
	}{
		{"unknown workspace", func(sp *jobs.Spec) { sp.Workspace = "nobody" }, codes.UnknownWorkspace},
		{"no tasks", func(sp *jobs.Spec) { sp.Shape.Tasks = 0 }, codes.ShapeTooLarge},
		{"past 32 tasks", func(sp *jobs.Spec) { sp.Shape.Tasks = 33 }, codes.ShapeTooLarge},
		{"negative accelerators", func(sp *jobs.Spec) { sp.Shape.Accelerators = -1 }, codes.ShapeTooLarge},
		{"larger than a worker", func(sp *jobs.Spec) { sp.Shape.Accelerators = 9 }, codes.ShapeNeverFits},
		{"larger than the quota", func(sp *jobs.Spec) { sp.Shape.Tasks = 9; sp.Shape.Accelerators = 8 }, codes.QuotaExceeded},
		{"on guaranteed ground for good", func(sp *jobs.Spec) { sp.Repeatable = false }, codes.ShapeNeverFits},
	}
	for i, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			sp := gang(fmt.Sprintf("z1.x%d", i), 1, 8, "sleep", "1s")
			tt.change(&sp)
			tk := wd.submit(sp)
			wd.run(time.Second)
			is.Equal(codes.Of(wd.answers[tk].Err).Code.String(), tt.want.String())
			is.Equal(len(ended(wd)), 0)
		})
	}
}
