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
	// link is one connection with the Transport that speaks on it.
	link struct {
		tr       *http.Transport
		cn       *countedConn
		answered time.Time // last whole answer, or the opening
		used     time.Time // last request that was not a probe
	}

	// countedConn counts what it was given to send, bounds each write, sends
	// nothing once closed, and notes when it has last heard of the other end.
	countedConn struct {
		net.Conn
		writeTimeout time.Duration
		offered      atomic.Int64 // bytes
		heard        atomic.Int64 // time of the last read, nanoseconds since 1970
		closed       atomic.Bool
	}
)

// writePart is the most that is sent under one write time-out, in bytes.
const writePart = 64 << 10

// The errors of a connection that can't be used.
var (
	errSpent  = errors.New("the connection is spent")
	errClosed = errors.New("the connection is closed")
)

func newLink(cn net.Conn, cfg Config) *link {
	cc := &countedConn{Conn: cn, writeTimeout: cfg.WriteTimeout}
	var dialled atomic.Bool
	tr := &http.Transport{
		DialContext: func(context.Context, string, string) (net.Conn, error) {
			if dialled.Swap(true) {
				return nil, errSpent
			}
			return cc, nil
		},
		DisableCompression:  true,
		MaxConnsPerHost:     1,
		MaxIdleConnsPerHost: 1,
	}
	now := time.Now()
	cc.heard.Store(now.UnixNano())
	return &link{tr: tr, cn: cc, answered: now, used: now}
}

func (li *link) close() {
	_ = li.cn.Close()
	li.tr.CloseIdleConnections()
}

// Write implements net.Conn. The bytes are counted before any is sent: a
// request whose bytes were not counted when the connection was closed can't
// have been sent.
func (cc *countedConn) Write(p []byte) (int, error) {
	cc.offered.Add(int64(len(p)))
	sent := 0
	for sent < len(p) {
		if cc.closed.Load() {
			return sent, errClosed
		}
		if err := cc.SetWriteDeadline(time.Now().Add(cc.writeTimeout)); err != nil {
			return sent, err
		}
		n, err := cc.Conn.Write(p[sent:min(len(p), sent+writePart)])
		sent += n
		if err != nil {
			return sent, err
		}
	}
	return sent, nil
}

// Read implements net.Conn.
func (cc *countedConn) Read(p []byte) (int, error) {
	n, err := cc.Conn.Read(p)
	if n > 0 {
		cc.heard.Store(time.Now().UnixNano())
	}
	return n, err
}

func (cc *countedConn) heardBefore(at time.Time) bool { return cc.heard.Load() < at.UnixNano() }

// Close implements net.Conn.
func (cc *countedConn) Close() error {
	cc.closed.Store(true)
	return cc.Conn.Close()
}
