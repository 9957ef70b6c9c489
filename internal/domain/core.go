package domain

import (
	"maps"
	"slices"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/batch"
	"github.com/cicadawharf/cicadawharf/internal/runner"
)

type (
	// Config constructs a Core from what stands in the store.
	Config struct {
		Token     int64 // larger than that of every former core
		Policy    *batch.Policy
		Jobs      []batch.Job
		Cancelled []string
		Records   []batch.Record
		Workers   []runner.Worker
		Evacuated []string // availability zones that are to be emptied
		Cores     float64  // that the core may use; zero if that is unknown
		// Evacuate is from how much time left work with checkpoints is moved out
		// of these zones.
		Evacuate time.Duration
		// FairShares orders work of like urgency by how far its workspace is below
		// its fair share.
		FairShares bool
	}

	// Core is the state of a scheduling domain under one token. It is not safe
	// for concurrent use.
	Core struct {
		token             int64
		beganAt           time.Time
		policy            *batch.Policy
		jobs              map[string]*job
		arrivals          []*job // jobs as they came
		nodes             map[string]*node
		sortedNodes       []*node // nodes by ID
		addresses         map[string][]*node
		evacuated         map[string]bool // availability zones that are to be emptied
		evacuation        evacuationState // of these
		unacked           map[*node]bool  // nodes with ends that are not acknowledged
		pollDue           []*node         // nodes where a look may be due
		changed           map[*unit]bool  // to be evaluated
		claimed           []*unit         // that have claims on workers, or had them
		passDue           bool            // a placement pass is due
		lastPass          time.Time       // when the last one was
		waitingGroups     int             // ranks of units that waited then
		cores             float64
		backlogReportedAt time.Time        // when what waits was last told
		backlogged        bool             // something waited then
		overdueCheckedAt  time.Time        // when attempts that don't end were last looked for
		queueUsage        map[string]usage // by queue; none for a queue of which nothing runs
		detector          failureDetector
		fair              *fairness
		fairShares        bool // see Config
		commits           commitQueue
		adviceCalls       int // calls for advice under way
		effects           []Effect
		resigned          bool // resigned
	}
)

// New returns a core that has heard of no worker yet.
func New(now time.Time, cf Config) *Core {
	co := &Core{
		token: cf.Token, beganAt: now, cores: min(1, cf.Cores), policy: cf.Policy, evacuation: evacuationState{minRemaining: cf.Evacuate},
		jobs: map[string]*job{}, nodes: map[string]*node{}, changed: map[*unit]bool{},
		addresses: map[string][]*node{}, unacked: map[*node]bool{}, queueUsage: map[string]usage{}, detector: newFailureDetector(), fair: newFairness(), fairShares: cf.FairShares, commits: newCommitQueue(),
	}
	for _, wk := range cf.Workers {
		co.listWorker(now, wk)
	}
	if len(cf.Evacuated) > 0 {
		co.setEvacuated(cf.Evacuated)
	}
	for _, jb := range cf.Jobs {
		co.addJob(newJob(jb, now.Add(-ageOf(now, jb))))
	}
	slices.SortFunc(co.arrivals, compareJobs)
	for _, rc := range cf.Records {
		if jb, ok := co.jobs[rc.ID]; ok {
			co.adoptRecord(now, jb, rc)
		}
	}
	co.restoreGuarantees()
	for _, id := range cf.Cancelled {
		co.cancelJob(now, id)
	}
	co.passDue = true
	return co
}

// Handle takes one event and returns what is to be done. Prompted brings only the
// time.
func (co *Core) Handle(now time.Time, ev Event) []Effect {
	if co.resigned {
		return nil
	}
	switch ev := ev.(type) {
	case Configured:
		co.policy = ev.Policy
		co.recountUsage()
		co.passDue = true
	case Accepted:
		co.acceptJob(now, ev.Job)
	case CancelAsked:
		co.cancelJob(now, ev.ID)
	case Listed:
		co.listWorker(now, ev.Worker)
	case Unlisted:
		co.unlistWorker(now, ev.ID)
	case Evacuated:
		co.setEvacuated(ev.Zones)
	case Emptying:
		co.setDrainDeadlines(now, ev.By)
	case Downed:
		co.workerDown(now, ev.Worker)
	case Looked, Started, Stopped, Advised, Committed:
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

// handleOutcome takes the handleOutcome of an effect.
func (co *Core) handleOutcome(now time.Time, ev Event) {
	switch ev := ev.(type) {
	case Looked:
		co.handlePoll(now, ev)
	case Started:
		co.handleStart(now, ev)
	case Stopped:
		co.handleStop(now, ev)
	case Advised:
		co.handleAdvice(now, ev)
	case Committed:
		co.handleCommit(now, ev)
	}
}

// Busy tells whether something waits for time to pass.
func (co *Core) Busy() bool {
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

// passInterval is the least time between two rounds. It grows with what a round looks
// at, and is longer on a host that needs longer for it, so that rounds leave time
// for everything else.
func (co *Core) passInterval() time.Duration {
	work := time.Duration(co.waitingGroups)*passTimePerGroup + time.Duration(len(co.nodes))*passTimePerNode
	if co.cores > 0 {
		work = time.Duration(float64(work) / co.cores)
	}
	return minPassInterval + work*passPauseFactor
}

// Soon tells whether something waits for a few milliseconds to pass.
func (co *Core) Soon() bool {
	return co.passDue || (len(co.commits.dirty) > 0 && co.commits.canCommit())
}

// settle carries the consequences of an event to their end.
func (co *Core) settle(now time.Time) {
	if co.detector.due {
		co.evaluateHealth(now)
	}
	co.evaluateChanged(now)
	if co.passDue && now.Sub(co.lastPass) >= co.passInterval() && co.ready(now) {
		co.passDue = false
		co.lastPass = now
		co.placeWaiting(now)
		co.evaluateChanged(now)
	}
	co.sendPolls(now)
	co.flush(now)
}

func (co *Core) evaluateChanged(now time.Time) {
	for len(co.changed) > 0 {
		units := slices.SortedFunc(maps.Keys(co.changed), compareUnits)
		clear(co.changed)
		for _, un := range units {
			co.evaluate(now, un)
		}
	}
}

// tick looks again at everything that waits for time to pass.
func (co *Core) tick(now time.Time) {
	for _, nd := range co.nodesByID() {
		co.expireLeases(now, nd)
		co.retryStops(now, nd)
		co.moveStalled(now, nd)
		co.drainNode(now, nd)
		nd.expireCold(now)
	}
	co.evaluateHealth(now)
	co.reportSuspects(now)
	co.pollDue = append(co.pollDue[:0], co.nodesByID()...)
	co.reportEvacuation(now)
	co.forgetEnded(now)
	co.reportOverdue(now)
	co.passDue = true
}

// forgetEnded drops the jobs that ended long ago.
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

// nodesByID returns the nodes in the order of their IDs.
func (co *Core) nodesByID() []*node { return co.sortedNodes }

// ready tells whether enough workers have been heard to place work. Until
// then the takeover goes on, and what runs where is not known.
func (co *Core) ready(now time.Time) bool {
	if now.Sub(co.beganAt) > takeoverTimeout {
		return true
	}
	for _, nd := range co.nodes {
		if nd.listed && nd.lastResponse.IsZero() && nd.lastFailure.IsZero() {
			return false
		}
	}
	return true
}

// takeoverTimeout bounds how long placing waits for the first look at each
// worker.
const takeoverTimeout = 600 * time.Millisecond

func (co *Core) resign(reason string) {
	co.resigned = true
	co.emit(Resign{Reason: reason})
}

func (co *Core) emit(ef Effect) { co.effects = append(co.effects, ef) }

func (co *Core) markChanged(un *unit) {
	if un != nil {
		co.changed[un] = true
	}
}
