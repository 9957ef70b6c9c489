package admit

import (
	"slices"
	"time"
)

type (
	// request is a queued or running ticket.
	request struct {
		Ticket
		offered       time.Time
		expiresAt     time.Time
		admitted      time.Time
		charged       time.Duration // slot time accounted for in advance at admission
		overGuarantee bool          // admitted beyond the guarantee of its workspace
		ws            *workspace
		ca            *caller
	}

	// workspace is the queueing state of one workspace. Slots beyond the
	// guarantees are divided by start-time fair queueing among the workspaces, as
	// are the slots of a workspace among its callers. A finish tag is the virtual
	// time at which the last request ends, by the mean service time until Release
	// corrects it. The start tag of the next request is the finish tag or the
	// virtual time, whichever is later.
	workspace struct {
		share       Share
		finishTag   float64 // in seconds of slot time beyond the guarantee per weight
		virtualTime float64 // start tag of the caller served last, see caller.finishTag
		inUse       int
		queueLen    int
		lastSeen    time.Time
		callers     map[string]*caller
		active      []*caller // with queued requests
	}

	// caller is the queueing state of one caller within a workspace.
	caller struct {
		finishTag float64 // in seconds of slot time
		inUse     int
		picks     int // calls of pickRequest
		lastSeen  time.Time
		queues    [MaxUrgency + 1][]*request // by urgency, oldest first
	}
)

// oldestFirstInterval is the interval, in picks of one caller, at which the
// oldest request is chosen whatever its urgency, so that urgent requests do not
// starve the others.
const oldestFirstInterval = 4

// nextWorkspace returns the workspace that gets the next free slot, or nil if
// the slot is reserved and no queued workspace may take it.
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

// collectExpired returns the queued requests whose time in the queue is over,
// and sets nextExpiry to the earliest expiry of the others. Expire clears
// nextExpiry before, and removes the returned requests from the queue.
func (co *Controller) collectExpired(now time.Time) []*request {
	var rqs []*request
	for _, rq := range co.queued {
		switch {
		case !now.Before(rq.expiresAt):
			rqs = append(rqs, rq)
		case co.nextExpiry.IsZero() || rq.expiresAt.Before(co.nextExpiry):
			co.nextExpiry = rq.expiresAt
		}
	}
	slices.SortFunc(rqs, func(a, b *request) int { return a.expiresAt.Compare(b.expiresAt) })
	return rqs
}

func (co *Controller) enqueue(now time.Time, rq *request) {
	rq.expiresAt = now.Add(co.cfg.QueueTime)
	if !rq.Deadline.IsZero() && rq.Deadline.Before(rq.expiresAt) {
		rq.expiresAt = rq.Deadline
	}
	if co.queueLen == 0 || rq.expiresAt.Before(co.nextExpiry) {
		co.nextExpiry = rq.expiresAt
	}
	if rq.ca.queueLen() == 0 {
		rq.ws.active = append(rq.ws.active, rq.ca)
	}
	rq.ca.queues[rq.Urgency] = append(rq.ca.queues[rq.Urgency], rq)
	rq.ws.queueLen++
	co.queueLen++
	co.queued[rq.ID] = rq
}

func (co *Controller) remove(rq *request) {
	qu := rq.ca.queues[rq.Urgency]
	rq.ca.queues[rq.Urgency] = slices.Delete(qu, slices.Index(qu, rq), slices.Index(qu, rq)+1)
	if rq.ca.queueLen() == 0 {
		at := slices.Index(rq.ws.active, rq.ca)
		rq.ws.active = slices.Delete(rq.ws.active, at, at+1)
	}
	rq.ws.queueLen--
	co.queueLen--
	delete(co.queued, rq.ID)
}

// victim returns the queued request to evict from a full queue in favor of rq:
// the newest of the least urgent requests of the caller with the largest
// backlog in the workspace with the largest backlog per weight. It returns nil
// if rq itself is to be refused.
func (co *Controller) victim(rq *request) *request {
	longest := rq.ws
	for _, ws := range co.workspaces {
		if ws.backlog(rq) > longest.backlog(rq) {
			longest = ws
		}
	}
	busiest := rq.ca
	if longest != rq.ws {
		busiest = longest.active[0]
	}
	for _, ca := range longest.active {
		if ca.backlog(rq) > busiest.backlog(rq) {
			busiest = ca
		}
	}
	last := busiest.leastUrgent()
	if busiest == rq.ca && (last == nil || last.Urgency >= rq.Urgency) {
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

// backlog returns the number of queued requests per weight, counting extra as
// queued.
func (ws *workspace) backlog(extra *request) float64 {
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
func (ws *workspace) nextRequest() *request {
	best := ws.active[0]
	for _, ca := range ws.active[1:] {
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
func (ca *caller) backlog(extra *request) int {
	if extra.ca == ca {
		return ca.queueLen() + 1
	}
	return ca.queueLen()
}

// pickRequest returns the oldest of the most urgent requests, or every
// oldestFirstInterval calls the oldest request overall. It counts the call in
// picks.
func (ca *caller) pickRequest() *request {
	ca.picks++
	var best *request
	for urgency := MaxUrgency; urgency >= 0; urgency-- {
		if len(ca.queues[urgency]) == 0 {
			continue
		}
		rq := ca.queues[urgency][0]
		if best == nil || (ca.picks%oldestFirstInterval == 0 && rq.offered.Before(best.offered)) {
			best = rq
		}
	}
	return best
}

// leastUrgent returns the newest of the least urgent requests, or nil if none
// is queued.
func (ca *caller) leastUrgent() *request {
	for _, qu := range ca.queues {
		if len(qu) > 0 {
			return qu[len(qu)-1]
		}
	}
	return nil
}
