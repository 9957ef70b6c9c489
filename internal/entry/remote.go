package entry

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/peers"
	"github.com/cicadawharf/cicadawharf/internal/relay"
	"github.com/cicadawharf/cicadawharf/internal/route"
	"github.com/cicadawharf/cicadawharf/pkg/client"
	"github.com/cicadawharf/cicadawharf/pkg/codes"
	"github.com/cicadawharf/cicadawharf/pkg/spec"
)

// maxForwardConnections limits the connections to one entry host of another
// zone.
const maxForwardConnections = 1024

// forwardPause is the time for which no request is forwarded to a zone after
// one of its entry hosts has responded that no endpoint is usable.
const forwardPause = time.Second

// serveRemote forwards the request to entry hosts of other zones, as far as the
// service permits it. It returns nil once the response to the caller has been
// written. Otherwise, it returns the error of the claim or of the last attempt, or
// last if there was neither.
func (cl *call) serveRemote(ctx context.Context, last *codes.Error) *codes.Error {
	targets := cl.forwardTargets()
	if len(targets) == 0 {
		return last
	}
	if er := cl.claimKey(ctx); er != nil {
		return er
	}
	for _, ft := range targets {
		if !cl.startAttempt() {
			return last
		}
		er, fa := cl.attemptForward(ctx, ft, len(targets))
		switch {
		case er == nil && fa == nil:
			return nil
		case fa != nil:
			last = codes.New(fa.Code, "entry host %s: %v", ft.Host, fa)
			if !cl.mayRetry(fa) {
				return last
			}
		default:
			last = er
			if er.Code == codes.NoEndpoint {
				cl.sv.pauseForwarding(time.Now(), ft.Zone)
			}
			if er.Code.Class() != codes.NotRun {
				return last
			}
		}
	}
	return last
}

// forwardTargets returns the entry hosts to forward to, in order.
func (cl *call) forwardTargets() []route.ForwardTarget {
	if cl.sr.cfg.ForwardDial == nil {
		return nil
	}
	rule, zones := cl.sv.forwardZones(time.Now())
	cl.sr.mu.Lock()
	defer cl.sr.mu.Unlock()
	return route.ForwardTargets(rule, cl.sr.cfg.Region, zones, cl.sr.rnd)
}

// forwardZones returns the spill rule and the zones that may have a usable
// endpoint.
func (sv *service) forwardZones(now time.Time) (spec.Spill, []route.ForwardZone) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	var zones []route.ForwardZone
	for _, zn := range sv.zones {
		if now.After(sv.forwardAfter[zn.Name]) {
			zones = append(zones, zn)
		}
	}
	return sv.spillRule, zones
}

// pauseForwarding excludes a zone from forwarding for forwardPause, so that not
// every request spends a retry on a zone without a usable endpoint.
func (sv *service) pauseForwarding(now time.Time, zone string) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.forwardAfter[zone] = now.Add(forwardPause)
}

// attemptForward forwards the request to one entry host. It returns the error
// that the host itself gave, or the failure to get its response. Both are nil
// once the response to the caller has been written.
func (cl *call) attemptForward(ctx context.Context, ft route.ForwardTarget, candidates int) (*codes.Error, *relay.Failure) {
	start := time.Now()
	rq := cl.request(ctx)
	rq.Header.Set(headerHop, cl.sr.cfg.Zone)
	rq.Header.Set(client.HeaderRepeatable, strconv.FormatBool(cl.repeatable))
	rq.Target = pathServices + cl.sd.Name + cl.target
	rp, fa := exchange(ctx, cl.sr.forwardPool(ft.Host), rq)
	var er *codes.Error
	if fa == nil {
		rp.code, er = forwardOutcome(rp)
	}
	if fa == nil && er == nil {
		fa = cl.stream(rp)
	}
	cl.accountForward(ft, rq, rp, time.Since(start))
	line := routeLog{
		endpoint: ft.Host, zone: ft.Zone, candidates: candidates, rejections: "none",
		code: codeOf(rp, fa), cause: causeOf(fa), duration: time.Since(start),
	}
	cl.logRoute(line)
	if er != nil {
		rp.response.Close()
		return er, nil
	}
	return nil, cl.finishAttempt(rp, fa)
}

// accountForward accounts for the slot time and the bytes between regions of a
// forwarded request.
func (cl *call) accountForward(ft route.ForwardTarget, rq relay.Request, rp upstreamResponse, took time.Duration) {
	if rp.response == nil {
		return
	}
	cl.outcome.SlotTime += took
	if ft.Region == cl.sr.cfg.Region {
		return
	}
	count := int64(headerBytes(cl.r)+len(rq.Body)) + rp.response.Received()
	cl.outcome.RegionBytes += count
	cl.sr.metrics.countRegionBytes(cl.workspace, count)
}

// forwardOutcome returns the code that another entry host gave. It also returns
// it as an error if the code comes from that host and not from an endpoint. The
// code is OutcomeUnknown if the response has no known one.
func forwardOutcome(rp upstreamResponse) (codes.Code, *codes.Error) {
	number, err := strconv.Atoi(rp.response.Header.Get(client.HeaderCode))
	cd := codes.Code(number)
	if _, known := codes.Lookup(cd); err != nil || !known {
		return codes.OutcomeUnknown, codes.New(codes.OutcomeUnknown, "the other entry host gave no code")
	}
	if cd == codes.RequestDone || cd == codes.EndpointError {
		return cd, nil
	}
	var an client.Answer
	if json.Unmarshal(rp.body, &an) != nil {
		return cd, codes.New(cd, "")
	}
	return cd, codes.New(cd, "%s", an.Detail).WithRetryAfter(time.Duration(an.RetryAfterMillis) * time.Millisecond)
}

// forwardPool returns the connections to the ForwardListener of another entry
// host.
func (sr *Server) forwardPool(host string) *relay.Pool {
	sr.mu.Lock()
	defer sr.mu.Unlock()
	po, ok := sr.forwardPools[host]
	if !ok {
		po = relay.NewPool(relay.Config{
			Address: host, Connections: maxForwardConnections, DialTimeout: forwardDialTimeout,
			Dial: func(ctx context.Context, address string) (net.Conn, error) {
				return sr.cfg.ForwardDial(ctx, address)
			},
		})
		sr.forwardPools[host] = po
	}
	return po
}

// forwardDialTimeout allows for the round-trip time between regions.
const forwardDialTimeout = time.Second

// closeDeadForwardPools closes the connections to hosts that are no longer alive.
// mu must be held.
func (sr *Server) closeDeadForwardPools(members []peers.Member) {
	alive := make(map[string]bool, len(members))
	for _, me := range members {
		alive[me.Name] = me.Alive
	}
	for host, po := range sr.forwardPools {
		if !alive[host] {
			po.Close()
			delete(sr.forwardPools, host)
		}
	}
}

// forwardRoutes returns the handler of requests forwarded by other zones.
func (sr *Server) forwardRoutes() http.Handler {
	rt := newRouter(sr)
	handleServices(rt, sr.serveForwarded)
	return rt
}
