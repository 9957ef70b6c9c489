// Package conf holds the declarations in force: how a file of an operator is
// accepted, and how every host learns of it.
//
// The truth is one manifest in the platform's store, replaced by
// compare-and-swap. Its revision is its own number, independent of the
// revisions of the store, and only grows. A host takes a Current only if its
// revision is larger than that of the one it has, from whatever source, so a
// stale peer or a store restored from an older copy takes nothing back.
package conf

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/cicadawharf/cicadawharf/internal/store"
	"github.com/cicadawharf/cicadawharf/pkg/spec"
)

type (
	// Current is one accepted file. It is immutable and shared between
	// goroutines.
	Current struct {
		Revision     int64
		Content      []byte
		Declarations *spec.Declarations
		AppliedBy    string
		AppliedAt    time.Time
		Since        time.Time // when the first file was applied; zero if that is not known
	}

	// manifest is the value of ManifestKey.
	manifest struct {
		Revision  int64     `json:"revision"`
		Digest    string    `json:"digest"` // of the content
		Size      int       `json:"size"`   // of the content, bytes
		Content   []byte    `json:"content,omitempty"`
		Chunks    []string  `json:"chunks,omitempty"` // digests, in order, if there is no Content
		AppliedBy string    `json:"appliedBy"`
		AppliedAt time.Time `json:"appliedAt"`
		Since     time.Time `json:"since,omitzero"`    // when the first one was applied
		Apply     string    `json:"apply"`             // unique to one call of Apply
		Earlier   []applied `json:"earlier,omitempty"` // those before, latest first
	}

	// applied is what later manifests keep of one that they replaced, so that
	// an operator whose answer was lost can still learn that it stood.
	applied struct {
		Revision int64  `json:"revision"`
		Apply    string `json:"apply"`
	}
)

const (
	// ManifestKey is the key of the manifest.
	ManifestKey = "config/manifest"

	chunkPrefix = "config/chunk/"

	// maxInlineBytes is the largest content that the manifest holds itself.
	// Every host reads the manifest at each poll, and the chunks only when
	// the revision is new to it.
	maxInlineBytes = 4 << 10

	chunkBytes      = store.MaxValue / 2
	maxContentBytes = 16 << 20
	maxEarlier      = 32
)

// Parse returns an accepted file. The error is spec.Faults.
func Parse(revision int64, content []byte, by string, at time.Time) (Current, error) {
	doc, err := spec.Parse(ManifestKey, content)
	if err != nil {
		return Current{}, err
	}
	return Current{
		Revision: revision, Content: content, Declarations: doc.Declarations, AppliedBy: by, AppliedAt: at,
	}, nil
}

// WithSince returns the file with the time at which the first one was applied.
func (cur Current) WithSince(since time.Time) Current {
	cur.Since = since
	return cur
}

// decodeManifest reads the value of ManifestKey; a missing key gives a
// manifest with revision zero.
func decodeManifest(ent store.Entry) (manifest, error) {
	var mf manifest
	if ent.Revision == 0 || ent.Value == nil {
		return mf, nil
	}
	if err := json.Unmarshal(ent.Value, &mf); err != nil {
		return mf, merry.Prepend(err, ManifestKey)
	}
	return mf, nil
}

// successor returns the manifest that replaces mf, without content.
func (mf manifest) successor(revision int64, apply string) manifest {
	next := manifest{Revision: revision, Apply: apply, Since: mf.Since}
	if mf.Revision > 0 {
		next.Earlier = append(next.Earlier, applied{mf.Revision, mf.Apply})
	}
	next.Earlier = append(next.Earlier, mf.Earlier[:min(len(mf.Earlier), maxEarlier-1)]...)
	return next
}

// withContent returns mf with a content and the chunks, if any, that have to
// be written before it.
func (mf manifest) withContent(content []byte) (manifest, [][]byte) {
	mf.Digest = digest(content)
	mf.Size = len(content)
	if len(content) <= maxInlineBytes {
		mf.Content = content
		return mf, nil
	}
	var chunks [][]byte
	for len(content) > 0 {
		size := min(len(content), chunkBytes)
		chunks = append(chunks, content[:size])
		mf.Chunks = append(mf.Chunks, digest(content[:size]))
		content = content[size:]
	}
	return mf, chunks
}

// revisionOf returns the revision that a call of Apply was accepted under, and
// zero if mf knows of none.
func (mf manifest) revisionOf(apply string) int64 {
	if mf.Apply == apply {
		return mf.Revision
	}
	for _, ap := range mf.Earlier {
		if ap.Apply == apply {
			return ap.Revision
		}
	}
	return 0
}

// matches tells whether mf says what cur says.
func (mf manifest) matches(cur *Current) bool {
	return mf.Revision == cur.Revision && mf.Digest == digest(cur.Content) && mf.AppliedAt.Equal(cur.AppliedAt)
}

// chunkKey names a chunk. The chunks of one call of Apply are its own, so that
// whoever deletes them takes them from nobody else.
func chunkKey(apply, digest string) string { return chunkPrefix + apply + "/" + digest }

func digest(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}
