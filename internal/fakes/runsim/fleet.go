// Package runsim is a stand-in of workers that run single tasks under leases,
// as package runner describes them. It is a model without I/O and without a
// clock of its own, and it keeps a record of every rule that a scheduler has
// broken.
package runsim

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"slices"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/batch"
	"github.com/cicadawharf/cicadawharf/internal/runner"
)

type (
	// Config constructs a Fleet.
	Config struct {
		MaxHold     time.Duration // longest lease
		GangTimeout time.Duration // for which tasks of a gang wait for each other
		Saves       time.Duration // work between two checkpoints
		Plan        func(ti batch.TaskID) Plan
	}

	// Plan is what a task does.
	Plan struct {
		Work        time.Duration
		Fails       bool // each attempt fails when its work is over
		Gang        int  // tasks of its gang; zero for none
		Needs       batch.Resources
		MaxAttempts int
		After       []batch.TaskID // must have succeeded before
		Saves       bool
		Payload     string
		Lasting     bool
		Tickets     map[string]string // by worker; nil if a start needs none
		PerWorker   int               // most tasks of its step on one worker; zero for any number
	}

	// Fleet is a number of workers.
	Fleet struct {
		cfg      Config
		now      time.Time
		quiet    time.Time // nothing happens of itself before; zero if that is unknown
		workers  map[string]*worker
		former   map[string]bool       // IDs whose addresses other workers have now
		failures map[batch.TaskID]int  // that were acknowledged
		done     map[batch.TaskID]bool // successes that were acknowledged
		ended    map[batch.TaskID]bool // successes, acknowledged or not
		Loads    map[batch.TaskID]int  // slow responses of tasks that serve others, in milliseconds
		Broken   []string              // rules that were broken
		Refused  int                   // starts without a ticket
		Starts   int
	}

	worker struct {
		id       string
		capacity batch.Resources
		rate     float64 // of its clock
		fails    bool    // every attempt fails at once
		share    float64 // of the attempts that fail when half of their work is done
		stalled  bool    // nothing that runs makes progress
		deaf     bool    // stops are lost
		began    time.Time
		born     int64
		token    int64
		deadline time.Duration
		runs     map[batch.TaskID]*run
		over     map[batch.TaskID]int // highest attempt that was stopped or has ended
		list     []runner.End
		numbers  int64
		endedAt  []time.Time // of list
		lapsedAt time.Time   // when the last lease that was not renewed in time ended
	}

	run struct {
		worker  *worker
		task    batch.TaskID
		attempt int
		plan    Plan
		since   time.Time     // when it began to work; zero while it waits for its gang
		joined  time.Time     // when it was started
		saved   time.Duration // work of former attempts, and before a stall
	}
)

// NewFleet returns a fleet without workers.
func NewFleet(now time.Time, cf Config) *Fleet {
	return &Fleet{
		cfg: cf, now: now, workers: map[string]*worker{}, former: map[string]bool{}, failures: map[batch.TaskID]int{},
		done: map[batch.TaskID]bool{}, ended: map[batch.TaskID]bool{}, Loads: map[batch.TaskID]int{},
	}
}

// Add starts a worker. Its clock runs at a rate of true time. One that exists
// under the ID starts anew and has lost everything.
func (fl *Fleet) Add(now time.Time, id string, capacity batch.Resources, rate float64) int64 {
	fl.Remove(now, id)
	wo := &worker{
		id: id, capacity: capacity, rate: rate, began: now, born: now.UnixMilli(),
		runs: map[batch.TaskID]*run{}, over: map[batch.TaskID]int{},
	}
	fl.workers[id] = wo
	fl.quiet = time.Time{}
	return wo.born
}

// Remove ends a worker with all that it runs, which breaks the gangs that had
// tasks there.
func (fl *Fleet) Remove(now time.Time, id string) {
	fl.Advance(now)
	wo, ok := fl.workers[id]
	if !ok {
		return
	}
	for _, ru := range wo.sorted() {
		fl.end(ru, runner.GangBroken)
	}
	delete(fl.workers, id)
}

// Replace ends a worker and starts another one at its address. A call that
// means the former one is refused from then on.
func (fl *Fleet) Replace(now time.Time, former, id string, capacity batch.Resources, rate float64) int64 {
	fl.Remove(now, former)
	fl.former[former] = true
	return fl.Add(now, id, capacity, rate)
}

// Fail makes each attempt on a worker fail at once.
func (fl *Fleet) Fail(id string, fails bool) {
	fl.quiet = time.Time{}
	if wo, ok := fl.workers[id]; ok {
		wo.fails = fails
	}
}

// FailShare makes a share of the attempts on a worker fail when half of their work
// is done.
func (fl *Fleet) FailShare(id string, share float64) {
	fl.quiet = time.Time{}
	if wo, ok := fl.workers[id]; ok {
		wo.share = share
	}
}

// hits tells whether an attempt is within the share that fails. It is the same
// whenever it is asked.
func (wo *worker) hits(ru *run) bool {
	if wo.share == 0 {
		return false
	}
	sum := fnv.New32a()
	fmt.Fprint(sum, wo.id, ru.task, ru.attempt)
	return float64(sum.Sum32()%1000) < 1000*wo.share
}

// Deafen lets a worker lose every stop.
func (fl *Fleet) Deafen(id string) {
	if wo, ok := fl.workers[id]; ok {
		wo.deaf = true
	}
}

// Stall lets everything on a worker stand still, or go on.
func (fl *Fleet) Stall(now time.Time, id string, stalled bool) {
	fl.Advance(now)
	fl.quiet = time.Time{}
	wo, ok := fl.workers[id]
	if !ok || wo.stalled == stalled {
		return
	}
	for _, ru := range wo.runs {
		if stalled {
			ru.saved = ru.worked(now)
		}
		if !ru.since.IsZero() {
			ru.since = now
		}
	}
	wo.stalled = stalled
}

// Running counts the attempts of a job that run.
func (fl *Fleet) Running(job string) int {
	n := 0
	for _, wo := range fl.workers {
		for ti := range wo.runs {
			if ti.Job == job {
				n++
			}
		}
	}
	return n
}

// RunningOn counts the attempts that run on a worker.
func (fl *Fleet) RunningOn(id string) int {
	if wo, ok := fl.workers[id]; ok {
		return len(wo.runs)
	}
	return 0
}

// Beside counts the attempts on the worker that runs a task, that one included.
func (fl *Fleet) Beside(ti batch.TaskID) int {
	for _, wo := range fl.workers {
		if _, ok := wo.runs[ti]; ok {
			return len(wo.runs)
		}
	}
	return 0
}

// Done tells whether a task has succeeded.
func (fl *Fleet) Done(ti batch.TaskID) bool { return fl.ended[ti] }

// reach returns a worker for a call under a token.
func (fl *Fleet) reach(id string, token int64) (*worker, error) {
	wo, ok := fl.workers[id]
	switch {
	case !ok && fl.former[id]:
		return nil, runner.ErrRestarted
	case !ok:
		return nil, runner.ErrUnreachable
	}
	if token < wo.token {
		return nil, runner.ErrFenced
	}
	wo.token = token
	return wo, nil
}

// Start performs a start.
func (fl *Fleet) Start(now time.Time, id string, rq runner.StartRequest) error {
	fl.Advance(now)
	wo, err := fl.reach(id, rq.Token)
	if err != nil {
		return err
	}
	wo.hold(now, rq.Deadline, fl.cfg.MaxHold)
	if ru, ok := wo.runs[rq.Task]; ok && ru.attempt == rq.Attempt {
		return nil
	}
	if rq.Attempt <= wo.over[rq.Task] {
		return runner.ErrStaleAttempt
	}
	if rq.Deadline <= wo.clock(now) {
		return runner.ErrDeadlinePassed
	}
	if pl := fl.cfg.Plan(rq.Task); pl.Tickets != nil && (rq.Ticket == "" || rq.Ticket != pl.Tickets[id]) {
		fl.Refused++
		return runner.ErrRefused
	}
	fl.begin(now, wo, rq)
	return nil
}

func (fl *Fleet) begin(now time.Time, wo *worker, rq runner.StartRequest) {
	fl.quiet = time.Time{}
	pl := fl.cfg.Plan(rq.Task)
	fl.check(wo, rq, pl)
	fl.Starts++
	ru := &run{worker: wo, task: rq.Task, attempt: rq.Attempt, plan: pl, joined: now}
	if rq.Checkpoint != "" {
		if _, err := fmt.Sscanf(rq.Checkpoint, rq.Task.Job+"/%d", &ru.saved); err != nil {
			fl.broke("%s attempt %d carries the foreign checkpoint %q", rq.Task, rq.Attempt, rq.Checkpoint)
		}
	}
	wo.runs[rq.Task] = ru
	if mates := fl.mates(ru); len(mates) == max(1, pl.Gang) {
		for _, mate := range mates {
			mate.since = now
		}
	}
}

// check notes the rules that a start breaks.
func (fl *Fleet) check(wo *worker, rq runner.StartRequest, pl Plan) {
	for _, other := range fl.workers {
		if ru, ok := other.runs[rq.Task]; ok {
			fl.broke("%s runs twice: attempt %d on %s, attempt %d on %s", rq.Task, ru.attempt, other.id, rq.Attempt, wo.id)
		}
	}
	if fl.done[rq.Task] {
		fl.broke("%s attempt %d starts after it had succeeded", rq.Task, rq.Attempt)
	}
	if pl.MaxAttempts > 0 && fl.failures[rq.Task] >= pl.MaxAttempts {
		fl.broke("%s attempt %d starts after %d failures", rq.Task, rq.Attempt, fl.failures[rq.Task])
	}
	if rq.Payload != pl.Payload {
		fl.broke("%s starts with the payload %q", rq.Task, rq.Payload)
	}
	for _, before := range pl.After {
		if !fl.ended[before] {
			fl.broke("%s starts before %s has succeeded", rq.Task, before)
		}
	}
	used, beside := pl.Needs, 0
	for ti, ru := range wo.runs {
		used = used.Plus(ru.plan.Needs)
		if ti.Job == rq.Task.Job && ti.Occurrence == rq.Task.Occurrence && ti.Step == rq.Task.Step {
			beside++
		}
	}
	if pl.PerWorker > 0 && beside >= pl.PerWorker {
		fl.broke("%s attempt %d starts on %s beside %d tasks of its step", rq.Task, rq.Attempt, wo.id, beside)
	}
	if !wo.capacity.Holds(used) {
		fl.broke("%s attempt %d brings %s over its capacity: %v", rq.Task, rq.Attempt, wo.id, used)
	}
}

func (fl *Fleet) broke(format string, args ...any) {
	fl.Broken = append(fl.Broken, fmt.Sprintf("%v: ", fl.now.Format("05.000"))+fmt.Sprintf(format, args...))
}

// mates returns the runs of a gang's attempt, or the run alone.
func (fl *Fleet) mates(ru *run) []*run {
	if ru.plan.Gang == 0 {
		return []*run{ru}
	}
	var out []*run
	for _, wo := range fl.workers {
		for ti, other := range wo.runs {
			if ti.Job == ru.task.Job && ti.Occurrence == ru.task.Occurrence && ti.Step == ru.task.Step && other.attempt == ru.attempt {
				out = append(out, other)
			}
		}
	}
	return out
}

// Stop performs a stop.
func (fl *Fleet) Stop(now time.Time, id string, rq runner.StopRequest) error {
	fl.Advance(now)
	wo, err := fl.reach(id, rq.Token)
	if err != nil {
		return err
	}
	if wo.deaf {
		return runner.ErrOutcomeUnknown
	}
	if ru, ok := wo.runs[rq.Task]; ok && ru.attempt <= rq.Attempt {
		fl.end(ru, runner.Stopped)
	}
	wo.over[rq.Task] = max(wo.over[rq.Task], rq.Attempt)
	return nil
}

// Poll performs a poll, without its wait.
func (fl *Fleet) Poll(now time.Time, id string, rq runner.PollRequest) (runner.Status, error) {
	fl.Advance(now)
	wo, err := fl.reach(id, rq.Token)
	if err != nil {
		return runner.Status{}, err
	}
	wo.hold(now, rq.Deadline, fl.cfg.MaxHold)
	fl.acknowledge(wo, rq.Acked)
	st := runner.Status{Clock: wo.clock(now), Born: wo.born, Ended: slices.Clone(wo.list)}
	for _, ru := range wo.sorted() {
		percent := 0
		if ru.plan.Lasting {
			percent = 100
		} else if work := ru.worked(now); work > 0 {
			percent = min(100, int(100*work/ru.plan.Work))
		}
		st.Running = append(st.Running, runner.Run{Task: ru.task, Attempt: ru.attempt, Checkpoint: ru.checkpoint(now, fl.cfg.Saves, false), Percent: percent, Load: fl.Loads[ru.task]})
	}
	return st, nil
}

func (fl *Fleet) acknowledge(wo *worker, seen int64) {
	for len(wo.list) > 0 && wo.list[0].Number <= seen {
		en, at := wo.list[0], wo.endedAt[0]
		wo.list, wo.endedAt = wo.list[1:], wo.endedAt[1:]
		switch {
		case !wo.lapsedAt.Before(at):
			// Whoever acknowledges it has lost touch in between, and may have
			// begun the task anew.
		case en.Reason == runner.Succeeded:
			fl.done[en.Task] = true
		case en.Reason == runner.Failed:
			fl.failures[en.Task]++
		}
	}
}

// Advance lets everything happen that is due by a time.
func (fl *Fleet) Advance(now time.Time) {
	for {
		if now.Before(fl.quiet) {
			fl.now = now
			return
		}
		at, do := fl.next()
		if do == nil {
			at = now.Add(time.Hour)
		}
		if at.After(now) {
			fl.quiet = at
			continue
		}
		fl.quiet = time.Time{}
		fl.now = at
		do()
	}
}

// next returns what happens next of itself, and when.
func (fl *Fleet) next() (time.Time, func()) {
	var first time.Time
	var what func()
	offer := func(at time.Time, do func()) {
		if what == nil || at.Before(first) {
			first, what = at, do
		}
	}
	for _, id := range fl.ids() {
		wo := fl.workers[id]
		for _, ru := range wo.sorted() {
			offer(wo.leaseEnd(), func() { fl.lapse(wo) })
			switch {
			case wo.stalled && !ru.since.IsZero():
			case ru.since.IsZero():
				offer(ru.joined.Add(fl.cfg.GangTimeout), func() { fl.end(ru, runner.GangTimeout) })
			case wo.fails:
				offer(ru.since.Add(10*time.Millisecond), func() { fl.end(ru, runner.Failed) })
			case wo.hits(ru):
				offer(ru.since.Add(ru.plan.Work/2-ru.saved), func() { fl.end(ru, runner.Failed) })
			case ru.plan.Fails:
				offer(ru.since.Add(ru.plan.Work-ru.saved), func() { fl.end(ru, runner.Failed) })
			default:
				if at, ok := fl.allDone(ru); ok {
					offer(at, func() { fl.end(ru, runner.Succeeded) })
				}
			}
		}
	}
	return first, what
}

// allDone returns when the work of a run is over, and that of its gang: a task
// that has less to do than the others stands at 100 percent until then. It is
// false while one of them stands still.
func (fl *Fleet) allDone(ru *run) (time.Time, bool) {
	var latest time.Time
	for _, mate := range fl.mates(ru) {
		if mate.since.IsZero() || mate.worker.stalled {
			return latest, false
		}
		if at := mate.since.Add(mate.plan.Work - mate.saved); at.After(latest) {
			latest = at
		}
	}
	return latest, true
}

func (fl *Fleet) ids() []string {
	ids := make([]string, 0, len(fl.workers))
	for id := range fl.workers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (fl *Fleet) lapse(wo *worker) {
	for _, ru := range wo.sorted() {
		fl.end(ru, runner.LeaseExpired)
	}
}

// end ends a run, and with it the rest of its gang.
func (fl *Fleet) end(ru *run, reason runner.EndReason) {
	mates := fl.mates(ru)
	fl.endOne(ru, reason)
	if ru.plan.Gang == 0 || ru.since.IsZero() {
		return
	}
	for _, mate := range mates {
		if mate == ru {
			continue
		}
		if reason == runner.Succeeded {
			fl.endOne(mate, runner.Succeeded)
			continue
		}
		fl.endOne(mate, runner.GangBroken)
	}
}

func (fl *Fleet) endOne(ru *run, reason runner.EndReason) {
	fl.quiet = time.Time{}
	wo := ru.worker
	if wo.runs[ru.task] != ru {
		return
	}
	delete(wo.runs, ru.task)
	wo.over[ru.task] = max(wo.over[ru.task], ru.attempt)
	if reason == runner.Succeeded {
		fl.ended[ru.task] = true
	}
	wo.numbers++
	wo.endedAt = append(wo.endedAt, fl.now)
	wo.list = append(wo.list, runner.End{
		Number: wo.numbers, Task: ru.task, Attempt: ru.attempt, Reason: reason,
		Checkpoint: ru.checkpoint(fl.now, fl.cfg.Saves, reason == runner.Stopped),
	})
}

func (wo *worker) clock(now time.Time) time.Duration {
	return time.Duration(float64(now.Sub(wo.began)) * wo.rate)
}

// leaseEnd returns when the leases end in true time.
func (wo *worker) leaseEnd() time.Time {
	return wo.began.Add(time.Duration(float64(wo.deadline) / wo.rate))
}

func (wo *worker) hold(now time.Time, deadline, most time.Duration) {
	if wo.deadline > 0 && now.After(wo.leaseEnd()) {
		wo.lapsedAt = wo.leaseEnd()
	}
	wo.deadline = max(wo.deadline, min(deadline, wo.clock(now)+most))
}

func (wo *worker) sorted() []*run {
	rus := make([]*run, 0, len(wo.runs))
	for _, ru := range wo.runs {
		rus = append(rus, ru)
	}
	slices.SortFunc(rus, func(a, b *run) int {
		return cmp.Or(a.task.Compare(b.task), cmp.Compare(a.attempt, b.attempt))
	})
	return rus
}

func (ru *run) worked(now time.Time) time.Duration {
	if ru.since.IsZero() || ru.worker.stalled {
		return ru.saved
	}
	return ru.saved + now.Sub(ru.since)
}

// checkpoint returns the newest checkpoint, which names its job.
func (ru *run) checkpoint(now time.Time, every time.Duration, stopped bool) string {
	if !ru.plan.Saves {
		return ""
	}
	work := ru.worked(now)
	if !stopped {
		work = work.Truncate(every)
	}
	if work == 0 {
		return ""
	}
	return fmt.Sprintf("%s/%d", ru.task.Job, work)
}
