package intake

import (
	"sync"
	"time"
)

// storeHealth is what a host knows of its way to the store. Once calls have failed for
// a while, calls are refused at once, but for one now and then that tries.
type storeHealth struct {
	mu           sync.Mutex
	firstFailure time.Duration // uptime of the first failure after the last success
	failures     int
	lastProbe    time.Duration
	responses    uint64 // calls that were answered
}

const (
	// unreachableAfter is since when calls have to have failed.
	unreachableAfter = 700 * time.Millisecond
	// minFailures is how many have to have failed.
	minFailures = 2
	// probeInterval is how often one call tries.
	probeInterval = 400 * time.Millisecond
)

// record takes the outcome of a call that began at an uptime.
func (sh *storeHealth) record(up time.Duration, err error) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if err == nil {
		sh.failures = 0
		sh.responses++
		return
	}
	if sh.failures == 0 {
		sh.firstFailure = up
	}
	sh.failures++
}

// responseCount counts the calls that were answered.
func (sh *storeHealth) responseCount() uint64 {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return sh.responses
}

// unreachable tells whether the store can't be reached.
func (sh *storeHealth) unreachable(up time.Duration) bool {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return sh.isUnreachable(up)
}

func (sh *storeHealth) isUnreachable(up time.Duration) bool {
	return sh.failures >= minFailures && up-sh.firstFailure >= unreachableAfter
}

// allowCall tells whether a call may be made.
func (sh *storeHealth) allowCall(up time.Duration) bool {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if !sh.isUnreachable(up) {
		return true
	}
	if up-sh.lastProbe < probeInterval {
		return false
	}
	sh.lastProbe = up
	return true
}
