package sched_test

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/jobs"
	"github.com/cicadawharf/cicadawharf/internal/sched"
	"github.com/cicadawharf/cicadawharf/pkg/codes"
)

// faultCase is a fault to be injected at any point of a job's life, with the
// codes that are allowed for the job afterwards.
type faultCase struct {
	name          string
	inject        func(sim *simulation)
	duration      time.Duration // until it is ended by heal; zero if it needs no end
	repeatable    []codes.Code  // codes of a repeatable job
	notRepeatable []codes.Code  // codes of a job that may not be repeated
}

var (
	done        = []codes.Code{codes.JobDone}
	interrupted = []codes.Code{codes.JobDone, codes.AttemptLost, codes.AttemptsUsed}
	cancelled   = []codes.Code{codes.JobDone, codes.JobCancelled, codes.CancelledUnstarted, codes.CancelledInDoubt}

	faultCases = []faultCase{
		{"host killed", func(sim *simulation) {
			sim.current().stopped = true
			sim.after(2*time.Second, func() { sim.takeOver() })
		}, 0, done, interrupted},
		{"leader paused and resumed", pauseLeader, 0, done, interrupted},
		{"link to a worker cut", func(sim *simulation) { sim.partitioned[targetWorker(sim)] = true }, 40 * time.Second, done, interrupted},
		{"link to a worker cut briefly", func(sim *simulation) { sim.partitioned[targetWorker(sim)] = true }, 700 * time.Millisecond, done, interrupted},
		{"replies of a worker lost", func(sim *simulation) { sim.losesReplies[targetWorker(sim)] = true }, 30 * time.Second, done, interrupted},
		{"calls to a worker late", func(sim *simulation) { sim.slow[targetWorker(sim)] = true }, 30 * time.Second, done, interrupted},
		{"store down", func(sim *simulation) { sim.store.down = true }, 20 * time.Second, done, done},
		{"store's replies lost", func(sim *simulation) { sim.store.losesReplies = true }, 5 * time.Second, done, done},
		{"worker restarted", func(sim *simulation) { sim.tables[targetWorker(sim)].Restart(sim.now, "b2", false) }, 0, done, interrupted},
		{"worker fails everything", func(sim *simulation) { sim.tables[targetWorker(sim)].SetFailStarts(true) }, 10 * time.Second, done, append(interrupted, codes.JobFailed)},
		{"worker draining", func(sim *simulation) { sim.tables[targetWorker(sim)].SetDraining(true) }, 10 * time.Second, done, done},
		{"cancelled", func(sim *simulation) { sim.cancel("z1.a") }, 0, cancelled, cancelled},
		{"store down and host killed", func(sim *simulation) {
			sim.store.down = true
			sim.current().stopped = true
			sim.after(20*time.Second, func() { sim.store.down = false; sim.takeOver() })
		}, 0, done, interrupted},
		{"store down and worker restarted", func(sim *simulation) {
			sim.store.down = true
			sim.tables[targetWorker(sim)].Restart(sim.now, "b2", false)
		}, 10 * time.Second, done, interrupted},
	}
)

// stride is the number of events between two injections of a fault in
// TestEveryFaultAtEveryPoint.
var stride = flag.Int("stride", 4, "simulated events between two injections of a fault; 1 for every event")

// targetWorker returns a worker of the job, or the first of the zone if the job
// isn't placed.
func targetWorker(sim *simulation) string {
	rc, ok := sim.current().core.Get("z1.a")
	if ok && len(rc.Tasks) > 0 {
		return rc.Tasks[0].Worker
	}
	return sim.hosts[0].Name
}

func pauseLeader(sim *simulation) {
	old := sim.current()
	old.frozen = true
	sim.after(4*time.Second, func() { sim.takeOver() })
	sim.after(6*time.Second, func() { sim.resume(old) })
}

// lifecyclePoint returns the point of its life that the job has reached when a
// fault is injected.
func lifecyclePoint(sim *simulation) string {
	rc, ok := sim.current().core.Get("z1.a")
	if !ok {
		return "submit"
	}
	if rc.State == jobs.Starting && len(sim.runsOf("z1.a")) > 0 {
		return "start"
	}
	if rc.State == jobs.Running && len(sim.runsOf("z1.a")) > 0 && !sim.runsOf("z1.a")[0].Ended.IsZero() {
		return "finish"
	}
	return rc.State.String()
}

// TestEveryFaultAtEveryPoint submits a gang and injects each fault after a number
// of events, which grows by stride until the job ends before the fault. No
// invariant may be violated, and the job must end with a code that the fault
// allows.
func TestEveryFaultAtEveryPoint(t *testing.T) {
	for i, fc := range faultCases {
		for _, repeatable := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s/repeatable=%v", fc.name, repeatable), func(t *testing.T) {
				t.Parallel()
				seen := map[string]int{}
				for events := i % *stride; runWithFault(t, fc, repeatable, events, seen); events += *stride {
				}
				for _, point := range []string{"submit", "queued", "starting", "start", "running", "ended"} {
					if seen[point] == 0 {
						t.Errorf("no fault was injected at point %s: %v", point, seen)
					}
				}
			})
		}
	}
}

// runWithFault runs one job and injects the fault after a number of events. It
// returns false if the job had ended before.
func runWithFault(t *testing.T, fc faultCase, repeatable bool, events int, seen map[string]int) bool {
	t.Helper()
	sim := newSimulation(2, small)
	sim.run(time.Second)
	sim.submit(gang("z1.first", 8, 8, "sleep", "100ms"))
	sp := gang("z1.a", 3, 8, "sleep", "300ms")
	sp.Repeatable = repeatable
	rid := sim.submit(sp)
	sim.runEvents(events)
	point := lifecyclePoint(sim)
	seen[point]++
	fc.inject(sim)
	if fc.duration > 0 {
		sim.after(fc.duration, func() { sim.heal(0) })
	}
	sim.run(90 * time.Second)
	sim.heal(30 * time.Second)
	if violations := sim.checkInvariants(); len(violations) > 0 {
		t.Fatalf("after %d events, at point %s: %v", events, point, violations[0])
	}
	checkFaultEnd(t, sim, fc, repeatable, rid, fmt.Sprintf("after %d events, at point %s", events, point))
	rc, ok := sim.record("z1.a")
	return !ok || point != jobs.Ended.String() || rc.State != jobs.Ended
}

// checkFaultEnd checks the job's code against those that the fault allows. A job
// may be missing if it was refused, or if its caller was told that the outcome
// is unknown.
func checkFaultEnd(t *testing.T, sim *simulation, fc faultCase, repeatable bool, rid sched.RequestID, where string) {
	t.Helper()
	allowed := fc.notRepeatable
	if repeatable {
		allowed = fc.repeatable
	}
	rc, ok := sim.record("z1.a")
	an, answered := sim.answers[rid]
	switch {
	case !ok && answered && an.Err == nil:
		t.Fatalf("%s: the job was accepted and is missing", where)
	case !ok && len(sim.runsOf("z1.a")) > 0:
		t.Fatalf("%s: the job ran without a record", where)
	case ok && !slices.Contains(allowed, rc.Code):
		t.Fatalf("%s: the job ended %v (%s)", where, rc.Code, rc.Detail)
	}
}
