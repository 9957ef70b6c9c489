package domain

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/batch"
	"github.com/cicadawharf/cicadawharf/internal/launch"
	"github.com/cicadawharf/cicadawharf/internal/runner"
)

type (
	// Config holds the stored state and the settings from which New constructs
	// a Core.
	Config struct {
		Token          int64 // fencing token (the epoch in package sched); larger than that of every earlier term
		Policy         *batch.Policy
		Jobs           []batch.Job
		Cancelled      []string // IDs of the jobs whose cancellation was requested
		Records        []batch.Record
		Workers        []runner.Worker
		EvacuatedZones []string // availability zones to be evacuated
		Cores          float64  // CPU cores available to the scheduler; zero if unknown
		// MinMoveRunTime is the remaining run time above which work with
		// checkpoints is moved out of evacuated zones.
		MinMoveRunTime time.Duration
		// FairShares orders work of equal urgency by how far its workspace is
		// below its fair share.
		FairShares bool
		// StoreReturnedAt is when the store last responded again after an outage; zero
		// if there was none.
		StoreReturnedAt time.Time
		// FormerBounded says that the predecessor bounds its leases on workers by
		// maxGrantTime. Schedulers of former versions don't.
		FormerBounded bool
		StateLimit    int64 // bytes that the jobs may need in memory, see batch.StateLimit; zero if unknown
	}

	// Core is the state of a scheduling domain during one term of leadership.
	// It is not safe for concurrent use.
	Core struct {
		token                int64
		tokens               fenceTokens
		formerWorkers        map[string]formerWorker // workers that were removed, by ID
		beganAt              time.Time
		formerLeasesEnd      time.Time // when the leases of earlier terms have expired
		leaseConfirmedAt     time.Time // see ConfirmLease; zero if the scheduler's own lease is not known
		policy               *batch.Policy
		jobs                 map[string]*job
		arrivals             []*job // in order of acceptance
		nodes                map[string]*node
		sortedNodes          []*node              // by ID
		addresses            map[string][]*node   // nodes by address
		evacuatedZones       map[string]bool      // availability zones to be evacuated
		drainDeadlines       map[string]time.Time // of workers to be drained for maintenance, by ID
		evacuation           evacuationState
		storeReturnedAt      time.Time      // see Config
		unsavedEnds          map[*node]bool // nodes with ends that are not in the store yet
		pollCandidates       []*node        // nodes to be polled if their next poll is due; may contain duplicates
		changed              map[*unit]bool // units to be evaluated
		claimed              []*unit        // units with claims on nodes; some may have been released since
		calls                launch.Ledger  // that start attempts, as long as they matter
		callsPrunedAt        time.Time
		repeats              []*run // whose starts are to be sent again once the store names them; see recordRepeat
		ends                 endCounts
		watched              []*unit // waiting units of which starts may take effect, see bound.go; some may have been placed since
		passDue              bool    // a placement pass is to follow as soon as passInterval permits
		lastPass             time.Time
		awaitedAt            int                   // index in sortedNodes, see takeoverDone
		rounds               rounds                // of passes
		passes               int                   // made in this term
		steps                int64                 // see Steps
		passTime             time.Duration         // of recent passes, zero if unknown; see ObservePass
		lateUntil            time.Time             // see isLate; zero if events are in time
		idleReservations     map[string]time.Time  // see updateIdleReservations; by service
		standings            map[standKey]standing // what stands still although there is room for it
		standUnits           []standUnit           // that could end these standstills, as of the last search
		standstillsCheckedAt time.Time
		groupCount           int     // number of groups in the last pass
		coreFraction         float64 // CPU cores available to the scheduler, at most 1; zero if unknown
		backlogReportedAt    time.Time
		backlogged           bool // some units waited at the last report
		holdsReportedAt      time.Time
		holding              bool               // some jobs stood still at the last report
		heldSince            map[*job]time.Time // since when jobs stand still
		stuckStopsCheckedAt  time.Time          // when unconfirmed stops were last searched for
		queueUsage           map[string]usage   // by queue; no entry if nothing of the queue runs
		detector             failureDetector
		fair                 *fairness
		fairShares           bool // see Config
		commits              commitQueue
		pacer                pacer
		silences             map[string]silence // of workers, by ID
		openLosses           openLosses
		adviceCalls          int // advice calls in flight
		effects              []Effect
		stateLimit           int64 // see Config
		maxUnits             int   // held in memory, beyond which no further occurrence is opened
		stateReportedAt      time.Time
		lastState            StateReport
		resigned             bool // leadership was lost
	}
)

// New returns a core that has not polled any worker yet.
func New(now time.Time, cf Config) *Core {
	co := &Core{
		token:        cf.Token,
		tokens:       fenceTokens{newest: cf.Token, used: cf.Token},
		beganAt:      now,
		coreFraction: min(1, cf.Cores),
		policy:       cf.Policy,
		evacuation:   evacuationState{minMoveRunTime: cf.MinMoveRunTime},
		jobs:         map[string]*job{},
		nodes:        map[string]*node{},
		addresses:    map[string][]*node{},

		formerWorkers: map[string]formerWorker{},

		changed:     map[*unit]bool{},
		unsavedEnds: map[*node]bool{},
		queueUsage:  map[string]usage{},
		detector:    newFailureDetector(),
		fair:        newFairness(),
		fairShares:  cf.FairShares,
		commits:     newCommitQueue(),
		pacer:       newPacer(cf.Cores),
		silences:    map[string]silence{},
		openLosses:  newOpenLosses(),

		idleReservations: map[string]time.Time{},

		storeReturnedAt: cf.StoreReturnedAt,
		stateLimit:      cmp.Or(cf.StateLimit, batch.StateLimit(0)),
	}
	co.maxUnits = batch.MaxUnits(co.stateLimit)
	co.rounds = rounds{1, 1}
	co.formerLeasesEnd = now.Add(unboundedLeaseTime)
	if cf.FormerBounded {
		co.formerLeasesEnd = now.Add(formerLeaseTime)
	}
	for _, wk := range cf.Workers {
		co.listWorker(now, wk)
	}
	if len(cf.EvacuatedZones) > 0 {
		co.setEvacuatedZones(cf.EvacuatedZones)
	}
	for _, jb := range cf.Jobs {
		co.addJob(newJob(jb, now.Add(-ageOf(now, jb))))
	}
	slices.SortFunc(co.arrivals, compareJobs)
	for _, rc := range cf.Records {
		if jb, ok := co.jobs[rc.ID]; ok {
			co.restoreRecord(now, jb, rc)
		}
	}
	co.restoreGuaranteeUsage()
	for _, id := range cf.Cancelled {
		co.cancelJob(now, id)
	}
	co.passDue = true
	return co
}

// Handle processes one event and the work that it causes or that was deferred,
// and returns the effects to be carried out.
func (co *Core) Handle(now time.Time, ev Event) []Effect {
	if co.resigned {
		return nil
	}
	co.examine(1)
	switch ev := ev.(type) {
	case Configured:
		co.policy = ev.Policy
		co.recountUsage()
		co.passDue = true
	case Accepted:
		co.acceptJob(now, ev.Job)
	case CancelRequested:
		co.cancelJob(now, ev.ID)
	case Listed:
		co.listWorker(now, ev.Worker)
	case Unlisted:
		co.unlistWorker(now, ev.ID)
	case StoreReturned:
		co.storeReturnedAt = now
	case EvacuationSet:
		co.setEvacuatedZones(ev.Zones)
	case DrainRequested:
		co.setDrainDeadlines(now, ev.By)
	case WorkerDown:
		co.workerDown(now, ev.Worker)
	case Polled, Started, Unanswered, Answered, Stopped, Advised, Committed:
		co.handleOutcome(now, ev)
	case Ticked:
		co.tick(now)
	case Prompted:
	}
	co.settle(now)
	effects := co.effects
	co.effects = nil
	return effects
}

// handleOutcome processes the outcome of an effect.
func (co *Core) handleOutcome(now time.Time, ev Event) {
	switch ev := ev.(type) {
	case Polled:
		co.handlePoll(now, ev)
	case Started:
		co.handleStart(now, ev)
	case Unanswered:
		co.handleUnanswered(now, ev)
	case Answered:
		co.handleAnswered(ev)
	case Stopped:
		co.handleStop(now, ev)
	case Advised:
		co.handleAdvice(now, ev)
	case Committed:
		co.handleCommit(now, ev)
	}
}

// NeedsTicks reports whether any state depends on the passage of time, so that
// frequent Ticked events are needed.
func (co *Core) NeedsTicks() bool {
	if len(co.commits.dirty) > 0 || len(co.commits.inFlight) > 0 {
		return true
	}
	for _, jb := range co.jobs {
		if !jb.state.Final() {
			return true
		}
	}
	for _, nd := range co.nodes {
		if len(nd.runs) > 0 || !nd.listed {
			return true
		}
	}
	return false
}

// ObservePass tells the core how long the last placement pass has taken, from the event
// that has caused it to its effects.
func (co *Core) ObservePass(took time.Duration) {
	if co.passTime == 0 {
		co.passTime = took
	}
	co.passTime += (took - co.passTime) / passTimeWeight
}

// ObserveWait tells the core how long the event that it is passed next has waited.
func (co *Core) ObserveWait(now time.Time, waited time.Duration) {
	if waited >= lateEventTime {
		co.lateUntil = now.Add(lateMemory)
	} else {
		co.lateUntil = time.Time{}
	}
}

// isLate reports whether events wait for so long that they go before most passes.
func (co *Core) isLate(now time.Time) bool { return now.Before(co.lateUntil) }

// passInterval returns the minimum time between the beginnings of two placement
// passes, so that they leave time for other work: a multiple of what passes take on this
// host at present. While events are late, they go before most passes: what workers have
// said keeps leases and gangs alive, and a pass makes more calls.
func (co *Core) passInterval(now time.Time) time.Duration {
	if co.isLate(now) {
		return latePassInterval
	}
	took := co.passTime
	if took == 0 {
		took = co.estimatePass()
	}
	return minPassInterval + min(maxPassPause, took*passPauseFactor)
}

// estimatePass returns the time of a pass that was not measured: it grows with the number
// of groups and nodes that are examined, and is longer on hosts with less than one core.
func (co *Core) estimatePass() time.Duration {
	work := time.Duration(co.groupCount)*passTimePerGroup + time.Duration(len(co.nodes))*passTimePerNode
	if co.coreFraction > 0 {
		work = time.Duration(float64(work) / co.coreFraction)
	}
	return work
}

// NeedsPrompt reports whether work was deferred by a few milliseconds, so that
// a Prompted event is needed.
func (co *Core) NeedsPrompt() bool {
	return co.passDue || ((len(co.commits.dirty) > 0 || co.tokens.wanted) && co.commits.canCommit())
}

// Passes returns the number of placement passes made so far.
func (co *Core) Passes() int { return co.passes }

// Steps returns the work done so far, as the number of workers, runs, jobs and units that
// were examined, and of events.
func (co *Core) Steps() int64 { return co.steps }

// examine counts the examination of some workers, runs, jobs or units.
func (co *Core) examine(n int) { co.steps += int64(n) }

// settle processes the consequences of an event: it evaluates changed units,
// places waiting ones, and emits the due polls and commits.
func (co *Core) settle(now time.Time) {
	co.evaluateHealthNow(now)
	co.evaluateChanged(now)
	if co.passDue && now.Sub(co.lastPass) >= co.passInterval(now) && co.takeoverDone(now) {
		co.passDue = false
		if co.detector.due {
			co.evaluateHealth(now)
		}
		co.lastPass = now
		co.passes++
		co.placeWaiting(now)
		co.evaluateChanged(now)
	}
	co.sendQueuedStarts(now)
	co.evaluateChanged(now)
	co.sendPolls(now)
	co.flush(now)
}

func (co *Core) evaluateChanged(now time.Time) {
	for len(co.changed) > 0 {
		units := slices.SortedFunc(maps.Keys(co.changed), compareUnits)
		clear(co.changed)
		co.examine(len(units))
		for _, un := range units {
			co.evaluate(now, un)
		}
	}
}

// tick runs all checks that depend on the passage of time, and makes a pass
// due.
func (co *Core) tick(now time.Time) {
	for _, nd := range co.nodesByID() {
		co.examine(1 + len(nd.runs))
		co.expireLeases(now, nd)
		co.retryStops(now, nd)
		co.stopHung(now, nd)
		co.drainNode(now, nd)
		nd.expireCold(now)
	}
	co.evaluateHealth(now)
	co.reportHealth(now)
	co.reportState(now)
	co.pollCandidates = append(co.pollCandidates[:0], co.nodesByID()...)
	co.reportEvacuation(now)
	co.forgetEnded(now)
	co.forgetSilences(now)
	co.forgetRemoved(now)
	co.pruneCalls(now)
	co.reportEnds(now)
	co.forgetOpenLosses(now)
	co.reportStuckStops(now)
	co.passDue = true
}

// forgetEnded drops jobs that ended more than endedJobRetention ago.
func (co *Core) forgetEnded(now time.Time) {
	co.arrivals = slices.DeleteFunc(co.arrivals, func(jb *job) bool {
		old := jb.state.Final() && jb.savedVersion == jb.version && now.Sub(jb.endedAt) > endedJobRetention
		if old {
			delete(co.jobs, jb.ID)
			co.emit(Forget{ID: jb.ID})
		}
		return old
	})
}

func (co *Core) addJob(jb *job) {
	co.jobs[jb.ID] = jb
	co.arrivals = append(co.arrivals, jb)
}

// nodesByID returns the nodes sorted by ID.
func (co *Core) nodesByID() []*node { return co.sortedNodes }

// takeoverDone reports whether every listed worker has been polled, or
// takeoverTimeout has passed. Until then it is unknown what runs where, and
// nothing is placed.
func (co *Core) takeoverDone(now time.Time) bool {
	if now.Sub(co.beganAt) > takeoverTimeout {
		return true
	}
	// From the worker that was awaited last, since this is asked after each reply.
	for i := range co.sortedNodes {
		at := (co.awaitedAt + i) % len(co.sortedNodes)
		co.examine(1)
		if co.sortedNodes[at].isAwaitedAtTakeover() {
			co.awaitedAt = at
			return false
		}
	}
	return true
}

// isAwaitedAtTakeover reports whether no poll of a listed worker has returned yet.
func (nd *node) isAwaitedAtTakeover() bool {
	return nd.listed && nd.lastResponse.IsZero() && nd.lastFailure.IsZero()
}

// takeoverTimeout bounds how long placement waits for the first poll of every
// worker.
const takeoverTimeout = 600 * time.Millisecond

// resign ends the core after another one has taken over.
func (co *Core) resign(reason string) {
	co.resigned = true
	co.emit(Resign{Reason: reason})
}

func (co *Core) emit(ef Effect) { co.effects = append(co.effects, ef) }

// markChanged marks a unit for evaluation; nil, for a run without a unit, is
// ignored.
func (co *Core) markChanged(un *unit) {
	if un != nil {
		co.changed[un] = true
	}
}
