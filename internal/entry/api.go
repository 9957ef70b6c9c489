package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/cicadawharf/cicadawharf/pkg/codes"
)

// apiRequest is a request to the system itself, such as for jobs, as opposed to
// a request to a service.
type apiRequest struct {
	sr    *Server
	w     http.ResponseWriter
	r     *http.Request
	id    string
	began time.Time
	hd    headers
}

// apiHandler serves an apiRequest. It either writes the response or returns an
// error, from which its caller writes the response.
type apiHandler func(ctx context.Context, ar *apiRequest) *codes.Error

const (
	maxWait    = time.Minute      // of one request, for an event
	apiTimeout = 15 * time.Second // of one request, in addition to its wait for an event
)

// handleAPI returns the HTTP handler of fn. It limits the number of requests in
// progress.
func (sr *Server) handleAPI(fn apiHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		ar := &apiRequest{sr: sr, w: w, r: r, id: sr.newID(), began: time.Now()}
		ok, stopped := sr.inProgress.begin(inProgressFactor * sr.cfg.Limits.Requests)
		switch {
		case stopped:
			ar.refuse(codes.New(codes.Stopping, "the host is being stopped"))
			return
		case !ok:
			ar.refuse(codes.New(codes.Overloaded, "the host has too many requests in progress"))
			return
		}
		defer sr.inProgress.end()
		defer ar.recoverPanic()
		if er := ar.run(fn); er != nil {
			ar.refuse(er)
		}
	}
}

// run validates the headers and the parameter wait, and calls fn with a deadline.
func (ar *apiRequest) run(fn apiHandler) *codes.Error {
	if size := headerBytes(ar.r); size > ar.sr.cfg.Limits.HeaderBytes {
		return codes.New(codes.HeaderTooLarge, "%d bytes exceed the limit of %d", size, ar.sr.cfg.Limits.HeaderBytes)
	}
	var er *codes.Error
	if ar.hd, er = parseHeaders(ar.r); er != nil {
		return er
	}
	if ar.r.Method != http.MethodPost && ar.r.Method != http.MethodPut {
		ar.skipBody() // no handler reads it
	}
	wait, er := ar.wait()
	if er != nil {
		return er
	}
	ctx, cancel := context.WithTimeout(ar.r.Context(), apiTimeout+wait)
	defer cancel()
	return fn(ctx, ar)
}

// skipBody marks the request as complete although its body may not have arrived. What
// has not arrived by then is not awaited when the response is written.
func (ar *apiRequest) skipBody() {
	ar.sr.cfg.Guard.Complete(ar.r)
	if ar.r.ContentLength != 0 {
		_ = http.NewResponseController(ar.w).SetReadDeadline(time.Now().Add(discardTimeout))
	}
}

// recoverPanic writes an error response if a handler has panicked.
func (ar *apiRequest) recoverPanic() {
	if recovered := recover(); recovered != nil {
		ar.sr.cfg.Log.Error("request handler panicked", "event", "panic", "request", ar.id, "error", recovered)
		ar.refuse(codes.New(codes.InternalFailure, "the request handler panicked; see the log of the host"))
	}
}

func (ar *apiRequest) refuse(er *codes.Error) { ar.sr.refuse(ar.w, ar.r, ar.id, er) }

// write writes a response with a body that includes the code of er.
func (ar *apiRequest) write(er *codes.Error, body any) { ar.sr.writeJSON(ar.w, ar.id, er, body) }

// wait returns the maximum time that the request waits for an event, by its
// parameter wait.
func (ar *apiRequest) wait() (time.Duration, *codes.Error) {
	text, er := ar.query("wait")
	if er != nil || text == "" {
		return 0, er
	}
	wait, err := time.ParseDuration(text)
	if err != nil || wait < 0 {
		return 0, codes.New(codes.BadRequest, "parameter wait is not a duration such as 30s")
	}
	return min(wait, maxWait), nil
}

// query returns a parameter that may be given at most once, or "" if it is
// missing.
func (ar *apiRequest) query(name string) (string, *codes.Error) {
	values := ar.r.URL.Query()[name]
	switch len(values) {
	case 0:
		return "", nil
	case 1:
		return values[0], nil
	default:
		return "", codes.New(codes.BadRequest, "parameter %s is given more than once", name)
	}
}

// body reads the body of the request, see readBody.
func (ar *apiRequest) body(limit int64) ([]byte, func(), *codes.Error) {
	return ar.sr.readBody(ar.w, ar.r, limit)
}

// untilStop returns a context that also ends when the host starts to refuse new
// requests, so that a graceful stop does not wait for requests that wait for an
// event.
func (ar *apiRequest) untilStop(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		select {
		case <-ar.sr.inProgress.stopping:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}
