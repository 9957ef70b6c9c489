package entry

import (
	"context"
	"log/slog"
	"net/http"
	"strings"
	"time"

	"github.com/gorilla/mux"

	"github.com/cicadawharf/cicadawharf/internal/admit"
	"github.com/cicadawharf/cicadawharf/internal/plat"
	"github.com/cicadawharf/cicadawharf/internal/report"
	"github.com/cicadawharf/cicadawharf/pkg/client"
	"github.com/cicadawharf/cicadawharf/pkg/codes"
	"github.com/cicadawharf/cicadawharf/pkg/spec"
)

// call is the state of a request to a service while it is served.
type call struct {
	sr         *Server
	w          http.ResponseWriter
	r          *http.Request
	id         string
	began      time.Time
	originZone string // zone that forwarded the request; empty if it came from the caller

	hd         headers
	workspace  string       // declared name, or undeclared, for accounting
	service    string       // declared name, or undeclared, for accounting
	sd         spec.Service // declaration of the service
	sv         *service     // admission, endpoints and connections of the service
	repeatable bool
	target     string // path and query sent to the endpoint
	body       []byte

	work            *report.Work // nil if another host accounts for the request
	outcome         report.Outcome
	attempts        int
	failedAttempts  int             // attempts that failed for another reason than the lack of a free slot
	lackedSlot      bool            // the last attempt was refused because the endpoint had no free slot
	claim           *Claim          // acquired, and its outcome is not recorded yet
	slot            *admit.Admitted // nil if the request holds no slot
	slotSince       time.Time
	responseStarted bool // part of the response may have been written to the caller
	accounted       bool // the outcome has been recorded in the account and the metrics
}

const (
	pathServices = "/v1/services/"

	// undeclared replaces names that are not declared in accounting and
	// metrics.
	undeclared = "undeclared"

	// inProgressFactor is the ratio of the limit of requests in progress to
	// Limits.Requests, which limits requests whose body has been read.
	inProgressFactor = 2
)

// serveService serves a request that comes from its caller.
func (sr *Server) serveService(w http.ResponseWriter, r *http.Request) {
	sr.serveCall(&call{sr: sr, w: w, r: r, id: sr.newID(), began: time.Now()})
}

// serveForwarded serves a request that an entry host of another zone forwards.
func (sr *Server) serveForwarded(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(plat.HeaderRequest)
	if id == "" {
		id = sr.newID()
	}
	sr.serveCall(&call{sr: sr, w: w, r: r, id: id, began: time.Now(), originZone: r.Header.Get(headerHop)})
}

// serveCall serves a request and ensures that exactly one outcome of it is
// recorded.
func (sr *Server) serveCall(cl *call) {
	cl.outcome.Code = codes.InternalFailure
	cl.r.Header.Del(headerHop)
	ok, stopped := sr.inProgress.begin(inProgressFactor * sr.cfg.Limits.Requests)
	cl.identify()
	defer cl.finish(ok)
	switch {
	case stopped:
		cl.refuse(codes.New(codes.Stopping, "the host is being stopped"))
		return
	case !ok:
		cl.refuse(codes.New(codes.Overloaded, "the host has too many requests in progress"))
		return
	}
	if er := cl.run(); er != nil {
		cl.refuse(er)
	}
}

// identify determines the workspace and the service to which the request is
// accounted.
func (cl *call) identify() {
	cl.workspace, cl.service = undeclared, undeclared
	if de, _ := cl.sr.cfg.Declarations(); de != nil {
		if ws, ok := de.Workspace(cl.r.Header.Get(client.HeaderWorkspace)); ok {
			cl.workspace = ws.Name
		}
		if sd, ok := de.Service(mux.Vars(cl.r)["service"]); ok {
			cl.service = sd.Name
		}
	}
	if cl.originZone == "" && cl.sr.cfg.Account != nil {
		cl.work = cl.sr.cfg.Account.Offer(cl.began, cl.workspace, cl.service)
	}
}

// run serves the request. If it returns an error, the response has yet to be
// written.
func (cl *call) run() *codes.Error {
	if er := cl.check(); er != nil {
		return er
	}
	body, release, er := cl.sr.readBody(cl.w, cl.r, cl.sd.MaxBody)
	defer release()
	if er != nil {
		return er
	}
	cl.body = body
	defer cl.sr.serving.Add(-1)
	if cl.sr.serving.Add(1) > int64(cl.sr.cfg.Limits.Requests) {
		return codes.New(codes.Overloaded, "the host is serving too many requests")
	}
	ctx, cancel := context.WithDeadline(cl.r.Context(), cl.deadline())
	defer cancel()
	return cl.dispatch(ctx)
}

// check validates the request against the declarations.
func (cl *call) check() *codes.Error {
	if size := headerBytes(cl.r); size > cl.sr.cfg.Limits.HeaderBytes {
		return codes.New(codes.HeaderTooLarge, "%d bytes exceed the limit of %d", size, cl.sr.cfg.Limits.HeaderBytes)
	}
	de, _ := cl.sr.cfg.Declarations()
	if de == nil {
		return codes.New(codes.NotReady, "the host has no declarations yet")
	}
	var er *codes.Error
	if cl.hd, er = parseHeaders(cl.r); er != nil {
		return er
	}
	if cl.hd.workspace == "" {
		return codes.New(codes.BadRequest, "header %s is missing", client.HeaderWorkspace)
	}
	ws, ok := de.Workspace(cl.hd.workspace)
	if !ok {
		return codes.New(codes.UnknownWorkspace, "workspace %q", cl.hd.workspace)
	}
	name := mux.Vars(cl.r)["service"]
	if cl.sd, ok = de.Service(name); !ok {
		return codes.New(codes.UnknownService, "service %q", name)
	}
	if _, ok = ws.Use(name); !ok {
		return codes.New(codes.ServiceNotAllowed, "workspace %q does not use service %q", ws.Name, name)
	}
	if cl.sv = cl.sr.service(cl.began, name); cl.sv == nil {
		return codes.New(codes.NotReady, "service %q is not available on this host yet", name)
	}
	cl.repeatable = cl.sd.Repeatable
	if cl.hd.repeatable != nil {
		cl.repeatable = *cl.hd.repeatable
	}
	cl.target = endpointTarget(cl.r, name)
	return nil
}

// deadline returns the deadline by the timeouts of the service and the caller.
func (cl *call) deadline() time.Time {
	timeout := cl.sd.Timeout
	if cl.hd.timeout > 0 {
		timeout = min(timeout, cl.hd.timeout)
	}
	return cl.began.Add(timeout)
}

// dispatch serves the request in the local zone, or in another one if no
// endpoint of the local zone is usable.
func (cl *call) dispatch(ctx context.Context) *codes.Error {
	er := codes.New(codes.NoEndpoint, "no endpoint of the zone is usable")
	if cl.sv.usableSlots(time.Now()) > 0 {
		er = cl.serveLocal(ctx)
		cl.releaseSlot()
	}
	if er == nil || er.Code != codes.NoEndpoint || cl.originZone != "" {
		return er
	}
	return cl.serveRemote(ctx, er)
}

// admit waits for a slot, which releaseSlot returns.
func (cl *call) admit(ctx context.Context) *codes.Error {
	deadline, _ := ctx.Deadline()
	ad, er := cl.sv.admit(ctx, admit.Request{
		Workspace: cl.hd.workspace,
		Caller:    cl.hd.caller,
		Urgency:   int(cl.hd.priority) - 1, // jobs.Low is 1
		Deadline:  deadline,
	})
	if er != nil {
		return er
	}
	cl.slot = &ad
	cl.slotSince = time.Now()
	cl.sr.metrics.observeWait(cl.service, ad.Waited)
	return nil
}

// releaseSlot returns the slot if the request holds one.
func (cl *call) releaseSlot() {
	if cl.slot == nil {
		return
	}
	cl.outcome.SlotTime += time.Since(cl.slotSince)
	cl.sv.releaseSlot(*cl.slot)
	cl.slot = nil
}

// refuse writes an error response with a code that the system itself gives.
func (cl *call) refuse(er *codes.Error) {
	cl.outcome.Code = er.Code
	if er.Code.Class() == codes.NotRun {
		// The caller may reuse the key as soon as it has the response.
		cl.recordClaimOutcome()
	}
	cl.responseStarted = true
	cl.account()
	cl.sr.refuse(cl.w, cl.r, cl.id, er)
	cl.sr.cfg.Log.LogAttrs(context.Background(), slog.LevelInfo, "request refused",
		slog.String("event", "refuse"), slog.String("request", cl.id),
		slog.String("workspace", cl.workspace), slog.String("service", cl.service),
		slog.Int("code", int(er.Code)), slog.String("detail", er.Detail),
		slog.Duration("retryAfter", er.RetryAfter), slog.Duration("duration", time.Since(cl.began)))
}

// finish releases the slot of the request and records its outcome, also after a
// panic. counted says that inProgress counts the request. After a panic, finish
// writes an error response, or aborts the connection if a part of the response
// may have been written.
func (cl *call) finish(counted bool) {
	recovered := recover()
	cl.releaseSlot()
	if recovered != nil && recovered != http.ErrAbortHandler {
		cl.sr.cfg.Log.Error("request handler panicked", "event", "panic", "request", cl.id, "error", recovered)
		cl.outcome.Code = codes.InternalFailure
	}
	cl.account()
	cl.endRequest(counted)
	switch {
	case recovered == nil:
	case cl.responseStarted:
		panic(http.ErrAbortHandler)
	default:
		cl.sr.writeError(cl.w, cl.id, codes.New(codes.InternalFailure, "the request handler panicked; see the log of the host"))
	}
}

// account records the outcome, unless it has been recorded before. It is called
// before the caller can have the complete response, so that the account never
// lags behind what callers know.
func (cl *call) account() {
	if cl.accounted {
		return
	}
	cl.accounted = true
	cl.outcome.Repeats = max(cl.attempts-1, 0)
	if cl.work != nil {
		cl.work.End(cl.outcome)
	}
	cl.sr.metrics.countRequest(cl.service, cl.outcome.Code, time.Since(cl.began))
}

// endRequest records the outcome of the claim and then marks the request as no
// longer in progress, so that a graceful stop waits for the record. The
// response does not wait for it.
func (cl *call) endRequest(counted bool) {
	if cl.claim == nil {
		if counted {
			cl.sr.inProgress.end()
		}
		return
	}
	go func() {
		cl.recordClaimOutcome()
		if counted {
			cl.sr.inProgress.end()
		}
	}()
}

// endpointTarget returns the path and query of the request to the endpoint.
func endpointTarget(r *http.Request, service string) string {
	path := strings.TrimPrefix(r.URL.EscapedPath(), pathServices+service)
	if path == "" {
		path = "/"
	}
	if r.URL.RawQuery != "" || r.URL.ForceQuery {
		path += "?" + r.URL.RawQuery
	}
	return path
}
