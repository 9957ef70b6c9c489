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

// blockingStore holds the version of a policy. The answer to the first read comes
// when it is let go, with what stood when the read was made.
type blockingStore struct {
	store.Committer
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

// decodePolicy returns a policy of which only the newest version knows a queue.
func decodePolicy(value []byte) (*batch.Policy, error) {
	version, err := strconv.Atoi(string(value))
	po := &batch.Policy{Version: int64(version)}
	if version == 1 {
		po.Queues = []batch.Queue{{Name: "dropped", Host: "h", Prefix: "/", Anonymous: true}}
	}
	return po, err
}

// TestReadFromBeforeSuspensionDoesNotConfirmPolicy suspends a host while it reads the
// policy. A call that comes when it wakes must not be answered by that read. The
// call that made the read is answered by the newest policy that the host knows
// when both reads are back, which is either of the two.
func TestReadFromBeforeSuspensionDoesNotConfirmPolicy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		bs := &blockingStore{unblock: make(chan struct{})}
		bs.version.Store(1)
		in := intake.New(intake.Config{
			Store: bs, Decode: decodePolicy, TrustFor: 3 * time.Second, Log: slog.New(slog.DiscardHandler),
		})
		open := func(up time.Duration) <-chan error {
			done := make(chan error, 1)
			go func() {
				_, err := in.Open(t.Context(), up, "h", "/job", "")
				done <- err
			}()
			synctest.Wait() // the call waits for the read that is held
			return done
		}
		before := open(time.Second)
		is.Equal(bs.reads.Load(), int64(1))
		bs.version.Store(2) // while the host is suspended for seven seconds
		after := open(8 * time.Second)
		is.Equal(bs.reads.Load(), int64(1)) // the second call shares the read
		close(bs.unblock)
		err := <-after
		is.True(err != nil) // the queue is no more
		is.Equal(codes.Of(err).Code, codes.PathNotFound)
		if err = <-before; err != nil {
			is.Equal(codes.Of(err).Code, codes.PathNotFound)
		}
		is.Equal(bs.reads.Load(), int64(2))
	})
}
