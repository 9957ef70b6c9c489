package epsim

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

type (
	// listener bounds the open connections and can break them.
	listener struct {
		net.Listener
		maxConns int

		mu     sync.Mutex
		down   bool
		closed bool
		conns  map[*conn]struct{}
	}

	// conn is an open connection. A silent one discards what it reads and
	// writes, and is closed only by the other end or with the listener.
	conn struct {
		net.Conn
		listener  *listener
		overLimit bool // opened past the bound
		silent    atomic.Bool
	}

	connKey struct{}
)

func newListener(li net.Listener, limit int) *listener {
	return &listener{Listener: li, maxConns: limit, conns: map[*conn]struct{}{}}
}

// Accept implements net.Listener. A connection past the bound is marked, so
// that its request is refused instead of run.
func (li *listener) Accept() (net.Conn, error) {
	for {
		raw, err := li.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if cn := li.admit(raw); cn != nil {
			return cn, nil
		}
	}
}

// Close implements net.Listener and closes every connection, too.
func (li *listener) Close() error {
	li.mu.Lock()
	defer li.mu.Unlock()
	li.closed = true
	for cn := range li.conns {
		_ = cn.Conn.Close()
	}
	return li.Listener.Close()
}

func (li *listener) admit(raw net.Conn) *conn {
	li.mu.Lock()
	defer li.mu.Unlock()
	if li.down || li.closed {
		reset(raw)
		return nil
	}
	cn := &conn{Conn: raw, listener: li, overLimit: li.countActive() >= li.maxConns}
	li.conns[cn] = struct{}{}
	return cn
}

// countActive counts the connections that are not silent, with mu held.
func (li *listener) countActive() int {
	count := 0
	for cn := range li.conns {
		if !cn.silent.Load() {
			count++
		}
	}
	return count
}

func (li *listener) setDown(down bool) {
	li.mu.Lock()
	defer li.mu.Unlock()
	li.down = down
	if !down {
		return
	}
	for cn := range li.conns {
		reset(cn.Conn)
	}
}

func (li *listener) silence() int {
	li.mu.Lock()
	defer li.mu.Unlock()
	for cn := range li.conns {
		cn.silent.Store(true)
	}
	return len(li.conns)
}

func (li *listener) remove(cn *conn) {
	li.mu.Lock()
	defer li.mu.Unlock()
	delete(li.conns, cn)
}

// Read implements net.Conn.
func (cn *conn) Read(buf []byte) (int, error) {
	for {
		count, err := cn.Conn.Read(buf)
		if !cn.silent.Load() {
			return count, err
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			err = cn.SetReadDeadline(time.Time{})
		}
		if err != nil {
			cn.closeConn()
			return 0, err
		}
	}
}

// Write implements net.Conn.
func (cn *conn) Write(buf []byte) (int, error) {
	if cn.silent.Load() {
		return len(buf), nil
	}
	return cn.Conn.Write(buf)
}

// Close implements net.Conn.
func (cn *conn) Close() error {
	if cn.silent.Load() {
		return nil
	}
	return cn.closeConn()
}

func (cn *conn) closeConn() error {
	cn.listener.remove(cn)
	return cn.Conn.Close()
}

// reset closes a connection in a way that the other end sees as an error.
func reset(raw net.Conn) {
	if tc, ok := raw.(*net.TCPConn); ok {
		_ = tc.SetLinger(0)
	}
	_ = raw.Close()
}

func withConn(ctx context.Context, raw net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, raw)
}

// isOverLimit tells whether a request came on a connection past the bound.
func isOverLimit(ctx context.Context) bool {
	cn, ok := ctx.Value(connKey{}).(*conn)
	return ok && cn.overLimit
}
