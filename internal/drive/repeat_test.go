package drive_test

import (
	"context"
	"fmt"
	"log/slog"
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

// lateClient gives no response to the first call of one kind about the first task
// of each job, and carries it out after lateDelay.
type lateClient struct {
	*runsim.Client
	kind string // "start" or "stop"
	mu   sync.Mutex
	seen map[string]bool // jobs whose call has arrived once
}

const lateDelay = 2 * time.Second // longer than the timeout of a call

// isLate reports whether a call gets no response.
func (lc *lateClient) isLate(kind string, ti batch.TaskID) bool {
	lc.mu.Lock()
	defer lc.mu.Unlock()
	if kind != lc.kind || ti.Index != 0 || lc.seen[ti.Job] {
		return false
	}
	lc.seen[ti.Job] = true
	return true
}

func (lc *lateClient) Start(ctx context.Context, wk runner.Worker, rq runner.StartRequest) (time.Duration, error) {
	if !lc.isLate("start", rq.Task) {
		return lc.Client.Start(ctx, wk, rq)
	}
	time.AfterFunc(lateDelay, func() { _, _ = lc.Client.Start(context.Background(), wk, rq) })
	<-ctx.Done()
	return 0, runner.ErrOutcomeUnknown
}

func (lc *lateClient) Stop(ctx context.Context, wk runner.Worker, rq runner.StopRequest) error {
	if !lc.isLate("stop", rq.Task) {
		return lc.Client.Stop(ctx, wk, rq)
	}
	time.AfterFunc(lateDelay, func() { _ = lc.Client.Stop(context.Background(), wk, rq) })
	<-ctx.Done()
	return runner.ErrOutcomeUnknown
}

// hostWithLate runs a leader whose workers leave calls of a kind without a
// response.
func (si *site) hostWithLate(kind string) {
	sc := drive.New(time.Now(), drive.Config{
		Host: "a", Cores: 1, Store: si.store.Client(si.t, time.Second), Log: slog.New(slog.DiscardHandler), Layout: runsim.Layout(),
		Workers: &lateClient{Client: si.workers, kind: kind, seen: map[string]bool{}},
	})
	kvsim.Background(si.t, func(ctx context.Context) error {
		sc.Run(ctx)
		return nil
	})
}

// running returns the number of tasks of a job that run.
func (si *site) running(id string) (n int) {
	si.workers.With(func(_ time.Time, fl *runsim.Fleet) { n = fl.Running(id) })
	return n
}

// TestUnansweredStartsAreRepeated guards against a task that is stopped and begun
// anew, together with its gang, because a worker left one start without a
// response, and against one that runs twice since the worker carries that start
// out later.
func TestUnansweredStartsAreRepeated(t *testing.T) {
	is := is.New(t)
	si := newSite(t, 4)
	si.hostWithLate("start")
	const tasks = 8
	si.submit("a", tasks)
	kvsim.Eventually(t, func() bool { return si.state("a") == batch.Done })
	time.Sleep(lateDelay) // the late start has arrived
	data, _ := si.store.Value(batch.ProgressKey("a"))
	rc, err := batch.DecodeRecord(data)
	is.NoErr(err)
	for _, ur := range rc.Units {
		is.Equal(ur.Attempt, 1)
	}
	is.Equal(si.starts(), tasks)
	si.checkInvariants()
}

// TestUnansweredStopsAreRepeated guards against tasks that go on for more than a
// second after their job was cancelled, or their capacity was needed, because a
// worker left one stop without a response. One of three has to be that quick,
// since the test machine may be busy.
func TestUnansweredStopsAreRepeated(t *testing.T) {
	const maxStop = 900 * time.Millisecond
	si := newSite(t, 4)
	si.workers.With(func(now time.Time, fl *runsim.Fleet) {
		for i := range 4 {
			fl.Stall(now, fmt.Sprintf("w%d", i), true)
		}
	})
	si.hostWithLate("stop")
	var took []time.Duration
	for _, id := range []string{"a", "b", "c"} {
		si.submit(id, 2)
		kvsim.Eventually(t, func() bool { return si.running(id) == 2 })
		cancelled := time.Now()
		si.put(batch.CancelKey(id), "")
		kvsim.Eventually(t, func() bool { return si.running(id) == 0 })
		if took = append(took, time.Since(cancelled)); slices.Min(took) < maxStop {
			return
		}
	}
	t.Errorf("stops took %v", took)
}
