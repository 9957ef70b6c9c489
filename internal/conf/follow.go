package conf

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/cicadawharf/cicadawharf/internal/store"
)

type (
	// FollowerConfig configures a Follower.
	FollowerConfig struct {
		Store store.Store

		// FetchNewer requests declarations newer than a revision from the other
		// hosts. It returns nil, nil if no host has any. It is called every
		// peerPollInterval, so it should make a remote call only if a heartbeat
		// has shown a newer revision. The field may be nil.
		FetchNewer func(ctx context.Context, revision int64) (*AcceptedFile, error)

		PollEvery time.Duration // average interval between reads of the store
		Log       *slog.Logger
		Seed      uint64 // of the jitter
	}

	// Follower holds the declarations in force on one host and keeps them up to
	// date; it takes no part in the election of a scheduler. It learns of newer
	// declarations from a watch of the store, from infrequent polls of the store,
	// since a watch can stall, and from other hosts. It is safe for concurrent use.
	Follower struct {
		st         store.Store
		fetchNewer func(ctx context.Context, revision int64) (*AcceptedFile, error)
		pollEvery  time.Duration
		log        *slog.Logger
		current    atomic.Pointer[AcceptedFile]
		storeUp    atomic.Bool

		mu       sync.Mutex
		rnd      *rand.Rand
		changed  chan struct{}
		endWatch context.CancelFunc // cancels the open watch
	}
)

const (
	defaultPollEvery = 10 * time.Second

	// peerPollInterval is the interval between polls of the other hosts.
	// Together with the heartbeat interval it bounds how far a host that can't
	// reach the store lags behind.
	peerPollInterval = 500 * time.Millisecond

	minWatchPause = 200 * time.Millisecond
	maxWatchPause = 3 * time.Second

	// callTimeout limits one poll of the store or of the other hosts.
	callTimeout = 5 * time.Second
)

// NewFollower returns a Follower that has no declarations yet.
func NewFollower(cf FollowerConfig) *Follower {
	fo := &Follower{
		st: cf.Store, fetchNewer: cf.FetchNewer, pollEvery: cf.PollEvery, log: cf.Log,
		rnd:     rand.New(rand.NewPCG(cf.Seed, cf.Seed)),
		changed: make(chan struct{}),
	}
	if fo.pollEvery <= 0 {
		fo.pollEvery = defaultPollEvery
	}
	if fo.log == nil {
		fo.log = slog.New(slog.DiscardHandler)
	}
	return fo
}

// Current returns the declarations in force, or nil if there are none yet. It
// costs one atomic load.
func (fo *Follower) Current() *AcceptedFile { return fo.current.Load() }

// Revision returns the revision in force, or zero if there is none yet.
func (fo *Follower) Revision() int64 {
	if cur := fo.Current(); cur != nil {
		return cur.Revision
	}
	return 0
}

// StoreUp reports whether the last read of the store succeeded or a watch has
// delivered a change since.
func (fo *Follower) StoreUp() bool { return fo.storeUp.Load() }

// Changed returns a channel that is closed when the declarations next change.
func (fo *Follower) Changed() <-chan struct{} {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	return fo.changed
}

// Adopt puts declarations in force on this host if their revision is larger
// than the one in force, and reports whether it did. The time now is only logged,
// as the delay since the file was applied.
func (fo *Follower) Adopt(now time.Time, af AcceptedFile) bool {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	if af.Revision <= fo.Revision() {
		return false
	}
	fo.current.Store(&af)
	close(fo.changed)
	fo.changed = make(chan struct{})
	fo.log.Info("declarations adopted", "revision", af.Revision, "appliedBy", af.AppliedBy, "delay", now.Sub(af.AppliedAt))
	return true
}

// Run watches and polls for newer declarations until ctx ends.
func (fo *Follower) Run(ctx context.Context) error {
	eg, ctx := errgroup.WithContext(ctx)
	eg.Go(func() error { fo.watchLoop(ctx); return nil })
	eg.Go(func() error { fo.pollLoop(ctx); return nil })
	if fo.fetchNewer != nil {
		eg.Go(func() error { fo.peerLoop(ctx); return nil })
	}
	return eg.Wait()
}

func (fo *Follower) peerLoop(ctx context.Context) {
	for ctx.Err() == nil {
		fo.pollPeers(ctx)
		fo.pause(ctx, peerPollInterval)
	}
}

func (fo *Follower) pollPeers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	af, err := fo.fetchNewer(ctx, fo.Revision())
	if err != nil {
		fo.log.Debug("requesting declarations from peers failed", "error", err)
		return
	}
	if af != nil {
		fo.Adopt(time.Now(), *af)
	}
}

// jitter returns a random duration between 3/4 and 5/4 of mean.
func (fo *Follower) jitter(mean time.Duration) time.Duration {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	return mean*3/4 + time.Duration(fo.rnd.Int64N(int64(mean/2)+1))
}

// pause waits for a jittered mean, or until ctx ends.
func (fo *Follower) pause(ctx context.Context, mean time.Duration) {
	tm := time.NewTimer(fo.jitter(mean))
	defer tm.Stop()
	select {
	case <-tm.C:
	case <-ctx.Done():
	}
}
