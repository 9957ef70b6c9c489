package domain

import "time"

// fillingPause is for how long a worker gets no filling work after a task that
// serves others was too slow there. Which work disturbs which changes within
// seconds, so it is tried again.
const fillingPause = 15 * time.Second

// observeLoad stops the filling work beside a task that serves others and whose
// slow responses are over their target. The target may be missed for a few
// seconds, and a look shows it half of them late, so the first sight counts.
func (co *Core) observeLoad(now time.Time, ru *run, load int) {
	target := ru.unit.step.Target
	if target == 0 || time.Duration(load)*time.Millisecond <= target {
		return
	}
	nd := ru.node
	nd.fillingBlockedUntil = now.Add(fillingPause)
	for _, other := range nd.sortedRuns() {
		if un := other.unit; un != nil && un.step.Filling && un.phase == live {
			co.stopUnit(now, un, "work that serves others is over its target beside it")
		}
	}
}

// fillingBlocked tells whether a unit would fill up a worker on which that has done
// harm lately.
func (un *unit) fillingBlocked(nd *node) bool {
	return un.step.Filling && nd.clockAt.Before(nd.fillingBlockedUntil)
}
