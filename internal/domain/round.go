package domain

import "time"

// A pass ends when its steps are used up, whatever the number of workers and of waiting
// units, so that the leases and replies of the workers don't wait for it. The next pass goes
// on with the units that were not tried: a round is the passes in which each waiting unit is
// tried once. Most rounds are a single pass.

type (
	// passBudget holds the steps that a pass may still take, and what it tries.
	passBudget struct {
		end  int64 // of Core.steps, from which on no further unit is tried
		tier roundTier
		cut  bool // some units were not tried
	}

	// roundTier distinguishes the work within guarantees, which comes first, from all
	// other work. Both have rounds of their own.
	roundTier uint8

	// rounds numbers the present round of each tier.
	rounds [2]int
)

const (
	roundGuaranteed roundTier = iota
	roundOthers
)

const (
	// maxPassSteps bounds the steps in which a pass tries units. One step takes a tenth of
	// a microsecond.
	maxPassSteps = 100_000
	// maxStandstillSteps bounds the steps beside these in which a pass ends standstills,
	// twice: before work outside guarantees, and after it.
	maxStandstillSteps = maxPassSteps / 4
	// lateDivisor divides the steps of a pass while events are late.
	lateDivisor = 4
	// guaranteedShare is the part of the steps for work within guarantees, so that other
	// work is tried in each pass, too.
	guaranteedShare = 0.75
)

// passSteps returns the steps in which a pass tries units.
func (co *Core) passSteps(now time.Time) int64 {
	if co.isLate(now) {
		return maxPassSteps / lateDivisor
	}
	return maxPassSteps
}

// beginTier has a pass try the units of a tier, up to a number of steps.
func (co *Core) beginTier(ps *pass, tier roundTier, steps int64) {
	ps.budget = passBudget{end: co.steps + steps, tier: tier}
}

// endTier begins the next round of the tier if the pass has tried all of its units.
// Otherwise another pass is due.
func (co *Core) endTier(ps *pass) {
	if !ps.budget.cut {
		co.rounds[ps.budget.tier]++
		return
	}
	co.passDue = true
}

// mayTry reports whether a pass may try another unit.
func (co *Core) mayTry(ps *pass) bool {
	if co.steps >= ps.budget.end {
		ps.budget.cut = true
	}
	return !ps.budget.cut
}

// isTried reports whether the first units of a group were tried in this round.
func (co *Core) isTried(ps *pass, ug unitGroup) bool {
	return ug.units[0].triedIn[ps.budget.tier] == co.rounds[ps.budget.tier]
}

// markTried notes that the units of a group that still wait were tried in this round.
func (co *Core) markTried(ps *pass, ug unitGroup) {
	for _, un := range ug.units {
		if !un.isSettled() {
			un.triedIn[ps.budget.tier] = co.rounds[ps.budget.tier]
			return
		}
	}
}

// keepReservations makes the reservations of units again that an earlier pass of the round
// has tried.
func (co *Core) keepReservations(ps *pass, ug unitGroup) {
	if !ug.mayReserve() {
		return
	}
	for _, un := range ug.units {
		if un.reservation.isCurrent(ps.now) {
			co.reserveNodes(ps, un, co.fitKeyOf(ps, ug, un))
		}
	}
}
