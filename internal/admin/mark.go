package admin

import (
	"context"
	"errors"

	"github.com/cicadawharf/cicadawharf/internal/store"
	"github.com/cicadawharf/cicadawharf/pkg/codes"
)

// markTries bounds the writes for one request. Further ones follow a lost answer
// or another operator's write.
const markTries = 3

// mark sets or deletes the mark of a zone, and tells whether that changed it. The
// key is read before each write, so that a lost answer is cleared up.
func (ha *handler) mark(ctx context.Context, zone string, set bool) (bool, error) {
	key := ha.cfg.Layout.EvacuationPrefix + zone
	lost := false
	var last error
	for range markTries {
		en, _, err := ha.cfg.Store.Get(ctx, key)
		if err != nil {
			return false, failure(err, lost)
		}
		if (en.Revision != 0) == set {
			return lost, nil
		}
		rq := store.SwapRequest{Key: key, Expect: en.Revision}
		if set {
			rq.Value = ha.cfg.Layout.EvacuationMark
		}
		_, last = ha.cfg.Store.Swap(ctx, rq)
		switch {
		case last == nil:
			return true, nil
		case errors.Is(last, store.ErrLost):
			lost = true
		case !errors.Is(last, store.ErrConflict):
			return false, failure(last, lost)
		}
	}
	return false, failure(last, lost)
}

// failure returns the error of a write that did not succeed. A write before it
// whose answer was lost may yet take effect.
func failure(err error, lost bool) error {
	switch {
	case errors.Is(err, store.ErrForbidden):
		return codes.New(codes.WriteForbidden, "%v", err)
	case lost:
		return codes.New(codes.EvacuateUnknown, "%v", err)
	default:
		return unavailable(err)
	}
}
