package zone

import (
	"time"

	"github.com/cicadawharf/cicadawharf/pkg/codes"
)

// storeWait is when to come back while the store is away.
const storeWait = 2 * time.Second

// noteStore takes note of whether the store has answered a renewal of the
// lease, and logs every change.
func (zo *Zone) noteStore(answers bool) {
	zo.mu.Lock()
	defer zo.mu.Unlock()
	if zo.storeAway == !answers {
		return
	}
	zo.storeAway = !answers
	if answers {
		zo.cfg.Log.Info("store answers the scheduler again", "event", "store", "zone", zo.cfg.Zone)
		return
	}
	zo.cfg.Log.Warn("store does not answer the scheduler", "event", "store", "zone", zo.cfg.Zone)
}

// refuseNew refuses a job that is not recorded yet while the store is known to
// be away: a write would leave open whether the job was accepted.
func (zo *Zone) refuseNew(id string) error {
	zo.mu.Lock()
	defer zo.mu.Unlock()
	if zo.core == nil || !zo.storeAway {
		return nil
	}
	if _, ok := zo.core.Get(id); ok {
		return nil
	}
	return codes.New(codes.StoreUnavailable, "new jobs can't be recorded").WithRetryAfter(storeWait)
}
