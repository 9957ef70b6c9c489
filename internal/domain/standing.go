package domain

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/batch"
)

type (
	// standing says which work a worker gets.
	standing uint8

	// evidence is what is known of all workers together.
	evidence struct {
		baselines map[string]baseline // by queue
		nodes     map[*node]bool      // with a score, or not in good standing
		doubts    map[string]bool     // services with workers in doubt, or out of use
		due       bool                // standings are to be set anew
		reported  Suspects
		toldAt    time.Time // when that was
	}

	// places counts the workers of a rack, a zone or a service.
	places struct{ all, bad int }

	placeKey struct{ service, zone, rack string }
)

// The standings.
const (
	inUse       standing = iota
	suspended            // gets no work
	onProbation          // gets only work that can bear a failure
)

const (
	// suspension is how long the first suspension lasts; it doubles.
	suspension    = 4 * time.Second
	maxSuspension = 16 * time.Second
	// After calmTime in use a worker's next suspension is as short as a first one.
	calmTime = time.Minute
	// probationTime is how long a worker waits for work on probation before it is
	// used again, after all others.
	probationTime = 20 * time.Second
	// maxSuspended is the part of a service's workers that are out of use at most.
	maxSuspended = 1.0 / 3
	// At least spreadBad workers in doubt, which are spreadPart of those of a rack or
	// zone, speak against the others there if their part is spreadFactor times the
	// part elsewhere.
	spreadBad    = 3
	spreadPart   = 0.3
	spreadFactor = 3
	// spreadScore is what that adds to the score of each of the others.
	spreadScore = doubtScore
	// recordScore is what the record of a job that has failed on a worker counts for
	// after a change of the scheduler.
	recordScore = 1.5
)

func newEvidence() evidence {
	return evidence{baselines: map[string]baseline{}, nodes: map[*node]bool{}, doubts: map[string]bool{}}
}

// usable tells whether the worker gets work as others do.
func (he *health) usable() bool { return he.standing == inUse }

// judge sets the standings of workers by the evidence. It does nothing as long as
// there is none.
func (co *Core) judge(now time.Time) {
	co.evidence.due = false
	if len(co.evidence.nodes) == 0 {
		return
	}
	clear(co.evidence.doubts)
	for nd := range co.evidence.nodes {
		nd.health.setScore(now, nd.health.scoreAt(now))
	}
	counts := co.countPlaces()
	nds := slices.SortedFunc(maps.Keys(co.evidence.nodes), func(a, b *node) int {
		return cmp.Or(cmp.Compare(b.health.score, a.health.score), compareNodes(a, b))
	})
	out := map[string]int{} // workers out of use, by service
	for _, nd := range nds {
		if co.nodes[nd.worker.ID] != nd {
			delete(co.evidence.nodes, nd)
			continue
		}
		most := int(maxSuspended * float64(counts.at(placeKey{service: nd.worker.Service}).all))
		co.judgeOne(now, nd, counts.spread(nd), out[nd.worker.Service] < most)
		if !nd.health.usable() {
			out[nd.worker.Service]++
		}
		if nd.health.doubted || !nd.health.usable() {
			co.evidence.doubts[nd.worker.Service] = true
		}
	}
	co.doubtPlaces(now, counts)
}

// judgeOne moves one worker between the standings.
func (co *Core) judgeOne(now time.Time, nd *node, spread, mayRest bool) {
	he := &nd.health
	score := he.score
	if spread {
		score += spreadScore
	}
	he.doubted = score >= doubtScore
	switch he.standing {
	case inUse:
		if score >= suspendScore && mayRest {
			co.suspend(now, nd)
		} else if he.score < noScore {
			delete(co.evidence.nodes, nd)
		}
	case suspended:
		if !mayRest || score < doubtScore {
			co.resume(now, nd, "the evidence is gone, or too many are out of use")
		} else if !now.Before(he.until) {
			he.standing = onProbation
			he.passed = 0
		}
	case onProbation:
		switch {
		case he.passed >= he.trials():
			he.setScore(now, 0)
			he.jobs, he.doubted, he.restored = nil, false, now
			co.resume(now, nd, "it has passed its probation")
		case !mayRest || now.Sub(he.until) > probationTime:
			he.setScore(now, max(doubtScore, score/2))
			co.resume(now, nd, "no work has come that could be tried there")
		}
	}
}

// trials is how many attempts have to succeed on probation.
func (he *health) trials() int { return min(4, 1+he.times) }

// atOnce is how many attempts on probation may have succeeded or be running: the
// first one runs alone.
func (he *health) atOnce() int {
	if he.passed == 0 {
		return 1
	}
	return he.trials()
}

// suspend begins a suspension, which is twice as long as the last one.
func (co *Core) suspend(now time.Time, nd *node) {
	he := &nd.health
	if !he.restored.IsZero() && now.Sub(he.restored) > calmTime {
		he.times = 0
	}
	he.standing = suspended
	he.until = now.Add(min(maxSuspension, suspension<<min(he.times, 4)))
	he.times++
	co.pass = true
	co.emit(Noted{Decision: "suspects", Worker: nd.worker.ID, Reason: he.describe(now)})
}

// resume puts a worker back into use.
func (co *Core) resume(now time.Time, nd *node, reason string) {
	nd.health.standing = inUse
	co.pass = true
	co.emit(Noted{Decision: "reinstates", Worker: nd.worker.ID, Reason: reason})
}

type placeCounts map[placeKey]*places

// countPlaces counts the workers of services, zones and racks, and those in doubt.
func (co *Core) countPlaces() placeCounts {
	counts := placeCounts{}
	for _, nd := range co.sorted {
		if !nd.listed {
			continue
		}
		bad := co.evidence.nodes[nd] && nd.health.score >= doubtScore
		for _, key := range nd.placeKeys() {
			pl, ok := counts[key]
			if !ok {
				pl = &places{}
				counts[key] = pl
			}
			pl.all++
			if bad {
				pl.bad++
			}
		}
	}
	return counts
}

// at returns the counts of a place.
func (pc placeCounts) at(key placeKey) places {
	if pl, ok := pc[key]; ok {
		return *pl
	}
	return places{}
}

// placeKeys returns the places that a worker is in: its service first, then its zone
// and its rack.
func (nd *node) placeKeys() []placeKey {
	wk := nd.worker
	keys := []placeKey{{service: wk.Service}}
	if wk.Zone != "" {
		keys = append(keys, placeKey{wk.Service, wk.Zone, ""})
	}
	if wk.Rack != "" {
		keys = append(keys, placeKey{wk.Service, wk.Zone, wk.Rack})
	}
	return keys
}

// spread tells whether the evidence against others in a worker's rack or zone
// speaks against it.
func (pc placeCounts) spread(nd *node) bool {
	keys := nd.placeKeys()
	total := pc.at(keys[0])
	for _, key := range keys[1:] {
		here := pc.at(key)
		rest := places{total.all - here.all, total.bad - here.bad}
		if here.bad < spreadBad || float64(here.bad) < spreadPart*float64(here.all) || rest.all == 0 {
			continue
		}
		if float64(here.bad)*float64(rest.all) >= spreadFactor*float64(rest.bad)*float64(here.all) {
			return true
		}
	}
	return false
}

// doubtPlaces puts workers without evidence of their own in doubt if several others
// of their rack or zone are, unless they have succeeded lately.
func (co *Core) doubtPlaces(now time.Time, counts placeCounts) {
	for _, nd := range co.sorted {
		if co.evidence.nodes[nd] {
			continue
		}
		he := &nd.health
		he.doubted = counts.spread(nd) && now.Sub(he.succeeded) > suspension
		if he.doubted {
			co.evidence.doubts[nd.worker.Service] = true
		}
	}
}

// blameWorker notes what speaks against a worker, by an attempt of a unit.
func (co *Core) blameWorker(now time.Time, nd *node, un *unit, weight float64) {
	jb := un.job
	if jb.failsEverywhere(un.at) {
		return
	}
	name := jb.Queue.Name
	bl := co.evidence.baselines[name]
	amount := weight * blame(bl.rate(now))
	if nd.health.scoreAt(now) < doubtScore {
		co.evidence.baselines[name] = bl.with(now, weight)
	}
	nd.health.note(now, jb.ID, amount)
	if nd.health.standing == onProbation {
		co.suspend(now, nd)
	}
	co.evidence.nodes[nd] = true
	co.evidence.due = true
}

// blameWithoutJob notes what speaks against a worker without a job in question.
func (co *Core) blameWithoutJob(now time.Time, nd *node, score float64) {
	nd.health.setScore(now, nd.health.scoreAt(now)+score)
	co.evidence.nodes[nd] = true
	co.evidence.due = true
}

// creditWorker notes the success of an attempt.
func (co *Core) creditWorker(now time.Time, nd *node, un *unit) {
	co.clearStep(now, un)
	he := &nd.health
	name := un.job.Queue.Name
	if !he.doubted {
		co.evidence.baselines[name] = co.evidence.baselines[name].with(now, 0)
	}
	he.succeeded = now
	he.note(now, un.job.ID, -credit)
	if he.standing == onProbation {
		he.passed++
	}
	co.evidence.due = co.evidence.due || he.doubted || !he.usable()
}

// resetHealth drops the evidence on a worker that has started anew, and its
// standing, but for half of its score. A worker that has lost work by that is
// blamed for it.
func (co *Core) resetHealth(now time.Time, nd *node, lost bool) {
	score := nd.health.scoreAt(now) / 2
	if lost {
		score += weightBroken * maxBlame
	}
	nd.health = health{}
	if score >= noScore {
		nd.health.setScore(now, score)
		co.evidence.nodes[nd] = true
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
		nd.health.note(now, un.job.ID, recordScore)
		nd.health.setScore(now, min(nd.health.score, suspendScore-noScore))
		co.evidence.nodes[nd] = true
	}
}

// reportSuspects tells how many workers there is evidence against.
func (co *Core) reportSuspects(now time.Time) {
	ev := &co.evidence
	if now.Sub(ev.toldAt) < reportGap || (len(ev.nodes) == 0 && ev.reported == Suspects{}) {
		return
	}
	var su Suspects
	for _, nd := range co.sorted {
		switch {
		case nd.health.standing == suspended:
			su.Suspended++
		case nd.health.standing == onProbation:
			su.OnProbation++
		case nd.health.doubted:
			su.Doubted++
		}
	}
	if su == ev.reported {
		return
	}
	ev.reported, ev.toldAt = su, now
	co.emit(su)
}
