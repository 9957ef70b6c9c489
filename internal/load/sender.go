package load

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/fakes/epsim"
	"github.com/cicadawharf/cicadawharf/pkg/client"
	"github.com/cicadawharf/cicadawharf/pkg/codes"
)

type (
	// sender sends the requests of a run.
	sender struct {
		cfg         Config
		transport   *http.Transport
		nextAddress atomic.Uint64
	}

	// outcome is the result of one request.
	outcome struct {
		code       codes.Code // zero if the response had none
		class      codes.Class
		latency    time.Duration // since the time at which the request was due
		retryAfter time.Duration
	}
)

func newSender(cfg Config) *sender {
	return &sender{cfg: cfg, transport: &http.Transport{
		MaxIdleConnsPerHost: cfg.Concurrency, DisableCompression: true,
	}}
}

func (se *sender) close() { se.transport.CloseIdleConnections() }

// send sends a request and returns its outcome, with the latency since it was due.
func (se *sender) send(ctx context.Context, ar arrival) outcome {
	oc := se.exchange(ctx, se.cfg.Classes[ar.class])
	oc.latency = time.Since(ar.due)
	return oc
}

// exchange sends a request to the next entry host. If the response is missing
// or incomplete, the outcome is unknown, since the request may have run. If the
// connection can't be opened, the request has not run. It does not set the
// latency.
func (se *sender) exchange(ctx context.Context, cl Class) outcome {
	unknown := outcome{class: codes.Unknown}
	address := se.cfg.Addresses[(se.nextAddress.Add(1)-1)%uint64(len(se.cfg.Addresses))]
	url := "http://" + address + "/v1/services/" + se.cfg.Service + se.cfg.Path
	rq, err := http.NewRequestWithContext(ctx, http.MethodPost, url, http.NoBody)
	if err != nil {
		return outcome{class: codes.NotRun}
	}
	cl.setHeaders(rq.Header)
	rp, err := se.transport.RoundTrip(rq)
	if err != nil {
		var oe *net.OpError
		if errors.As(err, &oe) && oe.Op == "dial" {
			return outcome{class: codes.NotRun}
		}
		return unknown
	}
	defer rp.Body.Close()
	if _, err := io.Copy(io.Discard, rp.Body); err != nil {
		return unknown
	}
	if se.cfg.Plain {
		if rp.StatusCode >= http.StatusBadRequest {
			return outcome{class: codes.Failed}
		}
		return outcome{class: codes.Done}
	}
	return readOutcome(rp.Header)
}

// readOutcome returns the outcome by the headers of a complete response. It is
// unknown if they have no known result code.
func readOutcome(hd http.Header) outcome {
	number, err := strconv.Atoi(hd.Get(client.HeaderCode))
	if _, known := codes.Lookup(codes.Code(number)); err != nil || !known {
		return outcome{class: codes.Unknown}
	}
	oc := outcome{code: codes.Code(number)}
	oc.class = oc.code.Class()
	if millis, err := strconv.ParseInt(hd.Get(client.HeaderRetryAfter), 10, 64); err == nil {
		oc.retryAfter = time.Duration(millis) * time.Millisecond
	}
	return oc
}

func (cl Class) setHeaders(hd http.Header) {
	hd.Set(client.HeaderWorkspace, cl.Workspace)
	hd.Set(client.HeaderCaller, cl.Caller)
	if cl.Priority != "" {
		hd.Set(client.HeaderPriority, cl.Priority)
	}
	if cl.Repeatable != nil {
		hd.Set(client.HeaderRepeatable, strconv.FormatBool(*cl.Repeatable))
	}
	if cl.Delay > 0 {
		hd.Set(epsim.HeaderDelay, cl.Delay.String())
	}
}
