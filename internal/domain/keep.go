package domain

import (
	"cmp"
	"slices"
)

const (
	// maxKeeps bounds the gangs that workers are kept for, since kept room is
	// idle until there is enough of it.
	maxKeeps = 12
	// wideTask is from how many accelerators a single task is treated as a gang.
	wideTask = 4
)

// keep reserves workers for a gang that waits, so that smaller work that comes
// after it does not take the room that is becoming free there.
func (co *Core) keep(ps *pass, un *unit, key shape) {
	if un.tasks == 1 && !un.wide() || ps.keeps == maxKeeps {
		return
	}
	ps.keeps++
	var best []*node
	bestFits := -1
	for _, group := range append(groups(un, co.usable(ps, key.service)), co.usable(ps, key.service)) {
		nodes, fits := un.roomiest(group, ps.kept)
		if nodes != nil && fits > bestFits {
			best, bestFits = nodes, fits
		}
	}
	for _, nd := range best {
		ps.kept[nd] = true
	}
}

// wide tells whether a task of the unit needs most of a worker.
func (un *unit) wide() bool { return un.step.Needs.Accelerators >= wideTask }

// roomiest returns the workers of a group that would hold a unit if they were
// empty, those with the most room first, and how many tasks fit there now.
func (un *unit) roomiest(group []*node, kept map[*node]bool) ([]*node, int) {
	nds := slices.Clone(group)
	now := make(map[*node]int, len(nds))
	for _, nd := range nds {
		now[nd] = un.fits(nd, nd.free())
	}
	slices.SortStableFunc(nds, func(a, b *node) int { return cmp.Compare(now[b], now[a]) })
	var out []*node
	fits, held := 0, 0
	for _, nd := range nds {
		n := un.fits(nd, nd.worker.Capacity)
		if kept[nd] || n == 0 || !un.suits(nd) {
			continue
		}
		out = append(out, nd)
		fits += now[nd]
		held += n
		if held >= un.tasks {
			return out, fits
		}
	}
	return nil, 0
}
