package entry

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/cicadawharf/cicadawharf/internal/peers"
	"github.com/cicadawharf/cicadawharf/internal/relay"
)

type (
	// Server is the HTTP interface of one entry host.
	Server struct {
		cfg            Config
		start          time.Time // of this process; part of each request ID
		metrics        *serverMetrics
		handler        http.Handler
		forwardHandler http.Handler

		refreshMu    sync.Mutex   // held during a refresh
		mu           sync.RWMutex // guards services, forwardPools and rnd
		services     map[string]*service
		forwardPools map[string]*relay.Pool // by name of the other entry host
		rnd          *rand.Rand

		lastRequest   atomic.Uint64 // counter for request IDs
		bodiesReading atomic.Int64  // request bodies being read
		serving       atomic.Int64  // requests whose body has been read
		draining      atomic.Bool   // the host is being stopped and reports not ready
		inProgress    requestCounter
	}

	// requestCounter counts the requests in progress and can refuse new ones.
	requestCounter struct {
		mu       sync.Mutex
		active   int
		stopped  bool
		idle     chan struct{} // closed when stopped and no request is in progress
		stopping chan struct{} // closed when stopped
	}
)

const (
	refreshInterval   = 200 * time.Millisecond
	probeInterval     = 500 * time.Millisecond
	idleTimeout       = 90 * time.Second // of a caller's connection
	shutdownTimeout   = time.Second      // for connections to close once the requests have ended
	responseTimeout   = 30 * time.Second // for writing a response that is not streamed
	headerLimitFactor = 4                // http.Server must accept more than the limit, so that the response can have a code
)

// New returns a server. It starts serving when Run is called.
func New(cfg Config) *Server {
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	if cfg.Guard == nil {
		cfg.Guard = NewGuard(0, cfg.Limits, cfg.Log)
	}
	sr := &Server{
		cfg:          cfg,
		start:        time.Now(),
		metrics:      newServerMetrics(),
		services:     make(map[string]*service),
		forwardPools: make(map[string]*relay.Pool),
		rnd:          rand.New(rand.NewPCG(cfg.Seed, 0)),
		inProgress:   requestCounter{idle: make(chan struct{}), stopping: make(chan struct{})},
	}
	sr.handler = sr.routes()
	sr.forwardHandler = sr.forwardRoutes()
	sr.metrics.registerServer(sr)
	sr.refresh(time.Now())
	return sr
}

// Handler returns the handler of callers, operators and the load balancer.
func (sr *Server) Handler() http.Handler { return sr.handler }

// ForwardHandler returns the handler of requests that entry hosts of other zones
// forward. Such a request is never forwarded again.
func (sr *Server) ForwardHandler() http.Handler { return sr.forwardHandler }

// Ready reports whether the load balancer may send callers to this host.
func (sr *Server) Ready() bool {
	de, _ := sr.cfg.Declarations()
	return de != nil && !sr.draining.Load()
}

// Draining reports whether the host is being stopped.
func (sr *Server) Draining() bool { return sr.draining.Load() }

// DrainingEndpoints returns the names of the endpoints that have told this host
// that they are shutting down.
func (sr *Server) DrainingEndpoints() []string {
	sr.mu.RLock()
	defer sr.mu.RUnlock()
	var names []string
	for _, sv := range sr.services {
		names = append(names, sv.drainingEndpoints()...)
	}
	return names
}

// Run serves until ctx ends, then stops gracefully and returns nil: it reports
// not ready, keeps serving for Stop.Delay, then refuses new requests, and
// returns when all requests in progress have ended or Stop.Timeout has passed. It
// returns an error if a listener fails.
func (sr *Server) Run(ctx context.Context) error {
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	var loops sync.WaitGroup
	defer loops.Wait()
	defer cancel()
	loops.Go(func() { sr.refreshLoop(background) })
	loops.Go(func() { sr.probeLoop(background) })

	failed := make(chan error, 2)
	connections := sr.cfg.Limits.Connections
	if connections == 0 {
		connections = sr.cfg.Guard.MaxConnections()
	}
	servers := []*http.Server{sr.serve(sr.cfg.Listener, connections, sr.handler, failed)}
	if sr.cfg.ForwardListener != nil {
		servers = append(servers, sr.serve(sr.cfg.ForwardListener, max(connections/2, 1), sr.forwardHandler, failed))
	}
	var err error
	select {
	case <-ctx.Done():
		sr.drain()
	case err = <-failed:
	}
	for _, hs := range servers {
		shutdown(hs)
	}
	sr.closePools()
	return err
}

// serve starts an HTTP server with a limit of open connections, which sends an error
// to failed if its listener fails.
func (sr *Server) serve(ln net.Listener, connections int, handler http.Handler, failed chan<- error) *http.Server {
	hs := sr.cfg.Guard.UntimedServer(handler)
	hs.ReadHeaderTimeout = sr.cfg.Limits.ReadTimeout
	hs.IdleTimeout = idleTimeout
	hs.MaxHeaderBytes = headerLimitFactor * sr.cfg.Limits.HeaderBytes
	hs.ErrorLog = slog.NewLogLogger(sr.cfg.Log.Handler(), slog.LevelDebug)
	go func() {
		if err := hs.Serve(sr.cfg.Guard.Listen(ln, connections)); !errors.Is(err, http.ErrServerClosed) {
			failed <- merry.Prependf(err, "serve on %v", ln.Addr())
		}
	}()
	return hs
}

// drain stops taking requests and waits for those in progress. The listeners
// stay open, so that late callers get the code Stopping instead of a refused
// connection.
func (sr *Server) drain() {
	sr.draining.Store(true)
	sr.cfg.Log.Info("not ready", "event", "stop", "delay", sr.cfg.Stop.Delay)
	time.Sleep(sr.cfg.Stop.Delay)
	sr.cfg.Log.Info("refusing new requests", "event", "stop", "inProgress", sr.inProgress.stop())
	timeout := time.NewTimer(sr.cfg.Stop.Timeout)
	defer timeout.Stop()
	select {
	case <-sr.inProgress.idle:
		sr.cfg.Log.Info("all requests finished", "event", "stop")
	case <-timeout.C:
		sr.cfg.Log.Error("requests aborted at the stop deadline", "event", "stop", "bound", sr.cfg.Stop.Timeout, "inProgress", sr.inProgress.count())
	}
}

// shutdown closes a server. After shutdownTimeout, it aborts the requests that
// are still in progress.
func shutdown(hs *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if hs.Shutdown(ctx) != nil {
		_ = hs.Close()
	}
}

func (sr *Server) refreshLoop(ctx context.Context) {
	tick := time.NewTicker(refreshInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			sr.refresh(now)
		}
	}
}

func (sr *Server) probeLoop(ctx context.Context) {
	tick := time.NewTicker(probeInterval)
	defer tick.Stop()
	for {
		sr.mu.RLock()
		for _, sv := range sr.services {
			sv.probe(ctx, time.Now())
		}
		sr.mu.RUnlock()
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// refresh opens and closes services by the declarations, and updates the endpoints
// and the entry hosts that they know.
func (sr *Server) refresh(now time.Time) {
	sr.refreshMu.Lock()
	defer sr.refreshMu.Unlock()
	de, _ := sr.cfg.Declarations()
	if de == nil {
		return
	}
	members := sr.members(now)
	view := newZoneView(sr.cfg, de, members)
	declared := make(map[string]bool, len(de.Services))
	for _, sd := range de.Services {
		declared[sd.Name] = true
		sr.openService(sd.Name).refresh(now, sd, view)
	}
	sr.mu.Lock()
	defer sr.mu.Unlock()
	for name, sv := range sr.services {
		if !declared[name] {
			sv.close()
			sr.metrics.unregisterService(sv)
			delete(sr.services, name)
		}
	}
	sr.closeDeadForwardPools(members)
}

// openService returns a service and creates it if it does not exist yet.
func (sr *Server) openService(name string) *service {
	sr.mu.Lock()
	defer sr.mu.Unlock()
	sv, ok := sr.services[name]
	if !ok {
		sv = newService(sr.cfg, name)
		sr.services[name] = sv
		sr.metrics.registerService(sv)
	}
	return sv
}

// service returns a declared service, or nil. A service that was declared after
// the last refresh is opened by another refresh.
func (sr *Server) service(now time.Time, name string) *service {
	if sv := sr.findService(name); sv != nil {
		return sv
	}
	sr.refresh(now)
	return sr.findService(name)
}

func (sr *Server) findService(name string) *service {
	sr.mu.RLock()
	defer sr.mu.RUnlock()
	return sr.services[name]
}

func (sr *Server) members(now time.Time) []peers.Member {
	if sr.cfg.Members == nil {
		return nil
	}
	return sr.cfg.Members(now)
}

// closePools closes the connections to all endpoints and other entry hosts.
func (sr *Server) closePools() {
	sr.mu.Lock()
	defer sr.mu.Unlock()
	for _, sv := range sr.services {
		sv.close()
	}
	for _, po := range sr.forwardPools {
		po.Close()
	}
}

// newID returns a request ID that is unique across hosts and their restarts.
func (sr *Server) newID() string {
	return fmt.Sprintf("%s-%x-%d", sr.cfg.Host, sr.start.UnixMicro(), sr.lastRequest.Add(1))
}

// begin counts a request as in progress. ok is false if limit requests are in
// progress already or the counter is stopped; stopped tells the two apart.
func (rc *requestCounter) begin(limit int) (ok, stopped bool) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	if rc.stopped || rc.active >= limit {
		return false, rc.stopped
	}
	rc.active++
	return true, false
}

// end counts a request as no longer in progress.
func (rc *requestCounter) end() {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	rc.active--
	if rc.stopped && rc.active == 0 {
		close(rc.idle)
	}
}

// stop refuses further requests and returns the number of those in progress.
func (rc *requestCounter) stop() int {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	if rc.stopped {
		return rc.active
	}
	rc.stopped = true
	close(rc.stopping)
	if rc.active == 0 {
		close(rc.idle)
	}
	return rc.active
}

func (rc *requestCounter) count() int {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	return rc.active
}
