package domain

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
)

type (
	// health holds the evidence of whether one incarnation of a worker is
	// faulty. Its score is the log-likelihood ratio of the recent outcomes under
	// two hypotheses: the worker fails half of the attempts that would succeed
	// elsewhere, or it is healthy. It decays exponentially and is at least zero.
	health struct {
		score          float64
		scoredAt       time.Time
		tallies        map[string]*jobTally // by job
		lastSuccess    time.Time
		lastFailure    time.Time // of an attempt or of the worker
		state          healthState
		suspected      bool // other workers are preferred
		suspendedUntil time.Time
		suspensions    int       // consecutive
		trialsPassed   int       // successful attempts on probation
		reinstatedAt   time.Time // when probation last ended with success
	}

	// jobTally sums up the evidence that one job contributes. It is bounded,
	// since the job itself may be faulty.
	jobTally struct {
		sum      float64
		applied  float64   // part of sum that is in the score
		at       time.Time // of the last outcome
		failures int
		excluded bool // a step of the job is considered faulty; see faultystep.go
	}

	// baseline is the failure rate of a queue's attempts on workers that are
	// not suspected.
	baseline struct {
		failed, total float64   // attempts, with exponential decay
		at            time.Time // of the last attempt
	}
)

const (
	// scoreHalfLife and baselineHalfLife are the half-lives of the evidence
	// against workers and of the baselines.
	scoreHalfLife    = 30 * time.Second
	baselineHalfLife = time.Minute
	// priorAttempts and priorFailures are the prior of a queue's baseline.
	priorAttempts = 50
	priorFailures = 1
	// maxJobPenalty and maxJobCredit bound the contribution of one job to a
	// score. maxScore bounds the score, so that a repaired worker recovers
	// soon.
	maxJobPenalty = 2.0
	maxJobCredit  = 1.4
	maxScore      = 8.0
	// suspectScore is the score from which other workers are preferred, and
	// suspendScore the one from which the worker is suspended. The outcomes of
	// one job alone can't reach suspendScore; a hang does.
	suspectScore = 1.0
	suspendScore = 3.0
	// negligibleScore is the score below which evidence is dropped.
	negligibleScore = 0.2
	// tallyRetention is the minimum time for which the tally of a job is kept
	// after its last outcome. All tallies of a worker are dropped earlier if
	// maxTallies of them are more recent than that.
	tallyRetention = time.Minute
	// maxTallies bounds the number of tallies of a worker.
	maxTallies = 64
	// provenWindow is how long a worker counts as proven after a success.
	provenWindow = 30 * time.Second
)

// The weights of the kinds of failures, relative to a failed attempt, and the
// score of a hang. weightOutcomeUnknown is that of a start without a reply, and
// weightWorkerLost that of a worker that has restarted or whose leases have
// expired while work ran there. A hang suspends the worker at once, since it
// takes seconds to be detected.
const (
	weightFailed         = 1.0
	weightRefused        = 0.3
	weightOutcomeUnknown = 0.3
	weightWorkerLost     = 0.6
	hangScore            = suspendScore
)

// failureRate returns the fraction of attempts that fail, including the prior.
func (bl baseline) failureRate(now time.Time) float64 {
	left := decay(now.Sub(bl.at), baselineHalfLife)
	return (left*bl.failed + priorFailures) / (left*bl.total + priorAttempts)
}

// record returns the baseline with one more attempt, of which the given
// fraction counts as failed.
func (bl baseline) record(now time.Time, weight float64) baseline {
	left := decay(now.Sub(bl.at), baselineHalfLife)
	return baseline{failed: left*bl.failed + weight, total: left*bl.total + 1, at: now}
}

// failurePenalty returns what a failure adds to a score at a baseline failure
// rate: the logarithm of its probability on a faulty worker, which is
// rate + (1-rate)/2 = (1+rate)/2, relative to that on a healthy one.
func failurePenalty(rate float64) float64 { return min(maxJobPenalty, math.Log((1+rate)/2/rate)) }

// successCredit is what a success subtracts from a score. It is half as probable
// on a faulty worker, at any baseline failure rate.
const successCredit = math.Ln2

// decay returns the fraction of a value that is left after a time, given its
// half-life.
func decay(elapsed, halfLife time.Duration) float64 {
	if elapsed <= 0 {
		return 1
	}
	return math.Exp2(-elapsed.Seconds() / halfLife.Seconds())
}

// scoreAt returns the score with its decay up to a time.
func (he *health) scoreAt(now time.Time) float64 {
	return he.score * decay(now.Sub(he.scoredAt), scoreHalfLife)
}

// setScore sets the score, clamped to its bounds.
func (he *health) setScore(now time.Time, score float64) {
	he.score, he.scoredAt = min(maxScore, max(0, score)), now
}

// recordOutcome adds the outcome of an attempt of a job to the score. A
// positive amount is evidence against the worker.
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

// tallyOf returns the tally of a job, for an outcome now. It adds one if there
// is none.
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

// dropTallies drops the tallies of jobs without recent outcomes, or all of them
// if that leaves too many. What they have added to the score remains.
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

// setExcluded removes the evidence of a job against a worker from its score, or
// adds it back.
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

// scoreWithout returns the score without the evidence of one job.
func (he *health) scoreWithout(now time.Time, job string) float64 {
	score := he.scoreAt(now)
	if jt, ok := he.tallies[job]; ok {
		score -= max(0, jt.applied)
	}
	return score
}

// proven reports whether a worker is not suspected and has succeeded recently.
func (he *health) proven(now time.Time) bool {
	return !he.suspected && !he.lastSuccess.IsZero() && now.Sub(he.lastSuccess) < provenWindow
}

// describe returns the evidence in a form for the log. It counts the failures of
// all jobs, but names at most four of these.
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
	return fmt.Sprintf("score %.1f: %d failures of jobs [%s], last success %s",
		he.scoreAt(now), failures, strings.Join(jobs[:min(4, len(jobs))], " "), since)
}
