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
		score     float64
		scoredAt  time.Time
		jobs      map[string]*tally
		succeeded time.Time // last success
		standing  standing
		doubted   bool      // others are preferred
		until     time.Time // of a suspension
		times     int       // suspensions in a row
		passed    int       // attempts that have succeeded on probation
		restored  time.Time // when it last came off probation
	}

	// tally is what one job says of a worker. It is bounded, since the job may be
	// at fault.
	tally struct {
		sum      float64
		applied  float64 // part of the score
		at       time.Time
		failures int
		withheld bool // the job fails everywhere
	}

	// baseline is how often attempts of a queue fail on workers in no doubt.
	baseline struct {
		bad, all float64
		at       time.Time
	}
)

const (
	// evidenceHalf and baselineHalf are the times in which evidence loses half of
	// its weight.
	evidenceHalf = 30 * time.Second
	baselineHalf = time.Minute
	// priorEnds and priorBad stand for what is known of a queue before any end.
	priorEnds = 50
	priorBad  = 1
	// maxBlame and maxCredit bound what one job says of a worker, and maxScore what
	// all do, so that a worker that was mended is found sound soon.
	maxBlame  = 2.0
	maxCredit = 1.4
	maxScore  = 8.0
	// From doubtScore on other workers are preferred, and from suspendScore on a
	// worker is suspended. The ends of one job alone do not reach the second; a hang
	// does.
	doubtScore   = 1.0
	suspendScore = 3.0
	// Evidence below noScore is forgotten.
	noScore = 0.2
	// tallyTime is how long the tally of a job is kept after its last end.
	tallyTime  = time.Minute
	maxTallies = 64
	// provenTime is how long a worker counts as proven after a success.
	provenTime = 30 * time.Second
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

// rate returns the share of attempts that fail.
func (bl baseline) rate(now time.Time) float64 {
	left := halved(now.Sub(bl.at), baselineHalf)
	return (left*bl.bad + priorBad) / (left*bl.all + priorEnds)
}

// with returns the baseline with one more attempt, of which a part counts as
// failed.
func (bl baseline) with(now time.Time, bad float64) baseline {
	left := halved(now.Sub(bl.at), baselineHalf)
	return baseline{bad: left*bl.bad + bad, all: left*bl.all + 1, at: now}
}

// blame is what a failure adds to a score, at a baseline rate.
func blame(rate float64) float64 { return min(maxBlame, math.Log((1+rate)/2/rate)) }

// credit is what a success takes off a score, at any baseline rate.
const credit = math.Ln2

// halved returns the part that is left of a weight after a time.
func halved(passed, half time.Duration) float64 {
	if passed <= 0 {
		return 1
	}
	return math.Exp2(-passed.Seconds() / half.Seconds())
}

// scoreAt returns the decayed score.
func (he *health) scoreAt(now time.Time) float64 {
	return he.score * halved(now.Sub(he.scoredAt), evidenceHalf)
}

// setScore sets the score within its bounds, with no decay yet.
func (he *health) setScore(now time.Time, score float64) {
	he.score, he.scoredAt = min(maxScore, max(0, score)), now
}

// note adds what the end of an attempt of a job says of the worker: an amount above
// zero speaks against it.
func (he *health) note(now time.Time, job string, amount float64) {
	ta := he.tallyOf(now, job)
	ta.sum = min(maxBlame, max(-maxCredit, ta.sum+amount))
	if amount > 0 {
		ta.failures++
	}
	if ta.withheld {
		return
	}
	he.setScore(now, he.scoreAt(now)+ta.sum-ta.applied)
	ta.applied = ta.sum
}

// tallyOf returns the tally of a job, and begins it if there is none.
func (he *health) tallyOf(now time.Time, job string) *tally {
	if he.jobs == nil {
		he.jobs = map[string]*tally{}
	}
	ta, ok := he.jobs[job]
	if !ok {
		if len(he.jobs) >= maxTallies {
			he.forget(now)
		}
		ta = &tally{}
		he.jobs[job] = ta
	}
	ta.at = now
	return ta
}

// forget drops the tallies of jobs that have said nothing for long.
func (he *health) forget(now time.Time) {
	for job, ta := range he.jobs {
		if now.Sub(ta.at) > tallyTime {
			delete(he.jobs, job)
		}
	}
	if len(he.jobs) >= maxTallies {
		clear(he.jobs)
	}
}

// withhold takes what a job says against a worker out of its score, or puts it
// back.
func (he *health) withhold(now time.Time, job string, withheld bool) {
	ta, ok := he.jobs[job]
	if !ok || ta.withheld == withheld {
		return
	}
	ta.withheld = withheld
	if withheld {
		he.setScore(now, he.scoreAt(now)-max(0, ta.applied))
		ta.applied = 0
		return
	}
	he.setScore(now, he.scoreAt(now)+ta.sum)
	ta.applied = ta.sum
}

// scoreWithout returns the score without what one job says.
func (he *health) scoreWithout(now time.Time, job string) float64 {
	score := he.scoreAt(now)
	if ta, ok := he.jobs[job]; ok {
		score -= max(0, ta.applied)
	}
	return score
}

// proven tells whether a worker is in no doubt and has succeeded lately.
func (he *health) proven(now time.Time) bool {
	return !he.doubted && !he.succeeded.IsZero() && now.Sub(he.succeeded) < provenTime
}

// describe returns the evidence for the log.
func (he *health) describe(now time.Time) string {
	var jobs []string
	failures := 0
	for job, ta := range he.jobs {
		if ta.failures > 0 && !ta.withheld {
			jobs = append(jobs, job)
			failures += ta.failures
		}
	}
	slices.Sort(jobs)
	since := "none"
	if !he.succeeded.IsZero() {
		since = now.Sub(he.succeeded).Round(time.Millisecond).String() + " ago"
	}
	return fmt.Sprintf("score %.1f: %d bad ends of jobs [%s], last success %s",
		he.scoreAt(now), failures, strings.Join(jobs[:min(4, len(jobs))], " "), since)
}
