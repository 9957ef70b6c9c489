package plat_test

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/cicadawharf/cicadawharf/internal/plat"
	"github.com/cicadawharf/cicadawharf/internal/store"
)

// memStore is an in-memory store with one key and a queue of errors, each of
// which is returned once. Methods that no test needs aren't implemented.
type memStore struct {
	store.Store

	mu       sync.Mutex
	entry    store.Entry
	swaps    int
	getErrs  []error
	swapErrs []error
	down     bool
	stalled  bool // watches deliver nothing
	changed  chan struct{}
}

const zone = "centro"

func newMemStore() *memStore { return &memStore{changed: make(chan struct{})} }

func (me *memStore) Get(_ context.Context, key string) (store.Entry, store.Revision, error) {
	me.mu.Lock()
	defer me.mu.Unlock()
	if err := me.nextError(&me.getErrs); err != nil {
		return store.Entry{}, 0, err
	}
	ent := me.entry
	ent.Key = key
	return ent, ent.Revision, nil
}

func (me *memStore) Swap(_ context.Context, req store.SwapRequest) (store.Entry, error) {
	me.mu.Lock()
	defer me.mu.Unlock()
	err := me.nextError(&me.swapErrs)
	if err != nil && !errors.Is(err, store.ErrOutcomeUnknown) {
		return store.Entry{}, err
	}
	if req.Expect != me.entry.Revision {
		return me.entry, store.ErrConflict
	}
	me.swaps++
	me.entry = store.Entry{Key: req.Key, Value: req.Value, Revision: me.entry.Revision + 1}
	close(me.changed)
	me.changed = make(chan struct{})
	return me.entry, err
}

func (me *memStore) Watch(ctx context.Context, _ string, after store.Revision, fn func(store.Entry) error) error {
	for {
		me.mu.Lock()
		ent, changed, down, stalled := me.entry, me.changed, me.down, me.stalled
		me.mu.Unlock()
		if down {
			return store.ErrUnavailable
		}
		if ent.Revision > after && !stalled {
			after = ent.Revision
			if err := fn(ent); err != nil {
				return err
			}
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (me *memStore) set(change func(*memStore)) {
	me.mu.Lock()
	defer me.mu.Unlock()
	change(me)
	close(me.changed)
	me.changed = make(chan struct{})
}

func (me *memStore) hosts(is *is.I) []plat.Host {
	me.mu.Lock()
	defer me.mu.Unlock()
	li, err := plat.Decode(me.entry.Value)
	is.NoErr(err)
	return li.Hosts
}

// nextError removes and returns the next queued error. The caller holds me.mu.
func (me *memStore) nextError(errs *[]error) error {
	if me.down {
		return store.ErrUnavailable
	}
	if len(*errs) == 0 {
		return nil
	}
	err := (*errs)[0]
	*errs = (*errs)[1:]
	return err
}

func host(name string) plat.Host {
	return plat.Host{Name: name, Kind: plat.KindWorker, Address: "127.0.0.1:1", State: plat.StateLive}
}

func TestRegisterRetriesAfterFailures(t *testing.T) {
	tests := []struct {
		name     string
		getErrs  []error
		swapErrs []error
	}{
		{"no failure", nil, nil},
		{"unavailable", []error{store.ErrUnavailable}, []error{store.ErrUnavailable}},
		{"conflict", nil, []error{store.ErrConflict}},
		{"reply lost after the write", nil, []error{store.ErrOutcomeUnknown}},
		{"reply lost, then unavailable", []error{nil, store.ErrUnavailable}, []error{store.ErrOutcomeUnknown}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				me := newMemStore()
				me.getErrs, me.swapErrs = tc.getErrs, tc.swapErrs
				is.NoErr(plat.Register(t.Context(), me, zone, host("w1"), host("w2")))
				is.Equal(me.hosts(is), []plat.Host{host("w1"), host("w2")})
				is.Equal(me.swaps, 1) // exactly one write
			})
		})
	}
}

func TestConcurrentRegistrationsAllTakeEffect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		me := newMemStore()
		errs := make(chan error)
		for i := range 20 {
			go func() { errs <- plat.Register(t.Context(), me, zone, host(strconv.Itoa(i))) }()
		}
		for range 20 {
			is.NoErr(<-errs)
		}
		is.Equal(len(me.hosts(is)), 20)
	})
}

func TestSetStateAndRemove(t *testing.T) {
	is := is.New(t)
	me := newMemStore()
	is.True(errors.Is(plat.SetState(t.Context(), me, zone, "w1", plat.StateDraining), plat.ErrNoHost))
	is.NoErr(plat.Register(t.Context(), me, zone, host("w1"), host("w2")))
	is.NoErr(plat.SetState(t.Context(), me, zone, "w1", plat.StateDraining))
	is.NoErr(plat.SetState(t.Context(), me, zone, "w1", plat.StateDraining))
	is.Equal(me.swaps, 2)
	is.Equal(me.hosts(is)[1].State, plat.StateDraining)
	is.NoErr(plat.Remove(t.Context(), me, zone, "w1", "w9"))
	is.Equal(me.hosts(is), []plat.Host{host("w2")})
}

func TestRegisterStopsWhenItsContextEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		me := newMemStore()
		me.down = true
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		err := plat.Register(ctx, me, zone, host("w1"))
		is.True(errors.Is(err, context.DeadlineExceeded))
		is.True(errors.Is(err, store.ErrUnavailable))
	})
}

func TestWatcherLearnsEveryNewList(t *testing.T) {
	const poll = 10 * time.Second
	tests := []struct {
		name    string
		before  func(*memStore)
		after   func(*memStore)
		within  time.Duration // longest delay until the new list is known
		oldKept bool          // the old list is known until then
	}{
		{"by watch", func(*memStore) {}, func(*memStore) {}, 0, false},
		{"through an outage", func(me *memStore) { me.down = true }, func(me *memStore) { me.down = false }, poll, true},
		{"with a stalled watch", func(me *memStore) { me.stalled = true }, func(*memStore) {}, poll, true},
		{"over a malformed value", func(me *memStore) { me.entry.Value = []byte("{"); me.entry.Revision++ }, func(*memStore) {}, 0, true},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				me := newMemStore()
				wa := plat.NewWatcher(plat.WatcherConfig{Store: me, Zone: zone, PollEvery: poll})
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				go wa.Run(ctx)
				is.NoErr(plat.Register(ctx, me, zone, host("w1")))
				synctest.Wait()
				is.Equal(wa.List().Hosts, []plat.Host{host("w1")})

				changed := wa.Changed()
				me.set(tc.before)
				time.Sleep(time.Hour)
				is.Equal(wa.List().Hosts, []plat.Host{host("w1")})
				me.set(func(me *memStore) {
					tc.after(me)
					value, err := plat.List{Zone: zone}.With(host("w2")).Encode()
					is.NoErr(err)
					me.entry = store.Entry{Key: plat.Key(zone), Value: value, Revision: me.entry.Revision + 1}
				})
				if tc.oldKept {
					is.Equal(wa.List().Hosts, []plat.Host{host("w1")})
				}
				time.Sleep(tc.within)
				synctest.Wait()
				is.Equal(wa.List().Hosts, []plat.Host{host("w2")})
				<-changed
			})
		})
	}
}

// TestWatcherIgnoresOlderLists reads from a replica that lags behind. The watcher
// must not return to the older list.
func TestWatcherIgnoresOlderLists(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		me := newMemStore()
		wa := plat.NewWatcher(plat.WatcherConfig{Store: me, Zone: zone, PollEvery: time.Second})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		is.NoErr(plat.Register(ctx, me, zone, host("w1")))
		is.NoErr(plat.Register(ctx, me, zone, host("w2")))
		go wa.Run(ctx)
		synctest.Wait()
		me.set(func(me *memStore) { me.entry = store.Entry{Revision: 1} }) // read from a lagging replica
		time.Sleep(time.Minute)
		is.Equal(len(wa.List().Hosts), 2)
	})
}
