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
	// ApplyRequest asks to put a file in force.
	ApplyRequest struct {
		File    string // file name in the positions of faults
		Content []byte
		Expect  *int64 // revision to replace; nil for whichever is in force
		By      string // name of the operator

		// HostRevision is the revision in force on the host that handles the
		// call. A store restored from an older backup may hold a smaller one;
		// the new revision is larger than both.
		HostRevision int64

		// Check finds further faults, such as guarantees that exceed the
		// capacity. It may be nil.
		Check func(*spec.Document) spec.Faults
	}

	// applier is the state of one call of Apply.
	applier struct {
		st           store.Store
		req          ApplyRequest
		applyID      string
		now          time.Time
		declarations *spec.Declarations
	}

	// conflictError reports that another manifest, stored, replaced the expected
	// one first.
	conflictError struct {
		stored store.Entry
	}
)

// errChunks reports that the chunks of a file could not be written. Errors that
// wrap it have the message of the cause but don't wrap the cause: if the outcome
// of writing a chunk is unknown, the manifest was certainly not written, so the
// error of the call must not be ErrOutcomeUnknown.
var errChunks = errors.New("writing chunks failed")

// retryAfter is the delay after which an operator is told to retry when the
// store fails.
const retryAfter = 2 * time.Second

// Apply atomically puts a file in force and returns its accepted form. If the
// file in force has the same content, it returns that one and true.
//
// The error is or wraps a *codes.Error: BodyTooLarge, InvalidDeclaration (with the
// spec.Faults among its causes), RevisionConflict if other declarations were
// accepted first, StoreUnavailable if these were certainly not accepted, and
// ApplyUnknown if the outcome is unknown. Errors in generating the ID of the call
// or decoding the stored manifest have no code. On RevisionConflict the returned
// AcceptedFile has only the revision of the declarations in force and, if known, by
// whom and when they were applied.
func Apply(ctx context.Context, now time.Time, st store.Store, req ApplyRequest) (cur AcceptedFile, unchanged bool, err error) {
	doc, err := check(req)
	if err != nil {
		return AcceptedFile{}, false, err
	}
	id, err := uuid.NewV7()
	if err != nil {
		return AcceptedFile{}, false, merry.Prepend(err, "generating apply ID")
	}
	ap := applier{st: st, req: req, applyID: id.String(), now: now.UTC().Round(0), declarations: doc.Declarations}
	return ap.run(ctx)
}

// check returns the parsed file of a request if it is valid.
func check(req ApplyRequest) (*spec.Document, error) {
	if len(req.Content) > maxContentBytes {
		return nil, codes.New(codes.BodyTooLarge, "declarations have %d bytes, the limit is %d", len(req.Content), maxContentBytes)
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

// invalid returns an InvalidDeclaration error with the faults as its cause.
func invalid(faults error) error {
	return merry.Wrap(codes.New(codes.InvalidDeclaration, "%s", faults.Error()), merry.WithCause(faults), merry.NoCaptureStack())
}

func (ap applier) run(ctx context.Context) (AcceptedFile, bool, error) {
	ent, _, err := ap.st.Get(ctx, ManifestKey)
	if err != nil {
		return AcceptedFile{}, false, notApplied(err)
	}
	prev, err := decodeManifest(ent)
	if err != nil {
		return AcceptedFile{}, false, err
	}
	latest := max(prev.Revision, ap.req.HostRevision)
	if ap.hasContentOf(prev) && prev.Revision == latest {
		return ap.acceptedFile(prev), true, nil
	}
	if ap.req.Expect != nil && *ap.req.Expect != latest {
		return ap.conflict(prev, latest)
	}
	next, chunks := prev.successor(latest+1, ap.applyID).withContent(ap.req.Content)
	next.AppliedBy = ap.req.By
	next.AppliedAt = ap.now
	if latest == 0 {
		next.Since = ap.now
	}
	err = ap.replace(ctx, ent.Revision, prev, next, chunks)
	var ce *conflictError
	switch {
	case err == nil:
		ap.deleteOrphanedChunks(ctx, next)
		return ap.acceptedFile(next), false, nil
	case errors.As(err, &ce):
		return ap.resultOfConflict(ce.stored)
	case errors.Is(err, store.ErrOutcomeUnknown):
		return AcceptedFile{}, false, codes.New(codes.ApplyUnknown, "%s", err.Error()).WithRetryAfter(retryAfter)
	default:
		return AcceptedFile{}, false, notApplied(err)
	}
}

// replace writes the chunks of next and then replaces the manifest prev, which
// has the store revision expect, by next. It deletes the chunks of the manifest
// that isn't in force afterwards, or none if that is unknown. The error is a
// conflictError if another manifest was stored first and ErrOutcomeUnknown if
// the outcome is unknown; any other error means that next wasn't stored.
func (ap applier) replace(ctx context.Context, expect store.Revision, prev, next manifest, chunks [][]byte) error {
	if err := ap.writeChunks(ctx, next, chunks); err != nil {
		ap.deleteChunks(ctx, next)
		return merry.Wrap(errChunks, merry.WithMessage(err.Error()), merry.NoCaptureStack())
	}
	value, err := json.Marshal(next)
	if err != nil {
		return merry.Prepend(err, ManifestKey)
	}
	ent, err := store.SwapAndResolve(ctx, ap.st, store.SwapRequest{Key: ManifestKey, Value: value, Expect: expect}, ap.wasAccepted)
	switch {
	case err == nil:
		ap.deleteChunks(ctx, prev)
		return nil
	case errors.Is(err, store.ErrOutcomeUnknown):
		return err // the manifest may be stored and refer to its chunks
	}
	ap.deleteChunks(ctx, next)
	if errors.Is(err, store.ErrConflict) {
		return &conflictError{stored: ent}
	}
	return err
}

// resultOfConflict returns the result of a call whose swap failed because ent had
// replaced the expected manifest.
func (ap applier) resultOfConflict(ent store.Entry) (AcceptedFile, bool, error) {
	stored, err := decodeManifest(ent)
	if err != nil {
		return AcceptedFile{}, false, err
	}
	if ap.hasContentOf(stored) {
		return ap.acceptedFile(stored), true, nil
	}
	return ap.conflict(stored, stored.Revision)
}

// conflict returns a RevisionConflict error, and the revision of the declarations
// in force with who applied them and when. That is unknown if the store was
// restored from an older backup, so that latest is larger than the revision of
// stored.
func (ap applier) conflict(stored manifest, latest int64) (AcceptedFile, bool, error) {
	cur := AcceptedFile{Revision: latest}
	by := "an unknown operator"
	if stored.Revision == latest {
		cur.AppliedBy, cur.AppliedAt = stored.AppliedBy, stored.AppliedAt
		by = stored.AppliedBy
	}
	if by == "" {
		by = "an unnamed operator"
	}
	return cur, false, codes.New(codes.RevisionConflict, "revision %d by %s is in force", latest, by)
}

// wasAccepted reports whether an entry shows that the manifest of this call was
// accepted, even if others have replaced it since.
func (ap applier) wasAccepted(ent store.Entry) bool {
	mf, err := decodeManifest(ent)
	return err == nil && mf.revisionOf(ap.applyID) > 0
}

// hasContentOf reports whether mf is in the store and has the content of the
// request.
func (ap applier) hasContentOf(mf manifest) bool {
	return mf.Revision > 0 && mf.Digest == digest(ap.req.Content)
}

// acceptedFile returns the accepted file of mf, whose content is that of the
// request.
func (ap applier) acceptedFile(mf manifest) AcceptedFile {
	return AcceptedFile{
		Revision: mf.Revision, Content: ap.req.Content, Declarations: ap.declarations,
		AppliedBy: mf.AppliedBy, AppliedAt: mf.AppliedAt, Since: mf.Since,
	}
}

// writeChunks writes the chunks of mf. An unknown outcome is resolved by reading
// the chunk.
func (ap applier) writeChunks(ctx context.Context, mf manifest, chunks [][]byte) error {
	for i, chunk := range chunks {
		req := store.SwapRequest{Key: chunkKey(mf.ApplyID, mf.Chunks[i]), Value: chunk}
		hasContent := func(ent store.Entry) bool { return bytes.Equal(ent.Value, chunk) }
		ent, err := store.SwapAndResolve(ctx, ap.st, req, hasContent)
		if errors.Is(err, store.ErrConflict) && hasContent(ent) {
			continue // two chunks of the file are identical
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// notApplied returns the error of a call that certainly didn't replace the
// manifest.
func notApplied(cause error) error {
	return codes.New(codes.StoreUnavailable, "%s", cause.Error()).WithRetryAfter(retryAfter)
}

// Error implements error.
func (ce *conflictError) Error() string { return "another manifest was stored first" }
