// Package conf accepts declaration files from operators and distributes the
// declarations in force to every host.
//
// Declarations are what an operator's file declares. The file's text is called
// the content, and the value that stores an accepted file is called the manifest.
//
// The source of truth is one manifest in the platform's store, replaced by
// compare-and-swap. The manifest has a revision of its own, which is
// independent of the store's revisions and only increases. Whatever the source,
// a host adopts declarations only if their revision is larger than that of its
// own, so neither a stale peer nor a store restored from an older backup can
// roll a host back.
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
	// AcceptedFile is a file that was accepted under a revision, with its parsed
	// declarations. It is immutable and shared between goroutines.
	AcceptedFile struct {
		Revision     int64
		Content      []byte
		Declarations *spec.Declarations
		AppliedBy    string
		AppliedAt    time.Time
		Since        time.Time // when the first file was applied; zero if unknown
	}

	// manifest is the value stored under ManifestKey.
	manifest struct {
		Revision  int64              `json:"revision"`
		Digest    string             `json:"digest"` // of the content
		Size      int                `json:"size"`   // of the content, bytes
		Content   []byte             `json:"content,omitempty"`
		Chunks    []string           `json:"chunks,omitempty"` // digests, in order; used instead of Content
		AppliedBy string             `json:"appliedBy"`
		AppliedAt time.Time          `json:"appliedAt"`
		Since     time.Time          `json:"since,omitzero"`    // when the first manifest was applied
		ApplyID   string             `json:"apply"`             // identifier of the call of Apply
		Earlier   []replacedManifest `json:"earlier,omitempty"` // replaced manifests, latest first
	}

	// replacedManifest identifies a manifest that was replaced. Later manifests
	// list it, so that a call of Apply whose reply was lost can still find out
	// that its manifest was accepted.
	replacedManifest struct {
		Revision int64  `json:"revision"`
		ApplyID  string `json:"apply"`
	}
)

const (
	// ManifestKey is the key of the manifest in the store.
	ManifestKey = "config/manifest"

	chunkPrefix = "config/chunk/"

	// maxInlineBytes is the largest content that is stored in the manifest
	// itself. Every host reads the manifest at each poll, but the chunks only
	// for a new revision.
	maxInlineBytes = 4 << 10

	chunkBytes      = store.MaxValue / 2
	maxContentBytes = 16 << 20

	// maxReplacedManifests limits manifest.Earlier. A call whose reply was lost
	// recognizes its manifest until that many others have been accepted.
	maxReplacedManifests = 32
)

// Parse parses the content of an accepted file. The error is spec.Faults.
func Parse(revision int64, content []byte, by string, at time.Time) (AcceptedFile, error) {
	doc, err := spec.Parse(ManifestKey, content)
	if err != nil {
		return AcceptedFile{}, err
	}
	return AcceptedFile{
		Revision: revision, Content: content, Declarations: doc.Declarations, AppliedBy: by, AppliedAt: at,
	}, nil
}

// WithSince returns a copy of af with the time at which the first file was
// applied.
func (af AcceptedFile) WithSince(since time.Time) AcceptedFile {
	af.Since = since
	return af
}

// decodeManifest decodes the value of ManifestKey. A missing key gives a
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

// successor returns a manifest without content that replaces mf.
func (mf manifest) successor(revision int64, applyID string) manifest {
	next := manifest{Revision: revision, ApplyID: applyID, Since: mf.Since}
	if mf.Revision > 0 {
		next.Earlier = append(next.Earlier, replacedManifest{mf.Revision, mf.ApplyID})
	}
	next.Earlier = append(next.Earlier, mf.Earlier[:min(len(mf.Earlier), maxReplacedManifests-1)]...)
	return next
}

// withContent returns mf with a content and the chunks, if any, that must be
// written before it.
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

// revisionOf returns the revision under which a call of Apply was accepted, or
// zero if mf doesn't list it.
func (mf manifest) revisionOf(applyID string) int64 {
	if mf.ApplyID == applyID {
		return mf.Revision
	}
	for _, rm := range mf.Earlier {
		if rm.ApplyID == applyID {
			return rm.Revision
		}
	}
	return 0
}

// matches reports whether mf and af describe the same accepted file.
func (mf manifest) matches(af *AcceptedFile) bool {
	return mf.Revision == af.Revision && mf.Digest == digest(af.Content) && mf.AppliedAt.Equal(af.AppliedAt)
}

// chunkKey returns the key of a chunk. Calls of Apply share no chunks, so
// deleting those of one call can't affect another.
func chunkKey(applyID, digest string) string { return chunkPrefix + applyID + "/" + digest }

func digest(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}
