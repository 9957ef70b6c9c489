package domain_test

import (
	"cmp"
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/batch"
	"github.com/cicadawharf/cicadawharf/internal/domain"
	"github.com/cicadawharf/cicadawharf/internal/fakes/runsim"
	"github.com/cicadawharf/cicadawharf/internal/runner"
)

type (
	// simulation runs cores with simulated workers and a model of the store, in
	// simulated time.
	simulation struct {
		rng               *rand.Rand
		now               time.Time
		queue             eventQueue
		lastOrder         int // order of the last event
		fleet             *runsim.Fleet
		workers           map[string]runner.Worker
		unreachable       map[string]bool // workers that can't be called
		policy            *batch.Policy
		jobs              map[string]batch.Job
		plans             map[string][]taskPlan   // by job and step
		accepted          []string                // IDs of jobs, in order of submission
		cancelled         map[string]time.Time    // time of the cancellation, by job
		records           map[string]batch.Record // as stored, by job
		waiting           map[string]int          // number of jobs that have not begun, by queue
		evacuatedTasks    map[string]int          // tasks left in evacuated zones, as stored
		endTimes          map[string]time.Time    // of jobs, as stored
		revision          int64                   // of the store
		token             int64                   // of the current leader
		leader            *leader
		faults            faults
		evacuated         []string  // availability zones
		evacuatedAt       time.Time // when evacuated last changed
		evacuationReports []domain.EvacuationReport
		lateStarts        []string      // workers in evacuated zones to which starts were sent too late
		clockSkew         time.Duration // of the clock of the host that accepts jobs
		decisions         []domain.LogDecision
		backlogReports    []domain.BacklogReport
		holdReports       []domain.HoldReport
		healthReports     []domain.HealthReport
		tickets           map[string]map[string]string // by job and worker, for queues that need advice
		adviceCalls       int                          // number of calls to the advice service
		adviceTime        time.Duration                // of a call, one at a time; zero for 100 ms, all at once
		adviceBusyUntil   time.Time                    // when the calls so far will have been answered
		ticketTime        time.Duration                // validity of its tickets; zero for 3 s
		log               []string                     // decisions of all leaders
		logged            []logLine                    // the same with their times and jobs
		handleTimes       []time.Duration              // real time that the core took for each event
		fairShares        bool                         // see domain.Config
		failUrgent        bool                         // every other urgent job fails on every worker
		downtime          time.Duration                // of a worker that a task has crashed
		newIDs            bool                         // workers that have crashed return under new IDs
		restarts          int                          // of workers that have crashed
		commitDelay       time.Duration                // of the store, beside the usual one
		awayUntil         time.Time                    // until when the store does not respond
		storeReturnedAt   time.Time                    // when it last responded again
		lapsed            map[string]bool              // workers whose entries have expired
		transit           *transit                     // of calls, in place of faults; nil in most simulations
		processor         *processor                   // of the scheduler's host; nil if it takes no time
		formerUnbounded   bool                         // see domain.Config.FormerBounded
		violations        []string                     // beside those that the fleet has seen
		troubleUntil      time.Time                    // end of the last trouble; see disturb
	}

	// taskPlan is the simulated behaviour of the tasks of a step.
	taskPlan struct {
		work          time.Duration // actual run time
		firstTaskWork time.Duration // overrides the work of the first task unless zero
		fails         bool
		crashes       bool            // the first task crashes each worker that starts it
		crashAges     []time.Duration // see runsim.Plan
		crashesMany   bool            // see runsim.Plan
	}

	// faults holds the fractions of calls that get no reply.
	faults struct {
		lost float64 // carried out without a reply
		late float64 // carried out seconds later without a reply
		drop float64 // neither carried out nor replied to
		slow float64 // carried out, and replied to just before the timeout
	}

	// reply is a worker's reply to a start or a stop.
	reply struct {
		clock    time.Duration // of the worker; zero if unknown
		err      error
		repeated bool // the call was made twice
	}

	// leader is a core with its connection to the store.
	leader struct {
		core          *domain.Core
		token         int64
		dead          bool
		partitioned   bool // from the store
		promptPending bool // a Prompted event is scheduled
	}

	// event is a function to be called at a simulated time. Events of the same
	// time are processed by order.
	event struct {
		at    time.Time
		order int
		do    func()
	}

	// logLine is a line of a simulation's log; its job is empty if it is about none.
	logLine struct {
		at        time.Time
		job, text string
	}

	// eventQueue is a heap, earliest event first.
	eventQueue []event
)

const (
	networkDelay = 2 * time.Millisecond
	storeDelay   = 5 * time.Millisecond
	callTimeout  = time.Second
	tickInterval = 100 * time.Millisecond
	promptDelay  = 15 * time.Millisecond
	pollStep     = 50 * time.Millisecond // of a long poll
	// endPageSize is small, so that ends behind a full page occur in many tests.
	endPageSize = 6
)

var startTime = time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)

func (eq eventQueue) Len() int { return len(eq) }
func (eq eventQueue) Less(i, j int) bool {
	if eq[i].at.Equal(eq[j].at) {
		return eq[i].order < eq[j].order
	}
	return eq[i].at.Before(eq[j].at)
}
func (eq eventQueue) Swap(i, j int) { eq[i], eq[j] = eq[j], eq[i] }
func (eq *eventQueue) Push(x any)   { *eq = append(*eq, x.(event)) }
func (eq *eventQueue) Pop() any {
	old := *eq
	ev := old[len(old)-1]
	*eq = old[:len(old)-1]
	return ev
}

func newSimulation(seed uint64) *simulation {
	sim := &simulation{
		rng: rand.New(rand.NewPCG(seed, 1)), now: startTime, downtime: 3 * time.Second, workers: map[string]runner.Worker{}, unreachable: map[string]bool{},
		jobs: map[string]batch.Job{}, plans: map[string][]taskPlan{}, cancelled: map[string]time.Time{},
		records: map[string]batch.Record{}, endTimes: map[string]time.Time{}, lapsed: map[string]bool{},
		policy: &batch.Policy{Version: 1, Queues: []batch.Queue{
			queueOf(0), queueOf(1), queueOf(2),
		}, Workspaces: []batch.Workspace{{Name: "a", Guaranteed: 16}, {Name: "b", Guaranteed: 16}}},
	}
	sim.fleet = runsim.NewFleet(startTime, runsim.Config{
		MaxLease: 10 * time.Second, GangTimeout: 3 * time.Second, CheckpointInterval: 2 * time.Second, EndPageSize: endPageSize, Plan: sim.planOf, Crashed: sim.restartCrashed, Acknowledged: sim.checkAcknowledged,
	})
	return sim
}

func queueOf(priority int) batch.Queue {
	return batch.Queue{
		Name: fmt.Sprintf("q%d", priority), Service: "svc", Priority: priority, MaxAttempts: 3,
		Stretch: 3, Allowance: time.Second,
	}
}

// planOf returns the simulated behaviour of a task.
func (sim *simulation) planOf(ti batch.TaskID) runsim.Plan {
	jb := sim.jobs[ti.Job]
	step := jb.Steps[ti.Step]
	tp := sim.plans[ti.Job][ti.Step]
	pl := runsim.Plan{
		Work: tp.work, Fails: tp.fails, Needs: step.Reserved(), MaxAttempts: jb.Queue.MaxAttempts, Checkpoints: step.Checkpoints,
		Crashes: tp.crashes && ti.Index == 0, CrashAges: tp.crashAges, CrashesMany: tp.crashesMany, Payload: jb.Payload, PerWorker: step.PerWorker, LongRunning: step.LongRunning, Tickets: sim.tickets[ti.Job],
	}
	if step.Gang {
		pl.Gang = step.Tasks
	}
	if ti.Index == 0 && tp.firstTaskWork > 0 {
		pl.Work = tp.firstTaskWork
	}
	for _, before := range step.After {
		for i := range jb.Steps[before].Tasks {
			pl.After = append(pl.After, batch.TaskID{Job: ti.Job, Occurrence: ti.Occurrence, Step: before, Index: i})
			if jb.Steps[before].Gang {
				break
			}
		}
	}
	return pl
}

// addWorker starts or restarts a worker. The second character of its ID is the
// number of its zone and rack.
func (sim *simulation) addWorker(id string, accelerators int) {
	capacity := batch.Resources{MilliCPU: 8000 * accelerators, MemoryMB: 1000 * accelerators, Accelerators: accelerators}
	born := sim.fleet.Add(sim.now, id, capacity, 1-0.02*sim.rng.Float64())
	wk := runner.Worker{
		ID: id, Address: id + ":1", Service: "svc", Zone: "z" + id[1:2], Rack: "r" + id[1:2], Labels: []string{"a", "r" + id[1:2]},
		Capacity: capacity, Born: born,
	}
	sim.workers[id] = wk
	sim.disturb(0)
	sim.notify(domain.Listed{Worker: wk})
}

// disturb records that a trouble acts for the given time from now on.
func (sim *simulation) disturb(d time.Duration) {
	if until := sim.now.Add(d); until.After(sim.troubleUntil) {
		sim.troubleUntil = until
	}
}

// resize changes the capacity of a worker, and its entry at the platform.
func (sim *simulation) resize(id string, accelerators int) {
	wk := sim.workers[id]
	wk.Capacity = batch.Resources{MilliCPU: 8000 * accelerators, MemoryMB: 1000 * accelerators, Accelerators: accelerators}
	sim.workers[id] = wk
	sim.fleet.Resize(sim.now, id, wk.Capacity)
	sim.disturb(0)
	sim.notify(domain.Listed{Worker: wk})
}

// replaceWorker ends a worker and starts another one at its address. The
// platform's list follows after a lag.
func (sim *simulation) replaceWorker(former, id string, lag time.Duration) {
	wk := sim.workers[former]
	wk.ID = id
	wk.Born = sim.fleet.Replace(sim.now, former, id, wk.Capacity, 1-0.02*sim.rng.Float64())
	delete(sim.workers, former)
	sim.workers[id] = wk
	sim.disturb(2 * lag)
	sim.after(lag, func() { sim.notify(domain.Listed{Worker: wk}) })
	sim.after(2*lag, func() { sim.notify(domain.Unlisted{ID: former}) })
}

// restartCrashed brings a worker that has crashed back after the downtime, unless
// it has been restarted or replaced by then.
func (sim *simulation) restartCrashed(id string) {
	wk := sim.workers[id]
	sim.disturb(0)
	sim.after(sim.downtime, func() {
		if _, listed := sim.workers[id]; !listed || sim.fleet.IsUp(id) {
			return
		}
		sim.restarts++
		if sim.newIDs {
			sim.replaceWorker(id, fmt.Sprintf("c%s%d", id[1:2], sim.restarts), 50*time.Millisecond)
			return
		}
		sim.addWorker(id, wk.Capacity.Accelerators)
	})
}

func (sim *simulation) submit(jb batch.Job, plans ...taskPlan) {
	jb.Accepted = sim.now.Add(sim.clockSkew)
	sim.jobs[jb.ID] = jb
	sim.plans[jb.ID] = plans
	sim.accepted = append(sim.accepted, jb.ID)
	sim.notify(domain.Accepted{Job: jb})
}

func (sim *simulation) cancel(id string) {
	if _, ok := sim.cancelled[id]; !ok {
		sim.cancelled[id] = sim.now
		sim.notify(domain.CancelRequested{ID: id})
	}
}

// elect creates a new core from the stored state. The former leader is killed,
// or continues without the store if it is partitioned.
func (sim *simulation) elect() *leader {
	sim.revision++
	sim.token = sim.revision
	sim.disturb(0)
	cf := domain.Config{Token: sim.token, Policy: sim.policy, EvacuatedZones: sim.evacuated, MinMoveRunTime: minMoveRunTime, FairShares: sim.fairShares, FormerBounded: !sim.formerUnbounded}
	if sim.processor != nil {
		cf.Cores = sim.processor.cores
	}
	for _, id := range sim.accepted {
		cf.Jobs = append(cf.Jobs, sim.jobs[id])
		if _, ok := sim.cancelled[id]; ok {
			cf.Cancelled = append(cf.Cancelled, id)
		}
		if rc, ok := sim.records[id]; ok {
			cf.Records = append(cf.Records, rc)
		}
	}
	cf.StoreReturnedAt = sim.storeReturnedAt
	for _, id := range slices.Sorted(maps.Keys(sim.workers)) {
		if !sim.lapsed[id] {
			cf.Workers = append(cf.Workers, sim.workers[id])
		}
	}
	if sim.leader != nil && !sim.leader.partitioned {
		sim.leader.dead = true
	}
	le := &leader{core: domain.New(sim.now, cf), token: sim.token}
	sim.leader = le
	sim.tick(le)
	return le
}

// tick sends Ticked events to a leader until it is dead.
func (sim *simulation) tick(le *leader) {
	if le.dead {
		return
	}
	sim.handle(le, domain.Ticked{})
	sim.after(tickInterval, func() { sim.tick(le) })
}

// notify sends an event from the store to the current leader.
func (sim *simulation) notify(ev domain.Event) {
	if le := sim.leader; le != nil {
		sim.after(storeDelay+max(0, sim.awayUntil.Sub(sim.now)), func() {
			if !le.partitioned {
				sim.handle(le, ev)
			}
		})
	}
}

// handle passes an event to a leader's core and performs the resulting effects.
func (sim *simulation) handle(le *leader, ev domain.Event) {
	if le.dead {
		return
	}
	if sim.processor != nil {
		sim.processor.queue(le, ev)
		return
	}
	if !le.partitioned && !sim.now.Before(sim.awayUntil) && le.token == sim.token {
		le.core.ConfirmLease(sim.now, sim.now)
	}
	began := time.Now()
	effects := le.core.Handle(sim.now, ev)
	sim.handleTimes = append(sim.handleTimes, time.Since(began))
	for _, ef := range effects {
		sim.perform(le, ef)
	}
	if le.core.NeedsPrompt() {
		sim.promptLater(le)
	}
}

// promptLater sends a Prompted event to a leader after promptDelay.
func (sim *simulation) promptLater(le *leader) {
	if le.promptPending {
		return
	}
	le.promptPending = true
	sim.after(promptDelay, func() {
		le.promptPending = false
		sim.handle(le, domain.Prompted{})
	})
}

func (sim *simulation) perform(le *leader, ef domain.Effect) {
	switch ef := ef.(type) {
	case domain.Commit:
		write := func() { sim.after(storeDelay+sim.commitDelay, func() { sim.commit(le, ef) }) }
		if sim.processor != nil {
			sim.processor.cost(sendCost+time.Duration(len(ef.Records))*recordCost, write)
			return
		}
		write()
	case domain.Poll:
		sim.poll(le, ef)
	case domain.Start:
		sim.checkStart(ef.Worker)
		sim.call(le, ef.Worker.ID, ef, func() reply {
			err := sim.fleet.Start(sim.now, ef.Worker.ID, ef.Request)
			return reply{clock: sim.fleet.Clock(sim.now, ef.Worker.ID), err: err}
		}, func(rp reply) domain.Event {
			if rp.err != nil {
				return domain.Started{Call: ef, Err: rp.err, Repeated: rp.repeated}
			}
			return domain.Started{Call: ef, Clock: rp.clock, Repeated: rp.repeated}
		})
	case domain.Repeat:
		if sim.transit != nil {
			sim.transit.repeats[ef]()
		}
		if sim.processor != nil {
			sim.processor.repeats[ef]()
		}
	case domain.Withdraw:
		if sim.transit != nil {
			sim.transit.withdraws[ef]()
		}
		if sim.processor != nil {
			sim.processor.withdraws[ef]()
		}
	case domain.Stop:
		sim.call(le, ef.Worker.ID, ef, func() reply { return reply{err: sim.fleet.Stop(sim.now, ef.Worker.ID, ef.Request)} },
			func(rp reply) domain.Event { return domain.Stopped{Call: ef, Err: rp.err} })
	case domain.Advise:
		sim.advise(le, ef)
	case domain.LogDecision:
		sim.decisions = append(sim.decisions, ef)
		line := fmt.Sprintf("%s token %d %+v", sim.now.Format("05.000"), le.token, ef)
		sim.log = append(sim.log, line)
		sim.logged = append(sim.logged, logLine{sim.now, ef.Job, fmt.Sprintf("%s token %d %s %s#%d %s%v %s", sim.now.Format("05.000"), le.token, ef.Decision, cmp.Or(ef.Task, ef.Job), ef.Attempt, ef.Worker, ef.Workers, ef.Reason)})
	case domain.BacklogReport:
		sim.backlogReports = append(sim.backlogReports, ef)
	case domain.HoldReport:
		sim.holdReports = append(sim.holdReports, ef)
	case domain.EvacuationReport:
		sim.evacuationReports = append(sim.evacuationReports, ef)
	case domain.HealthReport:
		sim.healthReports = append(sim.healthReports, ef)
	case domain.Resign:
		le.dead = true
	}
}

// advise replies like the advice service, with tickets for the workers in
// tickets.
func (sim *simulation) advise(le *leader, ef domain.Advise) {
	sim.adviceCalls++
	ad := runner.Advice{Tickets: map[string]string{}, ValidFor: cmp.Or(sim.ticketTime, 3*time.Second)}
	for _, id := range ef.Request.Workers {
		if text, allowed := sim.tickets[ef.Request.Job][id]; allowed {
			ad.Tickets[id] = text
		}
	}
	latency := 100 * time.Millisecond
	if sim.adviceTime > 0 {
		sim.adviceBusyUntil = later(sim.adviceBusyUntil, sim.now).Add(sim.adviceTime)
		latency = sim.adviceBusyUntil.Sub(sim.now)
	}
	sim.after(latency, func() { sim.handle(le, domain.Advised{Call: ef, Advice: ad}) })
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// commit writes records if the leader is the current one, and ends it
// otherwise. A partitioned leader retries.
func (sim *simulation) commit(le *leader, cm domain.Commit) {
	if le.dead {
		return
	}
	if le.partitioned || sim.now.Before(sim.awayUntil) {
		sim.after(commitRetry, func() { sim.commit(le, cm) })
		return
	}
	if le.token != sim.token {
		le.dead = true
		return
	}
	for _, rc := range cm.Records {
		sim.records[rc.ID] = rc
		if _, ended := sim.endTimes[rc.ID]; rc.State.Final() && !ended {
			sim.endTimes[rc.ID] = sim.now
		}
	}
	if cm.Backlog != nil {
		sim.waiting, sim.evacuatedTasks = cm.Backlog.Queues, cm.Backlog.Evacuating
	}
	sim.revision++
	committed := domain.Committed{Seq: cm.Seq, Revision: sim.revision}
	took := storeDelay + time.Duration(sim.rng.Int64N(int64(5*storeDelay)))
	sim.after(took, func() { sim.handle(le, committed) })
}

const commitRetry = 200 * time.Millisecond

// call makes a call to a worker, subject to the simulated faults.
func (sim *simulation) call(le *leader, id string, ef domain.Effect, do func() reply, outcome func(reply) domain.Event) {
	if sim.processor != nil {
		sim.processor.call(le, ef, do, outcome)
		return
	}
	if sim.transit != nil {
		sim.transit.call(le, id, ef, do, outcome)
		return
	}
	draw := sim.rng.Float64()
	lost := func() {
		sim.after(callTimeout, func() { sim.handle(le, outcome(reply{err: runner.ErrOutcomeUnknown})) })
	}
	fa := sim.faults
	switch {
	case sim.unreachable[id], draw < fa.drop:
		lost()
	case draw < fa.drop+fa.late:
		// The worker has received the call, and loses it if it restarts.
		born := sim.workers[id].Born
		sim.after(time.Duration(2+10*sim.rng.Float64())*time.Second, func() {
			if sim.workers[id].Born == born {
				sim.disturb(0)
				_ = do()
			}
		})
		lost()
	case draw < fa.drop+fa.late+fa.lost:
		sim.after(networkDelay, func() { _ = do() })
		lost()
	default:
		replyDelay := networkDelay
		if draw < fa.drop+fa.late+fa.lost+fa.slow {
			replyDelay = time.Duration(sim.rng.Float64() * float64(callTimeout))
		}
		sim.after(networkDelay, func() {
			rp := do()
			sim.after(replyDelay, func() { sim.handle(le, outcome(rp)) })
		})
	}
}

// poll polls a worker. A long poll is simulated in steps.
func (sim *simulation) poll(le *leader, ef domain.Poll) {
	if sim.transit != nil {
		sim.transit.poll(le, ef)
		return
	}
	if sim.processor != nil {
		sim.processor.poll(le, ef)
		return
	}
	id := ef.Worker.ID
	rq := ef.Request
	until := sim.now.Add(rq.Wait)
	fail := func(err error) { sim.handle(le, domain.Polled{Call: ef, Err: err}) }
	var try func()
	try = func() {
		if sim.unreachable[id] {
			sim.after(callTimeout, func() { fail(runner.ErrOutcomeUnknown) })
			return
		}
		st, err := sim.fleet.Poll(sim.now, id, rq)
		rq.Acked, rq.Deadline = 0, 0 // applied once, when the call arrives
		if err == nil && len(st.Ended.Ends) == 0 && sim.now.Before(until) {
			sim.after(pollStep, try)
			return
		}
		replyDelay := networkDelay
		if sim.faults.slow > 0 && sim.rng.Float64() < sim.faults.slow {
			replyDelay = time.Duration(sim.rng.Float64() * float64(callTimeout+until.Sub(sim.now)))
		}
		sim.after(replyDelay, func() {
			if err != nil {
				fail(err)
				return
			}
			sim.handle(le, domain.Polled{Call: ef, Status: st})
		})
	}
	sim.after(networkDelay, try)
}

// after schedules a function.
func (sim *simulation) after(d time.Duration, do func()) {
	sim.lastOrder++
	heap.Push(&sim.queue, event{at: sim.now.Add(d), order: sim.lastOrder, do: do})
}

// run advances the simulated time.
func (sim *simulation) run(d time.Duration) {
	until := sim.now.Add(d)
	for len(sim.queue) > 0 && !sim.queue[0].at.After(until) {
		ev := heap.Pop(&sim.queue).(event)
		sim.now = ev.at
		sim.fleet.Advance(sim.now)
		ev.do()
	}
	sim.now = until
	sim.fleet.Advance(sim.now)
}

// state returns the stored state of a job.
func (sim *simulation) state(id string) batch.State {
	if rc, ok := sim.records[id]; ok {
		return rc.State
	}
	return batch.Queued
}

// endOf returns when the end of a job was first stored, or the current time.
func (sim *simulation) endOf(id string) time.Time {
	if at, ok := sim.endTimes[id]; ok {
		return at
	}
	return sim.now
}

// stops counts the attempts of a job that were stopped.
func (sim *simulation) stops(id string) int {
	n := 0
	for _, ld := range sim.decisions {
		if ld.Decision == "stops" && ld.Job == id {
			n++
		}
	}
	return n
}

// turnaround returns the time from the submission of a job to its end.
func (sim *simulation) turnaround(id string) time.Duration {
	return sim.endOf(id).Sub(sim.jobs[id].Accepted.Add(-sim.clockSkew))
}

// check returns violated invariants, and jobs whose stored state does not agree
// with what has run.
func (sim *simulation) check() []string {
	violations := slices.Concat(sim.fleet.Violations, sim.violations)
	for _, id := range sim.accepted {
		jb := sim.jobs[id]
		if sim.state(id) == batch.Failed && !sim.mayHaveFailed(jb) {
			violations = append(violations, "job "+id+" is stored as failed without a cause")
		}
		if sim.state(id) != batch.Done {
			continue
		}
		for oc := range jb.Occurrences() {
			for at, step := range jb.Steps {
				ti := batch.TaskID{Job: id, Occurrence: oc, Step: at}
				if !step.LongRunning && !sim.fleet.Succeeded(ti) {
					violations = append(violations, "job "+id+" is stored as done, but "+ti.String()+" is not")
				}
			}
		}
	}
	return violations
}

// mayHaveFailed reports whether some unit of a job may be given up. The failures
// of a gang may be those of different members.
func (sim *simulation) mayHaveFailed(jb batch.Job) bool {
	for oc := range jb.Occurrences() {
		for at, step := range jb.Steps {
			if sim.stepMayHaveFailed(jb, step, batch.TaskID{Job: jb.ID, Occurrence: oc, Step: at}) {
				return true
			}
		}
	}
	return false
}

func (sim *simulation) stepMayHaveFailed(jb batch.Job, step batch.Step, ti batch.TaskID) bool {
	attempts := jb.Queue.MaxAttempts
	if step.Gang {
		attempts = (attempts + step.Tasks - 1) / step.Tasks // at least one member has failed this often
	}
	for i := range step.Tasks {
		ti.Index = i
		if sim.fleet.MayBeGivenUp(ti, attempts) {
			return true
		}
	}
	return false
}

// logTail returns the last 60 lines of the log.
func (sim *simulation) logTail() string {
	return strings.Join(sim.log[max(0, len(sim.log)-60):], "\n")
}
