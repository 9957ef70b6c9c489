// Package kvsim simulates the platform's key-value service: an in-memory
// implementation of the part of the etcd v3 HTTP gateway that package store
// uses.
//
// Every write gets a revision from a single counter. Unless faults are injected,
// a watch receives each change from its start revision on, once and in order.
// Faults are injected by SetFaults or, from another process, by POST
// /standin/faults; they never affect the paths under /standin.
package kvsim

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/gorilla/mux"

	"github.com/cicadawharf/cicadawharf/internal/fakes/serve"
	"github.com/cicadawharf/cicadawharf/internal/store/kvapi"
)

type (
	// Config configures a Server.
	Config struct {
		Listen string // IP:port; port 0 selects a free one
		Log    *slog.Logger
		Clock  func() time.Time // time.Now if nil
	}

	// Server is a simulated key-value service.
	Server struct {
		*serve.Server
		log      *slog.Logger
		clock    func() time.Time
		counters counters

		mu       sync.Mutex
		state    state
		faults   Faults
		saved    *Snapshot     // by POST /standin/snapshot
		changed  chan struct{} // closed at the next change
		watchers map[*watcher]struct{}
		conns    map[*connState]net.Conn
	}
)

const (
	maxValueBytes   = 1 << 20
	maxRequestBytes = 4 << 20

	// expiryPeriod is how often leases are checked for expiry while no call
	// arrives.
	expiryPeriod = 100 * time.Millisecond
)

// New returns a server that is listening. It serves calls once Run is called.
func New(cf Config) (*Server, error) {
	ln, err := net.Listen("tcp", cf.Listen)
	if err != nil {
		return nil, merry.Prepend(err, "store simulator")
	}
	sv := &Server{
		log: cf.Log, clock: cf.Clock, state: newState(), changed: make(chan struct{}),
		watchers: map[*watcher]struct{}{}, conns: map[*connState]net.Conn{},
	}
	if sv.log == nil {
		sv.log = slog.New(slog.DiscardHandler)
	}
	if sv.clock == nil {
		sv.clock = time.Now
	}
	hs := &http.Server{
		Handler:           sv.routes(),
		ReadHeaderTimeout: 10 * time.Second,
		ErrorLog:          slog.NewLogLogger(sv.log.Handler(), slog.LevelDebug),
		ConnContext:       sv.trackConn,
		ConnState: func(nc net.Conn, cs http.ConnState) {
			if cs == http.StateClosed || cs == http.StateHijacked {
				sv.untrackConn(nc)
			}
		},
	}
	sv.Server = serve.New(serve.Config{Name: "store simulator", Listener: ln, HTTP: hs})
	return sv, nil
}

// Run serves calls until ctx ends or Close is called.
func (sv *Server) Run(ctx context.Context) error {
	go sv.expireLeases()
	sv.log.Info("store simulator listening", "address", sv.Addr())
	return sv.Server.Run(ctx)
}

// Put sets a key directly, like a write by the platform. Faults don't affect it.
func (sv *Server) Put(key string, value []byte) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.state.put(kvapi.PutRequest{Key: []byte(key), Value: value})
	sv.notifyWatches()
}

// Delete deletes a key directly, like a write by the platform. Faults don't
// affect it.
func (sv *Server) Delete(key string) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.state.delete(key)
	sv.notifyWatches()
}

// Value returns the value of a key and whether the key exists.
func (sv *Server) Value(key string) ([]byte, bool) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.expire()
	kv, ok := sv.state.keys[key]
	return kv.Value, ok
}

func (sv *Server) routes() http.Handler {
	rt := mux.NewRouter()
	post := func(path string, fn http.HandlerFunc) { rt.HandleFunc(path, fn).Methods(http.MethodPost) }
	co := &sv.counters
	post(kvapi.PathRange, handler(sv, &co.rng, sv.handleRange))
	post(kvapi.PathTxn, handler(sv, &co.txn, sv.handleTxn))
	post(kvapi.PathGrant, handler(sv, &co.grant, sv.handleGrant))
	post(kvapi.PathKeepAlive, handler(sv, &co.keepAlive, sv.handleKeepAlive))
	post(kvapi.PathRevoke, handler(sv, &co.revoke, sv.handleRevoke))
	post(kvapi.PathRevokeAlias, handler(sv, &co.revoke, sv.handleRevoke))
	post(kvapi.PathWatch, sv.handleWatch)
	post("/standin/faults", sv.handleFaults)
	post("/standin/snapshot", sv.handleSnapshot)
	post("/standin/restore", sv.handleRestore)
	rt.HandleFunc("/standin/calls", sv.handleCalls).Methods(http.MethodGet)
	return rt
}

// expireLeases ends due leases periodically until the server is closed.
func (sv *Server) expireLeases() {
	for sv.sleep(expiryPeriod) {
		sv.mu.Lock()
		sv.expire()
		sv.mu.Unlock()
	}
}

// expire ends the leases that are due. The caller holds mu.
func (sv *Server) expire() {
	if sv.state.expire(sv.clock()) {
		sv.notifyWatches()
	}
}

// notifyWatches wakes the watches after a change. The caller holds mu.
func (sv *Server) notifyWatches() {
	close(sv.changed)
	sv.changed = make(chan struct{})
}
