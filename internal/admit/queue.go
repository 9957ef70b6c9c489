package admit

import (
	"slices"
	"time"
)

type (
	// trackedRequest is a queued or running request with its state.
	trackedRequest struct {
		Request
		offered       time.Time
		expiresAt     time.Time
		admitted      time.Time
		charged       time.Duration // estimated slot time, charged at admission; Release corrects it
		overGuarantee bool          // admitted beyond the guarantee of its workspace
		ws            *workspace
		ca            *caller
	}

	// workspace is the queueing state of one workspace. Slots beyond the
	// guarantees are divided by start-time fair queueing among the workspaces, as
	// are the slots of a workspace among its callers. A finish tag is the virtual
	// time at which the request that was admitted last ends; admission estimates
	// it from the mean service time, and Release corrects it. The start tag of
	// the next request is the finish tag or the virtual time, whichever is later.
	workspace struct {
		share         Share
		finishTag     float64 // in seconds of slot time beyond the guarantee per weight
		virtualTime   float64 // start tag of the caller served last, see caller.finishTag
		inUse         int
		queueLen      int
		lastSeen      time.Time
		callers       map[string]*caller
		queuedCallers []*caller
	}

	// caller is the queueing state of one caller within a workspace.
	caller struct {
		finishTag float64 // in seconds of slot time
		inUse     int
		picks     int // calls of pickRequest
		lastSeen  time.Time
		queues    [MaxUrgency + 1][]*trackedRequest // by urgency, oldest first
	}
)

// oldestFirstInterval is the interval, in picks of one caller, at which the
// oldest request is chosen whatever its urgency, so that urgent requests do not
// starve the others.
const oldestFirstInterval = 4

// nextWorkspace returns the workspace that gets the next free slot, or nil if
// the slot is reserved and no workspace with queued requests may take it.
func (co *Controller) nextWorkspace(now time.Time) *workspace {
	var best *workspace
	for _, ws := range co.workspaces {
		if ws.queueLen > 0 && co.canTakeSlot(now, ws) && (best == nil || co.precedes(ws, best)) {
			best = ws
		}
	}
	return best
}

// precedes reports whether ws gets a slot before other. Workspaces below their
// guarantee come first. Ties are broken by name, so that the iteration order of
// the map has no effect.
func (co *Controller) precedes(ws, other *workspace) bool {
	use, otherUse := ws.guaranteeUse(), other.guaranteeUse()
	below, otherBelow := use < 1, otherUse < 1
	switch {
	case below != otherBelow:
		return below
	case below && use != otherUse:
		return use < otherUse
	}
	// A workspace gets no credit for the time in which it was idle.
	tag, otherTag := max(ws.finishTag, co.virtualTime), max(other.finishTag, co.virtualTime)
	if tag != otherTag {
		return tag < otherTag
	}
	slotsPerWeight, otherSlotsPerWeight := ws.perWeight(ws.inUse), other.perWeight(other.inUse)
	if slotsPerWeight != otherSlotsPerWeight {
		return slotsPerWeight < otherSlotsPerWeight
	}
	return ws.share.Workspace < other.share.Workspace
}

// collectExpired returns the queued requests that have reached their expiry,
// earliest first, and sets nextExpiry to the earliest expiry of the others. The
// caller must have cleared nextExpiry, and must remove the returned requests
// from the queue.
func (co *Controller) collectExpired(now time.Time) []*trackedRequest {
	var trs []*trackedRequest
	for _, tr := range co.queued {
		switch {
		case !now.Before(tr.expiresAt):
			trs = append(trs, tr)
		case co.nextExpiry.IsZero() || tr.expiresAt.Before(co.nextExpiry):
			co.nextExpiry = tr.expiresAt
		}
	}
	slices.SortFunc(trs, func(a, b *trackedRequest) int { return a.expiresAt.Compare(b.expiresAt) })
	return trs
}

func (co *Controller) enqueue(now time.Time, tr *trackedRequest) {
	tr.expiresAt = now.Add(co.cfg.QueueTime)
	if !tr.Deadline.IsZero() && tr.Deadline.Before(tr.expiresAt) {
		tr.expiresAt = tr.Deadline
	}
	if co.queueLen == 0 || tr.expiresAt.Before(co.nextExpiry) {
		co.nextExpiry = tr.expiresAt
	}
	if tr.ca.queueLen() == 0 {
		tr.ws.queuedCallers = append(tr.ws.queuedCallers, tr.ca)
	}
	tr.ca.queues[tr.Urgency] = append(tr.ca.queues[tr.Urgency], tr)
	tr.ws.queueLen++
	co.queueLen++
	co.queued[tr.ID] = tr
}

func (co *Controller) remove(tr *trackedRequest) {
	qu := tr.ca.queues[tr.Urgency]
	tr.ca.queues[tr.Urgency] = slices.Delete(qu, slices.Index(qu, tr), slices.Index(qu, tr)+1)
	if tr.ca.queueLen() == 0 {
		at := slices.Index(tr.ws.queuedCallers, tr.ca)
		tr.ws.queuedCallers = slices.Delete(tr.ws.queuedCallers, at, at+1)
	}
	tr.ws.queueLen--
	co.queueLen--
	delete(co.queued, tr.ID)
}

// victim returns the queued request to evict from a full queue in favor of tr:
// the newest of the least urgent requests of the caller with the largest
// backlog in the workspace with the largest backlog per weight. It returns nil
// if tr itself is to be refused.
func (co *Controller) victim(tr *trackedRequest) *trackedRequest {
	mostBacklogged := tr.ws
	for _, ws := range co.workspaces {
		if ws.backlogPerWeight(tr) > mostBacklogged.backlogPerWeight(tr) {
			mostBacklogged = ws
		}
	}
	mostQueued := tr.ca
	if mostBacklogged != tr.ws {
		mostQueued = mostBacklogged.queuedCallers[0]
	}
	for _, ca := range mostBacklogged.queuedCallers {
		if ca.backlog(tr) > mostQueued.backlog(tr) {
			mostQueued = ca
		}
	}
	last := mostQueued.leastUrgent()
	if mostQueued == tr.ca && (last == nil || last.Urgency >= tr.Urgency) {
		return nil
	}
	return last
}

// guaranteeUse returns the utilization of the guaranteed slots, or 1 if there
// are none.
func (ws *workspace) guaranteeUse() float64 {
	if ws.share.Slots <= 0 {
		return 1
	}
	return float64(ws.inUse) / ws.share.Slots
}

// perWeight divides a number of requests by the weight of the workspace.
func (ws *workspace) perWeight(n int) float64 { return float64(n) / float64(ws.share.Weight) }

// backlogPerWeight returns the number of queued requests divided by the weight,
// counting extra as queued.
func (ws *workspace) backlogPerWeight(extra *trackedRequest) float64 {
	if extra.ws == ws {
		return ws.perWeight(ws.queueLen + 1)
	}
	return ws.perWeight(ws.queueLen)
}

func (ws *workspace) caller(name string) *caller {
	ca, ok := ws.callers[name]
	if !ok {
		ca = &caller{}
		ws.callers[name] = ca
	}
	return ca
}

// nextRequest returns the next request of the caller with the earliest start
// tag.
func (ws *workspace) nextRequest() *trackedRequest {
	best := ws.queuedCallers[0]
	for _, ca := range ws.queuedCallers[1:] {
		if max(ca.finishTag, ws.virtualTime) < max(best.finishTag, ws.virtualTime) {
			best = ca
		}
	}
	return best.pickRequest()
}

// dropIdleCallers drops the state of callers without requests once the virtual
// time has reached their finish tag, which then has no effect any more, or once
// idleCallerTTL has passed.
func (ws *workspace) dropIdleCallers(now time.Time) {
	for name, ca := range ws.callers {
		idle := ca.inUse == 0 && ca.queueLen() == 0
		if idle && (ca.finishTag <= ws.virtualTime || now.Sub(ca.lastSeen) > idleCallerTTL) {
			delete(ws.callers, name)
		}
	}
}

func (ca *caller) queueLen() int {
	n := 0
	for _, qu := range ca.queues {
		n += len(qu)
	}
	return n
}

// backlog returns the number of queued requests, counting extra as queued.
func (ca *caller) backlog(extra *trackedRequest) int {
	if extra.ca == ca {
		return ca.queueLen() + 1
	}
	return ca.queueLen()
}

// pickRequest returns the oldest of the most urgent requests, or every
// oldestFirstInterval calls the oldest request overall. It counts the call in
// picks.
func (ca *caller) pickRequest() *trackedRequest {
	ca.picks++
	var best *trackedRequest
	for urgency := MaxUrgency; urgency >= 0; urgency-- {
		if len(ca.queues[urgency]) == 0 {
			continue
		}
		tr := ca.queues[urgency][0]
		if best == nil || (ca.picks%oldestFirstInterval == 0 && tr.offered.Before(best.offered)) {
			best = tr
		}
	}
	return best
}

// leastUrgent returns the newest of the least urgent requests, or nil if none
// is queued.
func (ca *caller) leastUrgent() *trackedRequest {
	for _, qu := range ca.queues {
		if len(qu) > 0 {
			return qu[len(qu)-1]
		}
	}
	return nil
}
