package route

import (
	"math/rand/v2"

	"github.com/cicadawharf/cicadawharf/pkg/spec"
)

type (
	// RetryBudget limits retries to a fraction of the traffic.
	RetryBudget struct{ tokens float64 }

	// AttemptResult is what MayRetry needs to know about an attempt. What the
	// attempt has shown about the endpoint is an Observation.
	AttemptResult struct {
		NotRun          bool // the endpoint provably did not run the request
		ResponseStarted bool // at least a part of a response was passed on to the caller
	}

	// ForwardZone is an availability zone other than the local one, with its entry
	// hosts that accept forwarded requests.
	ForwardZone struct {
		Name   string
		Region string
		Hosts  []string
	}

	// ForwardTarget is an entry host of another zone to which a request may be forwarded.
	ForwardTarget struct {
		Zone   string
		Region string
		Host   string
	}
)

const (
	retryRatio = 0.1 // retries per first attempt
	retryBurst = 10  // maximum number of unused retries in the budget
)

// NewRetryBudget returns a budget that permits a burst of retryBurst retries.
func NewRetryBudget() *RetryBudget { return &RetryBudget{tokens: retryBurst} }

// Deposit adds the share of one first attempt to the budget.
func (rb *RetryBudget) Deposit() { rb.tokens = min(rb.tokens+retryRatio, retryBurst) }

// TryWithdraw takes one retry out of the budget and reports whether there was
// one left.
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

// ForwardTargets returns the entry hosts to forward a request to, in the order
// in which they are tried: a random one of each zone that the spill rule
// permits. Zones of the given region come first; apart from that, the order is
// random.
func ForwardTargets(rule spec.Spill, region string, zones []ForwardZone, rnd *rand.Rand) []ForwardTarget {
	if rule != spec.SpillRegion && rule != spec.SpillAny {
		return nil
	}
	var sameRegion, otherRegions []ForwardTarget
	for _, at := range rnd.Perm(len(zones)) {
		zn := zones[at]
		if len(zn.Hosts) == 0 {
			continue
		}
		ft := ForwardTarget{Zone: zn.Name, Region: zn.Region, Host: zn.Hosts[rnd.IntN(len(zn.Hosts))]}
		if zn.Region == region {
			sameRegion = append(sameRegion, ft)
		} else if rule == spec.SpillAny {
			otherRegions = append(otherRegions, ft)
		}
	}
	return append(sameRegion, otherRegions...)
}
