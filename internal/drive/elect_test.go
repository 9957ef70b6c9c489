package drive_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadawharf/cicadawharf/internal/batch"
	"github.com/cicadawharf/cicadawharf/internal/fakes/kvsim"
	"github.com/cicadawharf/cicadawharf/internal/store"
)

// leaderKeyPut returns the transaction that writes the leader key under a lease.
func leaderKeyPut(value []byte, lease store.LeaseID) store.Txn {
	return store.Txn{Puts: []store.Put{{Key: batch.LeaderKey, Value: value, Lease: lease}}}
}

// TestRestartedLeaderNeedNotWaitForItsLease guards against hosts that, after all
// of them have restarted, wait until the lease of the former leader expires.
func TestRestartedLeaderNeedNotWaitForItsLease(t *testing.T) {
	is := is.New(t)
	si := newSite(t, 1)
	kv := si.store.Client(t, time.Second)
	lease, err := kv.Grant(t.Context(), time.Hour)
	is.NoErr(err)
	value := fmt.Appendf(nil, "a 1 %d", lease)
	_, _, err = kv.Commit(t.Context(), leaderKeyPut(value, lease))
	is.NoErr(err)
	si.host("b")
	si.host("a")
	kvsim.Eventually(t, func() bool {
		now, held := si.store.Value(batch.LeaderKey)
		return held && string(now) != string(value)
	})
}

// TestOtherHostsLeaseIsKept guards against a host that revokes the lease of a
// leader that runs on another host.
func TestOtherHostsLeaseIsKept(t *testing.T) {
	is := is.New(t)
	si := newSite(t, 1)
	kv := si.store.Client(t, time.Second)
	lease, err := kv.Grant(t.Context(), time.Hour)
	is.NoErr(err)
	value := fmt.Appendf(nil, "ab 1 %d 10.0.0.1:1", lease)
	_, _, err = kv.Commit(t.Context(), leaderKeyPut(value, lease))
	is.NoErr(err)
	si.host("a")
	si.host("b")
	time.Sleep(2 * taskTime)
	now, held := si.store.Value(batch.LeaderKey)
	is.True(held)
	is.Equal(string(now), string(value))
}
