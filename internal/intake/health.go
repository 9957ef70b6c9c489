package intake

import (
	"sync"
	"time"
)

// storeHealth tracks whether this host can reach the store. While it can't,
// calls fail immediately, except for one every probeInterval, which probes the
// store.
type storeHealth struct {
	mu           sync.Mutex
	firstFailure time.Duration // uptime of the first failure after the last success
	failures     int           // consecutive
	lastProbe    time.Duration // uptime
	responses    uint64        // received from the store
}

const (
	// The store counts as unreachable after minFailures consecutive failures
	// over at least unreachableAfter.
	unreachableAfter = 700 * time.Millisecond
	minFailures      = 2
	// probeInterval is the minimum time between two calls to the store while it
	// is unreachable.
	probeInterval = 400 * time.Millisecond
)

// record records the outcome of a call to the store that began at the uptime up.
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

// responseCount returns the number of responses received from the store.
func (sh *storeHealth) responseCount() uint64 {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return sh.responses
}

// unreachable reports whether the store is unreachable.
func (sh *storeHealth) unreachable(up time.Duration) bool {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return sh.isUnreachable(up)
}

// isUnreachable reports whether the store is unreachable. mu must be held.
func (sh *storeHealth) isUnreachable(up time.Duration) bool {
	return sh.failures >= minFailures && up-sh.firstFailure >= unreachableAfter
}

// allowCall reports whether a call may be made: always while the store is
// reachable, and otherwise once every probeInterval.
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
