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
		PollEvery time.Duration // at most between two reads of the whole list
		Log       *slog.Logger
	}

	// Watcher follows the list of one availability zone. What it last knew
	// stays known while the store is away, and an older list never replaces a
	// newer one.
	Watcher struct {
		cfg WatcherConfig

		mu       sync.Mutex
		list     List
		revision store.Revision // of the store when the list stood
		changed  chan struct{}
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

// List returns the list as last known. The receiver may not change it.
func (wa *Watcher) List() List {
	wa.mu.Lock()
	defer wa.mu.Unlock()
	return wa.list
}

// Changed returns a channel that is closed at the next change of the list. To
// miss none, take the channel before the list.
func (wa *Watcher) Changed() <-chan struct{} {
	wa.mu.Lock()
	defer wa.mu.Unlock()
	return wa.changed
}

// Run follows the list until ctx ends. It reads the list, watches it until the
// next read is due, and so notices a watch that has gone silent.
func (wa *Watcher) Run(ctx context.Context) {
	pause := minBackoff
	for ctx.Err() == nil {
		began := time.Now()
		err := wa.readAndWatch(ctx)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			pause = minBackoff
			continue
		}
		if time.Since(began) > maxBackoff {
			pause = minBackoff
		}
		wa.cfg.Log.Warn("host list not followed", "zone", wa.cfg.Zone, "retryAfter", pause, "error", err)
		select {
		case <-time.After(jitter(pause)):
		case <-ctx.Done():
		}
		pause = min(2*pause, maxBackoff, wa.cfg.PollEvery)
	}
}

// readAndWatch reads the list and watches it. It returns nil when the next read is
// due.
func (wa *Watcher) readAndWatch(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, jitter(wa.cfg.PollEvery))
	defer cancel()
	key := Key(wa.cfg.Zone)
	en, at, err := wa.cfg.Store.Get(ctx, key)
	if err != nil {
		return err
	}
	wa.adopt(en.Value, at)
	err = wa.cfg.Store.Watch(ctx, key, at, func(en store.Entry) error {
		if en.Key == key {
			wa.adopt(en.Value, en.Revision)
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

// adopt takes a value over unless it is older than the one known or can't be
// read.
func (wa *Watcher) adopt(value []byte, at store.Revision) {
	li, err := Decode(value)
	if err != nil {
		wa.cfg.Log.Error("host list can't be read", "zone", wa.cfg.Zone, "revision", int64(at), "error", err)
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
