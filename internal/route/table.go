// Package route selects the destination of a request: an endpoint of the local
// zone or an entry host of another zone. It also decides whether a request may
// be retried.
//
// Every slot of an endpoint belongs to exactly one entry host of the zone, by
// rendezvous hashing over the live hosts. Hosts that agree on the membership
// never exceed the slots of an endpoint together, although they do not
// communicate, and a host that joins or leaves moves only its own slots. A host
// with queued requests may borrow free slots of other hosts, see borrowing.
//
// Endpoints are ejected by outlier detection: unreachable ones until a probe
// succeeds, failing ones until a backoff has passed. Both return on probation,
// with one request at a time. The last endpoint is never ejected, and failed
// attempts eject at most half of the endpoints.
//
// Nothing in this package performs I/O, reads a clock or is safe for concurrent
// use.
package route

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

type (
	// Config identifies the host that a table belongs to.
	Config struct {
		Host string
		Seed uint64
	}

	// Endpoint is one endpoint of a service in the local zone.
	Endpoint struct {
		Name        string
		Address     string
		Slots       int  // over all entry hosts
		Connections int  // over all entry hosts
		Draining    bool // according to the platform's list or another host
	}

	// Choice is the result of Table.Pick: Chosen or None.
	Choice interface{ isChoice() }

	// Chosen is the endpoint of the next attempt. Release returns its slot.
	Chosen struct {
		Endpoint   Endpoint
		Candidates int        // known endpoints, including draining and removed ones
		Rejections Rejections // of the other endpoints; if Borrowed, this one counts as well
		Borrowed   bool       // the slot belongs to another host
	}

	// None says that no endpoint can take the request.
	None struct {
		Candidates int        // as in Chosen
		Rejections Rejections // of all endpoints
	}

	// Rejections counts the endpoints that were not chosen, by reason.
	Rejections struct {
		Draining          int // shutting down or removed from the list
		Ejected           int // ejected after failures
		Tried             int // tried by this request before
		Full              int // none of the slots that this host owns and may use there is free, or the endpoint recently refused a request because no slot was free
		HigherUtilization int // not less utilized than the chosen one
	}

	// Table holds the state of the endpoints of one service on one entry host.
	Table struct {
		cfg         Config
		rnd         *rand.Rand
		hosts       []string
		states      []*endpointState // by name
		failureRate float64          // moving average over all endpoints
		borrowing   borrowing
	}

	// endpointState is the state of one endpoint.
	endpointState struct {
		Endpoint
		owned             int  // slots that this host owns
		inUse             int  // slots that this host uses, owned and borrowed
		announcedDraining bool // by the endpoint itself
		health            health
		removed           bool // from the list, but with requests in progress
	}
)

// New returns an empty table.
func New(cfg Config) *Table {
	return &Table{cfg: cfg, rnd: rand.New(rand.NewPCG(cfg.Seed, cfg.Seed))}
}

// Update replaces the list of endpoints and the entry hosts of the zone that
// share them. Endpoints that stay on the list keep their state.
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
	// Endpoints that were removed from the list stay until their requests have
	// ended.
	for _, st := range old {
		if st.inUse > 0 {
			st.removed = true
			states = append(states, st)
		}
	}
	slices.SortFunc(states, func(a, b *endpointState) int { return strings.Compare(a.Name, b.Name) })
	ta.states = states
}

// Capacity returns the number of slots that this host may use now. It includes
// slots in use at endpoints that take no new requests, so that Capacity minus
// the requests in progress is the number of free slots.
func (ta *Table) Capacity(now time.Time) int {
	total := 0
	for _, st := range ta.states {
		total += max(st.usableSlots(now), st.inUse)
	}
	return total + max(ta.borrowing.limit-ta.borrowed(), 0)
}

// UsableSlots returns the number of slots, free or not, of this host at
// endpoints that take new requests.
func (ta *Table) UsableSlots(now time.Time) int {
	total := 0
	for _, st := range ta.states {
		total += st.usableSlots(now)
	}
	return total
}

// TotalSlots returns the number of slots of all endpoints, whichever host owns
// them.
func (ta *Table) TotalSlots() int {
	total := 0
	for _, st := range ta.states {
		if !st.removed {
			total += st.Slots
		}
	}
	return total
}

// Pick chooses the endpoint with the lowest utilization of the slots that this
// host owns. If none of them is free, it borrows a slot of another host within
// the limits of borrowing. Endpoints named in tried are skipped.
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
			rj.HigherUtilization += boolToInt(best != nil)
			best, ties = st, 1
		default:
			rj.HigherUtilization++
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

// Release returns the slot of a chosen endpoint and records what the attempt
// has shown. It ignores unknown endpoints.
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

// Observe records what a probe, or a response in addition to Release, has shown
// about an endpoint. It ignores unknown endpoints.
func (ta *Table) Observe(now time.Time, name string, ob Observation) {
	if st := ta.find(name); st != nil {
		ta.record(now, st, ob)
	}
}

// DrainingNames returns the names of the endpoints that have stated that they are
// shutting down.
func (ta *Table) DrainingNames() []string {
	var names []string
	for _, st := range ta.states {
		if st.announcedDraining {
			names = append(names, st.Name)
		}
	}
	return names
}

// ConnectionLimit returns the number of connections that this host may keep
// open to an endpoint: an equal share of the endpoint's limit, at least 1. It is
// 1 for an endpoint that is unknown or has no slots.
func (ta *Table) ConnectionLimit(name string) int {
	st := ta.find(name)
	if st == nil || st.Slots == 0 {
		return 1
	}
	return max(1, st.Connections/max(1, len(ta.hosts)))
}

// find returns the state of an endpoint, or nil if the endpoint is unknown.
func (ta *Table) find(name string) *endpointState {
	for _, st := range ta.states {
		if st.Name == name {
			return st
		}
	}
	return nil
}

// String returns the reasons with their counts, such as "leaving:1,full:3", or
// "none". The names of the reasons are values of the routing log.
func (rj Rejections) String() string {
	var parts []string
	for _, re := range []struct {
		name  string
		count int
	}{
		{"leaving", rj.Draining},
		{"aside", rj.Ejected},
		{"tried", rj.Tried},
		{"full", rj.Full},
		{"loaded", rj.HigherUtilization},
	} {
		if re.count > 0 {
			parts = append(parts, fmt.Sprintf("%s:%d", re.name, re.count))
		}
	}
	if parts == nil {
		return "none"
	}
	return strings.Join(parts, ",")
}

func (Chosen) isChoice() {}
func (None) isChoice()   {}

// isDraining reports whether the endpoint is shutting down or removed from the
// list.
func (st *endpointState) isDraining() bool { return st.removed || st.Draining || st.announcedDraining }

// usableSlots returns the number of slots that this host may use without
// borrowing.
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

// accepts reports whether the endpoint may get a request that has not been tried
// there, regardless of the slots that this host owns and uses there.
func (st *endpointState) accepts(now time.Time, tried []string) bool {
	return !st.isDraining() && !slices.Contains(tried, st.Name) && !st.health.isEjected(now) && !now.Before(st.health.fullUntil)
}

// utilization returns the slots in use as a fraction of the owned ones.
func (st *endpointState) utilization() float64 { return float64(st.inUse) / float64(st.owned) }

// withHost returns a copy of hosts that includes host.
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
