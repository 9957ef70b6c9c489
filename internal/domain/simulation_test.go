package domain_test

import (
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
	// world plays cores against stand-in workers and a model of the store, in
	// virtual time.
	world struct {
		rng        *rand.Rand
		now        time.Time
		queue      queue
		order      int
		fleet      *runsim.Fleet
		workers    map[string]runner.Worker
		silent     map[string]bool // workers that nobody reaches
		policy     *batch.Policy
		jobs       map[string]batch.Job
		plans      map[string][]planned // by job and step
		accepts    []string
		cancels    map[string]time.Time
		records    map[string]batch.Record
		waiting    map[string]int       // jobs that have not begun, by queue
		stayed     map[string]int       // tasks in evacuated zones
		ends       map[string]time.Time // of jobs, as the store shows them
		token      int64
		holder     *holder
		faults     faults
		evacuated  []string  // availability zones
		marked     time.Time // when that last changed
		left       []domain.Evacuation
		late       []string      // starts in evacuated zones
		skew       time.Duration // of the clock of the host that accepts jobs
		notes      []domain.Noted
		waits      []domain.Waits
		suspects   []domain.Suspects
		tickets    map[string]map[string]string // of jobs whose queue needs advice, by worker
		advised    int                          // calls for advice
		log        []string
		spent      []time.Duration // real time of each event in the core
		fairShares bool            // see domain.Config
		poison     bool            // every other urgent job fails everywhere
	}

	planned struct {
		work    time.Duration
		longest time.Duration // of the first task, if it differs
		fails   bool
	}

	// faults are the shares of calls that go wrong.
	faults struct {
		lost float64 // done, and not answered
		late float64 // done seconds later, and not answered
		drop float64 // not done, and not answered
	}

	// holder is a core with the way to its store.
	holder struct {
		core  *domain.Core
		token int64
		dead  bool
		cut   bool // from the store
		soon  bool // a tick is due for what the core has put off
	}

	event struct {
		at    time.Time
		order int
		do    func()
	}

	queue []event
)

const (
	hop         = 2 * time.Millisecond
	storeTime   = 5 * time.Millisecond
	callTimeout = time.Second
	tickTime    = 100 * time.Millisecond
	soonTime    = 15 * time.Millisecond
)

var start = time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)

func (qu queue) Len() int { return len(qu) }
func (qu queue) Less(i, j int) bool {
	if qu[i].at.Equal(qu[j].at) {
		return qu[i].order < qu[j].order
	}
	return qu[i].at.Before(qu[j].at)
}
func (qu queue) Swap(i, j int) { qu[i], qu[j] = qu[j], qu[i] }
func (qu *queue) Push(x any)   { *qu = append(*qu, x.(event)) }
func (qu *queue) Pop() any {
	old := *qu
	ev := old[len(old)-1]
	*qu = old[:len(old)-1]
	return ev
}

func newWorld(seed uint64) *world {
	wo := &world{
		rng: rand.New(rand.NewPCG(seed, 1)), now: start, workers: map[string]runner.Worker{}, silent: map[string]bool{},
		jobs: map[string]batch.Job{}, plans: map[string][]planned{}, cancels: map[string]time.Time{},
		records: map[string]batch.Record{}, ends: map[string]time.Time{},
		policy: &batch.Policy{Version: 1, Queues: []batch.Queue{
			queueOf(0), queueOf(1), queueOf(2),
		}, Workspaces: []batch.Workspace{{Name: "a", Guaranteed: 16}, {Name: "b", Guaranteed: 16}}},
	}
	wo.fleet = runsim.NewFleet(start, runsim.Config{
		MaxHold: 10 * time.Second, GangTimeout: 3 * time.Second, Saves: 2 * time.Second, Plan: wo.planOf,
	})
	return wo
}

func queueOf(priority int) batch.Queue {
	return batch.Queue{
		Name: fmt.Sprintf("q%d", priority), Service: "svc", Priority: priority, MaxAttempts: 3,
		Stretch: 3, Allowance: time.Second,
	}
}

// planOf says what a task does, from its job.
func (wo *world) planOf(ti batch.TaskID) runsim.Plan {
	jb := wo.jobs[ti.Job]
	step := jb.Steps[ti.Step]
	do := wo.plans[ti.Job][ti.Step]
	pl := runsim.Plan{
		Work: do.work, Fails: do.fails, Needs: step.Occupied(), MaxAttempts: jb.Queue.MaxAttempts, Saves: step.Checkpoints,
		Payload: jb.Payload, PerWorker: step.PerWorker, Lasting: step.Lasting, Tickets: wo.tickets[ti.Job],
	}
	if step.Gang {
		pl.Gang = step.Tasks
	}
	if ti.Index == 0 && do.longest > 0 {
		pl.Work = do.longest
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

// addWorker starts a worker, or starts it anew.
func (wo *world) addWorker(id string, accelerators int) {
	capacity := batch.Resources{MilliCPU: 8000 * accelerators, MemoryMB: 1000 * accelerators, Accelerators: accelerators}
	born := wo.fleet.Add(wo.now, id, capacity, 1-0.02*wo.rng.Float64())
	wk := runner.Worker{
		ID: id, Address: id + ":1", Service: "svc", Zone: "z" + id[1:2], Rack: "r" + id[1:2], Labels: []string{"a", "r" + id[1:2]},
		Capacity: capacity, Born: born,
	}
	wo.workers[id] = wk
	wo.tell(domain.Listed{Worker: wk})
}

// replaceWorker ends a worker and starts another one at its address. The
// platform's list follows after a lag.
func (wo *world) replaceWorker(former, id string, lag time.Duration) {
	wk := wo.workers[former]
	wk.ID = id
	wk.Born = wo.fleet.Replace(wo.now, former, id, wk.Capacity, 1-0.02*wo.rng.Float64())
	delete(wo.workers, former)
	wo.workers[id] = wk
	wo.after(lag, func() { wo.tell(domain.Listed{Worker: wk}) })
	wo.after(2*lag, func() { wo.tell(domain.Unlisted{ID: former}) })
}

func (wo *world) submit(jb batch.Job, plans ...planned) {
	jb.Accepted = wo.now.Add(wo.skew)
	wo.jobs[jb.ID] = jb
	wo.plans[jb.ID] = plans
	wo.accepts = append(wo.accepts, jb.ID)
	wo.tell(domain.Accepted{Job: jb})
}

func (wo *world) cancel(id string) {
	if _, ok := wo.cancels[id]; !ok {
		wo.cancels[id] = wo.now
		wo.tell(domain.CancelAsked{ID: id})
	}
}

// elect makes a new core from what the store holds. The former one is killed,
// or goes on without the store if it is cut off.
func (wo *world) elect() *holder {
	wo.token += 10
	cf := domain.Config{Token: wo.token, Policy: wo.policy, Evacuated: wo.evacuated, Evacuate: moveOver, FairShares: wo.fairShares}
	for _, id := range wo.accepts {
		cf.Jobs = append(cf.Jobs, wo.jobs[id])
		if _, ok := wo.cancels[id]; ok {
			cf.Cancelled = append(cf.Cancelled, id)
		}
		if rc, ok := wo.records[id]; ok {
			cf.Records = append(cf.Records, rc)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(wo.workers)) {
		wk := wo.workers[id]
		cf.Workers = append(cf.Workers, wk)
	}
	if wo.holder != nil && !wo.holder.cut {
		wo.holder.dead = true
	}
	ho := &holder{core: domain.New(wo.now, cf), token: wo.token}
	wo.holder = ho
	wo.tick(ho)
	return ho
}

func (wo *world) tick(ho *holder) {
	if ho.dead {
		return
	}
	wo.give(ho, domain.Ticked{})
	wo.after(tickTime, func() { wo.tick(ho) })
}

// tell hands an event from the store to the present holder.
func (wo *world) tell(ev domain.Event) {
	if ho := wo.holder; ho != nil {
		wo.after(storeTime, func() {
			if !ho.cut {
				wo.give(ho, ev)
			}
		})
	}
}

func (wo *world) give(ho *holder, ev domain.Event) {
	if ho.dead {
		return
	}
	began := time.Now()
	effects := ho.core.Handle(wo.now, ev)
	wo.spent = append(wo.spent, time.Since(began))
	for _, ef := range effects {
		wo.perform(ho, ef)
	}
	if ho.core.Soon() && !ho.soon {
		ho.soon = true
		wo.after(soonTime, func() {
			ho.soon = false
			wo.give(ho, domain.Prompted{})
		})
	}
}

func (wo *world) perform(ho *holder, ef domain.Effect) {
	switch ef := ef.(type) {
	case domain.Commit:
		wo.after(storeTime, func() { wo.commit(ho, ef) })
	case domain.Look:
		wo.look(ho, ef)
	case domain.Start:
		wo.noteStart(ef.Worker)
		wo.call(ho, ef.Worker.ID, func() error { return wo.fleet.Start(wo.now, ef.Worker.ID, ef.Request) },
			func(err error) domain.Event { return domain.Started{Call: ef, Err: err} })
	case domain.Stop:
		wo.call(ho, ef.Worker.ID, func() error { return wo.fleet.Stop(wo.now, ef.Worker.ID, ef.Request) },
			func(err error) domain.Event { return domain.Stopped{Call: ef, Err: err} })
	case domain.Advise:
		wo.advise(ho, ef)
	case domain.Noted:
		wo.notes = append(wo.notes, ef)
		wo.log = append(wo.log, fmt.Sprintf("%s token %d %+v", wo.now.Format("05.000"), ho.token, ef))
	case domain.Waits:
		wo.waits = append(wo.waits, ef)
	case domain.Evacuation:
		wo.left = append(wo.left, ef)
	case domain.Suspects:
		wo.suspects = append(wo.suspects, ef)
	case domain.Resign:
		ho.dead = true
	}
}

// advise answers as the service does that knows which workers a queue allows.
func (wo *world) advise(ho *holder, ef domain.Advise) {
	wo.advised++
	ad := runner.Advice{Tickets: map[string]string{}, ValidFor: 3 * time.Second}
	for _, id := range ef.Request.Workers {
		if text, good := wo.tickets[ef.Request.Job][id]; good {
			ad.Tickets[id] = text
		}
	}
	wo.after(100*time.Millisecond, func() { wo.give(ho, domain.Advised{Call: ef, Advice: ad}) })
}

// commit writes records if the holder is the present one.
func (wo *world) commit(ho *holder, cm domain.Commit) {
	if ho.dead {
		return
	}
	if ho.cut {
		wo.after(commitRetry, func() { wo.commit(ho, cm) })
		return
	}
	if ho.token != wo.token {
		ho.dead = true
		return
	}
	for _, rc := range cm.Records {
		wo.records[rc.ID] = rc
		if _, ended := wo.ends[rc.ID]; rc.State.Final() && !ended {
			wo.ends[rc.ID] = wo.now
		}
	}
	if cm.Waiting != nil {
		wo.waiting, wo.stayed = cm.Waiting.Queues, cm.Waiting.Left
	}
	took := storeTime + time.Duration(wo.rng.Int64N(int64(5*storeTime)))
	wo.after(took, func() { wo.give(ho, domain.Committed{Seq: cm.Seq}) })
}

const commitRetry = 200 * time.Millisecond

// call makes a call to a worker, with the faults of the world.
func (wo *world) call(ho *holder, id string, do func() error, outcome func(error) domain.Event) {
	fate := wo.rng.Float64()
	lost := func() { wo.after(callTimeout, func() { wo.give(ho, outcome(runner.ErrLost)) }) }
	fa := wo.faults
	switch {
	case wo.silent[id], fate < fa.drop:
		lost()
	case fate < fa.drop+fa.late:
		// The worker has the call, and loses it with its life.
		born := wo.workers[id].Born
		wo.after(time.Duration(2+10*wo.rng.Float64())*time.Second, func() {
			if wo.workers[id].Born == born {
				_ = do()
			}
		})
		lost()
	case fate < fa.drop+fa.late+fa.lost:
		wo.after(hop, func() { _ = do() })
		lost()
	default:
		wo.after(hop, func() {
			err := do()
			wo.after(hop, func() { wo.give(ho, outcome(err)) })
		})
	}
}

// look makes a look, which waits for an end in steps.
func (wo *world) look(ho *holder, ef domain.Look) {
	id := ef.Worker.ID
	rq := ef.Request
	until := wo.now.Add(rq.Wait)
	fail := func(err error) { wo.give(ho, domain.Looked{Call: ef, Err: err}) }
	var try func()
	try = func() {
		if wo.silent[id] {
			wo.after(callTimeout, func() { fail(runner.ErrLost) })
			return
		}
		lo, err := wo.fleet.Look(wo.now, id, rq)
		rq.Seen, rq.Deadline = 0, 0 // these count when the call arrives
		if err == nil && len(lo.Ended) == 0 && wo.now.Before(until) {
			wo.after(50*time.Millisecond, try)
			return
		}
		wo.after(hop, func() {
			if err != nil {
				fail(err)
				return
			}
			wo.give(ho, domain.Looked{Call: ef, Look: lo})
		})
	}
	wo.after(hop, try)
}

func (wo *world) after(d time.Duration, do func()) {
	wo.order++
	heap.Push(&wo.queue, event{at: wo.now.Add(d), order: wo.order, do: do})
}

// run lets time pass.
func (wo *world) run(d time.Duration) {
	until := wo.now.Add(d)
	for len(wo.queue) > 0 && !wo.queue[0].at.After(until) {
		ev := heap.Pop(&wo.queue).(event)
		wo.now = ev.at
		wo.fleet.Advance(wo.now)
		ev.do()
	}
	wo.now = until
	wo.fleet.Advance(wo.now)
}

// state returns what the store says of a job.
func (wo *world) state(id string) batch.State {
	if rc, ok := wo.records[id]; ok {
		return rc.State
	}
	return batch.Queued
}

// endOf returns when a job was first shown to have ended, or now.
func (wo *world) endOf(id string) time.Time {
	if at, ok := wo.ends[id]; ok {
		return at
	}
	return wo.now
}

// stops counts the attempts of a job that were stopped.
func (wo *world) stops(id string) int {
	n := 0
	for _, no := range wo.notes {
		if no.Decision == "stops" && no.Job == id {
			n++
		}
	}
	return n
}

// took returns how long a job has taken from its submission to its end.
func (wo *world) took(id string) time.Duration {
	return wo.endOf(id).Sub(wo.jobs[id].Accepted.Add(-wo.skew))
}

// check returns what is wrong: broken rules, and jobs whose shown state does not
// agree with what has run.
func (wo *world) check() []string {
	bad := slices.Clone(wo.fleet.Broken)
	for _, id := range wo.accepts {
		jb := wo.jobs[id]
		if wo.state(id) != batch.Done {
			continue
		}
		for oc := range jb.Occurrences() {
			for at, step := range jb.Steps {
				ti := batch.TaskID{Job: id, Occurrence: oc, Step: at}
				if !step.Lasting && !wo.fleet.Done(ti) {
					bad = append(bad, "job "+id+" is shown as done, and "+ti.String()+" is not")
				}
			}
		}
	}
	return bad
}

func (wo *world) tail() string {
	return strings.Join(wo.log[max(0, len(wo.log)-60):], "\n")
}
