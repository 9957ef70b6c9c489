package entry

import (
	"context"
	"net/http"
)

// Server is the HTTP interface of one entry host.
type Server struct {
	cfg Config
}

// New returns a server that serves once Run is called.
func New(cfg Config) *Server { return &Server{cfg: cfg} }

// Handler returns the handler of callers, operators and the balancer.
func (sr *Server) Handler() http.Handler { return http.NotFoundHandler() }

// SpillHandler returns the handler of requests that another zone's entry host
// passes on. Such a request is never passed on again.
func (sr *Server) SpillHandler() http.Handler { return http.NotFoundHandler() }

// LeavingEndpoints returns the names of endpoints that have told this host
// that they are leaving.
func (sr *Server) LeavingEndpoints() []string { return nil }

// Run serves until ctx ends, then stops gracefully and returns nil.
func (sr *Server) Run(ctx context.Context) error {
	<-ctx.Done()
	return nil
}
