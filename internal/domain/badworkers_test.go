package domain_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/batch"
)

var replays = flag.Int("domain.replays", 2, "seeds of each replay of bad workers")

type (
	// badFleet is a kind of bad workers, with the bounds that a replay has to keep.
	badFleet struct {
		name    string
		begin   func(wo *world, ids []string) // once the load has run for a few seconds
		failed  int                           // most jobs that end as failed and could be done, by seed
		timely  float64                       // least share of the jobs that could be done and met their objectives
		repeats int                           // most attempts that fail on workers known to fail, by seed
	}

	// outcome is what a replay measures, over the jobs that could be done.
	outcome struct {
		jobs, failed, timely, repeats, starts int
	}
)

const (
	replayRacks   = 6
	replayPerRack = 6
	replayTime    = 40 * time.Second
	drainTime     = 60 * time.Second
	// knownJobs is how many different jobs have failed on a worker that is known
	// to fail.
	knownJobs = 2
)

var badFleets = []badFleet{
	{name: "sound", timely: 1, begin: func(*world, []string) {}},
	{name: "ninth fails everything", failed: 1, timely: 0.98, repeats: 25, begin: func(wo *world, ids []string) {
		for _, i := range wo.rng.Perm(len(ids))[:len(ids)/9] {
			wo.fleet.Fail(ids[i], true)
		}
	}},
	{name: "rack fails everything", failed: 2, timely: 0.97, repeats: 35, begin: func(wo *world, ids []string) {
		for _, id := range ids[replayPerRack : 2*replayPerRack] {
			wo.fleet.Fail(id, true)
		}
	}},
	{name: "ninth goes down and up", timely: 0.94, begin: func(wo *world, ids []string) {
		for _, i := range wo.rng.Perm(len(ids))[:len(ids)/9] {
			wo.flap(ids[i], 8*time.Second)
		}
	}},
	{name: "ninth fails 0.4", failed: 1, timely: 0.98, repeats: 30, begin: func(wo *world, ids []string) {
		for _, i := range wo.rng.Perm(len(ids))[:len(ids)/9] {
			wo.fleet.FailShare(ids[i], 0.4)
		}
	}},
	{name: "one kind poisoned", timely: 0.99, begin: func(wo *world, _ []string) { wo.poison = true }},
}

// TestBadWorkers replays a load of three kinds of jobs on fleets of which some
// workers are bad, and bounds what the callers see of it.
func TestBadWorkers(t *testing.T) {
	for _, bf := range badFleets {
		t.Run(bf.name, func(t *testing.T) {
			t.Parallel()
			var sum outcome
			for seed := range *replays {
				out := bf.play(t, uint64(seed))
				sum.jobs += out.jobs
				sum.failed += out.failed
				sum.timely += out.timely
				sum.repeats += out.repeats
				sum.starts += out.starts
			}
			if seeds := *replays; sum.failed > bf.failed*seeds || sum.repeats > bf.repeats*seeds || float64(sum.timely) < bf.timely*float64(sum.jobs) {
				t.Errorf("beyond %d failed and %d repeats of each seed, or %.2f timely", bf.failed, bf.repeats, bf.timely)
			}
			t.Logf("%s: %d jobs: %d failed, %.4f timely, %d repeats, %d starts",
				bf.name, sum.jobs, sum.failed, float64(sum.timely)/float64(sum.jobs), sum.repeats, sum.starts)
		})
	}
}

func (bf badFleet) play(t *testing.T, seed uint64) outcome {
	wo := newWorld(seed)
	wo.policy = replayPolicy()
	var ids []string
	for i := range replayRacks * replayPerRack {
		id := fmt.Sprintf("w%d%02d", i/replayPerRack, i)
		wo.addWorker(id, 8)
		ids = append(ids, id)
	}
	wo.elect()
	wo.run(time.Second)
	wo.after(5*time.Second, func() { bf.begin(wo, ids) })
	wo.submitKinds()
	wo.run(replayTime + drainTime)
	if bad := wo.check(); len(bad) > 0 {
		t.Fatalf("broken: %v\n%s", bad, wo.tail())
	}
	return wo.outcome(t)
}

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

// submitKinds submits work for two thirds of the fleet.
func (wo *world) submitKinds() {
	wo.submitKind("urgent", 3, batch.Step{Tasks: 5, RunTime: 2500 * time.Millisecond})
	wo.submitKind("gang", 0.5, batch.Step{Tasks: 13, Gang: true, RunTime: 11 * time.Second})
	wo.submitKind("bulk", 0.35, batch.Step{Tasks: 39, RunTime: 6 * time.Second})
}

// submitKind submits jobs of one kind at random times, at a mean rate a second.
func (wo *world) submitKind(kind string, rate float64, step batch.Step) {
	priority := map[string]int{"urgent": 0, "gang": 1, "bulk": 2}[kind]
	step.Needs = batch.Resources{MilliCPU: 1000, MemoryMB: 100, Accelerators: 1}
	at := time.Duration(0)
	for i := 0; ; i++ {
		at += time.Duration(wo.rng.ExpFloat64() / rate * float64(time.Second))
		if at > replayTime {
			return
		}
		jb := batch.Job{
			ID: fmt.Sprintf("%s%03d", kind, i), Workspace: string(rune('a' + wo.rng.IntN(4))),
			Queue: wo.policy.Queues[priority], Payload: "x", Steps: []batch.Step{step},
		}
		wo.after(at, func() { wo.submit(jb, planned{work: step.RunTime, fails: wo.poison && kind == "urgent" && i%2 == 0}) })
	}
}

// flap takes a worker down and has it start anew, again and again.
func (wo *world) flap(id string, period time.Duration) {
	wo.fleet.Remove(wo.now, id)
	wo.silent[id] = true
	wo.after(period, func() {
		delete(wo.silent, id)
		wo.addWorker(id, 8)
		wo.after(period, func() { wo.flap(id, period) })
	})
}

func (wo *world) outcome(t *testing.T) outcome {
	out := outcome{starts: wo.fleet.Starts, repeats: wo.repeats()}
	for _, id := range wo.accepts {
		jb := wo.jobs[id]
		if wo.plans[id][0].fails {
			continue
		}
		out.jobs++
		switch wo.state(id) {
		case batch.Failed:
			out.failed++
		case batch.Done:
			if wo.took(id) <= jb.Queue.Objective(jb.LongestChain()) {
				out.timely++
			}
		default:
			t.Errorf("job %s is %v", id, wo.state(id))
		}
	}
	return out
}

// repeats counts the failed attempts on workers that were known to fail when these
// attempts were placed.
func (wo *world) repeats() int {
	type place struct {
		worker, job string
		attempt     int
	}
	failed := map[string]map[string]bool{} // jobs by worker
	known := map[place]bool{}
	n := 0
	for _, no := range wo.notes {
		switch {
		case wo.plans[no.Job] == nil || wo.plans[no.Job][0].fails:
		case no.Decision == "placed":
			for _, id := range no.Workers {
				known[place{id, no.Job, no.Attempt}] = len(failed[id]) >= knownJobs
			}
		case no.Decision == "ends" && no.Reason == "failed":
			if known[place{no.Worker, no.Job, no.Attempt}] {
				n++
			}
			if failed[no.Worker] == nil {
				failed[no.Worker] = map[string]bool{}
			}
			failed[no.Worker][no.Job] = true
		}
	}
	return n
}
