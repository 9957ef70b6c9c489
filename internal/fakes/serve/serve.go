// Package serve runs the HTTP server of a stand-in: it listens from the
// beginning, answers once it runs, and can be cut off at once.
package serve

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"

	"github.com/ansel1/merry/v2"
)

type (
	// Config constructs a Server.
	Config struct {
		Name     string // for errors
		Listener net.Listener
		HTTP     *http.Server
	}

	// Server is an HTTP server on a listener.
	Server struct {
		cfg    Config
		closed chan struct{}
		once   sync.Once
	}
)

// New returns a server that answers once Run is called.
func New(cfg Config) *Server { return &Server{cfg: cfg, closed: make(chan struct{})} }

// Addr returns the IP:port that the server listens on.
func (sv *Server) Addr() string { return sv.cfg.Listener.Addr().String() }

// Run serves until ctx ends or the server is closed.
func (sv *Server) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, sv.Close)
	defer stop()
	err := sv.cfg.HTTP.Serve(sv.cfg.Listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return merry.Prepend(err, sv.cfg.Name)
}

// Close cuts every connection, as the death of a host does.
func (sv *Server) Close() {
	sv.once.Do(func() {
		close(sv.closed)
		_ = sv.cfg.HTTP.Close()
		_ = sv.cfg.Listener.Close()
	})
}

// Closed is closed when the server is.
func (sv *Server) Closed() <-chan struct{} { return sv.closed }
