package entry

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/relay"
	"github.com/cicadawharf/cicadawharf/internal/route"
	"github.com/cicadawharf/cicadawharf/pkg/client"
	"github.com/cicadawharf/cicadawharf/pkg/codes"
)

const (
	maxAttempts = 4 // that fail for another reason than the lack of a free slot

	// slotPollInterval is the interval at which an admitted request tries again to
	// choose an endpoint while none has a free slot. This happens when endpoints
	// have fewer free slots than admission assumes.
	slotPollInterval = 20 * time.Millisecond

	// hangDivisor sets the minimum duration of an attempt that ends with the
	// deadline of the request and counts as a failure of the endpoint: one part
	// in hangDivisor of the timeout of the service.
	hangDivisor = 2
)

// serveLocal sends the request to endpoints of the local zone. It returns nil
// once the response to the caller has been written.
func (cl *call) serveLocal(ctx context.Context) *codes.Error {
	if er := cl.admit(ctx); er != nil {
		return er
	}
	if er := cl.claimKey(ctx); er != nil {
		return er
	}
	var tried []string
	var last *codes.Error
	for {
		choice, pool := cl.sv.pick(tried)
		ch, ok := choice.(route.Chosen)
		if !ok {
			if cl.waitForSlot(ctx, choice) {
				continue
			}
			return cl.noEndpointError(ctx, choice, last)
		}
		if !cl.startAttempt() {
			cl.sv.endAttempt(ch.Endpoint.Name, route.Inconclusive{})
			return last
		}
		fa := cl.attempt(ctx, ch, pool)
		if fa == nil {
			return nil
		}
		cl.lackedSlot = fa.Cause == relay.CauseNoFreeSlot
		if !cl.lackedSlot {
			cl.failedAttempts++
			tried = append(tried, ch.Endpoint.Name)
		}
		last = codes.New(fa.Code, "endpoint %s: %v", ch.Endpoint.Name, fa)
		if !cl.mayRetry(fa) {
			return last
		}
	}
}

// waitForSlot waits for slotPollInterval if endpoints were skipped because they
// have no free slot, and then reports true: the endpoint is to be chosen again.
// It reports false if no endpoint was skipped for that reason, if the request has
// been in progress for longer than the queue time, or if ctx ends.
func (cl *call) waitForSlot(ctx context.Context, choice route.Choice) bool {
	none, ok := choice.(route.None)
	if !ok || none.Rejections.Full == 0 || time.Since(cl.began) > cl.sr.cfg.Limits.QueueTime {
		return false
	}
	timer := time.NewTimer(slotPollInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// startAttempt reports whether another attempt may be made, by maxAttempts and
// the retry budget, and counts it if so. An attempt after one that found no free
// slot continues the wait for one, which the queue time limits, and is no retry.
func (cl *call) startAttempt() bool {
	switch {
	case cl.attempts == 0:
		cl.sv.depositRetry()
	case cl.lackedSlot:
	case cl.failedAttempts >= maxAttempts || !cl.sv.withdrawRetry():
		return false
	default:
		cl.sr.metrics.countRetry(cl.service)
	}
	cl.attempts++
	return true
}

// mayRetry reports whether the request may be sent again after a failed attempt.
func (cl *call) mayRetry(fa *relay.Failure) bool {
	if fa.Cause == relay.CauseCallerDisconnected || fa.Cause == relay.CauseDeadline {
		return false
	}
	return route.MayRetry(route.AttemptResult{NotRun: fa.Code.Class() == codes.NotRun, ResponseStarted: cl.responseStarted}, cl.repeatable)
}

// noEndpointError logs that no endpoint can be chosen, and returns the error for
// it. If there was an attempt, its error takes precedence, since it is more
// specific.
func (cl *call) noEndpointError(ctx context.Context, choice route.Choice, last *codes.Error) *codes.Error {
	none, ok := choice.(route.None)
	if !ok {
		return codes.New(codes.InternalFailure, "choice %T", choice)
	}
	cl.logRoute(routeLog{zone: cl.sr.cfg.Zone, candidates: none.Candidates, rejections: none.Rejections.String(), code: codes.NoEndpoint})
	switch {
	case last != nil:
		return last
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return codes.New(codes.DeadlinePassed, "the deadline passed while no endpoint had a free slot")
	case ctx.Err() != nil:
		return codes.New(codes.CallerGone, "")
	case none.Rejections.Full > 0:
		return codes.New(codes.EndpointBusy, "no endpoint has a free slot: %s", none.Rejections)
	default:
		return codes.New(codes.NoEndpoint, "no endpoint is usable: %s", none.Rejections)
	}
}

// attempt sends the request to one endpoint. It returns nil once the response
// to the caller has been written, and panics with http.ErrAbortHandler if it
// failed while the response was being written.
func (cl *call) attempt(ctx context.Context, ch route.Chosen, pool *relay.Pool) *relay.Failure {
	start := time.Now()
	rp, fa := exchange(ctx, pool, cl.request(ctx))
	if fa == nil {
		rp.code = codes.RequestDone
		if rp.response.Status >= http.StatusInternalServerError {
			rp.code = codes.EndpointError
		}
		fa = cl.stream(rp)
	}
	obs := []route.Observation{cl.observation(rp, fa, time.Since(start))}
	if rp.response != nil && rp.response.Draining {
		obs = append(obs, route.Draining{})
	}
	cl.sv.endAttempt(ch.Endpoint.Name, obs...)
	cl.logRoute(routeLog{
		endpoint: ch.Endpoint.Name, zone: cl.sr.cfg.Zone, candidates: ch.Candidates, rejections: ch.Rejections.String(), borrowed: ch.Borrowed,
		code: codeOf(rp, fa), cause: causeOf(fa), duration: time.Since(start),
	})
	return cl.finishAttempt(rp, fa)
}

// request returns the request to an endpoint or to another entry host.
func (cl *call) request(ctx context.Context) relay.Request {
	hd := cl.r.Header.Clone()
	if deadline, ok := ctx.Deadline(); ok {
		hd.Set(client.HeaderTimeout, max(time.Until(deadline), time.Millisecond).String())
	}
	return relay.Request{
		ID: cl.id, Method: cl.r.Method, Target: cl.target, Host: cl.r.Host,
		Header: hd, Body: cl.body, Repeatable: cl.repeatable,
	}
}

// observation returns what an attempt has shown about the endpoint.
func (cl *call) observation(rp upstreamResponse, fa *relay.Failure, took time.Duration) route.Observation {
	if fa == nil {
		return route.Response{ServerError: rp.response.Status >= http.StatusInternalServerError}
	}
	switch fa.Cause {
	case relay.CauseDial:
		return route.Unreachable{}
	case relay.CauseNoFreeSlot:
		return route.NoFreeSlot{}
	case relay.CauseDraining:
		return route.Draining{}
	case relay.CauseNoResponse, relay.CauseTruncated, relay.CauseMismatch:
		return route.Failed{}
	case relay.CauseDeadline:
		if fa.Code.Class() != codes.NotRun && took >= cl.sd.Timeout/hangDivisor {
			return route.Failed{}
		}
	}
	return route.Inconclusive{}
}

// routeLog holds the attributes of the log line of one routing decision.
type routeLog struct {
	endpoint   string
	zone       string
	candidates int
	rejections string
	borrowed   bool // the slot is borrowed from another host
	code       codes.Code
	cause      string
	duration   time.Duration
}

// logRoute logs a routing decision and the outcome of the attempt.
func (cl *call) logRoute(rl routeLog) {
	cl.sr.cfg.Log.LogAttrs(context.Background(), slog.LevelInfo, "request routed",
		slog.String("event", "route"), slog.String("request", cl.id),
		slog.String("workspace", cl.workspace), slog.String("service", cl.service),
		slog.String("endpoint", rl.endpoint), slog.String("zone", rl.zone),
		slog.Int("attempt", cl.attempts), slog.Int("candidates", rl.candidates), slog.String("rejected", rl.rejections), slog.Bool("borrowed", rl.borrowed),
		slog.Int("code", int(rl.code)), slog.String("cause", rl.cause), slog.Duration("duration", rl.duration))
}
