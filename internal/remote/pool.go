package remote

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"

	"github.com/cicadawharf/cicadawharf/internal/calls"
)

type (
	// pool holds the sessions that this host has opened, at most one per address
	// for new calls. A call opens it if there is none, and it is closed after
	// idleTimeout without calls.
	pool struct {
		dial  func(ctx context.Context, address string) (net.Conn, error)
		log   *slog.Logger
		mu    sync.Mutex
		links map[string]*link // by address
	}

	// link is a session, or a pending attempt to open one.
	link struct {
		address string
		ready   chan struct{} // closed when sess or err is set
		sess    *yamux.Session
		err     error

		// The fields below are guarded by pool.mu.
		inFlight  int         // number of calls in progress
		retired   bool        // gets no new calls
		idleTimer *time.Timer // closes the link; nil before the first time without calls
	}
)

const (
	// dialTimeout is short compared with the three seconds that a caller waits,
	// and long compared with the round trip of a few tens of milliseconds between
	// hosts.
	dialTimeout = 300 * time.Millisecond
	// idleTimeout is how long a session without calls stays open.
	idleTimeout = 5 * time.Second
)

func newPool(log *slog.Logger, dial func(context.Context, string) (net.Conn, error)) *pool {
	return &pool{dial: dial, log: log, links: map[string]*link{}}
}

// get returns an open link to an address for one call, which must release it
// afterwards. It returns an error, and no link, if the link can't be opened or
// ctx ends before it is open.
func (po *pool) get(ctx context.Context, address string) (*link, error) {
	li := po.acquire(address)
	select {
	case <-li.ready:
	case <-ctx.Done():
		po.release(li)
		return nil, ctx.Err()
	}
	if li.err != nil {
		po.retire(li)
		po.release(li)
		return nil, li.err
	}
	return li, nil
}

// acquire returns the link to an address, which may not be open yet, and starts
// to open one if there is none. It counts a call on the link until release.
func (po *pool) acquire(address string) *link {
	po.mu.Lock()
	defer po.mu.Unlock()
	li := po.links[address]
	if li == nil || li.isClosed() {
		li = &link{address: address, ready: make(chan struct{})}
		po.links[address] = li
		go po.open(li)
	}
	li.inFlight++
	if li.idleTimer != nil {
		li.idleTimer.Stop()
	}
	return li
}

// isClosed reports whether a link failed to open or its session was closed.
func (li *link) isClosed() bool {
	select {
	case <-li.ready:
		return li.err != nil || li.sess.IsClosed()
	default:
		return false
	}
}

// open dials a link and starts its session.
func (po *pool) open(li *link) {
	defer close(li.ready)
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	conn, err := po.dial(ctx, li.address)
	if err != nil {
		li.err = err
		return
	}
	if li.sess, li.err = yamux.Client(conn, calls.SessionConfig(po.log)); li.err != nil {
		conn.Close()
	}
}

// release ends a call on a link.
func (po *pool) release(li *link) {
	po.mu.Lock()
	defer po.mu.Unlock()
	li.inFlight--
	switch {
	case li.inFlight > 0:
	case li.retired:
		go po.close(li)
	case li.idleTimer == nil:
		li.idleTimer = time.AfterFunc(idleTimeout, func() { po.closeIdle(li) })
	default:
		li.idleTimer.Reset(idleTimeout)
	}
}

// closeIdle closes a link unless it is in use again.
func (po *pool) closeIdle(li *link) {
	po.mu.Lock()
	if li.inFlight > 0 {
		po.mu.Unlock()
		return
	}
	po.retireLocked(li)
	po.mu.Unlock()
	po.close(li)
}

// retire closes a link to new calls. It is closed once its calls in progress
// have finished.
func (po *pool) retire(li *link) {
	po.mu.Lock()
	defer po.mu.Unlock()
	po.retireLocked(li)
}

// retireLocked is retire for callers that hold po.mu.
func (po *pool) retireLocked(li *link) {
	li.retired = true
	if po.links[li.address] == li {
		delete(po.links, li.address)
	}
}

// close closes a link's session. It waits for a pending attempt to open it.
func (po *pool) close(li *link) {
	<-li.ready
	if li.sess != nil {
		li.sess.Close()
	}
}

// closeAll closes every link that takes new calls, even if it has calls in
// progress. A retired link closes when its last call ends.
func (po *pool) closeAll() {
	po.mu.Lock()
	var all []*link
	for _, li := range po.links {
		po.retireLocked(li)
		all = append(all, li)
	}
	po.mu.Unlock()
	for _, li := range all {
		po.close(li)
	}
}
