package domain

import (
	"slices"
	"time"
)

// trust is the evidence that a unit requires of its workers. Each level
// includes the previous ones.
type trust uint8

const (
	trustAny          trust = iota
	trustNotAvoided         // is not avoided by the unit; see unit.avoided
	trustNotSuspected       // and is not suspected
	trustProven             // and has succeeded recently
	trustOtherRack          // and is not in the rack of a worker that the unit avoids
)

// lastAttemptWaitShare is the fraction of a unit's slack for which its last
// attempt waits for proven workers.
const lastAttemptWaitShare = 0.8

var (
	anyWorker         = []trust{trustAny}
	notAvoidedFirst   = []trust{trustNotAvoided, trustAny}
	notSuspectedFirst = []trust{trustNotSuspected, trustNotAvoided, trustAny}
	provenFirst       = []trust{trustOtherRack, trustProven, trustNotSuspected, trustNotAvoided, trustAny}
)

// meetsTrust reports whether a worker meets a level of trust for a unit.
func (co *Core) meetsTrust(now time.Time, un *unit, nd *node, tr trust) bool {
	switch {
	case tr == trustAny:
		return true
	case un.avoided[nd.worker.ID]:
		return false
	case tr == trustNotAvoided:
		return true
	case tr == trustNotSuspected:
		return !nd.health.suspected
	case tr == trustOtherRack && co.sharesRack(un, nd):
		return false
	default:
		return nd.health.proven(now)
	}
}

// sharesRack reports whether a worker is in the rack of one that a unit avoids.
// Workers of a rack often fail within a second of each other, so a recent
// success there proves little.
func (co *Core) sharesRack(un *unit, nd *node) bool {
	if nd.worker.Rack == "" || un.step.DataRack != "" {
		return false
	}
	for id := range un.avoided {
		if other, ok := co.nodes[id]; ok && other.worker.Rack == nd.worker.Rack && other.worker.Zone == nd.worker.Zone {
			return true
		}
	}
	return false
}

// trustLevels returns the levels of trust to be tried for a unit, highest
// first. For a last attempt, levels below one that enough workers meet are left
// out, so that it waits for these workers.
func (co *Core) trustLevels(ps *pass, un *unit, service string) []trust {
	impaired := co.isImpaired(service)
	switch {
	case len(un.avoided) == 0 && !impaired:
		return anyWorker
	case !co.lastAttempt(un) || un.step.LongRunning:
		if impaired {
			return notSuspectedFirst
		}
		return notAvoidedFirst
	case un.isLate(ps.now):
		// The job has no value any more, so the last attempt does not wait.
		return provenFirst
	}
	levels := provenFirst
	if !impaired {
		levels = notAvoidedFirst
	}
	for i, tr := range levels {
		// It waits for proven workers only for a part of its slack, and for
		// those that it does not avoid and that are not suspected until its job
		// has lost all value.
		if tr == trustAny || tr >= trustProven && !un.mayWaitForProven(ps.now) {
			continue
		}
		if co.couldFit(ps, un, service, tr) {
			return levels[:i+1]
		}
	}
	return levels
}

// placedIndividually reports whether a unit is placed separately from the
// others of its group: its last attempt, while workers of the service are
// suspected.
func (co *Core) placedIndividually(un *unit, service string) bool {
	return co.isImpaired(service) && co.lastAttempt(un)
}

// isImpaired reports whether any worker of a service is suspected, suspended or
// on probation.
func (co *Core) isImpaired(service string) bool {
	return len(co.detector.impairedServices) > 0 && co.detector.impairedServices[service]
}

// lastAttempt reports whether one more failure of a unit fails its job.
func (co *Core) lastAttempt(un *unit) bool { return un.failures+1 >= co.maxAttempts(un.job) }

// minTrust returns the lowest level of trust that a unit accepts in a pass.
func (co *Core) minTrust(ps *pass, un *unit, service string) trust {
	if len(un.avoided) == 0 && !co.isImpaired(service) {
		return trustAny
	}
	if tr, ok := ps.minTrust[un]; ok {
		return tr
	}
	levels := co.trustLevels(ps, un, service)
	ps.minTrust[un] = levels[len(levels)-1]
	return ps.minTrust[un]
}

// rejects reports whether a unit does not accept a worker, so that no other
// work is preempted there for it.
func (co *Core) rejects(ps *pass, un *unit, nd *node) bool {
	return un.avoided[nd.worker.ID] || !co.meetsTrust(ps.now, un, nd, co.minTrust(ps, un, nd.worker.Service))
}

// couldFit reports whether a unit would fit on workers of a level of trust if
// they were empty. It then waits for them, since one more failure on a faulty
// worker may fail its job.
func (co *Core) couldFit(ps *pass, un *unit, service string, tr trust) bool {
	n := 0
	for _, nd := range co.schedulableNodes(ps, service) {
		co.examine(1)
		if co.meetsTrust(ps.now, un, nd, tr) && un.suits(nd) {
			n += un.fitCount(nd, nd.worker.Capacity, un.tasks)
		}
		if n >= un.tasks {
			return true
		}
	}
	return false
}

// mayWaitForProven reports whether a unit has waited less than
// lastAttemptWaitShare of its slack, so that it can wait for proven workers and
// still meet its objective. A unit within a guarantee waits no longer than
// maxGuaranteedWait.
func (un *unit) mayWaitForProven(now time.Time) bool {
	slack := un.deadline().Sub(un.objectiveStart()) - un.job.criticalPathFrom(un.stepIndex)
	wait := time.Duration(lastAttemptWaitShare * float64(slack))
	if un.guaranteed {
		wait = min(wait, maxGuaranteedWait)
	}
	return now.Sub(un.objectiveStart()) < wait
}

// criticalPathFrom returns the declared run time of the longest chain of steps
// that begins with the given one.
func (jb *job) criticalPathFrom(stepIndex int) time.Duration {
	var longest time.Duration
	for next := stepIndex + 1; next < len(jb.Steps); next++ {
		if slices.Contains(jb.Steps[next].After, stepIndex) {
			longest = max(longest, jb.criticalPathFrom(next))
		}
	}
	return jb.Steps[stepIndex].RunTime + longest
}
