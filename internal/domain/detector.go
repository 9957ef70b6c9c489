package domain

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/batch"
	"github.com/cicadawharf/cicadawharf/internal/runner"
)

type (
	// healthState determines which work a worker gets.
	healthState uint8

	// failureDetector holds the evidence about the health of all workers.
	failureDetector struct {
		baselines        map[string]baseline            // by queue
		withEvidence     map[*node]bool                 // nodes that have a score or are out of service
		impairedServices map[string]bool                // services with workers that are suspected or out of service
		listed           map[locationKey]map[*node]bool // the listed workers
		// suspectedByLocation holds the workers that are suspected without evidence of
		// their own.
		suspectedByLocation []*node
		due                 bool // the health states have to be updated
		lastReport          HealthReport
		reportedAt          time.Time
	}

	// locationCount counts the listed workers of a rack, a zone or a service.
	locationCount struct{ total, suspected int }

	// locationKey identifies a rack or, with an empty rack, a zone or, with
	// both empty, a service.
	locationKey struct{ service, zone, rack string }
)

// The health states.
const (
	inService   healthState = iota
	suspended               // gets no work
	onProbation             // gets only work that tolerates a failure
)

const (
	// minSuspension is the length of the first suspension. It doubles with each
	// further one, up to maxSuspension.
	minSuspension = 4 * time.Second
	maxSuspension = 16 * time.Second
	// stableTime is the time in service after which a worker's next suspension
	// is as short as the first one.
	stableTime = time.Minute
	// probationTimeout is how long a worker waits for work on probation before
	// it returns to service, where other workers are preferred to it.
	probationTimeout = 20 * time.Second
	// maxSuspendedShare is the maximum fraction of a service's workers that are
	// out of service.
	maxSuspendedShare = 1.0 / 3
	// minCorrelated, correlatedShare and correlatedFactor define correlated
	// failures: at least minCorrelated workers of a rack or zone are suspected,
	// which are at least the fraction correlatedShare of those there, and that
	// fraction is at least correlatedFactor times the one among the service's
	// other workers.
	minCorrelated    = 3
	correlatedShare  = 0.3
	correlatedFactor = 3
	// correlatedScore is added to the score of workers where failures are
	// correlated.
	correlatedScore = suspectScore
	// maxEvaluatedAtOnce is the number of workers with evidence up to which their health
	// states follow each event.
	maxEvaluatedAtOnce = 64
	// restoredFailureScore is the score of a failure that is restored from the
	// record of an earlier term.
	restoredFailureScore = 1.5
)

func newFailureDetector() failureDetector {
	return failureDetector{baselines: map[string]baseline{}, listed: map[locationKey]map[*node]bool{}, withEvidence: map[*node]bool{}, impairedServices: map[string]bool{}}
}

// isInService reports whether the worker is neither suspended nor on probation.
func (he *health) isInService() bool { return he.state == inService }

// evaluateHealthNow updates the health states after an event that has brought evidence.
// If there is evidence about many workers, that is left to the next pass or tick:
// failures come in numbers when a scheduler is late.
func (co *Core) evaluateHealthNow(now time.Time) {
	if co.detector.due && len(co.detector.withEvidence) <= maxEvaluatedAtOnce {
		co.evaluateHealth(now)
	}
}

// evaluateHealth updates the health states of workers by the evidence, those
// with the highest score first, since only some of them may be suspended. It
// does nothing as long as there is no evidence.
func (co *Core) evaluateHealth(now time.Time) {
	co.detector.due = false
	if len(co.detector.withEvidence) == 0 {
		return
	}
	co.examine(len(co.detector.withEvidence))
	clear(co.detector.impairedServices)
	for nd := range co.detector.withEvidence {
		nd.health.setScore(now, nd.health.scoreAt(now))
	}
	correlated := co.detector.correlatedLocations()
	nds := slices.SortedFunc(maps.Keys(co.detector.withEvidence), func(a, b *node) int {
		return cmp.Or(cmp.Compare(b.health.score, a.health.score), compareNodes(a, b))
	})
	outOfService := map[string]int{} // by service
	for _, nd := range nds {
		if co.nodes[nd.worker.ID] != nd {
			delete(co.detector.withEvidence, nd)
			continue
		}
		limit := int(maxSuspendedShare * float64(len(co.detector.listed[locationKey{service: nd.worker.Service}])))
		co.updateHealth(now, nd, nd.isAtAny(correlated), outOfService[nd.worker.Service] < limit)
		if !nd.health.isInService() {
			outOfService[nd.worker.Service]++
		}
		if nd.health.suspected || !nd.health.isInService() {
			co.detector.impairedServices[nd.worker.Service] = true
		}
	}
	co.suspectCorrelated(now, correlated)
}

// updateHealth advances the health state of one worker. maySuspend is false if
// workers with higher scores use up maxSuspendedShare of its service already.
func (co *Core) updateHealth(now time.Time, nd *node, correlated, maySuspend bool) {
	he := &nd.health
	score := he.score
	if correlated {
		score += correlatedScore
	}
	he.suspected = score >= suspectScore
	switch he.state {
	case inService:
		if score >= suspendScore && maySuspend {
			co.suspend(now, nd)
		} else if he.score < negligibleScore {
			delete(co.detector.withEvidence, nd)
		}
	case suspended:
		if !maySuspend || score < suspectScore {
			co.reinstate(now, nd, "its score has decayed, or too many workers are out of service")
		} else if !now.Before(he.suspendedUntil) {
			he.state = onProbation
			he.trialsPassed = 0
		}
	case onProbation:
		switch {
		case he.trialsPassed >= he.requiredTrials():
			he.setScore(now, 0)
			he.tallies, he.suspected, he.reinstatedAt = nil, false, now
			co.reinstate(now, nd, "its attempts on probation have succeeded")
		case !maySuspend || now.Sub(he.suspendedUntil) > probationTimeout:
			he.setScore(now, max(suspectScore, score/2))
			co.reinstate(now, nd, "no suitable work for probation has arrived, or too many workers are out of service")
		}
	}
}

// requiredTrials returns how many attempts have to succeed on probation.
func (he *health) requiredTrials() int { return min(4, 1+he.suspensions) }

// maxTrials bounds the attempts on probation that have succeeded or are
// running. The first one runs alone.
func (he *health) maxTrials() int {
	if he.trialsPassed == 0 {
		return 1
	}
	return he.requiredTrials()
}

// suspend begins a suspension. It is twice as long as the last one, up to
// maxSuspension, or as short as the first one after stableTime in service.
func (co *Core) suspend(now time.Time, nd *node) {
	he := &nd.health
	if !he.reinstatedAt.IsZero() && now.Sub(he.reinstatedAt) > stableTime {
		he.suspensions = 0
	}
	he.state = suspended
	he.suspendedUntil = now.Add(min(maxSuspension, minSuspension<<min(he.suspensions, 4)))
	he.suspensions++
	co.passDue = true
	co.emit(LogDecision{Decision: "suspects", Worker: nd.worker.ID, Reason: he.describe(now)})
}

// reinstate returns a worker to service.
func (co *Core) reinstate(now time.Time, nd *node, reason string) {
	nd.health.state = inService
	co.passDue = true
	co.emit(LogDecision{Decision: "reinstates", Worker: nd.worker.ID, Reason: reason})
}

// countNode counts a worker at its locations if it is listed, and no longer at its former
// ones. It is called after each change of its entry.
func (co *Core) countNode(nd *node, listed bool) {
	for _, key := range nd.countedAt {
		delete(co.detector.listed[key], nd)
		if len(co.detector.listed[key]) == 0 {
			delete(co.detector.listed, key)
		}
	}
	nd.locations, nd.countedAt = locationKeys(nd.worker), nil
	if listed {
		nd.countedAt = nd.locations
	}
	for _, key := range nd.countedAt {
		if co.detector.listed[key] == nil {
			co.detector.listed[key] = map[*node]bool{}
		}
		co.detector.listed[key][nd] = true
	}
}

// locationKeys returns the locations of a worker: its service first, then its
// zone and its rack.
func locationKeys(wk runner.Worker) []locationKey {
	keys := []locationKey{{service: wk.Service}}
	if wk.Zone != "" {
		keys = append(keys, locationKey{wk.Service, wk.Zone, ""})
	}
	if wk.Rack != "" {
		keys = append(keys, locationKey{wk.Service, wk.Zone, wk.Rack})
	}
	return keys
}

// correlatedLocations returns the racks and zones where failures are correlated; see
// minCorrelated.
func (fd *failureDetector) correlatedLocations() map[locationKey]bool {
	suspected := map[locationKey]int{}
	for nd := range fd.withEvidence {
		if nd.health.score < suspectScore {
			continue
		}
		for _, key := range nd.countedAt {
			suspected[key]++
		}
	}
	correlated := map[locationKey]bool{}
	for key, n := range suspected {
		service := locationKey{service: key.service}
		if key != service && isCorrelated(locationCount{len(fd.listed[key]), n}, locationCount{len(fd.listed[service]), suspected[service]}) {
			correlated[key] = true
		}
	}
	return correlated
}

// isCorrelated reports whether failures are correlated in a rack or zone, given the counts
// of its service.
func isCorrelated(here, total locationCount) bool {
	elsewhere := locationCount{total.total - here.total, total.suspected - here.suspected}
	if here.suspected < minCorrelated || float64(here.suspected) < correlatedShare*float64(here.total) || elsewhere.total == 0 {
		return false
	}
	return float64(here.suspected)*float64(elsewhere.total) >= correlatedFactor*float64(elsewhere.suspected)*float64(here.total)
}

// isAtAny reports whether a worker is at some location.
func (nd *node) isAtAny(locations map[locationKey]bool) bool {
	return len(locations) > 0 && slices.ContainsFunc(nd.locations, func(key locationKey) bool { return locations[key] })
}

// suspectCorrelated marks workers without evidence of their own as suspected if
// failures are correlated in their rack or zone, unless an attempt there has
// succeeded within minSuspension.
func (co *Core) suspectCorrelated(now time.Time, correlated map[locationKey]bool) {
	fd := &co.detector
	former := fd.suspectedByLocation
	fd.suspectedByLocation = nil
	for _, nd := range former {
		if !fd.withEvidence[nd] {
			nd.health.suspected = false
		}
	}
	for key := range correlated {
		co.examine(len(fd.listed[key]))
		for nd := range fd.listed[key] {
			if fd.withEvidence[nd] || now.Sub(nd.health.lastSuccess) <= minSuspension {
				continue
			}
			nd.health.suspected = true
			fd.suspectedByLocation = append(fd.suspectedByLocation, nd)
			fd.impairedServices[nd.worker.Service] = true
		}
	}
}

// recordFailure records the failure of a unit's attempt against a worker, unless
// its step is considered faulty itself. A worker on probation is suspended
// again.
func (co *Core) recordFailure(now time.Time, nd *node, un *unit, weight float64) {
	jb := un.job
	if jb.isFaultyStep(un.stepIndex) {
		return
	}
	name := jb.Queue.Name
	bl := co.detector.baselines[name]
	amount := weight * failurePenalty(bl.failureRate(now))
	if nd.health.scoreAt(now) < suspectScore {
		co.detector.baselines[name] = bl.record(now, weight)
	}
	nd.health.lastFailure = now
	nd.health.recordOutcome(now, jb.ID, amount)
	if nd.health.state == onProbation {
		co.suspend(now, nd)
	}
	co.detector.withEvidence[nd] = true
	co.detector.due = true
}

// recordNodeFailure records a failure that can't be caused by a job against a
// worker, and adds the given amount to its score.
func (co *Core) recordNodeFailure(now time.Time, nd *node, amount float64) {
	nd.health.lastFailure = now
	nd.health.setScore(now, nd.health.scoreAt(now)+amount)
	co.detector.withEvidence[nd] = true
	co.detector.due = true
}

// recordSuccess records the success of a unit's attempt for a worker.
func (co *Core) recordSuccess(now time.Time, nd *node, un *unit) {
	co.recordStepSuccess(now, un)
	he := &nd.health
	name := un.job.Queue.Name
	if !he.suspected {
		co.detector.baselines[name] = co.detector.baselines[name].record(now, 0)
	}
	he.lastSuccess = now
	he.recordOutcome(now, un.job.ID, -successCredit)
	if he.state == onProbation {
		he.trialsPassed++
	}
	co.detector.due = co.detector.due || he.suspected || !he.isInService()
}

// resetHealth clears the evidence against a worker that has restarted, and its
// health state, except for half of its score. If the restart lost work, that
// counts as a failure.
func (co *Core) resetHealth(now time.Time, nd *node, lost bool) {
	score := nd.health.scoreAt(now) / 2
	if lost {
		score += weightWorkerLost * maxJobPenalty
	}
	nd.health = health{}
	if score >= negligibleScore {
		nd.health.setScore(now, score)
		co.detector.withEvidence[nd] = true
	}
}

// restoreFailures records the failures of a unit from the record of an earlier
// term. Records contain no times, so these failures make workers suspected but
// don't suspend them. failedOn also contains workers that refused a start or
// let a task hang, which failures does not count. If there are more workers
// than failures, it is unknown which of them failed, so none is recorded.
func (co *Core) restoreFailures(now time.Time, un *unit, failedOn []string) {
	if un.failures == 0 || len(failedOn) > un.failures || un.job.state != batch.Running {
		return
	}
	for _, id := range failedOn {
		nd, ok := co.nodes[id]
		if !ok {
			continue
		}
		nd.health.recordOutcome(now, un.job.ID, restoredFailureScore)
		nd.health.setScore(now, min(nd.health.score, suspendScore-negligibleScore))
		co.detector.withEvidence[nd] = true
	}
}

// reportHealth emits the number of workers that are suspected or out of
// service if it has changed.
func (co *Core) reportHealth(now time.Time) {
	fd := &co.detector
	if now.Sub(fd.reportedAt) < reportInterval || (len(fd.withEvidence) == 0 && fd.lastReport == HealthReport{}) {
		return
	}
	var hr HealthReport
	for _, nd := range co.sortedNodes {
		switch {
		case nd.health.state == suspended:
			hr.Suspended++
		case nd.health.state == onProbation:
			hr.OnProbation++
		case nd.health.suspected:
			hr.Suspected++
		}
	}
	if hr == fd.lastReport {
		return
	}
	fd.lastReport, fd.reportedAt = hr, now
	co.emit(hr)
}
