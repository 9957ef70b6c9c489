package domain

import (
	"slices"
	"time"
)

// trust is which evidence a unit asks of its workers. Each level includes those
// before it.
type trust uint8

const (
	trustAny    trust = iota
	trustFresh        // has not failed the unit
	trustSound        // and is in no doubt
	trustProven       // and has succeeded lately
	trustApart        // and is in no rack of a worker that has failed the unit
)

// slackShare is the part of a unit's slack for which its last attempt waits for
// a worker that has succeeded lately.
const slackShare = 0.8

var (
	anyWorker   = []trust{trustAny}
	freshFirst  = []trust{trustFresh, trustAny}
	soundFirst  = []trust{trustSound, trustFresh, trustAny}
	provenFirst = []trust{trustApart, trustProven, trustSound, trustFresh, trustAny}
)

// meets tells whether a worker is what a unit asks for.
func (co *Core) meets(now time.Time, un *unit, nd *node, tr trust) bool {
	switch {
	case tr == trustAny:
		return true
	case un.avoid[nd.worker.ID]:
		return false
	case tr == trustFresh:
		return true
	case tr == trustSound:
		return !nd.health.doubted
	case tr == trustApart && co.sharesRack(un, nd):
		return false
	default:
		return nd.health.proven(now)
	}
}

// sharesRack tells whether a worker is in the rack of one that has failed a unit.
// Workers of a rack often fail within a second of each other, so that a recent
// success there proves little.
func (co *Core) sharesRack(un *unit, nd *node) bool {
	if nd.worker.Rack == "" || un.step.Rack != "" {
		return false
	}
	for id := range un.avoid {
		if other, ok := co.nodes[id]; ok && other.worker.Rack == nd.worker.Rack && other.worker.Zone == nd.worker.Zone {
			return true
		}
	}
	return false
}

// trustLevels returns what a unit asks of its workers, in the order in which that is
// tried. A last attempt waits for workers that meet the stricter levels, so the
// looser ones are left out: it waits for proven workers while it can meet its
// objective, and for workers that have not failed it and are in no doubt while it
// can still earn something.
func (co *Core) trustLevels(ps *pass, un *unit, service string) []trust {
	doubts := co.doubts(service)
	switch {
	case len(un.avoid) == 0 && !doubts:
		return anyWorker
	case !co.lastAttempt(un) || un.step.Lasting:
		if doubts {
			return soundFirst
		}
		return freshFirst
	case un.hopeless(ps.now):
		return provenFirst
	}
	levels := provenFirst
	if !doubts {
		levels = freshFirst
	}
	for i, tr := range levels {
		if tr == trustAny || tr >= trustProven && !un.hasSlack(ps.now) {
			continue
		}
		if co.hasOthers(ps, un, service, tr) {
			return levels[:i+1]
		}
	}
	return levels
}

// placedSingly tells whether a unit is placed apart from the others of its rank: its
// last attempt, while workers of the service are in doubt.
func (co *Core) placedSingly(un *unit, service string) bool {
	return co.doubts(service) && co.lastAttempt(un)
}

// doubts tells whether workers of a service are in doubt or out of use.
func (co *Core) doubts(service string) bool {
	return len(co.evidence.doubts) > 0 && co.evidence.doubts[service]
}

// lastAttempt tells whether one more failure of a unit fails its job.
func (co *Core) lastAttempt(un *unit) bool { return un.failures+1 >= co.maxAttempts(un.job) }

// least returns the least trust that a unit asks of workers at present.
func (co *Core) least(ps *pass, un *unit, service string) trust {
	if len(un.avoid) == 0 && !co.doubts(service) {
		return trustAny
	}
	if tr, ok := ps.least[un]; ok {
		return tr
	}
	levels := co.trustLevels(ps, un, service)
	ps.least[un] = levels[len(levels)-1]
	return ps.least[un]
}

// declines tells whether a unit does not accept a worker, so that no other work is
// stopped there for it.
func (co *Core) declines(ps *pass, un *unit, nd *node) bool {
	return un.avoid[nd.worker.ID] || !co.meets(ps.now, un, nd, co.least(ps, un, nd.worker.Service))
}

// hasOthers tells whether a unit would fit on workers that meet a level of trust, if
// they were empty. It then waits for them: an attempt that fails once more on a bad
// worker may be the last.
func (co *Core) hasOthers(ps *pass, un *unit, service string, tr trust) bool {
	n := 0
	for _, nd := range co.usable(ps, service) {
		if co.meets(ps.now, un, nd, tr) && un.suits(nd) {
			n += un.fits(nd, nd.worker.Capacity, un.tasks)
		}
		if n >= un.tasks {
			return true
		}
	}
	return false
}

// hasSlack tells whether a unit may wait and its job still meet its objective.
func (un *unit) hasSlack(now time.Time) bool {
	slack := un.goal().Sub(un.submitted()) - un.job.chainFrom(un.at)
	wait := time.Duration(slackShare * float64(slack))
	if un.assured {
		wait = min(wait, maxNearWait)
	}
	return now.Sub(un.submitted()) < wait
}

// chainFrom returns the declared run time of the longest chain of steps that
// begins with a step.
func (jb *job) chainFrom(at int) time.Duration {
	var longest time.Duration
	for next := at + 1; next < len(jb.Steps); next++ {
		if slices.Contains(jb.Steps[next].After, at) {
			longest = max(longest, jb.chainFrom(next))
		}
	}
	return jb.Steps[at].RunTime + longest
}
