// Package drive runs the scheduler of a domain around the core of package
// domain: leader election, writes to the store, calls to workers, and watches
// on the store.
//
// Every host runs a Scheduler; the one that holds the leader key
// (batch.LeaderKey) in the platform's store, under a lease, is the leader. The
// revision at which it wrote the key is its fencing token. Every write to the
// store requires the key to be at that revision, and every worker rejects a
// token smaller than the largest it has seen. A former leader can therefore
// change nothing, neither in the store nor on a worker that the current leader
// has reached.
package drive

import (
	"context"
	"errors"
	"log/slog"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/batch"
	"github.com/cicadawharf/cicadawharf/internal/domain"
	"github.com/cicadawharf/cicadawharf/internal/maint"
	"github.com/cicadawharf/cicadawharf/internal/pause"
	"github.com/cicadawharf/cicadawharf/internal/runner"
	"github.com/cicadawharf/cicadawharf/internal/store"
)

type (
	// StoreLayout describes the platform's own data in the store: its keys, and
	// the functions that decode its values. They return an error if a value is
	// invalid; its entry is then logged and ignored.
	StoreLayout struct {
		PolicyKey        string
		WorkerPrefix     string // followed by the ID of a worker
		EvacuationPrefix string // followed by an availability zone; empty if zones are never evacuated
		EvacuationValue  []byte // written under an evacuation key by package admin
		DecodePolicy     func(value []byte) (*batch.Policy, error)
		DecodeWorker     func(id string, value []byte) (runner.Worker, error)
		Waves            WaveLayout // empty if the platform has no maintenance waves
	}

	// Config constructs a Scheduler.
	Config struct {
		Host  string
		Cores float64 // available to the process; zero if unknown
		// MemoryLimit is the memory limit of the process, in bytes; zero if there is
		// none.
		MemoryLimit int64
		Store       store.TxnStore
		Workers     runner.Client
		Adviser     runner.Adviser // nil if no queue needs placement advice
		// PeerAddress is the IP:port at which other hosts send notices to this one;
		// empty if they don't. Notify sends a notice to another host, without
		// waiting for it; nil if notices are not sent.
		PeerAddress string
		Notify      func(address string, no batch.Notice)
		Machines    maint.Client // for package maint; nil if machines need no maintenance
		// FairShares orders work of equal urgency by the workspaces' fair shares.
		FairShares     bool
		MinMoveRunTime time.Duration // see domain.Config
		Layout         StoreLayout
		Log            *slog.Logger
	}

	// Scheduler takes part in leader elections and schedules while it is the
	// leader.
	Scheduler struct {
		cfg         Config
		isLeader    atomic.Bool
		current     atomic.Pointer[term]   // of this host; nil unless it holds the leader key
		leader      atomic.Pointer[leader] // another host that is the leader, as last read; nil if unknown
		former      atomic.Pointer[leader] // the last leader that this host has seen
		incarnation int64                  // start time, nanoseconds since 1970; distinguishes processes of the same host
		outages     outageMonitor
	}

	// term is one period of leadership.
	term struct {
		*Scheduler
		log            *slog.Logger
		ctx            context.Context
		end            context.CancelFunc
		token          store.Revision
		lease          store.LeaseID
		lastRenewal    atomic.Int64 // when the last successful renewal was sent, in nanoseconds since leaseRequested
		leaseRequested time.Time
		core           *domain.Core
		events         chan queuedEvent
		priorityEvents chan queuedEvent // taken before events: requests of callers and operators, and completed commits
		revisions      *revisionTable
		starts         openStarts
		waves          *waveDriver     // nil if machines need no maintenance
		waitGauges     map[string]bool // registered gauges of waiting work
		holdGauges     map[string]bool // registered gauges of jobs that stand still
		zoneGauges     map[string]bool // registered gauges of evacuated zones
		lateEnds       int             // as last logged
		overload       overloadDetector
		meter          workMeter
		monitor        watchMonitor
		watches        watchGeneration
	}
)

const (
	eventQueueSize   = 256
	tickInterval     = 100 * time.Millisecond
	idleTickInterval = time.Second           // while the core needs no ticks
	deferredDelay    = 15 * time.Millisecond // until the core is prompted to do deferred work
	callTimeout      = time.Second           // of a call to a worker, in addition to the wait it requests
	adviceTimeout    = 5 * time.Second
	// termGCPercent makes the leader collect garbage less often, because much of
	// its heap is long-lived. The process's memory limit takes precedence.
	termGCPercent = 200
)

var errNoAdviser = errors.New("no advice service is configured")

// New returns a Scheduler that is idle until Run. Its incarnation is the start
// time now.
func New(now time.Time, cf Config) *Scheduler {
	return &Scheduler{cfg: cf, incarnation: now.UnixNano()}
}

// IsLeader reports whether this host is the leader.
func (sc *Scheduler) IsLeader() bool { return sc.isLeader.Load() }

// Run takes part in elections, and schedules during each of its terms, until
// ctx ends. A leader then revokes its lease, so that another host can follow at
// once.
func (sc *Scheduler) Run(ctx context.Context) {
	delay := firstElectionFactor * electionDelay(sc.cfg.Cores)
	for ctx.Err() == nil {
		// The delay starts when this host sees the key free, so a stronger host,
		// which waits less, normally campaigns first.
		if !sc.awaitNoLeader(ctx) || !pause.For(ctx, delay) {
			continue
		}
		delay = electionDelay(sc.cfg.Cores)
		te, err := sc.campaign(ctx)
		if err != nil {
			sc.cfg.Log.Debug("election not won", "event", "election", "reason", err)
			pause.For(ctx, electionRetryDelay/10)
			continue
		}
		te.run(ctx)
	}
}

// run schedules until the term or ctx ends.
func (te *term) run(ctx context.Context) {
	defer te.end()
	te.current.Store(te)
	defer te.current.Store(nil)
	te.log.Info("term started", "event", "termBegins")
	defer debug.SetGCPercent(debug.SetGCPercent(termGCPercent))
	termCount.Inc()
	go te.keepLease()
	cf, ws, err := te.load()
	if err != nil {
		te.log.Warn("term ended before the state was loaded", "event", "termEnds", "reason", err)
		te.resign()
		return
	}
	te.Scheduler.isLeader.Store(true)
	defer te.Scheduler.isLeader.Store(false)
	defer te.setBacklogGauges(domain.BacklogReport{})
	defer te.setHoldGauges(domain.HoldReport{})
	defer te.setEvacuationGauges(domain.EvacuationReport{})
	defer setHealthGauges(domain.HealthReport{})
	defer setStateGauges(domain.StateReport{})
	defer setEndGauges(domain.EndReport{})
	te.core = domain.New(time.Now(), cf)
	takeoverTime.UpdateDuration(te.leaseRequested)
	te.log.Info("state loaded", "event", "loaded", "jobs", len(cf.Jobs), "records", len(cf.Records),
		"workers", len(cf.Workers), "took", time.Since(te.leaseRequested).Round(time.Millisecond))
	ws.start(te)
	if te.waves != nil {
		te.waves.start()
	}
	te.loop(ctx)
	te.resign()
}

// loop passes events to the core, one at a time, until the term or ctx ends.
func (te *term) loop(ctx context.Context) {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	last := time.Now()
	te.meter.since = last
	te.handle(domain.Ticked{})
	deferred := time.NewTimer(deferredDelay)
	armed := true // whether the deferred timer is running
	defer deferred.Stop()
	for {
		if te.core.NeedsPrompt() && !armed {
			deferred.Reset(deferredDelay)
			armed = true
		}
		if te.handlePriorityEvent(ctx) {
			continue
		}
		select {
		case <-ctx.Done():
			te.log.Info("term ended", "event", "termEnds", "reason", "the host is stopping")
			return
		case <-te.ctx.Done():
			// The cause is always context.Canceled; whoever ended the term has logged
			// the reason.
			te.log.Warn("term ended", "event", "termEnds", "reason", context.Cause(te.ctx))
			return
		case qu := <-te.priorityEvents:
			te.handle(qu.ev)
		case qu := <-te.events:
			te.observeWait(qu.at)
			te.handle(qu.ev)
		case <-deferred.C:
			armed = false
			te.handle(domain.Prompted{})
		case ev := <-te.waveEvents():
			te.waves.handle(ev)
		case now := <-tick.C:
			te.checkWatches(now)
			te.logLoad(now)
			if te.waves != nil {
				te.waves.handle(maint.Ticked{})
			}
			if te.core.NeedsTicks() || now.Sub(last) >= idleTickInterval {
				last = now
				te.handle(domain.Ticked{})
			}
		}
	}
}

// handlePriorityEvent handles one priority event if there is one and the term
// has not ended. It reports whether it did.
func (te *term) handlePriorityEvent(ctx context.Context) bool {
	if ctx.Err() != nil || te.ctx.Err() != nil {
		return false
	}
	select {
	case qu := <-te.priorityEvents:
		te.handle(qu.ev)
		return true
	default:
		return false
	}
}

// waveEvents returns the events of the wave driver, or nil, which blocks
// forever, if there is none.
func (te *term) waveEvents() <-chan maint.Event {
	if te.waves == nil {
		return nil
	}
	return te.waves.events
}

func (te *term) handle(ev domain.Event) {
	began := time.Now()
	te.core.ConfirmLease(began, te.leaseConfirmedAt())
	passes := te.core.Passes()
	effects := te.core.Handle(began, ev)
	te.observeWork(time.Since(began), te.core.Passes() > passes)
	for _, ef := range effects {
		te.perform(ef)
	}
}

// observeWork records the time that the core took for an event, and tells the core that of
// a pass.
func (te *term) observeWork(took time.Duration, withPass bool) {
	eventTime.Update(took.Seconds())
	if withPass {
		passTime.Update(took.Seconds())
		te.core.ObservePass(took)
	}
	te.meter.observeEvent(took, withPass)
}

// send queues an event for the loop. It blocks while the queue is full, and
// drops the event once the term has ended.
func (te *term) send(ev domain.Event) {
	queue := te.events
	switch ev.(type) {
	case domain.Accepted, domain.CancelRequested, domain.Committed, domain.EvacuationSet:
		queue = te.priorityEvents
	}
	select {
	case queue <- queuedEvent{ev, time.Now()}:
	case <-te.ctx.Done():
	}
}

// perform starts the action that an effect requests, without waiting for it.
func (te *term) perform(ef domain.Effect) {
	switch ef := ef.(type) {
	case domain.Commit:
		go te.commit(ef)
	case domain.Forget:
		go te.deleteJob(ef.ID)
	case domain.Poll:
		go te.poll(ef)
	case domain.Start:
		ctx, ost := te.starts.begin(te.ctx, ef)
		go te.start(ctx, ost)
	case domain.Repeat:
		te.starts.permitRepeat(ef)
	case domain.Withdraw:
		te.starts.withdraw(ef)
	case domain.Stop:
		go te.stop(ef)
	case domain.Advise:
		go te.advise(ef)
	case domain.LogDecision:
		countDecision(ef)
		te.logDecision(ef)
	case domain.Resign:
		te.log.Warn("leader resigns", "event", "resigns", "reason", ef.Reason)
		te.end()
	default:
		te.report(ef)
	}
}

// report publishes a report of the core as metrics and log lines.
func (te *term) report(ef domain.Effect) {
	switch ef := ef.(type) {
	case domain.BacklogReport:
		te.setBacklogGauges(ef)
		te.logBacklog(ef)
		te.logUsage(ef)
	case domain.HoldReport:
		te.setHoldGauges(ef)
		te.logHolds(time.Now(), ef)
	case domain.EvacuationReport:
		te.setEvacuationGauges(ef)
		te.logEvacuation(ef)
	case domain.StateReport:
		setStateGauges(ef)
	case domain.EndReport:
		setEndGauges(ef)
		te.logEnds(ef)
	case domain.HealthReport:
		setHealthGauges(ef)
		te.logHealth(ef)
	}
}

func (te *term) poll(ef domain.Poll) {
	ctx, cancel := context.WithTimeout(te.ctx, callTimeout+ef.Request.Wait)
	defer cancel()
	began := time.Now()
	st, err := te.cfg.Workers.Poll(ctx, ef.Worker, ef.Request)
	countCall("look", began, err)
	te.send(domain.Polled{Call: ef, Status: st, Err: err})
}

func (te *term) stop(ef domain.Stop) {
	ctx, cancel := context.WithTimeout(te.ctx, callTimeout)
	defer cancel()
	began := time.Now()
	_, _, err := callTwice(ctx, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, te.cfg.Workers.Stop(ctx, ef.Worker, ef.Request)
	})
	countCall("stop", began, err)
	te.send(domain.Stopped{Call: ef, Err: err})
}

// advise requests placement advice from a service that may be slow to respond.
func (te *term) advise(ef domain.Advise) {
	if te.cfg.Adviser == nil {
		te.send(domain.Advised{Call: ef, Err: errNoAdviser})
		return
	}
	ctx, cancel := context.WithTimeout(te.ctx, adviceTimeout)
	defer cancel()
	ad, err := te.cfg.Adviser.Advise(ctx, ef.Request)
	te.send(domain.Advised{Call: ef, Advice: ad, Err: err})
}

// pauseFor sleeps for d and reports whether the term is still active.
func (te *term) pauseFor(d time.Duration) bool { return pause.For(te.ctx, d) }
