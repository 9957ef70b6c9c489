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
		member    Member
		known     time.Time // when it was last listed
		passUntil time.Time // until when it is not asked
		lastUntil time.Time // until when it is asked after all others
	}
)

const (
	// maxMembers bounds the roster.
	maxMembers = 12
	// maxInZone and maxInRegion leave room for hosts that don't share the zone's
	// or the region's way to the store.
	maxInZone   = 5
	maxInRegion = 4
	// forgetAfter is how long an entry lasts that no list confirms: longer than the
	// partitions in which the roster is needed.
	forgetAfter = 15 * time.Minute
	// silentFor is for how long a host that did not answer is passed over.
	silentFor = 1500 * time.Millisecond
	// doubtedFor is for how long a host that failed is asked after others: a
	// partition lasts longer than a host is passed over, and there are two tries.
	doubtedFor = 10 * time.Second
	// minRefusedFor and maxRefusedFor bound how long a host that refused is passed
	// over.
	minRefusedFor = 100 * time.Millisecond
	maxRefusedFor = 2 * time.Second
)

// NewRoster returns the roster of a host that knows no other.
func NewRoster(self Member) *Roster { return &Roster{self: self} }

// Listed takes the whole list of hosts from the store: those that are missing
// from it have gone.
func (ro *Roster) Listed(now time.Time, members []Member) {
	old := ro.entries
	ro.entries = nil
	for _, me := range members {
		for _, en := range old {
			if en.member.Name == me.Name {
				ro.entries = append(ro.entries, en)
			}
		}
	}
	ro.Learned(now, members)
}

// Learned takes hosts that another one knows.
func (ro *Roster) Learned(now time.Time, members []Member) {
	for _, me := range members {
		if me.valid() && me.Name != ro.self.Name && me.Address != ro.self.Address {
			ro.learn(now, me)
		}
	}
	ro.entries = slices.DeleteFunc(ro.entries, func(en entry) bool { return now.Sub(en.known) >= forgetAfter })
	slices.SortFunc(ro.entries, func(a, b entry) int { return ro.self.compare(a.member, b.member) })
	ro.trim()
}

// learn enters a host. A later start replaces an earlier one, with what was
// noted of it.
func (ro *Roster) learn(now time.Time, me Member) {
	at := slices.IndexFunc(ro.entries, func(en entry) bool { return en.member.Name == me.Name })
	switch {
	case at < 0:
		ro.entries = append(ro.entries, entry{member: me, known: now})
	case ro.entries[at].member == me:
		ro.entries[at].known = now
	case me.Started >= ro.entries[at].member.Started:
		ro.entries[at] = entry{member: me, known: now}
	}
}

// trim drops the last of those that exceed the bounds. Room that a distance does
// not use is for the nearest others.
func (ro *Roster) trim() {
	if len(ro.entries) <= maxMembers {
		return
	}
	bounds := [distances]int{sameZone: maxInZone, sameRegion: maxInRegion, elsewhere: maxMembers}
	var counts [distances]int
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
	least := -1
	for _, en := range ro.entries {
		me := en.member
		if now.Before(en.passUntil) || slices.ContainsFunc(tried, func(tr Member) bool { return tr.Name == me.Name }) {
			continue
		}
		rank := 0
		if slices.ContainsFunc(tried, func(tr Member) bool { return tr.Zone == me.Zone }) {
			rank++
		}
		if now.Before(en.lastUntil) {
			rank += 2
		}
		if least < 0 || rank < least {
			best, least = me, rank
		}
	}
	return best, least >= 0
}

// Answered notes that a host has decided a call.
func (ro *Roster) Answered(me Member) {
	for i := range ro.entries {
		if ro.entries[i].member == me {
			ro.entries[i].passUntil, ro.entries[i].lastUntil = time.Time{}, time.Time{}
		}
	}
}

// Silent notes that a host did not answer.
func (ro *Roster) Silent(now time.Time, me Member) { ro.pass(now, me, silentFor) }

// Refused notes that a host refused, and when it may be asked again.
func (ro *Roster) Refused(now time.Time, me Member, wait time.Duration) {
	ro.pass(now, me, min(max(wait, minRefusedFor), maxRefusedFor))
}

// pass has a host passed over for a time, and asked last for a longer one.
func (ro *Roster) pass(now time.Time, me Member, span time.Duration) {
	for i := range ro.entries {
		if ro.entries[i].member == me {
			ro.entries[i].passUntil, ro.entries[i].lastUntil = now.Add(span), now.Add(doubtedFor)
		}
	}
}
