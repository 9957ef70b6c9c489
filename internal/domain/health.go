package domain

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
)

type (
	// health is the evidence on whether a worker does its work, in one of its
	// lifetimes. Its score is a log-likelihood ratio, decayed and not below zero: how
	// much likelier the recent ends are if the worker fails half of what would
	// succeed elsewhere than if it is sound.
	health struct {
		score          float64
		scoredAt       time.Time
		tallies        map[string]*jobTally
		lastSuccess    time.Time // last success
		state          healthState
		suspected      bool      // others are preferred
		suspendedUntil time.Time // of a suspension
		suspensions    int       // suspensions in a row
		trialsPassed   int       // attempts that have succeeded on probation
		reinstatedAt   time.Time // when it last came off probation
	}

	// jobTally is what one job says of a worker. It is bounded, since the job may be
	// at fault.
	jobTally struct {
		sum      float64
		applied  float64 // part of the score
		at       time.Time
		failures int
		excluded bool // the job fails everywhere
	}

	// baseline is how often attempts of a queue fail on workers in no doubt.
	baseline struct {
		failed, total float64
		at            time.Time
	}
)

const (
	// scoreHalfLife and baselineHalf are the times in which evidence loses half of
	// its weight.
	scoreHalfLife    = 30 * time.Second
	baselineHalfLife = time.Minute
	// priorAttempts and priorBad stand for what is known of a queue before any end.
	priorAttempts = 50
	priorFailures = 1
	// maxJobPenalty and maxCredit bound what one job says of a worker, and maxScore what
	// all do, so that a worker that was mended is found sound soon.
	maxJobPenalty = 2.0
	maxJobCredit  = 1.4
	maxScore      = 8.0
	// From suspectScore on other workers are preferred, and from suspendScore on a
	// worker is suspended. The ends of one job alone do not reach the second; a hang
	// does.
	suspectScore = 1.0
	suspendScore = 3.0
	// Evidence below negligibleScore is forgotten.
	negligibleScore = 0.2
	// tallyRetention is how long the tally of a job is kept after its last end.
	tallyRetention = time.Minute
	maxTallies     = 64
	// provenWindow is how long a worker counts as proven after a success.
	provenWindow = 30 * time.Second
)

// The weights of what speaks against a worker, as parts of a failure, and the score
// of a hang. A hang suspends at once, since it takes seconds to be found.
const (
	weightFailed  = 1.0
	weightRefused = 0.3
	weightLost    = 0.3
	weightBroken  = 0.6
	hangScore     = suspendScore
)

// failureRate returns the share of attempts that fail.
func (bl baseline) failureRate(now time.Time) float64 {
	left := decay(now.Sub(bl.at), baselineHalfLife)
	return (left*bl.failed + priorFailures) / (left*bl.total + priorAttempts)
}

// record returns the baseline record one more attempt, of which a part counts as
// failed.
func (bl baseline) record(now time.Time, weight float64) baseline {
	left := decay(now.Sub(bl.at), baselineHalfLife)
	return baseline{failed: left*bl.failed + weight, total: left*bl.total + 1, at: now}
}

// failurePenalty is what a failure adds to a score, at a baseline rate.
func failurePenalty(rate float64) float64 { return min(maxJobPenalty, math.Log((1+rate)/2/rate)) }

// successCredit is what a success takes off a score, at any baseline rate.
const successCredit = math.Ln2

// decay returns the part that is left of a weight after a time.
func decay(elapsed, halfLife time.Duration) float64 {
	if elapsed <= 0 {
		return 1
	}
	return math.Exp2(-elapsed.Seconds() / halfLife.Seconds())
}

// scoreAt returns the decayed score.
func (he *health) scoreAt(now time.Time) float64 {
	return he.score * decay(now.Sub(he.scoredAt), scoreHalfLife)
}

// setScore sets the score within its bounds, with no decay yet.
func (he *health) setScore(now time.Time, score float64) {
	he.score, he.scoredAt = min(maxScore, max(0, score)), now
}

// recordOutcome adds what the end of an attempt of a job says of the worker: an amount above
// zero speaks against it.
func (he *health) recordOutcome(now time.Time, job string, amount float64) {
	jt := he.tallyOf(now, job)
	jt.sum = min(maxJobPenalty, max(-maxJobCredit, jt.sum+amount))
	if amount > 0 {
		jt.failures++
	}
	if jt.excluded {
		return
	}
	he.setScore(now, he.scoreAt(now)+jt.sum-jt.applied)
	jt.applied = jt.sum
}

// tallyOf returns the tally of a job, and begins it if there is none.
func (he *health) tallyOf(now time.Time, job string) *jobTally {
	if he.tallies == nil {
		he.tallies = map[string]*jobTally{}
	}
	jt, ok := he.tallies[job]
	if !ok {
		if len(he.tallies) >= maxTallies {
			he.dropTallies(now)
		}
		jt = &jobTally{}
		he.tallies[job] = jt
	}
	jt.at = now
	return jt
}

// dropTallies drops the tallies of jobs that have said nothing for long.
func (he *health) dropTallies(now time.Time) {
	for job, jt := range he.tallies {
		if now.Sub(jt.at) > tallyRetention {
			delete(he.tallies, job)
		}
	}
	if len(he.tallies) >= maxTallies {
		clear(he.tallies)
	}
}

// setExcluded takes what a job says against a worker out of its score, or puts it
// back.
func (he *health) setExcluded(now time.Time, job string, excluded bool) {
	jt, ok := he.tallies[job]
	if !ok || jt.excluded == excluded {
		return
	}
	jt.excluded = excluded
	if excluded {
		he.setScore(now, he.scoreAt(now)-max(0, jt.applied))
		jt.applied = 0
		return
	}
	he.setScore(now, he.scoreAt(now)+jt.sum)
	jt.applied = jt.sum
}

// scoreWithout returns the score without what one job says.
func (he *health) scoreWithout(now time.Time, job string) float64 {
	score := he.scoreAt(now)
	if jt, ok := he.tallies[job]; ok {
		score -= max(0, jt.applied)
	}
	return score
}

// proven tells whether a worker is in no doubt and has succeeded lately.
func (he *health) proven(now time.Time) bool {
	return !he.suspected && !he.lastSuccess.IsZero() && now.Sub(he.lastSuccess) < provenWindow
}

// describe returns the evidence for the log.
func (he *health) describe(now time.Time) string {
	var jobs []string
	failures := 0
	for job, jt := range he.tallies {
		if jt.failures > 0 && !jt.excluded {
			jobs = append(jobs, job)
			failures += jt.failures
		}
	}
	slices.Sort(jobs)
	since := "none"
	if !he.lastSuccess.IsZero() {
		since = now.Sub(he.lastSuccess).Round(time.Millisecond).String() + " ago"
	}
	return fmt.Sprintf("score %.1f: %d bad ends of jobs [%s], last success %s",
		he.scoreAt(now), failures, strings.Join(jobs[:min(4, len(jobs))], " "), since)
}
