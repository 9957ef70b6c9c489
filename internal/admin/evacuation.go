package admin

import (
	"context"
	"errors"

	"github.com/cicadawharf/cicadawharf/internal/store"
	"github.com/cicadawharf/cicadawharf/pkg/codes"
)

// maxEvacuationWrites limits the writes of one request. A write is retried if its
// outcome is unknown or if it conflicts with another operator's write.
const maxEvacuationWrites = 3

// writeEvacuation creates or deletes the evacuation key of a zone and reports
// whether that changed anything. It reads the key before each write, which also
// resolves an unknown outcome. The error is a *codes.Error: WriteForbidden,
// EvacuateUnknown if the outcome is unknown, or StoreUnavailable.
func (ha *handler) writeEvacuation(ctx context.Context, zone string, set bool) (bool, error) {
	key := ha.cfg.Layout.EvacuationPrefix + zone
	replyLost := false
	var lastErr error
	for range maxEvacuationWrites {
		ent, _, err := ha.cfg.Store.Get(ctx, key)
		if err != nil {
			return false, evacuationError(err, replyLost)
		}
		if (ent.Revision != 0) == set {
			return replyLost, nil
		}
		rq := store.SwapRequest{Key: key, Expect: ent.Revision}
		if set {
			rq.Value = ha.cfg.Layout.EvacuationValue
		}
		_, lastErr = ha.cfg.Store.Swap(ctx, rq)
		switch {
		case lastErr == nil:
			return true, nil
		case errors.Is(lastErr, store.ErrOutcomeUnknown):
			replyLost = true
		case !errors.Is(lastErr, store.ErrConflict):
			return false, evacuationError(lastErr, replyLost)
		}
	}
	return false, evacuationError(lastErr, replyLost)
}

// evacuationError returns the error of a failed request. If an earlier write got no
// reply, it may still take effect, so the outcome is unknown.
func evacuationError(err error, replyLost bool) error {
	switch {
	case errors.Is(err, store.ErrForbidden):
		return codes.New(codes.WriteForbidden, "%v", err)
	case replyLost:
		return codes.New(codes.EvacuateUnknown, "%v", err)
	default:
		return unavailable(err)
	}
}
