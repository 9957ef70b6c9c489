// Package relay sends requests to one endpoint and returns its responses, over
// net/http's Transport.
//
// The Transport retries a request by itself when a reused connection fails.
// Retries are for the caller of Send to decide (see package route), so each
// connection gets its own Transport, which can't open another one: an implicit
// retry finds no connection and fails. The connection counts the bytes written to
// it to tell whether a request was sent. A request is known not to have run only
// if no byte was written, or if the endpoint says so.
//
// A request that must not be repeated uses a connection that has had a response
// within Config.MaxResponseAge, or a new one. Idle connections are probed, so
// that an unresponsive one is found before a request uses it, and writes have a
// timeout. TCP keep-alive and user timeouts detect lost peers while a request
// is in flight.
package relay

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/dial"
)

type (
	// Config describes the connections to one endpoint. Zero durations mean the
	// defaults.
	Config struct {
		Address        string
		Dial           func(ctx context.Context, address string) (net.Conn, error) // nil for TCP
		DialTimeout    time.Duration
		WriteTimeout   time.Duration // for each chunk of a request to be written
		ProbeTimeout   time.Duration
		MaxResponseAge time.Duration // maximum time since the last response for requests that must not be repeated
		IdleTimeout    time.Duration // time since the last request after which a connection is closed
		Connections    int           // maximum number of open connections
	}

	// Pool holds the connections to one endpoint.
	Pool struct {
		cfg      Config
		mu       sync.Mutex
		idle     []*clientConn        // most recently used last
		inFlight map[*clientConn]bool // connections with a request other than a probe in flight, and whether it is repeatable
		open     int                  // connections that are open or being opened
		limit    int                  // maximum of open
		closed   bool
	}
)

// The defaults of Config.
const (
	DefaultDialTimeout    = 700 * time.Millisecond
	DefaultWriteTimeout   = 1500 * time.Millisecond
	DefaultProbeTimeout   = 700 * time.Millisecond
	DefaultMaxResponseAge = time.Second
	DefaultIdleTimeout    = 10 * time.Second

	// repeatableMaxResponseAge is the maximum time since the last response of an
	// idle connection to be used for a repeatable request.
	repeatableMaxResponseAge = 2 * time.Second
)

// NewPool returns a pool without connections.
func NewPool(cfg Config) *Pool {
	setDefault(&cfg.DialTimeout, DefaultDialTimeout)
	setDefault(&cfg.WriteTimeout, DefaultWriteTimeout)
	setDefault(&cfg.ProbeTimeout, DefaultProbeTimeout)
	setDefault(&cfg.MaxResponseAge, DefaultMaxResponseAge)
	setDefault(&cfg.IdleTimeout, DefaultIdleTimeout)
	if cfg.Dial == nil {
		cfg.Dial = dial.TCP
	}
	return &Pool{cfg: cfg, limit: max(cfg.Connections, 1), inFlight: make(map[*clientConn]bool)}
}

// SetConnections sets the maximum number of open connections, at least one.
// Connections over the limit are closed when their requests end.
func (po *Pool) SetConnections(limit int) {
	po.mu.Lock()
	defer po.mu.Unlock()
	po.limit = max(limit, 1)
}

// Close closes the idle connections, and the others when their requests end.
func (po *Pool) Close() {
	po.mu.Lock()
	idle := po.idle
	po.idle = nil
	po.closed = true
	po.open -= len(idle)
	po.mu.Unlock()
	closeAll(idle)
}

// Open returns the number of connections that are open or being opened.
func (po *Pool) Open() int {
	po.mu.Lock()
	defer po.mu.Unlock()
	return po.open
}

// acquire takes a connection whose last response is at most maxAge ago out of the
// pool, or opens a new one. Before it opens one, it closes the connections that
// evictIdle removes. If the process was suspended and nothing probed them, these
// may be all idle ones.
func (po *Pool) acquire(ctx context.Context, maxAge time.Duration) (*clientConn, *Failure) {
	po.mu.Lock()
	now := time.Now()
	if n := len(po.idle); n > 0 && now.Sub(po.idle[n-1].lastResponse) <= maxAge {
		cc := po.idle[n-1]
		po.idle = po.idle[:n-1]
		po.mu.Unlock()
		return cc, nil
	}
	evicted := po.evictIdle(now)
	if po.open >= po.limit {
		po.mu.Unlock()
		closeAll(evicted)
		return nil, newFailure(CauseConnections, nil)
	}
	po.open++
	po.mu.Unlock()
	closeAll(evicted)
	return po.dial(ctx)
}

// evictIdle removes from the pool, and returns, the idle connections whose last
// response is too old for any request. If the pool is still at its limit, it also
// evicts the least recently used one. mu must be held.
func (po *Pool) evictIdle(now time.Time) []*clientConn {
	var evicted []*clientConn
	po.idle = slices.DeleteFunc(po.idle, func(cc *clientConn) bool {
		old := now.Sub(cc.lastResponse) > repeatableMaxResponseAge
		if old {
			evicted = append(evicted, cc)
		}
		return old
	})
	po.open -= len(evicted)
	if po.open >= po.limit && len(po.idle) > 0 {
		evicted = append(evicted, po.idle[0])
		po.idle = slices.Delete(po.idle, 0, 1)
		po.open--
	}
	return evicted
}

// closeAll closes connections that have been removed from the pool.
func closeAll(conns []*clientConn) {
	for _, cc := range conns {
		cc.close()
	}
}

// dial opens a connection that the caller has counted in po.open.
func (po *Pool) dial(ctx context.Context) (*clientConn, *Failure) {
	dctx, cancel := context.WithTimeout(ctx, po.cfg.DialTimeout)
	defer cancel()
	cn, err := po.cfg.Dial(dctx, po.cfg.Address)
	if err != nil {
		po.discard(nil)
		return nil, failureNotSent(ctx, CauseDial, err)
	}
	return newClientConn(cn, po.cfg), nil
}

// release returns a connection to the pool after a complete response.
func (po *Pool) release(cc *clientConn) {
	po.mu.Lock()
	delete(po.inFlight, cc)
	if po.closed || po.open > po.limit {
		po.mu.Unlock()
		po.discard(cc)
		return
	}
	po.idle = append(po.idle, cc)
	po.mu.Unlock()
}

// discard closes a connection and frees its place in the pool. cc is nil if the
// connection failed to open.
func (po *Pool) discard(cc *clientConn) {
	if cc != nil {
		cc.close()
	}
	po.mu.Lock()
	delete(po.inFlight, cc)
	po.open--
	po.mu.Unlock()
}

// closeUnresponsive closes the connections whose repeatable request was sent
// before cutoff and that have received nothing since. Their requests fail with
// CauseNoResponse or CauseTruncated.
func (po *Pool) closeUnresponsive(cutoff time.Time) {
	po.mu.Lock()
	defer po.mu.Unlock()
	for cc, repeatable := range po.inFlight {
		if repeatable && cc.lastRequest.Before(cutoff) && cc.cn.lastReadBefore(cutoff) {
			_ = cc.cn.Close()
		}
	}
}

func setDefault(du *time.Duration, value time.Duration) {
	if *du == 0 {
		*du = value
	}
}
