package domain_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/cicadawharf/cicadawharf/internal/batch"
	"github.com/cicadawharf/cicadawharf/internal/domain"
	"github.com/cicadawharf/cicadawharf/internal/runner"
)

// crashVariant is a way in which a task crashes its workers and these return.
type crashVariant struct {
	name     string
	newIDs   bool
	downtime time.Duration
	gang     bool
	lasting  bool
	ages     []time.Duration // of the attempts at the crashes; nil for at once
}

var crashVariants = []crashVariant{
	{name: "same ID", downtime: 3 * time.Second},
	{name: "new ID", newIDs: true, downtime: 3 * time.Second},
	{name: "gang", newIDs: true, downtime: 3 * time.Second, gang: true},
	{name: "lasting", newIDs: true, downtime: 3 * time.Second, lasting: true},
	{name: "back after the leases, same ID", downtime: 9 * time.Second},
	{name: "back after the leases, new ID", newIDs: true, downtime: 9 * time.Second},
	{name: "gang, back after the leases", newIDs: true, downtime: 9 * time.Second, gang: true},
	{name: "varying ages", downtime: 3 * time.Second, ages: varyingAges},
	{name: "varying ages, new ID", newIDs: true, downtime: 3 * time.Second, ages: varyingAges},
	{name: "varying ages, gang", newIDs: true, downtime: 3 * time.Second, gang: true, ages: varyingAges},
	{name: "varying ages, back after the leases", newIDs: true, downtime: 9 * time.Second, ages: varyingAges},
}

// varyingAges are ages that have nothing in common, even for workers whose speeds
// differ.
var varyingAges = []time.Duration{3 * time.Second, time.Second, 10 * time.Millisecond}

// start starts a simulation of 8 workers and submits a job whose first task
// crashes its workers, beside a job that fills half of them.
func (cv crashVariant) start() *simulation {
	sim := newSimulation(1)
	sim.newIDs, sim.downtime = cv.newIDs, cv.downtime
	sim.start(8)
	beside, pl := oneStepJob("beside", 1, 32, 4*time.Second)
	sim.submit(beside, pl)
	sim.run(100 * time.Millisecond)
	jb, pl := oneStepJob("crashes", 1, 3, 2*time.Second)
	jb.Steps[0].Gang, jb.Steps[0].LongRunning = cv.gang, cv.lasting
	pl.crashes, pl.crashAges = true, cv.ages
	if cv.lasting {
		pl.work = time.Hour
	}
	if cv.ages != nil {
		pl.work = 2 * slices.Max(cv.ages)
	}
	sim.submit(jb, pl)
	return sim
}

// checkGivenUp fails the test unless the crashing job has failed, has left
// nothing running and has broken no rule, and the job beside it is done.
func (sim *simulation) checkGivenUp(t *testing.T) {
	t.Helper()
	if violations := sim.check(); len(violations) > 0 {
		t.Fatalf("violations: %v\n%s", violations, sim.logTail())
	}
	if st := sim.state("crashes"); st != batch.Failed || sim.fleet.Running("crashes") > 0 {
		t.Fatalf("the job that crashes workers is %v, and %d of its tasks run\n%s", st, sim.fleet.Running("crashes"), sim.logTail())
	}
	if st := sim.state("beside"); st != batch.Done {
		t.Fatalf("the job beside it is %v\n%s", st, sim.logTail())
	}
	for _, hr := range sim.healthReports {
		if hr.Suspended > 0 {
			t.Fatalf("workers are suspended for crashes that a task has caused\n%s", sim.logTail())
		}
	}
}

// TestTaskThatCrashesWorkersIsGivenUp guards against a task that crashes one
// worker after the other without end, since an attempt that ends with its worker
// does not count as failed.
func TestTaskThatCrashesWorkersIsGivenUp(t *testing.T) {
	for _, cv := range crashVariants {
		t.Run(cv.name, func(t *testing.T) {
			sim := cv.start()
			sim.run(time.Minute)
			sim.checkGivenUp(t)
		})
	}
}

// TestCrashesCountAcrossTakeovers elects a new scheduler again and again, before
// or after the last crash is noticed. It guards against a count of crashes that
// is lost with the memory of a scheduler.
func TestCrashesCountAcrossTakeovers(t *testing.T) {
	for _, cv := range slices.Concat(crashVariants[:3], crashVariants[7:10]) { // at once, and at varying ages
		for _, period := range []time.Duration{700 * time.Millisecond, 2900 * time.Millisecond, 3300 * time.Millisecond, 5 * time.Second} {
			t.Run(fmt.Sprintf("%s/%v", cv.name, period), func(t *testing.T) {
				sim := cv.start()
				for range 2 * time.Minute / period {
					sim.run(period)
					sim.elect()
				}
				sim.run(time.Minute)
				sim.checkGivenUp(t)
			})
		}
	}
}

// TestStopByNextIncarnationHidesNoCrash has a successor stop the rest of a gang on
// a worker that has crashed and is back, which confirms the stop before it is
// polled. It guards against taking the task that has crashed the worker for one
// that was stopped there.
func TestStopByNextIncarnationHidesNoCrash(t *testing.T) {
	is := is.New(t)
	jb, _ := oneStepJob("j", 1, 2, time.Second)
	jb.Steps[0].Gang = true
	wk := runner.Worker{ID: "w00", Address: "10.0.0.1:1", Service: "svc", Born: 1000, Capacity: batch.Resources{Accelerators: 8}}
	rc := batch.Record{ID: "j", State: batch.Running, Units: []batch.UnitRecord{{
		Attempt: 1, Live: true, Workers: []string{wk.ID, ""}, Addresses: []string{wk.Address, ""}, Incarnations: []uint32{wk.Incarnation(), 0},
	}}}
	wk.Born = 5000
	co := domain.New(startTime, domain.Config{
		Token: 1, Policy: newSimulation(1).policy, Jobs: []batch.Job{jb}, Records: []batch.Record{rc}, Workers: []runner.Worker{wk},
	})
	effects := co.Handle(startTime, domain.Ticked{})
	for _, ef := range effects {
		if st, ok := ef.(domain.Stop); ok {
			effects = append(effects, co.Handle(startTime.Add(time.Millisecond), domain.Stopped{Call: st})...)
		}
	}
	poll := domain.Poll{Worker: wk, Sent: startTime.Add(2 * time.Millisecond)}
	effects = append(effects, co.Handle(startTime.Add(3*time.Millisecond), domain.Polled{Call: poll, Status: runner.Status{Born: wk.Born}})...)
	var decisions []string
	for _, ef := range effects {
		if ld, ok := ef.(domain.LogDecision); ok {
			decisions = append(decisions, ld.Decision)
		}
	}
	is.True(slices.Contains(decisions, "stops"))
	is.True(slices.Contains(decisions, "lost"))
	is.True(slices.Contains(decisions, "crashed"))
}

// TestCrashesCountWithoutStore keeps the scheduler from the store while workers
// crash, and replaces it after that. It guards against a next attempt that
// starts before the crash of the last one is stored.
func TestCrashesCountWithoutStore(t *testing.T) {
	for _, cv := range slices.Concat(crashVariants[:3], crashVariants[7:10]) { // at once, and at varying ages
		t.Run(cv.name, func(t *testing.T) {
			sim := cv.start()
			for range 12 {
				sim.run(time.Second)
				sim.leader.partitioned = true
				sim.run(3 * time.Second)
				sim.leader.partitioned = false
			}
			sim.elect()
			sim.run(time.Minute)
			sim.checkGivenUp(t)
		})
	}
}

// TestPlainCrashesFailNoJob crashes a quarter of the workers at once, again and
// again. It guards against giving up work because the workers under it crash for
// another reason.
func TestPlainCrashesFailNoJob(t *testing.T) {
	for _, newIDs := range []bool{false, true} {
		t.Run(fmt.Sprintf("newIDs=%v", newIDs), func(t *testing.T) {
			is := is.New(t)
			sim := newSimulation(1)
			sim.newIDs = newIDs
			sim.start(16)
			for i := range 12 {
				jb, pl := oneStepJob(fmt.Sprintf("j%02d", i), i%3, 8, 4*time.Second)
				jb.Steps[0].Gang = i%4 == 0
				sim.submit(jb, pl)
			}
			for range 8 {
				sim.run(4 * time.Second)
				ids := sim.workerIDs()
				for _, at := range sim.rng.Perm(len(ids))[:4] {
					sim.fleet.Remove(sim.now, ids[at])
					sim.restartCrashed(ids[at])
				}
			}
			sim.run(time.Minute)
			for id := range sim.jobs {
				if sim.state(id) != batch.Done {
					t.Errorf("job %s is %v\n%s", id, sim.state(id), sim.crashLog(id))
				}
			}
			is.Equal(sim.check(), nil)
		})
	}
}

// crashLog returns the log lines of a job that tell of crashes.
func (sim *simulation) crashLog(job string) string {
	lines := slices.DeleteFunc(slices.Clone(sim.log), func(line string) bool {
		return !strings.Contains(line, "Job:"+job) || !strings.Contains(line, "Decision:crashed") && !strings.Contains(line, "Decision:lost") && !strings.Contains(line, "Decision:jobEnds")
	})
	return strings.Join(lines, "\n")
}

// TestDepartedWorkersAreNoCrashes takes a worker away 10 ms after each start of a
// task, after an announcement, or has the machine shut down on request. It guards
// against giving up a task for that.
func TestDepartedWorkersAreNoCrashes(t *testing.T) {
	for _, announced := range []bool{false, true} {
		t.Run(fmt.Sprintf("announced=%v", announced), func(t *testing.T) {
			is := is.New(t)
			sim := startSimulation(2)
			jb, pl := oneStepJob("j", 1, 1, 2*time.Second)
			sim.submit(jb, pl)
			for i := range 8 {
				for sim.fleet.Running("j") == 0 {
					sim.run(time.Millisecond)
				}
				sim.run(10 * time.Millisecond)
				sim.takeAway(sim.workerOf("j"), fmt.Sprintf("n%d%d", i%2, i), announced)
			}
			sim.run(time.Minute)
			is.Equal(sim.state("j"), batch.Done)
			is.Equal(sim.check(), nil)
		})
	}
}

// takeAway replaces a worker after its departure was announced, or after its
// machine was shut down.
func (sim *simulation) takeAway(id, next string, announced bool) {
	if announced {
		sim.announceDeparture(id)
		sim.run(2 * storeDelay)
		wk := sim.workers[id]
		wk.Draining = false // of the next worker
		sim.workers[id] = wk
	}
	sim.fleet.ShutDown(sim.now, id)
	if !announced {
		sim.handle(sim.leader, domain.WorkerDown{Worker: id})
	}
	sim.replaceWorker(id, next, 50*time.Millisecond)
}

// workerIDs returns the IDs of the workers that the platform lists, sorted.
func (sim *simulation) workerIDs() []string { return slices.Sorted(maps.Keys(sim.workers)) }

// workerOf returns a worker that runs a task of a job, or "" if none does.
func (sim *simulation) workerOf(job string) string {
	for _, id := range sim.workerIDs() {
		if sim.fleet.Runs(id, job) {
			return id
		}
	}
	return ""
}

// TestRandomFaultsBesideCrashes injects every kind of fault while tasks crash
// their workers. A task that crashes workers is not started without end, no job
// fails without a cause, and every job ends.
func TestRandomFaultsBesideCrashes(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		sim := newSimulation(1)
		sim.newIDs = rapid.Bool().Draw(rt, "newIDs")
		sim.downtime = time.Duration(rapid.IntRange(100, 9000).Draw(rt, "downtime")) * time.Millisecond
		sim.start(8)
		submitMixed(rt, sim)
		for i := range rapid.IntRange(1, 2).Draw(rt, "crashing") {
			jb, pl := oneStepJob(fmt.Sprintf("crashes%d", i), i, rapid.IntRange(1, 6).Draw(rt, "tasks"), 2*time.Second)
			jb.Steps[0].Gang = rapid.Bool().Draw(rt, "gang")
			pl.crashes = true
			sim.submit(jb, pl)
		}
		for i := range rapid.IntRange(0, 12).Draw(rt, "faults") {
			sim.run(time.Duration(rapid.SampledFrom([]int{1, 10, 50, 500, 3000}).Draw(rt, "pause")) * time.Millisecond)
			injectFault(rt, sim, i)
		}
		sim.run(3 * time.Second)
		sim.clearFaults()
		sim.run(2 * time.Minute)
		sim.checkAllEnded(rt)
	})
}

// TestSuspectedTaskHarmsNoOtherWork guards against the next attempt of a task
// that has crashed a worker being placed beside other work while workers are
// empty.
func TestSuspectedTaskHarmsNoOtherWork(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1)
	sim.start(8)
	for i := range 4 {
		beside, pl := oneStepJob(fmt.Sprintf("beside%d", i), 1, 4, time.Minute)
		beside.Steps[0].Gang = true
		beside.Steps[0].PerWorker = 1
		sim.submit(beside, pl)
	}
	sim.run(time.Second)
	jb, pl := oneStepJob("crashes", 1, 1, 2*time.Second)
	pl.crashes = true
	sim.submit(jb, pl)
	for !sim.decided("crashed", "crashes") {
		sim.run(time.Millisecond)
	}
	firstCrash := len(sim.decisions)
	sim.run(30 * time.Second)
	is.Equal(sim.state("crashes"), batch.Failed)
	for _, ld := range sim.decisions[firstCrash:] {
		if ld.Decision == "lost" && ld.Job != "crashes" {
			t.Errorf("%s was lost with %s beside the task that crashes workers", ld.Task, ld.Worker)
		}
	}
}

// TestCrashesOfSuspectedTaskAreNoEvidence has a task crash the same worker twice,
// which is back before or after its leases have expired. It guards against a
// worker that stays suspected because a task crashes it that has crashed one
// before.
func TestCrashesOfSuspectedTaskAreNoEvidence(t *testing.T) {
	for _, tt := range []struct {
		downtime time.Duration
		noticed  string // the decision that tells of the loss
	}{
		{3 * time.Second, "reborn"},
		{20 * time.Second, "silent"},
	} {
		t.Run(tt.noticed, func(t *testing.T) {
			is := is.New(t)
			sim := newSimulation(1)
			sim.downtime = tt.downtime
			sim.start(1)
			jb, pl := oneStepJob("crashes", 1, 1, 2*time.Second)
			pl.crashes = true
			sim.submit(jb, pl)
			is.Equal(sim.healthAfter(tt.noticed, 1).Suspected, 1)
			is.Equal(sim.healthAfter(tt.noticed, 2), domain.HealthReport{})
		})
	}
}

// healthAfter runs the simulation until a decision was made a number of times and
// the state of the workers after it was reported, and returns the last report.
func (sim *simulation) healthAfter(decision string, times int) domain.HealthReport {
	made := func() int {
		return len(slices.DeleteFunc(slices.Clone(sim.decisions), func(ld domain.LogDecision) bool { return ld.Decision != decision }))
	}
	for end := sim.now.Add(time.Minute); made() < times && sim.now.Before(end); {
		sim.run(10 * time.Millisecond)
	}
	sim.run(1500 * time.Millisecond)
	return sim.healthReports[len(sim.healthReports)-1]
}
