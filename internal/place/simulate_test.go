package place_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadawharf/cicadawharf/internal/jobs"
	"github.com/cicadawharf/cicadawharf/internal/place"
	"github.com/cicadawharf/cicadawharf/pkg/spec"
)

type (
	// simJob is one job of the synthetic workload.
	simJob struct {
		place.QueuedJob
		shape       spec.Shape
		run         time.Duration // actual run time
		declared    time.Duration // run time that the scheduler expects
		preemptible bool
		lossless    bool          // loses no work when stopped
		remaining   time.Duration // run time still to do
		started     time.Time     // start of the current attempt; zero if none runs
		firstStart  time.Time     // start of the first attempt
		ended       time.Time
		attempt     int
	}

	// simEvent is a submission (attempt zero) or the end of an attempt.
	simEvent struct {
		at      time.Time
		job     *simJob
		attempt int
	}

	// simulation is a discrete-event simulation of one availability zone.
	simulation struct {
		policy  func(sm *simulation)
		now     time.Time
		fleet   *place.Fleet
		events  []simEvent
		jobs    map[string]*simJob
		queue   []*simJob
		usable  time.Duration // free accelerators that the largest waiting gang could use, integrated over time
		free    time.Duration // free accelerators while a gang waits, integrated over time
		sampled time.Time     // time up to which usable and free are integrated
	}

	// simResult is the result of a simulation: the hours from submission to end
	// of small and large jobs, and those from submission to the first start of
	// urgent ones.
	simResult struct {
		small, large, urgent []float64
		usableShare          float64 // share of the free accelerators that the largest waiting gang could use
		unfinished           int     // jobs that have not ended
	}
)

const (
	simSeed        = 11
	simJobs        = 1600 / 5        // scaled like simRacks
	simRacks       = 12              // of eight workers; a fifth of 470 workers
	largeTotal     = 32              // least accelerators of a large gang
	checkpointTime = 2 * time.Second // run time that a checkpoint costs
)

// newSimulation generates the jobs of one zone. Most run for hours, gangs have
// up to 32 tasks, and declared run times are wrong by up to a factor of ten
// either way.
func newSimulation(seed uint64, policy func(*simulation)) *simulation {
	rnd := rand.New(rand.NewPCG(seed, 0))
	sm := &simulation{policy: policy, jobs: map[string]*simJob{}, now: start, sampled: start}
	var units []place.Unit
	for i := range benchWorkspaces / 5 {
		units = append(units, place.Unit{
			Workspace: fmt.Sprintf("w%d", i),
			Shape:     []spec.Shape{shape(4, 1, spec.SameRack), shape(2, 4, spec.SameRack), shape(2, 8, spec.SameRack), shape(4, 2, spec.SameZone)}[i%4],
		})
	}
	sm.fleet = place.NewFleet(rackWorkers(simRacks), units)
	for i := range simJobs {
		at := start.Add(time.Duration(rnd.Int64N(int64(24 * time.Hour))))
		jb := randomJob(rnd, i, at)
		sm.jobs[jb.Job] = jb
		sm.push(at, jb)
	}
	return sm
}

func randomJob(rnd *rand.Rand, i int, at time.Time) *simJob {
	tasks := []int{1, 1, 2, 4, 4, 8, 16, 32}[rnd.IntN(8)]
	accelerators := []int{0, 1, 1, 2, 4, 8}[rnd.IntN(6)]
	if tasks == 32 && accelerators > 4 {
		accelerators = 4
	}
	run := time.Duration((0.2 + rnd.ExpFloat64()*2.2) * float64(time.Hour))
	jb := &simJob{
		QueuedJob: place.QueuedJob{
			Job: fmt.Sprintf("j%03d", i), Workspace: fmt.Sprintf("w%d", rnd.IntN(benchWorkspaces/5)), Submitted: at,
			Priority: []jobs.Priority{jobs.Low, jobs.Normal, jobs.Normal, jobs.Normal, jobs.Urgent}[rnd.IntN(5)],
		},
		shape: shape(tasks, accelerators, spec.SameZone), run: run, remaining: run, preemptible: rnd.IntN(10) > 0, lossless: rnd.IntN(2) == 0,
		declared: time.Duration(float64(run) * []float64{0.1, 0.5, 1, 2, 10}[rnd.IntN(5)]),
	}
	if tasks*accelerators <= 32 && rnd.IntN(2) == 0 {
		jb.shape.Adjacency = spec.SameRack
	}
	return jb
}

func (sm *simulation) push(at time.Time, jb *simJob) {
	ev := simEvent{at, jb, jb.attempt}
	i, _ := slices.BinarySearchFunc(sm.events, ev, func(a, b simEvent) int { return a.at.Compare(b.at) })
	sm.events = slices.Insert(sm.events, i, ev)
}

// run handles events until all jobs have ended or 48 hours have passed.
func (sm *simulation) run() simResult {
	end := start.Add(48 * time.Hour)
	for len(sm.events) > 0 && sm.events[0].at.Before(end) {
		ev := sm.events[0]
		sm.events = sm.events[1:]
		sm.sample(ev.at)
		sm.now = ev.at
		switch {
		case ev.attempt == 0:
			sm.queue = append(sm.queue, ev.job)
		case ev.attempt == ev.job.attempt && !ev.job.started.IsZero():
			ev.job.ended = sm.now
			ev.job.started = time.Time{}
			sm.fleet.Remove(ev.job.Job)
		default:
			continue
		}
		sm.policy(sm)
	}
	return sm.result()
}

// sample accumulates the free accelerators and how many of them the largest
// waiting gang could use.
func (sm *simulation) sample(now time.Time) {
	span := now.Sub(sm.sampled)
	sm.sampled = now
	if len(sm.queue) == 0 {
		return
	}
	largest := slices.MaxFunc(sm.queue, func(a, b *simJob) int { return cmp.Compare(a.shape.Total(), b.shape.Total()) })
	probe := largest.shape
	probe.Tasks = 1 // task by task, as the whole gang doesn't fit
	sm.usable += span * time.Duration(sm.fleet.FittingAccelerators(probe))
	sm.free += span * time.Duration(sm.fleet.FreeAccelerators())
}

func (sm *simulation) startAttempt(jb *simJob, workers []int, unit int, unitWorkers []int) {
	jb.attempt++
	jb.started = sm.now
	if jb.firstStart.IsZero() {
		jb.firstStart = sm.now
	}
	sm.queue = slices.DeleteFunc(sm.queue, func(other *simJob) bool { return other == jb })
	sm.fleet.Add(place.Gang{
		Job: jb.Job, Workspace: jb.Workspace, Shape: jb.shape, Priority: jb.Priority, Unit: unit, UnitWorkers: unitWorkers,
		Preemptible: jb.preemptible, Lossless: jb.lossless, Started: sm.now, ExpectedEnd: sm.now.Add(jb.declared), Workers: workers,
	})
	sm.push(sm.now.Add(jb.remaining), jb)
}

// stop preempts a job and queues it again. Its work is lost unless it takes a
// checkpoint.
func (sm *simulation) stop(id string) {
	jb := sm.jobs[id]
	if jb.lossless {
		jb.remaining -= max(0, sm.now.Sub(jb.started)-checkpointTime)
	}
	jb.started = time.Time{}
	sm.fleet.Remove(id)
	sm.queue = append(sm.queue, jb)
}

func (sm *simulation) request(jb *simJob, aged bool) place.Request {
	share := func(string) int { return simRacks * 64 / (benchWorkspaces / 5) }
	return place.Request{
		Job: jb.Job, Workspace: jb.Workspace, Shape: jb.shape, Priority: jb.Priority, Preemptible: jb.preemptible, Aged: aged,
		ExpectedEnd: sm.now.Add(jb.declared), Share: share(""), ShareOf: share,
	}
}

// schedulerPolicy is the policy of the scheduler.
func schedulerPolicy(sm *simulation) {
	waiting := make([]place.QueuedJob, 0, len(sm.queue))
	for _, jb := range sm.queue {
		waiting = append(waiting, jb.QueuedJob)
	}
	qu := place.NewQueue(sm.now, sm.fleet, func(string) int { return 1 }, waiting)
	for qj, aged, ok := qu.Next(); ok; qj, aged, ok = qu.Next() {
		jb := sm.jobs[qj.Job]
		switch de := sm.fleet.Decide(sm.now, sm.request(jb, aged)).(type) {
		case place.Placed:
			sm.startAttempt(jb, de.Workers, de.Unit, de.UnitWorkers)
		case place.Preempt:
			for _, id := range de.Victims {
				sm.stop(id)
			}
			sm.startAttempt(jb, de.Workers, de.Unit, de.UnitWorkers)
			sm.fleet.ClearAgedReservations()
			schedulerPolicy(sm) // places the queued victims
			return
		case place.Waits:
			if aged {
				sm.fleet.ReserveForAged(sm.now, sm.request(jb, aged))
			}
		}
	}
	sm.fleet.ClearAgedReservations()
}

// firstFit is the baseline: strict first in, first out, each job on the first
// workers with enough free capacity.
func firstFit(sm *simulation) {
	for len(sm.queue) > 0 {
		jb := sm.queue[0]
		workers, ok := sm.firstFitting(jb.shape)
		if !ok {
			return
		}
		sm.startAttempt(jb, workers, place.NoUnit, nil)
	}
}

// firstFitting returns the first workers on which a shape fits, within one rack
// if its adjacency requires that.
func (sm *simulation) firstFitting(sh spec.Shape) ([]int, bool) {
	var out []int
	rack := ""
	for at := range simRacks * 8 {
		wo := sm.fleet.Worker(at)
		if sh.Adjacency == spec.SameRack && wo.Rack != rack {
			rack = wo.Rack
			out = nil
		}
		for range min(sm.fleet.FittingTasks(at, sh.Accelerators), sh.Tasks-len(out)) {
			out = append(out, at)
		}
		if len(out) == sh.Tasks {
			return out, true
		}
	}
	return nil, false
}

func (sm *simulation) result() simResult {
	var rs simResult
	for _, jb := range sm.jobs {
		if jb.ended.IsZero() {
			rs.unfinished++
			continue
		}
		hours := jb.ended.Sub(jb.Submitted).Hours()
		if jb.shape.Total() >= largeTotal {
			rs.large = append(rs.large, hours)
		} else {
			rs.small = append(rs.small, hours)
		}
		if jb.Priority == jobs.Urgent {
			rs.urgent = append(rs.urgent, jb.firstStart.Sub(jb.Submitted).Hours())
		}
	}
	rs.usableShare = 1
	if sm.free > 0 {
		rs.usableShare = float64(sm.usable) / float64(sm.free)
	}
	return rs
}

func mean(vs []float64) float64 {
	sum := 0.0
	for _, v := range vs {
		sum += v
	}
	return sum / float64(max(1, len(vs)))
}

func quantile(vs []float64, q float64) float64 {
	if len(vs) == 0 {
		return 0
	}
	vs = slices.Sorted(slices.Values(vs))
	return vs[int(q*float64(len(vs)-1))]
}

// TestSimulatedDay compares the scheduler's policy with first fit on the same
// workload of a day. It fails if a job starves, or if on average small jobs
// take longer than with first fit or large ones over 10 % longer. The results are
// logged.
func TestSimulatedDay(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(3) {
		full := newSimulation(simSeed+seed, schedulerPolicy).run()
		base := newSimulation(simSeed+seed, firstFit).run()
		for name, rs := range map[string]simResult{"full": full, "firstFit": base} {
			t.Logf("seed=%d policy=%s smallMean=%.2fh smallP95=%.2fh largeMean=%.2fh largeP95=%.2fh urgentWaitMean=%.3fh usable=%.3f unfinished=%d",
				simSeed+seed, name, mean(rs.small), quantile(rs.small, 0.95), mean(rs.large), quantile(rs.large, 0.95),
				mean(rs.urgent), rs.usableShare, rs.unfinished)
		}
		is.Equal(full.unfinished, 0)                      // no job starves
		is.True(mean(full.small) < mean(base.small))      // small jobs end sooner
		is.True(mean(full.large) < mean(base.large)*1.10) // at little cost to large ones
	}
}
