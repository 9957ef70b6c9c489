package sched_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/cicadawharf/cicadawharf/internal/jobs"
	"github.com/cicadawharf/cicadawharf/pkg/codes"
	"github.com/cicadawharf/cicadawharf/pkg/spec"
)

// TestMain fixes the seed of the property tests; -rapid.seed overrides it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

var (
	small  = spec.Workspace{Name: "small", Weight: 1, Quota: 64}
	claims = spec.Workspace{
		Name: "claims", Weight: 1, Quota: 64,
		Guarantees: []spec.Guarantee{{Zone: sampleZone, Count: 1, Shape: spec.Shape{Tasks: 4, Accelerators: 8, Adjacency: spec.SameRack}}},
	}
	large = spec.Workspace{
		Name: "large", Weight: 4, Quota: 256,
		Guarantees: []spec.Guarantee{{Zone: sampleZone, Count: 1, Shape: spec.Shape{Tasks: 4, Accelerators: 8, Adjacency: spec.SameRack}}},
	}
)

func gang(id string, tasks, accelerators int, command ...string) jobs.Spec {
	return jobs.Spec{
		ID: id, Workspace: "small", Caller: "crew", Priority: jobs.Normal, RunTime: time.Minute, Repeatable: true,
		Shape: spec.Shape{Tasks: tasks, Accelerators: accelerators, Adjacency: spec.SameZone}, Command: command,
	}
}

// expect runs the world and checks a job's end and every invariant.
func expect(t *testing.T, wd *world, id string, cd codes.Code) {
	t.Helper()
	is := is.NewRelaxed(t)
	rc, _ := wd.record(id)
	is.Equal(rc.State, jobs.Ended)
	is.Equal(rc.Code.String(), cd.String())
	is.Equal(wd.checkInvariants(), nil)
}

func TestGangRunsWholeAndOnce(t *testing.T) {
	wd := newWorld(2, small, large)
	wd.run(time.Second)
	wd.submit(gang("z1.a", 4, 8, "sleep", "2s"))
	wd.run(5 * time.Second)
	expect(t, wd, "z1.a", codes.JobDone)
	is.New(t).Equal(len(wd.runsOf("z1.a")), 4)
}

func TestFaultsOfAGang(t *testing.T) {
	once := func(sp jobs.Spec) jobs.Spec { sp.Repeatable = false; return sp }
	tests := []struct {
		name  string
		spec  jobs.Spec
		fault func(wd *world)
		after time.Duration // from submission to the fault
		want  codes.Code
	}{
		{"task fails of its own", once(gang("z1.a", 2, 8, "fail", "1s")), func(*world) {}, 0, codes.JobFailed},
		{"repeatable job fails everywhere", gang("z1.a", 2, 8, "fail", "1s"), func(*world) {}, 0, codes.JobFailed},
		{"worker is lost under a repeatable job", gang("z1.a", 4, 8, "sleep", "30s"), loseOne, 3 * time.Second, codes.JobDone},
		{"worker is lost under a job run once", once(gang("z1.a", 4, 8, "sleep", "30s")), loseOne, 3 * time.Second, codes.AttemptLost},
		{"worker restarts under a job run once", once(gang("z1.a", 4, 8, "sleep", "30s")), restartOne, 3 * time.Second, codes.AttemptLost},
		{"worker is silent from the beginning", once(gang("z1.a", 2, 8, "sleep", "5s")), loseOne, 0, codes.JobDone},
		{"cancelled while it runs", gang("z1.a", 4, 8, "sleep", "30s"), cancelIt, 3 * time.Second, codes.JobCancelled},
		{"cancelled at once", gang("z1.a", 4, 8, "sleep", "30s"), cancelIt, 0, codes.CancelledUnstarted},
		{"store goes away while it runs", once(gang("z1.a", 4, 8, "sleep", "3s")), storeAway(20 * time.Second), time.Second, codes.JobDone},
		{"scheduler dies while it runs", once(gang("z1.a", 4, 8, "sleep", "5s")), killHolder, 2 * time.Second, codes.JobDone},
		{"scheduler dies between record and start", gang("z1.a", 4, 8, "sleep", "5s"), killHolder, 25 * time.Millisecond, codes.JobDone},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			wd := newWorld(2, small, large)
			wd.run(time.Second)
			wd.submit(tt.spec)
			wd.run(tt.after)
			tt.fault(wd)
			wd.run(2 * time.Minute)
			expect(t, wd, tt.spec.ID, tt.want)
		})
	}
}

func loseOne(wd *world) {
	name := wd.hosts[0].Name
	if rus := wd.runs(); len(rus) > 0 {
		name = rus[0].Worker
	}
	wd.cut[name] = true
}

func restartOne(wd *world) { wd.tables[wd.runs()[0].Worker].Restart(wd.now, "b2", false) }

func cancelIt(wd *world) { wd.cancel("z1.a") }

func storeAway(d time.Duration) func(*world) {
	return func(wd *world) {
		wd.store.down = true
		wd.after(d, func() { wd.store.down = false })
	}
}

func killHolder(wd *world) {
	wd.current().gone = true
	wd.after(3*time.Second, func() { wd.takeOver() })
}

// TestFrozenHolderChangesNothing lets a holder sleep through its succession.
func TestFrozenHolderChangesNothing(t *testing.T) {
	is := is.New(t)
	wd := newWorld(2, small, large)
	wd.run(time.Second)
	old := wd.current()
	old.frozen = true
	wd.submit(gang("z1.old", 1, 8, "sleep", "1s"))
	wd.run(4 * time.Second)
	wd.takeOver()
	wd.submit(gang("z1.new", 4, 8, "sleep", "5s"))
	wd.run(2 * time.Second)
	wd.thaw(old)
	wd.run(20 * time.Second)
	is.True(old.gone)                     // it learned of its successor
	is.Equal(len(wd.runsOf("z1.old")), 0) // and has started nothing
	expect(t, wd, "z1.new", codes.JobDone)
}

// TestStoreAwayStartsOnlyWhatMayRepeat submits before and during an outage.
func TestStoreAwayStartsOnlyWhatMayRepeat(t *testing.T) {
	is := is.New(t)
	wd := newWorld(1, small)
	wd.run(time.Second)
	wd.submit(gang("z1.first", 4, 8, "sleep", "3s"))
	wd.submit(gang("z1.again", 4, 8, "sleep", "3s"))
	once := gang("z1.once", 4, 8, "sleep", "3s")
	once.Repeatable = false
	wd.submit(once)
	wd.run(time.Second)
	wd.store.down = true
	refused := wd.submit(gang("z1.late", 1, 1, "sleep", "1s"))
	wd.run(20 * time.Second)
	is.Equal(codes.Of(wd.answers[refused].Err).Code, codes.StoreUnavailable)
	is.True(wd.answers[refused].Err.(*codes.Error).RetryAfter > 0)
	is.Equal(len(wd.runsOf("z1.again")), 4) // started without a record
	is.Equal(len(wd.runsOf("z1.once")), 0)
	wd.heal(30 * time.Second)
	expect(t, wd, "z1.again", codes.JobDone)
	expect(t, wd, "z1.once", codes.JobDone)
	is.Equal(len(wd.runsOf("z1.again")), 4)
}

// TestUnrecordedAttemptDoesNotStart takes the store away between the placement
// and the write of a job that may not be repeated, and then the scheduler.
func TestUnrecordedAttemptDoesNotStart(t *testing.T) {
	is := is.New(t)
	wd := newWorld(1, small)
	wd.run(time.Second)
	once := gang("z1.once", 2, 8, "sleep", "3s")
	once.Repeatable = false
	wd.submit(once)
	wd.run(50 * time.Millisecond) // accepted and reserved, but its attempt is not written
	rc, _ := wd.record("z1.once")
	is.Equal(rc.State, jobs.Queued)
	wd.store.down = true
	wd.run(5 * time.Second)
	is.Equal(len(wd.runsOf("z1.once")), 0)
	wd.current().gone = true
	wd.store.down = false
	wd.takeOver()
	wd.run(30 * time.Second)
	expect(t, wd, "z1.once", codes.JobDone)
	is.Equal(len(wd.runsOf("z1.once")), 2)
}

// TestReclaimGivesTheGuaranteedShape fills the zone with other work first.
func TestReclaimGivesTheGuaranteedShape(t *testing.T) {
	is := is.New(t)
	wd := newWorld(2, small, large)
	wd.run(time.Second)
	for i := range 8 {
		sp := gang(fmt.Sprintf("z1.fill%d", i), 1, 8, "sleep", "10m")
		sp.Checkpoint = i%2 == 0
		wd.submit(sp)
	}
	wd.run(5 * time.Second)
	is.Equal(wd.current().core.Summary(wd.now).FreeAccelerators, 0)
	want := gang("z1.mine", 4, 8, "sleep", "2s")
	want.Workspace = "large"
	want.Shape.Adjacency = spec.SameRack
	want.Priority = jobs.Urgent
	begin := wd.now
	wd.submit(want)
	wd.run(8 * time.Second)
	expect(t, wd, "z1.mine", codes.JobDone)
	rus := wd.runsOf("z1.mine")
	is.True(rus[0].Started.Sub(begin) < 4900*time.Millisecond)
	mine, _ := wd.record("z1.mine")
	is.True(mine.Waited > 0 && mine.Waited < 4900*time.Millisecond)
	var reclaimed time.Duration
	for i := range 8 {
		rc, _ := wd.record(fmt.Sprintf("z1.fill%d", i))
		reclaimed += rc.Reclaimed
		is.True(rc.Reclaimed == 0 || rc.Reclaimed == rc.Held)
	}
	is.True(reclaimed >= 4*8*time.Second) // four workers of eight accelerators, for seconds
}

// TestRandomFaults breaks everything at random and then heals it.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		wd := newWorld(2, small, large)
		wd.run(time.Second)
		steps := rapid.IntRange(5, 40).Draw(rt, "steps")
		for i := range steps {
			randomStep(rt, wd, i)
			wd.run(time.Duration(rapid.IntRange(0, 4000).Draw(rt, "millis")) * time.Millisecond)
			if bad := wd.checkInvariants(); len(bad) > 0 {
				rt.Fatal(bad[0])
			}
		}
		wd.heal(10 * time.Minute)
		if bad := wd.checkInvariants(); len(bad) > 0 {
			rt.Fatal(bad[0])
		}
		for _, bu := range wd.store.buckets {
			for _, rc := range bu {
				if rc.State != jobs.Ended {
					rt.Fatalf("job %s never ended: %v %s", rc.ID, rc.State, rc.Detail)
				}
			}
		}
	})
}

func randomStep(rt *rapid.T, wd *world, step int) {
	host := rapid.SampledFrom(wd.hosts).Draw(rt, "host").Name
	switch rapid.IntRange(0, 14).Draw(rt, "action") {
	case 0, 1, 2, 3, 4:
		wd.submit(randomJob(rt, step))
	case 5:
		wd.cancel(fmt.Sprintf("z1.j%d", rapid.IntRange(0, step).Draw(rt, "which")))
	case 6:
		wd.cut[host] = !wd.cut[host]
	case 7:
		wd.lossy[host] = !wd.lossy[host]
	case 8:
		wd.tables[host].Restart(wd.now, fmt.Sprintf("b%d", step), false)
	case 9:
		wd.store.down = !wd.store.down
	case 10:
		wd.store.lossy = !wd.store.lossy
	case 11:
		if !wd.store.down {
			wd.current().frozen = true
			wd.takeOver()
		}
	case 12:
		wd.tables[host].SetFailStarts(rapid.Bool().Draw(rt, "fail"))
	case 13:
		wd.slow[host] = !wd.slow[host]
	case 14:
		for _, ho := range wd.cores {
			if ho.frozen {
				wd.thaw(ho)
			}
		}
	}
}

func randomJob(rt *rapid.T, step int) jobs.Spec {
	sp := gang(fmt.Sprintf("z1.j%d", step), rapid.SampledFrom([]int{1, 1, 2, 4, 7}).Draw(rt, "tasks"),
		rapid.SampledFrom([]int{0, 1, 4, 8}).Draw(rt, "accelerators"),
		rapid.SampledFrom([]string{"sleep", "sleep", "sleep", "fail"}).Draw(rt, "command"),
		rapid.SampledFrom([]string{"100ms", "2s", "9s", "40s"}).Draw(rt, "length"))
	sp.Repeatable = rapid.Bool().Draw(rt, "repeatable")
	sp.Checkpoint = rapid.Bool().Draw(rt, "checkpoint")
	sp.Priority = rapid.SampledFrom([]jobs.Priority{jobs.Low, jobs.Normal, jobs.Urgent}).Draw(rt, "priority")
	sp.Workspace = rapid.SampledFrom([]string{"small", "large"}).Draw(rt, "workspace")
	sp.Shape.Adjacency = rapid.SampledFrom([]spec.Adjacency{spec.SameZone, spec.SameRack}).Draw(rt, "adjacency")
	if sp.Shape.Adjacency == spec.SameRack && sp.Shape.Tasks*sp.Shape.Accelerators > 32 {
		sp.Shape.Accelerators = 4
	}
	return sp
}

func twoSteps(id string) jobs.Spec {
	sp := gang(id, 4, 8, "sleep", "1s")
	sp.Then = []jobs.Step{{
		Shape:   spec.Shape{Tasks: 2, Accelerators: 4, Adjacency: spec.SameRack},
		RunTime: time.Minute, Command: []string{"sleep", "20s"},
	}}
	return sp
}

// TestStepsRunInOrder runs a job whose second gang is smaller, under faults.
// Each gang runs whole, the second after the first, and neither twice.
func TestStepsRunInOrder(t *testing.T) {
	tests := []struct {
		name  string
		fault func(wd *world)
		after time.Duration // from submission to the fault
		runs  int
		want  codes.Code
	}{
		{"no fault", func(*world) {}, 0, 6, codes.JobDone},
		{"scheduler dies in the first step", killHolder, 500 * time.Millisecond, 6, codes.JobDone},
		{"scheduler dies when the first step ends", killHolder, 1050 * time.Millisecond, 6, codes.JobDone},
		{"scheduler dies in the second step", killHolder, 10 * time.Second, 6, codes.JobDone},
		{"store goes away in the first step", storeAway(20 * time.Second), 500 * time.Millisecond, 6, codes.JobDone},
		{"store goes away in the second step", storeAway(20 * time.Second), 10 * time.Second, 6, codes.JobDone},
		{"cancelled in the first step", cancelIt, 500 * time.Millisecond, 4, codes.JobCancelled},
		{"cancelled in the second step", cancelIt, 10 * time.Second, 6, codes.JobCancelled},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			wd := newWorld(2, small, large)
			wd.run(time.Second)
			wd.submit(twoSteps("z1.a"))
			wd.run(tt.after)
			tt.fault(wd)
			wd.run(time.Minute)
			expect(t, wd, "z1.a", tt.want)
			is.New(t).Equal(len(wd.runsOf("z1.a")), tt.runs)
		})
	}
}

// TestUnrecordedStepWaits lets the store go away before the end of a step is
// recorded, and the scheduler die. The next one must not take a task of the
// second step for one of the first.
func TestUnrecordedStepWaits(t *testing.T) {
	is := is.New(t)
	wd := newWorld(2, small, large)
	wd.run(time.Second)
	wd.submit(twoSteps("z1.a"))
	wd.run(900 * time.Millisecond)
	wd.store.down = true
	wd.run(3 * time.Second)
	is.Equal(len(wd.runsOf("z1.a")), 4) // the second step waits for the store
	wd.current().gone = true
	wd.store.down = false
	wd.takeOver()
	wd.run(time.Minute)
	expect(t, wd, "z1.a", codes.JobDone)
	is.Equal(len(wd.runsOf("z1.a")), 6)
}

// TestStepThatNeverFits refuses a job for its second step.
func TestStepThatNeverFits(t *testing.T) {
	is := is.New(t)
	wd := newWorld(2, small, large)
	wd.run(time.Second)
	sp := twoSteps("z1.a")
	sp.Then[0].Shape = spec.Shape{Tasks: 32, Accelerators: 8, Adjacency: spec.SameWorker}
	wd.submit(sp)
	wd.run(time.Second)
	_, known := wd.record("z1.a")
	is.True(!known)
}
