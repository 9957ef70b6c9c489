// Package relay sends requests to one endpoint and brings its answers back,
// over net/http's Transport.
//
// The Transport repeats a request by itself when a reused connection fails
// under it. No request may be repeated behind the back of the retry policy, so
// each connection gets a Transport of its own that can't open another one: a
// repetition finds no connection and fails. Whether a request was sent is read
// off the connection, which counts the bytes it was given: a request has not
// run only if no byte was, or if the endpoint says so.
//
// A request that may not be repeated goes on a connection that has answered
// within Config.FreshFor, or on a new one. Idle connections are probed, so that
// one that has gone silent is found before a request rides on it, and writes
// are bounded. In flight, TCP keep-alive and user time-outs find lost peers.
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
	// Config says how to reach one endpoint. Zero durations stand for the
	// defaults.
	Config struct {
		Address      string
		Dial         func(ctx context.Context, address string) (net.Conn, error) // nil for TCP
		DialTimeout  time.Duration
		WriteTimeout time.Duration // for each part of a request to be taken
		ProbeTimeout time.Duration
		FreshFor     time.Duration // after an answer, for requests that may not be repeated
		IdleFor      time.Duration // since the last request, before a connection is closed
		Connections  int           // open at a time
	}

	// Pool holds the connections to one endpoint.
	Pool struct {
		cfg      Config
		mu       sync.Mutex
		idle     []*link        // the most recently used one last
		inFlight map[*link]bool // with a request; whether that may be repeated
		open     int
		limit    int
		closed   bool
	}
)

// The defaults of Config.
const (
	DefaultDialTimeout  = 700 * time.Millisecond
	DefaultWriteTimeout = 1500 * time.Millisecond
	DefaultProbeTimeout = 700 * time.Millisecond
	DefaultFreshFor     = time.Second
	DefaultIdleFor      = 10 * time.Second

	// repeatableFreshFor is how long ago an idle connection may have answered
	// to be used for a request that may be repeated.
	repeatableFreshFor = 2 * time.Second
)

// NewPool returns a pool without connections.
func NewPool(cfg Config) *Pool {
	setDefault(&cfg.DialTimeout, DefaultDialTimeout)
	setDefault(&cfg.WriteTimeout, DefaultWriteTimeout)
	setDefault(&cfg.ProbeTimeout, DefaultProbeTimeout)
	setDefault(&cfg.FreshFor, DefaultFreshFor)
	setDefault(&cfg.IdleFor, DefaultIdleFor)
	if cfg.Dial == nil {
		cfg.Dial = dial.TCP
	}
	return &Pool{cfg: cfg, limit: max(cfg.Connections, 1), inFlight: make(map[*link]bool)}
}

// SetConnections changes how many connections may be open. Those past the
// bound are closed when their request ends.
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

// Open returns the number of open connections.
func (po *Pool) Open() int {
	po.mu.Lock()
	defer po.mu.Unlock()
	return po.open
}

// acquire returns a connection that has answered within fresh, or a new one. It
// closes connections that nobody has probed for so long that no request would
// use them, as after the process was paused.
func (po *Pool) acquire(ctx context.Context, fresh time.Duration) (*link, *Failure) {
	po.mu.Lock()
	now := time.Now()
	if n := len(po.idle); n > 0 && now.Sub(po.idle[n-1].lastResponse) <= fresh {
		li := po.idle[n-1]
		po.idle = po.idle[:n-1]
		po.mu.Unlock()
		return li, nil
	}
	stale := po.takeStale(now)
	if po.open >= po.limit {
		po.mu.Unlock()
		closeAll(stale)
		return nil, newFailure(CauseConnections, nil)
	}
	po.open++
	po.mu.Unlock()
	closeAll(stale)
	return po.dial(ctx)
}

// takeStale takes out idle connections that are too old for any request,
// and one more if that is needed for a new one. The lock is held.
func (po *Pool) takeStale(now time.Time) []*link {
	var stale []*link
	po.idle = slices.DeleteFunc(po.idle, func(li *link) bool {
		old := now.Sub(li.lastResponse) > repeatableFreshFor
		if old {
			stale = append(stale, li)
		}
		return old
	})
	po.open -= len(stale)
	if po.open >= po.limit && len(po.idle) > 0 {
		stale = append(stale, po.idle[0])
		po.idle = slices.Delete(po.idle, 0, 1)
		po.open--
	}
	return stale
}

func closeAll(links []*link) {
	for _, li := range links {
		li.close()
	}
}

func (po *Pool) dial(ctx context.Context) (*link, *Failure) {
	dctx, cancel := context.WithTimeout(ctx, po.cfg.DialTimeout)
	defer cancel()
	cn, err := po.cfg.Dial(dctx, po.cfg.Address)
	if err != nil {
		po.discard(nil)
		return nil, notSent(ctx, CauseDial, err)
	}
	return newLink(cn, po.cfg), nil
}

// release returns a connection that has just answered, for another request.
func (po *Pool) release(li *link) {
	po.mu.Lock()
	delete(po.inFlight, li)
	if po.closed || po.open > po.limit {
		po.mu.Unlock()
		po.discard(li)
		return
	}
	po.idle = append(po.idle, li)
	po.mu.Unlock()
}

// discard closes a connection for good; nil stands for one that never opened.
func (po *Pool) discard(li *link) {
	if li != nil {
		li.close()
	}
	po.mu.Lock()
	delete(po.inFlight, li)
	po.open--
	po.mu.Unlock()
}

// closeUnresponsive closes the connections on which a request that may be repeated
// waits and nothing was heard since. Their requests fail with CauseLost or
// CauseBroken.
func (po *Pool) closeUnresponsive(since time.Time) {
	po.mu.Lock()
	defer po.mu.Unlock()
	for li, repeatable := range po.inFlight {
		if repeatable && li.lastRequest.Before(since) && li.cn.lastReadBefore(since) {
			_ = li.cn.Close()
		}
	}
}

func setDefault(du *time.Duration, value time.Duration) {
	if *du == 0 {
		*du = value
	}
}
