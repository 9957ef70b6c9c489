package domain

import (
	"cmp"
	"slices"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/batch"
)

const (
	// maxReservations bounds the units with reserved workers in a pass, since
	// reserved capacity is idle until there is enough of it.
	maxReservations = 12
	// largeTaskAccelerators is the number of accelerators from which a single
	// task is treated like a gang.
	largeTaskAccelerators = 4
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
// become free there. Unlike a claim (unit.claim), a reservation allocates
// nothing and is made anew by each pass.
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
	accepts := func(nd *node) bool { return co.meetsTrust(ps.now, un, nd, required) && un.suits(nd) }
	var best []*node
	bestFits := -1
	for _, group := range append(co.rackGroups(ps, un, key.service), co.schedulableNodes(ps, key.service)) {
		nodes, fits := un.mostFree(group, ps.reserved, accepts)
		if nodes != nil && fits > bestFits {
			best, bestFits = nodes, fits
		}
	}
	for _, nd := range best {
		ps.reserved[nd] = true
	}
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

// mostFree returns the workers of a group that could hold a unit if they were
// empty, and how many of its tasks fit there now. Only workers that are
// accepted and not reserved count. Those with the most free capacity are taken
// first.
func (un *unit) mostFree(group []*node, reserved map[*node]bool, accepts func(nd *node) bool) ([]*node, int) {
	sls := make([]slot, 0, len(group))
	for _, nd := range group {
		if !reserved[nd] && accepts(nd) {
			sls = append(sls, slot{nd, un.fitCount(nd, nd.free(), un.tasks)})
		}
	}
	slices.SortStableFunc(sls, func(a, b slot) int { return cmp.Compare(b.tasks, a.tasks) })
	var out []*node
	fits, capacity := 0, 0
	for _, sl := range sls {
		n := un.fitCount(sl.node, sl.node.worker.Capacity, un.tasks)
		if n == 0 {
			continue
		}
		out = append(out, sl.node)
		fits += sl.tasks
		capacity += n
		if capacity >= un.tasks {
			return out, fits
		}
	}
	return nil, 0
}
