// Package epsim simulates an endpoint of a service.
//
// It responds to any request under the interface of internal/plat, within
// limits on slots and connections. Request headers select the behaviour for a
// single request; SetFaults and POST FaultsPath inject faults into the whole
// endpoint.
//
// Invariants: a request whose response carries plat.HeaderRefused was not
// executed; every executed request is recorded before any part of its response
// is sent; a draining endpoint starts no new requests and completes those in
// progress.
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
		Listen      string // IP:port; port 0 selects a free one
		Slots       int    // requests executed at the same time; must be positive
		Connections int    // open at the same time, requests on any others are refused; must be positive
		Log         *slog.Logger
	}

	// Faults lists the faults injected into an endpoint. The zero value
	// injects none.
	Faults struct {
		Down  bool          `json:"down"`  // open and new connections are reset
		Delay time.Duration `json:"delay"` // added to each request, nanoseconds
	}

	// Server is a simulated endpoint.
	Server struct {
		*serve.Server
		cfg      Config
		listener *listener

		inUse    atomic.Int64 // slots in use
		draining atomic.Bool
		delay    atomic.Int64 // nanoseconds
		runs     runLog
	}
)

const headerTimeout = 10 * time.Second

// New returns a server that is listening. It serves requests once Run is
// called. It returns an error if a limit isn't positive or the address can't be
// listened on.
func New(cfg Config) (*Server, error) {
	if cfg.Slots <= 0 || cfg.Connections <= 0 {
		return nil, merry.Errorf("endpoint %s: %d slots and %d connections, both must be positive", cfg.Name, cfg.Slots, cfg.Connections)
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

// Drain starts a graceful shutdown: new requests are refused, and every
// response reports plat.StateDraining.
func (sv *Server) Drain() {
	sv.draining.Store(true)
	sv.cfg.Log.Info("endpoint leaving", "endpoint", sv.cfg.Name)
}

// SlotsInUse returns the number of requests that hold a slot.
func (sv *Server) SlotsInUse() int { return int(sv.inUse.Load()) }

// SetFaults replaces the injected faults.
func (sv *Server) SetFaults(fa Faults) {
	sv.delay.Store(int64(fa.Delay))
	sv.listener.setDown(fa.Down)
	sv.cfg.Log.Info("endpoint faults set", "endpoint", sv.cfg.Name, "down", fa.Down, "delay", fa.Delay)
}

// SilenceConnections makes every open connection discard all data permanently.
// New connections work.
func (sv *Server) SilenceConnections() {
	count := sv.listener.silence()
	sv.cfg.Log.Info("endpoint connections silenced", "endpoint", sv.cfg.Name, "connections", count)
}

// Runs returns the records of the executed requests, in order of their start.
func (sv *Server) Runs() []Run { return sv.runs.all() }

// acquireSlot takes a slot and reports whether one was free.
func (sv *Server) acquireSlot() bool {
	if sv.inUse.Add(1) > int64(sv.cfg.Slots) {
		sv.inUse.Add(-1)
		return false
	}
	return true
}

func (sv *Server) releaseSlot() { sv.inUse.Add(-1) }
