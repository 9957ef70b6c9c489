package domain

import (
	"maps"
	"slices"
	"time"
)

type (
	// HoldReason says why a unit whose turn has come does not run.
	HoldReason uint8

	// Hold describes a job of which nothing runs although it has a unit whose turn
	// has come.
	Hold struct {
		Job     string
		Task    string // the first task of the first such unit
		Queue   string
		Attempt int // the last one of the unit
		Reason  HoldReason
		Since   time.Time // when the job was first seen to stand still, in this term
		Until   time.Time // when the hold ends at the latest; zero if only an event ends it
		Workers []string  // that the unit waits for
	}
)

// The reasons of holds. From heldForRack to heldForHealth, each reason means that
// the unit fits if the condition of this reason and of those before it are left
// out.
const (
	notHeld            HoldReason = iota // it fits, but no pass has placed it yet
	heldForRack                          // it waits for room in the rack of its data, or in a single rack
	heldForTrust                         // there is room only on workers that it does not trust
	heldForReservation                   // there is room only on workers that are reserved for other work
	heldForIsolation                     // there is room only beside a unit that may crash its worker
	heldForHealth                        // there is room only on workers that are out of service
	heldForRoom                          // there is no room
	heldForAdvice                        // no worker has a ticket for it
	heldForTaskLimit                     // its job has as many unfinished tasks as its record can name
	heldForCrashCheck                    // it may have crashed its workers; see openLossHold
	heldForEarlierRun                    // a worker lists a run of an attempt that was given up
	heldForClaim                         // the work that was preempted for it has not ended
	heldForRecord                        // its attempt is being recorded
	heldForStart                         // its starts are yet to be sent, or have no reply yet
	heldForStop                          // its last attempt is being stopped
	heldForLease                         // its worker is silent, and its leases have not expired
)

const (
	// minReportedHold is the time that a job stands still before it is reported.
	minReportedHold = time.Second
	// maxReportedHolds bounds the holds in a report, and maxExplainedHolds the jobs
	// of which the reason is determined, the oldest first. The others count as held
	// for room.
	maxReportedHolds  = 5
	maxExplainedHolds = 32
)

var holdReasonNames = [...]string{
	notHeld: "none", heldForRack: "rack", heldForTrust: "trust", heldForReservation: "reservation", heldForIsolation: "isolation",
	heldForHealth: "health", heldForRoom: "room", heldForAdvice: "advice", heldForTaskLimit: "taskLimit", heldForCrashCheck: "crashCheck",
	heldForEarlierRun: "earlierRun", heldForClaim: "claim", heldForRecord: "record", heldForStart: "start", heldForStop: "stop", heldForLease: "lease",
}

// String returns the name of the reason for logs and metrics.
func (hr HoldReason) String() string { return holdReasonNames[hr] }

// heldUnit is the first unit of a job whose turn has come, if nothing of the job
// runs.
type heldUnit struct {
	un    *unit
	since time.Time
}

// reportHolds emits a HoldReport after a pass if jobs stand still, and once more
// when none does any longer.
func (co *Core) reportHolds(ps *pass) {
	if ps.now.Sub(co.holdsReportedAt) < reportInterval {
		return
	}
	held := co.heldUnits(ps.now)
	if len(held) == 0 && !co.holding {
		return
	}
	co.holdsReportedAt, co.holding = ps.now, len(held) > 0
	hr := HoldReport{Jobs: map[HoldReason]int{}, Oldest: map[HoldReason]time.Duration{}}
	for i, hu := range held {
		ho := Hold{Reason: heldForRoom}
		if i < maxExplainedHolds {
			ho = co.explain(ps, hu)
		}
		hr.Jobs[ho.Reason]++
		hr.Oldest[ho.Reason] = max(hr.Oldest[ho.Reason], ps.now.Sub(hu.since))
		if ho.Reason != heldForRoom && len(hr.Holds) < maxReportedHolds {
			hr.Holds = append(hr.Holds, ho)
		}
	}
	co.emit(hr)
}

// heldUnits returns a unit of each job that has stood still for minReportedHold,
// those that have done so for the longest time first.
func (co *Core) heldUnits(now time.Time) []heldUnit {
	since := make(map[*job]time.Time, len(co.heldSince))
	var held []heldUnit
	for _, jb := range co.arrivals {
		if jb.state.Final() {
			continue
		}
		co.examine(1 + len(jb.units))
		un := jb.firstIdle(now)
		if un == nil {
			continue
		}
		at, ok := co.heldSince[jb]
		if !ok {
			at = now
		}
		since[jb] = at
		if now.Sub(at) >= minReportedHold {
			held = append(held, heldUnit{un, at})
		}
	}
	co.heldSince = since
	slices.SortStableFunc(held, func(a, b heldUnit) int { return a.since.Compare(b.since) })
	return held
}

// firstIdle returns the first unit of a job whose turn has come, or nil if there is
// none or something of the job runs.
func (jb *job) firstIdle(now time.Time) *unit {
	var first *unit
	for _, un := range jb.units {
		if un.isRunning() {
			return nil
		}
		if first == nil && un.phase != finished && un.stepReady(now) {
			first = un
		}
	}
	return first
}

// isRunning reports whether some task of a unit that is not being stopped runs on a
// worker that responds.
func (un *unit) isRunning() bool {
	return un.phase == live && slices.ContainsFunc(un.runs, func(ru *run) bool { return ru.stage == running && !ru.node.unresponsive() })
}

// explain determines why a unit does not run.
func (co *Core) explain(ps *pass, hu heldUnit) Hold {
	un := hu.un
	ho := Hold{
		Job: un.job.ID, Task: un.taskID(0).String(), Queue: un.job.Queue.Name, Attempt: un.attempt, Since: hu.since,
	}
	switch un.phase {
	case waiting:
		ho.Reason = co.explainWaiting(ps, un)
		if ho.Reason == heldForCrashCheck {
			ho.Until = un.notBefore
		}
		if ho.Reason == heldForClaim {
			ho.Workers = claimedWorkers(un)
		}
	case placed:
		ho.Reason = heldForRecord
		if un.startQueued {
			ho.Reason = heldForStart
		}
	default:
		ho.Reason, ho.Until = un.explainRuns()
		ho.Workers = un.pendingWorkers()
	}
	return ho
}

// explainRuns returns why a unit with runs has none that is known to run, and until
// when that may last if it is known.
func (un *unit) explainRuns() (HoldReason, time.Time) {
	var until time.Time
	for _, ru := range un.runs {
		if ru.stage != ended && (ru.node.unresponsive() || !ru.node.listed) {
			until = latest(until, ru.node.leaseEnd, ru.lateUntil)
		}
	}
	switch {
	case !until.IsZero():
		return heldForLease, until
	case un.phase == stopping:
		return heldForStop, until
	default:
		return heldForStart, until
	}
}

// latest returns the latest of some times.
func latest(times ...time.Time) time.Time { return slices.MaxFunc(times, time.Time.Compare) }

func claimedWorkers(un *unit) []string {
	ids := map[string]bool{}
	for _, nd := range un.claim {
		ids[nd.worker.ID] = true
	}
	return slices.Sorted(maps.Keys(ids))
}

// explainWaiting returns why a waiting unit has not been placed.
func (co *Core) explainWaiting(ps *pass, un *unit) HoldReason {
	switch {
	case un.abandonedRuns > 0, un.bound:
		return heldForEarlierRun
	case ps.now.Before(un.notBefore):
		return heldForCrashCheck
	case un.claim != nil:
		return heldForClaim
	case un.attempt == 0 && un.job.startableTasks() < min(un.tasks, maxUnfinishedTasks):
		return heldForTaskLimit
	case un.job.advice != nil && !un.hasTicket():
		return heldForAdvice
	}
	return co.explainPlacement(ps, un)
}

// hasTicket reports whether some worker has a ticket for a unit.
func (un *unit) hasTicket() bool {
	ad, ok := un.job.advice[stepKey{un.occurrence, un.stepIndex}]
	return ok && len(ad.tickets) > 0
}

// explainPlacement returns the condition that keeps a unit from the workers with free
// capacity.
func (co *Core) explainPlacement(ps *pass, un *unit) HoldReason {
	key := co.fitKeyOf(ps, un.ownGroup(ps.now), un)
	required := co.minTrust(ps, un, key.service)
	var sls []slot
	var conditions []HoldReason // by slot
	for _, nd := range co.nodesWithRoom(ps, key.service, key.needs) {
		if !nd.acceptsWorkIfHealthy(ps.now) || !un.suits(nd) {
			continue
		}
		if n := un.fitCount(nd, nd.free(), un.tasks); n > 0 {
			sls = append(sls, slot{nd, n})
			conditions = append(conditions, co.conditionOn(ps, un, nd, key.guaranteed(), required))
		}
	}
	for reason := notHeld; reason < heldForRoom; reason++ {
		var fit []slot
		for i, sl := range sls {
			if conditions[i] <= reason {
				fit = append(fit, sl)
			}
		}
		if un.pick(fit, key.anyRack || reason >= heldForRack) != nil {
			return reason
		}
	}
	return heldForRoom
}

// conditionOn returns the last one of the conditions from trust to health that keeps a unit
// from a worker, or notHeld.
func (co *Core) conditionOn(ps *pass, un *unit, nd *node, guaranteed bool, required trust) HoldReason {
	switch {
	case !nd.health.isInService():
		return heldForHealth
	case ps.now.Before(nd.isolatedUntil):
		return heldForIsolation
	case ps.isReserved(nd) && !guaranteed:
		return heldForReservation
	case !co.meetsTrust(ps.now, un, nd, required):
		return heldForTrust
	default:
		return notHeld
	}
}
