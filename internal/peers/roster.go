package peers

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

type (
	// RosterConfig configures a Roster.
	RosterConfig struct {
		Self                  string // name of this host, which never has an entry
		Zone                  string // of this host
		SuspectAfter          time.Duration
		OtherZoneSuspectAfter time.Duration // for hosts of other availability zones
		ForgetAfter           time.Duration // time without an update
	}

	// Roster holds the other hosts that one host knows. It depends only on its
	// inputs and the given time, and is not safe for concurrent use.
	//
	// Only a host's own heartbeat makes it alive. Gossip makes a host known, and
	// can report that it is draining.
	Roster struct {
		cfg     RosterConfig
		entries map[string]entry
	}

	// Change is the effect of an update on a roster.
	Change uint8

	entry struct {
		member     Member    // Alive is false; Get and Members compute it
		lastUpdate time.Time // last update, by a heartbeat or by gossip
	}
)

// The effects of an update.
const (
	// Ignored is an update without a name, of this host itself, of an older
	// incarnation, or of a new host while the roster is full.
	Ignored   Change = iota
	Unchanged        // the same incarnation in the same state
	Changed          // the same incarnation in another state
	Added            // a new host or a new incarnation
	Recovered        // a suspected host has sent a heartbeat
)

// maxMembers limits the size of the roster, so that gossip can't make it grow
// forever.
const maxMembers = 1024

// NewRoster returns an empty roster.
func NewRoster(cfg RosterConfig) *Roster {
	return &Roster{cfg: cfg, entries: make(map[string]entry)}
}

// SuspectAfter returns the time without heartbeats after which a host of a zone
// is suspected.
func (ro *Roster) SuspectAfter(zone string) time.Duration {
	if zone == ro.cfg.Zone {
		return ro.cfg.SuspectAfter
	}
	return ro.cfg.OtherZoneSuspectAfter
}

// RecordHeartbeat records a host's own heartbeat, which makes it alive unless
// the heartbeat is Ignored.
func (ro *Roster) RecordHeartbeat(now time.Time, me Member) Change {
	if me.Name == "" || me.Name == ro.cfg.Self {
		return Ignored
	}
	old, ok := ro.entries[me.Name]
	if !ok && len(ro.entries) >= maxMembers {
		return Ignored
	}
	if ok && me.Incarnation < old.member.Incarnation {
		return Ignored
	}
	if ok && me.Incarnation == old.member.Incarnation {
		me = me.merged(old.member)
	}
	ch := changeOf(old.member, me, ok, ro.alive(now, old.member))
	me.LastHeard = now
	me.Alive = false // computed by Get and Members
	ro.entries[me.Name] = entry{member: me, lastUpdate: now}
	return ch
}

// RecordGossip records what another host reports about a third one. It never
// makes that host alive.
func (ro *Roster) RecordGossip(now time.Time, me Member) Change {
	if me.Name == "" || me.Name == ro.cfg.Self {
		return Ignored
	}
	old, ok := ro.entries[me.Name]
	switch {
	case !ok && len(ro.entries) >= maxMembers, ok && me.Incarnation < old.member.Incarnation:
		return Ignored
	case !ok || me.Incarnation > old.member.Incarnation:
		me.LastHeard = time.Time{}
		me.Alive = false
		ro.entries[me.Name] = entry{member: me, lastUpdate: now}
		return Added
	case me.Draining && !old.member.Draining:
		old.member.Draining = true
		old.lastUpdate = now
		ro.entries[me.Name] = old
		return Changed
	default:
		return Unchanged
	}
}

// Forget removes the hosts without an update within ForgetAfter, and returns
// them.
func (ro *Roster) Forget(now time.Time) []Member {
	var forgotten []Member
	for name, en := range ro.entries {
		if now.Sub(en.lastUpdate) >= ro.cfg.ForgetAfter {
			forgotten = append(forgotten, en.member)
			delete(ro.entries, name)
		}
	}
	return forgotten
}

// Get returns the host with the given name, if it is known.
func (ro *Roster) Get(now time.Time, name string) (Member, bool) {
	en, ok := ro.entries[name]
	en.member.Alive = ok && ro.alive(now, en.member)
	return en.member, ok
}

// Members returns the other hosts, sorted by name.
func (ro *Roster) Members(now time.Time) []Member {
	ms := make([]Member, 0, len(ro.entries))
	for _, en := range ro.entries {
		en.member.Alive = ro.alive(now, en.member)
		ms = append(ms, en.member)
	}
	slices.SortFunc(ms, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return ms
}

// HasAddress reports whether a known host has this peer address.
func (ro *Roster) HasAddress(address string) bool {
	for en := range maps.Values(ro.entries) {
		if en.member.PeerAddress == address {
			return true
		}
	}
	return false
}

// Gossip returns at most count living hosts other than the recipient, starting
// at position from, which the caller advances with each message.
func (ro *Roster) Gossip(now time.Time, recipient string, from, count int) []Member {
	var alive []Member
	for _, me := range ro.Members(now) {
		if me.Alive && me.Name != recipient {
			alive = append(alive, me)
		}
	}
	count = min(count, len(alive))
	out := make([]Member, 0, count)
	for i := range count {
		out = append(out, alive[(from+i)%len(alive)])
	}
	return out
}

// alive reports whether the last heartbeat of a host is recent enough.
func (ro *Roster) alive(now time.Time, me Member) bool {
	return !me.LastHeard.IsZero() && now.Sub(me.LastHeard) < ro.SuspectAfter(me.Zone)
}

// merged returns the member with the later of the two values of each field that
// only grows during one incarnation (Draining, DeclarationsRevision and
// SchedulerEpoch), because heartbeats over two sessions may arrive out of order.
func (me Member) merged(old Member) Member {
	me.Draining = me.Draining || old.Draining
	me.DeclarationsRevision = max(me.DeclarationsRevision, old.DeclarationsRevision)
	if me.SchedulerEpoch < old.SchedulerEpoch {
		me.SchedulerEpoch = old.SchedulerEpoch
		me.Scheduler = old.Scheduler
	}
	return me
}

// changeOf returns the effect of a heartbeat that changes a member from old to
// me. Known reports whether there was an old one, and alive whether that was
// alive.
func changeOf(old, me Member, known, alive bool) Change {
	switch {
	case !known || old.Incarnation != me.Incarnation:
		return Added
	case old.LastHeard.IsZero():
		return Added
	case !alive:
		return Recovered
	case old.Ready != me.Ready || old.Draining != me.Draining || old.PeerAddress != me.PeerAddress:
		return Changed
	default:
		return Unchanged
	}
}
