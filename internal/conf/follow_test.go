package conf_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/cicadawharf/cicadawharf/internal/conf"
	"github.com/cicadawharf/cicadawharf/internal/fakes/kvsim"
	"github.com/cicadawharf/cicadawharf/internal/store"
)

// unavailableStore is a store whose reads fail with ErrUnavailable.
type unavailableStore struct{ store.Store }

// Get implements store.Store.
func (unavailableStore) Get(context.Context, string) (store.Entry, store.Revision, error) {
	return store.Entry{}, 0, store.ErrUnavailable
}

// follow runs a Follower until the test ends.
func follow(t *testing.T, cf conf.FollowerConfig) *conf.Follower {
	t.Helper()
	fo := conf.NewFollower(cf)
	kvsim.Background(t, fo.Run)
	return fo
}

func accepted(t *testing.T, revision int64, name string) conf.AcceptedFile {
	t.Helper()
	af, err := conf.Parse(revision, variant(name), "ana", noon)
	if err != nil {
		t.Fatal(err)
	}
	return af
}

func TestAdoptAcceptsOnlyLargerRevisions(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		is := is.New(rt)
		fo := conf.NewFollower(conf.FollowerConfig{})
		largest := int64(0)
		for _, rev := range rapid.SliceOf(rapid.Int64Range(-1, 9)).Draw(rt, "revisions") {
			changed := fo.Changed()
			adopted := fo.Adopt(noon, conf.AcceptedFile{Revision: rev})
			is.Equal(adopted, rev > largest)
			select {
			case <-changed:
				is.True(adopted)
			default:
				is.True(!adopted)
			}
			largest = max(largest, rev)
			is.Equal(fo.Revision(), largest)
		}
	})
}

func TestFollowerLearnsByWatch(t *testing.T) {
	is := is.New(t)
	_, st := start(t)
	fo := follow(t, conf.FollowerConfig{Store: st, PollEvery: time.Hour})
	is.True(fo.Current() == nil)
	for i, name := range []string{"1", "2", "3"} {
		changed := fo.Changed()
		_, _, err := apply(t.Context(), st, "ana", variant(name))
		is.NoErr(err)
		<-changed
		is.Equal(fo.Revision(), int64(i+1))
		is.Equal(string(fo.Current().Content), string(variant(name)))
	}
	is.True(fo.StoreUp())
}

func TestFollowerLearnsByPollsWhenTheWatchStalls(t *testing.T) {
	is := is.New(t)
	sv, st := start(t)
	fo := follow(t, conf.FollowerConfig{Store: st, PollEvery: 50 * time.Millisecond})
	kvsim.Eventually(t, func() bool { return sv.Calls().Watch > 0 })
	sv.SetFaults(kvsim.Faults{FreezeWatches: true})
	_, _, err := apply(t.Context(), st, "ana", variant("1"))
	is.NoErr(err)
	kvsim.Eventually(t, func() bool { return fo.Revision() == 1 })
	kvsim.Eventually(t, func() bool { return sv.Calls().Watch > 1 }) // the stalled watch was restarted
}

func TestFollowerRecoversFromAStoreOutage(t *testing.T) {
	is := is.New(t)
	sv, st := start(t)
	fo := follow(t, conf.FollowerConfig{Store: st, PollEvery: 50 * time.Millisecond})
	kvsim.Eventually(t, fo.StoreUp)
	sv.SetFaults(kvsim.Faults{Down: true})
	kvsim.Eventually(t, func() bool { return !fo.StoreUp() })
	sv.SetFaults(kvsim.Faults{})
	_, _, err := apply(t.Context(), st, "ana", variant("1"))
	is.NoErr(err)
	kvsim.Eventually(t, func() bool { return fo.Revision() == 1 && fo.StoreUp() })
}

func TestFollowerLearnsFromPeersDuringAStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var newest atomic.Pointer[conf.AcceptedFile]
		fo := conf.NewFollower(conf.FollowerConfig{
			Store: unavailableStore{},
			FetchNewer: func(_ context.Context, revision int64) (*conf.AcceptedFile, error) {
				cur := newest.Load()
				if cur == nil || cur.Revision <= revision {
					return nil, errors.New("no peer has newer ones")
				}
				return cur, nil
			},
		})
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- fo.Run(ctx) }()
		for rev := int64(1); rev <= 3; rev++ {
			synctest.Wait()
			cur := accepted(t, rev, "a")
			newest.Store(&cur)
			time.Sleep(time.Second)
			synctest.Wait()
			is.Equal(fo.Revision(), rev)
		}
		stale := accepted(t, 1, "stale")
		newest.Store(&stale)
		time.Sleep(time.Minute)
		is.Equal(fo.Revision(), int64(3))
		is.True(!fo.StoreUp())
		cancel()
		is.NoErr(<-ended)
	})
}

func TestStalePeerDoesNotRollBack(t *testing.T) {
	is := is.New(t)
	_, st := start(t)
	for _, name := range []string{"1", "2"} {
		_, _, err := apply(t.Context(), st, "ana", variant(name))
		is.NoErr(err)
	}
	stale := accepted(t, 1, "1")
	polled := make(chan struct{}, 1000)
	fo := follow(t, conf.FollowerConfig{Store: st, FetchNewer: func(context.Context, int64) (*conf.AcceptedFile, error) {
		polled <- struct{}{}
		return &stale, nil
	}})
	kvsim.Eventually(t, func() bool { return fo.Revision() == 2 })
	for range 3 {
		<-polled
		is.Equal(fo.Revision(), int64(2))
	}
}

func TestRestoredStoreDoesNotRollBack(t *testing.T) {
	is := is.New(t)
	sv, st := start(t)
	ctx := t.Context()
	_, _, err := apply(ctx, st, "ana", variant("1"))
	is.NoErr(err)
	old := sv.Snapshot()
	for _, name := range []string{"2", "3"} {
		_, _, err = apply(ctx, st, "ana", variant(name))
		is.NoErr(err)
	}
	fo := follow(t, conf.FollowerConfig{Store: st, PollEvery: 50 * time.Millisecond})
	kvsim.Eventually(t, func() bool { return fo.Revision() == 3 })

	sv.Restore(old)
	// The declarations in force are written back, for hosts that start later.
	kvsim.Eventually(t, func() bool {
		cur, unchanged, err := conf.Apply(ctx, noon, st, conf.ApplyRequest{
			File: "f.yaml", Content: variant("3"), Expect: new(int64), HostRevision: 3,
		})
		return err == nil && unchanged && cur.Revision == 3
	})
	is.Equal(fo.Revision(), int64(3))
}

// TestApplyToARestoredStoreReachesEveryHost checks that a file that is applied
// after a restore replaces the declarations of a host that still has later
// revisions from before the restore.
func TestApplyToARestoredStoreReachesEveryHost(t *testing.T) {
	for _, names := range [][]string{{"2"}, {"2", "3"}} { // the restored store forks at the same or at a smaller revision
		is := is.New(t)
		sv, st := start(t)
		ctx := t.Context()
		_, _, err := apply(ctx, st, "ana", variant("1"))
		is.NoErr(err)
		old := sv.Snapshot()
		var newest conf.AcceptedFile
		for _, name := range names {
			newest, _, err = apply(ctx, st, "ana", variant(name))
			is.NoErr(err)
		}
		sv.Restore(old)
		// A host that has just started knows only the manifest in the store.
		_, _, err = conf.Apply(ctx, noon.Add(time.Minute), st, conf.ApplyRequest{File: "f.yaml", Content: variant("new"), By: "eva"})
		is.NoErr(err)
		late := follow(t, conf.FollowerConfig{Store: st, PollEvery: 50 * time.Millisecond})
		kvsim.Eventually(t, func() bool { return late.Revision() == 2 })

		fo := conf.NewFollower(conf.FollowerConfig{Store: st, PollEvery: 50 * time.Millisecond})
		fo.Adopt(noon, newest)
		kvsim.Background(t, fo.Run)
		for _, host := range []*conf.Follower{fo, late} {
			kvsim.Eventually(t, func() bool { return string(host.Current().Content) == string(variant("new")) })
			kvsim.Eventually(t, func() bool { return host.Revision() == newest.Revision+1 })
		}
	}
}

func TestApplyExceedsTheRevisionKnownToTheHost(t *testing.T) {
	is := is.New(t)
	_, st := start(t)
	seen := int64(7)
	cur, _, err := conf.Apply(t.Context(), noon, st, conf.ApplyRequest{
		File: "f.yaml", Content: variant("1"), Expect: &seen, HostRevision: 7,
	})
	is.NoErr(err)
	is.Equal(cur.Revision, int64(8))
}
