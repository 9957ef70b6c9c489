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

// TestMain sets a fixed seed for the property tests; -rapid.seed overrides it.
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
		Guarantees: []spec.Guarantee{{Zone: testZone, Count: 1, Shape: spec.Shape{Tasks: 4, Accelerators: 8, Adjacency: spec.SameRack}}},
	}
	large = spec.Workspace{
		Name: "large", Weight: 4, Quota: 256,
		Guarantees: []spec.Guarantee{{Zone: testZone, Count: 1, Shape: spec.Shape{Tasks: 4, Accelerators: 8, Adjacency: spec.SameRack}}},
	}
)

func gang(id string, tasks, accelerators int, command ...string) jobs.Spec {
	return jobs.Spec{
		ID: id, Workspace: "small", Caller: "caller", Priority: jobs.Normal, RunTime: time.Minute, Repeatable: true,
		Shape: spec.Shape{Tasks: tasks, Accelerators: accelerators, Adjacency: spec.SameZone}, Command: command,
	}
}

// checkEnd checks the code with which a job has ended, and every invariant.
func checkEnd(t *testing.T, sim *simulation, id string, cd codes.Code) {
	t.Helper()
	is := is.NewRelaxed(t)
	rc, _ := sim.record(id)
	is.Equal(rc.State, jobs.Ended)
	is.Equal(rc.Code.String(), cd.String())
	is.Equal(sim.checkInvariants(), nil)
}

// TestGangRunsOnce checks that without faults every task of a gang is started
// exactly once.
func TestGangRunsOnce(t *testing.T) {
	sim := newSimulation(2, small, large)
	sim.run(time.Second)
	sim.submit(gang("z1.a", 4, 8, "sleep", "2s"))
	sim.run(5 * time.Second)
	checkEnd(t, sim, "z1.a", codes.JobDone)
	is.New(t).Equal(len(sim.runsOf("z1.a")), 4)
}

// TestGangFaults injects one fault into the life of a gang and checks the code
// with which the job ends.
func TestGangFaults(t *testing.T) {
	once := func(sp jobs.Spec) jobs.Spec { sp.Repeatable = false; return sp }
	tests := []struct {
		name  string
		spec  jobs.Spec
		fault func(sim *simulation)
		after time.Duration // from submission to the fault
		want  codes.Code
	}{
		{"task fails", once(gang("z1.a", 2, 8, "fail", "1s")), func(*simulation) {}, 0, codes.JobFailed},
		{"repeatable job fails on every worker", gang("z1.a", 2, 8, "fail", "1s"), func(*simulation) {}, 0, codes.JobFailed},
		{"worker of a repeatable job is lost", gang("z1.a", 4, 8, "sleep", "30s"), partitionWorker, 3 * time.Second, codes.JobDone},
		{"worker of a job that may not be repeated is lost", once(gang("z1.a", 4, 8, "sleep", "30s")), partitionWorker, 3 * time.Second, codes.AttemptLost},
		{"worker of a job that may not be repeated restarts", once(gang("z1.a", 4, 8, "sleep", "30s")), restartWorker, 3 * time.Second, codes.AttemptLost},
		{"worker is unresponsive from the start", once(gang("z1.a", 2, 8, "sleep", "5s")), partitionWorker, 0, codes.JobDone},
		{"cancelled while it runs", gang("z1.a", 4, 8, "sleep", "30s"), cancelJob, 3 * time.Second, codes.JobCancelled},
		{"cancelled at once", gang("z1.a", 4, 8, "sleep", "30s"), cancelJob, 0, codes.CancelledUnstarted},
		{"store becomes unavailable while it runs", once(gang("z1.a", 4, 8, "sleep", "3s")), storeDown(20 * time.Second), time.Second, codes.JobDone},
		{"scheduler is killed while it runs", once(gang("z1.a", 4, 8, "sleep", "5s")), killLeader, 2 * time.Second, codes.JobDone},
		{"scheduler is killed between record and start", gang("z1.a", 4, 8, "sleep", "5s"), killLeader, 25 * time.Millisecond, codes.JobDone},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			sim := newSimulation(2, small, large)
			sim.run(time.Second)
			sim.submit(tt.spec)
			sim.run(tt.after)
			tt.fault(sim)
			sim.run(2 * time.Minute)
			checkEnd(t, sim, tt.spec.ID, tt.want)
		})
	}
}

func partitionWorker(sim *simulation) {
	name := sim.hosts[0].Name
	if rus := sim.runs(); len(rus) > 0 {
		name = rus[0].Worker
	}
	sim.partitioned[name] = true
}

func restartWorker(sim *simulation) { sim.tables[sim.runs()[0].Worker].Restart(sim.now, "b2", false) }

func cancelJob(sim *simulation) { sim.cancel("z1.a") }

func storeDown(d time.Duration) func(*simulation) {
	return func(sim *simulation) {
		sim.store.down = true
		sim.after(d, func() { sim.store.down = false })
	}
}

func killLeader(sim *simulation) {
	sim.current().stopped = true
	sim.after(3*time.Second, func() { sim.takeOver() })
}

// TestPausedLeaderChangesNothing pauses a leader while another one takes over.
// When it resumes with the events received meanwhile, it must not start tasks or
// overwrite records.
func TestPausedLeaderChangesNothing(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(2, small, large)
	sim.run(time.Second)
	old := sim.current()
	old.frozen = true
	sim.submit(gang("z1.old", 1, 8, "sleep", "1s"))
	sim.run(4 * time.Second)
	sim.takeOver()
	sim.submit(gang("z1.new", 4, 8, "sleep", "5s"))
	sim.run(2 * time.Second)
	sim.resume(old)
	sim.run(20 * time.Second)
	is.True(old.stopped)                   // it has resigned
	is.Equal(len(sim.runsOf("z1.old")), 0) // and has not started anything
	checkEnd(t, sim, "z1.new", codes.JobDone)
}

// TestStoreOutageStartsOnlyRepeatableJobs submits jobs before and during an
// outage of the store. A repeatable job must start without a record, one that may
// not be repeated must wait for the store, and a new job must be refused.
func TestStoreOutageStartsOnlyRepeatableJobs(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, small)
	sim.run(time.Second)
	sim.submit(gang("z1.first", 4, 8, "sleep", "3s"))
	sim.submit(gang("z1.again", 4, 8, "sleep", "3s"))
	once := gang("z1.once", 4, 8, "sleep", "3s")
	once.Repeatable = false
	sim.submit(once)
	sim.run(time.Second)
	sim.store.down = true
	refused := sim.submit(gang("z1.late", 1, 1, "sleep", "1s"))
	sim.run(20 * time.Second)
	is.Equal(codes.Of(sim.answers[refused].Err).Code, codes.StoreUnavailable)
	is.True(sim.answers[refused].Err.(*codes.Error).RetryAfter > 0)
	is.Equal(len(sim.runsOf("z1.again")), 4) // started without a record
	is.Equal(len(sim.runsOf("z1.once")), 0)
	sim.heal(30 * time.Second)
	checkEnd(t, sim, "z1.again", codes.JobDone)
	checkEnd(t, sim, "z1.once", codes.JobDone)
	is.Equal(len(sim.runsOf("z1.again")), 4)
}

// TestUnrecordedAttemptDoesNotStart makes the store unavailable between the
// placement of a job that may not be repeated and the write of its attempt, and
// then kills the scheduler. If the attempt had started, the next scheduler would
// run the job a second time.
func TestUnrecordedAttemptDoesNotStart(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, small)
	sim.run(time.Second)
	once := gang("z1.once", 2, 8, "sleep", "3s")
	once.Repeatable = false
	sim.submit(once)
	sim.run(50 * time.Millisecond) // accepted and reserved, but its attempt is not written
	rc, _ := sim.record("z1.once")
	is.Equal(rc.State, jobs.Queued)
	sim.store.down = true
	sim.run(5 * time.Second)
	is.Equal(len(sim.runsOf("z1.once")), 0)
	sim.current().stopped = true
	sim.store.down = false
	sim.takeOver()
	sim.run(30 * time.Second)
	checkEnd(t, sim, "z1.once", codes.JobDone)
	is.Equal(len(sim.runsOf("z1.once")), 2)
}

// TestPreemptionForGuaranteedGang fills the zone with other work, and then
// submits a guaranteed gang. It must start within 4.9 s, and the accelerator time
// of the preempted attempts must be accounted as preempted.
func TestPreemptionForGuaranteedGang(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(2, small, large)
	sim.run(time.Second)
	for i := range 8 {
		sp := gang(fmt.Sprintf("z1.fill%d", i), 1, 8, "sleep", "10m")
		sp.Checkpoint = i%2 == 0
		sim.submit(sp)
	}
	sim.run(5 * time.Second)
	is.Equal(sim.current().core.Summary(sim.now).FreeAccelerators, 0)
	want := gang("z1.mine", 4, 8, "sleep", "2s")
	want.Workspace = "large"
	want.Shape.Adjacency = spec.SameRack
	want.Priority = jobs.Urgent
	begin := sim.now
	sim.submit(want)
	sim.run(8 * time.Second)
	checkEnd(t, sim, "z1.mine", codes.JobDone)
	rus := sim.runsOf("z1.mine")
	is.True(rus[0].Started.Sub(begin) < 4900*time.Millisecond)
	mine, _ := sim.record("z1.mine")
	is.True(mine.Waited > 0 && mine.Waited < 4900*time.Millisecond)
	var preempted time.Duration
	for i := range 8 {
		rc, _ := sim.record(fmt.Sprintf("z1.fill%d", i))
		preempted += rc.PreemptedTime
		is.True(rc.PreemptedTime == 0 || rc.PreemptedTime == rc.AcceleratorTime)
	}
	is.True(preempted >= 4*8*time.Second) // four workers of eight accelerators, for at least a second
}

// TestRandomFaults injects random faults and then ends them. Every job must end,
// and no invariant may be violated.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		sim := newSimulation(2, small, large)
		sim.run(time.Second)
		steps := rapid.IntRange(5, 40).Draw(rt, "steps")
		for i := range steps {
			randomStep(rt, sim, i)
			sim.run(time.Duration(rapid.IntRange(0, 4000).Draw(rt, "millis")) * time.Millisecond)
			if violations := sim.checkInvariants(); len(violations) > 0 {
				rt.Fatal(violations[0])
			}
		}
		sim.heal(10 * time.Minute)
		if violations := sim.checkInvariants(); len(violations) > 0 {
			rt.Fatal(violations[0])
		}
		for _, bu := range sim.store.buckets {
			for _, rc := range bu {
				if rc.State != jobs.Ended {
					rt.Fatalf("job %s never ended: %v %s", rc.ID, rc.State, rc.Detail)
				}
			}
		}
	})
}

func randomStep(rt *rapid.T, sim *simulation, step int) {
	host := rapid.SampledFrom(sim.hosts).Draw(rt, "host").Name
	switch rapid.IntRange(0, 14).Draw(rt, "action") {
	case 0, 1, 2, 3, 4:
		sim.submit(randomJob(rt, step))
	case 5:
		sim.cancel(fmt.Sprintf("z1.j%d", rapid.IntRange(0, step).Draw(rt, "which")))
	case 6:
		sim.partitioned[host] = !sim.partitioned[host]
	case 7:
		sim.losesReplies[host] = !sim.losesReplies[host]
	case 8:
		sim.tables[host].Restart(sim.now, fmt.Sprintf("b%d", step), false)
	case 9:
		sim.store.down = !sim.store.down
	case 10:
		sim.store.losesReplies = !sim.store.losesReplies
	case 11:
		if !sim.store.down {
			sim.current().frozen = true
			sim.takeOver()
		}
	case 12:
		sim.tables[host].SetFailStarts(rapid.Bool().Draw(rt, "fail"))
	case 13:
		sim.slow[host] = !sim.slow[host]
	case 14:
		for _, ld := range sim.leaders {
			if ld.frozen {
				sim.resume(ld)
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

// TestStepsRunInOrder runs a job with two steps, the second one smaller, under
// faults. Each gang must run completely and once.
func TestStepsRunInOrder(t *testing.T) {
	tests := []struct {
		name  string
		fault func(sim *simulation)
		after time.Duration // from submission to the fault
		runs  int
		want  codes.Code
	}{
		{"no fault", func(*simulation) {}, 0, 6, codes.JobDone},
		{"scheduler is killed in the first step", killLeader, 500 * time.Millisecond, 6, codes.JobDone},
		{"scheduler is killed when the first step ends", killLeader, 1050 * time.Millisecond, 6, codes.JobDone},
		{"scheduler is killed in the second step", killLeader, 10 * time.Second, 6, codes.JobDone},
		{"store becomes unavailable in the first step", storeDown(20 * time.Second), 500 * time.Millisecond, 6, codes.JobDone},
		{"store becomes unavailable in the second step", storeDown(20 * time.Second), 10 * time.Second, 6, codes.JobDone},
		{"cancelled in the first step", cancelJob, 500 * time.Millisecond, 4, codes.JobCancelled},
		{"cancelled in the second step", cancelJob, 10 * time.Second, 6, codes.JobCancelled},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			sim := newSimulation(2, small, large)
			sim.run(time.Second)
			sim.submit(twoSteps("z1.a"))
			sim.run(tt.after)
			tt.fault(sim)
			sim.run(time.Minute)
			checkEnd(t, sim, "z1.a", tt.want)
			is.New(t).Equal(len(sim.runsOf("z1.a")), tt.runs)
		})
	}
}

// TestUnrecordedStepWaits makes the store unavailable before the end of a step
// is recorded, and then kills the scheduler. The next scheduler must not
// mistake a task of the second step for one of the first.
func TestUnrecordedStepWaits(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(2, small, large)
	sim.run(time.Second)
	sim.submit(twoSteps("z1.a"))
	sim.run(900 * time.Millisecond)
	sim.store.down = true
	sim.run(3 * time.Second)
	is.Equal(len(sim.runsOf("z1.a")), 4) // the second step waits for the store
	sim.current().stopped = true
	sim.store.down = false
	sim.takeOver()
	sim.run(time.Minute)
	checkEnd(t, sim, "z1.a", codes.JobDone)
	is.Equal(len(sim.runsOf("z1.a")), 6)
}

// TestStepThatNeverFits submits a job whose second step fits on no worker. It
// must be refused as a whole, not fail after its first step.
func TestStepThatNeverFits(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(2, small, large)
	sim.run(time.Second)
	sp := twoSteps("z1.a")
	sp.Then[0].Shape = spec.Shape{Tasks: 32, Accelerators: 8, Adjacency: spec.SameWorker}
	sim.submit(sp)
	sim.run(time.Second)
	_, known := sim.record("z1.a")
	is.True(!known)
}
