package sched

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/jobs"
	"github.com/cicadawharf/cicadawharf/internal/place"
	"github.com/cicadawharf/cicadawharf/internal/worker"
	"github.com/cicadawharf/cicadawharf/pkg/codes"
	"github.com/cicadawharf/cicadawharf/pkg/spec"
)

type (
	// Config constructs a Core.
	Config struct {
		Zone         string
		Epoch        int64
		Buckets      int           // number of buckets, among which the records are divided
		Records      []jobs.Record // loaded from the store under Epoch
		Declarations *spec.Declarations
	}

	// Core is the state of the scheduler of one availability zone for one
	// epoch. It is not safe for concurrent use.
	Core struct {
		zone         string
		epoch        int64
		startedAt    time.Time
		decl         *spec.Declarations
		jobs         map[string]*job         // by ID
		workers      map[string]*workerState // by name
		buckets      []bucket
		fleet        *place.Fleet    // nil if it has to be rebuilt
		fleetIndex   map[string]int  // index in the fleet by name of the worker
		placementDue bool            // a placement pass is due
		changed      map[string]bool // IDs of the jobs to be evaluated
		runTimes     runTimes
		effects      []Effect
		resigned     bool
		takeoverDone bool // every worker has replied or takeoverTimeout is over; placement has begun
	}

	// job is a record with the state that only this core keeps.
	job struct {
		rec              jobs.Record
		saved            jobs.Record // record in the store; its ID is empty if there is none
		version          int         // number of changes of rec, without those of only its detail
		savedVersion     int         // version of saved
		bucket           int
		fromEarlierEpoch bool              // loaded from the store; this core has neither begun nor ended an attempt since
		reserved         []bool            // by task: its worker has made the reservation
		succeeded        []bool            // tasks known to have succeeded, also after a restart of their worker
		startSent        bool              // commands to start tasks were sent
		beganAt          time.Time         // start of the attempt, or of this core for an attempt of an earlier one
		startDeadline    time.Time         // for the start of all tasks
		cause            cause             // why the attempt is stopped
		unit             int               // index of the guaranteed unit in use, or place.NoUnit
		unitWorkers      []int             // all workers reserved for the unit; valid for the current fleet
		pending          *pendingPlacement // nil unless victims are being stopped for the job
		notBefore        time.Time         // earliest time of the next placement
		avoid            []string          // names of workers not to be used by the next attempt
		failures         int               // attempts of the current step of which a task failed
		pendingRequests  []pendingRequest
		indeterminate    bool // it is unknown whether its first record is in the store
	}

	// cause is why an attempt is stopped. With requeue the job is queued again
	// if it may be repeated, and otherwise ends as interrupted. Without, it
	// ends with code.
	cause struct {
		code      codes.Code // not used with requeue
		requeue   bool
		preempted bool // stopped for other work or moved, so that a checkpoint is taken
		detail    string
	}

	// pendingPlacement is a placement reserved for a job while its victims are
	// being stopped.
	pendingPlacement struct {
		placement
		until time.Time // time at which it is dropped if victims are still running
	}

	// placement is where a gang is placed.
	placement struct {
		workers     []int
		unit        int
		unitWorkers []int // all workers reserved for the unit
	}

	// pendingRequest is a caller that waits for its request to be in the store.
	pendingRequest struct {
		id     RequestID
		cancel bool      // it asks to cancel the job, not to submit it
		until  time.Time // time at which the caller is answered even if the store has not responded
	}
)

// MaxAttempts bounds the attempts of a repeatable job whose gangs were
// interrupted by failures.
const MaxAttempts = 20

// New returns a core with the recorded jobs. It places no job before it has
// declarations and knows a worker, and all known workers have replied or
// takeoverTimeout is over.
func New(now time.Time, cf Config) *Core {
	co := &Core{
		zone: cf.Zone, epoch: cf.Epoch, startedAt: now, decl: cf.Declarations,
		jobs: map[string]*job{}, workers: map[string]*workerState{},
		buckets: make([]bucket, cf.Buckets), changed: map[string]bool{}, runTimes: runTimes{},
	}
	for _, rc := range cf.Records {
		jb := &job{rec: rc, saved: rc, bucket: co.bucketOf(rc.ID), unit: place.NoUnit, fromEarlierEpoch: true}
		jb.reserved = make([]bool, len(rc.Tasks))
		jb.succeeded = make([]bool, len(rc.Tasks))
		for i := range jb.reserved {
			jb.reserved[i] = true
		}
		jb.beganAt = now
		jb.startDeadline = now.Add(takeoverTimeout + startTimeout)
		if rc.State == jobs.Stopping {
			jb.cause = cause{requeue: true, detail: "was being stopped when the leadership changed"}
		}
		co.jobs[rc.ID] = jb
		co.expectWorkers(now, rc)
		if rc.Code == codes.JobDone {
			co.runTimes.observe(rc, rc.Ended.Sub(rc.Started))
		}
		co.changed[rc.ID] = true
	}
	return co
}

// Handle handles one event and returns the effects to be carried out.
func (co *Core) Handle(now time.Time, ev Event) []Effect {
	if co.resigned {
		return nil
	}
	switch ev := ev.(type) {
	case DeclarationsChanged:
		co.decl = ev.Declarations
		co.resetFleet()
	case HostsListed:
		co.updateWorkers(now, ev.Hosts)
	case Submitted:
		co.submit(now, ev)
	case CancelRequested:
		co.cancel(now, ev)
	case WorkerReplied:
		co.handleReply(now, ev)
	case WorkerCallFailed:
		co.handleCallFailure(now, ev)
	case WriteDone:
		co.handleWrite(now, ev)
	case Ticked:
		co.tick(now)
	}
	co.advance(now)
	effects := co.effects
	co.effects = nil
	return effects
}

// Get returns the record of a job, and whether one is in the store.
func (co *Core) Get(id string) (jobs.Record, bool) {
	jb, ok := co.jobs[id]
	if !ok || jb.saved.ID == "" {
		return jobs.Record{}, false
	}
	return jb.visible(), true
}

// List returns the stored records that match the filter, the oldest first.
func (co *Core) List(fi jobs.Filter) []jobs.Record {
	var rcs []jobs.Record
	for _, jb := range co.jobs {
		rc := jb.visible()
		if jb.saved.ID == "" || (fi.Workspace != "" && rc.Workspace != fi.Workspace) || (fi.Active && !rc.Active()) {
			continue
		}
		rcs = append(rcs, rc)
	}
	slices.SortFunc(rcs, func(a, b jobs.Record) int {
		if c := a.Submitted.Compare(b.Submitted); c != 0 {
			return c
		}
		return cmp.Compare(a.ID, b.ID)
	})
	return rcs
}

// Summary returns the present counts.
func (co *Core) Summary(now time.Time) Summary {
	sm := Summary{Epoch: co.epoch}
	for _, wst := range co.workers {
		if wst.usable(now) {
			sm.Workers++
		}
	}
	for _, jb := range co.jobs {
		switch jb.rec.State {
		case jobs.Queued:
			sm.Waiting++
		case jobs.Starting, jobs.Running, jobs.Stopping:
			sm.Running++
		}
	}
	if co.fleet != nil {
		sm.FreeAccelerators = co.fleet.FreeAccelerators()
	}
	return sm
}

// Summary holds the counts that the status of a zone shows.
type Summary struct {
	Epoch            int64
	Workers          int // usable ones
	FreeAccelerators int
	Waiting          int
	Running          int // starting, running or stopping
}

// visible returns the record that callers may see. They see the end of a job
// only once it is in the store.
func (jb *job) visible() jobs.Record {
	if jb.rec.State == jobs.Ended && jb.saved.State != jobs.Ended {
		return jb.saved.WithDetail("the end is being recorded")
	}
	return jb.rec
}

// advance evaluates changed jobs, places waiting ones, and emits commands and
// writes.
func (co *Core) advance(now time.Time) {
	co.evaluateChanged(now)
	if co.placementDue && co.finishTakeover(now) {
		co.placementDue = false
		co.placeWaiting(now)
		co.evaluateChanged(now)
	}
	co.sendCommands(now)
	co.flushBuckets(now)
}

// evaluateChanged evaluates changed jobs until no evaluation changes another one.
func (co *Core) evaluateChanged(now time.Time) {
	for len(co.changed) > 0 {
		ids := slices.Sorted(maps.Keys(co.changed))
		clear(co.changed)
		for _, id := range ids {
			if jb, ok := co.jobs[id]; ok {
				co.evaluate(now, jb)
			}
		}
	}
}

// tick checks everything that depends on time.
func (co *Core) tick(now time.Time) {
	for id, jb := range co.jobs {
		switch {
		case jb.rec.State != jobs.Ended && jb.rec.State != jobs.Queued, jb.pending != nil:
			co.changed[id] = true
		case jb.rec.State == jobs.Queued:
			co.placementDue = true
		case jb.isSaved() && now.Sub(jb.rec.Ended) > recordRetention:
			// Has the bucket written again, now without the record.
			co.markUnsaved(jb)
			delete(co.jobs, id)
		}
		co.expirePendingRequests(now, jb)
	}
	co.checkWorkers(now)
}

// resign ends the core after leadership was lost. The callers of pending requests
// are told that the outcome is unknown.
func (co *Core) resign(reason string) {
	co.resigned = true
	for _, jb := range co.jobs {
		for _, pr := range jb.pendingRequests {
			co.answerUnknown(jb, pr)
		}
		jb.pendingRequests = nil
	}
	co.emit(Resign{Reason: reason})
}

func (co *Core) emit(ef Effect) { co.effects = append(co.effects, ef) }

func (co *Core) markChanged(id string) { co.changed[id] = true }

// resetFleet has the fleet rebuilt at the next placement.
func (co *Core) resetFleet() {
	co.fleet = nil
	co.placementDue = true
}

// logDecision emits a decision about a job, with the workers of its attempt.
func (co *Core) logDecision(jb *job, decision, reason string) {
	ld := LogDecision{Job: jb.rec.ID, Workspace: jb.rec.Workspace, Decision: decision, Reason: reason, Attempt: jb.rec.Attempt}
	for _, ta := range jb.rec.Tasks {
		if len(ld.Workers) == 0 || ld.Workers[len(ld.Workers)-1] != ta.Worker {
			ld.Workers = append(ld.Workers, ta.Worker)
		}
	}
	co.emit(ld)
}

func (jb *job) taskID(at int) worker.TaskID {
	return worker.TaskID{Job: jb.rec.ID, Attempt: jb.rec.Attempt, Index: at}
}
