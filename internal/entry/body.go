package entry

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/cicadawharf/cicadawharf/pkg/codes"
)

const (
	maxBufferedTotal = 256 << 20 // bytes of all request bodies in memory

	// After a refusal, the rest of the body is read and discarded within these
	// limits. Otherwise the caller's connection would be reset before it reads
	// the response.
	maxDiscard     = 32 << 20 // bytes
	discardTimeout = time.Second
)

// readBody reads a request body of at most limit bytes, and at most
// Limits.BodyBytes, within the read timeout. It reserves memory from the budget
// of maxBufferedTotal, which release returns. The caller of readBody must call
// release, also after an error.
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
	reserved := r.ContentLength
	if reserved < 0 {
		reserved = limit
	}
	if sr.bufferedBytes.Add(reserved) > maxBufferedTotal {
		sr.bufferedBytes.Add(-reserved)
		return nil, release, codes.New(codes.Overloaded, "too many bytes of request bodies are buffered")
	}
	release = func() { sr.bufferedBytes.Add(-reserved) }
	body, er = sr.receive(w, r, limit)
	return body, release, er
}

// receive reads a request body of at most limit bytes within the read timeout.
func (sr *Server) receive(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, *codes.Error) {
	control := http.NewResponseController(w)
	if err := control.SetReadDeadline(time.Now().Add(sr.cfg.Limits.ReadTimeout)); err != nil {
		return nil, codes.New(codes.InternalFailure, "the read deadline can't be set: %v", err)
	}
	body, err := readExactly(r, http.MaxBytesReader(w, r.Body, limit))
	if err == nil {
		err = control.SetReadDeadline(time.Time{})
	}
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return body, nil
	case errors.As(err, &tooLarge):
		return nil, codes.New(codes.BodyTooLarge, "more than %d bytes", limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, codes.New(codes.SlowSender, "the body did not arrive within %v", sr.cfg.Limits.ReadTimeout)
	case errors.Is(err, io.ErrUnexpectedEOF), r.Context().Err() != nil:
		return nil, codes.New(codes.CallerGone, "the body ended early")
	default:
		return nil, codes.New(codes.BadRequest, "the body can't be read: %v", err)
	}
}

// readExactly reads a body. If its length is known, it reads into one buffer of
// that size.
func readExactly(r *http.Request, rd io.Reader) ([]byte, error) {
	if r.ContentLength < 0 {
		return io.ReadAll(rd)
	}
	body := make([]byte, r.ContentLength)
	if _, err := io.ReadFull(rd, body); err != nil {
		return nil, err
	}
	// The server detects a disconnected caller only after it has read to EOF.
	if _, err := rd.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		return nil, err
	}
	return body, nil
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
