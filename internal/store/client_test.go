package store_test

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadawharf/cicadawharf/internal/fakes/kvsim"
	"github.com/cicadawharf/cicadawharf/internal/store"
)

// start runs a fake of the service and returns it with a client.
func start(t *testing.T, cf kvsim.Config) (*kvsim.Server, *store.Client) {
	t.Helper()
	sv := kvsim.Start(t, cf)
	return sv, sv.Client(t, kvsim.Timeout)
}

func client(t *testing.T, timeout time.Duration, addresses ...string) *store.Client {
	t.Helper()
	cl := store.New(store.Config{Addresses: addresses, Timeout: timeout})
	t.Cleanup(cl.Close)
	return cl
}

func TestSwapComparesTheRevision(t *testing.T) {
	is := is.New(t)
	_, cl := start(t, kvsim.Config{})
	ctx := t.Context()

	missing, at, err := cl.Get(ctx, "a")
	is.NoErr(err)
	is.Equal(missing, store.Entry{Key: "a"})
	is.True(at > 0)

	one, err := cl.Swap(ctx, store.SwapRequest{Key: "a", Value: []byte("one")})
	is.NoErr(err)
	is.True(one.Revision > at)

	existing, err := cl.Swap(ctx, store.SwapRequest{Key: "a", Value: []byte("two")})
	is.True(errors.Is(err, store.ErrConflict))
	is.Equal(existing, one)

	empty, err := cl.Swap(ctx, store.SwapRequest{Key: "a", Value: []byte{}, Expect: one.Revision})
	is.NoErr(err)
	got, _, err := cl.Get(ctx, "a")
	is.NoErr(err)
	is.Equal(got, empty) // an empty value is not a missing key

	_, err = cl.Swap(ctx, store.SwapRequest{Key: "a", Expect: empty.Revision})
	is.NoErr(err)
	got, _, err = cl.Get(ctx, "a")
	is.NoErr(err)
	is.Equal(got, store.Entry{Key: "a"})
}

func TestListReadsAPrefixInOrder(t *testing.T) {
	is := is.New(t)
	sv, cl := start(t, kvsim.Config{})
	for _, key := range []string{"b/2", "a", "b/1", "c", "b0"} {
		sv.Put(key, []byte(key))
	}
	ents, _, err := cl.List(t.Context(), "b/")
	is.NoErr(err)
	is.Equal(len(ents), 2)
	is.Equal(ents[0].Key, "b/1")
	is.Equal(string(ents[1].Value), "b/2")
	all, _, err := cl.List(t.Context(), "")
	is.NoErr(err)
	is.Equal(len(all), 5)
}

func TestSwapRejectsValuesPastTheLimit(t *testing.T) {
	is := is.New(t)
	sv, cl := start(t, kvsim.Config{})
	_, err := cl.Swap(t.Context(), store.SwapRequest{Key: "a", Value: make([]byte, store.MaxValue+1)})
	is.True(errors.Is(err, store.ErrTooLarge))
	is.Equal(sv.Calls().Total(), int64(0))
	_, err = cl.Swap(t.Context(), store.SwapRequest{Key: "a", Value: make([]byte, store.MaxValue)})
	is.NoErr(err)
}

// TestLeaseDeletesItsKeys checks that a key disappears when its lease expires or is
// revoked, and that an expired lease can't be renewed or attached to a key.
func TestLeaseDeletesItsKeys(t *testing.T) {
	is := is.New(t)
	clk := newClock()
	_, cl := start(t, kvsim.Config{Clock: clk.now})
	ctx := t.Context()
	exists := func() bool {
		ent, _, err := cl.Get(ctx, "role")
		is.NoErr(err)
		return ent.Revision > 0
	}

	id, err := cl.Grant(ctx, 4500*time.Millisecond) // rounded up to 5 s
	is.NoErr(err)
	_, err = cl.Swap(ctx, store.SwapRequest{Key: "role", Value: []byte("me"), Lease: id})
	is.NoErr(err)
	clk.advance(4 * time.Second)
	is.NoErr(cl.Renew(ctx, id))
	clk.advance(4 * time.Second)
	is.True(exists())
	clk.advance(time.Second)
	is.True(!exists())
	is.True(errors.Is(cl.Renew(ctx, id), store.ErrLeaseExpired))
	_, err = cl.Swap(ctx, store.SwapRequest{Key: "role", Value: []byte("me"), Lease: id})
	is.True(errors.Is(err, store.ErrLeaseExpired))

	id, err = cl.Grant(ctx, 5*time.Second)
	is.NoErr(err)
	_, err = cl.Swap(ctx, store.SwapRequest{Key: "role", Value: []byte("me"), Lease: id})
	is.NoErr(err)
	is.NoErr(cl.Revoke(ctx, id))
	is.True(!exists())
	is.True(errors.Is(cl.Revoke(ctx, id), store.ErrLeaseExpired))
}

func TestWatchDeliversEveryChangeInOrder(t *testing.T) {
	is := is.New(t)
	sv, cl := start(t, kvsim.Config{})
	sv.Put("w/a", []byte("before"))
	_, at, err := cl.Get(t.Context(), "w/a")
	is.NoErr(err)
	sv.Put("w/a", []byte("1"))
	sv.Put("other", []byte("not watched"))
	sv.Delete("w/a")

	errStop := errors.New("stop")
	var seen []store.Entry
	err = cl.Watch(t.Context(), "w/", at, func(ent store.Entry) error {
		seen = append(seen, ent)
		switch len(seen) {
		case 2:
			sv.Put("w/b", []byte{})
		case 3:
			return errStop
		}
		return nil
	})
	is.Equal(err, errStop)
	is.Equal(string(seen[0].Value), "1")
	is.True(seen[1].Value == nil) // deleted
	is.Equal(seen[2].Key, "w/b")
	is.True(seen[2].Value != nil) // empty, not deleted
	is.True(seen[0].Revision < seen[1].Revision && seen[1].Revision < seen[2].Revision)
}

func TestWatchReportsCompaction(t *testing.T) {
	is := is.New(t)
	sv, cl := start(t, kvsim.Config{})
	for range 5000 {
		sv.Put("a", nil)
	}
	err := cl.Watch(t.Context(), "a", 0, func(store.Entry) error { return nil })
	is.True(errors.Is(err, store.ErrCompacted))
}

// TestOneCallIsOneRequest guards against methods that cost more than one of the
// calls that the service counts.
func TestOneCallIsOneRequest(t *testing.T) {
	is := is.New(t)
	sv, cl := start(t, kvsim.Config{})
	ctx := t.Context()
	_, _, err := cl.Get(ctx, "a")
	is.NoErr(err)
	_, _, err = cl.List(ctx, "a")
	is.NoErr(err)
	_, err = cl.Swap(ctx, store.SwapRequest{Key: "a", Value: []byte("v")})
	is.NoErr(err)
	id, err := cl.Grant(ctx, time.Second)
	is.NoErr(err)
	is.NoErr(cl.Renew(ctx, id))
	is.NoErr(cl.Revoke(ctx, id))
	is.Equal(sv.Calls(), kvsim.Calls{Range: 2, Txn: 1, Grant: 1, KeepAlive: 1, Revoke: 1})
}
