package domain

import (
	"slices"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/batch"
)

// trust is what a unit asks of its workers.
type trust uint8

const (
	trustAny    trust = iota
	trustFresh        // has not failed the unit
	trustSound        // and is in no doubt
	trustProven       // and has succeeded of late
	trustApart        // and is of no rack of which a worker has failed the unit
)

// scarceShare is the part of a unit's slack for which its last attempt waits for
// a worker that has succeeded of late.
const scarceShare = 0.8

var (
	anyWorker   = []trust{trustAny}
	freshFirst  = []trust{trustFresh, trustAny}
	soundFirst  = []trust{trustSound, trustFresh, trustAny}
	provenFirst = []trust{trustApart, trustProven, trustSound, trustFresh, trustAny}
)

// trusts tells whether a worker meets a demand of a unit.
func (co *Core) trusts(now time.Time, un *unit, nd *node, tr trust) bool {
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

// sharesRack tells whether a worker is of the rack of one that has failed a unit.
// What makes a worker fail often makes those beside it fail within the second, so
// that these have succeeded of late.
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

// demands returns what a unit asks of its workers, in the order in which that is
// tried. A last attempt waits for what comes early in it, by leaving out the rest:
// for proven workers while it can meet its objective, and for others that have not
// failed it and are in no doubt while it can still earn something.
func (co *Core) demands(ps *pass, un *unit, service string) []trust {
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

// scarce tells whether an attempt of a unit is its last one while workers are in
// doubt, so that it is placed on its own.
func (co *Core) scarce(un *unit, service string) bool {
	return co.doubts(service) && co.lastAttempt(un)
}

// doubts tells whether workers of a service are in doubt or out of use.
func (co *Core) doubts(service string) bool {
	return len(co.evidence.doubts) > 0 && co.evidence.doubts[service]
}

// lastAttempt tells whether one more failure of a unit fails its job.
func (co *Core) lastAttempt(un *unit) bool { return un.failures+1 >= co.maxAttempts(un.job) }

// least returns the loosest demand on workers that a unit makes at present.
func (co *Core) least(ps *pass, un *unit, service string) trust {
	if len(un.avoid) == 0 && !co.doubts(service) {
		return trustAny
	}
	if tr, ok := ps.least[un]; ok {
		return tr
	}
	levels := co.demands(ps, un, service)
	ps.least[un] = levels[len(levels)-1]
	return ps.least[un]
}

// declines tells whether no other work is stopped for a unit on a worker.
func (co *Core) declines(ps *pass, un *unit, nd *node) bool {
	return un.avoid[nd.worker.ID] || !co.trusts(ps.now, un, nd, co.least(ps, un, nd.worker.Service))
}

// hasOthers tells whether a unit would fit on workers that meet a demand, if they
// were empty. It then waits for them: an attempt that fails once more on a bad
// worker may be the last.
func (co *Core) hasOthers(ps *pass, un *unit, service string, tr trust) bool {
	n := 0
	for _, nd := range co.usable(ps, service) {
		if co.trusts(ps.now, un, nd, tr) && un.suits(nd) {
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
	wait := time.Duration(scarceShare * float64(slack))
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

// placeTrials gives workers on probation work that can bear a failure, and returns
// the ranks without it.
func (co *Core) placeTrials(ps *pass, ras []rank) []rank {
	if len(co.evidence.nodes) == 0 {
		return ras
	}
	for _, nd := range co.byID() {
		if nd.health.standing != onProbation || !nd.mayTake(ps.now) {
			continue
		}
		for n := len(nd.runs) + nd.health.passed; n < nd.health.atOnce(); n++ {
			ras = co.placeTrial(ps, ras, nd)
		}
	}
	return ras
}

func (co *Core) placeTrial(ps *pass, ras []rank, nd *node) []rank {
	for i, ra := range ras {
		if ra.service != nd.worker.Service || ra.class == classAssured {
			continue
		}
		un := ra.units[0]
		if !co.bears(ps.now, un) || un.avoid[nd.worker.ID] || !un.suits(nd) || un.fits(nd, nd.free(), 1) == 0 {
			continue
		}
		co.place(ps.now, un, []*node{nd})
		ras[i].units = ra.units[1:]
		if len(ras[i].units) == 0 {
			return slices.Delete(ras, i, i+1)
		}
		return ras
	}
	return ras
}

// bears tells whether a unit can bear a failure: it has attempts left after that,
// holds no guarantee and nothing else up, and does not miss its objective by it.
func (co *Core) bears(now time.Time, un *unit) bool {
	if un.tasks > 1 || un.step.Lasting || un.step.PerWorker > 0 || un.step.Rack != "" || un.job.advice != nil || co.queueOf(un.job).Advised {
		return false
	}
	if un.failures+2 >= co.maxAttempts(un.job) || un.job.state == batch.Failed {
		return false
	}
	again := now.Add(un.step.RunTime + un.job.chainFrom(un.at) + stallTime)
	return !again.After(un.goal()) || now.Add(un.step.RunTime).After(un.goal())
}
