package domain

import (
	"cmp"
	"slices"
)

const (
	// maxReservations bounds the units with reserved workers in a pass, since
	// reserved capacity is idle until there is enough of it.
	maxReservations = 12
	// largeTaskAccelerators is the number of accelerators from which a single
	// task is treated like a gang.
	largeTaskAccelerators = 4
)

// reserveNodes reserves workers for a waiting gang or large task for the rest
// of a pass, so that smaller work after it does not take the capacity that has
// become free there. Unlike a claim (unit.claim), a reservation allocates
// nothing and is made anew by each pass.
func (co *Core) reserveNodes(ps *pass, un *unit, key fitKey) {
	if un.tasks == 1 && !un.large() || ps.reservations == maxReservations {
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
