package sched_test

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/fakes/wksim"
	"github.com/cicadawharf/cicadawharf/internal/jobs"
	"github.com/cicadawharf/cicadawharf/internal/plat"
	"github.com/cicadawharf/cicadawharf/internal/sched"
	"github.com/cicadawharf/cicadawharf/internal/worker"
	"github.com/cicadawharf/cicadawharf/pkg/codes"
	"github.com/cicadawharf/cicadawharf/pkg/spec"
)

type (
	// simulation runs cores against fake workers and a fake store in virtual
	// time. All events are in one ordered list, so runs are deterministic.
	simulation struct {
		now           time.Time
		events        []simEvent // sorted by time
		order         int        // number of events scheduled so far
		decl          *spec.Declarations
		hosts         []plat.Host
		tables        map[string]*wksim.Table
		partitioned   map[string]bool // workers that can't be reached
		losesReplies  map[string]bool // workers whose replies are lost
		unlisted      string          // worker missing from the platform's list
		slow          map[string]bool // workers that handle calls after slowDelay and whose replies are lost
		store         fakeStore
		leaders       []*leader
		lastRequestID sched.RequestID
		answers       map[sched.RequestID]sched.Answer
		submitted     map[sched.RequestID]string // ID of the job by request
		decisions     []sched.LogDecision
	}

	// attemptID identifies an attempt of a job. Two schedulers may begin attempts
	// with the same number under different epochs.
	attemptID struct {
		attempt int
		epoch   int64
	}

	// simEvent is a function to be run at a simulated time.
	simEvent struct {
		at    time.Time
		order int // order of insertion, for events at the same time
		run   func()
	}

	// fakeStore is the store: the records of each bucket, and the epoch that may
	// write them.
	fakeStore struct {
		down         bool
		losesReplies bool // writes take effect, but their outcome is reported as unknown
		epoch        int64
		buckets      [4][]jobs.Record
		writes       int
	}

	// leader is a core with its epoch. While it is frozen, its events are
	// deferred.
	leader struct {
		core     *sched.Core
		epoch    int64
		frozen   bool
		stopped  bool
		deferred []sched.Event // received while it was frozen
		clocks   map[string]clockSample
	}

	// clockSample is the worker's clock in its last reply, and when that came.
	clockSample struct {
		incarnation string
		clock       time.Duration
		at          time.Time
	}
)

const (
	linkDelay     = 2 * time.Millisecond
	writeDelay    = 5 * time.Millisecond
	callTimeout   = time.Second
	slowDelay     = 7 * time.Second
	renewInterval = time.Second
	tickInterval  = 250 * time.Millisecond
	testZone      = "z1"
)

// newSimulation returns a zone with racks of four workers with eight
// accelerators each, and a leader.
func newSimulation(racks int, workspaces ...spec.Workspace) *simulation {
	sim := &simulation{
		now: time.Unix(1_800_000_000, 0), tables: map[string]*wksim.Table{},
		partitioned: map[string]bool{}, losesReplies: map[string]bool{}, slow: map[string]bool{},
		answers: map[sched.RequestID]sched.Answer{}, submitted: map[sched.RequestID]string{},
	}
	zn := spec.Zone{Name: testZone, Region: "r1"}
	for ra := range racks {
		rack := spec.Rack{Name: fmt.Sprintf("r%d", ra+1), Workers: 4, Accelerators: 8, Cores: 64}
		zn.Racks = append(zn.Racks, rack)
		for i := range rack.Workers {
			name := fmt.Sprintf("%s-%s-%d", zn.Name, rack.Name, i+1)
			sim.hosts = append(sim.hosts, plat.Host{Name: name, Kind: plat.KindWorker, Address: name, State: plat.StateLive, Rack: rack.Name, Accelerators: 8})
			sim.tables[name] = wksim.NewTable(wksim.TableConfig{Worker: name, Incarnation: "b1", Accelerators: 8})
		}
	}
	sim.decl = &spec.Declarations{Zones: []spec.Zone{zn}, Workspaces: workspaces}
	sim.takeOver()
	return sim
}

// after schedules a function to run after a duration.
func (sim *simulation) after(d time.Duration, fn func()) {
	sim.order++
	se := simEvent{sim.now.Add(d), sim.order, fn}
	at, _ := slices.BinarySearchFunc(sim.events, se, func(a, b simEvent) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.order, b.order))
	})
	sim.events = slices.Insert(sim.events, at, se)
}

// run advances the time and runs the events that are due.
func (sim *simulation) run(d time.Duration) {
	end := sim.now.Add(d)
	for {
		if len(sim.events) == 0 || sim.events[0].at.After(end) {
			break
		}
		se := sim.events[0]
		sim.events = sim.events[1:]
		sim.now = se.at
		se.run()
	}
	sim.now = end
}

// runEvents runs the next n events.
func (sim *simulation) runEvents(n int) {
	for range n {
		se := sim.events[0]
		sim.events = sim.events[1:]
		sim.now = se.at
		se.run()
	}
}

// takeOver elects a new leader. Earlier leaders keep running until they resign.
func (sim *simulation) takeOver() *leader {
	sim.store.epoch++
	ld := &leader{epoch: sim.store.epoch, clocks: map[string]clockSample{}}
	var rcs []jobs.Record
	for _, bu := range sim.store.buckets {
		rcs = append(rcs, bu...)
	}
	ld.core = sched.New(sim.now, sched.Config{
		Zone: testZone, Epoch: ld.epoch, Buckets: len(sim.store.buckets), Records: rcs, Declarations: sim.decl,
	})
	sim.leaders = append(sim.leaders, ld)
	listed := slices.DeleteFunc(slices.Clone(sim.hosts), func(hs plat.Host) bool { return hs.Name == sim.unlisted })
	sim.dispatch(ld, sched.HostsListed{Hosts: listed})
	for _, hs := range sim.hosts {
		sim.renew(ld, hs.Name)
	}
	sim.tick(ld)
	return ld
}

func (sim *simulation) current() *leader { return sim.leaders[len(sim.leaders)-1] }

func (sim *simulation) tick(ld *leader) {
	if ld.stopped {
		return
	}
	sim.dispatch(ld, sched.Ticked{})
	sim.after(tickInterval, func() { sim.tick(ld) })
}

// dispatch passes an event to a core and carries out its effects.
func (sim *simulation) dispatch(ld *leader, ev sched.Event) {
	if ld.stopped {
		return
	}
	if ld.frozen {
		ld.deferred = append(ld.deferred, ev)
		return
	}
	for _, ef := range ld.core.Handle(sim.now, ev) {
		switch ef := ef.(type) {
		case sched.Write:
			sim.after(writeDelay, func() { sim.applyWrite(ld, ef) })
		case sched.Send:
			sim.call(ld, ef.Worker, ef.Commands)
		case sched.Answer:
			sim.answers[ef.RequestID] = ef
		case sched.LogDecision:
			sim.decisions = append(sim.decisions, ef)
		case sched.Resign:
			ld.stopped = true
		}
	}
}

// resume unfreezes a core and passes it the deferred events.
func (sim *simulation) resume(ld *leader) {
	deferred := ld.deferred
	ld.deferred = nil
	ld.frozen = false
	for _, ev := range deferred {
		sim.dispatch(ld, ev)
	}
}

func (sim *simulation) applyWrite(ld *leader, ef sched.Write) {
	result := sched.WriteSucceeded
	switch {
	case sim.store.down:
		result = sched.WriteFailed
	case ld.epoch != sim.store.epoch:
		result = sched.WriteConflict
	default:
		sim.store.buckets[ef.Bucket] = slices.Clone(ef.Jobs)
		sim.store.writes++
		if sim.store.losesReplies {
			result = sched.WriteUnknown
		}
	}
	sim.after(writeDelay, func() {
		sim.dispatch(ld, sched.WriteDone{Bucket: ef.Bucket, Seq: ef.Seq, Result: result})
	})
}

// renew periodically renews the leases on one worker.
func (sim *simulation) renew(ld *leader, name string) {
	if ld.stopped {
		return
	}
	if !ld.frozen {
		sim.call(ld, name, nil)
	}
	sim.after(renewInterval, func() { sim.renew(ld, name) })
}

func (sim *simulation) call(ld *leader, name string, cms []worker.Command) {
	rq := worker.Request{Epoch: ld.epoch, Version: -1, Commands: cms}
	if cs := ld.clocks[name]; cs.incarnation != "" {
		rq.Incarnation = cs.incarnation
		rq.Sent = cs.clock + sim.now.Sub(cs.at)
		if sim.now.Sub(cs.at) < sched.MaxReplyAge {
			rq.Lease = sched.TaskLeaseTime
		}
	}
	delay := linkDelay
	if sim.slow[name] {
		delay = slowDelay
	}
	sim.after(delay, func() {
		if sim.partitioned[name] {
			sim.after(callTimeout, func() { sim.dispatch(ld, sched.WorkerCallFailed{Worker: name, Commands: cms}) })
			return
		}
		reply, err := sim.tables[name].Apply(sim.now, rq)
		if sim.losesReplies[name] || sim.slow[name] {
			sim.after(callTimeout, func() { sim.dispatch(ld, sched.WorkerCallFailed{Worker: name, Commands: cms}) })
			return
		}
		if err != nil && reply.Epoch <= ld.epoch {
			panic(err)
		}
		sim.after(linkDelay, func() {
			ld.clocks[name] = clockSample{reply.Incarnation, reply.Clock, sim.now}
			sim.dispatch(ld, sched.WorkerReplied{Worker: name, Reply: reply, Commands: cms})
		})
	})
}

// submit submits a job to the current leader.
func (sim *simulation) submit(sp jobs.Spec) sched.RequestID {
	sim.lastRequestID++
	sim.submitted[sim.lastRequestID] = sp.ID
	sim.dispatch(sim.current(), sched.Submitted{RequestID: sim.lastRequestID, Spec: sp})
	return sim.lastRequestID
}

func (sim *simulation) cancel(id string) sched.RequestID {
	sim.lastRequestID++
	sim.dispatch(sim.current(), sched.CancelRequested{RequestID: sim.lastRequestID, ID: id})
	return sim.lastRequestID
}

// record returns the record of a job in the store.
func (sim *simulation) record(id string) (jobs.Record, bool) {
	for _, bu := range sim.store.buckets {
		for _, rc := range bu {
			if rc.ID == id {
				return rc, true
			}
		}
	}
	return jobs.Record{}, false
}

// runs returns every task run that was started on any worker.
func (sim *simulation) runs() []wksim.Run {
	var rus []wksim.Run
	for _, hs := range sim.hosts {
		tb := sim.tables[hs.Name]
		tb.Advance(sim.now)
		rus = append(rus, tb.Runs()...)
	}
	return rus
}

// runsOf returns the task runs of one job.
func (sim *simulation) runsOf(id string) []wksim.Run {
	return slices.DeleteFunc(sim.runs(), func(ru wksim.Run) bool { return ru.Task.Job != id })
}

// heal ends every fault, elects a leader if there is none, and advances the
// time.
func (sim *simulation) heal(d time.Duration) {
	clear(sim.partitioned)
	clear(sim.losesReplies)
	clear(sim.slow)
	sim.store.down = false
	sim.store.losesReplies = false
	for _, tb := range sim.tables {
		tb.SetFailStarts(false)
		tb.SetDraining(false)
	}
	for _, ld := range sim.leaders {
		if ld.frozen {
			sim.resume(ld)
		}
	}
	if sim.current().stopped {
		sim.takeOver()
	}
	sim.run(d)
}

// checkInvariants returns the violated invariants.
func (sim *simulation) checkInvariants() []string {
	var violations []string
	rus := sim.runs()
	for _, ov := range wksim.Overlaps(rus) {
		violations = append(violations, fmt.Sprintf("duplicate run: %+v and %+v", ov.First, ov.Second))
	}
	byJob := map[string][]wksim.Run{}
	for _, ru := range rus {
		byJob[ru.Task.Job] = append(byJob[ru.Task.Job], ru)
	}
	for _, bu := range sim.store.buckets {
		for _, rc := range bu {
			violations = append(violations, sim.checkJob(rc, byJob[rc.ID])...)
		}
	}
	for rid, an := range sim.answers {
		id := sim.submitted[rid]
		if an.Err != nil && codes.Of(an.Err).Code.Class() == codes.NotRun && codes.Of(an.Err).Code != codes.KeyMismatch && len(byJob[id]) > 0 {
			violations = append(violations, fmt.Sprintf("the caller of job %s was told %v, but it ran", id, an.Err))
		}
		if _, ok := sim.record(id); id != "" && an.Err == nil && !ok {
			violations = append(violations, "accepted job is missing: "+id)
		}
	}
	return violations
}

// checkJob checks the record of a job against its task runs.
func (sim *simulation) checkJob(rc jobs.Record, rus []wksim.Run) []string {
	var violations []string
	attempts := map[attemptID][]wksim.Run{}
	for _, ru := range rus {
		at := attemptID{ru.Task.Attempt, ru.Epoch}
		attempts[at] = append(attempts[at], ru)
	}
	if !rc.Repeatable && !rc.Checkpoint && len(attempts) > 1 {
		violations = append(violations, fmt.Sprintf("job %s may not be repeated and ran %d times", rc.ID, len(attempts)))
	}
	complete := 0
	for at, ofAttempt := range attempts {
		violations = append(violations, sim.checkGang(rc, at, ofAttempt)...)
		if succeeded(ofAttempt) == rc.Shape.Tasks {
			complete++
		}
	}
	if rc.State != jobs.Ended {
		return violations
	}
	switch cl := rc.Code.Class(); {
	case cl == codes.NotRun && len(rus) > 0:
		violations = append(violations, fmt.Sprintf("job %s ended %v but ran", rc.ID, rc.Code))
	case cl == codes.Done && (complete == 0 || complete > 1 && !rc.Repeatable):
		// A worker that restarts may lose the only record of a success; a
		// repeatable job then runs again.
		violations = append(violations, fmt.Sprintf("job %s ended %v after %d attempts of which all tasks succeeded", rc.ID, rc.Code, complete))
	case cl == codes.Failed && len(rus) == 0:
		violations = append(violations, fmt.Sprintf("job %s ended %v but never ran", rc.ID, rc.Code))
	}
	return violations
}

// checkGang checks that no task of an incomplete gang ran for longer than its
// lease allows.
func (sim *simulation) checkGang(rc jobs.Record, attempt attemptID, rus []wksim.Run) []string {
	const bound = sched.TaskLeaseTime + 10*time.Second
	if len(rus) == rc.Shape.Tasks {
		return nil
	}
	for _, ru := range rus {
		end := ru.Ended
		if end.IsZero() {
			end = sim.now
		}
		if end.Sub(ru.Started) > bound {
			return []string{fmt.Sprintf("job %s attempt %v ran %d of %d tasks for %v", rc.ID, attempt, len(rus), rc.Shape.Tasks, end.Sub(ru.Started))}
		}
	}
	return nil
}

func succeeded(rus []wksim.Run) int {
	n := 0
	for _, ru := range rus {
		if ru.Phase == worker.PhaseSucceeded {
			n++
		}
	}
	return n
}
