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
		token      int64
		began      time.Time
		policy     *batch.Policy
		jobs       map[string]*job
		order      []*job // jobs as they came
		nodes      map[string]*node
		sorted     []*node // nodes by ID
		addresses  map[string][]*node
		evacuated  map[string]bool // availability zones that are to be emptied
		evacuation evacuation      // of these
		holding    map[*node]bool  // nodes with ends that are not acknowledged
		woken      []*node         // nodes where a look may be due
		changed    map[*unit]bool  // to be evaluated
		claimed    []*unit         // that have claims on workers, or had them
		pass       bool            // a placement pass is due
		passed     time.Time       // when the last one was
		waiting    int             // ranks of units that waited then
		cores      float64
		reported   time.Time        // when what waits was last told
		backlogged bool             // something waited then
		overdueAt  time.Time        // when attempts that don't end were last looked for
		used       map[string]usage // by queue; none for a queue of which nothing runs
		evidence   evidence
		fair       *fairness
		fairShares bool // see Config
		book       book
		asking     int // calls for advice under way
		effects    []Effect
		gone       bool // resigned
	}
)

// New returns a core that has heard of no worker yet.
func New(now time.Time, cf Config) *Core {
	co := &Core{
		token: cf.Token, began: now, cores: min(1, cf.Cores), policy: cf.Policy, evacuation: evacuation{minLeft: cf.Evacuate},
		jobs: map[string]*job{}, nodes: map[string]*node{}, changed: map[*unit]bool{},
		addresses: map[string][]*node{}, holding: map[*node]bool{}, used: map[string]usage{}, evidence: newEvidence(), fair: newFairness(), fairShares: cf.FairShares, book: newBook(),
	}
	for _, wk := range cf.Workers {
		co.list(now, wk)
	}
	if len(cf.Evacuated) > 0 {
		co.setEvacuated(cf.Evacuated)
	}
	for _, jb := range cf.Jobs {
		co.add(newJob(jb, now.Add(-ageOf(now, jb))))
	}
	slices.SortFunc(co.order, compareJobs)
	for _, rc := range cf.Records {
		if jb, ok := co.jobs[rc.ID]; ok {
			co.adopt(now, jb, rc)
		}
	}
	co.assureAdopted()
	for _, id := range cf.Cancelled {
		co.cancel(now, id)
	}
	co.pass = true
	return co
}

// Handle takes one event and returns what is to be done. Prompted brings only the
// time.
func (co *Core) Handle(now time.Time, ev Event) []Effect {
	if co.gone {
		return nil
	}
	switch ev := ev.(type) {
	case Configured:
		co.policy = ev.Policy
		co.recountUsage()
		co.pass = true
	case Accepted:
		co.accept(now, ev.Job)
	case CancelAsked:
		co.cancel(now, ev.ID)
	case Listed:
		co.list(now, ev.Worker)
	case Unlisted:
		co.unlist(now, ev.ID)
	case Evacuated:
		co.setEvacuated(ev.Zones)
	case Emptying:
		co.empty(now, ev.By)
	case Downed:
		co.downed(now, ev.Worker)
	case Looked, Started, Stopped, Advised, Committed:
		co.outcome(now, ev)
	case Ticked:
		co.tick(now)
	case Prompted:
	}
	co.settle(now)
	effects := co.effects
	co.effects = nil
	return effects
}

// outcome takes the outcome of an effect.
func (co *Core) outcome(now time.Time, ev Event) {
	switch ev := ev.(type) {
	case Looked:
		co.looked(now, ev)
	case Started:
		co.started(now, ev)
	case Stopped:
		co.stopped(now, ev)
	case Advised:
		co.advised(now, ev)
	case Committed:
		co.committed(now, ev)
	}
}

// Busy tells whether something waits for time to pass.
func (co *Core) Busy() bool {
	if len(co.book.dirty) > 0 || len(co.book.open) > 0 {
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

// passGap is the least time between two rounds. It grows with what a round looks
// at, and is longer on a host that needs longer for it, so that rounds leave time
// for everything else.
func (co *Core) passGap() time.Duration {
	work := time.Duration(co.waiting)*passPerRank + time.Duration(len(co.nodes))*passPerNode
	if co.cores > 0 {
		work = time.Duration(float64(work) / co.cores)
	}
	return minPassGap + work*passRest
}

// Soon tells whether something waits for a few milliseconds to pass.
func (co *Core) Soon() bool {
	return co.pass || (len(co.book.dirty) > 0 && co.book.takes())
}

// settle carries the consequences of an event to their end.
func (co *Core) settle(now time.Time) {
	if co.evidence.due {
		co.judge(now)
	}
	co.evaluateChanged(now)
	if co.pass && now.Sub(co.passed) >= co.passGap() && co.ready(now) {
		co.pass = false
		co.passed = now
		co.placeWaiting(now)
		co.evaluateChanged(now)
	}
	co.sendLooks(now)
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
	for _, nd := range co.byID() {
		co.expire(now, nd)
		co.retryStops(now, nd)
		co.watchProgress(now, nd)
		co.clearWorker(now, nd)
		nd.noteWarm(now)
	}
	co.judge(now)
	co.reportSuspects(now)
	co.woken = append(co.woken[:0], co.byID()...)
	co.reportLeft(now)
	co.forgetEnded(now)
	co.reportOverdue(now)
	co.pass = true
}

// forgetEnded drops the jobs that ended long ago.
func (co *Core) forgetEnded(now time.Time) {
	co.order = slices.DeleteFunc(co.order, func(jb *job) bool {
		old := jb.state.Final() && jb.savedVersion == jb.version && now.Sub(jb.ended) > keepEnded
		if old {
			delete(co.jobs, jb.ID)
			co.emit(Forget{ID: jb.ID})
		}
		return old
	})
}

func (co *Core) add(jb *job) {
	co.jobs[jb.ID] = jb
	co.order = append(co.order, jb)
}

// byID returns the nodes in the order of their IDs.
func (co *Core) byID() []*node { return co.sorted }

// ready tells whether enough workers have been heard to place work. Until
// then the takeover goes on, and what runs where is not known.
func (co *Core) ready(now time.Time) bool {
	if now.Sub(co.began) > takeoverTime {
		return true
	}
	for _, nd := range co.nodes {
		if nd.listed && nd.answered.IsZero() && nd.failed.IsZero() {
			return false
		}
	}
	return true
}

// takeoverTime bounds how long placing waits for the first look at each
// worker.
const takeoverTime = 600 * time.Millisecond

func (co *Core) resign(reason string) {
	co.gone = true
	co.emit(Resign{Reason: reason})
}

func (co *Core) emit(ef Effect) { co.effects = append(co.effects, ef) }

func (co *Core) touch(un *unit) {
	if un != nil {
		co.changed[un] = true
	}
}
