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
	// dayJob is one job of the synthetic day.
	dayJob struct {
		place.Waiting
		shape    spec.Shape
		run      time.Duration
		declared time.Duration
		movable  bool
		lossless bool          // keeps its work when stopped
		left     time.Duration // still to run
		begun    time.Time     // of the present attempt
		first    time.Time     // of the first one
		ended    time.Time
		attempt  int
	}

	// dayEvent is a submission (attempt zero) or the end of an attempt.
	dayEvent struct {
		at      time.Time
		job     *dayJob
		attempt int
	}

	// day drives decisions by a list of events on one availability zone.
	day struct {
		policy  func(dy *day)
		now     time.Time
		fleet   *place.Fleet
		events  []dayEvent
		jobs    map[string]*dayJob
		queue   []*dayJob
		usable  time.Duration // free accelerators that the largest waiting gang could use, over time
		free    time.Duration // free accelerators while a gang waits
		sampled time.Time
	}

	// dayResult is what is measured of a day.
	dayResult struct {
		small, large, urgent []float64
		fragmentation        float64
		unfinished           int
	}
)

const (
	daySeed      = 11
	dayJobs      = 1600 / 5
	dayRacks     = 12 // of eight workers: the fifth part of 470
	largeTotal   = 32 // accelerators from which a gang counts as large
	checkpointed = 2 * time.Second
)

// newDay draws the jobs of one zone: most run for hours, gangs go to 32 tasks,
// declared run times are off by up to ten times either way.
func newDay(seed uint64, policy func(*day)) *day {
	rnd := rand.New(rand.NewPCG(seed, 0))
	dy := &day{policy: policy, jobs: map[string]*dayJob{}, now: start, sampled: start}
	var units []place.Unit
	for i := range benchWorkspaces / 5 {
		units = append(units, place.Unit{
			Workspace: fmt.Sprintf("w%d", i),
			Shape:     []spec.Shape{shape(4, 1, spec.SameRack), shape(2, 4, spec.SameRack), shape(2, 8, spec.SameRack), shape(4, 2, spec.SameZone)}[i%4],
		})
	}
	dy.fleet = place.NewFleet(racks(dayRacks), units)
	for i := range dayJobs {
		at := start.Add(time.Duration(rnd.Int64N(int64(24 * time.Hour))))
		jb := randomDayJob(rnd, i, at)
		dy.jobs[jb.Job] = jb
		dy.push(at, jb)
	}
	return dy
}

func randomDayJob(rnd *rand.Rand, i int, at time.Time) *dayJob {
	tasks := []int{1, 1, 2, 4, 4, 8, 16, 32}[rnd.IntN(8)]
	accelerators := []int{0, 1, 1, 2, 4, 8}[rnd.IntN(6)]
	if tasks == 32 && accelerators > 4 {
		accelerators = 4
	}
	run := time.Duration((0.2 + rnd.ExpFloat64()*2.2) * float64(time.Hour))
	jb := &dayJob{
		Waiting: place.Waiting{
			Job: fmt.Sprintf("j%03d", i), Workspace: fmt.Sprintf("w%d", rnd.IntN(benchWorkspaces/5)), Submitted: at,
			Priority: []jobs.Priority{jobs.Low, jobs.Normal, jobs.Normal, jobs.Normal, jobs.Urgent}[rnd.IntN(5)],
		},
		shape: shape(tasks, accelerators, spec.SameZone), run: run, left: run, movable: rnd.IntN(10) > 0, lossless: rnd.IntN(2) == 0,
		declared: time.Duration(float64(run) * []float64{0.1, 0.5, 1, 2, 10}[rnd.IntN(5)]),
	}
	if tasks*accelerators <= 32 && rnd.IntN(2) == 0 {
		jb.shape.Adjacency = spec.SameRack
	}
	return jb
}

func (dy *day) push(at time.Time, jb *dayJob) {
	ev := dayEvent{at, jb, jb.attempt}
	i, _ := slices.BinarySearchFunc(dy.events, ev, func(a, b dayEvent) int { return a.at.Compare(b.at) })
	dy.events = slices.Insert(dy.events, i, ev)
}

// run takes events until all jobs have ended or two days are over.
func (dy *day) run() dayResult {
	end := start.Add(48 * time.Hour)
	for len(dy.events) > 0 && dy.events[0].at.Before(end) {
		ev := dy.events[0]
		dy.events = dy.events[1:]
		dy.sample(ev.at)
		dy.now = ev.at
		switch {
		case ev.attempt == 0:
			dy.queue = append(dy.queue, ev.job)
		case ev.attempt == ev.job.attempt && !ev.job.begun.IsZero():
			ev.job.ended = dy.now
			ev.job.begun = time.Time{}
			dy.fleet.Remove(ev.job.Job)
		default:
			continue
		}
		dy.policy(dy)
	}
	return dy.result()
}

// sample adds up how much of what is free the largest waiting gang could use.
func (dy *day) sample(now time.Time) {
	span := now.Sub(dy.sampled)
	dy.sampled = now
	if len(dy.queue) == 0 {
		return
	}
	largest := slices.MaxFunc(dy.queue, func(a, b *dayJob) int { return cmp.Compare(a.shape.Total(), b.shape.Total()) })
	probe := largest.shape
	probe.Tasks = 1 // a task of it at a time, as the gang itself does not fit
	dy.usable += span * time.Duration(dy.fleet.UsableBy(probe))
	dy.free += span * time.Duration(dy.fleet.Free())
}

func (dy *day) begin(jb *dayJob, workers []int, unit int, ground []int) {
	jb.attempt++
	jb.begun = dy.now
	if jb.first.IsZero() {
		jb.first = dy.now
	}
	dy.queue = slices.DeleteFunc(dy.queue, func(other *dayJob) bool { return other == jb })
	dy.fleet.Add(place.Gang{
		Job: jb.Job, Workspace: jb.Workspace, Shape: jb.shape, Priority: jb.Priority, Unit: unit, Ground: ground,
		Movable: jb.movable, Lossless: jb.lossless, Started: dy.now, Ends: dy.now.Add(jb.declared), Workers: workers,
	})
	dy.push(dy.now.Add(jb.left), jb)
}

// stop takes a victim off its ground. What it has run is lost unless it takes
// a checkpoint.
func (dy *day) stop(id string) {
	jb := dy.jobs[id]
	if jb.lossless {
		jb.left -= max(0, dy.now.Sub(jb.begun)-checkpointed)
	}
	jb.begun = time.Time{}
	dy.fleet.Remove(id)
	dy.queue = append(dy.queue, jb)
}

func (dy *day) request(jb *dayJob, aged bool) place.Request {
	share := func(string) int { return dayRacks * 64 / (benchWorkspaces / 5) }
	return place.Request{
		Job: jb.Job, Workspace: jb.Workspace, Shape: jb.shape, Priority: jb.Priority, Movable: jb.movable, Aged: aged,
		Ends: dy.now.Add(jb.declared), Share: share(""), Shares: share,
	}
}

// fullPolicy is the one that the scheduler runs.
func fullPolicy(dy *day) {
	waiting := make([]place.Waiting, 0, len(dy.queue))
	for _, jb := range dy.queue {
		waiting = append(waiting, jb.Waiting)
	}
	qu := place.NewQueue(dy.now, dy.fleet, func(string) int { return 1 }, waiting)
	for wa, aged, ok := qu.Next(); ok; wa, aged, ok = qu.Next() {
		jb := dy.jobs[wa.Job]
		switch de := dy.fleet.Decide(dy.now, dy.request(jb, aged)).(type) {
		case place.Placed:
			dy.begin(jb, de.Workers, de.Unit, de.Ground)
		case place.Reclaim:
			for _, id := range de.Victims {
				dy.stop(id)
			}
			dy.begin(jb, de.Workers, de.Unit, de.Ground)
			dy.fleet.ClearReserved()
			fullPolicy(dy) // the victims are queued again
			return
		case place.Waits:
			if aged {
				dy.fleet.Reserve(dy.now, dy.request(jb, aged))
			}
		}
	}
	dy.fleet.ClearReserved()
}

// firstFit is the baseline: jobs in the order of arrival, each on the first
// workers with room, none before its predecessor.
func firstFit(dy *day) {
	for len(dy.queue) > 0 {
		jb := dy.queue[0]
		workers, ok := dy.firstRoom(jb.shape)
		if !ok {
			return
		}
		dy.begin(jb, workers, place.NoUnit, nil)
	}
}

// firstRoom takes workers in their order, within one rack if it must.
func (dy *day) firstRoom(sh spec.Shape) ([]int, bool) {
	var out []int
	rack := ""
	for at := range dayRacks * 8 {
		wo := dy.fleet.Worker(at)
		if sh.Adjacency == spec.SameRack && wo.Rack != rack {
			rack = wo.Rack
			out = nil
		}
		for range min(dy.fleet.Fitting(at, sh.Accelerators), sh.Tasks-len(out)) {
			out = append(out, at)
		}
		if len(out) == sh.Tasks {
			return out, true
		}
	}
	return nil, false
}

func (dy *day) result() dayResult {
	var rs dayResult
	for _, jb := range dy.jobs {
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
			rs.urgent = append(rs.urgent, jb.first.Sub(jb.Submitted).Hours())
		}
	}
	rs.fragmentation = 1
	if dy.free > 0 {
		rs.fragmentation = float64(dy.usable) / float64(dy.free)
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

// TestDay compares the policy with first fit on days of the same jobs. Its
// figures are printed with -v.
func TestDay(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(3) {
		full := newDay(daySeed+seed, fullPolicy).run()
		base := newDay(daySeed+seed, firstFit).run()
		for name, rs := range map[string]dayResult{"full": full, "firstFit": base} {
			t.Logf("seed=%d policy=%s smallMean=%.2fh smallP95=%.2fh largeMean=%.2fh largeP95=%.2fh urgentWaitMean=%.3fh usable=%.3f unfinished=%d",
				daySeed+seed, name, mean(rs.small), quantile(rs.small, 0.95), mean(rs.large), quantile(rs.large, 0.95),
				mean(rs.urgent), rs.fragmentation, rs.unfinished)
		}
		is.Equal(full.unfinished, 0)                      // nothing starves
		is.True(mean(full.small) < mean(base.small))      // small jobs gain
		is.True(mean(full.large) < mean(base.large)*1.10) // large ones do not pay for it
	}
}
