// Package guard bounds what the clients of a process can make it hold: open
// connections, the bytes of headers and bodies that have arrived, and what decoding
// them takes up. When a limit is reached, the connections give way that are the furthest
// from a decision: idle ones, those without a complete request and a valid key, and
// others without a complete request, of each kind the oldest first. A request that has
// arrived as a whole never gives way.
package guard

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sync/semaphore"
)

type (
	// Config configures a Guard.
	Config struct {
		MemoryLimit int64 // of the process, in bytes; zero if there is none
		// BodyTime bounds the time for which a body may be received, whatever its client
		// asks for; zero for maxRequestTime.
		BodyTime time.Duration
		// RoomTime bounds the wait of a request for room; zero for none but the deadline of
		// the request.
		RoomTime time.Duration
		Log      *slog.Logger
	}

	// Guard bounds the connections and request bytes of a process. It is safe for
	// concurrent use.
	Guard struct {
		cfg        Config
		bodyLimit  int64               // bytes
		joins      *semaphore.Weighted // held while the chunks of a body are joined
		decodeSize int64               // bytes
		decoding   *semaphore.Weighted
		mu         sync.Mutex
		room       room // for the bytes of requests
		conns      map[*conn]bool
		closed     int // connections that gave way since the last log line
		reportedAt time.Time
	}

	// conn is a connection of a client.
	conn struct {
		net.Conn
		gu       *Guard
		ls       *listener
		began    time.Time // of the connection, and of each request but its first
		progress progress
		held     int64              // bytes of the body of the present request
		head     headCounter        // bytes of its headers
		cancel   context.CancelFunc // ends the wait of the present request for room; may be nil
		givesWay bool               // it is being closed
		once     sync.Once
	}

	// progress says how far the present request of a connection is. Connections give
	// way in this order.
	progress uint8

	connKey struct{}

	// Receiver is a connection that is told whether a request is being received. The
	// connections of a listener may implement it.
	Receiver interface{ SetReceiving(receiving bool) }
)

const (
	idle       progress = iota // between two requests
	incomplete                 // without a valid key, as far as is known
	authorized                 // incomplete, with a valid key
	complete                   // never gives way
)

// Shares of the memory of a process, and what stands for them if it has no limit.
const (
	bodyShare       = 0.2  // for the bytes of requests
	connectionShare = 0.15 // for connections
	decodeShare     = 0.25 // for decoding
	// connectionBytes estimates the memory of a connection: buffers, stacks and the
	// state of its request.
	connectionBytes = 32 << 10
	// streamBytes is what a stream of another host may take up: its window, and what
	// the growth of its buffer leaves behind.
	streamBytes   = 512 << 10
	defaultMemory = 1 << 30 // bytes
	// maxConnections leaves descriptors for the store, workers and other hosts.
	maxConnections = 1500

	headerTimeout = 5 * time.Second
	idleTimeout   = 60 * time.Second
	// maxHeaderBytes is far above what callers send: a line, a host and a key.
	maxHeaderBytes = 16 << 10
	reportInterval = time.Second
)

var gaveWay = metrics.GetOrCreateCounter("cicadawharf_connections_given_up_total")

// New returns a Guard.
func New(cf Config) *Guard {
	if cf.MemoryLimit <= 0 {
		cf.MemoryLimit = defaultMemory
	}
	if cf.BodyTime <= 0 {
		cf.BodyTime = maxRequestTime
	}
	limit, decode := int64(bodyShare*float64(cf.MemoryLimit)), int64(decodeShare*float64(cf.MemoryLimit))
	return &Guard{
		cfg: cf, bodyLimit: limit, room: room{free: limit}, joins: semaphore.NewWeighted(1),
		decodeSize: decode, decoding: semaphore.NewWeighted(decode), conns: map[*conn]bool{},
	}
}

// Used returns the number of bytes of requests that are held.
func (gu *Guard) Used() int64 {
	gu.mu.Lock()
	defer gu.mu.Unlock()
	return gu.bodyLimit - gu.room.free
}

// MaxConnections returns the number of connections that the clients of the process
// may have.
func (gu *Guard) MaxConnections() int {
	return min(maxConnections, int(connectionShare*float64(gu.cfg.MemoryLimit)/connectionBytes))
}

// MaxStreams returns the number of streams that other hosts may have open on all of
// their connections.
func (gu *Guard) MaxStreams() int { return int(gu.bodyLimit / streamBytes) }

// Server returns a server for the connections of Listen.
func (gu *Guard) Server(ha http.Handler) *http.Server { return gu.server(gu.track(ha)) }

// UntimedServer returns a server for the connections of Listen whose handler bounds
// the time of its requests by itself: it reads bodies with ReadBody, calls Complete for a
// request whose body it does not read, and sets the deadline for its response.
func (gu *Guard) UntimedServer(ha http.Handler) *http.Server { return gu.server(gu.finish(ha)) }

func (gu *Guard) server(ha http.Handler) *http.Server {
	return &http.Server{
		Handler: ha, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnContext: func(ctx context.Context, cn net.Conn) context.Context { return context.WithValue(ctx, connKey{}, cn) },
		ConnState:   func(cn net.Conn, st http.ConnState) { gu.setState(cn, st) },
	}
}

// setState notes that a connection waits for a request or has received the beginning
// of one.
func (gu *Guard) setState(cn net.Conn, st http.ConnState) {
	co, ok := cn.(*conn)
	if !ok {
		return
	}
	switch st {
	case http.StateActive:
		co.head.reading.Store(false)
		gu.setProgress(co, incomplete)
	case http.StateIdle:
		gu.setProgress(co, idle)
		co.beginHead()
	}
}

// setProgress notes how far a connection is. Its first request counts as begun when the
// connection was accepted: connections may be served in another order.
func (gu *Guard) setProgress(co *conn, pr progress) {
	gu.mu.Lock()
	defer gu.mu.Unlock()
	if pr != co.progress && pr <= incomplete {
		co.began = time.Now()
	}
	co.progress = pr
	if rc, ok := co.Conn.(Receiver); ok {
		rc.SetReceiving(pr == incomplete)
	}
}

// track bounds the reading of a request's body and the writing of its response, and
// marks requests whose body nobody waits for as complete.
func (gu *Guard) track(ha http.Handler) http.Handler {
	return http.HandlerFunc(func(wr http.ResponseWriter, rq *http.Request) {
		control := http.NewResponseController(wr)
		now := time.Now()
		_ = control.SetWriteDeadline(now.Add(maxRequestTime))
		if rq.ContentLength == 0 || rq.Method != http.MethodPost {
			gu.Complete(rq) // no handler reads other bodies
		} else {
			_ = control.SetReadDeadline(now.Add(maxRequestTime))
		}
		ha.ServeHTTP(wr, rq)
		// What is left of the body is discarded before the next request, for a short
		// time only.
		_ = control.SetWriteDeadline(time.Now().Add(writeTimeout))
		if rq.ContentLength != 0 {
			_ = control.SetReadDeadline(time.Now().Add(discardTimeout))
		}
	})
}

// finish marks requests without a body as complete, and bounds the end of the
// response and the discarding of what is left of the body.
func (gu *Guard) finish(ha http.Handler) http.Handler {
	return http.HandlerFunc(func(wr http.ResponseWriter, rq *http.Request) {
		if rq.ContentLength == 0 {
			gu.Complete(rq)
		}
		ha.ServeHTTP(wr, rq)
		control := http.NewResponseController(wr)
		_ = control.SetWriteDeadline(time.Now().Add(maxRequestTime))
		if rq.ContentLength != 0 {
			_ = control.SetReadDeadline(time.Now().Add(discardTimeout))
		}
	})
}

// Complete marks a request as having arrived as a whole.
func (gu *Guard) Complete(rq *http.Request) {
	if co := connOf(rq); co != nil {
		gu.setProgress(co, complete)
	}
}

// connOf returns the connection of a request, or nil if it is none of Listen.
func connOf(rq *http.Request) *conn {
	co, _ := rq.Context().Value(connKey{}).(*conn)
	return co
}

// freeConnection closes the connection of a listener that gives way first.
func (gu *Guard) freeConnection(ls *listener) {
	gu.mu.Lock()
	defer gu.mu.Unlock()
	if co := gu.worst(func(co *conn) bool { return co.ls == ls }); co != nil {
		gu.giveUp(co)
	}
}

// claimRoom adds a claim of room. If it is not granted at once, connections give way
// for what is not free.
func (gu *Guard) claimRoom(needs *conn, ho holder, bytes int64) *claim {
	cl := &claim{holder: ho, bytes: bytes, granted: make(chan struct{})}
	gu.mu.Lock()
	defer gu.mu.Unlock()
	gu.room.add(cl)
	select {
	case <-cl.granted:
	default:
		gu.freeBytes(needs, bytes-gu.room.free)
	}
	return cl
}

// withdraw ends the wait of a claim, and reports whether it was still waiting.
func (gu *Guard) withdraw(cl *claim) bool {
	gu.mu.Lock()
	defer gu.mu.Unlock()
	return gu.room.remove(cl)
}

// freeBytes closes connections until those that are being closed hold a number of
// bytes, as far as some give way. If the turn is that of the connection that needs the
// bytes and its wait is bounded, it is left to the end of the wait, so that its handler
// can answer. The caller holds gu.mu.
func (gu *Guard) freeBytes(needs *conn, bytes int64) {
	for co := range gu.conns {
		if co.givesWay {
			bytes -= co.bytes()
		}
	}
	for bytes > 0 {
		co := gu.worst(func(co *conn) bool { return co.bytes() > 0 })
		if co == nil || co == needs && gu.cfg.RoomTime > 0 {
			return
		}
		bytes -= co.bytes()
		gu.giveUp(co)
	}
}

// giveUp closes a connection and ends the wait of its request for room.
func (gu *Guard) giveUp(co *conn) {
	co.givesWay = true
	co.Conn.Close()
	if co.cancel != nil {
		co.cancel()
	}
	gaveWay.Inc()
	gu.closed++
	gu.report(time.Now())
}

// worst returns the connection that gives way first of those that match, or nil if
// none does.
func (gu *Guard) worst(matches func(*conn) bool) *conn {
	var worst *conn
	for co := range gu.conns {
		switch {
		case co.givesWay, co.progress == complete, !matches(co):
		case worst == nil, co.progress < worst.progress, co.progress == worst.progress && co.began.Before(worst.began):
			worst = co
		}
	}
	return worst
}

// report logs how many connections have given way, at most once in reportInterval.
func (gu *Guard) report(now time.Time) {
	if gu.cfg.Log == nil || now.Sub(gu.reportedAt) < reportInterval {
		return
	}
	gu.cfg.Log.Warn("connections of clients were closed to make room for others", "event", "crowded", "closed", gu.closed, "open", len(gu.conns))
	gu.reportedAt, gu.closed = now, 0
}
