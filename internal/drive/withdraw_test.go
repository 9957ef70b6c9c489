package drive_test

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadawharf/cicadawharf/internal/batch"
	"github.com/cicadawharf/cicadawharf/internal/drive"
	"github.com/cicadawharf/cicadawharf/internal/fakes/kvsim"
	"github.com/cicadawharf/cicadawharf/internal/fakes/runsim"
	"github.com/cicadawharf/cicadawharf/internal/runner"
)

// lossyClient carries out each start and loses its reply. It counts the calls.
type lossyClient struct {
	*runsim.Client
	mu     sync.Mutex
	starts map[batch.TaskID]int
}

func (lc *lossyClient) Start(ctx context.Context, wk runner.Worker, rq runner.StartRequest) (time.Duration, error) {
	lc.mu.Lock()
	lc.starts[rq.Task]++
	lc.mu.Unlock()
	_, _ = lc.Client.Start(ctx, wk, rq)
	<-ctx.Done()
	return 0, runner.ErrOutcomeUnknown
}

// TestStartIsNotSentAgainAfterItsEnd loses the replies to starts of tasks that fail at
// once. It guards against a second call after a poll has shown the end of the attempt: it
// would begin that attempt again if the worker has restarted meanwhile.
func TestStartIsNotSentAgainAfterItsEnd(t *testing.T) {
	is := is.New(t)
	si := newSite(t, 1)
	si.workers.With(func(_ time.Time, fl *runsim.Fleet) { fl.Fail("w0", true) })
	lc := &lossyClient{Client: si.workers, starts: map[batch.TaskID]int{}}
	sc := drive.New(time.Now(), drive.Config{
		Host: "a", Cores: 1, Store: si.store.Client(t, time.Second), Log: slog.New(slog.DiscardHandler), Layout: runsim.Layout(), Workers: lc,
	})
	kvsim.Background(t, func(ctx context.Context) error {
		sc.Run(ctx)
		return nil
	})
	si.submit("a", 8)
	kvsim.Eventually(t, func() bool { return si.state("a") == batch.Failed })
	time.Sleep(time.Second) // a second call of an attempt would have been sent
	const attempts = 2      // that the queue permits
	lc.mu.Lock()
	defer lc.mu.Unlock()
	is.Equal(slices.Min(slices.Collect(maps.Values(lc.starts))), attempts) // of some task, since the test machine may be busy
}
