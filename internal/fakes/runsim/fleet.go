// Package runsim simulates workers that run single tasks under leases, as
// package runner describes them. It is a model without I/O and without its own
// clock, and it records every violation of the protocol by a scheduler.
package runsim

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/batch"
	"github.com/cicadawharf/cicadawharf/internal/runner"
)

type (
	// Config configures a Fleet.
	Config struct {
		MaxLease           time.Duration // longest lease
		GangTimeout        time.Duration // how long the tasks of a gang wait for the rest of it
		CheckpointInterval time.Duration // work between two checkpoints
		EndPageSize        int           // largest number of ends in the reply to a poll; zero for no limit
		Plan               func(ti batch.TaskID) Plan
		Crashed            func(worker string) // called when a task has crashed its worker; may be nil
		Acknowledged       func(en runner.End) // called when an end is acknowledged whose worker's leases have not expired since; may be nil
	}

	// Plan describes what a task does and which rules its starts must obey.
	Plan struct {
		Work        time.Duration   // run time from the beginning, without a checkpoint
		Fails       bool            // each attempt fails when its work is done
		Crashes     bool            // each attempt crashes its worker, crashDelay after its start unless CrashAges says otherwise
		CrashAges   []time.Duration // the ages of the attempts at these crashes, in turn
		CrashesMany bool            // it may crash any number of workers, as they crash for other reasons, too
		Gang        int             // number of tasks in its gang; zero for none
		Needs       batch.Resources
		MaxAttempts int
		After       []batch.TaskID    // tasks that must succeed before it starts
		Checkpoints bool              // the task reports checkpoints
		Payload     string            // that a start must carry
		LongRunning bool              // the task's progress is always 100 percent
		Tickets     map[string]string // by worker ID; nil if a start needs none
		PerWorker   int               // maximum number of tasks of its step on one worker; zero for no limit
	}

	// Fleet is a set of simulated workers. It is not safe for concurrent use.
	Fleet struct {
		cfg            Config
		now            time.Time
		idleUntil      time.Time // no time-driven event is due before this time; zero if unknown
		workers        map[string]*worker
		ids            []string              // of the workers, sorted; nil if outdated
		gangs          map[gangKey][]*run    // runs of gangs
		replaced       map[string]bool       // IDs of workers whose addresses others have taken over
		ackedFailures  map[batch.TaskID]int  // acknowledged failures
		ackedSuccesses map[batch.TaskID]bool // acknowledged successes
		succeeded      map[batch.TaskID]bool // all successes, acknowledged or not
		failures       map[batch.TaskID]int  // all failures, acknowledged or not
		crashes        map[batch.TaskID]int  // workers that have crashed under a task
		startsPastMax  map[batch.TaskID]int  // starts of tasks that crash their workers, after maxCrashes crashes
		LatencyMillis  map[batch.TaskID]int  // latency of slow responses that workers report for long-running tasks
		Violations     []string              // descriptions of the scheduler's violations of the protocol
		RefusedStarts  int                   // starts refused for lack of a valid ticket
		Starts         int                   // attempts started
	}

	worker struct {
		id           string
		capacity     batch.Resources
		former       []formerCapacity // in the order of the changes
		rate         float64          // of its clock, relative to true time
		failAll      bool             // every attempt fails 10 ms after it began to work
		failShare    float64          // share of the attempts that fail when half of their work is done
		stalled      bool             // running tasks make no progress
		losesStops   bool             // stop calls are lost
		started      time.Time
		born         int64         // start time in Unix milliseconds
		token        int64         // largest fencing token seen
		deadline     time.Duration // when its leases expire, on its clock
		runs         map[batch.TaskID]*run
		sorted       []*run               // the same by task and attempt; nil if outdated
		lastAttempts map[batch.TaskID]int // highest attempt that has been stopped or has ended
		ends         []runner.End         // not yet acknowledged, in order
		lastNumber   int64                // of an end
		endedAt      []time.Time          // times of ends
		expiredAt    time.Time            // when the last lease that wasn't renewed in time expired
	}

	// formerCapacity is a capacity on which a start may still rely for some time.
	formerCapacity struct {
		capacity batch.Resources
		until    time.Time
	}

	// gangKey identifies an attempt of a gang.
	gangKey struct {
		job                       string
		occurrence, step, attempt int
	}

	// run is an attempt on a worker, running or waiting for its gang.
	run struct {
		worker       *worker
		task         batch.TaskID
		attempt      int
		plan         Plan
		runningSince time.Time     // when it began to work; zero while it waits for its gang
		startedAt    time.Time     // when the start call arrived
		priorWork    time.Duration // work done in earlier attempts, and in this one before a stall
		hash         uint32        // decides whether it belongs to a share of attempts that fails
	}
)

const (
	crashDelay = 10 * time.Millisecond
	// maxCrashes is the number of workers that may crash under a task that
	// crashes each of them. Fewer than maxStartsPastMax starts may follow, by a
	// scheduler that has not noticed the last crashes yet.
	maxCrashes       = 3
	maxStartsPastMax = 3
	// minCrashesToGiveUp is the number of crashed workers from which a task may
	// be given up.
	minCrashesToGiveUp = 2
	// resizeGrace is the time within which a scheduler has to follow a change of
	// a worker's capacity.
	resizeGrace = 5 * time.Second
)

// NewFleet returns a fleet without workers.
func NewFleet(now time.Time, cf Config) *Fleet {
	return &Fleet{
		cfg: cf, now: now, workers: map[string]*worker{}, gangs: map[gangKey][]*run{}, replaced: map[string]bool{}, ackedFailures: map[batch.TaskID]int{},
		ackedSuccesses: map[batch.TaskID]bool{}, succeeded: map[batch.TaskID]bool{},
		failures: map[batch.TaskID]int{}, crashes: map[batch.TaskID]int{}, startsPastMax: map[batch.TaskID]int{}, LatencyMillis: map[batch.TaskID]int{},
	}
}

// Add starts a worker whose clock runs at the given rate of true time, and
// returns its start time in Unix milliseconds. An existing worker with the ID
// restarts and loses its state.
func (fl *Fleet) Add(now time.Time, id string, capacity batch.Resources, rate float64) int64 {
	fl.Remove(now, id)
	wo := &worker{
		id: id, capacity: capacity, rate: rate, started: now, born: now.UnixMilli(),
		runs: map[batch.TaskID]*run{}, lastAttempts: map[batch.TaskID]int{},
	}
	fl.workers[id] = wo
	fl.ids = nil
	fl.idleUntil = time.Time{}
	return wo.born
}

// Remove ends a worker and all attempts on it, as a crash does. Gangs with tasks
// on it are ended as broken.
func (fl *Fleet) Remove(now time.Time, id string) {
	fl.Advance(now)
	if wo, ok := fl.workers[id]; ok {
		fl.countCrash(wo)
		fl.remove(wo)
	}
}

// ShutDown is Remove for a worker that has been announced to go away, which is
// no crash.
func (fl *Fleet) ShutDown(now time.Time, id string) {
	fl.Advance(now)
	if wo, ok := fl.workers[id]; ok {
		fl.remove(wo)
	}
}

// countCrash counts a crash under each task of a worker.
func (fl *Fleet) countCrash(wo *worker) {
	for ti := range wo.runs {
		fl.crashes[ti]++
	}
}

// Resize changes the capacity of a worker. A start may rely on the former capacity
// for resizeGrace.
func (fl *Fleet) Resize(now time.Time, id string, capacity batch.Resources) {
	if wo, ok := fl.workers[id]; ok {
		wo.former = append(wo.former, formerCapacity{wo.capacity, now.Add(resizeGrace)})
		wo.capacity = capacity
	}
}

// allows reports whether a worker may run tasks that need the given amount.
func (wo *worker) allows(now time.Time, used batch.Resources) bool {
	return wo.capacity.Covers(used) || slices.ContainsFunc(wo.former, func(fc formerCapacity) bool {
		return now.Before(fc.until) && fc.capacity.Covers(used)
	})
}

func (fl *Fleet) remove(wo *worker) {
	for _, ru := range wo.sortedRuns() {
		fl.endRun(ru, runner.GangBroken)
	}
	delete(fl.workers, wo.id)
	fl.ids = nil
}

// crash removes a worker that one of its tasks has crashed.
func (fl *Fleet) crash(wo *worker) {
	fl.countCrash(wo)
	fl.remove(wo)
	fl.idleUntil = time.Time{}
	if fl.cfg.Crashed != nil {
		fl.cfg.Crashed(wo.id)
	}
}

// MayBeGivenUp reports whether a task has failed as often as it may, or has had
// enough workers crash under it.
func (fl *Fleet) MayBeGivenUp(ti batch.TaskID, maxAttempts int) bool {
	return fl.failures[ti] >= maxAttempts || fl.crashes[ti] >= minCrashesToGiveUp
}

// Replace ends a worker and starts another one at its address, whose start time
// it returns as Add does. Calls for the former one fail with ErrRestarted from
// then on.
func (fl *Fleet) Replace(now time.Time, former, id string, capacity batch.Resources, rate float64) int64 {
	fl.Remove(now, former)
	fl.replaced[former] = true
	return fl.Add(now, id, capacity, rate)
}

// Fail sets whether every attempt on a worker fails 10 ms after it began to work.
func (fl *Fleet) Fail(id string, fails bool) {
	fl.idleUntil = time.Time{}
	if wo, ok := fl.workers[id]; ok {
		wo.failAll = fails
	}
}

// FailShare makes a share of the attempts on a worker fail when half of their
// work is done.
func (fl *Fleet) FailShare(id string, share float64) {
	fl.idleUntil = time.Time{}
	if wo, ok := fl.workers[id]; ok {
		wo.failShare = share
	}
}

// failsEarly reports whether an attempt belongs to the share that fails. The
// result is deterministic.
func (wo *worker) failsEarly(ru *run) bool {
	return float64(ru.hash%1000) < 1000*wo.failShare
}

// hashRun returns a hash of an attempt on a worker.
func hashRun(wo *worker, rq runner.StartRequest) uint32 {
	sum := fnv.New32a()
	fmt.Fprint(sum, wo.id, rq.Task, rq.Attempt)
	return sum.Sum32()
}

// LoseStops makes a worker lose every stop call: the call has no effect and fails
// with ErrOutcomeUnknown.
func (fl *Fleet) LoseStops(id string) { fl.setLosesStops(id, true) }

// KeepStops ends the effect of LoseStops.
func (fl *Fleet) KeepStops(id string) { fl.setLosesStops(id, false) }

func (fl *Fleet) setLosesStops(id string, loses bool) {
	if wo, ok := fl.workers[id]; ok {
		wo.losesStops = loses
	}
}

// Stall sets whether the attempts on a worker make no progress.
func (fl *Fleet) Stall(now time.Time, id string, stalled bool) {
	fl.Advance(now)
	fl.idleUntil = time.Time{}
	wo, ok := fl.workers[id]
	if !ok || wo.stalled == stalled {
		return
	}
	for _, ru := range wo.runs {
		if stalled {
			ru.priorWork = ru.workDone(now)
		}
		if !ru.runningSince.IsZero() {
			ru.runningSince = now
		}
	}
	wo.stalled = stalled
}

// Running returns the number of attempts of a job that run or wait for their
// gang.
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

// RunningOn returns the number of attempts on a worker that run or wait for their
// gang.
func (fl *Fleet) RunningOn(id string) int {
	if wo, ok := fl.workers[id]; ok {
		return len(wo.runs)
	}
	return 0
}

// Born returns the start time of a worker in Unix milliseconds, or zero if it is
// not up.
func (fl *Fleet) Born(id string) int64 {
	if wo, ok := fl.workers[id]; ok {
		return wo.born
	}
	return 0
}

// Clock returns the reading of a worker's clock, or zero if it is not up.
func (fl *Fleet) Clock(now time.Time, id string) time.Duration {
	if wo, ok := fl.workers[id]; ok {
		return wo.clock(now)
	}
	return 0
}

// IsUp reports whether there is a worker with the given ID.
func (fl *Fleet) IsUp(id string) bool { return fl.workers[id] != nil }

// IsSound reports whether a worker is up and neither makes its attempts fail or
// stall nor loses stops.
func (fl *Fleet) IsSound(id string) bool {
	wo, ok := fl.workers[id]
	return ok && !wo.failAll && wo.failShare == 0 && !wo.stalled && !wo.losesStops
}

// TasksOn returns the tasks whose attempts run on a worker or wait there for their
// gang, sorted.
func (fl *Fleet) TasksOn(id string) []batch.TaskID {
	wo, ok := fl.workers[id]
	if !ok {
		return nil
	}
	tasks := make([]batch.TaskID, 0, len(wo.runs))
	for _, ru := range wo.sortedRuns() {
		tasks = append(tasks, ru.task)
	}
	return tasks
}

// Runs reports whether a worker runs an attempt of a job.
func (fl *Fleet) Runs(id, job string) bool {
	if wo, ok := fl.workers[id]; ok {
		for ti := range wo.runs {
			if ti.Job == job {
				return true
			}
		}
	}
	return false
}

// AttemptsOnWorkerOf returns the number of attempts on the worker that runs a task,
// with that task's own included, or zero if no worker runs it.
func (fl *Fleet) AttemptsOnWorkerOf(ti batch.TaskID) int {
	for _, wo := range fl.workers {
		if _, ok := wo.runs[ti]; ok {
			return len(wo.runs)
		}
	}
	return 0
}

// Succeeded reports whether a task has succeeded.
func (fl *Fleet) Succeeded(ti batch.TaskID) bool { return fl.succeeded[ti] }

// workerFor returns the worker that a call addresses and records the call's
// fencing token. The error is ErrRestarted, ErrUnreachable or ErrFenced.
func (fl *Fleet) workerFor(id string, token int64) (*worker, error) {
	wo, ok := fl.workers[id]
	switch {
	case !ok && fl.replaced[id]:
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

// Start performs a start call. Its error is one of package runner.
func (fl *Fleet) Start(now time.Time, id string, rq runner.StartRequest) error {
	fl.Advance(now)
	wo, err := fl.workerFor(id, rq.Token)
	if err != nil {
		return err
	}
	wo.extendLease(now, rq.Deadline, fl.cfg.MaxLease)
	if ru, ok := wo.runs[rq.Task]; ok && ru.attempt == rq.Attempt {
		return nil
	}
	if rq.Attempt <= wo.lastAttempts[rq.Task] {
		return runner.ErrStaleAttempt
	}
	if rq.Deadline <= wo.clock(now) {
		return runner.ErrDeadlinePassed
	}
	if pl := fl.cfg.Plan(rq.Task); pl.Tickets != nil && (rq.Ticket == "" || rq.Ticket != pl.Tickets[id]) {
		fl.RefusedStarts++
		return runner.ErrRefused
	}
	fl.startRun(now, wo, rq)
	return nil
}

func (fl *Fleet) startRun(now time.Time, wo *worker, rq runner.StartRequest) {
	pl := fl.cfg.Plan(rq.Task)
	fl.checkStart(wo, rq, pl)
	fl.Starts++
	ru := &run{worker: wo, task: rq.Task, attempt: rq.Attempt, plan: pl, startedAt: now, hash: hashRun(wo, rq)}
	if rq.Checkpoint != "" {
		if _, err := fmt.Sscanf(rq.Checkpoint, rq.Task.Job+"/%d", &ru.priorWork); err != nil {
			fl.recordViolation("%s attempt %d has checkpoint %q, which isn't one of its job", rq.Task, rq.Attempt, rq.Checkpoint)
		}
	}
	if former, ok := wo.runs[rq.Task]; ok {
		fl.leaveGang(former)
	}
	wo.runs[rq.Task] = ru
	wo.sorted = nil
	if pl.Gang > 0 {
		fl.gangs[ru.gangKey()] = append(fl.gangs[ru.gangKey()], ru)
	}
	members := fl.gangMembers(ru)
	if len(members) == max(1, pl.Gang) {
		for _, member := range members {
			member.runningSince = now
		}
	}
	for _, member := range members {
		fl.considerEvents(member, func(at time.Time, _ func()) {
			if at.Before(fl.idleUntil) {
				fl.idleUntil = at
			}
		})
	}
}

// checkStart records a violation for each rule that a start breaks.
func (fl *Fleet) checkStart(wo *worker, rq runner.StartRequest, pl Plan) {
	for _, other := range fl.workers {
		if ru, ok := other.runs[rq.Task]; ok {
			fl.recordViolation("%s runs twice: attempt %d on %s, attempt %d on %s", rq.Task, ru.attempt, other.id, rq.Attempt, wo.id)
		}
	}
	fl.checkUnacknowledged(rq, pl)
	if fl.ackedSuccesses[rq.Task] {
		fl.recordViolation("%s attempt %d starts after it had succeeded", rq.Task, rq.Attempt)
	}
	if pl.MaxAttempts > 0 && fl.ackedFailures[rq.Task] >= pl.MaxAttempts {
		fl.recordViolation("%s attempt %d starts after %d failures", rq.Task, rq.Attempt, fl.ackedFailures[rq.Task])
	}
	fl.checkCrashes(rq, pl)
	if rq.Payload != pl.Payload {
		fl.recordViolation("%s starts with the wrong payload %q", rq.Task, rq.Payload)
	}
	for _, before := range pl.After {
		if !fl.succeeded[before] {
			fl.recordViolation("%s starts before %s has succeeded", rq.Task, before)
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
		fl.recordViolation("%s attempt %d starts on %s, which already runs %d tasks of its step", rq.Task, rq.Attempt, wo.id, beside)
	}
	if !wo.allows(fl.now, used) {
		fl.recordViolation("%s attempt %d exceeds the capacity of %s: %v", rq.Task, rq.Attempt, wo.id, used)
	}
}

// checkUnacknowledged records a violation if a worker that runs still lists the
// success of a task that is started, and its leases have not expired since.
func (fl *Fleet) checkUnacknowledged(rq runner.StartRequest, pl Plan) {
	for _, wo := range fl.workers {
		for i, en := range wo.ends {
			same := en.Task == rq.Task || pl.Gang > 0 && en.Task.Job == rq.Task.Job && en.Task.Occurrence == rq.Task.Occurrence && en.Task.Step == rq.Task.Step
			if same && en.Reason == runner.Succeeded && wo.expiredAt.Before(wo.endedAt[i]) && !fl.now.After(wo.leaseEnd()) {
				fl.recordViolation("%s attempt %d starts although %s lists its success", rq.Task, rq.Attempt, wo.id)
			}
		}
	}
}

// Misdirect makes calls that expect a worker fail with ErrRestarted: another one has
// its address.
func (fl *Fleet) Misdirect(id string) {
	if _, ok := fl.workers[id]; !ok {
		fl.replaced[id] = true
	}
}

// checkCrashes records a violation if a task that crashes its workers is started
// too often.
func (fl *Fleet) checkCrashes(rq runner.StartRequest, pl Plan) {
	if !pl.Crashes || pl.CrashesMany || fl.crashes[rq.Task] < maxCrashes {
		return
	}
	fl.startsPastMax[rq.Task]++
	if fl.startsPastMax[rq.Task] >= maxStartsPastMax {
		fl.recordViolation("%s attempt %d starts after it has crashed %d workers", rq.Task, rq.Attempt, fl.crashes[rq.Task])
	}
}

func (fl *Fleet) recordViolation(format string, args ...any) {
	fl.Violations = append(fl.Violations, fmt.Sprintf("%v: ", fl.now.Format("05.000"))+fmt.Sprintf(format, args...))
}

// gangMembers returns all runs of the same attempt of a gang, or only the run
// itself if it has no gang.
func (fl *Fleet) gangMembers(ru *run) []*run {
	if ru.plan.Gang == 0 {
		return []*run{ru}
	}
	return fl.gangs[ru.gangKey()]
}

func (ru *run) gangKey() gangKey {
	return gangKey{ru.task.Job, ru.task.Occurrence, ru.task.Step, ru.attempt}
}

// leaveGang removes a run from its gang. Slices that gangMembers returned remain
// unchanged.
func (fl *Fleet) leaveGang(ru *run) {
	key := ru.gangKey()
	rest := slices.DeleteFunc(slices.Clone(fl.gangs[key]), func(other *run) bool { return other == ru })
	if len(rest) == 0 {
		delete(fl.gangs, key)
		return
	}
	fl.gangs[key] = rest
}

// Stop performs a stop call. Its error is one of package runner.
func (fl *Fleet) Stop(now time.Time, id string, rq runner.StopRequest) error {
	fl.Advance(now)
	wo, err := fl.workerFor(id, rq.Token)
	if err != nil {
		return err
	}
	if wo.losesStops {
		return runner.ErrOutcomeUnknown
	}
	if ru, ok := wo.runs[rq.Task]; ok && ru.attempt <= rq.Attempt {
		fl.endRun(ru, runner.Stopped)
	}
	wo.lastAttempts[rq.Task] = max(wo.lastAttempts[rq.Task], rq.Attempt)
	return nil
}

// Poll performs a poll without waiting for an end. Its error is one of package
// runner.
func (fl *Fleet) Poll(now time.Time, id string, rq runner.PollRequest) (runner.Status, error) {
	fl.Advance(now)
	wo, err := fl.workerFor(id, rq.Token)
	if err != nil {
		return runner.Status{}, err
	}
	wo.extendLease(now, rq.Deadline, fl.cfg.MaxLease)
	fl.acknowledge(wo, rq.Acked)
	st := runner.Status{Clock: wo.clock(now), Born: wo.born, Ended: fl.endPage(wo)}
	for _, ru := range wo.sortedRuns() {
		percent := 0
		if ru.plan.LongRunning {
			percent = 100
		} else if work := ru.workDone(now); work > 0 {
			percent = min(100, int(100*work/ru.plan.Work))
		}
		st.Running = append(st.Running, runner.Run{Task: ru.task, Attempt: ru.attempt, Checkpoint: ru.checkpoint(now, fl.cfg.CheckpointInterval, false), Percent: percent, LatencyMillis: fl.LatencyMillis[ru.task]})
	}
	return st, nil
}

// hasNews reports whether a poll with the given token returns an end or an error.
func (fl *Fleet) hasNews(id string, token int64) bool {
	wo, ok := fl.workers[id]
	return !ok || token < wo.token || len(wo.ends) > 0
}

// LimitEnds sets the largest number of ends in the reply to a poll.
func (fl *Fleet) LimitEnds(n int) { fl.cfg.EndPageSize = n }

// endPage returns the oldest ends of a worker, at most Config.EndPageSize.
func (fl *Fleet) endPage(wo *worker) runner.EndPage {
	ends := slices.Clone(wo.ends)
	if size := fl.cfg.EndPageSize; size > 0 && len(ends) >= size {
		return runner.EndPage{Ends: ends[:size], More: true}
	}
	return runner.EndPage{Ends: ends}
}

// acknowledge drops the ends up to a number, and counts them as known to the
// scheduler.
func (fl *Fleet) acknowledge(wo *worker, acked int64) {
	for len(wo.ends) > 0 && wo.ends[0].Number <= acked {
		en, at := wo.ends[0], wo.endedAt[0]
		wo.ends, wo.endedAt = wo.ends[1:], wo.endedAt[1:]
		switch {
		case !wo.expiredAt.Before(at):
			// A lease expired after this end, so the scheduler that acknowledges
			// it may have restarted the task in the meantime.
			continue
		case en.Reason == runner.Succeeded:
			fl.ackedSuccesses[en.Task] = true
		case en.Reason == runner.Failed:
			fl.ackedFailures[en.Task]++
		}
		if fl.cfg.Acknowledged != nil {
			fl.cfg.Acknowledged(en)
		}
	}
}

// Advance processes every event that is due by now.
func (fl *Fleet) Advance(now time.Time) {
	for {
		if now.Before(fl.idleUntil) {
			fl.now = now
			return
		}
		at, event := fl.nextEvent()
		if event == nil {
			at = now.Add(time.Hour) // whatever adds an event resets idleUntil
		}
		if at.After(now) {
			fl.idleUntil = at
			continue
		}
		fl.idleUntil = time.Time{}
		fl.now = at
		event()
	}
}

// nextEvent returns the next time-driven event and its time. The event is nil if
// there is none.
func (fl *Fleet) nextEvent() (time.Time, func()) {
	var first time.Time
	var event func()
	consider := func(at time.Time, fn func()) {
		if event == nil || at.Before(first) {
			first, event = at, fn
		}
	}
	for _, id := range fl.workerIDs() {
		wo := fl.workers[id]
		for _, ru := range wo.sortedRuns() {
			fl.considerEvents(ru, consider)
		}
	}
	return first, event
}

// considerEvents calls consider with each time-driven event of a run and its time.
func (fl *Fleet) considerEvents(ru *run, consider func(at time.Time, fn func())) {
	wo := ru.worker
	consider(wo.leaseEnd(), func() { fl.expireLeases(wo) })
	switch {
	case ru.plan.Crashes:
		consider(ru.startedAt.Add(ru.crashAge()), func() { fl.crash(wo) })
	case wo.stalled && !ru.runningSince.IsZero():
	case ru.runningSince.IsZero():
		consider(ru.startedAt.Add(fl.cfg.GangTimeout), func() { fl.endRun(ru, runner.GangTimeout) })
	case wo.failAll:
		consider(ru.runningSince.Add(10*time.Millisecond), func() { fl.endRun(ru, runner.Failed) })
	case wo.failsEarly(ru):
		consider(ru.runningSince.Add(ru.plan.Work/2-ru.priorWork), func() { fl.endRun(ru, runner.Failed) })
	case ru.plan.Fails:
		consider(ru.runningSince.Add(ru.plan.Work-ru.priorWork), func() { fl.endRun(ru, runner.Failed) })
	default:
		if at, ok := fl.gangDoneAt(ru); ok {
			consider(at, func() { fl.endRun(ru, runner.Succeeded) })
		}
	}
}

// crashAge returns the age at which a run crashes its worker.
func (ru *run) crashAge() time.Duration {
	if n := len(ru.plan.CrashAges); n > 0 {
		return ru.plan.CrashAges[ru.attempt%n]
	}
	return crashDelay
}

// gangDoneAt returns when a run and its whole gang will have completed their work:
// a task that has less to do than the others stays at 100 percent until then. It
// returns false while one of them is waiting or stalled.
func (fl *Fleet) gangDoneAt(ru *run) (time.Time, bool) {
	var latest time.Time
	for _, member := range fl.gangMembers(ru) {
		if member.runningSince.IsZero() || member.worker.stalled {
			return latest, false
		}
		if at := member.runningSince.Add(member.plan.Work - member.priorWork); at.After(latest) {
			latest = at
		}
	}
	return latest, true
}

func (fl *Fleet) workerIDs() []string {
	if fl.ids == nil {
		fl.ids = slices.Sorted(maps.Keys(fl.workers))
	}
	return fl.ids
}

func (fl *Fleet) expireLeases(wo *worker) {
	for _, ru := range wo.sortedRuns() {
		fl.endRun(ru, runner.LeaseExpired)
	}
}

// endRun ends a run and, if it has begun to work, the rest of its gang.
func (fl *Fleet) endRun(ru *run, reason runner.EndReason) {
	members := fl.gangMembers(ru)
	fl.endSingleRun(ru, reason)
	if ru.plan.Gang == 0 || ru.runningSince.IsZero() {
		return
	}
	for _, member := range members {
		if member == ru {
			continue
		}
		if reason == runner.Succeeded {
			fl.endSingleRun(member, runner.Succeeded)
			continue
		}
		fl.endSingleRun(member, runner.GangBroken)
	}
}

func (fl *Fleet) endSingleRun(ru *run, reason runner.EndReason) {
	wo := ru.worker
	if wo.runs[ru.task] != ru {
		return
	}
	delete(wo.runs, ru.task)
	wo.sorted = nil
	fl.leaveGang(ru)
	wo.lastAttempts[ru.task] = max(wo.lastAttempts[ru.task], ru.attempt)
	if reason == runner.Succeeded {
		fl.succeeded[ru.task] = true
	}
	if reason == runner.Failed {
		fl.failures[ru.task]++
	}
	wo.lastNumber++
	wo.endedAt = append(wo.endedAt, fl.now)
	wo.ends = append(wo.ends, runner.End{
		Number: wo.lastNumber, Task: ru.task, Attempt: ru.attempt, Reason: reason,
		Checkpoint: ru.checkpoint(fl.now, fl.cfg.CheckpointInterval, reason == runner.Stopped),
	})
}

// clock returns the reading of the worker's clock.
func (wo *worker) clock(now time.Time) time.Duration {
	return time.Duration(float64(now.Sub(wo.started)) * wo.rate)
}

// leaseEnd returns when the worker's leases end, in true time.
func (wo *worker) leaseEnd() time.Time {
	return wo.started.Add(time.Duration(float64(wo.deadline) / wo.rate))
}

// extendLease moves the end of the worker's leases to a deadline on its clock, but
// never back and no further than maxLease from now.
func (wo *worker) extendLease(now time.Time, deadline, maxLease time.Duration) {
	if wo.deadline > 0 && now.After(wo.leaseEnd()) {
		wo.expiredAt = wo.leaseEnd()
	}
	wo.deadline = max(wo.deadline, min(deadline, wo.clock(now)+maxLease))
}

func (wo *worker) sortedRuns() []*run {
	if wo.sorted == nil {
		wo.sorted = slices.SortedFunc(maps.Values(wo.runs), func(a, b *run) int {
			return cmp.Or(a.task.Compare(b.task), cmp.Compare(a.attempt, b.attempt))
		})
	}
	return wo.sorted
}

func (ru *run) workDone(now time.Time) time.Duration {
	if ru.runningSince.IsZero() || ru.worker.stalled {
		return ru.priorWork
	}
	return ru.priorWork + now.Sub(ru.runningSince)
}

// checkpoint returns the latest checkpoint in the form JOB/WORK, with the work in
// nanoseconds, or an empty string if there is none. A stopped attempt saves all of
// its work, any other only that of whole intervals.
func (ru *run) checkpoint(now time.Time, interval time.Duration, stopped bool) string {
	if !ru.plan.Checkpoints {
		return ""
	}
	work := ru.workDone(now)
	if !stopped {
		work = work.Truncate(interval)
	}
	if work == 0 {
		return ""
	}
	return fmt.Sprintf("%s/%d", ru.task.Job, work)
}

// Free returns the part of a worker's capacity that no attempt uses, or nothing if it
// is not up.
func (fl *Fleet) Free(id string) batch.Resources {
	wo, ok := fl.workers[id]
	if !ok {
		return batch.Resources{}
	}
	free := wo.capacity
	for _, ru := range wo.runs {
		free = free.Minus(ru.plan.Needs)
	}
	return free
}
