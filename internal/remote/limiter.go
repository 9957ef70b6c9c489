package remote

import (
	"sync"
	"time"

	"github.com/cicadawharf/cicadawharf/pkg/codes"
)

// limiter limits the forwarded calls that a host serves. Calls of the host's
// own callers have priority: they are counted but never limited.
type limiter struct {
	capacity  int // calls in progress up to which forwarded ones are served
	mu        sync.Mutex
	local     int // calls of the host's own callers in progress
	forwarded int // forwarded calls in progress
	stopping  bool
	drained   chan struct{} // closed once the host is stopping and no forwarded call is in progress
}

const (
	// callsPerCore is the number of concurrent calls that one core can handle. A
	// host's capacity is between minCapacity and maxCapacity calls, and forwarded
	// calls may use half of it.
	callsPerCore = 64
	minCapacity  = 12
	maxCapacity  = 64
	// busyRetryAfter is the retry delay for forwarded calls over the limit, and
	// stoppingRetryAfter for those to a host that is stopping.
	busyRetryAfter     = 500 * time.Millisecond
	stoppingRetryAfter = 2 * time.Second
)

// newLimiter returns the limiter of a host with the given number of cores.
func newLimiter(cores float64) *limiter {
	return &limiter{capacity: min(max(int(callsPerCore*cores), minCapacity), maxCapacity), drained: make(chan struct{})}
}

// mayServe reports whether one more forwarded call may be served.
func mayServe(local, forwarded, capacity int) bool {
	return forwarded < capacity/2 && local+forwarded < capacity
}

// beginLocal counts a call of the host's own callers until endLocal.
func (lm *limiter) beginLocal() {
	lm.mu.Lock()
	defer lm.mu.Unlock()
	lm.local++
}

// endLocal ends a call of the host's own callers.
func (lm *limiter) endLocal() {
	lm.mu.Lock()
	defer lm.mu.Unlock()
	lm.local--
}

// beginForwarded counts a forwarded call as in progress until endForwarded, or
// returns the error with which it is refused.
func (lm *limiter) beginForwarded() error {
	lm.mu.Lock()
	defer lm.mu.Unlock()
	switch {
	case lm.stopping:
		return codes.New(codes.Stopping, "the host is stopping").WithRetryAfter(stoppingRetryAfter)
	case !mayServe(lm.local, lm.forwarded, lm.capacity):
		return codes.New(codes.Overloaded, "too many calls in progress").WithRetryAfter(busyRetryAfter)
	}
	lm.forwarded++
	return nil
}

// endForwarded ends a forwarded call.
func (lm *limiter) endForwarded() {
	lm.mu.Lock()
	defer lm.mu.Unlock()
	lm.forwarded--
	lm.closeIfDrained()
}

// stop refuses further forwarded calls.
func (lm *limiter) stop() {
	lm.mu.Lock()
	defer lm.mu.Unlock()
	lm.stopping = true
	lm.closeIfDrained()
}

// closeIfDrained closes drained if the host is stopping and no forwarded call
// is in progress. The caller holds lm.mu.
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
