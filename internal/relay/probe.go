package relay

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/plat"
)

// ProbeResult is the result of a probe of an endpoint.
type ProbeResult struct {
	Reachable bool // a probe got the status OK, or every connection is in use
	HasState  bool // the response gave the endpoint's state
	Draining  bool // the endpoint is draining

	unresponsive bool // no response to the probe arrived in time
}

// probeAfter is the time since its last response after which an idle connection
// is probed.
const probeAfter = 400 * time.Millisecond

// Probe probes each idle connection without a recent response and closes those
// that don't respond. If none responds, the result is that of a probe on a new
// connection. If a probe times out although the endpoint is reachable,
// connections with a repeatable request in flight that have received nothing
// for Config.ProbeTimeout are closed, too.
func (po *Pool) Probe(ctx context.Context) ProbeResult {
	conns := po.takeForProbe(time.Now())
	results := make([]ProbeResult, len(conns))
	var wg sync.WaitGroup
	for i, cc := range conns {
		wg.Go(func() { results[i] = po.probe(ctx, cc) })
	}
	wg.Wait()
	begin := time.Now()
	var pr ProbeResult
	unresponsive := false
	for _, rs := range results {
		unresponsive = unresponsive || rs.unresponsive
		if rs.Reachable {
			pr = rs
		}
	}
	if !pr.Reachable {
		pr = po.probeFresh(ctx)
	}
	if unresponsive && pr.Reachable {
		po.closeUnresponsive(begin.Add(-po.cfg.ProbeTimeout))
	}
	return pr
}

// probeFresh sends a probe on a connection with a recent response, or on a new
// one.
func (po *Pool) probeFresh(ctx context.Context) ProbeResult {
	cc, fa := po.acquire(ctx, probeAfter)
	if fa != nil {
		// If every connection is in use, there is none to probe, and the endpoint
		// is taken to be reachable.
		return ProbeResult{Reachable: fa.Cause == CauseConnections}
	}
	return po.probe(ctx, cc)
}

// takeForProbe removes the idle connections without a recent response from the
// pool and returns them. It closes those without a request for
// Config.IdleTimeout, except the most recently used one.
func (po *Pool) takeForProbe(now time.Time) []*clientConn {
	po.mu.Lock()
	var toProbe, fresh, unused []*clientConn
	for i, cc := range po.idle {
		last := i == len(po.idle)-1
		switch {
		case now.Sub(cc.lastRequest) > po.cfg.IdleTimeout && !last:
			unused = append(unused, cc)
		case now.Sub(cc.lastResponse) >= probeAfter:
			toProbe = append(toProbe, cc)
		default:
			fresh = append(fresh, cc)
		}
	}
	po.idle = fresh
	po.mu.Unlock()
	for _, cc := range unused {
		po.discard(cc)
	}
	return toProbe
}

// probe sends a probe on a connection that acquire or takeForProbe has taken out
// of the pool.
func (po *Pool) probe(ctx context.Context, cc *clientConn) ProbeResult {
	ctx, cancel := context.WithTimeout(ctx, po.cfg.ProbeTimeout)
	defer cancel()
	re, fa := po.exchange(ctx, cc, Request{
		ID: "probe", Method: http.MethodGet, Target: plat.ProbePath, Host: po.cfg.Address,
		Header: http.Header{}, Repeatable: true,
	})
	if fa != nil {
		return ProbeResult{unresponsive: fa.Cause == CauseDeadline}
	}
	defer re.Close()
	if _, err := io.Copy(io.Discard, re); err != nil {
		return ProbeResult{}
	}
	return ProbeResult{Reachable: re.Status == http.StatusOK, HasState: re.HasState, Draining: re.Draining}
}
