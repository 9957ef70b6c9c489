package domain

import (
	"slices"

	"github.com/cicadawharf/cicadawharf/internal/batch"
)

// handleShrink processes a reduced capacity of a worker. What runs there goes on.
// Attempts that are being recorded are evaluated again, and claims are released,
// since what was stopped for them may no longer suffice.
func (co *Core) handleShrink(nd *node) {
	nd.hasShrunk = true
	co.reevaluatePlaced(nd)
	for _, un := range co.claimed {
		if slices.Contains(un.claim, nd) {
			co.releaseClaim(un)
		}
	}
}

// exceedsCapacity reports whether the runs on some worker of a unit exceed its
// capacity. Claims don't count, as they wait for runs to end.
func (un *unit) exceedsCapacity() bool {
	return slices.ContainsFunc(un.runs, func(ru *run) bool {
		return ru.node.hasShrunk && !ru.node.worker.Capacity.Covers(ru.node.usedByRuns())
	})
}

// usedByRuns returns the part of a worker's capacity that its runs occupy.
func (nd *node) usedByRuns() batch.Resources {
	var used batch.Resources
	for _, ru := range nd.runs {
		used = used.Plus(ru.reserved())
	}
	return used
}
