package entry

import (
	"net/http"

	"github.com/gorilla/mux"

	"github.com/cicadawharf/cicadawharf/pkg/codes"
)

// routes returns the handler of callers, operators and the load balancer.
func (sr *Server) routes() http.Handler {
	rt := newRouter(sr)
	handleServices(rt, sr.serveService)

	rt.HandleFunc("/v1/jobs", sr.handleAPI(sr.submitJob)).Methods(http.MethodPost)
	rt.HandleFunc("/v1/jobs", sr.handleAPI(sr.listJobs)).Methods(http.MethodGet)
	rt.HandleFunc("/v1/jobs/{id}", sr.handleAPI(sr.getJob)).Methods(http.MethodGet)
	rt.HandleFunc("/v1/jobs/{id}", sr.handleAPI(sr.cancelJob)).Methods(http.MethodDelete)

	rt.HandleFunc("/v1/declarations", sr.handleAPI(sr.applyDeclarations)).Methods(http.MethodPut)
	rt.HandleFunc("/v1/declarations", sr.handleAPI(sr.getDeclarations)).Methods(http.MethodGet)
	rt.HandleFunc("/v1/declarations/check", sr.handleAPI(sr.checkDeclarations)).Methods(http.MethodPost)
	rt.HandleFunc("/v1/status", sr.handleAPI(sr.getStatus)).Methods(http.MethodGet)
	rt.HandleFunc("/v1/report", sr.handleAPI(sr.getReport)).Methods(http.MethodGet)

	rt.HandleFunc("/healthz", sr.serveHealth).Methods(http.MethodGet, http.MethodHead)
	rt.HandleFunc("/readyz", sr.serveReady).Methods(http.MethodGet, http.MethodHead)
	rt.HandleFunc("/metrics", sr.serveMetrics).Methods(http.MethodGet)
	return rt
}

// newRouter returns a router that responds with a code if no route matches. It
// passes paths on without cleaning or decoding them.
func newRouter(sr *Server) *mux.Router {
	rt := mux.NewRouter().SkipClean(true).UseEncodedPath()
	rt.NotFoundHandler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		sr.writeError(w, sr.newID(), codes.New(codes.PathNotFound, ""))
	})
	rt.MethodNotAllowedHandler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		sr.writeError(w, sr.newID(), codes.New(codes.MethodNotAllowed, "%s", r.Method))
	})
	return rt
}

// handleServices registers the handler of requests to services.
func handleServices(rt *mux.Router, fn http.HandlerFunc) {
	rt.HandleFunc(pathServices+"{service}", fn)
	rt.HandleFunc(pathServices+"{service}/{path:.*}", fn)
}

// serveHealth responds as long as the process runs.
func (sr *Server) serveHealth(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", typeText)
	_, _ = w.Write([]byte("ok\n"))
}

// serveReady tells the load balancer whether it may send callers to this host.
func (sr *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	switch {
	case sr.draining.Load():
		sr.writeError(w, sr.newID(), codes.New(codes.Stopping, "the host is being stopped"))
	case !sr.Ready():
		sr.writeError(w, sr.newID(), codes.New(codes.NotReady, "the host has no declarations yet"))
	default:
		sr.serveHealth(w, nil)
	}
}

func (sr *Server) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", typeText)
	sr.metrics.write(w)
}
