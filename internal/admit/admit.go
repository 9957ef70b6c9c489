// Package admit implements admission control and fair queueing for the requests
// to one service on one entry host.
//
// A Controller tracks the running and the queued requests. A free slot goes
// first to the workspace with the lowest utilization of its guaranteed slots.
// Among workspaces that use their whole guarantee, it goes to the one with the
// least slot time per weight beyond the guarantee, and within a workspace to
// the caller with the least slot time. Urgency only orders the requests of the
// same caller.
//
// One slot in 20, rounded down, is reserved for workspaces that use less than
// their fair share. Without the reserve, a workspace that floods the host could
// hold every slot, and the others would have to wait until one of them is
// released. With fewer than 20 slots there is no reserve.
//
// Invariants: apart from the reserve, no slot is free while a request is queued
// (after SetShares, from the next Release or Resize on); the length of the queue
// and the time in it are bounded; a request that is not expected to be served in
// time is refused when it is offered.
//
// A Controller performs no I/O, reads no clock and is not safe for concurrent
// use.
package admit

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cicadawharf/cicadawharf/pkg/codes"
)

type (
	// Config sets the bounds of the queue and the seed of the retry jitter.
	Config struct {
		MaxQueue  int           // queued requests
		QueueTime time.Duration // maximum time of one request in the queue
		Seed      uint64
	}

	// Share is the entitlement of one workspace to slots. The fair share of a
	// workspace is the number of slots that results from the shares of all
	// workspaces that compete for the slots.
	Share struct {
		Workspace string
		Slots     float64 // guaranteed
		Weight    int     // for the division of slots beyond the guarantees
	}

	// Request asks for a slot on behalf of one request to the service.
	Request struct {
		ID        uint64
		Workspace string
		Caller    string
		Urgency   int       // 0 to MaxUrgency; orders the requests of the same caller
		Deadline  time.Time // zero for none
	}

	// Decision is the result for one request: Admitted, Queued or Refused. The
	// method is called Subject because the decisions embed a field with the name
	// Request.
	Decision interface{ Subject() Request }

	// Admitted says that the request holds a slot, which Release returns.
	Admitted struct {
		Request
		Waited time.Duration // time in the queue
	}

	// Queued says that the request is in the queue. Expire refuses it from
	// ExpiresAt on, which is the end of its queue time or its deadline,
	// whichever is earlier.
	Queued struct {
		Request
		ExpiresAt time.Time
	}

	// Refused says that the request gets no slot. It is final.
	Refused struct {
		Request
		Err *codes.Error
	}

	// Controller is the admission control of one service on one entry host.
	Controller struct {
		cfg             Config
		rnd             *rand.Rand
		capacity        int
		inUse           int
		queueLen        int
		virtualTime     float64       // start tag of the workspace served last, see workspace.finishTag
		meanServiceTime time.Duration // moving average
		workspaces      map[string]*workspace
		running         map[uint64]*trackedRequest
		queued          map[uint64]*trackedRequest
		nextExpiry      time.Time // no queued request expires earlier
		lastSweep       time.Time // when idle callers were last dropped
	}
)

const (
	// MaxUrgency is the highest urgency of a request.
	MaxUrgency = 2

	serviceTimeWeight = 0.05 // of a new sample in the moving average
	idleCallerTTL     = time.Minute
	sweepInterval     = time.Second
)

// New returns a controller with a capacity of zero slots.
func New(cfg Config) *Controller {
	return &Controller{
		cfg:        cfg,
		rnd:        rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
		workspaces: make(map[string]*workspace),
		running:    make(map[uint64]*trackedRequest),
		queued:     make(map[uint64]*trackedRequest),
	}
}

// Subject returns the request that a decision is about.
func (rq Request) Subject() Request { return rq }

// Resize sets the number of slots. It returns decisions on the queued requests
// that take the added slots or whose deadline has passed.
func (co *Controller) Resize(now time.Time, capacity int) []Decision {
	co.capacity = capacity
	return co.dispatch(now, nil)
}

// SetShares sets the shares of the workspaces. A workspace that is not listed
// has no guaranteed slots and a weight of 1. SetShares admits no queued
// requests; the shares count from the next decision on.
func (co *Controller) SetShares(shares []Share) {
	for _, ws := range co.workspaces {
		ws.share = Share{Workspace: ws.share.Workspace, Weight: 1}
	}
	for _, sh := range shares {
		sh.Weight = max(sh.Weight, 1)
		co.workspace(sh.Workspace).share = sh
	}
}

// Offer decides on a new request, whose ID must differ from that of any running
// or queued request. The first decision is on that request; the others are on
// requests that were queued before.
func (co *Controller) Offer(now time.Time, rq Request) []Decision {
	rq.Urgency = min(max(rq.Urgency, 0), MaxUrgency)
	ws := co.workspace(rq.Workspace)
	ca := ws.caller(rq.Caller)
	tr := &trackedRequest{Request: rq, offered: now, ws: ws, ca: ca}
	if !rq.Deadline.IsZero() && !now.Before(rq.Deadline) {
		return []Decision{co.refuse(tr, codes.DeadlinePassed, "the deadline has passed")}
	}
	ws.lastSeen = now
	if co.canTakeSlot(now, ws) {
		if co.queueLen == 0 {
			return []Decision{co.admit(now, tr)}
		}
		co.enqueue(now, tr)
		return co.dispatchNew(now, tr)
	}
	if err := co.checkFeasible(now, tr); err != nil {
		return []Decision{Refused{Request: rq, Err: err}}
	}
	var evicted []Decision
	if co.queueLen >= co.cfg.MaxQueue {
		victim := co.victim(tr)
		if victim == nil {
			return []Decision{co.refuse(tr, codes.Overloaded, "the queue is full")}
		}
		co.remove(victim)
		evicted = append(evicted, co.refuse(victim, codes.Overloaded, "removed from the full queue in favor of another request"))
	}
	co.enqueue(now, tr)
	return append([]Decision{Queued{Request: rq, ExpiresAt: tr.expiresAt}}, evicted...)
}

// dispatchNew assigns free slots after tr was queued although a slot was free.
// The first decision is on tr.
func (co *Controller) dispatchNew(now time.Time, tr *trackedRequest) []Decision {
	ds := co.dispatch(now, nil)
	own := slices.IndexFunc(ds, func(de Decision) bool { return de.Subject().ID == tr.ID })
	if own < 0 {
		return append([]Decision{Queued{Request: tr.Request, ExpiresAt: tr.expiresAt}}, ds...)
	}
	ds[0], ds[own] = ds[own], ds[0]
	return ds
}

// Release returns the slot of an admitted request. It returns decisions on the
// queued requests that take the slot or whose deadline has passed. It does
// nothing if no running request has the ID.
func (co *Controller) Release(now time.Time, id uint64) []Decision {
	tr, ok := co.running[id]
	if !ok {
		return nil
	}
	delete(co.running, id)
	co.inUse--
	tr.ws.inUse--
	held := now.Sub(tr.admitted)
	tr.ca.finishTag += (held - tr.charged).Seconds()
	if tr.overGuarantee {
		tr.ws.finishTag += (held - tr.charged).Seconds() / float64(tr.ws.share.Weight)
	}
	co.observeServiceTime(held)
	tr.ca.inUse--
	tr.ca.lastSeen = now
	tr.ws.lastSeen = now
	return co.dispatch(now, nil)
}

// Cancel removes a queued request, for example because its caller has
// disconnected, and reports whether the request was queued.
func (co *Controller) Cancel(id uint64) bool {
	tr, ok := co.queued[id]
	if ok {
		co.remove(tr)
	}
	return ok
}

// Expire refuses the queued requests that have reached their expiry, and drops
// the state of idle callers. It is meant to be called at regular intervals.
func (co *Controller) Expire(now time.Time) []Decision {
	var ds []Decision
	if co.queueLen > 0 && !now.Before(co.nextExpiry) {
		co.nextExpiry = time.Time{}
		for _, tr := range co.collectExpired(now) {
			co.remove(tr)
			ds = append(ds, co.refuseExpired(now, tr))
		}
	}
	if now.Sub(co.lastSweep) >= sweepInterval {
		co.lastSweep = now
		for _, ws := range co.workspaces {
			ws.dropIdleCallers(now)
		}
	}
	return ds
}

// QueueLength returns the number of queued requests.
func (co *Controller) QueueLength() int { return co.queueLen }

// InUse returns the number of slots in use.
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

// dispatch admits queued requests while slots are free, and refuses those whose
// deadline has passed.
func (co *Controller) dispatch(now time.Time, ds []Decision) []Decision {
	for co.queueLen > 0 && co.inUse < co.capacity {
		ws := co.nextWorkspace(now)
		if ws == nil {
			break
		}
		tr := ws.nextRequest()
		co.remove(tr)
		if !tr.Deadline.IsZero() && !now.Before(tr.Deadline) {
			ds = append(ds, co.refuseExpired(now, tr))
			continue
		}
		ds = append(ds, co.admit(now, tr))
	}
	return ds
}

// admit assigns a free slot to a request. It charges the mean service time to the
// caller and, for a slot beyond the guarantee, also to the workspace.
func (co *Controller) admit(now time.Time, tr *trackedRequest) Decision {
	tr.admitted = now
	tr.charged = co.meanServiceTime
	co.inUse++
	co.running[tr.ID] = tr
	ws, ca := tr.ws, tr.ca
	ca.finishTag = max(ca.finishTag, ws.virtualTime)
	ws.virtualTime = ca.finishTag
	ca.finishTag += tr.charged.Seconds()
	ca.inUse++
	tr.overGuarantee = float64(ws.inUse) >= ws.share.Slots
	if tr.overGuarantee {
		ws.finishTag = max(ws.finishTag, co.virtualTime)
		co.virtualTime = ws.finishTag
		ws.finishTag += tr.charged.Seconds() / float64(ws.share.Weight)
	}
	ws.inUse++
	return Admitted{Request: tr.Request, Waited: now.Sub(tr.offered)}
}

// observeServiceTime updates the moving average of the service time with the
// time for which a request held its slot.
func (co *Controller) observeServiceTime(held time.Duration) {
	if co.meanServiceTime == 0 {
		co.meanServiceTime = held
		return
	}
	co.meanServiceTime += time.Duration(serviceTimeWeight * float64(held-co.meanServiceTime))
}
