package domain

import "time"

// bestEffortBackoff is how long a worker gets no best-effort work (batch.Step)
// after a task there that serves requests exceeded its target latency. Which
// work interferes changes within seconds, so best-effort work is admitted again
// after that.
const bestEffortBackoff = 15 * time.Second

// observeLatency stops the best-effort work on the worker of a task that serves
// requests if the task's tail latency, in milliseconds, exceeds its target. The
// target may be missed for a few seconds only, and polls show it with a delay
// of up to half of that, so the first excess counts.
func (co *Core) observeLatency(now time.Time, ru *run, latencyMillis int) {
	target := ru.unit.step.TargetLatency
	if target == 0 || time.Duration(latencyMillis)*time.Millisecond <= target {
		return
	}
	nd := ru.node
	nd.bestEffortBlockedUntil = now.Add(bestEffortBackoff)
	for _, other := range nd.sortedRuns() {
		if un := other.unit; un != nil && un.step.BestEffort && un.phase == live {
			co.stopUnit(now, un, "a serving task on its worker exceeds its target latency")
		}
	}
}

// bestEffortBlocked reports whether a unit is best-effort work and a worker
// gets none because such work interfered there recently, as of the worker's
// last reply to a poll, with a task that still runs. An idle worker is not polled.
func (un *unit) bestEffortBlocked(nd *node) bool {
	return un.step.BestEffort && nd.clockAt.Before(nd.bestEffortBlockedUntil) && nd.servesRequests()
}

// servesRequests reports whether a task with a target latency runs on a worker.
func (nd *node) servesRequests() bool {
	for _, ru := range nd.runs {
		if ru.unit != nil && ru.unit.step.TargetLatency > 0 {
			return true
		}
	}
	return false
}
