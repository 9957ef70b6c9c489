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
	// listener limits the number of open connections and injects connection
	// faults.
	listener struct {
		net.Listener
		maxConns int

		mu     sync.Mutex
		down   bool
		closed bool
		conns  map[*conn]struct{}
	}

	// conn is an open connection. A silent one discards all data in both
	// directions and ignores Close and read deadlines: it ends only when the
	// peer or the listener closes it.
	conn struct {
		net.Conn
		listener  *listener
		overLimit bool // opened while the listener was at its limit
		silent    atomic.Bool
	}

	connKey struct{}
)

// newListener returns a listener that marks the connections beyond a limit.
func newListener(li net.Listener, limit int) *listener {
	return &listener{Listener: li, maxConns: limit, conns: map[*conn]struct{}{}}
}

// Accept implements net.Listener. A connection over the limit is marked, so
// that its requests are refused instead of executed.
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

// Close implements net.Listener. It also closes every open connection.
func (li *listener) Close() error {
	li.mu.Lock()
	defer li.mu.Unlock()
	li.closed = true
	for cn := range li.conns {
		_ = cn.Conn.Close()
	}
	return li.Listener.Close()
}

// admit registers a new connection, or resets it and returns nil while the
// listener is down or closed.
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

// countActive counts the connections that are not silent. The caller holds mu.
func (li *listener) countActive() int {
	count := 0
	for cn := range li.conns {
		if !cn.silent.Load() {
			count++
		}
	}
	return count
}

// setDown sets whether new connections are reset. Going down resets the open
// ones too.
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

// silence makes every open connection silent and returns their number.
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

// reset closes a connection with a TCP reset, which the peer sees as an error.
func reset(raw net.Conn) {
	if tc, ok := raw.(*net.TCPConn); ok {
		_ = tc.SetLinger(0)
	}
	_ = raw.Close()
}

// withConn puts a connection into the context of the requests that arrive on it.
func withConn(ctx context.Context, raw net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, raw)
}

// isOverLimit reports whether a request arrived on a connection over the limit.
func isOverLimit(ctx context.Context) bool {
	cn, ok := ctx.Value(connKey{}).(*conn)
	return ok && cn.overLimit
}
