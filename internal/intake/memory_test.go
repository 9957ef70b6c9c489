package intake_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadawharf/cicadawharf/internal/batch"
	"github.com/cicadawharf/cicadawharf/internal/fakes/kvsim"
	"github.com/cicadawharf/cicadawharf/internal/intake"
	"github.com/cicadawharf/cicadawharf/internal/store"
	"github.com/cicadawharf/cicadawharf/pkg/codes"
)

// memoryHost is a host with a memory limit of 10 MB, and its store.
type memoryHost struct {
	t     *testing.T
	store *kvsim.Server
	in    *intake.Intake
}

func newMemoryHost(t *testing.T) *memoryHost {
	mh := &memoryHost{t: t, store: kvsim.Start(t, kvsim.Config{})}
	mh.store.Put("policy", []byte("1"))
	mh.in = intake.New(intake.Config{
		Store: mh.store.Client(t, time.Second), PolicyKey: "policy", Decode: decodePolicy, MaxPolicyAge: time.Hour,
		Log: slog.New(slog.DiscardHandler), MemoryLimit: 10_000_000,
	})
	return mh
}

// report stores the scheduler's report of the memory that it needs.
func (mh *memoryHost) report(held int64) {
	data, err := batch.Encode(batch.Backlog{Held: held})
	if err != nil {
		mh.t.Fatal(err)
	}
	mh.store.Put(batch.BacklogKey, data)
}

// submit returns the code of the error of a submission, or zero, and its
// retry-after time.
func (mh *memoryHost) submit(up time.Duration, id string, tasks int) (codes.Code, time.Duration) {
	ctx := context.Background()
	ac, err := mh.in.Authorize(ctx, up, "h", "/j", "")
	if err != nil {
		mh.t.Fatal(err)
	}
	err = mh.in.Submit(ctx, up, ac, batch.Job{ID: id, Queue: ac.Queue, Steps: []batch.Step{{Tasks: tasks}}})
	var ce *codes.Error
	if errors.As(err, &ce) {
		return ce.Code, ce.RetryAfter
	}
	if err != nil {
		mh.t.Fatal(err)
	}
	return 0, 0
}

// TestJobsBeyondTheSchedulersMemoryAreRefused guards against accepting jobs without
// bound, which take each scheduler over its memory in turn.
func TestJobsBeyondTheSchedulersMemoryAreRefused(t *testing.T) {
	is := is.New(t)
	mh := newMemoryHost(t)
	code, _ := mh.submit(0, "j1", 1000)
	is.Equal(code, codes.Code(0))
	mh.report(2_900_000)
	code, after := mh.submit(time.Minute, "j2", 1000)
	is.Equal(code, codes.QueueFull)
	is.True(after > 0)
	code, _ = mh.submit(time.Minute, "j1", 1000)
	is.Equal(code, codes.Code(0)) // it was accepted before
	en, _, err := mh.store.Client(t, time.Second).Get(context.Background(), batch.JobKey("j2"))
	is.NoErr(err)
	is.Equal(int64(en.Revision), int64(0))
	mh.report(0)
	code, _ = mh.submit(time.Minute+2*time.Second, "j2", 1000)
	is.Equal(code, codes.Code(0)) // memory is free again
}

// TestOwnJobsCountBeforeTheNextReport accepts jobs faster than the scheduler reports
// them. It guards against a burst that is accepted by an old report.
func TestOwnJobsCountBeforeTheNextReport(t *testing.T) {
	is := is.New(t)
	mh := newMemoryHost(t)
	accepted := 0
	for i := range 20 {
		if code, _ := mh.submit(0, fmt.Sprintf("j%02d", i), 1000); code == 0 {
			accepted++
		}
	}
	is.True(accepted > 3 && accepted < 10) // of some 400 kB each, with a limit of 3 MB
}

// TestJobLargerThanMemoryIsRefusedForGood guards against a retry-after time for a
// job that no scheduler can ever hold.
func TestJobLargerThanMemoryIsRefusedForGood(t *testing.T) {
	is := is.New(t)
	code, after := newMemoryHost(t).submit(0, "j", 5000)
	is.Equal(code, codes.ShapeTooLarge)
	is.Equal(after, time.Duration(0))
}

// silentBacklog is a store that never returns the scheduler's report.
type silentBacklog struct{ store.TxnStore }

func (sb silentBacklog) Get(ctx context.Context, key string) (store.Entry, store.Revision, error) {
	if key == batch.BacklogKey {
		<-ctx.Done()
		return store.Entry{}, 0, store.ErrUnavailable
	}
	return sb.TxnStore.Get(ctx, key)
}

// TestSubmissionsDoNotWaitForTheReport guards against submissions that miss their
// deadlines since they wait for the scheduler's report of its memory, one after the
// other, while the store does not return it.
func TestSubmissionsDoNotWaitForTheReport(t *testing.T) {
	is := is.New(t)
	mh := newMemoryHost(t)
	mh.in = intake.New(intake.Config{
		Store: silentBacklog{mh.store.Client(t, time.Second)}, PolicyKey: "policy", Decode: decodePolicy, MaxPolicyAge: time.Hour,
		Log: slog.New(slog.DiscardHandler),
	})
	began := time.Now()
	for i := range 20 {
		code, _ := mh.submit(time.Duration(i)*time.Second, fmt.Sprintf("j%02d", i), 1)
		is.Equal(code, codes.Code(0))
	}
	is.True(time.Since(began) < time.Second)
}
