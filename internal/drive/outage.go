package drive

import (
	"errors"
	"sync"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/domain"
	"github.com/cicadawharf/cicadawharf/internal/store"
)

// outageMonitor notices when the store responds again after calls of this host have
// failed. It is safe for concurrent use.
type outageMonitor struct {
	mu         sync.Mutex
	failing    bool
	returnedAt time.Time
}

// observe records the outcome of a call to the store. It reports whether the store
// responds again after an outage.
func (om *outageMonitor) observe(now time.Time, err error) bool {
	om.mu.Lock()
	defer om.mu.Unlock()
	if errors.Is(err, store.ErrUnavailable) || errors.Is(err, store.ErrOutcomeUnknown) {
		om.failing = true
		return false
	}
	if err != nil || !om.failing {
		return false
	}
	om.failing = false
	om.returnedAt = now
	return true
}

// lastReturn returns when the store last responded again after an outage.
func (om *outageMonitor) lastReturn() time.Time {
	om.mu.Lock()
	defer om.mu.Unlock()
	return om.returnedAt
}

// observeStore records the outcome of a call to the store during a term, and tells
// the core if an outage has ended.
func (te *term) observeStore(err error) {
	if te.outages.observe(time.Now(), err) {
		te.log.Info("store responds again", "event", "storeReturns")
		te.send(domain.StoreReturned{})
	}
}
