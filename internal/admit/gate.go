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
	Decision interface{ Of() Ticket }

	// Admit gives the ticket a slot, which Finish returns.
	Admit struct {
		Ticket
		Waited time.Duration
	}

	// Wait puts the ticket into the queue. Expire refuses it at Until.
	Wait struct {
		Ticket
		Until time.Time
	}

	// Refuse turns the ticket down for good.
	Refuse struct {
		Ticket
		Err *codes.Error
	}

	// Gate is the admission of one service on one host.
	Gate struct {
		cfg        Config
		rnd        *rand.Rand
		capacity   int
		inUse      int
		waiting    int
		floor      float64 // consumption of the workspace served last
		service    time.Duration
		workspaces map[string]*workspace
		running    map[uint64]*request
		queued     map[uint64]*request
		earliest   time.Time // no queued request expires before
		swept      time.Time // when idle callers were last forgotten
	}
)

const (
	// MaxUrgency is the largest urgency of a ticket.
	MaxUrgency = 2

	serviceShare  = 0.05 // of a new observation in the mean service time
	callerMemory  = time.Minute
	sweepInterval = time.Second
)

// New returns a gate without slots.
func New(cfg Config) *Gate {
	return &Gate{
		cfg:        cfg,
		rnd:        rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
		workspaces: make(map[string]*workspace),
		running:    make(map[uint64]*request),
		queued:     make(map[uint64]*request),
	}
}

// Of returns the ticket itself.
func (ti Ticket) Of() Ticket { return ti }

// Resize sets the number of slots. More slots admit waiting tickets.
func (ga *Gate) Resize(now time.Time, capacity int) []Decision {
	ga.capacity = capacity
	return ga.fill(now, nil)
}

// SetShares sets the shares of the workspaces. Others have no guarantee and
// weight one.
func (ga *Gate) SetShares(shares []Share) {
	for _, ws := range ga.workspaces {
		ws.share = Share{Workspace: ws.share.Workspace, Weight: 1}
	}
	for _, sh := range shares {
		sh.Weight = max(sh.Weight, 1)
		ga.workspace(sh.Workspace).share = sh
	}
}

// Offer decides on a new ticket. The first decision is the ticket's; others
// concern tickets that were waiting.
func (ga *Gate) Offer(now time.Time, ti Ticket) []Decision {
	ti.Urgency = min(max(ti.Urgency, 0), MaxUrgency)
	ws := ga.workspace(ti.Workspace)
	ca := ws.caller(ti.Caller)
	rq := &request{Ticket: ti, offered: now, ws: ws, ca: ca}
	if !ti.Deadline.IsZero() && !now.Before(ti.Deadline) {
		return []Decision{ga.refuse(rq, codes.DeadlinePassed, "the deadline has passed")}
	}
	ws.lastSeen = now
	if ga.room(now, ws) {
		if ga.waiting == 0 {
			return []Decision{ga.admit(now, rq)}
		}
		ga.enqueue(now, rq)
		return ga.offered(now, rq)
	}
	if err := ga.hopeless(now, rq); err != nil {
		return []Decision{Refuse{Ticket: ti, Err: err}}
	}
	var evicted []Decision
	if ga.waiting >= ga.cfg.MaxQueue {
		victim := ga.victim(rq)
		if victim == nil {
			return []Decision{ga.refuse(rq, codes.Overloaded, "the queue is full")}
		}
		ga.remove(victim)
		evicted = append(evicted, ga.refuse(victim, codes.Overloaded, "the queue is full"))
	}
	ga.enqueue(now, rq)
	return append([]Decision{Wait{Ticket: ti, Until: rq.until}}, evicted...)
}

// offered returns the decisions after rq has joined the queue while a slot was
// free, its own first.
func (ga *Gate) offered(now time.Time, rq *request) []Decision {
	ds := ga.fill(now, nil)
	own := slices.IndexFunc(ds, func(de Decision) bool { return de.Of().ID == rq.ID })
	if own < 0 {
		return append([]Decision{Wait{Ticket: rq.Ticket, Until: rq.until}}, ds...)
	}
	ds[0], ds[own] = ds[own], ds[0]
	return ds
}

// Finish returns the slot of an admitted ticket.
func (ga *Gate) Finish(now time.Time, id uint64) []Decision {
	rq, ok := ga.running[id]
	if !ok {
		return nil
	}
	delete(ga.running, id)
	ga.inUse--
	rq.ws.inUse--
	held := now.Sub(rq.admitted)
	rq.ca.consumed += (held - rq.charged).Seconds()
	if rq.surplus {
		rq.ws.consumed += (held - rq.charged).Seconds() / float64(rq.ws.share.Weight)
	}
	ga.observe(held)
	rq.ca.inUse--
	rq.ca.lastSeen = now
	rq.ws.lastSeen = now
	return ga.fill(now, nil)
}

// Withdraw forgets a waiting ticket whose caller has gone. It returns false if
// the ticket does not wait.
func (ga *Gate) Withdraw(id uint64) bool {
	rq, ok := ga.queued[id]
	if ok {
		ga.remove(rq)
	}
	return ok
}

// Expire refuses the tickets that have waited for as long as they may, and
// forgets idle callers.
func (ga *Gate) Expire(now time.Time) []Decision {
	var ds []Decision
	if ga.waiting > 0 && !now.Before(ga.earliest) {
		ga.earliest = time.Time{}
		for _, rq := range ga.overdue(now) {
			ga.remove(rq)
			ds = append(ds, ga.lapse(now, rq))
		}
	}
	if now.Sub(ga.swept) >= sweepInterval {
		ga.swept = now
		for _, ws := range ga.workspaces {
			ws.forget(now)
		}
	}
	return ds
}

// Waiting returns the number of waiting tickets.
func (ga *Gate) Waiting() int { return ga.waiting }

// InUse returns the number of admitted tickets.
func (ga *Gate) InUse() int { return ga.inUse }

// Capacity returns the number of slots.
func (ga *Gate) Capacity() int { return ga.capacity }

func (ga *Gate) workspace(name string) *workspace {
	ws, ok := ga.workspaces[name]
	if !ok {
		ws = &workspace{share: Share{Workspace: name, Weight: 1}, callers: make(map[string]*caller)}
		ga.workspaces[name] = ws
	}
	return ws
}

// fill admits waiting tickets while slots are free.
func (ga *Gate) fill(now time.Time, ds []Decision) []Decision {
	for ga.waiting > 0 && ga.inUse < ga.capacity {
		ws := ga.next(now)
		if ws == nil {
			break
		}
		rq := ws.next()
		ga.remove(rq)
		if !rq.Deadline.IsZero() && !now.Before(rq.Deadline) {
			ds = append(ds, ga.lapse(now, rq))
			continue
		}
		ds = append(ds, ga.admit(now, rq))
	}
	return ds
}

func (ga *Gate) admit(now time.Time, rq *request) Decision {
	rq.admitted = now
	rq.charged = ga.service
	ga.inUse++
	ga.running[rq.ID] = rq
	ws, ca := rq.ws, rq.ca
	ca.consumed = max(ca.consumed, ws.floor)
	ws.floor = ca.consumed
	ca.consumed += rq.charged.Seconds()
	ca.inUse++
	rq.surplus = float64(ws.inUse) >= ws.share.Slots
	if rq.surplus {
		ws.consumed = max(ws.consumed, ga.floor)
		ga.floor = ws.consumed
		ws.consumed += rq.charged.Seconds() / float64(ws.share.Weight)
	}
	ws.inUse++
	return Admit{Ticket: rq.Ticket, Waited: now.Sub(rq.offered)}
}

func (ga *Gate) observe(held time.Duration) {
	if ga.service == 0 {
		ga.service = held
		return
	}
	ga.service += time.Duration(serviceShare * float64(held-ga.service))
}
