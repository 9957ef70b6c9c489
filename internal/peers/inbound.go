package peers

import (
	"net"
	"sync"
	"sync/atomic"

	"github.com/hashicorp/yamux"

	"github.com/cicadawharf/cicadawharf/internal/calls"
)

type (
	// inbound holds the sessions that other hosts have dialled. What a stream has
	// received stays in memory until it is read and the stream is closed by both hosts,
	// so the number of streams is bounded over all sessions.
	inbound struct {
		maxStreams int
		mu         sync.Mutex
		links      []*link // oldest first
	}

	// servedStream is an HTTP stream that another host has opened.
	servedStream struct {
		net.Conn
		st    *yamux.Stream
		li    *link
		quiet atomic.Bool
		once  sync.Once
	}

	// ownStream is an HTTP stream that this host has opened.
	ownStream struct {
		net.Conn
		li   *link
		once sync.Once
	}
)

const (
	// defaultMaxStreams bounds the streams of a host whose memory limit is unknown.
	defaultMaxStreams = 400
	// maxUnheard bounds the sessions without a heartbeat. Hosts send one at once.
	maxUnheard = 64
)

func newInbound(maxStreams int) *inbound {
	if maxStreams <= 0 {
		maxStreams = defaultMaxStreams
	}
	return &inbound{maxStreams: maxStreams}
}

// add adds a session. It returns the oldest session without a heartbeat if there are
// too many of them, and nil otherwise.
func (ib *inbound) add(li *link) *link {
	ib.mu.Lock()
	defer ib.mu.Unlock()
	ib.links = append(ib.links, li)
	var oldest *link
	count := 0
	for _, lk := range ib.links {
		if lk.isHeard() || lk.sess.IsClosed() {
			continue
		}
		if oldest == nil {
			oldest = lk
		}
		count++
	}
	if count <= maxUnheard {
		return nil
	}
	return oldest
}

func (ib *inbound) remove(li *link) {
	ib.mu.Lock()
	defer ib.mu.Unlock()
	kept := ib.links[:0:0]
	for _, lk := range ib.links {
		if lk != li {
			kept = append(kept, lk)
		}
	}
	ib.links = kept
}

// excess returns the session with the most streams on which something is being received
// if there are too many in all, and nil otherwise.
func (ib *inbound) excess() *link {
	ib.mu.Lock()
	defer ib.mu.Unlock()
	var worst *link
	total, most := 0, 0
	for _, li := range ib.links {
		count := li.receiving()
		total += count
		if count > most {
			worst, most = li, count
		}
	}
	if total <= ib.maxStreams {
		return nil
	}
	return worst
}

// receiving returns the number of streams of the other host on which something may be
// received, of which some may be closed by this host only.
func (li *link) receiving() int {
	if li.sess.IsClosed() {
		return 0
	}
	return max(li.sess.NumStreams()-len(li.callSlots)-int(li.ownHTTP.Load()+li.quiet.Load()), 0)
}

// SetReceiving notes whether a request is being received.
func (ss *servedStream) SetReceiving(receiving bool) {
	if ss.quiet.Swap(!receiving) == !receiving {
		return
	}
	if receiving {
		ss.li.quiet.Add(-1)
	} else {
		ss.li.quiet.Add(1)
	}
}

// Read implements net.Conn. A stream that has been read keeps no buffer.
func (ss *servedStream) Read(data []byte) (int, error) {
	n, err := ss.Conn.Read(data)
	if n < len(data) {
		ss.st.Shrink()
	}
	return n, err
}

// Close implements net.Conn. The stream counts until the other host has closed it, too.
func (ss *servedStream) Close() error {
	ss.SetReceiving(true)
	err := ss.Conn.Close()
	ss.once.Do(func() { go calls.Discard(ss.st) })
	return err
}

// Close implements net.Conn.
func (os *ownStream) Close() error {
	os.once.Do(func() { os.li.ownHTTP.Add(-1) })
	return os.Conn.Close()
}
