package conf

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/google/uuid"

	"github.com/cicadawharf/cicadawharf/internal/store"
	"github.com/cicadawharf/cicadawharf/pkg/codes"
	"github.com/cicadawharf/cicadawharf/pkg/spec"
)

type (
	// ApplyRequest is a file that an operator wants in force.
	ApplyRequest struct {
		File    string // name, for the positions of faults
		Content []byte
		Expect  *int64 // revision that the operator saw; nil for the one in force
		By      string // who applies it

		// Known is the revision that the host of the call has in force. A
		// store that was restored from an older copy may hold a smaller one;
		// the new revision is larger than both.
		Known int64

		// Check finds further faults, such as guarantees that do not fit; it
		// may be nil.
		Check func(*spec.Document) spec.Faults
	}

	// applier is one call of Apply.
	applier struct {
		st  store.Store
		req ApplyRequest
		id  string
		now time.Time
		de  *spec.Declarations
	}

	// lostRaceError says that another manifest was put in place first.
	lostRaceError struct {
		winner store.Entry
	}
)

// errChunks says that the chunks of a content could not be written.
var errChunks = errors.New("chunks were not written")

// retryAfter is when to come back after a failure of the store.
const retryAfter = 2 * time.Second

// Apply puts a file in force as a whole or not at all, and returns what it is
// in force as. The same content as that in force is left alone: unchanged.
//
// Errors carry a *codes.Error: InvalidDeclaration (with the spec.Faults among
// its causes), RevisionConflict if other declarations were accepted first,
// StoreUnavailable if these were certainly not accepted, and ApplyUnknown. On
// RevisionConflict the returned Current tells revision and author of the
// winner.
func Apply(ctx context.Context, now time.Time, st store.Store, req ApplyRequest) (cur Current, unchanged bool, err error) {
	doc, err := check(req)
	if err != nil {
		return Current{}, false, err
	}
	id, err := uuid.NewV7()
	if err != nil {
		return Current{}, false, merry.Prepend(err, "name of an apply")
	}
	ap := applier{st: st, req: req, id: id.String(), now: now.UTC().Round(0), de: doc.Declarations}
	return ap.run(ctx)
}

func check(req ApplyRequest) (*spec.Document, error) {
	if len(req.Content) > maxContentBytes {
		return nil, codes.New(codes.BodyTooLarge, "declarations have %d bytes, more than %d", len(req.Content), maxContentBytes)
	}
	doc, err := spec.Parse(req.File, req.Content)
	if err != nil {
		return nil, invalid(err)
	}
	if req.Check == nil {
		return doc, nil
	}
	if faults := req.Check(doc); len(faults) > 0 {
		return nil, invalid(faults)
	}
	return doc, nil
}

func invalid(faults error) error {
	return merry.Wrap(codes.New(codes.InvalidDeclaration, "%s", faults.Error()), merry.WithCause(faults), merry.NoCaptureStack())
}

func (ap applier) run(ctx context.Context) (Current, bool, error) {
	ent, _, err := ap.st.Get(ctx, ManifestKey)
	if err != nil {
		return Current{}, false, notApplied(err)
	}
	prev, err := decodeManifest(ent)
	if err != nil {
		return Current{}, false, err
	}
	latest := max(prev.Revision, ap.req.Known)
	if ap.sameAs(prev) && prev.Revision == latest {
		return ap.current(prev), true, nil
	}
	if ap.req.Expect != nil && *ap.req.Expect != latest {
		return ap.conflict(prev, latest)
	}
	next, chunks := prev.successor(latest+1, ap.id).withContent(ap.req.Content)
	next.AppliedBy = ap.req.By
	next.AppliedAt = ap.now
	if latest == 0 {
		next.Since = ap.now
	}
	err = ap.replace(ctx, ent.Revision, prev, next, chunks)
	var lost *lostRaceError
	switch {
	case err == nil:
		ap.deleteOrphanedChunks(ctx, next)
		return ap.current(next), false, nil
	case errors.As(err, &lost):
		return ap.lostRace(lost.winner)
	case errors.Is(err, store.ErrLost):
		return Current{}, false, codes.New(codes.ApplyUnknown, "%s", err.Error()).WithRetryAfter(retryAfter)
	default:
		return Current{}, false, notApplied(err)
	}
}

// replace puts next in the place of the manifest prev, which has the store's
// revision expect. The error is a lostRaceError if another manifest was faster,
// ErrLost if it can't be known, and any other if next was not put in place.
func (ap applier) replace(ctx context.Context, expect store.Revision, prev, next manifest, chunks [][]byte) error {
	if err := ap.writeChunks(ctx, next, chunks); err != nil {
		ap.deleteChunks(ctx, next)
		return merry.Wrap(errChunks, merry.WithMessage(err.Error()), merry.NoCaptureStack())
	}
	value, err := json.Marshal(next)
	if err != nil {
		return merry.Prepend(err, ManifestKey)
	}
	ent, err := store.SwapSettled(ctx, ap.st, store.SwapRequest{Key: ManifestKey, Value: value, Expect: expect}, ap.wasAccepted)
	switch {
	case err == nil:
		ap.deleteChunks(ctx, prev)
		return nil
	case errors.Is(err, store.ErrLost):
		return err // its chunks may be in use
	}
	ap.deleteChunks(ctx, next)
	if errors.Is(err, store.ErrConflict) {
		return &lostRaceError{winner: ent}
	}
	return err
}

// lostRace answers a call whose swap found the manifest ent in its way.
func (ap applier) lostRace(ent store.Entry) (Current, bool, error) {
	winner, err := decodeManifest(ent)
	if err != nil {
		return Current{}, false, err
	}
	if ap.sameAs(winner) {
		return ap.current(winner), true, nil
	}
	return ap.conflict(winner, winner.Revision)
}

func (ap applier) conflict(winner manifest, latest int64) (Current, bool, error) {
	cur := Current{Revision: latest}
	by := "an unknown operator"
	if winner.Revision == latest {
		cur.AppliedBy, cur.AppliedAt = winner.AppliedBy, winner.AppliedAt
		by = winner.AppliedBy
	}
	if by == "" {
		by = "an operator who gave no name"
	}
	return cur, false, codes.New(codes.RevisionConflict, "revision %d by %s is in force", latest, by)
}

// wasAccepted tells whether an entry shows that the manifest of this call was
// accepted, be it that others have followed.
func (ap applier) wasAccepted(ent store.Entry) bool {
	mf, err := decodeManifest(ent)
	return err == nil && mf.revisionOf(ap.id) > 0
}

func (ap applier) sameAs(mf manifest) bool {
	return mf.Revision > 0 && mf.Digest == digest(ap.req.Content)
}

// current returns the file as it was accepted by mf, which has its content.
func (ap applier) current(mf manifest) Current {
	return Current{
		Revision: mf.Revision, Content: ap.req.Content, Declarations: ap.de,
		AppliedBy: mf.AppliedBy, AppliedAt: mf.AppliedAt, Since: mf.Since,
	}
}

func (ap applier) writeChunks(ctx context.Context, mf manifest, chunks [][]byte) error {
	for i, chunk := range chunks {
		req := store.SwapRequest{Key: chunkKey(mf.Apply, mf.Chunks[i]), Value: chunk}
		hasContent := func(ent store.Entry) bool { return bytes.Equal(ent.Value, chunk) }
		ent, err := store.SwapSettled(ctx, ap.st, req, hasContent)
		if errors.Is(err, store.ErrConflict) && hasContent(ent) {
			continue // the file repeats itself
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// notApplied is said only where the manifest was not replaced.
func notApplied(cause error) error {
	return codes.New(codes.StoreUnavailable, "%s", cause.Error()).WithRetryAfter(retryAfter)
}

// Error implements error.
func (lr *lostRaceError) Error() string { return "another manifest was put in place first" }
