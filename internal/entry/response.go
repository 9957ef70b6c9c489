package entry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"

	"github.com/cicadawharf/cicadawharf/internal/plat"
	"github.com/cicadawharf/cicadawharf/internal/relay"
	"github.com/cicadawharf/cicadawharf/pkg/client"
	"github.com/cicadawharf/cicadawharf/pkg/codes"
)

// upstreamResponse is the response of an endpoint or another entry host to one
// attempt.
type upstreamResponse struct {
	response *relay.Response
	code     codes.Code
	buffered bool   // body holds the complete body
	body     []byte // if buffered
}

const (
	// maxBufferedResponse is the maximum size in bytes of a response body that is
	// read completely before the response is passed on. If reading fails, the
	// caller gets a code instead of a part of the response.
	maxBufferedResponse = 64 << 10

	copyBufferBytes = 32 << 10
)

var copyBuffers = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}

// exchange sends a request and returns the response. It reads the whole body if
// its length is known and small or if the method is HEAD. The body of any other
// response has yet to be read, see stream.
func exchange(ctx context.Context, pool *relay.Pool, rq relay.Request) (upstreamResponse, *relay.Failure) {
	re, fa := pool.Send(ctx, rq)
	if fa != nil {
		return upstreamResponse{}, fa
	}
	rp := upstreamResponse{response: re}
	if rq.Method != http.MethodHead && (re.Length < 0 || re.Length > maxBufferedResponse) {
		return rp, nil
	}
	defer re.Close()
	body, err := io.ReadAll(re)
	if err != nil {
		return rp, failureOf(err)
	}
	rp.buffered, rp.body = true, body
	return rp, nil
}

// stream passes a large response on as it arrives. Buffered ones are passed on
// by finishAttempt, once their slot has been released.
func (cl *call) stream(rp upstreamResponse) *relay.Failure {
	if rp.buffered {
		return nil
	}
	defer rp.response.Close()
	cl.writeHead(rp)
	control := http.NewResponseController(cl.w)
	buffer := copyBuffers.Get().(*[copyBufferBytes]byte)
	defer copyBuffers.Put(buffer)
	for {
		n, err := rp.response.Read(buffer[:])
		if n > 0 {
			if werr := cl.write(control, buffer[:n], rp.response.Length < 0); werr != nil {
				return &relay.Failure{Code: codes.CallerLeft, Cause: relay.CauseCallerDisconnected, Err: werr}
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return failureOf(err)
		}
	}
}

// write writes a part of the response body to the caller by the deadline of the
// request.
func (cl *call) write(control *http.ResponseController, part []byte, flush bool) error {
	if err := control.SetWriteDeadline(cl.deadline()); err != nil {
		return err
	}
	if _, err := cl.w.Write(part); err != nil {
		return err
	}
	if flush {
		return control.Flush()
	}
	return nil
}

// finishAttempt ends an attempt. It writes a buffered response to the caller.
// It returns the failure of an attempt if no part of its response was passed
// on, and panics with http.ErrAbortHandler if a part was.
func (cl *call) finishAttempt(rp upstreamResponse, fa *relay.Failure) *relay.Failure {
	if fa != nil && !cl.responseStarted {
		return fa
	}
	cl.outcome.Code = codeOf(rp, fa)
	cl.releaseSlot()
	if fa != nil {
		panic(http.ErrAbortHandler)
	}
	cl.account()
	if rp.buffered {
		limitWrite(cl.w)
		cl.writeHead(rp)
		_, _ = cl.w.Write(rp.body)
	}
	return nil
}

// writeHead writes the status and the headers of a response to the caller.
func (cl *call) writeHead(rp upstreamResponse) {
	cl.responseStarted = true
	hd := cl.w.Header()
	for name, values := range rp.response.Header {
		hd[name] = values
	}
	for _, name := range []string{plat.HeaderState, plat.HeaderRefused, client.HeaderRetryAfter} {
		hd.Del(name)
	}
	if _, ok := hd["Content-Type"]; !ok {
		hd["Content-Type"] = nil // disables content type detection
	}
	if rp.response.Length >= 0 && rp.response.Status != http.StatusNoContent {
		hd.Set("Content-Length", strconv.FormatInt(rp.response.Length, 10))
	}
	if cl.sr.draining.Load() {
		hd.Set("Connection", "close")
	}
	setOutcomeHeaders(hd, cl.id, rp.code, 0)
	cl.w.WriteHeader(rp.response.Status)
}

// codeOf returns the code of an attempt: that of its failure, if any, or of its
// response.
func codeOf(rp upstreamResponse, fa *relay.Failure) codes.Code {
	if fa != nil {
		return fa.Code
	}
	return rp.code
}

// causeOf returns the text of a failure for the log, or "" if there is none.
func causeOf(fa *relay.Failure) string {
	if fa == nil {
		return ""
	}
	return fa.Error()
}

// failureOf returns the failure for an error while reading a response.
func failureOf(err error) *relay.Failure {
	var fa *relay.Failure
	if errors.As(err, &fa) {
		return fa
	}
	return &relay.Failure{Code: codes.AnswerBroken, Cause: relay.CauseTruncated, Err: err}
}
