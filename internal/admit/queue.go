package admit

import (
	"slices"
	"time"
)

type (
	// request is a ticket that waits or runs.
	request struct {
		Ticket
		offered       time.Time
		expiresAt     time.Time
		admitted      time.Time
		charged       time.Duration // slot time entered at admission
		overGuarantee bool          // runs beyond the guarantee of its workspace
		ws            *workspace
		ca            *caller
	}

	// workspace is the state of one share. Consumption is slot time in
	// seconds per weight, of slots beyond the guarantee.
	workspace struct {
		share       Share
		consumed    float64
		virtualTime float64 // consumption of the caller served last
		inUse       int
		waiting     int
		lastSeen    time.Time
		callers     map[string]*caller
		active      []*caller // that have waiting requests
	}

	// caller is the state of one caller within a workspace.
	caller struct {
		consumed float64 // slot time in seconds
		inUse    int
		picks    int
		lastSeen time.Time
		queues   [MaxUrgency + 1][]*request // oldest first
	}
)

// oldestFirstInterval makes each so many-th choice within a caller take the oldest
// request, so that urgent ones do not starve the others.
const oldestFirstInterval = 4

// nextWorkspace returns the workspace that the nextWorkspace free slot goes to, or nil if it is
// kept free of all that wait.
func (co *Controller) nextWorkspace(now time.Time) *workspace {
	var best *workspace
	for _, ws := range co.workspaces {
		if ws.waiting > 0 && co.canTakeSlot(now, ws) && (best == nil || co.precedes(ws, best)) {
			best = ws
		}
	}
	return best
}

// precedes orders workspaces: those below their guarantee come first. Names
// break ties, so that the order of the map has no effect.
func (co *Controller) precedes(ws, other *workspace) bool {
	use, otherUse := ws.guaranteeUse(), other.guaranteeUse()
	below, otherBelow := use < 1, otherUse < 1
	switch {
	case below != otherBelow:
		return below
	case below && use != otherUse:
		return use < otherUse
	}
	// A workspace that comes back is not credited for its absence.
	tag, otherTag := max(ws.consumed, co.virtualTime), max(other.consumed, co.virtualTime)
	if tag != otherTag {
		return tag < otherTag
	}
	per, otherPer := ws.perWeight(ws.inUse), other.perWeight(other.inUse)
	if per != otherPer {
		return per < otherPer
	}
	return ws.share.Workspace < other.share.Workspace
}

// expired returns the waiting requests whose time is up, and notes when the
// next one's is.
func (co *Controller) expired(now time.Time) []*request {
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
	if co.waiting == 0 || rq.expiresAt.Before(co.nextExpiry) {
		co.nextExpiry = rq.expiresAt
	}
	if rq.ca.waiting() == 0 {
		rq.ws.active = append(rq.ws.active, rq.ca)
	}
	rq.ca.queues[rq.Urgency] = append(rq.ca.queues[rq.Urgency], rq)
	rq.ws.waiting++
	co.waiting++
	co.queued[rq.ID] = rq
}

func (co *Controller) remove(rq *request) {
	qu := rq.ca.queues[rq.Urgency]
	rq.ca.queues[rq.Urgency] = slices.Delete(qu, slices.Index(qu, rq), slices.Index(qu, rq)+1)
	if rq.ca.waiting() == 0 {
		at := slices.Index(rq.ws.active, rq.ca)
		rq.ws.active = slices.Delete(rq.ws.active, at, at+1)
	}
	rq.ws.waiting--
	co.waiting--
	delete(co.queued, rq.ID)
}

// victim returns the waiting request that makes room for rq in a full queue,
// or nil if rq itself is the one too many: the last one of the longest queue.
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

// guaranteeUse returns the part of the guarantee that is in guaranteeUse.
func (ws *workspace) guaranteeUse() float64 {
	if ws.share.Slots <= 0 {
		return 1
	}
	return float64(ws.inUse) / ws.share.Slots
}

func (ws *workspace) perWeight(n int) float64 { return float64(n) / float64(ws.share.Weight) }

func (ws *workspace) backlog(extra *request) float64 {
	if extra.ws == ws {
		return ws.perWeight(ws.waiting + 1)
	}
	return ws.perWeight(ws.waiting)
}

func (ws *workspace) caller(name string) *caller {
	ca, ok := ws.callers[name]
	if !ok {
		ca = &caller{}
		ws.callers[name] = ca
	}
	return ca
}

// nextRequest returns the request that is served nextRequest.
func (ws *workspace) nextRequest() *request {
	best := ws.active[0]
	for _, ca := range ws.active[1:] {
		if max(ca.consumed, ws.virtualTime) < max(best.consumed, ws.virtualTime) {
			best = ca
		}
	}
	return best.nextRequest()
}

// evictIdleCallers drops callers that have neither requests nor consumption ahead of
// the others, and those not seen for long.
func (ws *workspace) evictIdleCallers(now time.Time) {
	for name, ca := range ws.callers {
		idle := ca.inUse == 0 && ca.waiting() == 0
		if idle && (ca.consumed <= ws.virtualTime || now.Sub(ca.lastSeen) > idleCallerTTL) {
			delete(ws.callers, name)
		}
	}
}

func (ca *caller) waiting() int {
	n := 0
	for _, qu := range ca.queues {
		n += len(qu)
	}
	return n
}

func (ca *caller) backlog(extra *request) int {
	if extra.ca == ca {
		return ca.waiting() + 1
	}
	return ca.waiting()
}

// nextRequest returns the most urgent request, or in its turn the oldest.
func (ca *caller) nextRequest() *request {
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

// leastUrgent returns the newest of the least urgent requests.
func (ca *caller) leastUrgent() *request {
	for _, qu := range ca.queues {
		if len(qu) > 0 {
			return qu[len(qu)-1]
		}
	}
	return nil
}
