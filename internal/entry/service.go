package entry

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/admit"
	"github.com/cicadawharf/cicadawharf/internal/peers"
	"github.com/cicadawharf/cicadawharf/internal/plat"
	"github.com/cicadawharf/cicadawharf/internal/relay"
	"github.com/cicadawharf/cicadawharf/internal/route"
	"github.com/cicadawharf/cicadawharf/pkg/codes"
	"github.com/cicadawharf/cicadawharf/pkg/spec"
)

type (
	// service holds the admission controller, the routing table and the connections
	// of one service.
	service struct {
		name string

		mu           sync.Mutex
		admission    *admit.Controller
		table        *route.Table
		budget       *route.RetryBudget
		waiters      map[uint64]chan admit.Decision
		lastRequest  uint64               // ID of the last request for a slot
		upstreams    map[string]*upstream // by endpoint
		spillRule    spec.Spill
		zones        []route.ForwardZone  // other zones with ready entry hosts
		forwardAfter map[string]time.Time // by zone that had no usable endpoint: no request is forwarded to it before this time
	}

	// upstream holds the connections to one endpoint.
	upstream struct {
		address    string
		pool       *relay.Pool
		probing    atomic.Bool // a probe is in progress
		lastUsed   time.Time   // when it was last chosen for a request
		lastProbed time.Time
	}

	// zoneView is the input of one refresh, which is the same for all services.
	zoneView struct {
		declarations *spec.Declarations
		endpoints    []plat.Host
		draining     map[string]bool     // endpoints that are shutting down, according to other hosts
		hosts        []string            // other entry hosts of the local zone that are alive and not draining
		zones        []route.ForwardZone // other zones with ready entry hosts
	}
)

// queueDivisor limits the queue of one service as a fraction of
// Limits.Requests.
const queueDivisor = 2

const (
	idleAfter         = 15 * time.Second // an endpoint counts as idle this long after its last request
	idleProbeInterval = 2 * time.Second  // between probes of an idle endpoint
)

func newService(cfg Config, name string) *service {
	return &service{
		name: name,
		admission: admit.New(admit.Config{
			MaxQueue:  max(cfg.Limits.Requests/queueDivisor, 1),
			QueueTime: cfg.Limits.QueueTime,
			Seed:      cfg.Seed,
		}),
		table:        route.New(route.Config{Host: cfg.Host, Seed: cfg.Seed}),
		budget:       route.NewRetryBudget(),
		waiters:      make(map[uint64]chan admit.Decision),
		upstreams:    make(map[string]*upstream),
		forwardAfter: make(map[string]time.Time),
	}
}

// newZoneView returns the declarations, the endpoints of the local zone, and the
// entry hosts among the members that are alive and not draining, without this
// host. Those of other zones must also be ready.
func newZoneView(cfg Config, de *spec.Declarations, members []peers.Member) zoneView {
	vw := zoneView{declarations: de, draining: make(map[string]bool)}
	if cfg.Endpoints != nil {
		vw.endpoints = cfg.Endpoints()
	}
	if cfg.PeerDraining != nil {
		for _, name := range cfg.PeerDraining() {
			vw.draining[name] = true
		}
	}
	others := make(map[string][]string)
	for _, me := range members {
		switch {
		case !me.Alive || me.Draining || me.Name == cfg.Host:
		case me.Zone == cfg.Zone:
			vw.hosts = append(vw.hosts, me.Name)
		case me.Ready:
			others[me.Zone] = append(others[me.Zone], me.Name)
		}
	}
	for _, zn := range de.Zones {
		if hosts := others[zn.Name]; len(hosts) > 0 {
			vw.zones = append(vw.zones, route.ForwardZone{Name: zn.Name, Region: zn.Region, Hosts: hosts})
		}
	}
	return vw
}

// refresh applies the declaration of the service and the current endpoints and
// hosts, and expires queued requests.
func (sv *service) refresh(now time.Time, sd spec.Service, vw zoneView) {
	var endpoints []route.Endpoint
	for _, ph := range vw.endpoints {
		if ph.Service == sd.Name {
			endpoints = append(endpoints, route.Endpoint{
				Name: ph.Name, Address: ph.Address, Slots: sd.Slots, Connections: sd.Connections,
				Draining: ph.State == plat.StateDraining || vw.draining[ph.Name],
			})
		}
	}
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.spillRule, sv.zones = sd.Spill, vw.zones
	sv.table.Update(endpoints, vw.hosts)
	sv.updateUpstreams(endpoints)
	sv.table.AdjustBorrowing(now, sv.admission.QueueLength())
	sv.admission.SetShares(sv.shares(now, vw.declarations))
	sv.updateCapacity(now)
	sv.deliver(sv.admission.Expire(now))
}

// shares returns the shares of the workspaces on this host. The slots guaranteed
// in the zone are scaled by the fraction of the zone's slots that this host owns
// and can use. mu must be held.
func (sv *service) shares(now time.Time, de *spec.Declarations) []admit.Share {
	usableFraction := 0.0
	if all := sv.table.TotalSlots(); all > 0 {
		usableFraction = float64(sv.table.UsableSlots(now)) / float64(all)
	}
	var shares []admit.Share
	for _, ws := range de.Workspaces {
		if us, ok := ws.Use(sv.name); ok {
			shares = append(shares, admit.Share{Workspace: ws.Name, Slots: usableFraction * float64(us.Slots), Weight: ws.Weight})
		}
	}
	return shares
}

// updateUpstreams creates the connection pools of new endpoints, and closes those
// of endpoints that were removed or have another address. mu must be held.
func (sv *service) updateUpstreams(endpoints []route.Endpoint) {
	kept := make(map[string]*upstream, len(endpoints))
	for _, ep := range endpoints {
		up, ok := sv.upstreams[ep.Name]
		if !ok || up.address != ep.Address {
			up = &upstream{address: ep.Address, pool: relay.NewPool(relay.Config{Address: ep.Address})}
		} else {
			delete(sv.upstreams, ep.Name)
		}
		up.pool.SetConnections(sv.table.ConnectionLimit(ep.Name))
		kept[ep.Name] = up
	}
	for _, up := range sv.upstreams {
		up.pool.Close()
	}
	sv.upstreams = kept
}

func (sv *service) close() {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	for _, up := range sv.upstreams {
		up.pool.Close()
	}
}

func (sv *service) drainingEndpoints() []string {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return sv.table.DrainingNames()
}

// usableSlots returns the number of slots at endpoints that take new requests.
func (sv *service) usableSlots(now time.Time) int {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return sv.table.UsableSlots(now)
}

// admit waits for a slot, which releaseSlot returns.
func (sv *service) admit(ctx context.Context, rq admit.Request) (admit.Admitted, *codes.Error) {
	sv.mu.Lock()
	sv.lastRequest++
	rq.ID = sv.lastRequest
	ds := sv.admission.Offer(time.Now(), rq)
	var decided chan admit.Decision
	if _, ok := ds[0].(admit.Queued); ok {
		decided = make(chan admit.Decision, 1)
		sv.waiters[rq.ID] = decided
	}
	sv.deliver(ds[1:])
	sv.mu.Unlock()
	switch de := ds[0].(type) {
	case admit.Queued:
		return sv.await(ctx, de, decided)
	default:
		return finalResult(de)
	}
}

// await waits for the final decision on a queued request.
func (sv *service) await(ctx context.Context, qd admit.Queued, decided chan admit.Decision) (admit.Admitted, *codes.Error) {
	timer := time.NewTimer(time.Until(qd.ExpiresAt))
	defer timer.Stop()
	for {
		select {
		case de := <-decided:
			return finalResult(de)
		case <-timer.C:
			sv.mu.Lock()
			sv.deliver(sv.admission.Expire(time.Now()))
			sv.mu.Unlock()
			timer.Reset(time.Millisecond)
		case <-ctx.Done():
			return sv.cancel(ctx, qd, decided)
		}
	}
}

// cancel removes a queued request whose context has ended. If the request was
// admitted in the meantime, it releases the slot.
func (sv *service) cancel(ctx context.Context, qd admit.Queued, decided chan admit.Decision) (admit.Admitted, *codes.Error) {
	sv.mu.Lock()
	cancelled := sv.admission.Cancel(qd.ID)
	delete(sv.waiters, qd.ID)
	sv.mu.Unlock()
	if !cancelled {
		if de, ok := (<-decided).(admit.Admitted); ok {
			sv.releaseSlot(de)
		}
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return admit.Admitted{}, codes.New(codes.DeadlinePassed, "the deadline passed in the queue")
	}
	return admit.Admitted{}, codes.New(codes.CallerGone, "")
}

// finalResult returns the slot or the error of a final decision.
func finalResult(de admit.Decision) (admit.Admitted, *codes.Error) {
	switch de := de.(type) {
	case admit.Admitted:
		return de, nil
	case admit.Refused:
		return admit.Admitted{}, de.Err
	default:
		return admit.Admitted{}, codes.New(codes.InternalFailure, "decision %T", de)
	}
}

// deliver passes decisions to the waiting requests. mu must be held.
func (sv *service) deliver(ds []admit.Decision) {
	for _, de := range ds {
		id := de.Subject().ID
		if decided, ok := sv.waiters[id]; ok {
			decided <- de
			delete(sv.waiters, id)
		}
	}
}

// releaseSlot returns the slot of an admitted request.
func (sv *service) releaseSlot(ad admit.Admitted) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.deliver(sv.admission.Release(time.Now(), ad.ID))
}

// updateCapacity passes the number of usable slots to admission. mu must be
// held.
func (sv *service) updateCapacity(now time.Time) {
	if slots := sv.table.Capacity(now); slots != sv.admission.Capacity() {
		sv.deliver(sv.admission.Resize(now, slots))
	}
}

// pick chooses the endpoint of an attempt. endAttempt must be called for each
// chosen endpoint.
func (sv *service) pick(tried []string) (route.Choice, *relay.Pool) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	now := time.Now()
	choice := sv.table.Pick(now, tried)
	ch, ok := choice.(route.Chosen)
	if !ok {
		return choice, nil
	}
	up := sv.upstreams[ch.Endpoint.Name]
	up.lastUsed = now
	return ch, up.pool
}

// endAttempt returns the slot at an endpoint and records the observations of
// the attempt, at least one.
func (sv *service) endAttempt(endpoint string, obs ...route.Observation) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	now := time.Now()
	sv.table.Release(now, endpoint, obs[0])
	for _, ob := range obs[1:] {
		sv.table.Observe(now, endpoint, ob)
	}
	sv.updateCapacity(now)
}

// depositRetry adds the share of a first attempt to the retry budget.
func (sv *service) depositRetry() {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.budget.Deposit()
}

// withdrawRetry takes a retry out of the budget and reports whether one was left.
func (sv *service) withdrawRetry() bool {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return sv.budget.TryWithdraw()
}

// probe starts a probe of each endpoint that is due and not being probed.
func (sv *service) probe(ctx context.Context, now time.Time) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	for name, up := range sv.upstreams {
		if !up.isDue(now) {
			continue
		}
		up.lastProbed = now
		if up.probing.CompareAndSwap(false, true) {
			go func() {
				defer up.probing.Store(false)
				sv.recordProbe(ctx, name, up.pool.Probe(ctx))
			}()
		}
	}
}

// isDue reports whether the endpoint is to be probed: on every tick while it is
// in use, and less often while it is idle, to limit the load by probes when
// there are many endpoints.
func (up *upstream) isDue(now time.Time) bool {
	return now.Sub(up.lastUsed) < idleAfter || now.Sub(up.lastProbed) >= idleProbeInterval
}

// recordProbe records the result of a probe.
func (sv *service) recordProbe(ctx context.Context, endpoint string, pr relay.ProbeResult) {
	if ctx.Err() != nil {
		return
	}
	var ob route.Observation = route.Reachable{}
	switch {
	case !pr.Reachable:
		ob = route.Unreachable{}
	case pr.Draining:
		ob = route.Draining{}
	case pr.HasState:
		ob = route.Serving{}
	}
	sv.mu.Lock()
	defer sv.mu.Unlock()
	now := time.Now()
	sv.table.Observe(now, endpoint, ob)
	sv.updateCapacity(now)
}
