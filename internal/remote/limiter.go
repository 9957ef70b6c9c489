package remote

import (
	"sync"
	"time"

	"github.com/cicadawharf/cicadawharf/pkg/codes"
)

// limiter bounds the forwarded calls that a host serves. The calls of its own
// callers come first: they count, and are never held up.
type limiter struct {
	capacity  int
	mu        sync.Mutex
	local     int
	forwarded int
	stopping  bool
	drained   chan struct{} // closed when stopping and no forwarded call is in progress
}

const (
	// callsPerCore is how many calls in progress a core is trusted with, of which
	// half may be forwarded ones.
	callsPerCore = 64
	minCapacity  = 12
	maxCapacity  = 64
	// busyRetryAfter is after which hosts may ask again whose calls exceed the bound, and
	// stopWait is the same for a host that stops.
	busyRetryAfter     = 500 * time.Millisecond
	stoppingRetryAfter = 2 * time.Second
)

// newLimiter returns the gate of a host that may use so many cores.
func newLimiter(cores float64) *limiter {
	return &limiter{capacity: min(max(int(callsPerCore*cores), minCapacity), maxCapacity), drained: make(chan struct{})}
}

// mayAdmit decides whether one more forwarded call is served.
func mayAdmit(local, forwarded, capacity int) bool {
	return forwarded < capacity/2 && local+forwarded < capacity
}

// beginLocal counts a call of an own caller until leave.
func (lm *limiter) beginLocal() {
	lm.mu.Lock()
	defer lm.mu.Unlock()
	lm.local++
}

// endLocal ends a call of an own caller.
func (lm *limiter) endLocal() {
	lm.mu.Lock()
	defer lm.mu.Unlock()
	lm.local--
}

// admit begins a forwarded call until release, or returns why it is refused.
func (lm *limiter) admit() error {
	lm.mu.Lock()
	defer lm.mu.Unlock()
	switch {
	case lm.stopping:
		return codes.New(codes.Stopping, "the host stops").WithRetryAfter(stoppingRetryAfter)
	case !mayAdmit(lm.local, lm.forwarded, lm.capacity):
		return codes.New(codes.Overloaded, "too many calls in progress").WithRetryAfter(busyRetryAfter)
	}
	lm.forwarded++
	return nil
}

// release ends a forwarded call.
func (lm *limiter) release() {
	lm.mu.Lock()
	defer lm.mu.Unlock()
	lm.forwarded--
	lm.closeIfDrained()
}

// stop has further forwarded calls refused.
func (lm *limiter) stop() {
	lm.mu.Lock()
	defer lm.mu.Unlock()
	lm.stopping = true
	lm.closeIfDrained()
}

// closeIfDrained is called with the lock held.
func (lm *limiter) closeIfDrained() {
	if !lm.stopping || lm.forwarded > 0 {
		return
	}
	select {
	case <-lm.drained:
	default:
		close(lm.drained)
	}
}
