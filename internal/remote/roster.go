package remote

import (
	"slices"
	"time"
)

type (
	// Roster holds the other hosts known to a host, at most maxMembers, and
	// chooses the one to forward a call to. It does no I/O and is not safe for
	// concurrent use.
	Roster struct {
		self    Member
		entries []rosterEntry // in the order of preference
	}

	rosterEntry struct {
		member         Member
		lastSeen       time.Time // when it was last listed or received from another host
		skipUntil      time.Time // until then, not chosen
		suspectedUntil time.Time // until then, chosen only if no other host is left
	}
)

const (
	// maxMembers limits the size of the roster.
	maxMembers = 12
	// maxInZone and maxInRegion limit the hosts of this host's zone and region, so
	// that others remain, which may reach the store by another path.
	maxInZone   = 5
	maxInRegion = 4
	// entryLifetime is how long an entry is kept without confirmation. It is
	// longer than the partitions in which the roster is needed.
	entryLifetime = 15 * time.Minute
	// failureBackoff is how long a host that did not respond is skipped.
	failureBackoff = 1500 * time.Millisecond
	// suspectedTime is how long a host that failed or refused a call is chosen only
	// after others. It is longer than failureBackoff because partitions last longer
	// and there are only two attempts.
	suspectedTime = 10 * time.Second
	// minRefusalBackoff and maxRefusalBackoff bound how long a host that refused a
	// call is skipped.
	minRefusalBackoff = 100 * time.Millisecond
	maxRefusalBackoff = 2 * time.Second
)

// NewRoster returns an empty roster for the host self.
func NewRoster(self Member) *Roster { return &Roster{self: self} }

// Replace sets the hosts to the complete list from the store. Entries of hosts
// that are missing from it are dropped, and the others keep their recorded
// failures unless the host has restarted.
func (ro *Roster) Replace(now time.Time, members []Member) {
	old := ro.entries
	ro.entries = nil
	for _, me := range members {
		for _, en := range old {
			if en.member.Name == me.Name {
				ro.entries = append(ro.entries, en)
			}
		}
	}
	ro.Merge(now, members)
}

// Merge adds hosts, drops expired entries and trims the roster to its limits.
func (ro *Roster) Merge(now time.Time, members []Member) {
	for _, me := range members {
		if me.valid() && me.Name != ro.self.Name && me.Address != ro.self.Address {
			ro.upsert(now, me)
		}
	}
	ro.entries = slices.DeleteFunc(ro.entries, func(en rosterEntry) bool { return now.Sub(en.lastSeen) >= entryLifetime })
	slices.SortFunc(ro.entries, func(a, b rosterEntry) int { return ro.self.compare(a.member, b.member) })
	ro.trim()
}

// upsert adds a host. A later start of a host replaces the earlier one, along
// with its recorded failures.
func (ro *Roster) upsert(now time.Time, me Member) {
	index := slices.IndexFunc(ro.entries, func(en rosterEntry) bool { return en.member.Name == me.Name })
	switch {
	case index < 0:
		ro.entries = append(ro.entries, rosterEntry{member: me, lastSeen: now})
	case ro.entries[index].member == me:
		ro.entries[index].lastSeen = now
	case me.Started >= ro.entries[index].member.Started:
		ro.entries[index] = rosterEntry{member: me, lastSeen: now}
	}
}

// trim drops the most distant hosts that exceed the limits. Space that one
// distance does not use goes to the nearest of the rest.
func (ro *Roster) trim() {
	if len(ro.entries) <= maxMembers {
		return
	}
	bounds := [numDistances]int{sameZone: maxInZone, sameRegion: maxInRegion, elsewhere: maxMembers}
	var counts [numDistances]int
	var kept, rest []rosterEntry
	for _, en := range ro.entries {
		di := ro.self.distanceTo(en.member)
		counts[di]++
		if counts[di] <= bounds[di] && len(kept) < maxMembers {
			kept = append(kept, en)
		} else {
			rest = append(rest, en)
		}
	}
	ro.entries = append(kept, rest[:maxMembers-len(kept)]...)
	slices.SortFunc(ro.entries, func(a, b rosterEntry) int { return ro.self.compare(a.member, b.member) })
}

// Members returns the known hosts in the order of preference, nearest first.
func (ro *Roster) Members() []Member {
	members := make([]Member, len(ro.entries))
	for i, en := range ro.entries {
		members[i] = en.member
	}
	return members
}

// Choose returns the host to try next, if any: the nearest one that was not
// tried and is not skipped. Hosts that failed or refused a call within
// suspectedTime come last. After a failed attempt, hosts of zones that were not
// tried come first, since a whole zone may have lost its connection to the store.
func (ro *Roster) Choose(now time.Time, tried []Member) (Member, bool) {
	var best Member
	bestRank := -1
	for _, en := range ro.entries {
		me := en.member
		if now.Before(en.skipUntil) || slices.ContainsFunc(tried, func(tr Member) bool { return tr.Name == me.Name }) {
			continue
		}
		rank := 0
		if slices.ContainsFunc(tried, func(tr Member) bool { return tr.Zone == me.Zone }) {
			rank++
		}
		if now.Before(en.suspectedUntil) {
			rank += 2
		}
		if bestRank < 0 || rank < bestRank {
			best, bestRank = me, rank
		}
	}
	return best, bestRank >= 0
}

// RecordSuccess records that a host has decided a call, which clears its
// failures.
func (ro *Roster) RecordSuccess(me Member) {
	for i := range ro.entries {
		if ro.entries[i].member == me {
			ro.entries[i].skipUntil, ro.entries[i].suspectedUntil = time.Time{}, time.Time{}
		}
	}
}

// RecordFailure records that a host did not respond.
func (ro *Roster) RecordFailure(now time.Time, me Member) { ro.backOff(now, me, failureBackoff) }

// RecordRefusal records that a host refused a call, and the time after which it
// may be tried again.
func (ro *Roster) RecordRefusal(now time.Time, me Member, wait time.Duration) {
	ro.backOff(now, me, min(max(wait, minRefusalBackoff), maxRefusalBackoff))
}

// backOff makes Choose skip a host for span, and choose it only after others
// for suspectedTime.
func (ro *Roster) backOff(now time.Time, me Member, span time.Duration) {
	for i := range ro.entries {
		if ro.entries[i].member == me {
			ro.entries[i].skipUntil, ro.entries[i].suspectedUntil = now.Add(span), now.Add(suspectedTime)
		}
	}
}
