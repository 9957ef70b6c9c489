package domain_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/batch"
)

var replays = flag.Int("domain.replays", 8, "number of seeds for each replay of faulty workers")

type (
	// faultyFleet is a set of workers with one kind of fault, and the bounds
	// that a replay has to meet.
	faultyFleet struct {
		name             string
		inject           func(sim *simulation, ids []string) // called when the load has run for a few seconds
		failed           int                                 // maximum number of failed jobs that could succeed, per seed
		timely           float64                             // minimum fraction, of the jobs that could succeed, that met their objectives
		repeatedFailures int                                 // maximum number of failed attempts on workers known to fail, per seed
	}

	// replayResult is the result of a replay. Only starts counts jobs that
	// can't succeed, too.
	replayResult struct {
		jobs, failed, timely, repeatedFailures, starts int
	}
)

const (
	rackCount      = 6
	workersPerRack = 6
	submitTime     = 40 * time.Second // in which jobs are submitted
	settleTime     = 60 * time.Second // after that, for all jobs to end
	// minKnownJobs is the number of different jobs that have to fail on a
	// worker for it to be known to fail.
	minKnownJobs = 2
)

var faultyFleets = []faultyFleet{
	{name: "healthy", timely: 1, inject: func(*simulation, []string) {}},
	{name: "ninth fails everything", failed: 1, timely: 0.98, repeatedFailures: 25, inject: func(sim *simulation, ids []string) {
		for _, i := range sim.rng.Perm(len(ids))[:len(ids)/9] {
			sim.fleet.Fail(ids[i], true)
		}
	}},
	{name: "rack fails everything", failed: 2, timely: 0.97, repeatedFailures: 35, inject: func(sim *simulation, ids []string) {
		for _, id := range ids[workersPerRack : 2*workersPerRack] {
			sim.fleet.Fail(id, true)
		}
	}},
	{name: "ninth flaps", timely: 0.94, inject: func(sim *simulation, ids []string) {
		for _, i := range sim.rng.Perm(len(ids))[:len(ids)/9] {
			sim.flap(ids[i], 8*time.Second)
		}
	}},
	{name: "ninth fails 40 percent", failed: 1, timely: 0.98, repeatedFailures: 30, inject: func(sim *simulation, ids []string) {
		for _, i := range sim.rng.Perm(len(ids))[:len(ids)/9] {
			sim.fleet.FailShare(ids[i], 0.4)
		}
	}},
	{name: "every other urgent job fails", timely: 0.99, inject: func(sim *simulation, _ []string) { sim.failUrgent = true }},
}

// TestFaultyWorkers replays a load of three kinds of jobs on sets of workers of
// which some are faulty, and bounds the effects visible to callers.
func TestFaultyWorkers(t *testing.T) {
	for _, ff := range faultyFleets {
		t.Run(ff.name, func(t *testing.T) {
			t.Parallel()
			var sum replayResult
			for seed := range *replays {
				out := ff.run(t, uint64(seed))
				sum.jobs += out.jobs
				sum.failed += out.failed
				sum.timely += out.timely
				sum.repeatedFailures += out.repeatedFailures
				sum.starts += out.starts
			}
			if seeds := *replays; sum.failed > ff.failed*seeds || sum.repeatedFailures > ff.repeatedFailures*seeds || float64(sum.timely) < ff.timely*float64(sum.jobs) {
				t.Errorf("more than %d failed jobs or %d repeated failures per seed, or less than %.2f timely", ff.failed, ff.repeatedFailures, ff.timely)
			}
			t.Logf("%s: %d jobs: %d failed, %.4f timely, %d repeated failures, %d starts",
				ff.name, sum.jobs, sum.failed, float64(sum.timely)/float64(sum.jobs), sum.repeatedFailures, sum.starts)
		})
	}
}

// run replays the load with a seed and returns the result.
func (ff faultyFleet) run(t *testing.T, seed uint64) replayResult {
	sim := newSimulation(seed)
	sim.policy = replayPolicy()
	var ids []string
	for i := range rackCount * workersPerRack {
		id := fmt.Sprintf("w%d%02d", i/workersPerRack, i)
		sim.addWorker(id, 8)
		ids = append(ids, id)
	}
	sim.elect()
	sim.run(time.Second)
	sim.after(5*time.Second, func() { ff.inject(sim, ids) })
	sim.submitKinds()
	sim.run(submitTime + settleTime)
	if violations := sim.check(); len(violations) > 0 {
		t.Fatalf("violations: %v\n%s", violations, sim.logTail())
	}
	return sim.result(t)
}

// replayPolicy returns queues like those of workKinds, and two guarantees.
func replayPolicy() *batch.Policy {
	queue := func(priority, attempts int, stretch float64, allowance time.Duration) batch.Queue {
		return batch.Queue{
			Name: fmt.Sprintf("q%d", priority), Service: "svc", Priority: priority, MaxAttempts: attempts,
			Stretch: stretch, Allowance: allowance,
		}
	}
	return &batch.Policy{Version: 1, Queues: []batch.Queue{
		queue(0, 2, 1.5, 500*time.Millisecond), queue(1, 3, 3, 1200*time.Millisecond), queue(2, 3, 3, 3*time.Second),
	}, Workspaces: []batch.Workspace{{Name: "a", Guaranteed: 24}, {Name: "b", Guaranteed: 24}}}
}

// submitKinds submits work that uses about two thirds of the accelerators.
func (sim *simulation) submitKinds() {
	sim.submitKind("urgent", 3, batch.Step{Tasks: 5, RunTime: 2500 * time.Millisecond})
	sim.submitKind("gang", 0.5, batch.Step{Tasks: 13, Gang: true, RunTime: 11 * time.Second})
	sim.submitKind("bulk", 0.35, batch.Step{Tasks: 39, RunTime: 6 * time.Second})
}

// submitKind submits jobs of one kind at random times, at a mean rate per
// second.
func (sim *simulation) submitKind(kind string, rate float64, step batch.Step) {
	priority := map[string]int{"urgent": 0, "gang": 1, "bulk": 2}[kind]
	step.Needs = batch.Resources{MilliCPU: 1000, MemoryMB: 100, Accelerators: 1}
	at := time.Duration(0)
	for i := 0; ; i++ {
		at += time.Duration(sim.rng.ExpFloat64() / rate * float64(time.Second))
		if at > submitTime {
			return
		}
		jb := batch.Job{
			ID: fmt.Sprintf("%s%03d", kind, i), Workspace: string(rune('a' + sim.rng.IntN(4))),
			Queue: sim.policy.Queues[priority], Payload: "x", Steps: []batch.Step{step},
		}
		sim.after(at, func() {
			sim.submit(jb, taskPlan{work: step.RunTime, fails: sim.failUrgent && kind == "urgent" && i%2 == 0})
		})
	}
}

// flap takes a worker down and restarts it after a period, repeatedly. It is up
// for the same period.
func (sim *simulation) flap(id string, period time.Duration) {
	sim.fleet.Remove(sim.now, id)
	sim.unreachable[id] = true
	sim.after(period, func() {
		delete(sim.unreachable, id)
		sim.addWorker(id, 8)
		sim.after(period, func() { sim.flap(id, period) })
	})
}

// result counts the outcomes of the jobs that could succeed.
func (sim *simulation) result(t *testing.T) replayResult {
	out := replayResult{starts: sim.fleet.Starts, repeatedFailures: sim.repeatedFailures()}
	for _, id := range sim.accepted {
		jb := sim.jobs[id]
		if sim.plans[id][0].fails {
			continue
		}
		out.jobs++
		switch sim.state(id) {
		case batch.Failed:
			out.failed++
		case batch.Done:
			if sim.turnaround(id) <= jb.Queue.Objective(jb.CriticalPath()) {
				out.timely++
			}
		default:
			t.Errorf("job %s is %v", id, sim.state(id))
		}
	}
	return out
}

// repeatedFailures counts the failed attempts on workers that were known to
// fail when the attempts were placed.
func (sim *simulation) repeatedFailures() int {
	type place struct {
		worker, job string
		attempt     int
	}
	failed := map[string]map[string]bool{} // by worker and job
	known := map[place]bool{}
	n := 0
	for _, ld := range sim.decisions {
		switch {
		case sim.plans[ld.Job] == nil || sim.plans[ld.Job][0].fails:
		case ld.Decision == "placed":
			for _, id := range ld.Workers {
				known[place{id, ld.Job, ld.Attempt}] = len(failed[id]) >= minKnownJobs
			}
		case ld.Decision == "ends" && ld.Reason == "failed":
			if known[place{ld.Worker, ld.Job, ld.Attempt}] {
				n++
			}
			if failed[ld.Worker] == nil {
				failed[ld.Worker] = map[string]bool{}
			}
			failed[ld.Worker][ld.Job] = true
		}
	}
	return n
}
