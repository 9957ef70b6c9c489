package relay

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

type (
	// clientConn is one connection to the endpoint and the Transport that uses it
	// exclusively.
	clientConn struct {
		tr           *http.Transport
		cn           *trackedConn
		lastResponse time.Time // last complete response, or when the connection was opened
		lastRequest  time.Time // last request other than a probe, or when the connection was opened
	}

	// trackedConn counts the bytes passed to Write, limits the time of each write,
	// sends nothing once closed, and records the time of the last read.
	trackedConn struct {
		net.Conn
		writeTimeout   time.Duration
		attemptedBytes atomic.Int64 // bytes passed to Write, sent or not
		lastRead       atomic.Int64 // time of the last read, nanoseconds since 1970
		closed         atomic.Bool
	}
)

// maxWriteChunk is the maximum number of bytes that one write timeout covers.
const maxWriteChunk = 64 << 10

// The errors of a connection that can't be used. A Transport that tries to open
// a second connection, and a connection whose response belongs to another
// request, fail with errNotReusable.
var (
	errNotReusable = errors.New("the connection can't be reused")
	errConnClosed  = errors.New("the connection is closed")
)

// newClientConn wraps an open connection.
func newClientConn(cn net.Conn, cfg Config) *clientConn {
	tc := &trackedConn{Conn: cn, writeTimeout: cfg.WriteTimeout}
	var dialled atomic.Bool
	tr := &http.Transport{
		DialContext: func(context.Context, string, string) (net.Conn, error) {
			if dialled.Swap(true) {
				return nil, errNotReusable
			}
			return tc, nil
		},
		DisableCompression:  true,
		MaxConnsPerHost:     1,
		MaxIdleConnsPerHost: 1,
	}
	now := time.Now()
	tc.lastRead.Store(now.UnixNano())
	return &clientConn{tr: tr, cn: tc, lastResponse: now, lastRequest: now}
}

func (cc *clientConn) close() {
	_ = cc.cn.Close()
	cc.tr.CloseIdleConnections()
}

// Write implements net.Conn. It counts the bytes before it sends any, so a
// request whose bytes were not counted when the connection was closed can't
// have been sent.
func (tc *trackedConn) Write(p []byte) (int, error) {
	tc.attemptedBytes.Add(int64(len(p)))
	sent := 0
	for sent < len(p) {
		if tc.closed.Load() {
			return sent, errConnClosed
		}
		if err := tc.SetWriteDeadline(time.Now().Add(tc.writeTimeout)); err != nil {
			return sent, err
		}
		n, err := tc.Conn.Write(p[sent:min(len(p), sent+maxWriteChunk)])
		sent += n
		if err != nil {
			return sent, err
		}
	}
	return sent, nil
}

// Read implements net.Conn. It records the time if it reads any bytes.
func (tc *trackedConn) Read(p []byte) (int, error) {
	n, err := tc.Conn.Read(p)
	if n > 0 {
		tc.lastRead.Store(time.Now().UnixNano())
	}
	return n, err
}

// lastReadBefore reports whether the last read, or the opening if nothing was
// read, was before at.
func (tc *trackedConn) lastReadBefore(at time.Time) bool { return tc.lastRead.Load() < at.UnixNano() }

// Close implements net.Conn.
func (tc *trackedConn) Close() error {
	tc.closed.Store(true)
	return tc.Conn.Close()
}
