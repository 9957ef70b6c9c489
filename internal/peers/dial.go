package peers

import (
	"bufio"
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/cicadawharf/cicadawharf/internal/pause"
)

// dialTarget is a peer address that this host dials.
type dialTarget struct {
	address      string
	seed         bool          // from the configuration; dialled forever
	name         string        // of the last host that responded there; empty before
	zone         string        // of the same host
	heartbeatNow chan struct{} // requests an immediate heartbeat
}

const (
	// minBackoff is the pause after the first failure to connect. It doubles with
	// each further one, up to maxSameZoneBackoff for a host of this zone and up to
	// maxOtherZoneBackoff for others. The pause after a host was rejected, or turned
	// out to be this one, is maxOtherZoneBackoff at once.
	minBackoff          = 100 * time.Millisecond
	maxSameZoneBackoff  = time.Second
	maxOtherZoneBackoff = 10 * time.Second
	// idleCheckInterval is the interval of checks whether this host should dial
	// again, while it need not.
	idleCheckInterval = 500 * time.Millisecond
)

var (
	errRetired = errors.New("replaced by another session with the host")
	errIgnored = errors.New("heartbeat ignored: it has no name or is of an older incarnation, or the roster is full")
	errSelf    = errors.New("address belongs to this host")
)

// addTarget starts to dial an address, unless it is that of this host or is
// dialled already. The caller holds mu.
func (ms *Mesh) addTarget(address string, seed bool) {
	if address == "" || address == ms.cfg.Self().PeerAddress || ms.runCtx == nil || ms.stopped {
		return
	}
	if _, ok := ms.targets[address]; ok {
		return
	}
	ta := &dialTarget{address: address, seed: seed, heartbeatNow: make(chan struct{}, 1)}
	ms.targets[address] = ta
	runCtx := ms.runCtx
	ms.spawn(func() { ms.dialLoop(runCtx, ta) })
}

// dialLoop maintains a session with the address while one is needed, until ctx
// ends or the address is no longer that of a seed or a known host.
func (ms *Mesh) dialLoop(ctx context.Context, ta *dialTarget) {
	backoff := minBackoff
	for ms.keepTarget(ta) {
		if !ms.shouldDial(ta) {
			backoff = minBackoff
			if !pause.For(ctx, jitter(idleCheckInterval)) {
				return
			}
			continue
		}
		began := time.Now()
		err := ms.connect(ctx, ta)
		if ctx.Err() != nil {
			return
		}
		if time.Since(began) > ms.suspectAfter(ta) {
			backoff = minBackoff
		}
		if !errors.Is(err, errRetired) {
			ms.cfg.Log.Debug("session with peer failed or ended", "address", ta.address, "peer", ta.name, "error", err)
		}
		switch {
		case errors.Is(err, errSelf):
			backoff = maxOtherZoneBackoff
		case errors.Is(err, errIgnored):
			ms.cfg.Log.Warn("host rejected: it has no name or is of an older incarnation, or the roster is full",
				"address", ta.address, "peer", ta.name)
			backoff = maxOtherZoneBackoff
		}
		if !pause.For(ctx, jitter(backoff)) {
			return
		}
		backoff = min(2*backoff, ms.backoffLimit(ta))
	}
}

// keepTarget reports whether the address should still be dialled, and removes
// it if not.
func (ms *Mesh) keepTarget(ta *dialTarget) bool {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	if ta.seed || ms.roster.HasAddress(ta.address) {
		return true
	}
	delete(ms.targets, ta.address)
	return false
}

// shouldDial reports whether this host should dial. Of two hosts, the one with
// the smaller name dials. The other one dials only while there is no session
// dialled by the first one: a firewall may prevent those.
func (ms *Mesh) shouldDial(ta *dialTarget) bool {
	if ta.name == "" {
		return true
	}
	if ta.name < ms.name {
		return !ms.hasLink(ta.name, false) // unless the peer has dialled
	}
	return !ms.hasLink(ta.name, true) // even if the peer has dialled as well
}

// hasLink reports whether there is an open session with a host that was dialled
// by this host, or by the other one if dialled is false.
func (ms *Mesh) hasLink(name string, dialled bool) bool {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	for _, li := range ms.links[name] {
		if li.dialled == dialled && !li.sess.IsClosed() {
			return true
		}
	}
	return false
}

// connect dials, and sends heartbeats until the session fails or is retired. It
// always returns an error.
func (ms *Mesh) connect(ctx context.Context, ta *dialTarget) error {
	dctx, cancel := context.WithTimeout(ctx, ms.suspectAfter(ta))
	defer cancel()
	conn, err := ms.cfg.Dial(dctx, ta.address)
	if err != nil {
		return merry.Prepend(err, "dial")
	}
	li, err := ms.newLink(conn, true)
	if err != nil {
		return merry.Prepend(err, "open session")
	}
	defer li.close()
	stop := context.AfterFunc(ctx, li.close)
	defer stop()
	ms.spawn(func() { li.serve(ctx) })
	return ms.heartbeatLoop(ctx, ta, li)
}

// heartbeatLoop sends heartbeats on a stream of its own. It never closes the
// stream, because that would wait for an unresponsive peer; the stream ends
// with the session.
func (ms *Mesh) heartbeatLoop(ctx context.Context, ta *dialTarget, li *link) error {
	st, err := li.sess.OpenStream()
	if err != nil {
		return merry.Prepend(err, "open heartbeat stream")
	}
	if err := st.SetWriteDeadline(time.Now().Add(ms.suspectAfter(ta))); err != nil {
		return err
	}
	if _, err := st.Write([]byte{kindCall}); err != nil {
		return err
	}
	rd := bufio.NewReader(st)
	for sent := 1; ; sent++ {
		if err := st.SetDeadline(time.Now().Add(ms.suspectAfter(ta))); err != nil {
			return err
		}
		me, err := ms.sendHeartbeat(li, ta, st, rd)
		if err != nil {
			return err
		}
		ta.name, ta.zone = me.Name, me.Zone
		if sent < confirmHeartbeats {
			continue
		}
		if ms.retireLink(li, me) {
			return errRetired
		}
		if !ta.wait(ctx, li, jitter(ms.heartbeatInterval(me.Zone))) {
			return merry.New("session ended")
		}
	}
}

// retireLink retires a session that this host has dialled if the peer has the
// smaller name and has dialled one as well. It reports whether the session can
// be closed: it was retired by an earlier call of retireLink, and no stream
// other than that of the heartbeats is open.
func (ms *Mesh) retireLink(li *link, me Member) bool {
	if me.Name > ms.name || !ms.hasLink(me.Name, false) {
		return false
	}
	if li.retire() {
		return false // calls that have just picked it get one heartbeat interval to open a stream
	}
	return li.sess.NumStreams() <= 1
}

// wait waits until the interval has passed or an immediate heartbeat is
// requested, and reports whether the session is still open.
func (ta *dialTarget) wait(ctx context.Context, li *link, interval time.Duration) bool {
	tm := time.NewTimer(interval)
	defer tm.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-li.sess.CloseChan():
		return false
	case <-ta.heartbeatNow:
		return true
	case <-tm.C:
		return true
	}
}

// suspectAfter returns the time without a response after which a peer counts as
// failed, by its zone if that is known.
func (ms *Mesh) suspectAfter(ta *dialTarget) time.Duration {
	if ta.zone == "" {
		return ms.cfg.SuspectAfter
	}
	return ms.roster.SuspectAfter(ta.zone)
}

func (ms *Mesh) backoffLimit(ta *dialTarget) time.Duration {
	if ta.zone == ms.zone {
		return maxSameZoneBackoff
	}
	return maxOtherZoneBackoff
}

// jitter returns 90 to 110 per cent of a delay, at random, so that hosts that
// started together don't act at the same time.
func jitter(delay time.Duration) time.Duration {
	return time.Duration(float64(delay) * (0.9 + 0.2*rand.Float64()))
}
