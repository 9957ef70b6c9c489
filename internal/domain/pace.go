package domain

import (
	"slices"
	"time"
)

// A host sends no more starts than it can follow. If all starts of a large pass were sent
// at once, they would wait for the processor of the host, be repeated and given up there,
// and leave gangs that have started in part.

type (
	// pacer holds the attempts whose starts are to be sent, and counts the calls to start
	// and stop runs that have had no response yet.
	pacer struct {
		guaranteed []*unit // within guarantees, which come first
		others     []*unit
		calls      []openCall // in the order in which they were sent; some may have returned
		open       int        // calls that have not returned
		limit      int        // of open calls, beyond which no further unit is started
	}

	// openCall is a call to start or stop a run.
	openCall struct {
		run  *run
		stop bool
		sent time.Time
	}
)

const (
	// callsPerCore is the number of open calls for each core of the host, and minOpenCalls
	// that for the weakest ones. A call takes some tenth of a millisecond, so all of them
	// take much less than openCallTime.
	callsPerCore = 256
	minOpenCalls = 32
	// openCallTime is how long a call without a response counts. A worker that does not
	// respond must not keep work from others.
	openCallTime = 300 * time.Millisecond
)

// newPacer returns a pacer for a host with a number of CPU cores, zero if unknown.
func newPacer(cores float64) pacer {
	if cores <= 0 {
		cores = 1
	}
	return pacer{limit: max(minOpenCalls, int(callsPerCore*cores))}
}

// queueStart queues a unit whose attempt is recorded.
func (pa *pacer) queueStart(un *unit) {
	if un.startQueued {
		return
	}
	un.startQueued = true
	if un.guaranteed {
		pa.guaranteed = append(pa.guaranteed, un)
		return
	}
	pa.others = append(pa.others, un)
}

// mayStart reports whether a unit may be started that is not queued.
func (pa *pacer) mayStart() bool {
	return pa.open < pa.limit && len(pa.guaranteed) == 0 && len(pa.others) == 0
}

// next returns the next unit to be started, or nil if there is none or too many calls are
// open. A gang is started as a whole, so it may exceed the limit.
func (pa *pacer) next() *unit {
	if pa.open >= pa.limit {
		return nil
	}
	for _, queue := range []*[]*unit{&pa.guaranteed, &pa.others} {
		if len(*queue) > 0 {
			un := (*queue)[0]
			*queue = (*queue)[1:]
			un.startQueued = false
			return un
		}
	}
	return nil
}

// callSent counts a call as open.
func (pa *pacer) callSent(now time.Time, ru *run, stop bool) {
	pa.calls = append(pa.calls, openCall{ru, stop, now})
	pa.open++
	*ru.openCalls(stop)++
}

// callReturned counts a call as returned, unless expire has done so.
func (pa *pacer) callReturned(ru *run, stop bool) {
	if n := ru.openCalls(stop); *n > 0 {
		*n--
		pa.open--
	}
}

// runEnded no longer counts the calls for a run whose end is known otherwise: their responses
// find no run any more.
func (pa *pacer) runEnded(ru *run) {
	pa.open -= ru.openStarts + ru.openStops
	ru.openStarts, ru.openStops = 0, 0
}

// expire no longer counts the calls that have had no response for openCallTime.
func (pa *pacer) expire(now time.Time) {
	for len(pa.calls) > 0 && now.Sub(pa.calls[0].sent) >= openCallTime {
		pa.callReturned(pa.calls[0].run, pa.calls[0].stop)
		pa.calls = pa.calls[1:]
	}
}

// openCalls returns the number of open calls of a kind for a run.
func (ru *run) openCalls(stop bool) *int {
	if stop {
		return &ru.openStops
	}
	return &ru.openStarts
}

// startOrQueue starts a unit whose attempt is recorded, or queues it if too many calls are
// open.
func (co *Core) startOrQueue(now time.Time, un *unit) {
	if co.pacer.mayStart() {
		co.sendStarts(now, un)
		return
	}
	co.pacer.queueStart(un)
}

// queuedStartObstacle returns why a unit whose start has waited must not be started where
// it was placed, or an empty string if it may be. It may have waited for seconds.
func (co *Core) queuedStartObstacle(un *unit) string {
	if reason := un.startObstacle(); reason != "" {
		return reason
	}
	if slices.ContainsFunc(un.runs, func(ru *run) bool {
		return ru.node.worker.Draining || !ru.node.drainBy.IsZero() || !co.suitsClaim(un, ru.node)
	}) {
		return "one of its workers takes no such work any more"
	}
	return ""
}

// sendQueuedStarts starts queued units as far as few enough calls are open.
func (co *Core) sendQueuedStarts(now time.Time) {
	co.pacer.expire(now)
	for un := co.pacer.next(); un != nil; un = co.pacer.next() {
		co.examine(1)
		if un.phase != placed || un.job.savedVersion < un.recordVersion {
			continue // it was stopped, and may have been placed again since
		}
		if reason := co.queuedStartObstacle(un); reason != "" {
			co.stopUnit(now, un, reason)
			co.markChanged(un)
			continue
		}
		co.sendStarts(now, un)
	}
}
