package peers

import (
	"context"
	"net"
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/yamux"
)

type (
	// httpListener accepts the HTTP connections that peers open.
	httpListener struct {
		address httpAddress
		conns   chan net.Conn
		once    sync.Once
		done    chan struct{}
	}

	// openResult is the result of opening an HTTP stream.
	openResult struct {
		st  *yamux.Stream
		err error
	}

	// httpAddress is the net.Addr of an httpListener: the peer address of the
	// host.
	httpAddress string
)

// maxPendingConns limits the connections that wait for Accept. Further ones are
// closed.
const maxPendingConns = 256

// DialHTTP opens an HTTP connection to another host, or to this one. The error
// is a *NotSentError.
func (ms *Mesh) DialHTTP(ctx context.Context, host string) (net.Conn, error) {
	if host == ms.name {
		near, far := net.Pipe()
		ms.http.enqueue(ctx, far)
		return near, nil
	}
	li := ms.pickLink(host)
	if li == nil {
		return nil, &NotSentError{Host: host, Err: errNoSession}
	}
	opened := make(chan openResult, 1)
	go func() {
		st, err := li.openHTTP()
		opened <- openResult{st, err}
	}()
	select {
	case op := <-opened:
		if op.err != nil {
			return nil, &NotSentError{Host: host, Err: op.err}
		}
		return &ownStream{Conn: ms.withHTTPCounter(op.st), li: li}, nil
	case <-ctx.Done():
		go func() {
			if op := <-opened; op.err == nil {
				li.ownHTTP.Add(-1)
				op.st.Close()
			}
		}()
		return nil, &NotSentError{Host: host, Err: ctx.Err()}
	}
}

// openHTTP opens an HTTP stream. It may block while the other host is
// unresponsive.
func (li *link) openHTTP() (*yamux.Stream, error) {
	st, err := li.sess.OpenStream()
	if err != nil {
		return nil, err
	}
	if _, err := st.Write([]byte{kindHTTP}); err != nil {
		st.Close()
		return nil, err
	}
	li.ownHTTP.Add(1)
	return st, nil
}

// HTTPListener returns the listener of the connections that other hosts open by
// DialHTTP. It is closed when Run ends.
func (ms *Mesh) HTTPListener() net.Listener { return ms.http }

// withHTTPCounter returns the connection with its written bytes counted as those
// of HTTP streams.
func (ms *Mesh) withHTTPCounter(conn net.Conn) net.Conn {
	return httpConn{Conn: conn, sent: ms.httpSent}
}

// httpConn counts the bytes written to an HTTP stream. The countingConn of the
// session counts them as well, so ControlBytes subtracts them.
type httpConn struct {
	net.Conn
	sent *metrics.Counter
}

// Write implements net.Conn.
func (hc httpConn) Write(data []byte) (int, error) {
	n, err := hc.Conn.Write(data)
	hc.sent.Add(n)
	return n, err
}

func newHTTPListener(address string) *httpListener {
	return &httpListener{
		address: httpAddress(address),
		conns:   make(chan net.Conn, maxPendingConns),
		done:    make(chan struct{}),
	}
}

// enqueue queues a connection for Accept, and closes it if the queue is full.
func (hl *httpListener) enqueue(ctx context.Context, conn net.Conn) {
	select {
	case <-hl.done:
		conn.Close()
		return
	case <-ctx.Done():
		conn.Close()
		return
	default:
	}
	select {
	case hl.conns <- conn:
	default:
		conn.Close()
	}
}

// Accept implements net.Listener.
func (hl *httpListener) Accept() (net.Conn, error) {
	select {
	case <-hl.done:
		return nil, net.ErrClosed
	default:
	}
	select {
	case conn := <-hl.conns:
		return conn, nil
	case <-hl.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (hl *httpListener) Close() error {
	hl.once.Do(func() { close(hl.done) })
	return nil
}

// Addr implements net.Listener.
func (hl *httpListener) Addr() net.Addr { return hl.address }

// Network implements net.Addr.
func (ha httpAddress) Network() string { return "peers" }

// String implements net.Addr.
func (ha httpAddress) String() string { return string(ha) }
