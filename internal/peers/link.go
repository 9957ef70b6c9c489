package peers

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/yamux"

	"github.com/cicadawharf/cicadawharf/internal/calls"
	"github.com/cicadawharf/cicadawharf/internal/pause"
)

type (
	// link is a session with another host. The host that dialled sends the
	// heartbeats; the other one closes the session when they stop.
	link struct {
		mesh      *Mesh
		sess      *yamux.Session
		dialled   bool          // by this host
		callSlots chan struct{} // one for each call in progress
		ownHTTP   atomic.Int64  // HTTP streams that this host has opened
		quiet     atomic.Int64  // streams of the other host on which nothing is being received

		mu         sync.Mutex // guards the fields below
		peer       Member     // as of its last heartbeat
		heartbeats int        // number received
		lastHeard  time.Time
		retiring   bool        // replaced by another session with the peer
		watchdog   *time.Timer // closes the session if there are no heartbeats
	}

	// countingConn counts the bytes written to the connection of a session.
	countingConn struct {
		net.Conn
		sent *metrics.Counter
	}
)

const (
	maxLinkCalls   = 256 // calls in progress over one session, made by this host
	maxLinkStreams = 512 // concurrent streams served over one session

	// excessDelay is the time in which requests that arrive are expected to be complete.
	excessDelay = 50 * time.Millisecond

	// confirmHeartbeats is the number of heartbeats from which a session counts as
	// working in both directions: the second one is only sent after the response
	// to the first.
	confirmHeartbeats = 2
)

// newLink starts a session on a connection. If that fails, it closes the
// connection.
func (ms *Mesh) newLink(conn net.Conn, dialled bool) (*link, error) {
	cc := countingConn{Conn: conn, sent: ms.sent}
	open := yamux.Server
	if dialled {
		open = yamux.Client
	}
	sess, err := open(cc, calls.SessionConfig(ms.cfg.Log))
	if err != nil {
		conn.Close()
		return nil, err
	}
	li := &link{mesh: ms, sess: sess, dialled: dialled, callSlots: make(chan struct{}, maxLinkCalls)}
	// The zone of the other host is unknown until its first heartbeat.
	li.watchdog = time.AfterFunc(ms.cfg.OtherZoneSuspectAfter, li.expire)
	return li, nil
}

// serveConn serves a session that another host has dialled.
func (ms *Mesh) serveConn(ctx context.Context, conn net.Conn) {
	li, err := ms.newLink(conn, false)
	if err != nil {
		ms.cfg.Log.Warn("can't open session", "error", err)
		return
	}
	defer li.close()
	if oldest := ms.inbound.add(li); oldest != nil {
		oldest.reject("too many sessions without a heartbeat")
	}
	defer ms.inbound.remove(li)
	stop := context.AfterFunc(ctx, li.close)
	defer stop()
	li.serve(ctx)
}

// serve serves the streams that the other host opens, at most maxLinkStreams at
// a time, until the session ends.
func (li *link) serve(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	streamSlots := make(chan struct{}, maxLinkStreams)
	for {
		st, err := li.sess.AcceptStream()
		if li.sess.IsClosed() {
			return
		}
		if err != nil {
			continue
		}
		if !li.mayServe(ctx) {
			return
		}
		select {
		case streamSlots <- struct{}{}:
		case <-li.sess.CloseChan():
			return
		}
		li.mesh.spawn(func() {
			defer func() { <-streamSlots }()
			li.serveStream(ctx, st)
		})
	}
}

// mayServe reports whether the session may have the streams that it has. Sessions are
// closed if they have too many.
func (li *link) mayServe(ctx context.Context) bool {
	if li.dialled {
		return true
	}
	if !li.isHeard() && li.sess.NumStreams() > 1 {
		li.reject("a second stream was opened before a heartbeat")
		return false
	}
	ib := li.mesh.inbound
	if ib.excess() != nil && pause.For(ctx, excessDelay) {
		// Streams whose requests arrive as a whole are gone by now.
		if worst := ib.excess(); worst != nil {
			worst.reject("other hosts have too many streams open")
		}
	}
	return !li.sess.IsClosed()
}

// reject closes the session of a host that asks for more than it may.
func (li *link) reject(reason string) {
	li.mesh.cfg.Log.Warn("a session of another host is closed", "event", "crowded", "from", li.sess.RemoteAddr().String(),
		"peer", li.name(), "streams", li.sess.NumStreams(), "reason", reason)
	li.close()
}

// isHeard reports whether a heartbeat of the other host has arrived.
func (li *link) isHeard() bool { return li.heartbeatCount() > 0 }

// expire closes the session and logs that there were no heartbeats.
func (li *link) expire() {
	if li.sess.IsClosed() {
		return
	}
	li.mesh.cfg.Log.Info("session closed: no heartbeats", "peer", li.name(), "dialled", li.dialled)
	li.close()
}

func (li *link) close() {
	li.watchdog.Stop()
	li.mesh.removeLink(li)
	li.sess.Close()
}

func (li *link) name() string {
	li.mu.Lock()
	defer li.mu.Unlock()
	return li.peer.Name
}

// recordHeartbeat records a heartbeat of the other host. It returns the number
// of heartbeats recorded so far, and reports whether the session is confirmed to
// work in both directions.
func (li *link) recordHeartbeat(now time.Time, me Member) (number int, confirmed bool) {
	li.mu.Lock()
	defer li.mu.Unlock()
	li.peer = me
	li.heartbeats++
	li.lastHeard = now
	if !li.sess.IsClosed() {
		li.watchdog.Reset(li.mesh.roster.SuspectAfter(me.Zone))
	}
	return li.heartbeats, li.dialled || li.heartbeats >= confirmHeartbeats
}

func (li *link) lastHeardAt() time.Time {
	li.mu.Lock()
	defer li.mu.Unlock()
	return li.lastHeard
}

func (li *link) isRetiring() bool {
	li.mu.Lock()
	defer li.mu.Unlock()
	return li.retiring
}

func (li *link) incarnation() uint64 {
	li.mu.Lock()
	defer li.mu.Unlock()
	return li.peer.Incarnation
}

// addLink makes a confirmed session available for calls, and closes those of
// older incarnations of the same host.
func (ms *Mesh) addLink(li *link, me Member) {
	var old []*link
	ms.mu.Lock()
	kept := ms.links[me.Name][:0:0]
	known := false
	for _, lk := range ms.links[me.Name] {
		switch {
		case lk == li:
			known = true
			kept = append(kept, lk)
		case lk.incarnation() < me.Incarnation:
			old = append(old, lk)
		default:
			kept = append(kept, lk)
		}
	}
	if !known && !li.isRetiring() && !li.sess.IsClosed() {
		kept = append(kept, li)
	}
	ms.links[me.Name] = kept
	ms.mu.Unlock()
	for _, lk := range old {
		lk.close()
	}
}

// removeLink makes a session unavailable for new calls.
func (ms *Mesh) removeLink(li *link) {
	name := li.name()
	ms.mu.Lock()
	defer ms.mu.Unlock()
	kept := ms.links[name][:0:0]
	for _, lk := range ms.links[name] {
		if lk != li {
			kept = append(kept, lk)
		}
	}
	if len(kept) == 0 {
		delete(ms.links, name)
		return
	}
	ms.links[name] = kept
}

// retire makes a session unavailable for new calls and reports whether it was
// available before.
func (li *link) retire() bool {
	li.mu.Lock()
	before := li.retiring
	li.retiring = true
	li.mu.Unlock()
	li.mesh.removeLink(li)
	return !before
}

// pickLink returns the session with a host that has received a heartbeat last,
// or nil if there is no open session.
func (ms *Mesh) pickLink(host string) *link {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	var best *link
	for _, li := range ms.links[host] {
		if !li.sess.IsClosed() && (best == nil || li.lastHeardAt().After(best.lastHeardAt())) {
			best = li
		}
	}
	return best
}

// Write implements net.Conn.
func (cc countingConn) Write(data []byte) (int, error) {
	n, err := cc.Conn.Write(data)
	cc.sent.Add(n)
	return n, err
}

// isTemporary reports whether accepting connections may succeed again after an
// error.
func isTemporary(err error) bool {
	var ne net.Error
	if errors.As(err, &ne) && ne.Timeout() {
		return true
	}
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.ECONNABORTED)
}
