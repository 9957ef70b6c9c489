package drive_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadawharf/cicadawharf/internal/batch"
	"github.com/cicadawharf/cicadawharf/internal/fakes/kvsim"
	"github.com/cicadawharf/cicadawharf/internal/store"
)

// putLeader writes the leader key under a lease of an hour and returns its value,
// which begins with the name of a host.
func (si *site) putLeader(host, address string) string {
	kv := si.store.Client(si.t, time.Second)
	lease, err := kv.Grant(context.Background(), time.Hour)
	if err != nil {
		si.t.Fatal(err)
	}
	value := fmt.Sprintf("%s 1 %d%s", host, lease, address)
	_, _, err = kv.Commit(context.Background(), store.Txn{Puts: []store.Put{{Key: batch.LeaderKey, Value: []byte(value), Lease: lease}}})
	if err != nil {
		si.t.Fatal(err)
	}
	return value
}

// TestRestartedLeaderNeedNotWaitForItsLease guards against hosts that, after all
// of them have restarted, wait until the lease of the former leader expires.
func TestRestartedLeaderNeedNotWaitForItsLease(t *testing.T) {
	si := newSite(t, 1)
	former := si.putLeader("a", "")
	si.host("b")
	si.host("a")
	kvsim.Eventually(t, func() bool {
		now, held := si.store.Value(batch.LeaderKey)
		return held && string(now) != former
	})
}

// TestOtherHostsLeaseIsKept guards against a host that revokes the lease of a
// leader that runs on another host.
func TestOtherHostsLeaseIsKept(t *testing.T) {
	is := is.New(t)
	si := newSite(t, 1)
	former := si.putLeader("ab", " 10.0.0.1:1")
	si.host("a")
	si.host("b")
	time.Sleep(2 * taskTime)
	now, held := si.store.Value(batch.LeaderKey)
	is.True(held)
	is.Equal(string(now), former)
}
