package admit

import (
	"slices"
	"time"
)

type (
	// request is a ticket that waits or runs.
	request struct {
		Ticket
		offered  time.Time
		until    time.Time
		admitted time.Time
		charged  time.Duration // slot time entered at admission
		surplus  bool          // runs beyond the guarantee of its workspace
		ws       *workspace
		ca       *caller
	}

	// workspace is the state of one share. Consumption is slot time in
	// seconds per weight, of slots beyond the guarantee.
	workspace struct {
		share    Share
		consumed float64
		floor    float64 // consumption of the caller served last
		inUse    int
		waiting  int
		lastSeen time.Time
		callers  map[string]*caller
		active   []*caller // that have waiting requests
	}

	// caller is the state of one caller within a workspace.
	caller struct {
		consumed float64 // slot time in seconds
		inUse    int
		turns    int
		lastSeen time.Time
		queues   [MaxUrgency + 1][]*request // oldest first
	}
)

// oldestTurn makes each so many-th choice within a caller take the oldest
// request, so that urgent ones do not starve the others.
const oldestTurn = 4

// next returns the workspace that the next free slot goes to, or nil if it is
// kept free of all that wait.
func (ga *Gate) next(now time.Time) *workspace {
	var best *workspace
	for _, ws := range ga.workspaces {
		if ws.waiting > 0 && ga.room(now, ws) && (best == nil || ga.before(ws, best)) {
			best = ws
		}
	}
	return best
}

// before orders workspaces: those below their guarantee come first. Names
// break ties, so that the order of the map has no effect.
func (ga *Gate) before(ws, other *workspace) bool {
	use, otherUse := ws.use(), other.use()
	below, otherBelow := use < 1, otherUse < 1
	switch {
	case below != otherBelow:
		return below
	case below && use != otherUse:
		return use < otherUse
	}
	// A workspace that comes back is not credited for its absence.
	got, otherGot := max(ws.consumed, ga.floor), max(other.consumed, ga.floor)
	if got != otherGot {
		return got < otherGot
	}
	per, otherPer := ws.perWeight(ws.inUse), other.perWeight(other.inUse)
	if per != otherPer {
		return per < otherPer
	}
	return ws.share.Workspace < other.share.Workspace
}

// overdue returns the waiting requests whose time is up, and notes when the
// next one's is.
func (ga *Gate) overdue(now time.Time) []*request {
	var rqs []*request
	for _, rq := range ga.queued {
		switch {
		case !now.Before(rq.until):
			rqs = append(rqs, rq)
		case ga.earliest.IsZero() || rq.until.Before(ga.earliest):
			ga.earliest = rq.until
		}
	}
	slices.SortFunc(rqs, func(a, b *request) int { return a.until.Compare(b.until) })
	return rqs
}

func (ga *Gate) enqueue(now time.Time, rq *request) {
	rq.until = now.Add(ga.cfg.QueueTime)
	if !rq.Deadline.IsZero() && rq.Deadline.Before(rq.until) {
		rq.until = rq.Deadline
	}
	if ga.waiting == 0 || rq.until.Before(ga.earliest) {
		ga.earliest = rq.until
	}
	if rq.ca.waiting() == 0 {
		rq.ws.active = append(rq.ws.active, rq.ca)
	}
	rq.ca.queues[rq.Urgency] = append(rq.ca.queues[rq.Urgency], rq)
	rq.ws.waiting++
	ga.waiting++
	ga.queued[rq.ID] = rq
}

func (ga *Gate) remove(rq *request) {
	qu := rq.ca.queues[rq.Urgency]
	rq.ca.queues[rq.Urgency] = slices.Delete(qu, slices.Index(qu, rq), slices.Index(qu, rq)+1)
	if rq.ca.waiting() == 0 {
		at := slices.Index(rq.ws.active, rq.ca)
		rq.ws.active = slices.Delete(rq.ws.active, at, at+1)
	}
	rq.ws.waiting--
	ga.waiting--
	delete(ga.queued, rq.ID)
}

// victim returns the waiting request that makes room for rq in a full queue,
// or nil if rq itself is the one too many: the last one of the longest queue.
func (ga *Gate) victim(rq *request) *request {
	longest := rq.ws
	for _, ws := range ga.workspaces {
		if ws.backlog(rq) > longest.backlog(rq) {
			longest = ws
		}
	}
	most := rq.ca
	if longest != rq.ws {
		most = longest.active[0]
	}
	for _, ca := range longest.active {
		if ca.backlog(rq) > most.backlog(rq) {
			most = ca
		}
	}
	last := most.last()
	if most == rq.ca && (last == nil || last.Urgency >= rq.Urgency) {
		return nil
	}
	return last
}

// use returns the part of the guarantee that is in use.
func (ws *workspace) use() float64 {
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

// next returns the request that is served next.
func (ws *workspace) next() *request {
	best := ws.active[0]
	for _, ca := range ws.active[1:] {
		if max(ca.consumed, ws.floor) < max(best.consumed, ws.floor) {
			best = ca
		}
	}
	return best.next()
}

// forget drops callers that have neither requests nor consumption ahead of
// the others, and those not seen for long.
func (ws *workspace) forget(now time.Time) {
	for name, ca := range ws.callers {
		idle := ca.inUse == 0 && ca.waiting() == 0
		if idle && (ca.consumed <= ws.floor || now.Sub(ca.lastSeen) > callerMemory) {
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

// next returns the most urgent request, or in its turn the oldest.
func (ca *caller) next() *request {
	ca.turns++
	var best *request
	for urgency := MaxUrgency; urgency >= 0; urgency-- {
		if len(ca.queues[urgency]) == 0 {
			continue
		}
		rq := ca.queues[urgency][0]
		if best == nil || (ca.turns%oldestTurn == 0 && rq.offered.Before(best.offered)) {
			best = rq
		}
	}
	return best
}

// last returns the newest of the least urgent requests.
func (ca *caller) last() *request {
	for _, qu := range ca.queues {
		if len(qu) > 0 {
			return qu[len(qu)-1]
		}
	}
	return nil
}
