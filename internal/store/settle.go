package store

import (
	"context"
	"errors"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/pause"
)

const (
	// maxResolveReads bounds how often a lost swap is looked into.
	maxResolveReads = 4

	// initialPause is the wait after the first read that fails; it doubles.
	initialPause = 25 * time.Millisecond
)

// SwapSettled performs a swap and, if its answer is lost, finds out whether it
// stands. ErrLost is returned only if that can't be known within ctx.
//
// isMine tells whether an entry shows that this write took effect. Others may
// have written since, so it has to recognise the write in later values, too,
// for example by a write number that they carry on. It is also asked about a
// missing key (Revision zero) when the swap deletes.
//
// If the key still has the revision that was expected, the lost request may be
// on its way yet. The same swap is then made again: as both expect one
// revision, at most one of them takes effect, and the later answer is final.
func SwapSettled(ctx context.Context, st Store, req SwapRequest, tookEffect func(Entry) bool) (Entry, error) {
	ent, err := st.Swap(ctx, req)
	if !errors.Is(err, ErrLost) {
		return ent, err
	}
	lostErr := err
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
	return Entry{}, lostErr
}

func resolve(ent Entry, tookEffect func(Entry) bool) (Entry, error) {
	if tookEffect(ent) {
		return ent, nil
	}
	return ent, ErrConflict
}
