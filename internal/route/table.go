// Package route decides where a request goes: which endpoint of the own zone,
// which entry host of another zone, and whether it may be sent once more.
//
// Every slot of an endpoint belongs to exactly one entry host of the zone, by
// rendezvous hashing over the hosts that are alive. Hosts that see the same
// members never use more than an endpoint's slots together, without speaking
// to each other, and a host that comes or goes moves only its own slots. A host
// whose requests wait may use slots of others that are idle, see loans.
//
// Endpoints are put aside by evidence: those that can't be reached until a
// probe reaches them, those that answer badly until a back-off has passed. Both
// return on probation, with one request at a time. The last endpoint is never
// put aside, and bad answers put aside at most half of all.
//
// Nothing here performs I/O, reads a clock or is safe for concurrent use.
package route

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

type (
	// Config names the host that a table belongs to.
	Config struct {
		Host string
		Seed uint64
	}

	// Endpoint is one endpoint of a service in the own zone.
	Endpoint struct {
		Name        string
		Address     string
		Slots       int  // over all entry hosts
		Connections int  // over all entry hosts
		Draining    bool // by the platform's list or another host
	}

	// Choice is the result of Pick: Chosen or None.
	Choice interface{ isChoice() }

	// Chosen is the endpoint of the next attempt, which Done gives back.
	Chosen struct {
		Endpoint   Endpoint
		Candidates int        // endpoints that were looked at
		Rejections Rejections // why the others were not chosen
		Borrowed   bool       // a slot of another host
	}

	// None says that no endpoint takes the request.
	None struct {
		Candidates int
		Rejections Rejections
	}

	// Rejections counts endpoints by the reason for which they were not chosen.
	Rejections struct {
		Draining int // get nothing new
		Ejected  int // failed before
		Tried    int // by this request
		Full     int // no own slot is free, or refused for want of one lately
		Busier   int // more in use than the chosen one
	}

	// Table is what one host knows of the endpoints of one service.
	Table struct {
		cfg         Config
		rnd         *rand.Rand
		hosts       []string
		states      []*endpointState // by name
		failureRate float64          // moving part of attempts that failed at the endpoint
		borrowing   borrowing
	}

	// endpointState is what is known of one endpoint.
	endpointState struct {
		Endpoint
		owned             int
		inUse             int
		announcedDraining bool // the endpoint itself said that it leaves
		health            health
		removed           bool
	}
)

// New returns an empty table.
func New(cfg Config) *Table {
	return &Table{cfg: cfg, rnd: rand.New(rand.NewPCG(cfg.Seed, cfg.Seed))}
}

// Update replaces the endpoints and the entry hosts of the zone that share
// them. What is known of endpoints that stay is kept.
func (ta *Table) Update(endpoints []Endpoint, hosts []string) {
	ta.hosts = withHost(hosts, ta.cfg.Host)
	old := make(map[string]*endpointState, len(ta.states))
	for _, st := range ta.states {
		old[st.Name] = st
	}
	states := make([]*endpointState, 0, len(endpoints))
	for _, ep := range endpoints {
		st, ok := old[ep.Name]
		if !ok || st.Address != ep.Address {
			st = &endpointState{}
		} else {
			delete(old, ep.Name)
		}
		st.Endpoint = ep
		st.removed = false
		st.owned = OwnedSlots(ta.hosts, ta.cfg.Host, ep.Name, ep.Slots)
		states = append(states, st)
	}
	// Endpoints off the list stay until their requests have ended.
	for _, st := range old {
		if st.inUse > 0 {
			st.removed = true
			states = append(states, st)
		}
	}
	slices.SortFunc(states, func(a, b *endpointState) int { return strings.Compare(a.Name, b.Name) })
	ta.states = states
}

// Capacity returns the slots that this host may use now. Slots in use at
// endpoints that take nothing new are included, so that Capacity less the
// requests in progress is what is free.
func (ta *Table) Capacity(now time.Time) int {
	total := 0
	for _, st := range ta.states {
		total += max(st.usableSlots(now), st.inUse)
	}
	return total + max(ta.borrowing.limit-ta.borrowed(), 0)
}

// UsableSlots returns the slots at endpoints that take new requests, in use or not.
func (ta *Table) UsableSlots(now time.Time) int {
	total := 0
	for _, st := range ta.states {
		total += st.usableSlots(now)
	}
	return total
}

// TotalSlots returns the slots of all endpoints, whoever owns them.
func (ta *Table) TotalSlots() int {
	total := 0
	for _, st := range ta.states {
		if !st.removed {
			total += st.Slots
		}
	}
	return total
}

// Pick chooses the endpoint with the smallest part of its own slots in use, or
// if none is free, a slot of another host as far as loans go. Endpoints named
// in tried are left out.
func (ta *Table) Pick(now time.Time, tried []string) Choice {
	var best *endpointState
	var rj Rejections
	ties := 0
	for _, st := range ta.states {
		switch {
		case st.isDraining():
			rj.Draining++
		case slices.Contains(tried, st.Name):
			rj.Tried++
		case st.health.isEjected(now):
			rj.Ejected++
		case st.inUse >= st.usableSlots(now) || now.Before(st.health.fullUntil):
			rj.Full++
		case best == nil || st.utilization() < best.utilization():
			rj.Busier += boolToInt(best != nil)
			best, ties = st, 1
		default:
			rj.Busier++
			if st.utilization() == best.utilization() {
				ties++
				if ta.rnd.IntN(ties) == 0 {
					best = st
				}
			}
		}
	}
	borrowed := best == nil
	if borrowed {
		best = ta.pickBorrowed(now, tried)
	}
	if best == nil {
		return None{Candidates: len(ta.states), Rejections: rj}
	}
	best.inUse++
	return Chosen{Endpoint: best.Endpoint, Candidates: len(ta.states), Rejections: rj, Borrowed: borrowed}
}

// Release gives back the slot of a chosen endpoint and enters what was seen.
func (ta *Table) Release(now time.Time, name string, ob Observation) {
	st := ta.find(name)
	if st == nil {
		return
	}
	st.inUse = max(st.inUse-1, 0)
	ta.record(now, st, ob)
	if st.removed && st.inUse == 0 {
		ta.states = slices.DeleteFunc(ta.states, func(other *endpointState) bool { return other == st })
	}
}

// Observe enters the result of a probe.
func (ta *Table) Observe(now time.Time, name string, ob Observation) {
	if st := ta.find(name); st != nil {
		ta.record(now, st, ob)
	}
}

// Draining returns the names of the endpoints that said that they leave.
func (ta *Table) Draining() []string {
	var names []string
	for _, st := range ta.states {
		if st.announcedDraining {
			names = append(names, st.Name)
		}
	}
	return names
}

// ConnectionLimit returns the connections that this host may keep open to an
// endpoint: its part of the endpoint's own bound, by its part of the slots.
func (ta *Table) ConnectionLimit(name string) int {
	st := ta.find(name)
	if st == nil || st.Slots == 0 {
		return 1
	}
	return max(1, st.Connections/max(1, len(ta.hosts)))
}

func (ta *Table) find(name string) *endpointState {
	for _, st := range ta.states {
		if st.Name == name {
			return st
		}
	}
	return nil
}

func (Chosen) isChoice() {}
func (None) isChoice()   {}

func (st *endpointState) isDraining() bool { return st.removed || st.Draining || st.announcedDraining }

// usableSlots returns the slots that requests may use.
func (st *endpointState) usableSlots(now time.Time) int {
	switch {
	case st.isDraining() || st.health.isEjected(now):
		return 0
	case st.health.isUnhealthy():
		return min(st.owned, 1)
	default:
		return st.owned
	}
}

// accepts tells whether the endpoint may get another request, slots aside.
func (st *endpointState) accepts(now time.Time, tried []string) bool {
	return !st.isDraining() && !slices.Contains(tried, st.Name) && !st.health.isEjected(now) && !now.Before(st.health.fullUntil)
}

func (st *endpointState) utilization() float64 { return float64(st.inUse) / float64(st.owned) }

func withHost(hosts []string, host string) []string {
	if slices.Contains(hosts, host) {
		return slices.Clone(hosts)
	}
	return append(slices.Clone(hosts), host)
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
