package intake_test

import (
	"context"
	"log/slog"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/cicadawharf/cicadawharf/internal/batch"
	"github.com/cicadawharf/cicadawharf/internal/intake"
	"github.com/cicadawharf/cicadawharf/internal/store"
	"github.com/cicadawharf/cicadawharf/pkg/codes"
)

// blockingStore stores the version of a policy. The first read blocks until
// unblock is closed, and then returns the version as of its start.
type blockingStore struct {
	store.TxnStore
	version atomic.Int64
	reads   atomic.Int64
	unblock chan struct{}
}

func (bs *blockingStore) Get(context.Context, string) (store.Entry, store.Revision, error) {
	version := bs.version.Load()
	if bs.reads.Add(1) == 1 {
		<-bs.unblock
	}
	return store.Entry{
		Key: "policy", Value: []byte(strconv.FormatInt(version, 10)), Revision: store.Revision(version),
	}, 1, nil
}

// decodePolicy returns a policy. Only its version 1 has a queue.
func decodePolicy(value []byte) (*batch.Policy, error) {
	version, err := strconv.Atoi(string(value))
	po := &batch.Policy{Version: int64(version)}
	if version == 1 {
		po.Queues = []batch.Queue{{Name: "dropped", Host: "h", Prefix: "/", Anonymous: true}}
	}
	return po, err
}

// TestReadFromBeforeSuspensionDoesNotConfirmPolicy suspends a host while it
// reads the policy. A call that arrives after the suspension must not be
// decided by that read. The call that started the read is decided by the newest
// policy that the host has when both reads have returned, which may be either
// version.
func TestReadFromBeforeSuspensionDoesNotConfirmPolicy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		bs := &blockingStore{unblock: make(chan struct{})}
		bs.version.Store(1)
		in := intake.New(intake.Config{
			Store: bs, Decode: decodePolicy, MaxPolicyAge: 3 * time.Second, Log: slog.New(slog.DiscardHandler),
		})
		authorize := func(up time.Duration) <-chan error {
			done := make(chan error, 1)
			go func() {
				_, err := in.Authorize(t.Context(), up, "h", "/job", "")
				done <- err
			}()
			synctest.Wait() // the call waits for the blocked read
			return done
		}
		before := authorize(time.Second)
		is.Equal(bs.reads.Load(), int64(1))
		bs.version.Store(2) // while the host is suspended for 7 s
		after := authorize(8 * time.Second)
		is.Equal(bs.reads.Load(), int64(1)) // the second call shares the read
		close(bs.unblock)
		err := <-after
		is.True(err != nil) // version 2 has no queue
		is.Equal(codes.Of(err).Code, codes.PathNotFound)
		if err = <-before; err != nil {
			is.Equal(codes.Of(err).Code, codes.PathNotFound)
		}
		is.Equal(bs.reads.Load(), int64(2))
	})
}
