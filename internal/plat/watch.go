package plat

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/store"
)

type (
	// WatcherConfig configures a Watcher.
	WatcherConfig struct {
		Store     store.Store
		Zone      string
		PollEvery time.Duration // longest interval between reads of the list
		Log       *slog.Logger
	}

	// Watcher holds an up-to-date copy of the list of one availability zone.
	// It keeps the last known list while the store is unavailable and never
	// replaces a list by an older one.
	Watcher struct {
		cfg WatcherConfig

		mu       sync.Mutex
		list     List
		revision store.Revision // of the store at which the list was current
		changed  chan struct{}  // closed at the next change of list
	}
)

const defaultPollEvery = 30 * time.Second

var errWatchEnded = errors.New("watch ended")

// NewWatcher returns a watcher whose list is empty until Run has read it.
func NewWatcher(cfg WatcherConfig) *Watcher {
	if cfg.PollEvery <= 0 {
		cfg.PollEvery = defaultPollEvery
	}
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	return &Watcher{cfg: cfg, list: List{Zone: cfg.Zone}, changed: make(chan struct{})}
}

// List returns the last known list. Callers must not modify it.
func (wa *Watcher) List() List {
	wa.mu.Lock()
	defer wa.mu.Unlock()
	return wa.list
}

// Changed returns a channel that is closed at the next change of the list. To
// miss no change, call Changed before List.
func (wa *Watcher) Changed() <-chan struct{} {
	wa.mu.Lock()
	defer wa.mu.Unlock()
	return wa.changed
}

// Run keeps the list up to date until ctx ends. It reads the list and watches it
// until the next read is due, so a stalled watch delays a change by at most
// PollEvery.
func (wa *Watcher) Run(ctx context.Context) {
	backoff := minBackoff
	for ctx.Err() == nil {
		began := time.Now()
		err := wa.readAndWatch(ctx)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			backoff = minBackoff
			continue
		}
		if time.Since(began) > maxBackoff {
			backoff = minBackoff
		}
		wa.cfg.Log.Warn("watching the host list failed", "zone", wa.cfg.Zone, "retryAfter", backoff, "error", err)
		select {
		case <-time.After(jitter(backoff)):
		case <-ctx.Done():
		}
		backoff = min(2*backoff, maxBackoff, wa.cfg.PollEvery)
	}
}

// readAndWatch reads the list and watches it. It returns nil when the next read
// is due.
func (wa *Watcher) readAndWatch(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, jitter(wa.cfg.PollEvery))
	defer cancel()
	key := Key(wa.cfg.Zone)
	ent, at, err := wa.cfg.Store.Get(ctx, key)
	if err != nil {
		return err
	}
	wa.adopt(ent.Value, at)
	err = wa.cfg.Store.Watch(ctx, key, at, func(ent store.Entry) error {
		if ent.Key == key {
			wa.adopt(ent.Value, ent.Revision)
		}
		return nil
	})
	if ctx.Err() != nil {
		return nil
	}
	if err == nil {
		return errWatchEnded
	}
	return err
}

// adopt replaces the list by a decoded value unless the value is malformed or
// older than the list.
func (wa *Watcher) adopt(value []byte, at store.Revision) {
	li, err := Decode(value)
	if err != nil {
		wa.cfg.Log.Error("decoding the host list failed", "zone", wa.cfg.Zone, "revision", int64(at), "error", err)
		return
	}
	li.Zone = wa.cfg.Zone
	wa.mu.Lock()
	defer wa.mu.Unlock()
	if at < wa.revision {
		return
	}
	wa.revision = at
	if wa.list.Equal(li) {
		return
	}
	wa.list = li
	close(wa.changed)
	wa.changed = make(chan struct{})
	wa.cfg.Log.Info("host list changed", "zone", wa.cfg.Zone, "revision", int64(at), "hosts", len(li.Hosts))
}
