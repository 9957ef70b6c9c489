package route

import (
	"fmt"
	"math/rand/v2"
	"strings"

	"github.com/cicadawharf/cicadawharf/pkg/spec"
)

type (
	// RetryBudget limits retries to a fraction of the traffic.
	RetryBudget struct{ tokens float64 }

	// AttemptResult is how an attempt ended, as far as it matters for a retry.
	AttemptResult struct {
		NotRun          bool // the endpoint provably did not run the request
		ResponseStarted bool // at least a part of a response was passed on to the caller
	}

	// Zone is another availability zone and its entry hosts that accept
	// forwarded requests.
	Zone struct {
		Name   string
		Region string
		Hosts  []string
	}

	// Hop is an entry host of another zone to which a request may be forwarded.
	Hop struct {
		Zone   string
		Region string
		Host   string
	}
)

const (
	retryRatio = 0.1 // retries per first attempt
	retryBurst = 10  // retries that may be saved up
)

// NewRetryBudget returns a budget that permits a burst of retryBurst retries.
func NewRetryBudget() *RetryBudget { return &RetryBudget{tokens: retryBurst} }

// Deposit adds the share of one first attempt to the budget.
func (rb *RetryBudget) Deposit() { rb.tokens = min(rb.tokens+retryRatio, retryBurst) }

// TryWithdraw takes one retry out of the budget. It returns false if there is
// none left.
func (rb *RetryBudget) TryWithdraw() bool {
	if rb.tokens < 1 {
		return false
	}
	rb.tokens--
	return true
}

// MayRetry reports whether a request may be sent again after an attempt. It
// does not take the retry budget into account.
func MayRetry(ar AttemptResult, repeatable bool) bool {
	return ar.NotRun || (repeatable && !ar.ResponseStarted)
}

// SpillHops returns the entry hosts to forward a request to, in the order in
// which they are tried: a random one of each zone, zones of the same region
// first.
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

// String returns the reasons with their counts, such as "full:3,leaving:1".
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
