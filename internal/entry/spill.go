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

// hopConnections bounds the streams to one entry host of another zone.
const maxHopConnections = 1024

// emptyTime is how long a zone without endpoints is not asked again.
const emptyZoneRetry = time.Second

// serveElsewhere passes the request to entry hosts of other zones, as the
// service permits. It returns nil once the answer to the caller has been
// written, and last if there is nobody to ask.
func (cl *call) serveRemote(ctx context.Context, last *codes.Error) *codes.Error {
	hops := cl.spillHops()
	if len(hops) == 0 {
		return last
	}
	if er := cl.claimKey(ctx); er != nil {
		return er
	}
	for _, hop := range hops {
		if !cl.startAttempt() {
			return last
		}
		er, fa := cl.attemptHop(ctx, hop, len(hops))
		switch {
		case er == nil && fa == nil:
			return nil
		case fa != nil:
			last = codes.New(fa.Code, "entry host %s: %v", hop.Host, fa)
			if !cl.mayRetry(fa) {
				return last
			}
		default:
			last = er
			if er.Code == codes.NoEndpoint {
				cl.sv.markEmpty(time.Now(), hop.Zone)
			}
			if er.Code.Class() != codes.NotRun {
				return last
			}
		}
	}
	return last
}

func (cl *call) spillHops() []route.Hop {
	if cl.sr.cfg.SpillDial == nil {
		return nil
	}
	rule, zones := cl.sv.spillZones(time.Now())
	cl.sr.mu.Lock()
	defer cl.sr.mu.Unlock()
	return route.SpillHops(rule, cl.sr.cfg.Region, zones, cl.sr.rnd)
}

// spillZones returns the rule and the zones that may have an endpoint.
func (sv *service) spillZones(now time.Time) (spec.Spill, []route.Zone) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	var zones []route.Zone
	for _, zn := range sv.zones {
		if now.After(sv.emptyUntil[zn.Name]) {
			zones = append(zones, zn)
		}
	}
	return sv.spillRule, zones
}

// noteEmpty leaves a zone out for a while that has said that it has no
// endpoint, so that not every request spends a repetition on asking it.
func (sv *service) markEmpty(now time.Time, zone string) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.emptyUntil[zone] = now.Add(emptyZoneRetry)
}

// attemptHop passes the request to one entry host. It returns the code that
// the host gave of itself, or the failure to reach it.
func (cl *call) attemptHop(ctx context.Context, hop route.Hop, of int) (*codes.Error, *relay.Failure) {
	from := time.Now()
	rq := cl.request(ctx)
	rq.Header.Set(headerHop, cl.sr.cfg.Zone)
	rq.Header.Set(client.HeaderRepeatable, strconv.FormatBool(cl.repeatable))
	rq.Target = pathServices + cl.sd.Name + cl.target
	rp, fa := exchange(ctx, cl.sr.hopPool(hop.Host), rq)
	var er *codes.Error
	if fa == nil {
		rp.code, er = hopOutcome(rp)
	}
	if fa == nil && er == nil {
		fa = cl.stream(rp)
	}
	cl.accountHop(hop, rq, rp, time.Since(from))
	line := routeLog{
		endpoint: hop.Host, zone: hop.Zone, of: of, losers: "none",
		code: outcomeOf(rp, fa), cause: causeOf(fa), duration: time.Since(from),
	}
	cl.logRoute(line)
	if er != nil {
		rp.answer.Close()
		return er, nil
	}
	return nil, cl.finishAttempt(rp, fa)
}

// countHop enters the slot time and the bytes of a request passed on.
func (cl *call) accountHop(hop route.Hop, rq relay.Request, rp reply, took time.Duration) {
	if rp.answer == nil {
		return
	}
	cl.outcome.SlotTime += took
	if hop.Region == cl.sr.cfg.Region {
		return
	}
	count := int64(headerBytes(cl.r)+len(rq.Body)) + rp.answer.Received()
	cl.outcome.RegionBytes += count
	cl.sr.metrics.countRegionBytes(cl.workspace, count)
}

// hopOutcome returns the code that another entry host gave: as an error if
// that host speaks for itself, and not for an endpoint.
func hopOutcome(rp reply) (codes.Code, *codes.Error) {
	number, err := strconv.Atoi(rp.answer.Header.Get(client.HeaderCode))
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

// hopPool returns the connections to the spill listener of another host.
func (sr *Server) hopPool(host string) *relay.Pool {
	sr.mu.Lock()
	defer sr.mu.Unlock()
	po, ok := sr.hopPools[host]
	if !ok {
		po = relay.NewPool(relay.Config{
			Address: host, Connections: maxHopConnections, DialTimeout: hopDialTimeout,
			Dial: func(ctx context.Context, address string) (net.Conn, error) {
				return sr.cfg.SpillDial(ctx, address)
			},
		})
		sr.hopPools[host] = po
	}
	return po
}

// hopDialTimeout leaves time for a round trip between regions.
const hopDialTimeout = time.Second

// dropHops closes the connections to hosts that are gone. The lock is held.
func (sr *Server) closeDeadHopPools(members []peers.Member) {
	alive := make(map[string]bool, len(members))
	for _, me := range members {
		alive[me.Name] = me.Alive
	}
	for host, po := range sr.hopPools {
		if !alive[host] {
			po.Close()
			delete(sr.hopPools, host)
		}
	}
}

// spillRoutes returns the handler of requests passed on by other zones.
func (sr *Server) spillRoutes() http.Handler {
	rt := newRouter(sr)
	handleServices(rt, sr.serveForwarded)
	return rt
}
