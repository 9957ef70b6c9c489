// Package epsim is a stand-in for an endpoint of a service.
//
// It answers any request under the interface of internal/plat, within a bound
// of slots and connections. Headers of a request ask for a behaviour, and
// methods or StateFaults for faults of the whole endpoint.
//
// Invariants: a request that is answered with plat.HeaderRefused did not run;
// every request that ran is recorded before anything of its answer is sent; a
// leaving endpoint begins nothing new and finishes what it has begun.
package epsim

import (
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/cicadawharf/cicadawharf/internal/fakes/serve"
)

type (
	// Config configures a Server.
	Config struct {
		Name        string
		Service     string
		Listen      string // IP:port; port zero picks a free one
		Slots       int
		Connections int
		Log         *slog.Logger
	}

	// Faults is what goes wrong with an endpoint. The zero value is a sound
	// one.
	Faults struct {
		Down  bool          `json:"down"`  // connections are reset
		Delay time.Duration `json:"delay"` // added to each request, nanoseconds
	}

	// Server is an endpoint stand-in.
	Server struct {
		*serve.Server
		cfg      Config
		listener *listener

		inUse   atomic.Int64 // slots
		leaving atomic.Bool
		delay   atomic.Int64 // nanoseconds
		runs    runLog
	}
)

const headerTimeout = 10 * time.Second

// New returns a server that listens, and answers once Run is called.
func New(cfg Config) (*Server, error) {
	if cfg.Slots <= 0 || cfg.Connections <= 0 {
		return nil, merry.Errorf("endpoint %s: %d slots and %d connections", cfg.Name, cfg.Slots, cfg.Connections)
	}
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	li, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return nil, merry.Prependf(err, "endpoint %s", cfg.Name)
	}
	sv := &Server{cfg: cfg, listener: newListener(li, cfg.Connections)}
	hs := &http.Server{
		Handler: sv.routes(), ReadHeaderTimeout: headerTimeout, ConnContext: withConn,
		ErrorLog: slog.NewLogLogger(cfg.Log.Handler(), slog.LevelDebug),
	}
	sv.Server = serve.New(serve.Config{Name: "endpoint " + cfg.Name, Listener: sv.listener, HTTP: hs})
	return sv, nil
}

// Name returns the name of the endpoint.
func (sv *Server) Name() string { return sv.cfg.Name }

// Leave begins the planned stop: new requests are refused, and every answer
// says so.
func (sv *Server) Leave() {
	sv.leaving.Store(true)
	sv.cfg.Log.Info("endpoint leaving", "endpoint", sv.cfg.Name)
}

// Busy returns the number of slots in use.
func (sv *Server) Busy() int { return int(sv.inUse.Load()) }

// SetFaults replaces the faults.
func (sv *Server) SetFaults(fa Faults) {
	sv.delay.Store(int64(fa.Delay))
	sv.listener.setDown(fa.Down)
	sv.cfg.Log.Info("endpoint faults set", "endpoint", sv.cfg.Name, "down", fa.Down, "delay", fa.Delay)
}

// SilenceConnections makes every open connection swallow all bytes for good,
// while new ones work.
func (sv *Server) SilenceConnections() {
	count := sv.listener.silence()
	sv.cfg.Log.Info("endpoint connections silenced", "endpoint", sv.cfg.Name, "connections", count)
}

// Runs returns every request that truly ran, in the order of their beginning.
func (sv *Server) Runs() []Run { return sv.runs.all() }

// acquireSlot occupies a slot and tells whether there was one.
func (sv *Server) acquireSlot() bool {
	if sv.inUse.Add(1) > int64(sv.cfg.Slots) {
		sv.inUse.Add(-1)
		return false
	}
	return true
}

func (sv *Server) releaseSlot() { sv.inUse.Add(-1) }
