package zone_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/cicadawharf/cicadawharf/internal/jobs"
	"github.com/cicadawharf/cicadawharf/internal/wire"
	"github.com/cicadawharf/cicadawharf/internal/worker"
	"github.com/cicadawharf/cicadawharf/internal/zone"
	"github.com/cicadawharf/cicadawharf/pkg/codes"
)

// result is what a call in the background came to.
type result struct {
	record jobs.Record
	err    error
}

func background(fn func() (jobs.Record, error)) <-chan result {
	done := make(chan result, 1)
	go func() {
		rc, err := fn()
		done <- result{rc, err}
	}()
	return done
}

func codeOf(err error) codes.Code {
	var er *codes.Error
	if !errors.As(err, &er) {
		return 0
	}
	return er.Code
}

// runsToEnd submits a job and checks that it runs once.
func runsToEnd(t *testing.T, ri *rig, ho *host, id string) {
	t.Helper()
	is := is.New(t)
	ctx := context.Background()
	rc, err := ho.Submit(ctx, job(id, time.Second))
	is.NoErr(err)
	rc, err = ho.Get(ctx, rc.ID, bound)
	is.NoErr(err)
	is.Equal(rc.Code, codes.JobDone)
	is.Equal(ri.crew.runs(rc.ID), 1)
}

func TestOneOfTwoHostsSchedules(t *testing.T) {
	within(t, func(t *testing.T, ri *rig) {
		is := is.New(t)
		first := ri.elected("entry-1")
		second := ri.start("entry-2")
		ri.await("the other host knows the holder", func() bool {
			return second.Holder() == zone.Holder{Host: "entry-1", Epoch: 1}
		})
		is.True(!second.Holds())
		_, err := second.Submit(context.Background(), job("a", time.Second))
		is.Equal(codeOf(err), codes.NoScheduler)
		runsToEnd(t, ri, first, "a")

		first.stop()
		ri.await("the other host schedules", second.Holds)
		is.Equal(second.Holder(), zone.Holder{Host: "entry-2", Epoch: 2})
		rc, err := second.Get(context.Background(), zoneName+".a", 0)
		is.NoErr(err)
		is.Equal(rc.Code, codes.JobDone)
	})
}

func TestLapsedLeaseEndsTheTerm(t *testing.T) {
	within(t, func(t *testing.T, ri *rig) {
		is := is.New(t)
		first := ri.elected("entry-1")
		second := ri.start("entry-2")
		time.Sleep(time.Second)
		ri.store.lapse()
		ri.await("the other host schedules", second.Holds)
		ri.await("the first resigns", func() bool { return !first.Holds() })
		time.Sleep(bound)
		is.True(second.Holds() && !first.Holds())
		is.Equal(second.Holder().Epoch, int64(2))
		runsToEnd(t, ri, second, "a")
	})
}

func TestLostAnswersAreSettled(t *testing.T) {
	for _, key := range []string{"zone/lima/epoch", "zone/lima/holder", "jobs/"} {
		t.Run(key, func(t *testing.T) {
			within(t, func(t *testing.T, ri *rig) {
				ri.store.losing, ri.store.lose = key, 3
				ho := ri.elected("entry-1")
				ri.store.set(func() { ri.store.lose = 3 })
				for i := range 3 {
					runsToEnd(t, ri, ho, fmt.Sprintf("j%d", i))
				}
				is.New(t).Equal(ho.Holder().Epoch, int64(1)) // the term went on
			})
		})
	}
}

func TestLapseAloneEndsTheTerm(t *testing.T) {
	within(t, func(t *testing.T, ri *rig) {
		ho := ri.elected("entry-1")
		ri.store.lapse()
		ri.await("the next term", func() bool { return ho.Holds() && ho.Holder().Epoch == 2 })
		runsToEnd(t, ri, ho, "a")
	})
}

func TestWriteThatStayedInDoubtIsSettledLater(t *testing.T) {
	within(t, func(t *testing.T, ri *rig) {
		is := is.New(t)
		ctx := context.Background()
		ho := ri.elected("entry-1")
		ri.store.set(func() { ri.store.losing, ri.store.lose, ri.store.cut = "jobs/", 1, true })
		_, err := ho.Submit(ctx, job("a", time.Second))
		is.Equal(codeOf(err), codes.SubmitUnknown)
		is.Equal(len(ri.recorded()), 1) // it stands
		ri.store.set(func() { ri.store.down = false })
		rc, err := ho.Submit(ctx, job("a", time.Second))
		is.NoErr(err)
		rc, err = ho.Get(ctx, rc.ID, bound)
		is.NoErr(err)
		is.Equal(rc.Code, codes.JobDone)
		is.Equal(ri.crew.runs(rc.ID), 1)
		is.Equal(ho.Holder().Epoch, int64(1)) // own writes are no conflict
	})
}

// fence rewrites every bucket under a larger epoch, as a successor does.
func fence(t *testing.T, ri *rig, epoch int64) {
	t.Helper()
	for i := range zone.Buckets {
		value, err := proto.Marshal(&wire.JobBucket{Epoch: epoch})
		is.New(t).NoErr(err)
		ri.store.Put(fmt.Sprintf("jobs/%s/%d", zoneName, i), value)
	}
}

func TestConflictEndsTheTerm(t *testing.T) {
	within(t, func(t *testing.T, ri *rig) {
		is := is.New(t)
		ho := ri.elected("entry-1")
		fence(t, ri, 2)
		rc, err := ho.Submit(context.Background(), job("a", time.Second))
		is.True(err != nil)
		ri.await("a later term begins", func() bool { return ho.Holds() && ho.Holder().Epoch > 1 })
		time.Sleep(bound)
		is.Equal(ri.crew.runs(rc.ID), 0)
		is.Equal(len(ri.recorded()), 0)
	})
}

func TestNextTermGoesPastTheEpochOfABucket(t *testing.T) {
	within(t, func(t *testing.T, ri *rig) {
		fence(t, ri, 1000)
		ho := ri.elected("entry-1")
		is.New(t).True(ho.Holder().Epoch > 1000)
		runsToEnd(t, ri, ho, "a")
	})
}

func TestNextTermGoesPastTheEpochOfAWorker(t *testing.T) {
	within(t, func(t *testing.T, ri *rig) {
		_, err := ri.crew.tables["w3"].Apply(time.Now(), worker.Request{Epoch: 1000})
		is.New(t).NoErr(err)
		ho := ri.elected("entry-1") // all workers take its calls
		is.New(t).True(ho.Holder().Epoch > 1000)
		runsToEnd(t, ri, ho, "a")
	})
}

func TestHolderResignsOnceAPeerKnowsALargerEpoch(t *testing.T) {
	within(t, func(t *testing.T, ri *rig) {
		is := is.New(t)
		ho := ri.elected("entry-1")
		ho.Heard(zone.Holder{Host: "entry-2", Epoch: 7})
		ri.await("the next term", func() bool { return ho.Holds() && ho.Holder().Epoch > 1 })
		is.Equal(ho.Holder(), zone.Holder{Host: "entry-1", Epoch: 8})
	})
}

func TestGracefulStopWritesWhatIsDue(t *testing.T) {
	within(t, func(t *testing.T, ri *rig) {
		is := is.New(t)
		ho := ri.elected("entry-1")
		var told []<-chan result
		for i := range 40 { // the writes of a bucket are apart, so some are due
			told = append(told, background(func() (jobs.Record, error) {
				return ho.Submit(context.Background(), job(fmt.Sprintf("j%d", i), time.Minute))
			}))
		}
		time.Sleep(time.Millisecond)
		ho.stop()
		found := ri.recorded()
		for _, done := range told {
			rs := <-done
			is.NoErr(rs.err)
			_, ok := found[rs.record.ID]
			is.True(ok)
		}
		is.Equal(len(ri.store.leases), 0) // given up, not left to lapse
		next := ri.start("entry-2")
		time.Sleep(time.Second)
		is.True(next.Holds())
	})
}

func TestStoreAway(t *testing.T) {
	within(t, func(t *testing.T, ri *rig) {
		is := is.New(t)
		ctx := context.Background()
		ho := ri.elected("entry-1")
		known, err := ho.Submit(ctx, job("known", 5*time.Second))
		is.NoErr(err)
		ri.store.set(func() { ri.store.down = true })
		time.Sleep(bound)
		is.True(ho.Holds()) // nobody else can take over
		begun := time.Now()
		_, err = ho.Submit(ctx, job("refused", time.Second))
		is.Equal(time.Since(begun), time.Duration(0)) // at once
		var er *codes.Error
		is.True(errors.As(err, &er))
		is.Equal(er.Code, codes.StoreUnavailable)
		is.True(er.RetryAfter > 0)
		again, err := ho.Submit(ctx, job("known", 5*time.Second))
		is.NoErr(err)
		is.Equal(again.ID, known.ID)

		ri.store.set(func() { ri.store.down = false })
		rc, err := ho.Get(ctx, known.ID, bound)
		is.NoErr(err)
		is.Equal(rc.Code, codes.JobDone)
		is.Equal(ri.crew.runs(known.ID), 1)
		ri.await("the store is known to answer", func() bool {
			_, err := ho.Submit(ctx, job("new", time.Second))
			return err == nil
		})
		is.Equal(ho.Holder().Epoch, int64(1))
		_, ok := ri.recorded()[zoneName+".refused"]
		is.True(!ok)
	})
}

func TestNewJobIsRefusedBeforeItsWriteHangs(t *testing.T) {
	within(t, func(t *testing.T, ri *rig) {
		is := is.New(t)
		ho := ri.elected("entry-1")
		ri.store.set(func() { ri.store.down, ri.store.stall = true, "jobs/" })
		time.Sleep(5 * time.Second) // renewals fail
		begun := time.Now()
		_, err := ho.Submit(context.Background(), job("refused", time.Second))
		is.Equal(codeOf(err), codes.StoreUnavailable)
		is.Equal(time.Since(begun), time.Duration(0))
		ri.store.set(func() { ri.store.down, ri.store.stall = false, "" })
		time.Sleep(bound)
		is.Equal(len(ri.recorded()), 0)
	})
}

func TestGetWaits(t *testing.T) {
	within(t, func(t *testing.T, ri *rig) {
		is := is.New(t)
		ctx := context.Background()
		ho := ri.elected("entry-1")
		short, err := ho.Submit(ctx, job("short", 5*time.Second))
		is.NoErr(err)
		long, err := ho.Submit(ctx, job("long", time.Hour))
		is.NoErr(err)

		begun := time.Now()
		rc, err := ho.Get(ctx, short.ID, time.Hour)
		is.NoErr(err)
		is.Equal(rc.Code, codes.JobDone)
		is.True(time.Since(begun) < 10*time.Second) // woken by the end

		begun = time.Now()
		rc, err = ho.Get(ctx, long.ID, 3*time.Second)
		is.NoErr(err)
		is.Equal(rc.State, jobs.Running)
		is.Equal(time.Since(begun), 3*time.Second)

		waiting := background(func() (jobs.Record, error) { return ho.Get(ctx, long.ID, time.Hour) })
		time.Sleep(time.Second)
		begun = time.Now()
		ho.stop()
		is.Equal(codeOf((<-waiting).err), codes.NoScheduler)
		is.True(time.Since(begun) < 10*time.Second)
	})
}

func TestEndOfTermAnswersTickets(t *testing.T) {
	within(t, func(t *testing.T, ri *rig) {
		is := is.New(t)
		ctx := context.Background()
		ho := ri.elected("entry-1")
		known, err := ho.Submit(ctx, job("known", time.Hour))
		is.NoErr(err)
		ri.await("it runs", func() bool { return ri.crew.runs(known.ID) == 1 })
		time.Sleep(time.Second) // until nothing is due
		ri.store.set(func() { ri.store.stall = "jobs/" })
		submitted := background(func() (jobs.Record, error) { return ho.Submit(ctx, job("new", time.Second)) })
		cancelled := background(func() (jobs.Record, error) { return ho.Cancel(ctx, known.ID) })
		time.Sleep(500 * time.Millisecond)
		begun := time.Now()
		ho.Heard(zone.Holder{Host: "entry-2", Epoch: 7})
		is.Equal(codeOf((<-submitted).err), codes.SubmitUnknown)
		is.Equal(codeOf((<-cancelled).err), codes.CancelUnknown)
		is.True(time.Since(begun) < time.Second)
		ri.store.set(func() { ri.store.stall = "" })
	})
}

// TestMovedWorkerIsCalledAtItsNewAddressOnly gives a worker another address.
func TestMovedWorkerIsCalledAtItsNewAddressOnly(t *testing.T) {
	within(t, func(t *testing.T, ri *rig) {
		is := is.New(t)
		ho := ri.elected("entry-1")
		ri.move("w1", "w1-moved")
		ri.await("every worker is heard", func() bool {
			sm, _ := ho.Summary(time.Now())
			return sm.Workers == workers
		})
		time.Sleep(bound)
		ri.crew.mu.Lock()
		before := ri.crew.strays
		ri.crew.mu.Unlock()
		time.Sleep(bound)
		ri.crew.mu.Lock()
		defer ri.crew.mu.Unlock()
		is.Equal(ri.crew.strays, before)
		sm, _ := ho.Summary(time.Now())
		is.Equal(sm.Workers, workers)
	})
}
