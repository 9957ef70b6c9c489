// Package drive runs the scheduler of a domain around the core of package
// domain: the election of one host, the writes to the store, the calls to
// workers, and what has to be followed in the store.
//
// Every host runs a Scheduler, and the platform's store lets one of them hold
// the holder's key under a lease. The revision at which it wrote the key is its
// token. Every write to the store expects the key at that revision, and every
// worker refuses a smaller token than the largest it has seen, so that a former
// holder can change nothing any more, neither in the store nor on a worker that
// the present one has reached.
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
	"github.com/cicadawharf/cicadawharf/internal/pause"
	"github.com/cicadawharf/cicadawharf/internal/runner"
	"github.com/cicadawharf/cicadawharf/internal/store"
	"github.com/cicadawharf/cicadawharf/internal/upkeep"
)

type (
	// Layout says where the platform keeps its own data in the store, and
	// decodes it.
	Layout struct {
		PolicyKey        string
		WorkerPrefix     string
		EvacuationPrefix string // followed by an availability zone; empty if none is ever emptied
		EvacuationMark   []byte // the value there
		Policy           func(value []byte) (*batch.Policy, error)
		Worker           func(id string, value []byte) (runner.Worker, error)
		Waves            WaveLayout // empty if the platform asks for no upkeep
	}

	// Config constructs a Scheduler.
	Config struct {
		Host     string
		Cores    float64 // what the process may use; zero if that is unknown
		Store    store.Committer
		Workers  runner.Client
		Adviser  runner.Adviser // nil if no queue needs advice
		Machines upkeep.Client  // nil if no machine needs upkeep
		// FairShares orders work of like urgency by fair shares among workspaces.
		FairShares bool
		Evacuate   time.Duration // see domain.Config
		Layout     Layout
		Log        *slog.Logger
	}

	// Scheduler takes part in the election and schedules while it holds.
	Scheduler struct {
		cfg         Config
		holds       atomic.Bool
		incarnation int64 // tells the processes of one host apart
	}

	// term is the time for which a Scheduler holds.
	term struct {
		*Scheduler
		log         *slog.Logger
		ctx         context.Context
		end         context.CancelFunc
		token       store.Revision
		lease       store.LeaseID
		lastRenewal atomic.Int64 // nanoseconds from began to the sending of the last renewal that succeeded
		began       time.Time
		core        *domain.Core
		events      chan queuedEvent
		urgent      chan queuedEvent // goes before events: what callers and operators have asked for, and what is in the store
		revisions   *revisionTable
		waves       *waveDriver     // nil if no machine needs upkeep
		waitGauges  map[string]bool // gauges of waiting work that are set
		zoneGauges  map[string]bool // gauges of evacuated zones that are set
		overload    overloadDetector
	}
)

const (
	eventQueueSize   = 256
	tickInterval     = 100 * time.Millisecond
	idleTickInterval = time.Second
	deferredDelay    = 15 * time.Millisecond // for what the core has put off
	callTimeout      = time.Second           // for a call to a worker, beside the wait that it asks for
	adviceTimeout    = 5 * time.Second
	// termGCPercent has a scheduler collect garbage less often: much of what it
	// holds lives long. The process's memory limit goes before it.
	termGCPercent = 200
)

var errNoAdviser = errors.New("no service for advice is set")

// New returns a scheduler that does nothing until Run.
func New(now time.Time, cf Config) *Scheduler {
	return &Scheduler{cfg: cf, incarnation: now.UnixNano()}
}

// Holds tells whether this host schedules.
func (sc *Scheduler) Holds() bool { return sc.holds.Load() }

// Run schedules whenever this host is elected, until ctx ends. It then gives
// its lease up.
func (sc *Scheduler) Run(ctx context.Context) {
	delay := firstElectionFactor * electionDelay(sc.cfg.Cores)
	for ctx.Err() == nil {
		// A host stands back once the key is free, whenever it came to know
		// that, so that the stronger ones are always ahead of it.
		if !sc.awaitNoLeader(ctx) || !pause.For(ctx, delay) {
			continue
		}
		delay = electionDelay(sc.cfg.Cores)
		te, err := sc.campaign(ctx)
		if err != nil {
			sc.cfg.Log.Debug("not elected", "event", "election", "reason", err)
			pause.For(ctx, electionRetry/10)
			continue
		}
		te.run(ctx)
	}
}

// run schedules until the term or ctx ends.
func (te *term) run(ctx context.Context) {
	defer te.end()
	te.log.Info("scheduler begins", "event", "termBegins")
	defer debug.SetGCPercent(debug.SetGCPercent(termGCPercent))
	termCount.Inc()
	go te.keepLease()
	cf, ws, err := te.load()
	if err != nil {
		te.log.Warn("scheduler gives up", "event", "termEnds", "reason", err)
		te.resign()
		return
	}
	te.Scheduler.holds.Store(true)
	defer te.Scheduler.holds.Store(false)
	defer te.setWaitGauges(domain.Waits{})
	defer te.setEvacuationGauges(domain.Evacuation{})
	defer setSuspectGauges(domain.Suspects{})
	te.core = domain.New(time.Now(), cf)
	takeoverTime.UpdateDuration(te.began)
	te.log.Info("state is loaded", "event", "loaded", "jobs", len(cf.Jobs), "records", len(cf.Records),
		"workers", len(cf.Workers), "took", time.Since(te.began).Round(time.Millisecond))
	ws.start(te)
	if te.waves != nil {
		te.waves.start()
	}
	te.loop(ctx)
	te.resign()
}

// loop hands events to the core, one at a time.
func (te *term) loop(ctx context.Context) {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	last := time.Now()
	te.handle(domain.Ticked{})
	deferred := time.NewTimer(deferredDelay)
	armed := true // for soon
	defer deferred.Stop()
	for {
		if te.core.Soon() && !armed {
			deferred.Reset(deferredDelay)
			armed = true
		}
		if te.handleUrgent(ctx) {
			continue
		}
		select {
		case <-ctx.Done():
			te.log.Info("scheduler ends", "event", "termEnds", "reason", "the host stops")
			return
		case <-te.ctx.Done():
			te.log.Warn("scheduler ends", "event", "termEnds", "reason", context.Cause(te.ctx))
			return
		case qu := <-te.urgent:
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
			if te.waves != nil {
				te.waves.handle(upkeep.Ticked{})
			}
			if te.core.Busy() || now.Sub(last) >= idleTickInterval {
				last = now
				te.handle(domain.Ticked{})
			}
		}
	}
}

// handleUrgent handles an urgent event if one waits and the term goes on.
func (te *term) handleUrgent(ctx context.Context) bool {
	if ctx.Err() != nil || te.ctx.Err() != nil {
		return false
	}
	select {
	case qu := <-te.urgent:
		te.handle(qu.ev)
		return true
	default:
		return false
	}
}

// waveEvents returns a channel that never has anything if there is no duty.
func (te *term) waveEvents() <-chan upkeep.Event {
	if te.waves == nil {
		return nil
	}
	return te.waves.events
}

func (te *term) handle(ev domain.Event) {
	began := time.Now()
	effects := te.core.Handle(began, ev)
	eventTime.UpdateDuration(began)
	for _, ef := range effects {
		te.perform(ef)
	}
}

// send hands an event to the loop.
func (te *term) send(ev domain.Event) {
	queue := te.events
	switch ev.(type) {
	case domain.Accepted, domain.CancelAsked, domain.Committed, domain.Evacuated:
		queue = te.urgent
	}
	select {
	case queue <- queuedEvent{ev, time.Now()}:
	case <-te.ctx.Done():
	}
}

// perform begins what an effect asks for and does not wait for it.
func (te *term) perform(ef domain.Effect) {
	switch ef := ef.(type) {
	case domain.Commit:
		go te.commit(ef)
	case domain.Forget:
		go te.deleteJob(ef.ID)
	case domain.Look:
		go te.poll(ef)
	case domain.Start:
		go te.start(ef)
	case domain.Stop:
		go te.stop(ef)
	case domain.Advise:
		go te.advise(ef)
	case domain.Noted:
		countDecision(ef)
		te.logDecision(ef)
	case domain.Waits:
		te.setWaitGauges(ef)
		te.logWaits(ef)
		te.logShares(ef)
	case domain.Evacuation:
		te.setEvacuationGauges(ef)
		te.logEvacuation(ef)
	case domain.Suspects:
		setSuspectGauges(ef)
		te.logSuspects(ef)
	case domain.Resign:
		te.log.Warn("scheduler resigns", "event", "resigns", "reason", ef.Reason)
		te.end()
	}
}

func (te *term) poll(ef domain.Look) {
	ctx, cancel := context.WithTimeout(te.ctx, callTimeout+ef.Request.Wait)
	defer cancel()
	began := time.Now()
	st, err := te.cfg.Workers.Look(ctx, ef.Worker, ef.Request)
	countCall("look", began, err)
	te.send(domain.Looked{Call: ef, Look: st, Err: err})
}

func (te *term) start(ef domain.Start) {
	ctx, cancel := context.WithTimeout(te.ctx, callTimeout)
	defer cancel()
	began := time.Now()
	err := te.cfg.Workers.Start(ctx, ef.Worker, ef.Request)
	countCall("start", began, err)
	te.send(domain.Started{Call: ef, Err: err})
}

func (te *term) stop(ef domain.Stop) {
	ctx, cancel := context.WithTimeout(te.ctx, callTimeout)
	defer cancel()
	began := time.Now()
	err := te.cfg.Workers.Stop(ctx, ef.Worker, ef.Request)
	countCall("stop", began, err)
	te.send(domain.Stopped{Call: ef, Err: err})
}

// advise asks for advice, which takes the service a while.
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

// pauseFor waits and tells whether the term goes on.
func (te *term) pauseFor(d time.Duration) bool { return pause.For(te.ctx, d) }
