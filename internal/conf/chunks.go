package conf

import (
	"bytes"
	"context"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/google/uuid"

	"github.com/cicadawharf/cicadawharf/internal/store"
)

// minOrphanAge is the age of a call of Apply from which its chunks count as
// orphaned. The write of a younger call's manifest may still be in flight.
const minOrphanAge = time.Hour

// loadContent returns the content of a manifest, reading its chunks if it has
// any. The error is one of the store, or reports that the content doesn't match
// the manifest's digest.
func loadContent(ctx context.Context, st store.Store, mf manifest) ([]byte, error) {
	content := mf.Content
	if len(mf.Chunks) > 0 {
		var buf bytes.Buffer
		for _, dg := range mf.Chunks {
			ent, _, err := st.Get(ctx, chunkKey(mf.ApplyID, dg))
			if err != nil {
				return nil, err
			}
			buf.Write(ent.Value)
		}
		content = buf.Bytes()
	}
	if digest(content) != mf.Digest {
		return nil, merry.Errorf("content of revision %d does not match its digest", mf.Revision)
	}
	return content, nil
}

// deleteChunks deletes the chunks of a manifest that isn't in force and stops at
// the first error. Remaining chunks are left to deleteOrphanedChunks.
func (ap applier) deleteChunks(ctx context.Context, mf manifest) {
	for _, dg := range mf.Chunks {
		key := chunkKey(mf.ApplyID, dg)
		ent, _, err := ap.st.Get(ctx, key)
		if err != nil {
			return
		}
		if ent.Revision == 0 {
			continue
		}
		if _, err := ap.st.Swap(ctx, store.SwapRequest{Key: key, Expect: ent.Revision}); err != nil {
			return
		}
	}
}

// deleteOrphanedChunks deletes chunks without a manifest that earlier calls of
// Apply left behind. To save calls to the store, it does nothing if cur, the
// manifest in force, has no chunks itself. Orphans then remain until the next
// file with chunks is applied.
func (ap applier) deleteOrphanedChunks(ctx context.Context, cur manifest) {
	if len(cur.Chunks) == 0 {
		return
	}
	ents, _, err := ap.st.List(ctx, chunkPrefix)
	if err != nil {
		return
	}
	for _, ent := range ents {
		if !ap.isOrphaned(ent.Key, cur) {
			continue
		}
		if _, err := ap.st.Swap(ctx, store.SwapRequest{Key: ent.Key, Expect: ent.Revision}); err != nil {
			return
		}
	}
}

// isOrphaned reports whether a chunk belongs neither to cur nor to a call of
// Apply that may still store its manifest. The age of the call is taken from its
// identifier, a UUID of version 7.
func (ap applier) isOrphaned(key string, cur manifest) bool {
	applyID, _, _ := strings.Cut(strings.TrimPrefix(key, chunkPrefix), "/")
	id, err := uuid.Parse(applyID)
	if err != nil || applyID == cur.ApplyID {
		return false
	}
	began := time.Unix(id.Time().UnixTime())
	return ap.now.Sub(began) > minOrphanAge
}
