package domain

import (
	"maps"
	"slices"
	"strings"
	"time"
)

type (
	// ZoneLeft is what runs in an availability zone that is to be emptied.
	ZoneLeft struct {
		Zone    string
		Workers int // that are listed
		Tasks   int
	}

	// evacuationState is how far emptying such zones has come.
	evacuationState struct {
		minRemaining time.Duration // see Config.Evacuate
		reported     []ZoneLeft    // as last told
		reportedAt   time.Time
	}
)

const (
	// freshCheckpoint is for how long after it was listed a checkpoint counts as new.
	// A round comes with every tick, and less often on a weak host.
	freshCheckpoint = 300 * time.Millisecond
	// maxMoves bounds the units that are moved out of such zones at a time: each
	// of them stands still meanwhile, and holds room twice.
	maxMoves = 4
	// moveClaimTimeout bounds for how long room elsewhere is held for a unit whose stop
	// is not confirmed.
	moveClaimTimeout = 2 * time.Second
	// evacuationReportGap is the least time between two reports of what runs in such zones.
	evacuationReportGap = time.Second
	// moveRetryGap is the least time between two searches for room for the same lasting
	// unit.
	moveRetryGap = 500 * time.Millisecond
)

// setEvacuated takes the availability zones that are to be emptied.
func (co *Core) setEvacuated(zones []string) {
	co.evacuated = map[string]bool{}
	for _, zone := range zones {
		co.evacuated[zone] = true
	}
	for _, nd := range co.nodesByID() {
		if was := nd.evacuated; was != co.evacuated[nd.worker.Zone] {
			nd.evacuated = !was
			co.reevaluatePlaced(nd)
		}
	}
	reason := "every availability zone is in service"
	if len(zones) > 0 {
		reason = "out of service: " + strings.Join(slices.Sorted(slices.Values(zones)), ", ")
	}
	co.emit(Noted{Decision: "evacuation", Reason: reason})
	co.passDue = true
}

// reevaluatePlaced has the units evaluated that are about to start on a node.
func (co *Core) reevaluatePlaced(nd *node) {
	for _, ru := range nd.sortedRuns() {
		if ru.stage == planned {
			co.markChanged(ru.unit)
		}
	}
}

// inEvacuatedZone tells whether a task of a unit is on a worker of a zone that is
// to be emptied.
func (un *unit) inEvacuatedZone() bool {
	return slices.ContainsFunc(un.runs, func(ru *run) bool { return ru.node.evacuated })
}

// recordCheckpoint notes when a unit has listed a new checkpoint.
func (co *Core) recordCheckpoint(now time.Time, ru *run, checkpoint string) {
	un := ru.unit
	if checkpoint == "" || checkpoint == un.checkpoint || ru.task.Index != un.index {
		return
	}
	un.checkpointAt = now
	co.passDue = co.passDue || un.inEvacuatedZone()
}

// evacuateNext moves one unit out of the zones that are to be emptied, into room that
// the units which wait have left free in this round.
func (co *Core) evacuateNext(ps *pass) {
	if len(co.evacuated) == 0 || co.movesInProgress() >= maxMoves {
		return
	}
	for _, nd := range co.nodesByID() {
		if !nd.evacuated || nd.silent() {
			continue
		}
		for _, ru := range nd.sortedRuns() {
			if un := ru.unit; un != nil && un.mayMove(ps.now, co.evacuation.minRemaining) && co.moveUnit(ps, un) {
				co.passDue = true // for the next one
				return
			}
		}
	}
}

// mayMove tells whether a unit is to be moved out of its zone now. A zone has no
// deadline for being empty, so only work that loses little is moved: work that has
// just listed a checkpoint and has more than a bound left, and lasting work as far
// as it may be interrupted.
func (un *unit) mayMove(now time.Time, minRemaining time.Duration) bool {
	switch {
	case un.phase != live, un.assured, !un.allRunning():
		return false
	case un.step.Lasting:
		return now.Sub(un.moveFailedAt) >= moveRetryGap && (un.step.MayMiss == 0 || un.job.unavailableTasks(un)+un.tasks <= un.step.MayMiss)
	default:
		return un.step.Checkpoints && !un.checkpointAt.IsZero() && now.Sub(un.checkpointAt) <= freshCheckpoint && un.remainingTime(now) > minRemaining
	}
}

// moveUnit stops a unit if the whole of it has room elsewhere, and claims that room.
func (co *Core) moveUnit(ps *pass, un *unit) bool {
	key := co.shapeOf(ps, unitGroup{class: un.class(ps.now)}, un)
	if ps.unplaceable[key] || !co.hasAdvice(ps, un) {
		return false
	}
	nodes := co.chooseNodes(ps, un, key)
	if nodes == nil {
		ps.unplaceable[key] = true
		un.moveFailedAt = ps.now
		return false
	}
	co.stopUnit(ps.now, un, "it is moved out of an availability zone that is to be emptied")
	un.claim = nodes
	co.claimed = append(co.claimed, un)
	names := make([]string, len(nodes))
	for i, nd := range nodes {
		nd.used = nd.used.Plus(un.step.Occupied())
		names[i] = nd.worker.ID
	}
	co.emit(Noted{
		Decision: "evacuation", Job: un.job.ID, Task: un.taskID(0).String(), Queue: un.job.Queue.Name, Attempt: un.attempt,
		Workers: slices.Compact(names), Reason: "moves to other availability zones",
	})
	return true
}

// movesInProgress counts the units that are being stopped to be moved.
func (co *Core) movesInProgress() int {
	n := 0
	for _, un := range co.claimed {
		if un.isMoving() {
			n++
		}
	}
	return n
}

// isMoving tells whether a unit is being stopped while room is held for it.
func (un *unit) isMoving() bool { return un.claim != nil && un.phase == stopping }

// keepMoveClaim keeps the room that a unit moves to until it has stopped.
func (co *Core) keepMoveClaim(now time.Time, un *unit) {
	if un.phase != stopping || now.Sub(un.stoppedAt) > moveClaimTimeout {
		co.releaseClaim(un)
		return
	}
	co.claimed = append(co.claimed, un)
}

// releaseMoveClaims gives up the room that is held for moves, for work within a guarantee
// that finds no other room.
func (co *Core) releaseMoveClaims() {
	for _, un := range co.claimed {
		if un.isMoving() {
			co.releaseClaim(un)
		}
	}
}

// tasksByZone counts the tasks in the zones that are to be emptied.
func (co *Core) tasksByZone() map[string]int {
	if len(co.evacuated) == 0 {
		return nil
	}
	left := map[string]int{}
	for zone := range co.evacuated {
		left[zone] = 0
	}
	for _, nd := range co.nodes {
		if nd.evacuated {
			left[nd.worker.Zone] += len(nd.runs)
		}
	}
	return left
}

// reportEvacuation tells what runs in the zones that are to be emptied if that has
// changed.
func (co *Core) reportEvacuation(now time.Time) {
	if len(co.evacuated)+len(co.evacuation.reported) == 0 || now.Sub(co.evacuation.reportedAt) < evacuationReportGap {
		return
	}
	left := co.evacuationReport()
	if slices.Equal(left, co.evacuation.reported) {
		return
	}
	co.evacuation.reported, co.evacuation.reportedAt = left, now
	co.emit(Evacuation{Zones: left})
}

// evacuationReport returns what is left in each zone that is to be emptied.
func (co *Core) evacuationReport() []ZoneLeft {
	workers := map[string]int{}
	for _, nd := range co.nodes {
		if nd.evacuated && nd.listed {
			workers[nd.worker.Zone]++
		}
	}
	tasks := co.tasksByZone()
	left := make([]ZoneLeft, 0, len(tasks))
	for _, zone := range slices.Sorted(maps.Keys(tasks)) {
		left = append(left, ZoneLeft{Zone: zone, Workers: workers[zone], Tasks: tasks[zone]})
	}
	return left
}
