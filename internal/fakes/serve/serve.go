// Package serve runs the HTTP server of a simulator. The server listens from
// construction on, serves requests once it runs, and can be closed abruptly.
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
	// Config configures a Server.
	Config struct {
		Name     string // prefix of errors
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

// New returns a server that serves requests once Run is called.
func New(cfg Config) *Server { return &Server{cfg: cfg, closed: make(chan struct{})} }

// Addr returns the IP:port that the server listens on.
func (sv *Server) Addr() string { return sv.cfg.Listener.Addr().String() }

// Run serves until ctx ends or the server is closed, and then returns nil. Any
// other error of the HTTP server is returned with the server's name.
func (sv *Server) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, sv.Close)
	defer stop()
	err := sv.cfg.HTTP.Serve(sv.cfg.Listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return merry.Prepend(err, sv.cfg.Name)
}

// Close closes the listener and every connection at once, like a crash of the
// host.
func (sv *Server) Close() {
	sv.once.Do(func() {
		close(sv.closed)
		_ = sv.cfg.HTTP.Close()
		_ = sv.cfg.Listener.Close()
	})
}

// Closed returns a channel that is closed by Close.
func (sv *Server) Closed() <-chan struct{} { return sv.closed }
