package entry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/guard"
	"github.com/cicadawharf/cicadawharf/pkg/codes"
)

// After a refusal, the rest of the body is read and discarded within these limits.
// Otherwise the caller's connection would be reset before it reads the response.
const (
	maxDiscard     = 32 << 20 // bytes
	discardTimeout = time.Second
)

// readBody reads a request body of at most limit bytes, and at most
// Limits.BodyBytes, within the read timeout. It reserves room for what has arrived,
// which release returns. The caller of readBody must call release, also after an error.
func (sr *Server) readBody(w http.ResponseWriter, r *http.Request, limit int64) (body []byte, release func(), er *codes.Error) {
	release = func() {}
	limit = min(limit, sr.cfg.Limits.BodyBytes)
	if r.ContentLength > limit {
		return nil, release, codes.New(codes.BodyTooLarge, "%d bytes exceed the limit of %d", r.ContentLength, limit)
	}
	if r.ContentLength == 0 {
		return nil, release, nil
	}
	if sr.bodiesReading.Add(1) > int64(sr.cfg.Limits.Requests) {
		sr.bodiesReading.Add(-1)
		return nil, release, codes.New(codes.Overloaded, "too many request bodies are being received")
	}
	defer sr.bodiesReading.Add(-1)
	ctx, cancel := context.WithTimeout(r.Context(), sr.cfg.Limits.ReadTimeout)
	defer cancel()
	// Only requests of declared workspaces and of operators get here.
	body, release, err := sr.cfg.Guard.ReadBody(ctx, w, r, limit, true)
	return body, release, sr.bodyError(r, limit, err)
}

// bodyError returns the error for a body that could not be read, or nil if err is nil.
func (sr *Server) bodyError(r *http.Request, limit int64, err error) *codes.Error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, guard.ErrTooLarge):
		return codes.New(codes.BodyTooLarge, "more than %d bytes", limit)
	case errors.Is(err, guard.ErrNoRoom):
		return codes.New(codes.Overloaded, "too many bytes of requests are held")
	case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, context.DeadlineExceeded):
		return codes.New(codes.SlowSender, "the body did not arrive within %v", sr.cfg.Limits.ReadTimeout)
	case errors.Is(err, io.ErrUnexpectedEOF), r.Context().Err() != nil:
		return codes.New(codes.CallerGone, "the body ended early")
	default:
		return codes.New(codes.BadRequest, "the body can't be read: %v", err)
	}
}

// refuse writes an error response to a request whose body may not have arrived
// completely. It discards the rest of the body, see maxDiscard.
func (sr *Server) refuse(w http.ResponseWriter, r *http.Request, request string, er *codes.Error) {
	control := http.NewResponseController(w)
	bodyPending := r.ContentLength != 0 && er.Code != codes.SlowSender && er.Code != codes.CallerGone
	if !bodyPending || control.EnableFullDuplex() != nil {
		sr.writeError(w, request, er)
		return
	}
	sr.writeError(w, request, er)
	if control.Flush() != nil || control.SetReadDeadline(time.Now().Add(discardTimeout)) != nil {
		return
	}
	if _, err := io.CopyN(io.Discard, r.Body, maxDiscard); errors.Is(err, io.EOF) {
		_ = control.SetReadDeadline(time.Time{})
	}
}
