package intake

import (
	"sync"
	"time"
)

// path is what a host knows of its way to the store. Once calls have failed for
// a while, calls are refused at once, but for one now and then that tries.
type path struct {
	mu    sync.Mutex
	since time.Duration // uptime of the first failure after the last success
	fails int
	tried time.Duration
	done  uint64 // calls that were answered
}

const (
	// lostAfter is since when calls have to have failed.
	lostAfter = 700 * time.Millisecond
	// lostCalls is how many have to have failed.
	lostCalls = 2
	// probeEvery is how often one call tries.
	probeEvery = 400 * time.Millisecond
)

// note takes the outcome of a call that began at an uptime.
func (pa *path) note(up time.Duration, err error) {
	pa.mu.Lock()
	defer pa.mu.Unlock()
	if err == nil {
		pa.fails = 0
		pa.done++
		return
	}
	if pa.fails == 0 {
		pa.since = up
	}
	pa.fails++
}

// answers counts the calls that were answered.
func (pa *path) answers() uint64 {
	pa.mu.Lock()
	defer pa.mu.Unlock()
	return pa.done
}

// lost tells whether the store can't be reached.
func (pa *path) lost(up time.Duration) bool {
	pa.mu.Lock()
	defer pa.mu.Unlock()
	return pa.isLost(up)
}

func (pa *path) isLost(up time.Duration) bool {
	return pa.fails >= lostCalls && up-pa.since >= lostAfter
}

// allows tells whether a call may be made.
func (pa *path) allows(up time.Duration) bool {
	pa.mu.Lock()
	defer pa.mu.Unlock()
	if !pa.isLost(up) {
		return true
	}
	if up-pa.tried < probeEvery {
		return false
	}
	pa.tried = up
	return true
}
