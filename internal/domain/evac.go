package domain

import (
	"maps"
	"slices"
	"strings"
	"time"
)

type (
	// ZoneStatus counts what is left in an availability zone that is evacuated.
	ZoneStatus struct {
		Zone    string
		Workers int // that the platform lists
		Tasks   int // that have not ended
	}

	// evacuationState holds the settings and the last report of evacuations.
	evacuationState struct {
		minMoveRunTime time.Duration // see Config.MinMoveRunTime
		reported       []ZoneStatus  // the last report
		reportedAt     time.Time
	}
)

const (
	// checkpointFreshness is for how long a checkpoint counts as fresh after a
	// poll first showed it. It has to exceed the time between two passes, which
	// happen on every tick, and less often on a slow host.
	checkpointFreshness = 300 * time.Millisecond
	// maxMoves bounds the units that are moved out of evacuated zones at a
	// time. A unit makes no progress while it is moved, and occupies capacity
	// twice.
	maxMoves = 4
	// moveClaimTimeout bounds how long capacity elsewhere is claimed for a unit
	// whose stop is not confirmed.
	moveClaimTimeout = 2 * time.Second
	// evacuationReportInterval is the minimum time between two reports of what is
	// left in evacuated zones.
	evacuationReportInterval = time.Second
	// moveRetryInterval is the minimum time between two searches for capacity for
	// the same long-running unit.
	moveRetryInterval = 500 * time.Millisecond
)

// setEvacuatedZones replaces the set of availability zones to be evacuated.
func (co *Core) setEvacuatedZones(zones []string) {
	co.evacuatedZones = map[string]bool{}
	for _, zone := range zones {
		co.evacuatedZones[zone] = true
	}
	for _, nd := range co.nodesByID() {
		if was := nd.evacuated; was != co.evacuatedZones[nd.worker.Zone] {
			nd.evacuated = !was
			co.reevaluatePlaced(nd)
		}
	}
	reason := "no availability zone is to be evacuated"
	if len(zones) > 0 {
		reason = "an operator asked to evacuate " + strings.Join(slices.Sorted(slices.Values(zones)), ", ")
	}
	co.emit(LogDecision{Decision: "evacuation", Reason: reason})
	co.passDue = true
}

// reevaluatePlaced marks units for evaluation whose attempt on a node is being
// recorded.
func (co *Core) reevaluatePlaced(nd *node) {
	for _, ru := range nd.sortedRuns() {
		if ru.stage == planned {
			co.markChanged(ru.unit)
		}
	}
}

// inEvacuatedZone reports whether a task of a unit is on a worker of an
// evacuated zone.
func (un *unit) inEvacuatedZone() bool {
	return slices.ContainsFunc(un.runs, func(ru *run) bool { return ru.node.evacuated })
}

// markCheckpointFresh sets checkpointAt if a unit reports a checkpoint that
// differs from the last one. It has to be called before setCheckpoint.
func (co *Core) markCheckpointFresh(now time.Time, ru *run, checkpoint string) {
	un := ru.unit
	if checkpoint == "" || checkpoint == un.checkpoint || ru.task.Index != un.index {
		return
	}
	un.checkpointAt = now
	co.passDue = co.passDue || un.inEvacuatedZone()
}

// evacuateNext moves one unit out of the evacuated zones, into capacity that is
// left after this pass has placed the waiting units.
func (co *Core) evacuateNext(ps *pass) {
	if len(co.evacuatedZones) == 0 || co.movesInProgress() >= maxMoves {
		return
	}
	for _, nd := range co.nodesByID() {
		if !nd.evacuated || nd.unresponsive() {
			continue
		}
		for _, ru := range nd.sortedRuns() {
			if un := ru.unit; un != nil && un.mayMove(ps.now, co.evacuation.minMoveRunTime) && co.moveUnit(ps, un) {
				co.passDue = true // to move the next one
				return
			}
		}
	}
}

// mayMove reports whether a unit may be moved out of its zone now. An
// evacuation has no deadline, so only work that loses little is moved: work
// with a fresh checkpoint and more than minMoveRunTime left to run, and
// long-running work within its disruption limit (MaxUnavailable).
func (un *unit) mayMove(now time.Time, minMoveRunTime time.Duration) bool {
	switch {
	case un.phase != live, un.guaranteed, !un.allRunning():
		return false
	case un.step.LongRunning:
		return now.Sub(un.moveFailedAt) >= moveRetryInterval && (un.step.MaxUnavailable == 0 || un.job.unavailableTasks(un)+un.tasks <= un.step.MaxUnavailable)
	default:
		return un.step.Checkpoints && !un.checkpointAt.IsZero() && now.Sub(un.checkpointAt) <= checkpointFreshness && un.remainingTime(now) > minMoveRunTime
	}
}

// moveUnit stops a unit if all of its tasks fit elsewhere, and claims the
// capacity for them. It reports whether it did.
func (co *Core) moveUnit(ps *pass, un *unit) bool {
	key := co.fitKeyOf(ps, unitGroup{class: un.class(ps.now)}, un)
	if ps.unplaceable[key] || !co.ensureAdvice(ps, un) {
		return false
	}
	nodes := co.chooseNodes(ps, un, key)
	if nodes == nil {
		ps.unplaceable[key] = true
		un.moveFailedAt = ps.now
		return false
	}
	co.stopUnit(ps.now, un, "moved out of an evacuated availability zone")
	un.claim = nodes
	co.claimed = append(co.claimed, un)
	names := make([]string, len(nodes))
	for i, nd := range nodes {
		nd.used = nd.used.Plus(un.step.Reserved())
		names[i] = nd.worker.ID
	}
	co.emit(LogDecision{
		Decision: "evacuation", Job: un.job.ID, Task: un.taskID(0).String(), Queue: un.job.Queue.Name, Attempt: un.attempt,
		Workers: slices.Compact(names), Reason: "is stopped to be moved to other availability zones",
	})
	return true
}

// movesInProgress counts the units that are being stopped in order to be moved.
func (co *Core) movesInProgress() int {
	n := 0
	for _, un := range co.claimed {
		if un.isMoving() {
			n++
		}
	}
	return n
}

// isMoving reports whether a unit is being stopped while capacity is claimed
// for it elsewhere.
func (un *unit) isMoving() bool { return un.claim != nil && un.phase == stopping }

// updateMoveClaim keeps the claim of a unit that is being stopped to be moved,
// and releases it if the stop takes longer than moveClaimTimeout.
func (co *Core) updateMoveClaim(now time.Time, un *unit) {
	if un.phase != stopping || now.Sub(un.stopRequestedAt) > moveClaimTimeout {
		co.releaseClaim(un)
		return
	}
	co.claimed = append(co.claimed, un)
}

// releaseMoveClaims releases the capacity that is claimed for moves. Work within
// a guarantee may take it if there is no other capacity.
func (co *Core) releaseMoveClaims() {
	for _, un := range co.claimed {
		if un.isMoving() {
			co.releaseClaim(un)
		}
	}
}

// tasksByZone counts the tasks in each evacuated zone.
func (co *Core) tasksByZone() map[string]int {
	if len(co.evacuatedZones) == 0 {
		return nil
	}
	left := map[string]int{}
	for zone := range co.evacuatedZones {
		left[zone] = 0
	}
	for _, nd := range co.nodes {
		if nd.evacuated {
			left[nd.worker.Zone] += len(nd.runs)
		}
	}
	return left
}

// reportEvacuation emits what is left in the evacuated zones if that has
// changed.
func (co *Core) reportEvacuation(now time.Time) {
	if len(co.evacuatedZones)+len(co.evacuation.reported) == 0 || now.Sub(co.evacuation.reportedAt) < evacuationReportInterval {
		return
	}
	left := co.remainingByZone()
	if slices.Equal(left, co.evacuation.reported) {
		return
	}
	co.evacuation.reported, co.evacuation.reportedAt = left, now
	co.emit(EvacuationReport{Zones: left})
}

// remainingByZone returns the workers and tasks left in each evacuated zone.
func (co *Core) remainingByZone() []ZoneStatus {
	workers := map[string]int{}
	for _, nd := range co.nodes {
		if nd.evacuated && nd.listed {
			workers[nd.worker.Zone]++
		}
	}
	tasks := co.tasksByZone()
	left := make([]ZoneStatus, 0, len(tasks))
	for _, zone := range slices.Sorted(maps.Keys(tasks)) {
		left = append(left, ZoneStatus{Zone: zone, Workers: workers[zone], Tasks: tasks[zone]})
	}
	return left
}
