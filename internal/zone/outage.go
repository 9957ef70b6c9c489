package zone

import (
	"time"

	"github.com/cicadawharf/cicadawharf/pkg/codes"
)

// storeRetryAfter is the retry delay given to callers while the store is
// unavailable.
const storeRetryAfter = 2 * time.Second

// setStoreAvailable records whether the store responded to the last renewal of
// the lease, and logs every change.
func (zo *Zone) setStoreAvailable(available bool) {
	zo.mu.Lock()
	defer zo.mu.Unlock()
	if zo.storeUnavailable == !available {
		return
	}
	zo.storeUnavailable = !available
	if available {
		zo.cfg.Log.Info("store answers the scheduler again", "event", "store", "zone", zo.cfg.Zone)
		return
	}
	zo.cfg.Log.Warn("store does not answer the scheduler", "event", "store", "zone", zo.cfg.Zone)
}

// checkNewJob returns an error for a job that isn't recorded yet while the store
// is unavailable, since the outcome of a write would be unknown.
func (zo *Zone) checkNewJob(id string) error {
	zo.mu.Lock()
	defer zo.mu.Unlock()
	if zo.core == nil || !zo.storeUnavailable {
		return nil
	}
	if _, ok := zo.core.Get(id); ok {
		return nil
	}
	return codes.New(codes.StoreUnavailable, "the store is unavailable, so new jobs can't be recorded").WithRetryAfter(storeRetryAfter)
}
