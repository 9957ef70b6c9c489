package peers

import (
	"context"
	"log/slog"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/ansel1/merry/v2"

	"github.com/cicadawharf/cicadawharf/internal/pause"
)

type (
	// Config constructs a Mesh. Self and one of Listener and ListenAddress are
	// required; the other fields have defaults.
	Config struct {
		// Self returns the current state of this host. Its name, zone, peer address
		// and incarnation must not change.
		Self func() Member

		Listener      net.Listener // closed by Run
		ListenAddress string       // used if Listener is nil
		Dial          func(ctx context.Context, address string) (net.Conn, error)
		Seeds         []string // peer addresses, never forgotten

		HeartbeatEvery          time.Duration // to hosts of this availability zone
		OtherZoneHeartbeatEvery time.Duration // to hosts of other availability zones
		SuspectAfter            time.Duration // time without heartbeats of a host of this zone
		OtherZoneSuspectAfter   time.Duration // time without heartbeats of a host of another zone
		ForgetAfter             time.Duration // time without heartbeats and without new gossip

		// DrainingEndpoints returns the names of the zone's endpoints that have
		// announced to this host that they are draining. OnDrainingEndpoints receives
		// the names from other hosts of the zone.
		DrainingEndpoints   func() []string
		OnDrainingEndpoints func(names []string)

		// MaxStreams bounds the streams on which other hosts send, on all sessions that
		// they have dialled. Room bounds the bytes of their calls.
		MaxStreams int
		Room       Room

		Log     *slog.Logger
		Metrics *metrics.Set
	}

	// Room reserves room for bytes that have arrived.
	Room interface {
		Reserve(ctx context.Context, bytes int64) error
		Release(bytes int64)
	}

	// noLimit is a Room without a limit.
	noLimit struct{}

	// Mesh holds the sessions of this host with the others. It implements Caller
	// and Registry.
	Mesh struct {
		cfg      Config
		name     string
		zone     string
		http     *httpListener
		sent     *metrics.Counter // bytes written to the connections of sessions
		httpSent *metrics.Counter // bytes written to HTTP streams, which are part of sent

		// gossipPos grows with each heartbeat. A heartbeat lists only some of the
		// living members and of the draining endpoints, and begins at this position
		// modulo their number.
		gossipPos    atomic.Int64
		inboundSlots chan struct{} // one for each session that another host has dialled
		inbound      *inbound      // the sessions that other hosts have dialled

		handlersMu sync.RWMutex
		handlers   map[string]RawHandler // by method

		mu      sync.Mutex      // guards the fields below; never held during I/O
		runCtx  context.Context // of Run; nil before
		stopped bool            // set when Run ends; from then on only running tasks may spawn tasks
		tasks   sync.WaitGroup
		roster  *Roster
		links   map[string][]*link     // confirmed sessions by peer name
		targets map[string]*dialTarget // by address
	}
)

const (
	defaultHeartbeatEvery          = 500 * time.Millisecond
	defaultOtherZoneHeartbeatEvery = 2 * time.Second
	defaultSuspectAfter            = 2 * time.Second
	defaultOtherZoneSuspectAfter   = 8 * time.Second
	defaultForgetAfter             = 10 * time.Minute

	forgetInterval   = time.Second
	maxInbound       = 2048 // sessions that others have dialled
	acceptRetryDelay = 50 * time.Millisecond
	sentMetric       = "cicadawharf_peer_sent_bytes_total"
	httpSentMetric   = "cicadawharf_peer_http_sent_bytes_total"
)

var (
	_ Caller   = (*Mesh)(nil)
	_ Registry = (*Mesh)(nil)
)

// New returns a mesh that is not connected yet.
func New(cfg Config) *Mesh {
	cfg = cfg.withDefaults()
	self := cfg.Self()
	return &Mesh{
		cfg:          cfg,
		name:         self.Name,
		zone:         self.Zone,
		http:         newHTTPListener(self.PeerAddress),
		sent:         cfg.Metrics.GetOrCreateCounter(sentMetric),
		httpSent:     cfg.Metrics.GetOrCreateCounter(httpSentMetric),
		inboundSlots: make(chan struct{}, maxInbound),
		inbound:      newInbound(cfg.MaxStreams),
		handlers:     make(map[string]RawHandler),
		roster: NewRoster(RosterConfig{
			Self: self.Name, Zone: self.Zone,
			SuspectAfter: cfg.SuspectAfter, OtherZoneSuspectAfter: cfg.OtherZoneSuspectAfter,
			ForgetAfter: cfg.ForgetAfter,
		}),
		links:   make(map[string][]*link),
		targets: make(map[string]*dialTarget),
	}
}

// Run accepts and dials sessions until ctx ends, and returns when every session
// is closed. It returns an error if it can't listen or accept. It must be called
// only once.
func (ms *Mesh) Run(ctx context.Context) error {
	ln := ms.cfg.Listener
	if ln == nil {
		var err error
		if ln, err = net.Listen("tcp", ms.cfg.ListenAddress); err != nil {
			return merry.Prepend(err, "peer address")
		}
	}
	runCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	ms.mu.Lock()
	ms.runCtx = runCtx
	for _, ad := range ms.cfg.Seeds {
		ms.addTarget(ad, true)
	}
	ms.mu.Unlock()
	ms.spawn(func() { ms.forgetLoop(runCtx) })
	stop := context.AfterFunc(runCtx, func() { ln.Close() })
	defer stop()
	err := ms.acceptLoop(runCtx, ln)
	cancel()
	ln.Close()
	ms.http.Close()
	ms.mu.Lock()
	ms.stopped = true
	ms.mu.Unlock()
	ms.tasks.Wait()
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// Handle implements Registry.
func (ms *Mesh) Handle(method string, fn RawHandler) {
	ms.handlersMu.Lock()
	defer ms.handlersMu.Unlock()
	ms.handlers[method] = fn
}

// Members returns all known hosts and this one, sorted by name.
func (ms *Mesh) Members(now time.Time) []Member {
	self := ms.cfg.Self()
	self.LastHeard = now
	self.Alive = true
	ms.mu.Lock()
	all := append(ms.roster.Members(now), self)
	ms.mu.Unlock()
	slices.SortFunc(all, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return all
}

// ControlBytes returns the number of bytes sent to other hosts, excluding those
// of HTTP streams.
func (ms *Mesh) ControlBytes() uint64 { return ms.sent.Get() - ms.httpSent.Get() }

// withDefaults returns the configuration with defaults in place of zero values.
func (cfg Config) withDefaults() Config {
	setDefault(&cfg.HeartbeatEvery, defaultHeartbeatEvery)
	setDefault(&cfg.OtherZoneHeartbeatEvery, defaultOtherZoneHeartbeatEvery)
	setDefault(&cfg.SuspectAfter, defaultSuspectAfter)
	setDefault(&cfg.OtherZoneSuspectAfter, defaultOtherZoneSuspectAfter)
	setDefault(&cfg.ForgetAfter, defaultForgetAfter)
	if cfg.Dial == nil {
		var dr net.Dialer
		cfg.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			return dr.DialContext(ctx, "tcp", address)
		}
	}
	if cfg.Log == nil {
		cfg.Log = slog.Default()
	}
	if cfg.Room == nil {
		cfg.Room = noLimit{}
	}
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewSet()
	}
	if cfg.DrainingEndpoints == nil {
		cfg.DrainingEndpoints = func() []string { return nil }
	}
	if cfg.OnDrainingEndpoints == nil {
		cfg.OnDrainingEndpoints = func([]string) {}
	}
	return cfg
}

// Reserve implements Room.
func (noLimit) Reserve(context.Context, int64) error { return nil }

// Release implements Room.
func (noLimit) Release(int64) {}

func setDefault(field *time.Duration, value time.Duration) {
	if *field <= 0 {
		*field = value
	}
}

// spawn runs fn as a task that Run waits for. Once Run waits, only running tasks
// may call it, so that the number of tasks can't reach zero before.
func (ms *Mesh) spawn(fn func()) { ms.tasks.Go(fn) }

func (ms *Mesh) acceptLoop(ctx context.Context, ln net.Listener) error {
	for {
		conn, err := ln.Accept()
		if ctx.Err() != nil {
			if err == nil {
				conn.Close()
			}
			return nil
		}
		if err != nil {
			if !isTemporary(err) {
				return merry.Prepend(err, "accept from peers")
			}
			ms.cfg.Log.Warn("can't accept from peers", "error", err)
			pause.For(ctx, acceptRetryDelay)
			continue
		}
		select {
		case ms.inboundSlots <- struct{}{}:
			ms.spawn(func() {
				defer func() { <-ms.inboundSlots }()
				ms.serveConn(ctx, conn)
			})
		default:
			ms.cfg.Log.Warn("too many peer sessions", "address", conn.RemoteAddr().String())
			conn.Close()
		}
	}
}

func (ms *Mesh) forgetLoop(ctx context.Context) {
	for pause.For(ctx, forgetInterval) {
		ms.mu.Lock()
		forgotten := ms.roster.Forget(time.Now())
		ms.mu.Unlock()
		for _, me := range forgotten {
			ms.cfg.Log.Info("peer forgotten", "peer", me.Name, "address", me.PeerAddress)
		}
	}
}

// heartbeatInterval returns the interval of heartbeats to hosts of a zone.
func (ms *Mesh) heartbeatInterval(zone string) time.Duration {
	if zone == ms.zone {
		return ms.cfg.HeartbeatEvery
	}
	return ms.cfg.OtherZoneHeartbeatEvery
}
