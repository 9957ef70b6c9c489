package relay

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/plat"
)

// Health is what a probe has found out about an endpoint.
type Health struct {
	Reachable bool
	Stated    bool // the endpoint said where it stands
	Leaving   bool

	unresponsive bool // the connection took the probe and gave no answer
}

// probeAfter is how long ago an idle connection has answered when it is
// probed.
const probeAfter = 400 * time.Millisecond

// Probe asks the endpoint on each idle connection that has not answered
// lately and closes those that stay silent. If none answers, it asks on a new
// connection, which decides. If one works where another was silent, those that
// keep a request that may be repeated waiting are closed, too.
func (po *Pool) Probe(ctx context.Context) Health {
	links := po.takeForProbe(time.Now())
	results := make([]Health, len(links))
	var wg sync.WaitGroup
	for i, li := range links {
		wg.Go(func() { results[i] = po.probe(ctx, li) })
	}
	wg.Wait()
	begin := time.Now()
	var he Health
	unresponsive := false
	for _, rs := range results {
		unresponsive = unresponsive || rs.unresponsive
		if rs.Reachable {
			he = rs
		}
	}
	if !he.Reachable {
		he = po.probeFresh(ctx)
	}
	if unresponsive && he.Reachable {
		po.closeUnresponsive(begin.Add(-po.cfg.ProbeTimeout))
	}
	return he
}

// probeFresh sends a probe on a connection that has just answered, or a new one.
func (po *Pool) probeFresh(ctx context.Context) Health {
	li, fa := po.acquire(ctx, probeAfter)
	if fa != nil {
		// With every connection busy there is no doubt to be settled.
		return Health{Reachable: fa.Cause == CauseConnections}
	}
	return po.probe(ctx, li)
}

// takeForProbe takes the idle connections that are to be probed and closes those
// that no request has used for long, but for one.
func (po *Pool) takeForProbe(now time.Time) []*link {
	po.mu.Lock()
	var stale, fresh, unused []*link
	for i, li := range po.idle {
		last := i == len(po.idle)-1
		switch {
		case now.Sub(li.lastRequest) > po.cfg.IdleFor && !last:
			unused = append(unused, li)
		case now.Sub(li.lastResponse) >= probeAfter:
			stale = append(stale, li)
		default:
			fresh = append(fresh, li)
		}
	}
	po.idle = fresh
	po.mu.Unlock()
	for _, li := range unused {
		po.discard(li)
	}
	return stale
}

// probe sends a probe on a connection that it owns.
func (po *Pool) probe(ctx context.Context, li *link) Health {
	ctx, cancel := context.WithTimeout(ctx, po.cfg.ProbeTimeout)
	defer cancel()
	an, fa := po.exchange(ctx, li, Request{
		ID: "probe", Method: http.MethodGet, Target: plat.ProbePath, Host: po.cfg.Address,
		Header: http.Header{}, Repeatable: true,
	})
	if fa != nil {
		return Health{unresponsive: fa.Cause == CauseDeadline}
	}
	defer an.Close()
	if _, err := io.Copy(io.Discard, an); err != nil {
		return Health{}
	}
	return Health{Reachable: an.Status == http.StatusOK, Stated: an.Stated, Leaving: an.Leaving}
}
