package store

import (
	"context"
	"errors"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/pause"
)

const (
	// maxResolveReads limits the reads that resolve an unknown outcome.
	maxResolveReads = 4

	// initialPause is the pause after the first failed read. It doubles after
	// each further one.
	initialPause = 25 * time.Millisecond
)

// SwapAndResolve performs a swap and, if there is no reply, reads the key to
// find out whether the swap took effect. It returns ErrOutcomeUnknown only if
// the outcome stays unknown.
//
// tookEffect reports whether an entry shows that this write took effect. It must
// do so after later writes of others as well, for example by a write ID that
// later values keep. For a swap that deletes, it is also called with a missing
// key (Revision zero).
//
// If the key still has the expected revision, the lost request may still be in
// flight. The same swap is then made again: as both expect the same revision,
// at most one of them takes effect, and the later reply is final.
func SwapAndResolve(ctx context.Context, st Store, req SwapRequest, tookEffect func(Entry) bool) (Entry, error) {
	ent, err := st.Swap(ctx, req)
	if !errors.Is(err, ErrOutcomeUnknown) {
		return ent, err
	}
	unknownErr := err
	for i := range maxResolveReads {
		ent, _, err = st.Get(ctx, req.Key)
		if err != nil {
			if !pause.For(ctx, initialPause<<i) {
				break
			}
			continue
		}
		if ent.Revision != req.Expect {
			return resolve(ent, tookEffect)
		}
		ent, err = st.Swap(ctx, req)
		switch {
		case err == nil:
			return ent, nil
		case errors.Is(err, ErrConflict):
			return resolve(ent, tookEffect)
		}
	}
	return Entry{}, unknownErr
}

// resolve returns the result of a swap without a reply, from an entry read later.
func resolve(ent Entry, tookEffect func(Entry) bool) (Entry, error) {
	if tookEffect(ent) {
		return ent, nil
	}
	return ent, ErrConflict
}
