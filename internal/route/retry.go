package route

import (
	"fmt"
	"math/rand/v2"
	"strings"

	"github.com/cicadawharf/cicadawharf/pkg/spec"
)

type (
	// RetryBudget bounds repeated attempts to a part of the traffic.
	RetryBudget struct{ tokens float64 }

	// AttemptResult is how an attempt ended, as far as a repetition depends on it.
	AttemptResult struct {
		NotRun   bool // it provably did not run
		Answered bool // an answer, or a part of one, was passed on to the caller
	}

	// Zone is another availability zone with the entry hosts that can take
	// requests there.
	Zone struct {
		Name   string
		Region string
		Hosts  []string
	}

	// Hop is the entry host of another zone that a request may be passed to.
	Hop struct {
		Zone   string
		Region string
		Host   string
	}
)

const (
	retryRatio = 0.1 // of attempts that are first ones
	retryBurst = 10  // repetitions ahead of the traffic
)

// NewRetryBudget returns a budget that permits a short burst.
func NewRetryBudget() *RetryBudget { return &RetryBudget{tokens: retryBurst} }

// Deposit enters a first attempt.
func (rb *RetryBudget) Deposit() { rb.tokens = min(rb.tokens+retryRatio, retryBurst) }

// TryWithdraw takes one repetition out of the budget if there is one left.
func (rb *RetryBudget) TryWithdraw() bool {
	if rb.tokens < 1 {
		return false
	}
	rb.tokens--
	return true
}

// MayRetry tells whether a request may be sent again after an attempt,
// budget aside.
func MayRetry(ar AttemptResult, repeatable bool) bool {
	return ar.NotRun || (repeatable && !ar.Answered)
}

// SpillHops returns the entry hosts to pass a request on to, in order: one of each
// zone, zones of the own region first.
func SpillHops(rule spec.Spill, region string, zones []Zone, rnd *rand.Rand) []Hop {
	if rule != spec.SpillRegion && rule != spec.SpillAny {
		return nil
	}
	var near, far []Hop
	for _, at := range rnd.Perm(len(zones)) {
		zn := zones[at]
		if len(zn.Hosts) == 0 {
			continue
		}
		hop := Hop{Zone: zn.Name, Region: zn.Region, Host: zn.Hosts[rnd.IntN(len(zn.Hosts))]}
		if zn.Region == region {
			near = append(near, hop)
		} else if rule == spec.SpillAny {
			far = append(far, hop)
		}
	}
	return append(near, far...)
}

// String lists the reasons with their counts, such as "full:3,leaving:1".
func (rj Rejections) String() string {
	var parts []string
	for _, re := range []struct {
		name  string
		count int
	}{
		{"leaving", rj.Draining},
		{"aside", rj.Ejected},
		{"tried", rj.Tried},
		{"full", rj.Full},
		{"loaded", rj.Busier},
	} {
		if re.count > 0 {
			parts = append(parts, fmt.Sprintf("%s:%d", re.name, re.count))
		}
	}
	if parts == nil {
		return "none"
	}
	return strings.Join(parts, ",")
}
