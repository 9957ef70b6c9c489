package wksim

import (
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/cicadawharf/cicadawharf/internal/fakes/serve"
	"github.com/cicadawharf/cicadawharf/internal/worker"
)

type (
	// Config configures a Server.
	Config struct {
		Name         string
		Listen       string // IP:port; port 0 selects a free one
		Accelerators int
		RunScale     float64       // factor on the run times of commands; 1 if zero
		UsageLag     time.Duration // delay with which usage is reported
		Log          *slog.Logger
		Clock        func() time.Time // time.Now if nil
	}

	// Faults lists the faults injected into a worker. The zero value injects
	// none.
	Faults struct {
		FailStarts bool `json:"failStarts"` // every task fails as soon as it is started
		Frozen     bool `json:"frozen"`     // calls are accepted and block until this is reset
		DropAfter  int  `json:"dropAfter"`  // number of next calls that take effect and whose response is dropped
		Draining   bool `json:"draining"`   // refuses new reservations, as before a planned shutdown
	}

	// Server is a simulated worker.
	Server struct {
		*serve.Server
		cfg Config

		mu           sync.Mutex
		table        *Table
		faults       Faults
		incarnations int           // number of incarnations so far
		changed      chan struct{} // closed at the next change
	}
)

const headerTimeout = 10 * time.Second

// New returns a server that is listening. It serves requests once Run is
// called.
func New(cfg Config) (*Server, error) {
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	if cfg.Clock == nil {
		cfg.Clock = time.Now
	}
	li, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return nil, merry.Prependf(err, "worker %s", cfg.Name)
	}
	sv := &Server{cfg: cfg, changed: make(chan struct{})}
	sv.table = NewTable(TableConfig{
		Worker: cfg.Name, Incarnation: sv.nextIncarnation(), Accelerators: cfg.Accelerators,
		RunScale: cfg.RunScale, UsageLag: cfg.UsageLag, Version: cfg.Clock().UnixNano(),
	})
	hs := &http.Server{Handler: sv.routes(), ReadHeaderTimeout: headerTimeout}
	sv.Server = serve.New(serve.Config{Name: "worker " + cfg.Name, Listener: li, HTTP: hs})
	return sv, nil
}

// Name returns the name of the worker.
func (sv *Server) Name() string { return sv.cfg.Name }

// SetFaults replaces the injected faults.
func (sv *Server) SetFaults(fa Faults) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.faults = fa
	sv.table.SetDraining(fa.Draining)
	sv.table.SetFailStarts(fa.FailStarts)
	sv.broadcast()
	sv.cfg.Log.Info("worker faults set", "worker", sv.cfg.Name, "failStarts", fa.FailStarts,
		"frozen", fa.Frozen, "dropAfter", fa.DropAfter, "draining", fa.Draining)
}

// Faults returns the active faults.
func (sv *Server) Faults() Faults {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return sv.faults
}

// Restart ends every task as failed and continues with an empty table and a new
// incarnation. The largest epoch seen is kept unless forgetEpoch is set.
func (sv *Server) Restart(forgetEpoch bool) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.table.Restart(sv.cfg.Clock(), sv.nextIncarnation(), forgetEpoch)
	sv.broadcast()
	sv.cfg.Log.Info("worker restarted", "worker", sv.cfg.Name, "forgetEpoch", forgetEpoch)
}

// Runs returns the record of every task started, in order of start.
func (sv *Server) Runs() []Run {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.table.Advance(sv.cfg.Clock())
	return sv.table.Runs()
}

// Tasks returns the current rows of the lease table.
func (sv *Server) Tasks() []worker.Task {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return sv.table.Tasks(sv.table.Advance(sv.cfg.Clock()))
}

// Free returns the number of accelerators that no task holds.
func (sv *Server) Free() int {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.table.Advance(sv.cfg.Clock())
	return sv.table.Free()
}

// nextIncarnation returns the name of a new incarnation. The caller holds mu.
func (sv *Server) nextIncarnation() string {
	sv.incarnations++
	return fmt.Sprintf("%d-%d", sv.cfg.Clock().UnixNano(), sv.incarnations)
}

// broadcast wakes the waiting calls after a change. The caller holds mu.
func (sv *Server) broadcast() {
	close(sv.changed)
	sv.changed = make(chan struct{})
}
