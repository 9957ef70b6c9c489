package zone

import (
	"time"

	"github.com/cicadawharf/cicadawharf/pkg/codes"
)

// storeRetryAfter is when to come back while the store is away.
const storeRetryAfter = 2 * time.Second

// setStoreAvailable takes note of whether the store has answered a renewal of the
// lease, and logs every change.
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

// checkStoreAvailable refuses a job that is not recorded yet while the store is known to
// be away: a write would leave open whether the job was accepted.
func (zo *Zone) checkStoreAvailable(id string) error {
	zo.mu.Lock()
	defer zo.mu.Unlock()
	if zo.core == nil || !zo.storeUnavailable {
		return nil
	}
	if _, ok := zo.core.Get(id); ok {
		return nil
	}
	return codes.New(codes.StoreUnavailable, "new jobs can't be recorded").WithRetryAfter(storeRetryAfter)
}
