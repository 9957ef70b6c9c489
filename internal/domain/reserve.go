package domain

import (
	"cmp"
	"slices"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/batch"
)

type (
	// reservation names the workers on which a unit is expected to start first.
	reservation struct {
		nodes  []*node   // empty if that is unknown
		start  time.Time // zero if it is unknown
		madeAt time.Time
	}

	// reservedNodes holds reserved workers, as of a number of reservations in a pass.
	reservedNodes struct {
		reservations int
		nodes        []*node
	}

	// backfillKey determines whether a unit fits on reserved workers.
	backfillKey struct {
		fitKey
		runTime time.Duration // see unit.backfillTime
	}

	// futureSlot is room for some tasks on a worker that is expected at a time.
	futureSlot struct {
		slot
		at time.Time
	}

	// expectedEnd is when a run is expected to end and to free its resources.
	expectedEnd struct {
		at        time.Time
		resources batch.Resources
	}
)

const (
	// maxReservations bounds the units with reserved workers in a pass, since
	// reserved capacity is idle until there is enough of it.
	maxReservations = 12
	// largeTaskAccelerators is the number of accelerators from which a single
	// task is treated like a gang.
	largeTaskAccelerators = 4
	// maxExaminedWorkers is the number of workers of a service up to which the ends of all
	// runs are estimated for a reservation; more would keep a scheduler from other work.
	maxExaminedWorkers = 512
	// reservationLifetime is how long the workers of a reservation are not chosen anew,
	// which takes a look at all runs of a service.
	reservationLifetime = 500 * time.Millisecond
	// backfillStep is the unit of the run times by which work is chosen to run on
	// reserved workers.
	backfillStep = 500 * time.Millisecond
	// minProgress is the rise of a run's progress, in percent, from which its end is
	// estimated by that.
	minProgress = 10
	// overrunParts is the part of its time so far that a run is expected to take longer
	// once its expected end has passed.
	overrunParts = 10
	// maxIdleReservation is how long reservations may keep a service mostly unused.
	// One long task is enough for the other reserved workers to stand idle until it
	// ends.
	maxIdleReservation = 1500 * time.Millisecond
	// mostlyUnused is the share of a service's workers in use below which the
	// service is mostly unused.
	mostlyUnused = 0.5
)

// reserveNodes reserves workers for a waiting gang or large task for the rest
// of a pass, so that smaller work after it does not take the capacity that has
// become free there: those where it is expected to start first (EASY
// backfilling). Work that ends before that may still run there, see
// backfillNodes. Unlike a claim (unit.claim), a reservation allocates nothing and
// is made anew by each pass.
func (co *Core) reserveNodes(ps *pass, un *unit, key fitKey) {
	if un.tasks == 1 && !un.large() || ps.reservations == maxReservations {
		return
	}
	ps.reserving[key.service] = true
	if co.reservationsSuspended(ps.now, key.service) {
		return
	}
	ps.reservations++
	required := co.minTrust(ps, un, key.service)
	accepts := func(nd *node) bool {
		return !ps.isReserved(nd) && co.meetsTrust(ps.now, un, nd, required) && un.suits(nd)
	}
	if !un.reservation.isValid(ps.now, accepts) {
		un.reservation = co.chooseReservation(ps, un, key, accepts)
	}
	for _, nd := range un.reservation.nodes {
		ps.reserved[nd] = un.reservation.start
	}
}

// chooseReservation chooses the workers for a unit, of one rack if it waits for one: those
// where it is expected to start first or, in a large service, those with the most room.
func (co *Core) chooseReservation(ps *pass, un *unit, key fitKey, accepts func(nd *node) bool) reservation {
	groups := co.rackGroups(ps, un, key.service)
	if key.anyRack || len(groups) == 0 {
		groups = append(groups, co.schedulableNodes(ps, key.service))
	}
	if len(co.schedulableNodes(ps, key.service)) > maxExaminedWorkers {
		for _, group := range groups {
			co.examine(len(group))
		}
		return reservation{nodes: un.mostFree(groups, accepts), madeAt: ps.now}
	}
	best := reservation{madeAt: ps.now}
	for _, group := range groups {
		co.examine(len(group))
		nodes, at := ps.firstFree(un, group, accepts)
		if nodes != nil && (best.nodes == nil || at.Before(best.start)) {
			best.nodes, best.start = nodes, at
		}
	}
	return best
}

// mostFree returns the workers of a group that could hold a unit if they were empty, of
// the group where most of its tasks fit now. Those with the most free capacity are taken
// first.
func (un *unit) mostFree(groups [][]*node, accepts func(nd *node) bool) []*node {
	var best []*node
	bestFits := -1
	for _, group := range groups {
		var sls []slot
		for _, nd := range group {
			if accepts(nd) && un.fitCount(nd, nd.worker.Capacity, 1) > 0 {
				sls = append(sls, slot{nd, un.fitCount(nd, nd.free(), un.tasks)})
			}
		}
		slices.SortStableFunc(sls, func(a, b slot) int { return cmp.Compare(b.tasks, a.tasks) })
		var nds []*node
		fits, capacity := 0, 0
		for i := 0; i < len(sls) && capacity < un.tasks; i++ {
			nds = append(nds, sls[i].node)
			fits += sls[i].tasks
			capacity += un.fitCount(sls[i].node, sls[i].node.worker.Capacity, un.tasks)
		}
		if capacity >= un.tasks && fits > bestFits {
			best, bestFits = nds, fits
		}
	}
	return best
}

// isValid reports whether a reservation may be made again as it is: it is not older than
// reservationLifetime, and all of its workers are accepted.
func (re reservation) isValid(now time.Time, accepts func(nd *node) bool) bool {
	return re.isCurrent(now) && !slices.ContainsFunc(re.nodes, func(nd *node) bool { return !nd.schedulable(now) || !accepts(nd) })
}

// isCurrent reports whether a reservation is not older than reservationLifetime.
func (re reservation) isCurrent(now time.Time) bool {
	return !re.madeAt.IsZero() && now.Sub(re.madeAt) < reservationLifetime
}

func (ps *pass) isReserved(nd *node) bool {
	_, ok := ps.reserved[nd]
	return ok
}

// backfill places a unit on reserved workers if it ends before they are needed, and
// reports whether it did.
func (co *Core) backfill(ps *pass, un *unit, key fitKey) bool {
	if len(ps.reserved) == 0 || key.guaranteed() || un.step.LongRunning || un.step.RunTime == 0 || co.queueOf(un.job).Advised && un.job.advice == nil {
		return false
	}
	bk := backfillKey{key, un.backfillTime()}
	if ps.notBackfilled[bk] {
		return false
	}
	required := co.minTrust(ps, un, key.service)
	co.examine(len(ps.reserved))
	nds := slices.DeleteFunc(slices.Clone(ps.backfillNodes(bk)), func(nd *node) bool { return !co.meetsTrust(ps.now, un, nd, required) })
	nodes := un.pick(un.slots(nds, un.tasks), key.anyRack)
	if nodes == nil {
		ps.notBackfilled[bk] = true
		return false
	}
	co.place(ps.now, un, nodes)
	return true
}

// backfillNodes returns the reserved workers with enough free capacity for one task
// that ends before they are needed. Those that are needed last come first.
func (ps *pass) backfillNodes(bk backfillKey) []*node {
	de := demand{service: bk.service, needs: bk.needs}
	rn := ps.backfillable[de]
	if rn.reservations != ps.reservations {
		rn = reservedNodes{reservations: ps.reservations}
		for nd := range ps.reserved {
			if nd.worker.Service == bk.service && !ps.now.Before(nd.isolatedUntil) {
				rn.nodes = append(rn.nodes, nd)
			}
		}
		slices.SortFunc(rn.nodes, func(a, b *node) int {
			return cmp.Or(ps.reserved[b].Compare(ps.reserved[a]), compareNodes(a, b))
		})
	}
	rn.nodes = slices.DeleteFunc(rn.nodes, func(nd *node) bool { return !nd.free().Covers(bk.needs) })
	ps.backfillable[de] = rn
	end := ps.now.Add(bk.runTime)
	n := slices.IndexFunc(rn.nodes, func(nd *node) bool { return ps.reserved[nd].Before(end) })
	if n < 0 {
		return rn.nodes
	}
	return rn.nodes[:n]
}

// backfillTime returns the declared run time of a unit, rounded up so that few times
// have to be distinguished.
func (un *unit) backfillTime() time.Duration {
	return (un.step.RunTime + backfillStep - 1).Truncate(backfillStep)
}

// reservationsSuspended reports whether no workers of a service are reserved, since
// reservations have kept it mostly unused for maxIdleReservation.
func (co *Core) reservationsSuspended(now time.Time, service string) bool {
	since, ok := co.idleReservations[service]
	return ok && now.Sub(since) >= maxIdleReservation
}

// updateIdleReservations notes, after a pass, for which services workers are to be
// reserved although they are mostly unused, and since when.
func (co *Core) updateIdleReservations(ps *pass) {
	for service := range co.idleReservations {
		if !ps.reserving[service] {
			delete(co.idleReservations, service)
		}
	}
	for service := range ps.reserving {
		if co.usedShare(service) >= mostlyUnused {
			delete(co.idleReservations, service)
		} else if _, ok := co.idleReservations[service]; !ok {
			co.idleReservations[service] = ps.now
		}
	}
}

// usedShare returns the share of a service's workers that runs use, in core
// equivalents. Workers that take no work at present count, too.
func (co *Core) usedShare(service string) float64 {
	var used, total batch.Resources
	for te, tu := range co.fair.tenants {
		if te.service == service {
			used = used.Plus(tu.resources)
		}
	}
	for _, nd := range co.sortedNodes {
		if nd.listed && nd.worker.Service == service {
			total = total.Plus(nd.worker.Capacity)
		}
	}
	return float64(coreEquivalents(used)) / float64(max(1, coreEquivalents(total)))
}

// large reports whether a task of the unit needs most of a worker.
func (un *unit) large() bool { return un.step.Needs.Accelerators >= largeTaskAccelerators }

// firstFree returns the workers of a group on which a unit is expected to fit first,
// and when, or nil if that is unknown. Only workers that are accepted count.
func (ps *pass) firstFree(un *unit, group []*node, accepts func(nd *node) bool) ([]*node, time.Time) {
	var fss []futureSlot
	for _, nd := range group {
		if accepts(nd) {
			fss = ps.appendSlots(fss, un, nd)
		}
	}
	slices.SortStableFunc(fss, func(a, b futureSlot) int { return a.at.Compare(b.at) })
	var nds []*node
	tasks := 0
	for _, fs := range fss {
		if !slices.Contains(nds, fs.node) {
			nds = append(nds, fs.node)
		}
		if tasks += fs.tasks; tasks >= un.tasks {
			return nds, fs.at
		}
	}
	return nil, time.Time{}
}

// appendSlots appends the slots for a unit that are free on a worker or expected to
// become free there.
func (ps *pass) appendSlots(fss []futureSlot, un *unit, nd *node) []futureSlot {
	limit := un.fitCount(nd, nd.worker.Capacity, un.tasks)
	if limit == 0 {
		return fss
	}
	free := nd.free()
	fits := un.fitCount(nd, free, limit)
	if fits > 0 {
		fss = append(fss, futureSlot{slot{nd, fits}, ps.now})
	}
	for _, en := range ps.expectedEnds(nd) {
		if fits >= limit {
			break
		}
		free = free.Plus(en.resources)
		if n := un.fitCount(nd, free, limit); n > fits {
			fss = append(fss, futureSlot{slot{nd, n - fits}, en.at})
			fits = n
		}
	}
	return fss
}

// expectedEnds returns the expected ends of the runs on a worker, the first one first.
// Runs of which it is unknown are left out.
func (ps *pass) expectedEnds(nd *node) []expectedEnd {
	if ens, ok := ps.ends[nd]; ok {
		return ens
	}
	ens := make([]expectedEnd, 0, len(nd.runs))
	for _, ru := range nd.sortedRuns() {
		if ru.unit != nil && !ru.unit.step.LongRunning {
			ens = append(ens, expectedEnd{ru.expectedEnd(ps.now), ru.unit.step.Reserved()})
		}
	}
	slices.SortStableFunc(ens, func(a, b expectedEnd) int { return a.at.Compare(b.at) })
	ps.ends[nd] = ens
	return ens
}

// expectedEnd returns when a run is expected to end: by its progress where a worker has
// reported some, and by its declared run time otherwise.
func (ru *run) expectedEnd(now time.Time) time.Time {
	switch {
	case ru.stop.requested:
		return now
	case ru.beganAt.IsZero():
		return now.Add(ru.unit.step.RunTime)
	}
	end := ru.beganAt.Add(ru.unit.step.RunTime)
	if risen := ru.percent - ru.firstSeenPercent; risen >= minProgress {
		left := ru.progressAt.Sub(ru.firstSeenAt) * time.Duration(100-ru.percent) / time.Duration(risen)
		end = ru.progressAt.Add(left)
	}
	if overrun := now.Add(now.Sub(ru.beganAt) / overrunParts); end.Before(overrun) && end.Before(now) {
		return overrun
	}
	return end
}
