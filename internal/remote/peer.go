package remote

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/cicadawharf/cicadawharf/internal/batch"
	"github.com/cicadawharf/cicadawharf/internal/dial"
	"github.com/cicadawharf/cicadawharf/internal/pause"
	"github.com/cicadawharf/cicadawharf/internal/store"
)

type (
	// Config constructs a Peer.
	Config struct {
		Self           Member
		Store          store.TxnStore
		Cores          float64     // available to the process; limits the forwarded calls that it serves
		StoreReachable func() bool // reports whether this host can reach the store
		// MaxStreams bounds the streams that other hosts may have open in all; zero for
		// the default.
		MaxStreams int
		// Deliver passes a notice of another host to the scheduler, and reports
		// whether this host is the leader. If nil, no notices are taken.
		Deliver func(batch.Notice) bool
		Log     *slog.Logger
		// Listener accepts the connections of other hosts and is closed by Run. If
		// nil, Run listens on Self.Address.
		Listener net.Listener
		// Dial opens a connection to IP:port. If nil, dial.TCP is used.
		Dial func(ctx context.Context, address string) (net.Conn, error)
	}

	// Peer forwards calls to other hosts and serves the calls that they forward.
	Peer struct {
		cfg     Config
		limiter *limiter
		inbound *inbound
		pool    *pool
		notices atomic.Int64 // being sent

		sessionsCtx context.Context    // ends when sessions opened by other hosts are to be closed
		endSessions context.CancelFunc // cancels sessionsCtx

		mu     sync.Mutex // guards the roster; never held during I/O
		roster *Roster
	}
)

const (
	// receiptTimeout limits the time that other hosts have to read the last responses
	// of a host that is stopping.
	receiptTimeout = time.Second
	receiptPoll    = 5 * time.Millisecond
)

// New returns a Peer that is idle until Run.
func New(cf Config) *Peer {
	if cf.Dial == nil {
		cf.Dial = dial.TCP
	}
	sessionsCtx, endSessions := context.WithCancel(context.Background())
	return &Peer{
		cfg: cf, limiter: newLimiter(cf.Cores), inbound: newInbound(cf.MaxStreams), pool: newPool(cf.Log, cf.Dial), roster: NewRoster(cf.Self),
		sessionsCtx: sessionsCtx, endSessions: endSessions,
	}
}

// Run registers the host and serves forwarded calls with ha until ctx ends.
// Calls in progress continue, and the host may still forward calls of its own
// callers, until Close, which must follow. It returns an error if it can't
// listen.
func (pe *Peer) Run(ctx context.Context, ha Handler) error {
	ln := pe.cfg.Listener
	if ln == nil {
		var err error
		if ln, err = dial.Listen(ctx, pe.cfg.Self.Address); err != nil {
			return merry.Prepend(err, "listen for other hosts")
		}
	}
	var wg sync.WaitGroup
	wg.Go(func() { pe.register(ctx) })
	defer wg.Wait()
	return pe.serve(ctx, ln, ha)
}

// Close waits until the forwarded calls in progress are finished and their
// responses received, or ctx ends, and then closes the connections.
func (pe *Peer) Close(ctx context.Context) {
	pe.limiter.stop()
	select {
	case <-pe.limiter.drained:
	case <-ctx.Done():
	}
	pe.awaitReceipt(ctx)
	pe.endSessions()
	pe.pool.closeAll()
}

// awaitReceipt waits until the other hosts have closed the streams of their calls,
// which they do once they have read the response. A connection that is closed with
// unread input is reset, and the other host may lose a response that it has not read.
func (pe *Peer) awaitReceipt(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, receiptTimeout)
	defer cancel()
	for pe.inbound.streams() > 0 && pause.For(ctx, receiptPoll) {
	}
}

// BeginLocal counts a call of one of this host's own callers as in progress
// until end is called.
func (pe *Peer) BeginLocal() (end func()) {
	pe.limiter.beginLocal()
	return pe.limiter.endLocal
}

// HasMembers reports whether any other host is known, available or not.
func (pe *Peer) HasMembers() bool { return len(pe.Members()) > 0 }

// LocalTimeout returns how much of a caller's remaining time this host may use
// before it forwards the call: total is the limit in any case, and unresponsive
// the one if the store has not responded by then. Without another host to
// forward to, both are left.
func (pe *Peer) LocalTimeout(left time.Duration) (total, unresponsive time.Duration) {
	if _, ok := pe.choose(nil); !ok {
		return left, left
	}
	return localTimeLimits(left)
}

// Members returns the known other hosts, nearest first.
func (pe *Peer) Members() []Member {
	pe.mu.Lock()
	defer pe.mu.Unlock()
	return pe.roster.Members()
}

// AddMembers adds the hosts that another host has sent, at most maxMembers of
// them, to the known ones.
func (pe *Peer) AddMembers(members []Member) {
	if len(members) == 0 {
		return
	}
	pe.mu.Lock()
	defer pe.mu.Unlock()
	pe.roster.Merge(time.Now(), members[:min(len(members), maxMembers)])
}

// setMembers replaces the list of hosts by the one in the store.
func (pe *Peer) setMembers(members []Member) {
	pe.mu.Lock()
	defer pe.mu.Unlock()
	pe.roster.Replace(time.Now(), members)
}

// choose returns the host to try next, which is none of tried, and reports
// whether there is one.
func (pe *Peer) choose(tried []Member) (Member, bool) {
	pe.mu.Lock()
	defer pe.mu.Unlock()
	return pe.roster.Choose(time.Now(), tried)
}
