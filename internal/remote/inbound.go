package remote

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"

	"github.com/hashicorp/yamux"
)

// inbound holds the sessions that other hosts have opened. What a stream has received
// stays in memory until it is read and the stream is closed by both hosts, so the
// number of streams is bounded over all sessions.
type inbound struct {
	maxStreams int
	mu         sync.Mutex
	sessions   map[*yamux.Session]bool
}

// inboundConn is the connection of a session that another host has opened. It reads no
// further while there are too many streams, so that a session can't open more of them
// than are noticed.
type inboundConn struct {
	net.Conn
	pe   *Peer
	sess atomic.Pointer[yamux.Session]
}

var errTooManyStreams = errors.New("too many streams are open")

// defaultMaxStreams bounds the streams of a host whose memory limit is unknown.
const defaultMaxStreams = 400

func newInbound(maxStreams int) *inbound {
	if maxStreams <= 0 {
		maxStreams = defaultMaxStreams
	}
	return &inbound{maxStreams: maxStreams, sessions: map[*yamux.Session]bool{}}
}

func (ib *inbound) add(se *yamux.Session) {
	ib.mu.Lock()
	defer ib.mu.Unlock()
	ib.sessions[se] = true
}

func (ib *inbound) remove(se *yamux.Session) {
	ib.mu.Lock()
	defer ib.mu.Unlock()
	delete(ib.sessions, se)
}

// streams returns the number of open streams of all sessions.
func (ib *inbound) streams() int {
	ib.mu.Lock()
	defer ib.mu.Unlock()
	total := 0
	for se := range ib.sessions {
		total += se.NumStreams()
	}
	return total
}

// excess returns the session with the most streams if there are too many in all, and
// nil otherwise.
func (ib *inbound) excess() *yamux.Session {
	ib.mu.Lock()
	defer ib.mu.Unlock()
	var worst *yamux.Session
	total := 0
	for se := range ib.sessions {
		total += se.NumStreams()
		if worst == nil || se.NumStreams() > worst.NumStreams() {
			worst = se
		}
	}
	if total <= ib.maxStreams {
		return nil
	}
	return worst
}

// Read implements net.Conn.
func (ic *inboundConn) Read(data []byte) (int, error) {
	if worst := ic.pe.inbound.excess(); worst != nil {
		ic.pe.logExcess(worst)
		if worst == ic.sess.Load() {
			return 0, errTooManyStreams
		}
		go worst.Close()
	}
	return ic.Conn.Read(data)
}

func (pe *Peer) logExcess(worst *yamux.Session) {
	pe.cfg.Log.Warn("a session is closed, since other hosts have too many streams open", "event", "crowded", "from", worst.RemoteAddr(), "streams", worst.NumStreams())
}
