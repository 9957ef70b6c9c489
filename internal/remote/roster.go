package remote

import (
	"slices"
	"time"
)

type (
	// Roster is what a host knows of the others, and whom it asks. It is bounded
	// and does no I/O; its user guards it.
	Roster struct {
		self    Member
		entries []entry // in the order in which they are asked
	}

	entry struct {
		member         Member
		lastSeen       time.Time // when it was last listed
		skipUntil      time.Time // until when it is not asked
		suspectedUntil time.Time // until when it is asked after all others
	}
)

const (
	// maxMembers bounds the roster.
	maxMembers = 12
	// maxInZone and maxInRegion leave room for hosts that don't share the zone's
	// or the region's way to the store.
	maxInZone   = 5
	maxInRegion = 4
	// entryLifetime is how long an entry lasts that no list confirms: longer than the
	// partitions in which the roster is needed.
	entryLifetime = 15 * time.Minute
	// failureBackoff is for how long a host that did not answer is passed over.
	failureBackoff = 1500 * time.Millisecond
	// suspectedTime is for how long a host that failed is asked after others: a
	// partition lasts longer than a host is passed over, and there are two tries.
	suspectedTime = 10 * time.Second
	// minRefusalBackoff and maxRefusedFor bound how long a host that refused is passed
	// over.
	minRefusalBackoff = 100 * time.Millisecond
	maxRefusalBackoff = 2 * time.Second
)

// NewRoster returns the roster of a host that knows no other.
func NewRoster(self Member) *Roster { return &Roster{self: self} }

// Replace takes the whole list of hosts from the store: those that are missing
// from it have gone.
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

// Merge takes hosts that another one knows.
func (ro *Roster) Merge(now time.Time, members []Member) {
	for _, me := range members {
		if me.valid() && me.Name != ro.self.Name && me.Address != ro.self.Address {
			ro.upsert(now, me)
		}
	}
	ro.entries = slices.DeleteFunc(ro.entries, func(en entry) bool { return now.Sub(en.lastSeen) >= entryLifetime })
	slices.SortFunc(ro.entries, func(a, b entry) int { return ro.self.compare(a.member, b.member) })
	ro.trim()
}

// upsert enters a host. A later start replaces an earlier one, with what was
// noted of it.
func (ro *Roster) upsert(now time.Time, me Member) {
	index := slices.IndexFunc(ro.entries, func(en entry) bool { return en.member.Name == me.Name })
	switch {
	case index < 0:
		ro.entries = append(ro.entries, entry{member: me, lastSeen: now})
	case ro.entries[index].member == me:
		ro.entries[index].lastSeen = now
	case me.Started >= ro.entries[index].member.Started:
		ro.entries[index] = entry{member: me, lastSeen: now}
	}
}

// trim drops the last of those that exceed the bounds. Room that a distance does
// not use is for the nearest others.
func (ro *Roster) trim() {
	if len(ro.entries) <= maxMembers {
		return
	}
	bounds := [numDistances]int{sameZone: maxInZone, sameRegion: maxInRegion, elsewhere: maxMembers}
	var counts [numDistances]int
	var kept, rest []entry
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
	slices.SortFunc(ro.entries, func(a, b entry) int { return ro.self.compare(a.member, b.member) })
}

// Members returns the hosts that are known, the nearest first.
func (ro *Roster) Members() []Member {
	members := make([]Member, len(ro.entries))
	for i, en := range ro.entries {
		members[i] = en.member
	}
	return members
}

// Choose returns whom to ask next, if there is anyone: the nearest host that has
// not been tried and is not passed over. Those that failed lately come last, and
// after one has failed, hosts of other zones come first, since a zone may be
// without the store as a whole.
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

// RecordSuccess notes that a host has decided a call.
func (ro *Roster) RecordSuccess(me Member) {
	for i := range ro.entries {
		if ro.entries[i].member == me {
			ro.entries[i].skipUntil, ro.entries[i].suspectedUntil = time.Time{}, time.Time{}
		}
	}
}

// RecordFailure notes that a host did not answer.
func (ro *Roster) RecordFailure(now time.Time, me Member) { ro.backOff(now, me, failureBackoff) }

// RecordRefusal notes that a host refused, and when it may be asked again.
func (ro *Roster) RecordRefusal(now time.Time, me Member, wait time.Duration) {
	ro.backOff(now, me, min(max(wait, minRefusalBackoff), maxRefusalBackoff))
}

// backOff has a host passed over for a time, and asked last for a longer one.
func (ro *Roster) backOff(now time.Time, me Member, span time.Duration) {
	for i := range ro.entries {
		if ro.entries[i].member == me {
			ro.entries[i].skipUntil, ro.entries[i].suspectedUntil = now.Add(span), now.Add(suspectedTime)
		}
	}
}
