package remote

import (
	"sync"
	"time"

	"github.com/cicadawharf/cicadawharf/pkg/codes"
)

// gate bounds the forwarded calls that a host serves. The calls of its own
// callers come first: they count, and are never held up.
type gate struct {
	capacity int
	mu       sync.Mutex
	own      int
	foreign  int
	stopping bool
	drained  chan struct{} // closed when stopping and no forwarded call is in progress
}

const (
	// callsPerCore is how many calls in progress a core is trusted with, of which
	// half may be forwarded ones.
	callsPerCore = 64
	minCalls     = 12
	maxCalls     = 64
	// busyWait is after which hosts may ask again whose calls exceed the bound, and
	// stopWait is the same for a host that stops.
	busyWait = 500 * time.Millisecond
	stopWait = 2 * time.Second
)

// newGate returns the gate of a host that may use so many cores.
func newGate(cores float64) *gate {
	return &gate{capacity: min(max(int(callsPerCore*cores), minCalls), maxCalls), drained: make(chan struct{})}
}

// admits decides whether one more forwarded call is served.
func admits(own, foreign, capacity int) bool { return foreign < capacity/2 && own+foreign < capacity }

// enter counts a call of an own caller until leave.
func (ga *gate) enter() {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	ga.own++
}

// leave ends a call of an own caller.
func (ga *gate) leave() {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	ga.own--
}

// admit begins a forwarded call until release, or returns why it is refused.
func (ga *gate) admit() error {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	switch {
	case ga.stopping:
		return codes.New(codes.Stopping, "the host stops").WithRetryAfter(stopWait)
	case !admits(ga.own, ga.foreign, ga.capacity):
		return codes.New(codes.Overloaded, "too many calls in progress").WithRetryAfter(busyWait)
	}
	ga.foreign++
	return nil
}

// release ends a forwarded call.
func (ga *gate) release() {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	ga.foreign--
	ga.noteDrained()
}

// stop has further forwarded calls refused.
func (ga *gate) stop() {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	ga.stopping = true
	ga.noteDrained()
}

// noteDrained is called with the lock held.
func (ga *gate) noteDrained() {
	if !ga.stopping || ga.foreign > 0 {
		return
	}
	select {
	case <-ga.drained:
	default:
		close(ga.drained)
	}
}
