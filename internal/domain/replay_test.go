package domain_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadawharf/cicadawharf/internal/batch"
)

type (
	// replay is a load in simulated time: workspaces with uneven demand submit
	// three kinds of work in bursts that exceed the capacity of the workers.
	replay struct {
		seed    uint64
		workers int                                          // of 8 accelerators
		load    float64                                      // during a burst, relative to the capacity of the workers
		burst   time.Duration                                // length of a burst
		pause   time.Duration                                // between bursts, with pauseLoad
		length  time.Duration                                // of the time in which jobs are submitted
		demand  []float64                                    // fractions of the load by workspace
		during  func(sim *simulation, elapsed time.Duration) // called at every tickInterval, after the submissions; may be nil
	}

	// workKind is one kind of work.
	workKind struct {
		name  string
		share float64 // of the load, in accelerator time
		queue batch.Queue
		make  func(rng *rand.Rand) []batch.Step // returns the steps of a job
	}

	// earnings is the value of the jobs of a workspace or kind, in
	// accelerator-seconds: offered in full, and earned by the time at which
	// they ended; see earnedFraction.
	earnings struct {
		offered, earned float64
		jobs, inTime    int // number of jobs, and of those that met their objectives
	}

	// summary is the result of a replay.
	summary struct {
		byWorkspace, byKind, byBoth map[string]earnings // byBoth has keys like "a urgent"
		entitled                    map[string]float64  // accelerator-seconds by workspace
		wasted                      time.Duration       // processor time lost by stops, in core equivalents
		idle                        float64             // mean fraction of free accelerators while work waits
		violations                  []string            // of invariants
	}
)

const (
	pauseLoad  = 0.9          // relative to the capacity of the workers
	workspaces = "abcdefghij" // their names, of one letter each
)

var overloads = flag.Int("domain.overloads", 1, "number of seeds of the replayed loads")

// skewed gives half of the load to a tenth of the workspaces.
var skewed = []float64{0.5, 0.14, 0.1, 0.07, 0.055, 0.04, 0.035, 0.03, 0.02, 0.01}

// workKinds are short urgent tasks with a close objective, gangs, and bulk work
// of one or two steps of many tasks, as in docs/UNDER-LOAD.md.
var workKinds = []workKind{
	{name: "urgent", share: 0.25, queue: replayQueue(0, 2, 1.5, 500*time.Millisecond), make: func(rng *rand.Rand) []batch.Step {
		return []batch.Step{replayStep(5, []int{1, 1, 1, 2, 2, 4, 8}[rng.IntN(7)], 2500*time.Millisecond, false)}
	}},
	{name: "gang", share: 0.35, queue: replayQueue(1, 3, 3, 1200*time.Millisecond), make: func(rng *rand.Rand) []batch.Step {
		st := replayStep(13, []int{1, 1, 2, 4}[rng.IntN(4)], 11*time.Second, false)
		st.Gang = true
		return []batch.Step{st}
	}},
	{name: "bulk", share: 0.4, queue: replayQueue(2, 3, 3, 3*time.Second), make: func(rng *rand.Rand) []batch.Step {
		checkpoints := rng.IntN(2) == 0
		steps := []batch.Step{replayStep(39, 1, 6*time.Second, checkpoints)}
		if rng.IntN(10) < 3 {
			second := replayStep(39, 1, 6*time.Second, checkpoints)
			second.After = []int{0}
			steps = append(steps, second)
		}
		return steps
	}},
}

func replayQueue(priority, attempts int, stretch float64, allowance time.Duration) batch.Queue {
	qu := queueOf(priority)
	qu.MaxAttempts, qu.Stretch, qu.Allowance = attempts, stretch, allowance
	return qu
}

func replayStep(tasks, accelerators int, work time.Duration, checkpoints bool) batch.Step {
	return batch.Step{Tasks: tasks, RunTime: work, Checkpoints: checkpoints, Needs: batch.Resources{
		MilliCPU: 1000 * accelerators, MemoryMB: 500 * accelerators, Accelerators: accelerators,
	}}
}

// acceleratorSeconds returns the accelerator time of a job, in seconds.
func acceleratorSeconds(jb batch.Job) float64 {
	sum := 0.0
	for _, st := range jb.Steps {
		sum += float64(st.Tasks*st.Needs.Accelerators) * st.RunTime.Seconds()
	}
	return sum
}

// start returns a simulation with the workers and the policy of a replay.
func (re replay) start() *simulation {
	sim := newSimulation(re.seed)
	sim.fairShares = true
	sim.policy = &batch.Policy{Version: 1}
	for _, ki := range workKinds {
		sim.policy.Queues = append(sim.policy.Queues, ki.queue)
	}
	for i, name := range workspaces {
		sim.policy.Workspaces = append(sim.policy.Workspaces, batch.Workspace{
			Name: string(name), Guaranteed: re.workers * []int{6, 4, 0, 4, 4}[i%5] / 24,
		})
	}
	for i := range re.workers {
		sim.addWorker(fmt.Sprintf("w%d%03d", i/8%10, i), 8)
	}
	sim.elect()
	sim.run(time.Second)
	return sim
}

// run submits the load and waits for its end.
func (re replay) run(sim *simulation) summary {
	kinds := map[string]string{}
	rng := rand.New(rand.NewPCG(re.seed, 2)) // separate, so that each policy gets the same load
	for elapsed := time.Duration(0); elapsed < re.length; elapsed += tickInterval {
		load := pauseLoad
		if elapsed%(re.burst+re.pause) < re.burst {
			load = re.load
		}
		for _, ki := range workKinds {
			re.submitWork(sim, rng, ki, load*ki.share*float64(8*re.workers)*tickInterval.Seconds(), kinds)
		}
		if re.during != nil {
			re.during(sim, elapsed)
		}
		sim.run(tickInterval)
	}
	sim.run(40 * time.Second)
	return re.summarize(sim, kinds)
}

// submitWork submits jobs of a kind for an expected amount of accelerator time.
func (re replay) submitWork(sim *simulation, rng *rand.Rand, ki workKind, amount float64, kinds map[string]string) {
	for amount > 0 {
		steps := ki.make(rng)
		jb := batch.Job{
			ID: fmt.Sprintf("%s%05d", ki.name, len(sim.accepted)), Workspace: re.workspace(rng),
			Queue: ki.queue, Payload: "x", Steps: steps,
		}
		cost := acceleratorSeconds(jb)
		if rng.Float64()*cost > amount {
			return
		}
		amount -= cost
		plans := make([]taskPlan, len(steps))
		for i, st := range steps {
			plans[i] = taskPlan{work: time.Duration(float64(st.RunTime) * (0.85 + 0.2*rng.Float64()))}
		}
		kinds[jb.ID] = ki.name
		sim.submit(jb, plans...)
	}
}

// workspace draws a workspace by demand.
func (re replay) workspace(rng *rand.Rand) string {
	at := rng.Float64()
	for i, part := range re.demand {
		if at -= part; at < 0 {
			return workspaces[i : i+1]
		}
	}
	return workspaces[:1]
}

// earnedFraction returns the fraction of its value that a job has earned: all
// if it met its objective, and none after three times that.
func (sim *simulation) earnedFraction(id string) float64 {
	jb := sim.jobs[id]
	if sim.state(id) != batch.Done {
		return 0
	}
	over := float64(sim.turnaround(id)) / float64(jb.Queue.Objective(jb.CriticalPath()))
	return min(1, max(0, (3-over)/2))
}

// summarize sums up what the jobs have earned. kinds holds the kind of each
// job.
func (re replay) summarize(sim *simulation, kinds map[string]string) summary {
	su := summary{
		byWorkspace: map[string]earnings{}, byKind: map[string]earnings{}, byBoth: map[string]earnings{},
		entitled: map[string]float64{}, violations: sim.check(),
	}
	for _, id := range sim.accepted {
		ws, fraction, cost := sim.jobs[id].Workspace, sim.earnedFraction(id), acceleratorSeconds(sim.jobs[id])
		add := func(sums map[string]earnings, key string) {
			ea := sums[key]
			ea.offered += cost
			ea.earned += fraction * cost
			ea.jobs++
			if fraction == 1 {
				ea.inTime++
			}
			sums[key] = ea
		}
		add(su.byWorkspace, ws)
		add(su.byKind, kinds[id])
		add(su.byBoth, ws+" "+kinds[id])
	}
	su.assignEntitlements(sim, float64(8*re.workers)*re.length.Seconds())
	for _, ld := range sim.decisions {
		if ld.Decision == "stops" {
			su.wasted += ld.Lost
		}
	}
	for _, br := range sim.backlogReports {
		if br.Accelerators.Total > 0 {
			su.idle += float64(br.Accelerators.Free) / float64(br.Accelerators.Total) / float64(len(sim.backlogReports))
		}
	}
	return su
}

// assignEntitlements divides an amount, in accelerator-seconds, among the
// workspaces by weight. A workspace that has offered less than its part gets
// what it has offered, and the rest goes to the others.
func (su summary) assignEntitlements(sim *simulation, amount float64) {
	weights := map[string]float64{}
	least := 0
	for _, ws := range sim.policy.Workspaces {
		if ws.Guaranteed > 0 && (least == 0 || ws.Guaranteed < least) {
			least = ws.Guaranteed
		}
	}
	for _, ws := range sim.policy.Workspaces {
		if su.byWorkspace[ws.Name].offered > 0 {
			weights[ws.Name] = float64(max(1, least, ws.Guaranteed))
		}
	}
	for again := true; again; {
		again = false
		sum := 0.0
		for _, weight := range weights {
			sum += weight
		}
		for name, weight := range weights {
			if offered := su.byWorkspace[name].offered; offered <= amount*weight/sum {
				su.entitled[name] = offered
				amount -= offered
				delete(weights, name)
				again = true
				break
			}
			su.entitled[name] = amount * weight / sum
		}
	}
}

// receivedShare returns the fraction of its entitlement that a workspace has
// earned.
func (su summary) receivedShare(workspace string) float64 {
	if su.entitled[workspace] == 0 {
		return 1
	}
	return min(1, su.byWorkspace[workspace].earned/su.entitled[workspace])
}

// worstShare returns the smallest fraction that a workspace has received.
func (su summary) worstShare() float64 {
	least := 1.0
	for ws := range su.byWorkspace {
		least = min(least, su.receivedShare(ws))
	}
	return least
}

func (su summary) String() string {
	var sb strings.Builder
	line := func(name string, ea earnings) {
		fmt.Fprintf(&sb, "%-9s value %4.2f in time %4.2f of %4d", name, ea.earned/max(1, ea.offered), float64(ea.inTime)/max(1, float64(ea.jobs)), ea.jobs)
	}
	for _, ws := range strings.Split(workspaces, "") {
		line(ws, su.byWorkspace[ws])
		fmt.Fprintf(&sb, " received %4.2f |", su.receivedShare(ws))
		for _, ki := range workKinds {
			ea := su.byBoth[ws+" "+ki.name]
			fmt.Fprintf(&sb, " %s %4.2f", ki.name, ea.earned/max(1, ea.offered))
		}
		sb.WriteString("\n")
	}
	for _, ki := range workKinds {
		line(ki.name, su.byKind[ki.name])
		sb.WriteString("\n")
	}
	fmt.Fprintf(&sb, "worst %4.2f, wasted %v, idle %4.2f", su.worstShare(), su.wasted.Round(time.Second), su.idle)
	return sb.String()
}

// TestReplayOfOverload replays loads beyond the capacity of the workers, and
// guards against violated invariants of the workers. It prints the value earned
// by workspace and by kind of work, for the comparison of policies.
func TestReplayOfOverload(t *testing.T) {
	is := is.New(t)
	worst := []float64{}
	kinds := map[string]earnings{}
	var wasted time.Duration
	idle := 0.0
	for seed := range *overloads {
		re := replay{
			seed: uint64(seed), workers: 48 + seed%2*16, load: 1.3 + 0.2*float64(seed%3), burst: 20 * time.Second, pause: 8 * time.Second,
			length: 84 * time.Second, demand: skewed,
		}
		su := re.run(re.start())
		t.Logf("seed %d, %d workers, load %.1f\n%v", seed, re.workers, re.load, su)
		is.Equal(su.violations, nil)
		worst = append(worst, su.worstShare())
		wasted += su.wasted
		idle += su.idle / float64(*overloads)
		for name, ea := range su.byKind {
			sum := kinds[name]
			kinds[name] = earnings{sum.offered + ea.offered, sum.earned + ea.earned, sum.jobs + ea.jobs, sum.inTime + ea.inTime}
		}
	}
	slices.Sort(worst)
	t.Logf("least received: %.2f, median %.2f; wasted %v, idle %.3f", worst[0], worst[len(worst)/2], wasted.Round(time.Second), idle)
	for name, ea := range kinds {
		t.Logf("%s: value %.3f, in time %.3f of %d", name, ea.earned/ea.offered, float64(ea.inTime)/float64(ea.jobs), ea.jobs)
	}
}
