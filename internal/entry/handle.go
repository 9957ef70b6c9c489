package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/cicadawharf/cicadawharf/pkg/codes"
)

// ask is one request for the system itself, as against a service.
type ask struct {
	sr    *Server
	w     http.ResponseWriter
	r     *http.Request
	id    string
	began time.Time
	hd    headers
}

// handler answers an ask, or returns the error to be answered.
type handler func(ctx context.Context, as *ask) *codes.Error

const (
	maxWait       = time.Minute      // of one request for an event
	systemTimeout = 15 * time.Second // of one request, past the wait it asks for
)

// bounded returns the HTTP handler of fn. It bounds what is in progress.
func (sr *Server) bounded(fn handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		as := &ask{sr: sr, w: w, r: r, id: sr.newID(), began: time.Now()}
		ok, stopped := sr.work.begin(workPart * sr.cfg.Limits.Requests)
		switch {
		case stopped:
			as.refuse(codes.New(codes.Stopping, "the host is being stopped"))
			return
		case !ok:
			as.refuse(codes.New(codes.Overloaded, "the host holds as many requests as it may"))
			return
		}
		defer sr.work.end()
		defer as.recovered()
		if er := as.run(fn); er != nil {
			as.refuse(er)
		}
	}
}

func (as *ask) run(fn handler) *codes.Error {
	if size := headerBytes(as.r); size > as.sr.cfg.Limits.HeaderBytes {
		return codes.New(codes.HeaderTooLarge, "%d bytes where %d are permitted", size, as.sr.cfg.Limits.HeaderBytes)
	}
	var er *codes.Error
	if as.hd, er = parseHeaders(as.r); er != nil {
		return er
	}
	wait, er := as.wait()
	if er != nil {
		return er
	}
	ctx, cancel := context.WithTimeout(as.r.Context(), systemTimeout+wait)
	defer cancel()
	return fn(ctx, as)
}

// recovered answers with a code where a handler has panicked.
func (as *ask) recovered() {
	if fault := recover(); fault != nil {
		as.sr.cfg.Log.Error("request failed", "event", "panic", "request", as.id, "error", fault)
		as.refuse(codes.New(codes.InternalFailure, "see the log"))
	}
}

func (as *ask) refuse(er *codes.Error) { as.sr.refuse(as.w, as.r, as.id, er) }

// write answers with a body that embeds the answer of its code.
func (as *ask) write(er *codes.Error, body any) { as.sr.writeJSON(as.w, as.id, er, body) }

// wait returns how long the request wants to wait for an event.
func (as *ask) wait() (time.Duration, *codes.Error) {
	text, er := as.query("wait")
	if er != nil || text == "" {
		return 0, er
	}
	wait, err := time.ParseDuration(text)
	if err != nil || wait < 0 {
		return 0, codes.New(codes.BadRequest, "parameter wait is not a duration such as 30s")
	}
	return min(wait, maxWait), nil
}

// query returns a parameter that may be given once.
func (as *ask) query(name string) (string, *codes.Error) {
	values := as.r.URL.Query()[name]
	switch len(values) {
	case 0:
		return "", nil
	case 1:
		return values[0], nil
	default:
		return "", codes.New(codes.BadRequest, "parameter %s is doubled", name)
	}
}

// body reads the body of the request.
func (as *ask) body(bound int64) ([]byte, func(), *codes.Error) {
	return as.sr.readBody(as.w, as.r, bound)
}

// untilHalt returns a context that ends when the host takes no more work, so
// that a stop does not wait for callers who wait for an event.
func (as *ask) untilHalt(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		select {
		case <-as.sr.work.halt:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}
