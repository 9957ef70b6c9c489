package peers_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/cicadawharf/cicadawharf/internal/peers"
)

type (
	// network is a fake network of hosts. Each direction between two hosts can be
	// cut: data is then held back, as TCP does, and delivered once the direction is
	// restored.
	network struct {
		t         *testing.T
		mu        sync.Mutex
		listeners map[string]*listener
		cut       map[route]bool
		changed   chan struct{}
		refused   map[route]bool  // dials that a firewall rejects
		accepting map[string]bool // hosts whose kernel accepts connections while they are cut off
	}

	route struct{ from, to string }

	listener struct {
		address string
		conns   chan net.Conn
		done    chan struct{}
		once    sync.Once
	}

	// host is one mesh on the network.
	host struct {
		*peers.Mesh
		name   string
		cancel context.CancelFunc
		ended  chan error

		mu   sync.Mutex
		self peers.Member
	}
)

// bufferedChunks is the number of writes that a direction buffers while it is
// cut.
const bufferedChunks = 200

func newNetwork(t *testing.T) *network {
	t.Helper()
	nw := &network{
		t:         t,
		listeners: make(map[string]*listener), cut: make(map[route]bool),
		changed: make(chan struct{}), accepting: make(map[string]bool), refused: make(map[route]bool),
	}
	t.Cleanup(nw.restoreAll) // lets a failed test end
	return nw
}

// setCut cuts or restores the direction from one host to another.
func (nw *network) setCut(from, to string, cut bool) {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	nw.cut[route{from, to}] = cut
	close(nw.changed)
	nw.changed = make(chan struct{})
}

// setAccepting allows connections to a host to be opened while its link is cut.
func (nw *network) setAccepting(name string, accepting bool) {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	nw.accepting[name] = accepting
}

// setFrozen makes a host unresponsive, or responsive again: it receives and
// sends nothing, but its kernel accepts connections.
func (nw *network) setFrozen(name string, others []string, frozen bool) {
	nw.setAccepting(name, frozen)
	for _, ot := range others {
		nw.setCut(name, ot, frozen)
		nw.setCut(ot, name, frozen)
	}
}

// setRefused makes dials from one host to another fail, or succeed again.
func (nw *network) setRefused(from, to string, refused bool) {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	nw.refused[route{from, to}] = refused
}

func (nw *network) restoreAll() {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	clear(nw.cut)
	close(nw.changed)
	nw.changed = make(chan struct{})
}

// alias gives a host a second address.
func (nw *network) alias(name, address string) {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	nw.listeners[address] = nw.listeners[name]
}

func (nw *network) isCut(rt route) (bool, <-chan struct{}) {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	return nw.cut[rt], nw.changed
}

func (nw *network) listen(address string) *listener {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	ln := &listener{address: address, conns: make(chan net.Conn, 64), done: make(chan struct{})}
	nw.listeners[address] = ln
	return ln
}

func (nw *network) dialer(from string) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, to string) (net.Conn, error) {
		for {
			nw.mu.Lock()
			blocked := (nw.cut[route{from, to}] || nw.cut[route{to, from}]) && !nw.accepting[to]
			ln, changed := nw.listeners[to], nw.changed
			if nw.refused[route{from, to}] {
				ln = nil
			}
			nw.mu.Unlock()
			if !blocked {
				return nw.connect(from, to, ln)
			}
			select {
			case <-changed:
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		}
	}
}

func (nw *network) connect(from, to string, ln *listener) (net.Conn, error) {
	refused := errors.New("connection refused")
	if ln == nil {
		return nil, refused
	}
	near, nearEnd := net.Pipe()
	far, farEnd := net.Pipe()
	select {
	case <-ln.done:
		return nil, refused
	case ln.conns <- far:
	}
	go nw.pump(route{from, to}, nearEnd, farEnd)
	go nw.pump(route{to, from}, farEnd, nearEnd)
	select {
	case <-ln.done:
		ln.drain()
	default:
	}
	return near, nil
}

// pump forwards the data of one direction through a buffer, like those of the
// kernels at both ends.
func (nw *network) pump(rt route, src, dst net.Conn) {
	chunks := make(chan []byte, bufferedChunks)
	go func() {
		defer close(chunks)
		buf := make([]byte, 64<<10)
		for {
			n, err := src.Read(buf)
			if n > 0 {
				chunks <- bytes.Clone(buf[:n])
			}
			if err != nil {
				return
			}
		}
	}()
	broken := false
	for ch := range chunks {
		nw.awaitRestored(rt)
		if _, err := dst.Write(ch); err != nil && !broken {
			broken = true
			src.Close()
		}
	}
	nw.awaitRestored(rt)
	dst.Close()
}

func (nw *network) awaitRestored(rt route) {
	for {
		cut, changed := nw.isCut(rt)
		if !cut {
			return
		}
		<-changed
	}
}

func (ln *listener) Accept() (net.Conn, error) {
	select {
	case conn := <-ln.conns:
		return conn, nil
	case <-ln.done:
		return nil, net.ErrClosed
	}
}

func (ln *listener) Close() error {
	ln.once.Do(func() { close(ln.done) })
	ln.drain()
	return nil
}

// drain closes the connections that will not be accepted any more.
func (ln *listener) drain() {
	for {
		select {
		case conn := <-ln.conns:
			conn.Close()
		default:
			return
		}
	}
}

func (ln *listener) Addr() net.Addr { return &net.UnixAddr{Name: ln.address} }

// start runs a host whose name is its address. A name "zone/name" contains the
// zone.
func (nw *network) start(name string, seeds []string, edit func(*peers.Config)) *host {
	zone, _, _ := strings.Cut(name, "/")
	ho := &host{name: name, ended: make(chan error, 1)}
	ho.self = peers.Member{
		Name: name, Zone: zone, Region: "r", PeerAddress: name, HTTPAddress: "127.0.0.1:8080",
		Incarnation: uint64(time.Now().UnixNano()), Ready: true, DeclarationsRevision: 12345, SchedulerEpoch: 77, Scheduler: zone + "/a",
	}
	cfg := peers.Config{
		Self: func() peers.Member {
			ho.mu.Lock()
			defer ho.mu.Unlock()
			return ho.self
		},
		Listener: nw.listen(name), Dial: nw.dialer(name), Seeds: seeds,
		Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Metrics: metrics.NewSet(),
	}
	if edit != nil {
		edit(&cfg)
	}
	ho.Mesh = peers.New(cfg)
	ctx, cancel := context.WithCancel(context.Background())
	ho.cancel = cancel
	nw.t.Cleanup(cancel)
	go func() { ho.ended <- ho.Run(ctx) }()
	return ho
}

func (ho *host) stop() error {
	ho.cancel()
	return <-ho.ended
}

func (ho *host) set(edit func(*peers.Member)) {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	edit(&ho.self)
}

// view returns the member with the given name as the host sees it now.
func (ho *host) view(name string) peers.Member {
	for _, me := range ho.Members(time.Now()) {
		if me.Name == name {
			return me
		}
	}
	return peers.Member{}
}

func (ho *host) alive() []string {
	var names []string
	for _, me := range ho.Members(time.Now()) {
		if me.Alive {
			names = append(names, me.Name)
		}
	}
	return names
}

// emptyTimerPool empties yamux's pool of timers, because a timer that was
// created in one synctest bubble must not be used in another.
func emptyTimerPool(t *testing.T) {
	t.Helper()
	runtime.GC()
	runtime.GC()
}
