package remote

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/cicadawharf/cicadawharf/internal/dial"
	"github.com/cicadawharf/cicadawharf/internal/store"
)

type (
	// Config constructs a Peer.
	Config struct {
		Self  Member
		Store store.Committer
		Cores float64     // what the process may use
		Ready func() bool // whether this host has the store
		Log   *slog.Logger
		// Listener takes the connections of others and is closed by Run; that of
		// Self.Address if nil.
		Listener net.Listener
		// Dial opens a connection to IP:port; dial.TCP if nil.
		Dial func(ctx context.Context, address string) (net.Conn, error)
	}

	// Peer is one host's side of the calls between hosts.
	Peer struct {
		cfg     Config
		limiter *limiter
		pool    *pool

		sessions    context.Context    // ends when the sessions of others are to be closed
		endSessions context.CancelFunc // of over

		mu     sync.Mutex // guards the roster; never held during I/O
		roster *Roster
	}
)

// New returns a peer that does nothing until Run.
func New(cf Config) *Peer {
	if cf.Dial == nil {
		cf.Dial = dial.TCP
	}
	sessions, endSessions := context.WithCancel(context.Background())
	return &Peer{
		cfg: cf, limiter: newLimiter(cf.Cores), pool: newPool(cf.Log, cf.Dial), roster: NewRoster(cf.Self),
		sessions: sessions, endSessions: endSessions,
	}
}

// Run registers the host and answers forwarded calls until ctx ends. Calls in
// progress go on, and this host's own callers are served as before, until Close,
// which has to follow.
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

// Close waits until forwarded calls in progress are answered, or ctx ends, and
// closes the connections.
func (pe *Peer) Close(ctx context.Context) {
	pe.limiter.stop()
	select {
	case <-pe.limiter.drained:
	case <-ctx.Done():
	}
	pe.endSessions()
	pe.pool.closeAll()
}

// Enter counts a call of one of this host's own callers until leave is called.
func (pe *Peer) Enter() (leave func()) {
	pe.limiter.beginLocal()
	return pe.limiter.endLocal
}

// Known tells whether there are other hosts, whether or not they may be asked
// now.
func (pe *Peer) Known() bool { return len(pe.Members()) > 0 }

// TimeAlone returns how much of a caller's time this host may use before it asks
// others, in all and while the store is silent: all of it while there is none to
// ask.
func (pe *Peer) TimeAlone(left time.Duration) (total, unresponsive time.Duration) {
	if _, ok := pe.choose(nil); !ok {
		return left, left
	}
	return localTime(left)
}

// Members returns the other hosts that are known, the nearest first.
func (pe *Peer) Members() []Member {
	pe.mu.Lock()
	defer pe.mu.Unlock()
	return pe.roster.Members()
}

// Learn takes hosts that another one knows.
func (pe *Peer) Learn(members []Member) {
	if len(members) == 0 {
		return
	}
	pe.mu.Lock()
	defer pe.mu.Unlock()
	pe.roster.Merge(time.Now(), members[:min(len(members), maxMembers)])
}

// setMembers takes the whole list of hosts from the store.
func (pe *Peer) setMembers(members []Member) {
	pe.mu.Lock()
	defer pe.mu.Unlock()
	pe.roster.Replace(time.Now(), members)
}

// choose returns whom to ask next, beside those that have been tried.
func (pe *Peer) choose(tried []Member) (Member, bool) {
	pe.mu.Lock()
	defer pe.mu.Unlock()
	return pe.roster.Choose(time.Now(), tried)
}
