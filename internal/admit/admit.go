// Package admit decides which request of a service takes the next free slot of
// an entry host, and which is refused.
//
// A Gate holds the requests that run and wait. A free slot goes first to the
// workspace that uses least of its guarantee, then to the workspace that has
// consumed the least slot time per weight beyond its guarantee, and within it
// to the caller that has consumed the least slot time. Urgency orders the
// requests of one caller and has no effect outside of its share.
//
// A slot in twenty is kept free of workspaces that use more than their share
// while others are active, so that these need not wait for a slot to be
// returned when a flood holds all of them.
//
// Invariants: no slot is free while a request waits, but for those kept; the
// number of waiting requests and the time that each waits are bounded; a
// request that can't be served in time is refused when it is offered.
//
// A Gate performs no I/O, reads no clock and is not safe for concurrent use.
package admit

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cicadawharf/cicadawharf/pkg/codes"
)

type (
	// Config bounds a gate.
	Config struct {
		MaxQueue  int           // requests that wait
		QueueTime time.Duration // longest wait of one request
		Seed      uint64
	}

	// Share is what one workspace may claim of the slots.
	Share struct {
		Workspace string
		Slots     float64 // guaranteed
		Weight    int     // share of the slots that nobody claims by guarantee
	}

	// Ticket is one request.
	Ticket struct {
		ID        uint64
		Workspace string
		Caller    string
		Urgency   int // 0 to MaxUrgency
		Deadline  time.Time
	}

	// Decision is the gate's answer on one ticket: Admit, Wait or Refuse.
	Decision interface{ Subject() Ticket }

	// Admit gives the ticket a slot, which Finish returns.
	Admit struct {
		Ticket
		Waited time.Duration
	}

	// Wait puts the ticket into the queue. Expire refuses it at Until.
	Wait struct {
		Ticket
		ExpiresAt time.Time
	}

	// Refuse turns the ticket down for good.
	Refuse struct {
		Ticket
		Err *codes.Error
	}

	// Controller is the admission of one service on one host.
	Controller struct {
		cfg         Config
		rnd         *rand.Rand
		capacity    int
		inUse       int
		waiting     int
		virtualTime float64 // consumption of the workspace served last
		serviceTime time.Duration
		workspaces  map[string]*workspace
		running     map[uint64]*request
		queued      map[uint64]*request
		nextExpiry  time.Time // no queued request expires before
		lastSweep   time.Time // when idle callers were last forgotten
	}
)

const (
	// MaxUrgency is the largest urgency of a ticket.
	MaxUrgency = 2

	serviceTimeWeight = 0.05 // of a new observation in the mean service time
	idleCallerTTL     = time.Minute
	sweepInterval     = time.Second
)

// New returns a gate without slots.
func New(cfg Config) *Controller {
	return &Controller{
		cfg:        cfg,
		rnd:        rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
		workspaces: make(map[string]*workspace),
		running:    make(map[uint64]*request),
		queued:     make(map[uint64]*request),
	}
}

// Subject returns the ticket itself.
func (ti Ticket) Subject() Ticket { return ti }

// Resize sets the number of slots. More slots admit waiting tickets.
func (co *Controller) Resize(now time.Time, capacity int) []Decision {
	co.capacity = capacity
	return co.dispatch(now, nil)
}

// SetShares sets the shares of the workspaces. Others have no guarantee and
// weight one.
func (co *Controller) SetShares(shares []Share) {
	for _, ws := range co.workspaces {
		ws.share = Share{Workspace: ws.share.Workspace, Weight: 1}
	}
	for _, sh := range shares {
		sh.Weight = max(sh.Weight, 1)
		co.workspace(sh.Workspace).share = sh
	}
}

// Offer decides on a new ticket. The first decision is the ticket's; others
// concern tickets that were waiting.
func (co *Controller) Offer(now time.Time, ti Ticket) []Decision {
	ti.Urgency = min(max(ti.Urgency, 0), MaxUrgency)
	ws := co.workspace(ti.Workspace)
	ca := ws.caller(ti.Caller)
	rq := &request{Ticket: ti, offered: now, ws: ws, ca: ca}
	if !ti.Deadline.IsZero() && !now.Before(ti.Deadline) {
		return []Decision{co.refuse(rq, codes.DeadlinePassed, "the deadline has passed")}
	}
	ws.lastSeen = now
	if co.canTakeSlot(now, ws) {
		if co.waiting == 0 {
			return []Decision{co.admit(now, rq)}
		}
		co.enqueue(now, rq)
		return co.dispatchNew(now, rq)
	}
	if err := co.infeasible(now, rq); err != nil {
		return []Decision{Refuse{Ticket: ti, Err: err}}
	}
	var evicted []Decision
	if co.waiting >= co.cfg.MaxQueue {
		victim := co.victim(rq)
		if victim == nil {
			return []Decision{co.refuse(rq, codes.Overloaded, "the queue is full")}
		}
		co.remove(victim)
		evicted = append(evicted, co.refuse(victim, codes.Overloaded, "the queue is full"))
	}
	co.enqueue(now, rq)
	return append([]Decision{Wait{Ticket: ti, ExpiresAt: rq.expiresAt}}, evicted...)
}

// dispatchNew returns the decisions after rq has joined the queue while a slot was
// free, its own first.
func (co *Controller) dispatchNew(now time.Time, rq *request) []Decision {
	ds := co.dispatch(now, nil)
	own := slices.IndexFunc(ds, func(de Decision) bool { return de.Subject().ID == rq.ID })
	if own < 0 {
		return append([]Decision{Wait{Ticket: rq.Ticket, ExpiresAt: rq.expiresAt}}, ds...)
	}
	ds[0], ds[own] = ds[own], ds[0]
	return ds
}

// Release returns the slot of an admitted ticket.
func (co *Controller) Release(now time.Time, id uint64) []Decision {
	rq, ok := co.running[id]
	if !ok {
		return nil
	}
	delete(co.running, id)
	co.inUse--
	rq.ws.inUse--
	held := now.Sub(rq.admitted)
	rq.ca.consumed += (held - rq.charged).Seconds()
	if rq.overGuarantee {
		rq.ws.consumed += (held - rq.charged).Seconds() / float64(rq.ws.share.Weight)
	}
	co.observeServiceTime(held)
	rq.ca.inUse--
	rq.ca.lastSeen = now
	rq.ws.lastSeen = now
	return co.dispatch(now, nil)
}

// Cancel forgets a waiting ticket whose caller has gone. It returns false if
// the ticket does not wait.
func (co *Controller) Cancel(id uint64) bool {
	rq, ok := co.queued[id]
	if ok {
		co.remove(rq)
	}
	return ok
}

// Expire refuses the tickets that have waited for as long as they may, and
// forgets idle callers.
func (co *Controller) Expire(now time.Time) []Decision {
	var ds []Decision
	if co.waiting > 0 && !now.Before(co.nextExpiry) {
		co.nextExpiry = time.Time{}
		for _, rq := range co.expired(now) {
			co.remove(rq)
			ds = append(ds, co.refuseExpired(now, rq))
		}
	}
	if now.Sub(co.lastSweep) >= sweepInterval {
		co.lastSweep = now
		for _, ws := range co.workspaces {
			ws.evictIdleCallers(now)
		}
	}
	return ds
}

// Waiting returns the number of waiting tickets.
func (co *Controller) Waiting() int { return co.waiting }

// InUse returns the number of admitted tickets.
func (co *Controller) InUse() int { return co.inUse }

// Capacity returns the number of slots.
func (co *Controller) Capacity() int { return co.capacity }

func (co *Controller) workspace(name string) *workspace {
	ws, ok := co.workspaces[name]
	if !ok {
		ws = &workspace{share: Share{Workspace: name, Weight: 1}, callers: make(map[string]*caller)}
		co.workspaces[name] = ws
	}
	return ws
}

// dispatch admits waiting tickets while slots are free.
func (co *Controller) dispatch(now time.Time, ds []Decision) []Decision {
	for co.waiting > 0 && co.inUse < co.capacity {
		ws := co.nextWorkspace(now)
		if ws == nil {
			break
		}
		rq := ws.nextRequest()
		co.remove(rq)
		if !rq.Deadline.IsZero() && !now.Before(rq.Deadline) {
			ds = append(ds, co.refuseExpired(now, rq))
			continue
		}
		ds = append(ds, co.admit(now, rq))
	}
	return ds
}

func (co *Controller) admit(now time.Time, rq *request) Decision {
	rq.admitted = now
	rq.charged = co.serviceTime
	co.inUse++
	co.running[rq.ID] = rq
	ws, ca := rq.ws, rq.ca
	ca.consumed = max(ca.consumed, ws.virtualTime)
	ws.virtualTime = ca.consumed
	ca.consumed += rq.charged.Seconds()
	ca.inUse++
	rq.overGuarantee = float64(ws.inUse) >= ws.share.Slots
	if rq.overGuarantee {
		ws.consumed = max(ws.consumed, co.virtualTime)
		co.virtualTime = ws.consumed
		ws.consumed += rq.charged.Seconds() / float64(ws.share.Weight)
	}
	ws.inUse++
	return Admit{Ticket: rq.Ticket, Waited: now.Sub(rq.offered)}
}

func (co *Controller) observeServiceTime(held time.Duration) {
	if co.serviceTime == 0 {
		co.serviceTime = held
		return
	}
	co.serviceTime += time.Duration(serviceTimeWeight * float64(held-co.serviceTime))
}
