package domain

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/batch"
)

// Reservations, racks, trust in workers, their health and the order of the waiting
// work decide where and when work had better run. None of them may keep a job from
// running at all for long while the workers have room for it: after maxStandstill
// they are only preferences for one unit of the job, and after maxOvertaken that unit
// is placed before all work outside guarantees.

type (
	// standKey identifies what may stand still: a job, or a single unit of a
	// long-running step.
	standKey struct {
		job  *job
		unit *unit // nil unless its step is long-running
	}

	// standing is the time for which there has been room for what stands still.
	standing struct {
		since     time.Time
		seen      time.Time // when there was room last
		protected time.Time // until when the unit is protected that was placed to end it
	}

	// standUnit is a unit that could end a standstill, with the time since when there
	// has been room for it.
	standUnit struct {
		un    *unit
		group unitGroup
		since time.Time
	}

	// roomKey identifies the workers that may have room for a unit.
	roomKey struct {
		service                     string
		cores, memory, accelerators bool // the unit reserves some
	}

	// nodeRoom is the room on a worker.
	nodeRoom struct {
		node *node
		// idle is what no run uses on the worker, which includes what is booked for
		// claims and for attempts that are being recorded.
		idle batch.Resources
	}
)

const (
	// maxStandstill is how long a job may have nothing running because of preferences
	// although the workers have room for one of its units twice over. Callers are
	// promised three seconds, by what the workers run; the news of an end, the passes,
	// the record of an attempt and its start take their part of these, too.
	maxStandstill = time.Second
	// maxOvertaken is how long other work may be placed before such a unit. A large
	// service always has room somewhere that is about to be used.
	maxOvertaken = 1300 * time.Millisecond
	// maxRoomGap is how long there may be no room without ending a standstill. In a full
	// service the room of each moment is that of tasks which have just ended.
	maxRoomGap = 500 * time.Millisecond
	// minRun is how long something of a job has to run for its standstill to be over. An
	// attempt that is stopped at once may never have reached its workers.
	minRun = 200 * time.Millisecond
	// minProtectedStandstill is the standstill after which a unit is protected from
	// preemption for protectionTime.
	minProtectedStandstill = 500 * time.Millisecond
	protectionTime         = 2 * time.Second
	// standstillInterval is the minimum time between two searches for such jobs.
	standstillInterval = 200 * time.Millisecond
	// quietTime is how long nothing may have failed on a worker that is out of service
	// for it to take work that would rather run elsewhere. What fails there may be at
	// fault itself.
	quietTime = time.Second
	// lastAttemptQuietTime is the same for last attempts, whose failure ends their jobs.
	lastAttemptQuietTime = 4 * time.Second
)

// findStandstills finds, at the beginning of a pass, the units that could end
// standstills, those first for which there has been room for the longest time. The
// first search of a term takes them to have stood for maxStandstill.
func (co *Core) findStandstills(ps *pass, ugs []unitGroup) {
	if ps.now.Sub(co.standstillsCheckedAt) < standstillInterval {
		return
	}
	begin := ps.now
	if co.standstillsCheckedAt.IsZero() {
		begin = ps.now.Add(-maxStandstill)
	}
	co.standstillsCheckedAt = ps.now
	former := co.standings
	co.standings = make(map[standKey]standing, len(former))
	co.standUnits = nil
	fits := map[fitKey]bool{}
	active := map[*job]bool{}
	found := map[jobStep]bool{} // one unit of each step is enough
	for _, ug := range append(co.claimedGroups(), ugs...) {
		for _, un := range ug.units {
			key, step := un.standKey(), jobStep{un.job, un.stepIndex}
			if key.isActive(active) || key.unit == nil && found[step] {
				break // the others of the group are of the same step
			}
			st, stands := co.standings[key]
			if !stands {
				st, stands = former[key]
			}
			if co.fitsTwice(ps, ug, un, fits) {
				if !stands {
					st.since = begin
				}
				st.seen = ps.now
			} else if !stands || ps.now.Sub(st.seen) > maxRoomGap {
				if un.interchangeable() {
					break // the others of the group don't fit, either
				}
				continue
			}
			co.standings[key] = st
			found[step] = true
			co.standUnits = append(co.standUnits, standUnit{un, ug, st.since})
		}
	}
	co.keepBetweenAttempts(ps.now, former)
	slices.SortStableFunc(co.standUnits, func(a, b standUnit) int { return a.since.Compare(b.since) })
}

// keepBetweenAttempts keeps the standstills of jobs with an attempt that may still end
// before it runs.
func (co *Core) keepBetweenAttempts(now time.Time, former map[standKey]standing) {
	for key, st := range former {
		if _, stands := co.standings[key]; !stands && key.isBetweenAttempts(now) {
			st.seen = now
			co.standings[key] = st
		}
	}
}

// claimedGroups returns the waiting units with a claim, each as a group.
func (co *Core) claimedGroups() []unitGroup {
	var ugs []unitGroup
	for _, un := range co.claimed {
		if un.claim != nil && un.phase == waiting {
			ugs = append(ugs, unitGroup{units: []*unit{un}, service: co.queueOf(un.job).Service})
		}
	}
	return ugs
}

// endStandstills places the units that could end standstills of at least a given
// time.
func (co *Core) endStandstills(ps *pass, atLeast time.Duration) {
	active := map[*job]bool{}
	unplaceable := map[fitKey]bool{}
	end := co.steps + maxStandstillSteps
	for _, su := range co.standUnits {
		if ps.now.Sub(su.since) < atLeast {
			break
		}
		if co.steps >= end {
			co.passDue = true
			break
		}
		co.examine(1)
		key := co.fitKeyOf(ps, su.group, su.un)
		if unplaceable[key] {
			continue
		}
		if su.un.phase != waiting || su.un.abandonedRuns > 0 || su.un.bound || ps.now.Before(su.un.notBefore) || su.un.job.state.Final() || su.un.standKey().isActive(active) || !co.ensureAdvice(ps, su.un) {
			continue
		}
		nodes := co.chooseDespitePreferences(ps, su.un, su.group.service)
		if nodes == nil {
			unplaceable[key] = true
			continue
		}
		co.emit(LogDecision{
			Decision: "unheld", Job: su.un.job.ID, Task: su.un.taskID(0).String(), Queue: su.un.job.Queue.Name,
			Reason: co.explainStandstill(ps, su),
		})
		if su.un.claim != nil {
			co.releaseClaim(su.un)
			ps.forgetRoom()
		}
		co.place(ps.now, su.un, nodes)
		active[su.un.job] = true
	}
}

// explainStandstill describes a standstill for the log. Its reason is left out once a pass
// has explained maxExplainedHolds of them.
func (co *Core) explainStandstill(ps *pass, su standUnit) string {
	text := fmt.Sprintf("the job has stood still beside free workers for %v", ps.now.Sub(su.since).Round(time.Millisecond))
	if ps.explained++; ps.explained > maxExplainedHolds {
		return text
	}
	return fmt.Sprintf("%s, hold: %v", text, co.explainWaiting(ps, su.un))
}

func (un *unit) standKey() standKey {
	if un.step.LongRunning {
		return standKey{un.job, un}
	}
	return standKey{job: un.job}
}

// isActive reports whether something of a job runs or is about to, and remembers that
// by job, since a job may have thousands of units.
func (sk standKey) isActive(known map[*job]bool) bool {
	if sk.unit != nil {
		return false
	}
	active, ok := known[sk.job]
	if !ok {
		active = slices.ContainsFunc(sk.job.units, func(un *unit) bool { return un.phase == placed || un.phase == live })
		known[sk.job] = active
	}
	return active
}

// isBetweenAttempts reports whether an attempt is on its way to the workers or is being
// stopped, and nothing has run for minRun, so that a standstill has not ended yet.
func (sk standKey) isBetweenAttempts(now time.Time) bool {
	units := sk.job.units
	if sk.unit != nil {
		units = []*unit{sk.unit}
	}
	changing := false
	for _, un := range units {
		if un.isRunning() && now.Sub(un.workingSince()) >= minRun {
			return false
		}
		changing = changing || un.phase == placed || un.phase == live || un.phase == stopping
	}
	return changing && !sk.job.state.Final()
}

// protectAfterStandstill keeps a unit that is placed now from being preempted at once if
// its job has stood still. One unit of the job is enough.
func (co *Core) protectAfterStandstill(now time.Time, un *unit) {
	key := un.standKey()
	st, ok := co.standings[key]
	if !ok || now.Sub(st.since) < minProtectedStandstill || now.Before(st.protected) {
		return
	}
	un.protectedUntil = now.Add(protectionTime)
	st.protected = un.protectedUntil
	co.standings[key] = st
}

// isProtected reports whether a unit has been placed recently after its job had stood
// still. Only work within a guarantee may preempt it then, if nothing else yields.
func (un *unit) isProtected(now time.Time) bool { return now.Before(un.protectedUntil) }

// fitsTwice reports whether the workers have room for two units like the given one. It
// remembers the result for units that fit wherever others with their key do.
func (co *Core) fitsTwice(ps *pass, ug unitGroup, un *unit, known map[fitKey]bool) bool {
	key := co.fitKeyOf(ps, ug, un)
	key.class, key.anyRack = 0, true
	if co.lastAttempt(un) {
		key.class = 1 // fewer workers count; see isQuietFor
	}
	if un.step.PerWorker == 0 && un.job.advice == nil {
		key.uniqueTo = nil // which workers it would rather not use does not matter here
	}
	if fits, ok := known[key]; ok && key.uniqueTo == nil {
		return fits
	}
	n := 0
	for _, nr := range co.rooms(ps, ug.service, un) {
		if n >= 2*un.tasks {
			break
		}
		co.examine(1)
		if un.mayUse(nr.node) && co.isQuietFor(ps.now, un, nr.node) {
			n += un.fitCount(nr.node, nr.idle, 2*un.tasks)
		}
	}
	known[key] = n >= 2*un.tasks
	return known[key]
}

// rooms returns the room on the workers of a service that could take a unit if it had
// no preferences: they take work and have some room, and a worker that is out of
// service has not failed anything for quietTime. There are few when load is high.
func (co *Core) rooms(ps *pass, service string, un *unit) []nodeRoom {
	key := roomKeyOf(service, un.step.Reserved())
	if rooms, ok := ps.rooms[key]; ok {
		return rooms
	}
	var rooms []nodeRoom
	co.examine(len(co.sortedNodes))
	for _, nd := range co.nodesByID() {
		if nd.mayEndStandstill(ps.now, service) {
			co.examine(len(nd.runs))
			if idle := nd.idle(); key.hasRoom(idle) {
				rooms = append(rooms, nodeRoom{nd, idle})
			}
		}
	}
	ps.rooms[key] = rooms
	return rooms
}

// freeNodes returns those of these workers that have free capacity. It may be used up
// meanwhile.
func (co *Core) freeNodes(ps *pass, service string, un *unit) []*node {
	key := roomKeyOf(service, un.step.Reserved())
	if nds, ok := ps.freeNodes[key]; ok {
		return nds
	}
	var nds []*node
	for _, nd := range co.nodesWithRoom(ps, service, un.step.Reserved()) {
		if key.hasRoom(nd.free()) && nd.mayEndStandstill(ps.now, service) {
			nds = append(nds, nd)
		}
	}
	ps.freeNodes[key] = nds
	return nds
}

// hasRoom reports whether an amount of resources may have room for a unit.
func (rk roomKey) hasRoom(rs batch.Resources) bool {
	return (rs.MilliCPU > 0 || !rk.cores) && (rs.MemoryMB > 0 || !rk.memory) && (rs.Accelerators > 0 || !rk.accelerators)
}

// roomKeyOf returns the key of the workers of a service that may have room for some needs.
func roomKeyOf(service string, needs batch.Resources) roomKey {
	return roomKey{service, needs.MilliCPU > 0, needs.MemoryMB > 0, needs.Accelerators > 0}
}

// mayEndStandstill reports whether a worker of a service takes work regardless of
// preferences.
func (nd *node) mayEndStandstill(now time.Time, service string) bool {
	return nd.worker.Service == service && nd.acceptsWorkIfHealthy(now) && !now.Before(nd.isolatedUntil) && nd.isQuietFor(now, quietTime)
}

// isQuietFor reports whether a worker may take a unit that would rather run elsewhere, by
// what has failed there.
func (co *Core) isQuietFor(now time.Time, un *unit, nd *node) bool {
	return nd.isQuietFor(now, quietTime) && (!co.lastAttempt(un) || nd.isQuietFor(now, lastAttemptQuietTime))
}

// isQuietFor reports whether a worker is in service, or has not failed anything for some
// time.
func (nd *node) isQuietFor(now time.Time, d time.Duration) bool {
	return nd.health.isInService() || now.Sub(nd.health.lastFailure) >= d
}

// idle returns what no run uses on a worker. Runs that are not known to have started use
// nothing.
func (nd *node) idle() batch.Resources {
	idle := nd.worker.Capacity
	for _, ru := range nd.runs {
		if ru.stage != planned {
			idle = idle.Minus(ru.reserved())
		}
	}
	return idle
}

// chooseDespitePreferences returns a worker for each task of a unit, the preferred
// ones first, or nil if not all fit.
func (co *Core) chooseDespitePreferences(ps *pass, un *unit, service string) []*node {
	var sls []slot
	tasks := 0
	for _, nd := range co.freeNodes(ps, service, un) {
		co.examine(1)
		if !un.suits(nd) || !co.isQuietFor(ps.now, un, nd) || ps.now.Before(nd.isolatedUntil) {
			continue
		}
		if n := un.fitCount(nd, nd.free(), un.tasks); n > 0 {
			sls = append(sls, slot{nd, n})
			tasks += n
		}
	}
	if tasks < un.tasks {
		return nil
	}
	return un.pickByPreference(ps, sls)
}

// pickByPreference returns a worker for each task of a unit, the preferred ones first, or
// nil if not all fit.
func (un *unit) pickByPreference(ps *pass, sls []slot) []*node {
	trusted := func(nd *node) bool {
		return nd.health.isInService() && !nd.health.suspected && !un.avoided[nd.worker.ID]
	}
	if nodes := un.pickFrom(sls, func(nd *node) bool { return trusted(nd) && !ps.isReserved(nd) }); nodes != nil {
		return nodes
	}
	// Workers that are needed last come first, since they are disturbed the least.
	for _, start := range ps.startsOfReservations() {
		mayTake := func(nd *node) bool { return !ps.isReserved(nd) || !ps.reserved[nd].Before(start) }
		if nodes := un.pickFrom(sls, func(nd *node) bool { return trusted(nd) && mayTake(nd) }); nodes != nil {
			return nodes
		}
	}
	if nodes := un.pickFrom(sls, func(nd *node) bool { return nd.health.isInService() && !un.avoided[nd.worker.ID] }); nodes != nil {
		return nodes
	}
	return un.pick(sls, true)
}

// pickFrom returns a worker for each task of a unit among those that are accepted, in any
// rack, or nil if not all fit.
func (un *unit) pickFrom(sls []slot, accepts func(nd *node) bool) []*node {
	return un.pick(slices.DeleteFunc(slices.Clone(sls), func(sl slot) bool { return !accepts(sl.node) }), true)
}

// startsOfReservations returns the expected starts of the units with reserved workers, the
// last one first.
func (ps *pass) startsOfReservations() []time.Time {
	starts := slices.SortedFunc(maps.Values(ps.reserved), func(a, b time.Time) int { return b.Compare(a) })
	return slices.CompactFunc(starts, time.Time.Equal)
}
