package peers

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/yamux"

	"github.com/cicadawharf/cicadawharf/internal/calls"
)

type (
	// link is one session with another host. Whoever dialled it sends the
	// heartbeats; the other side closes it when they stay away.
	link struct {
		mesh    *Mesh
		sess    *yamux.Session
		dialled bool
		slots   chan struct{} // calls in progress

		mu            sync.Mutex // guards the rest
		peer          Member     // as of its last heartbeat
		heartbeats    int
		lastHeartbeat time.Time
		retiring      bool // another session serves the peer
		watchdog      *time.Timer
	}

	// countingConn counts the bytes that it sends.
	countingConn struct {
		net.Conn
		sent *metrics.Counter
	}
)

const (
	maxLinkCalls   = 256 // in progress over one session, from this side
	maxLinkStreams = 512 // served over one session

	// A heartbeat is only sent when the one before was answered, so the
	// second proves that both directions work.
	confirmHeartbeats = 2
)

// newLink puts a session on a connection, which it closes if that fails.
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
	li := &link{mesh: ms, sess: sess, dialled: dialled, slots: make(chan struct{}, maxLinkCalls)}
	li.watchdog = time.AfterFunc(ms.cfg.RemoteSuspectAfter, li.expire)
	return li, nil
}

// serveConn serves a session that another host has dialled.
func (ms *Mesh) serveConn(ctx context.Context, conn net.Conn) {
	li, err := ms.newLink(conn, false)
	if err != nil {
		ms.cfg.Log.Warn("can't open a session", "error", err)
		return
	}
	defer li.close()
	stop := context.AfterFunc(ctx, li.close)
	defer stop()
	li.serve(ctx)
}

// serve answers the streams that the other side opens until the session ends.
func (li *link) serve(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	busy := make(chan struct{}, maxLinkStreams)
	for {
		st, err := li.sess.AcceptStream()
		if li.sess.IsClosed() {
			return
		}
		if err != nil {
			continue
		}
		select {
		case busy <- struct{}{}:
		case <-li.sess.CloseChan():
			return
		}
		li.mesh.spawn(func() {
			defer func() { <-busy }()
			li.serveStream(ctx, st)
		})
	}
}

// expire ends a session whose heartbeats stay away.
func (li *link) expire() {
	if li.sess.IsClosed() {
		return
	}
	li.mesh.cfg.Log.Info("session of a peer is silent", "peer", li.name(), "dialled", li.dialled)
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

// recordHeartbeat notes a heartbeat of the other side and tells whether the session is
// confirmed in both directions.
func (li *link) recordHeartbeat(now time.Time, me Member) (count int, confirmed bool) {
	li.mu.Lock()
	defer li.mu.Unlock()
	li.peer = me
	li.heartbeats++
	li.lastHeartbeat = now
	if !li.sess.IsClosed() {
		li.watchdog.Reset(li.mesh.roster.SuspectAfter(me.Zone))
	}
	return li.heartbeats, li.dialled || li.heartbeats >= confirmHeartbeats
}

func (li *link) lastHeard() time.Time {
	li.mu.Lock()
	defer li.mu.Unlock()
	return li.lastHeartbeat
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

// addLink makes a confirmed session usable for calls, and closes those of
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

// removeLink takes a session out of use for new calls.
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

// retire takes a session out of use and tells whether it was in use before.
func (li *link) retire() bool {
	li.mu.Lock()
	before := li.retiring
	li.retiring = true
	li.mu.Unlock()
	li.mesh.removeLink(li)
	return !before
}

// pickLink returns the session to a host that was heard of last, or nil.
func (ms *Mesh) pickLink(host string) *link {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	var best *link
	for _, li := range ms.links[host] {
		if !li.sess.IsClosed() && (best == nil || li.lastHeard().After(best.lastHeard())) {
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

func isTemporary(err error) bool {
	var ne net.Error
	if errors.As(err, &ne) && ne.Timeout() {
		return true
	}
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.ECONNABORTED)
}
