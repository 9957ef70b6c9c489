package drive_test

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/batch"
	"github.com/cicadawharf/cicadawharf/internal/drive"
	"github.com/cicadawharf/cicadawharf/internal/fakes/kvsim"
	"github.com/cicadawharf/cicadawharf/internal/fakes/runsim"
	"github.com/cicadawharf/cicadawharf/internal/runner"
)

// slowClient replies to starts late, after their second copy was sent. It counts them, and
// notes the last end that was acknowledged.
type slowClient struct {
	*runsim.Client
	mu     sync.Mutex
	starts int
	acked  int64
}

// slowReply is longer than a start may be without a reply before it is sent again, and leaves
// time for the replies to both copies.
const slowReply = 450 * time.Millisecond

func (sc *slowClient) Start(ctx context.Context, wk runner.Worker, rq runner.StartRequest) (time.Duration, error) {
	sc.mu.Lock()
	sc.starts++
	sc.mu.Unlock()
	clock, err := sc.Client.Start(ctx, wk, rq)
	select {
	case <-time.After(slowReply):
		return clock, err
	case <-ctx.Done():
		return 0, runner.ErrOutcomeUnknown
	}
}

func (sc *slowClient) Poll(ctx context.Context, wk runner.Worker, rq runner.PollRequest) (runner.Status, error) {
	sc.mu.Lock()
	sc.acked = max(sc.acked, rq.Acked)
	sc.mu.Unlock()
	return sc.Client.Poll(ctx, wk, rq)
}

// counts returns the number of starts, and that of the last end that was acknowledged.
func (sc *slowClient) counts() (starts int, acked int64) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return sc.starts, sc.acked
}

// TestSlowWorkerHoldsNoEnds has a worker reply to both copies of a start, each of them late.
// It guards against ends that wait for copies although both were answered. One of five jobs
// has to be that quick, since the test machine may be busy.
func TestSlowWorkerHoldsNoEnds(t *testing.T) {
	const maxAck = 5 * time.Second
	si := newSite(t, 1)
	cl := &slowClient{Client: si.workers}
	sc := drive.New(time.Now(), drive.Config{
		Host: "a", Cores: 1, Store: si.store.Client(t, time.Second), Log: slog.New(slog.DiscardHandler), Layout: runsim.Layout(), Workers: cl,
	})
	kvsim.Background(t, func(ctx context.Context) error {
		sc.Run(ctx)
		return nil
	})
	for i := range 5 {
		id := fmt.Sprintf("j%d", i)
		before, _ := cl.counts()
		si.submit(id, 1)
		kvsim.Eventually(t, func() bool { return si.state(id) == batch.Done })
		for done := time.Now(); time.Since(done) < maxAck; time.Sleep(20 * time.Millisecond) {
			if starts, acked := cl.counts(); starts-before == 2 && acked > int64(i) {
				return
			}
		}
	}
	t.Error("no end was acknowledged in time")
}
