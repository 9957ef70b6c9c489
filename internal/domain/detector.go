package domain

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/batch"
)

type (
	// healthState says which work a worker gets.
	healthState uint8

	// failureDetector is what is known of all workers together.
	failureDetector struct {
		baselines       map[string]baseline // by queue
		suspects        map[*node]bool      // with a score, or not in good standing
		suspectServices map[string]bool     // services with workers in doubt, or out of use
		due             bool                // standings are to be set anew
		lastReport      Suspects
		reportedAt      time.Time // when that was
	}

	// locationCount counts the workers of a rack, a zone or a service.
	locationCount struct{ total, suspected int }

	locationKey struct{ service, zone, rack string }
)

// The standings.
const (
	inService   healthState = iota
	suspended               // gets no work
	onProbation             // gets only work that can bear a failure
)

const (
	// suspension is how long the first suspension lasts; it doubles.
	suspension    = 4 * time.Second
	maxSuspension = 16 * time.Second
	// After stableTime in use a worker's next suspension is as short as a first one.
	stableTime = time.Minute
	// probationTimeout is how long a worker waits for work on probation before it is
	// used again, after all others.
	probationTimeout = 20 * time.Second
	// maxSuspendedShare is the part of a service's workers that are out of use at most.
	maxSuspendedShare = 1.0 / 3
	// At least minCorrelated workers in doubt, which are spreadPart of those of a rack or
	// zone, speak against the others there if their part is spreadFactor times the
	// part elsewhere.
	minCorrelated    = 3
	correlatedShare  = 0.3
	correlatedFactor = 3
	// correlatedScore is what that adds to the score of each of the others.
	correlatedScore = suspectScore
	// adoptedFailureScore is what the record of a job that has failed on a worker counts for
	// after a change of the scheduler.
	adoptedFailureScore = 1.5
)

func newFailureDetector() failureDetector {
	return failureDetector{baselines: map[string]baseline{}, suspects: map[*node]bool{}, suspectServices: map[string]bool{}}
}

// inUse tells whether the worker gets work as others do.
func (he *health) inUse() bool { return he.state == inService }

// evaluateHealth sets the standings of workers by the evidence. It does nothing as long as
// there is none.
func (co *Core) evaluateHealth(now time.Time) {
	co.detector.due = false
	if len(co.detector.suspects) == 0 {
		return
	}
	clear(co.detector.suspectServices)
	for nd := range co.detector.suspects {
		nd.health.setScore(now, nd.health.scoreAt(now))
	}
	counts := co.countLocations()
	nds := slices.SortedFunc(maps.Keys(co.detector.suspects), func(a, b *node) int {
		return cmp.Or(cmp.Compare(b.health.score, a.health.score), compareNodes(a, b))
	})
	outOfService := map[string]int{} // workers out of use, by service
	for _, nd := range nds {
		if co.nodes[nd.worker.ID] != nd {
			delete(co.detector.suspects, nd)
			continue
		}
		limit := int(maxSuspendedShare * float64(counts.at(locationKey{service: nd.worker.Service}).total))
		co.updateHealth(now, nd, counts.correlated(nd), outOfService[nd.worker.Service] < limit)
		if !nd.health.inUse() {
			outOfService[nd.worker.Service]++
		}
		if nd.health.suspected || !nd.health.inUse() {
			co.detector.suspectServices[nd.worker.Service] = true
		}
	}
	co.suspectCorrelated(now, counts)
}

// updateHealth moves one worker between the standings.
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
			delete(co.detector.suspects, nd)
		}
	case suspended:
		if !maySuspend || score < suspectScore {
			co.reinstate(now, nd, "the evidence is gone, or too many are out of use")
		} else if !now.Before(he.suspendedUntil) {
			he.state = onProbation
			he.trialsPassed = 0
		}
	case onProbation:
		switch {
		case he.trialsPassed >= he.requiredTrials():
			he.setScore(now, 0)
			he.tallies, he.suspected, he.reinstatedAt = nil, false, now
			co.reinstate(now, nd, "it has passed its probation")
		case !maySuspend || now.Sub(he.suspendedUntil) > probationTimeout:
			he.setScore(now, max(suspectScore, score/2))
			co.reinstate(now, nd, "no work has come that could be tried there")
		}
	}
}

// requiredTrials is how many attempts have to succeed on probation.
func (he *health) requiredTrials() int { return min(4, 1+he.suspensions) }

// maxTrials is how many attempts on probation may have succeeded or be running: the
// first one runs alone.
func (he *health) maxTrials() int {
	if he.trialsPassed == 0 {
		return 1
	}
	return he.requiredTrials()
}

// suspend begins a suspension, which is twice as long as the last one.
func (co *Core) suspend(now time.Time, nd *node) {
	he := &nd.health
	if !he.reinstatedAt.IsZero() && now.Sub(he.reinstatedAt) > stableTime {
		he.suspensions = 0
	}
	he.state = suspended
	he.suspendedUntil = now.Add(min(maxSuspension, suspension<<min(he.suspensions, 4)))
	he.suspensions++
	co.passDue = true
	co.emit(Noted{Decision: "suspects", Worker: nd.worker.ID, Reason: he.describe(now)})
}

// reinstate puts a worker back into use.
func (co *Core) reinstate(now time.Time, nd *node, reason string) {
	nd.health.state = inService
	co.passDue = true
	co.emit(Noted{Decision: "reinstates", Worker: nd.worker.ID, Reason: reason})
}

type locationCounts map[locationKey]*locationCount

// countLocations counts the workers of services, zones and racks, and those in doubt.
func (co *Core) countLocations() locationCounts {
	counts := locationCounts{}
	for _, nd := range co.sortedNodes {
		if !nd.listed {
			continue
		}
		suspected := co.detector.suspects[nd] && nd.health.score >= suspectScore
		for _, key := range nd.locationKeys() {
			lc, ok := counts[key]
			if !ok {
				lc = &locationCount{}
				counts[key] = lc
			}
			lc.total++
			if suspected {
				lc.suspected++
			}
		}
	}
	return counts
}

// at returns the counts of a place.
func (lcs locationCounts) at(key locationKey) locationCount {
	if lc, ok := lcs[key]; ok {
		return *lc
	}
	return locationCount{}
}

// locationKeys returns the places that a worker is in: its service first, then its zone
// and its rack.
func (nd *node) locationKeys() []locationKey {
	wk := nd.worker
	keys := []locationKey{{service: wk.Service}}
	if wk.Zone != "" {
		keys = append(keys, locationKey{wk.Service, wk.Zone, ""})
	}
	if wk.Rack != "" {
		keys = append(keys, locationKey{wk.Service, wk.Zone, wk.Rack})
	}
	return keys
}

// correlated tells whether the evidence against others in a worker's rack or zone
// speaks against it.
func (lcs locationCounts) correlated(nd *node) bool {
	keys := nd.locationKeys()
	total := lcs.at(keys[0])
	for _, key := range keys[1:] {
		here := lcs.at(key)
		elsewhere := locationCount{total.total - here.total, total.suspected - here.suspected}
		if here.suspected < minCorrelated || float64(here.suspected) < correlatedShare*float64(here.total) || elsewhere.total == 0 {
			continue
		}
		if float64(here.suspected)*float64(elsewhere.total) >= correlatedFactor*float64(elsewhere.suspected)*float64(here.total) {
			return true
		}
	}
	return false
}

// suspectCorrelated puts workers without evidence of their own in doubt if several others
// of their rack or zone are, unless they have succeeded lately.
func (co *Core) suspectCorrelated(now time.Time, counts locationCounts) {
	for _, nd := range co.sortedNodes {
		if co.detector.suspects[nd] {
			continue
		}
		he := &nd.health
		he.suspected = counts.correlated(nd) && now.Sub(he.lastSuccess) > suspension
		if he.suspected {
			co.detector.suspectServices[nd.worker.Service] = true
		}
	}
}

// recordFailure notes what speaks against a worker, by an attempt of a unit.
func (co *Core) recordFailure(now time.Time, nd *node, un *unit, weight float64) {
	jb := un.job
	if jb.isPoisoned(un.stepIndex) {
		return
	}
	name := jb.Queue.Name
	bl := co.detector.baselines[name]
	amount := weight * failurePenalty(bl.failureRate(now))
	if nd.health.scoreAt(now) < suspectScore {
		co.detector.baselines[name] = bl.record(now, weight)
	}
	nd.health.recordOutcome(now, jb.ID, amount)
	if nd.health.state == onProbation {
		co.suspend(now, nd)
	}
	co.detector.suspects[nd] = true
	co.detector.due = true
}

// recordNodeFailure notes what speaks against a worker without a job in question.
func (co *Core) recordNodeFailure(now time.Time, nd *node, score float64) {
	nd.health.setScore(now, nd.health.scoreAt(now)+score)
	co.detector.suspects[nd] = true
	co.detector.due = true
}

// recordSuccess notes the success of an attempt.
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
	co.detector.due = co.detector.due || he.suspected || !he.inUse()
}

// resetHealth drops the evidence on a worker that has started anew, and its
// standing, but for half of its score. A worker that has lost work by that is
// blamed for it.
func (co *Core) resetHealth(now time.Time, nd *node, lost bool) {
	score := nd.health.scoreAt(now) / 2
	if lost {
		score += weightBroken * maxJobPenalty
	}
	nd.health = health{}
	if score >= negligibleScore {
		nd.health.setScore(now, score)
		co.detector.suspects[nd] = true
	}
}

// adoptFailures takes from a record which workers have failed a unit. Records do
// not say when, so this puts workers in doubt and suspends none.
func (co *Core) adoptFailures(now time.Time, un *unit, failedOn []string) {
	if un.failures == 0 || len(failedOn) > un.failures || un.job.state != batch.Running {
		return
	}
	for _, id := range failedOn {
		nd, ok := co.nodes[id]
		if !ok {
			continue
		}
		nd.health.recordOutcome(now, un.job.ID, adoptedFailureScore)
		nd.health.setScore(now, min(nd.health.score, suspendScore-negligibleScore))
		co.detector.suspects[nd] = true
	}
}

// reportSuspects tells how many workers there is evidence against.
func (co *Core) reportSuspects(now time.Time) {
	fd := &co.detector
	if now.Sub(fd.reportedAt) < reportGap || (len(fd.suspects) == 0 && fd.lastReport == Suspects{}) {
		return
	}
	var su Suspects
	for _, nd := range co.sortedNodes {
		switch {
		case nd.health.state == suspended:
			su.Suspended++
		case nd.health.state == onProbation:
			su.OnProbation++
		case nd.health.suspected:
			su.Doubted++
		}
	}
	if su == fd.lastReport {
		return
	}
	fd.lastReport, fd.reportedAt = su, now
	co.emit(su)
}
