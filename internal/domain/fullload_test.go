package domain_test

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/batch"
	"github.com/cicadawharf/cicadawharf/internal/domain"
	"github.com/cicadawharf/cicadawharf/internal/fakes/runsim"
	"github.com/cicadawharf/cicadawharf/internal/runner"
)

var (
	fulls       = flag.Int("domain.fulls", 4, "number of seeds of TestNothingStandsStillWhenFull, and four times that of TestNoGangWaitsLongWhenFull")
	firstFull   = flag.Uint64("domain.firstfull", 0, "first seed of TestNothingStandsStillWhenFull and the like")
	fullWorkers = flag.Int("domain.fullworkers", 48, "number of workers of TestNothingStandsStillWhenFull and the like")
)

type (
	// fullWorld is a simulation of a service without any trouble whose load is near its
	// capacity or exceeds it.
	fullWorld struct {
		*simulation
		seed      uint64
		load      float64                        // mean while jobs are submitted, relative to the capacity of the workers
		period    time.Duration                  // of the waves of the load
		phase     float64                        // of the waves, in radians
		owed      float64                        // work yet to be submitted; see workerSeconds
		loadRNG   *rand.Rand                     // separate, so that each policy gets the same load
		kinds     map[string]string              // by job
		works     map[batch.TaskID]time.Duration // true run times
		failsOnce map[batch.TaskID]bool
		watch     *calmWatch
		longest   map[string]time.Duration // for which a job stood still without a break
	}

	// fullKind is a kind of work with its share of the jobs.
	fullKind struct {
		workKind
		estimateError float64 // largest relative error of a job's declared run time
		cancels       float64 // share of the jobs that are cancelled
		poison        float64 // share of the jobs that fail in each attempt
	}

	// unheldUnits sums up what became of the units that were placed to end a standstill.
	unheldUnits struct {
		units     int
		restopped int // preempted within restopTime of their placement
		jobs      int // that had such units more than once
	}
)

const (
	fullSpan  = 40 * time.Second // in which jobs are submitted
	fullDrain = 20 * time.Second // after that
	fullSwing = 0.55             // amplitude of the waves of the load, relative to its mean
	// unevenness is the largest relative deviation of a task's run time from that of its
	// job.
	unevenness = 0.15
	// tailShare of the units take tailFactor times as long.
	tailShare  = 0.03
	tailFactor = 7
	// failShare is the share of the tasks whose first attempt fails.
	failShare = 0.003
	// restopTime is the time within which a unit that has ended a standstill should not
	// be preempted again.
	restopTime = 3 * time.Second
	// fullRackSize and fullZoneSize are numbers of workers.
	fullRackSize = 8
	fullZoneSize = 16
	// largeFleet is the number of workers from which hosts have weakCores and there are
	// ten workspaces; smaller fleets have hosts with smallCores and six workspaces.
	largeFleet = 300
	smallCores = 0.4
	weakCores  = 0.2
)

// fullCapacity is the capacity of a worker.
var fullCapacity = batch.Resources{MilliCPU: 32_000, MemoryMB: 65_536, Accelerators: 8}

// fullKinds are wide gangs, short urgent gangs, and loose tasks in one or two steps.
var fullKinds = []fullKind{
	{workKind: workKind{name: "gang", share: 0.25, queue: replayQueue(1, 4, 3, 1200*time.Millisecond), make: func(rng *rand.Rand) []batch.Step {
		return []batch.Step{fullGang(rng, 5, 30, 5800*time.Millisecond, batch.Resources{MilliCPU: 13_000, MemoryMB: 26_000})}
	}}, cancels: 0.05, poison: 0.01},
	{workKind: workKind{name: "urgent", share: 0.6, queue: replayQueue(0, 3, 1.5, 500*time.Millisecond), make: func(rng *rand.Rand) []batch.Step {
		return []batch.Step{fullGang(rng, 3.4, 21, 2100*time.Millisecond, batch.Resources{MilliCPU: 3700, MemoryMB: 9800})}
	}}, estimateError: 0.9},
	{workKind: workKind{name: "loose", share: 0.15, queue: replayQueue(2, 2, 3, 3*time.Second), make: func(rng *rand.Rand) []batch.Step {
		steps := []batch.Step{fullStep(rng, 16, 94, 8*time.Second, batch.Resources{MilliCPU: 2800, MemoryMB: 4100, Accelerators: 1})}
		if rng.IntN(10) < 3 {
			second := fullStep(rng, 16, 94, 8*time.Second, steps[0].Needs)
			second.After = []int{0}
			steps = append(steps, second)
		}
		return steps
	}}, estimateError: 0.9, cancels: 0.15},
}

// fullStep returns a step of a random number of tasks. Some save checkpoints, and some
// have their data in one rack.
func fullStep(rng *rand.Rand, tasks float64, most int, work time.Duration, needs batch.Resources) batch.Step {
	st := batch.Step{
		Tasks: min(most, max(1, int(math.Round(skew(rng, tasks, 0.8))))), Needs: needs,
		RunTime: time.Duration(skew(rng, float64(work), 0.3)), Checkpoints: rng.IntN(9) < 4,
	}
	if rng.IntN(6) == 0 {
		st.DataRack = fmt.Sprintf("r%d", rng.IntN(*fullWorkers/fullRackSize))
	}
	return st
}

// fullGang returns the same as a gang with a random number of accelerators. Some need
// one rack.
func fullGang(rng *rand.Rand, tasks float64, most int, work time.Duration, needs batch.Resources) batch.Step {
	needs.Accelerators = []int{1, 2, 4, 8, 8}[rng.IntN(5)]
	st := fullStep(rng, tasks, most, work, needs)
	st.Gang, st.OneRack = true, rng.IntN(3) > 0
	return st
}

// skew returns a random number with a log-normal distribution of the given mean.
func skew(rng *rand.Rand, mean, sigma float64) float64 {
	return mean * math.Exp(sigma*rng.NormFloat64()-sigma*sigma/2)
}

// workerSeconds returns what a task takes of a worker's dominant resource, times its run
// time in seconds.
func workerSeconds(needs batch.Resources, work time.Duration) float64 {
	return work.Seconds() * max(
		float64(needs.MilliCPU)/float64(fullCapacity.MilliCPU),
		float64(needs.MemoryMB)/float64(fullCapacity.MemoryMB),
		float64(needs.Accelerators)/float64(fullCapacity.Accelerators),
	)
}

// newFullWorld returns a world with its workers and its scheduler.
func newFullWorld(seed uint64, load float64) *fullWorld {
	fw := &fullWorld{
		simulation: newSimulation(seed), seed: seed, load: load, loadRNG: rand.New(rand.NewPCG(seed, 2)),
		kinds: map[string]string{}, works: map[batch.TaskID]time.Duration{}, failsOnce: map[batch.TaskID]bool{}, longest: map[string]time.Duration{},
	}
	fw.period = 12*time.Second + time.Duration(fw.loadRNG.Int64N(int64(10*time.Second)))
	fw.phase = 2 * math.Pi * fw.loadRNG.Float64()
	fw.fleet = runsim.NewFleet(startTime, runsim.Config{
		MaxLease: 10 * time.Second, GangTimeout: 3 * time.Second, CheckpointInterval: time.Second, EndPageSize: platformEndPage, Plan: fw.planOf, Acknowledged: fw.checkAcknowledged,
	})
	fw.policy = &batch.Policy{Version: 1}
	for _, ki := range fullKinds {
		fw.policy.Queues = append(fw.policy.Queues, ki.queue)
	}
	names, cores := workspaces[:6], smallCores
	if *fullWorkers >= largeFleet {
		names, cores = workspaces, weakCores
	}
	for i, name := range names {
		fw.policy.Workspaces = append(fw.policy.Workspaces, batch.Workspace{Name: string(name), Guaranteed: 30 * (i % 3)})
	}
	for i := range *fullWorkers {
		fw.addFullWorker(i)
	}
	fw.electOn(cores)
	return fw
}

// addFullWorker adds a worker before the first election.
func (fw *fullWorld) addFullWorker(i int) {
	id := fmt.Sprintf("w%03d", i)
	fw.workers[id] = runner.Worker{
		ID: id, Address: id + ":1", Service: "svc", Zone: fmt.Sprintf("z%d", i/fullZoneSize%3), Rack: fmt.Sprintf("r%d", i/fullRackSize),
		Capacity: fullCapacity, Born: fw.fleet.Add(fw.now, id, fullCapacity, 1-0.02*fw.rng.Float64()),
	}
	fw.disturb(0)
}

// electOn elects the first scheduler, on a host with some CPU cores.
func (sim *simulation) electOn(cores float64) {
	sim.token += 10
	sim.disturb(0)
	cf := domain.Config{Token: sim.token, Policy: sim.policy, MinMoveRunTime: minMoveRunTime, FairShares: true, FormerBounded: true, Cores: cores}
	for _, id := range sim.workerIDs() {
		cf.Workers = append(cf.Workers, sim.workers[id])
	}
	sim.leader = &leader{core: domain.New(sim.now, cf), token: sim.token}
	sim.tick(sim.leader)
}

// planOf returns the simulated behaviour of a task.
func (fw *fullWorld) planOf(ti batch.TaskID) runsim.Plan {
	pl := fw.simulation.planOf(ti)
	pl.Work = fw.works[ti]
	pl.Fails = pl.Fails || fw.failsOnce[ti] && !fw.fleet.MayBeGivenUp(ti, 1)
	return pl
}

// play submits jobs for some time, and waits for most of them to end.
func (fw *fullWorld) play(span time.Duration) {
	for elapsed := time.Duration(0); elapsed < span; elapsed += tickInterval {
		wave := 1 + fullSwing*math.Sin(fw.phase+2*math.Pi*float64(elapsed)/float64(fw.period))
		fw.owed += fw.load * wave * float64(*fullWorkers) * tickInterval.Seconds()
		for fw.owed > 0 {
			fw.owed -= fw.submitNext()
		}
		fw.run(tickInterval)
	}
	fw.run(fullDrain)
}

// submitNext submits a job of a random kind, and returns its work in worker-seconds.
func (fw *fullWorld) submitNext() float64 {
	rng := fw.loadRNG
	at, ki := rng.Float64(), fullKinds[0]
	for _, ki = range fullKinds {
		if at -= ki.share; at < 0 {
			break
		}
	}
	jb := batch.Job{
		ID: fmt.Sprintf("%s%04d", ki.name, len(fw.accepted)), Workspace: fw.policy.Workspaces[rng.IntN(len(fw.policy.Workspaces))].Name,
		Queue: ki.queue, Payload: "x", Steps: ki.make(rng),
	}
	plan := taskPlan{fails: rng.Float64() < ki.poison}
	work := 0.0
	for step := range jb.Steps {
		work += fw.drawRunTimes(jb, step, 1+ki.estimateError*(2*rng.Float64()-1))
	}
	if rng.Float64() < ki.cancels {
		fw.after(time.Duration(rng.Int64N(int64(10*time.Second))), func() { fw.cancel(jb.ID) })
	}
	fw.kinds[jb.ID] = ki.name
	fw.submit(jb, slices.Repeat([]taskPlan{plan}, len(jb.Steps))...)
	return work
}

// drawRunTimes draws the true run times of the tasks of a step, given their mean
// relative to the declared time, and returns their work in worker-seconds.
func (fw *fullWorld) drawRunTimes(jb batch.Job, step int, factor float64) float64 {
	rng, st := fw.loadRNG, jb.Steps[step]
	sum, tail := 0.0, 1.0
	for index := range st.Tasks {
		ti := batch.TaskID{Job: jb.ID, Step: step, Index: index}
		if index < st.Units() { // a gang takes as long as a whole
			tail = 1
			if rng.Float64() < tailShare {
				tail = tailFactor
			}
		}
		fw.works[ti] = time.Duration(float64(st.RunTime) * factor * tail * (1 + unevenness*(2*rng.Float64()-1)))
		fw.failsOnce[ti] = rng.Float64() < failShare
		sum += workerSeconds(st.Needs, fw.works[ti])
	}
	return sum
}

// watchStandstills begins to look for work that stands still, from when the rule of
// calmWatch holds.
func (fw *fullWorld) watchStandstills() {
	fw.run(standstillTime + calmBefore)
	fw.watch = fw.watchCalm()
	fw.measureStandstills()
}

// measureStandstills notes for how long jobs stand still, after each look of calmWatch.
func (fw *fullWorld) measureStandstills() {
	fw.after(calmSampleInterval, fw.measureStandstills)
	for id, since := range fw.watch.since {
		fw.longest[id] = max(fw.longest[id], fw.now.Sub(since))
	}
}

// String sums up what has stood still, what was idle and stopped meanwhile, and what the
// jobs have earned.
func (fw *fullWorld) String() string {
	var stood [4]int // by whole seconds, at most three
	longest := time.Duration(0)
	for _, d := range fw.longest {
		stood[min(3, int(d/time.Second))]++
		longest = max(longest, d)
	}
	su := replay{workers: *fullWorkers, length: fullSpan}.summarize(fw.simulation, fw.kinds)
	stops, preempted := 0, 0
	for _, ld := range fw.decisions {
		if ld.Decision == "stops" {
			stops++
			if isPreemption(ld) {
				preempted++
			}
		}
	}
	var value earnings
	byKind := ""
	for _, ki := range fullKinds {
		ea := su.byKind[ki.name]
		value.offered += ea.offered
		value.earned += ea.earned
		byKind += fmt.Sprintf(" %s %.2f", ki.name, ea.earned/max(1, ea.offered))
	}
	uu := fw.countUnheld()
	return fmt.Sprintf(
		"seed %d, load %.1f: %d jobs, stood for 1 s %d, 2 s %d, 3 s %d, longest %v; idle %.3f, reserved %.3f; stops %d, %d of them preemptions, lost %v; unheld %d, restopped %d, jobs unheld again %d; value %.3f,%s",
		fw.seed, fw.load, len(fw.accepted), stood[1]+stood[2]+stood[3], stood[2]+stood[3], stood[3], longest,
		su.idle, fw.reservedShare(), stops, preempted, su.wasted.Round(time.Second), uu.units, uu.restopped, uu.jobs, value.earned/max(1, value.offered), byKind,
	)
}

// reservedShare returns the mean fraction of accelerators that are free, but reserved
// while work waits.
func (sim *simulation) reservedShare() float64 {
	sum := 0.0
	for _, br := range sim.backlogReports {
		sum += float64(br.Accelerators.Reserved) / float64(max(1, br.Accelerators.Total))
	}
	return sum / float64(max(1, len(sim.backlogReports)))
}

// isPreemption reports whether a decision stops a unit for other work.
func isPreemption(ld domain.LogDecision) bool {
	return ld.Decision == "stops" && strings.Contains(ld.Reason, "needs the capacity")
}

// countUnheld sums up what became of the units that were placed to end a standstill.
func (sim *simulation) countUnheld() unheldUnits {
	var uu unheldUnits
	unheld := map[string]int{}       // by job
	placed := map[string]time.Time{} // the last placement of a task that ended a standstill
	isNext := map[string]bool{}      // tasks whose next placement does
	for i, ld := range sim.decisions {
		at := sim.logged[i].at
		switch {
		case ld.Decision == "unheld":
			uu.units++
			if unheld[ld.Job]++; unheld[ld.Job] == 2 {
				uu.jobs++
			}
			isNext[ld.Task] = true
		case ld.Decision == "placed":
			delete(placed, ld.Task)
			if isNext[ld.Task] {
				placed[ld.Task] = at
				delete(isNext, ld.Task)
			}
		case isPreemption(ld) && !placed[ld.Task].IsZero() && at.Sub(placed[ld.Task]) <= restopTime:
			uu.restopped++
			delete(placed, ld.Task)
		}
	}
	return uu
}

// eachFull plays seeds with some loads in turn.
func eachFull(t *testing.T, seeds int, loads []float64, play func(t *testing.T, fw *fullWorld)) {
	for i := range seeds {
		seed := *firstFull + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			play(t, newFullWorld(seed, loads[seed%uint64(len(loads))]))
		})
	}
}

// TestNothingStandsStillWhenFull plays loads near and over the capacity of the workers,
// without any trouble. It guards against holds of work beside free workers while the
// service is full, such as reservations for gangs, and logs what each load costs. A
// single seed N is run by -domain.fulls 1 -domain.firstfull N.
func TestNothingStandsStillWhenFull(t *testing.T) {
	eachFull(t, *fulls, []float64{0.8, 1, 1.3, 1.6}, func(t *testing.T, fw *fullWorld) {
		fw.watchStandstills()
		fw.play(fullSpan)
		t.Log(fw)
		if violations := fw.check(); len(violations) > 0 {
			t.Errorf("violations: %v\n%s", violations, fw.logTail())
		}
		fw.watch.report(t, false)
		fw.watch.report(t, true)
	})
}
