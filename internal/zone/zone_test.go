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

// result is the result of a call in the background.
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

// runsToEnd submits a job and checks that it succeeds and runs once.
func runsToEnd(t *testing.T, ha *harness, ho *host, id string) {
	t.Helper()
	is := is.New(t)
	ctx := context.Background()
	rc, err := ho.Submit(ctx, job(id, time.Second))
	is.NoErr(err)
	rc, err = ho.Get(ctx, rc.ID, waitLimit)
	is.NoErr(err)
	is.Equal(rc.Code, codes.JobDone)
	is.Equal(ha.workers.runs(rc.ID), 1)
}

// TestOnlyLeaderSchedules checks that a host that isn't the leader refuses jobs,
// and that it takes over the records when the leader stops.
func TestOnlyLeaderSchedules(t *testing.T) {
	withHarness(t, func(t *testing.T, ha *harness) {
		is := is.New(t)
		first := ha.startElected("entry-1")
		second := ha.start("entry-2")
		ha.await("the other host knows the leader", func() bool {
			return second.Leader() == zone.Leader{Host: "entry-1", Epoch: 1}
		})
		is.True(!second.IsLeader())
		_, err := second.Submit(context.Background(), job("a", time.Second))
		is.Equal(codeOf(err), codes.NoScheduler)
		runsToEnd(t, ha, first, "a")

		first.stop()
		ha.await("the other host schedules", second.IsLeader)
		is.Equal(second.Leader(), zone.Leader{Host: "entry-2", Epoch: 2})
		rc, err := second.Get(context.Background(), zoneName+".a", 0)
		is.NoErr(err)
		is.Equal(rc.Code, codes.JobDone)
	})
}

// TestLeaseExpiryMovesLeadership lets the leader's lease expire. Another host must
// become the leader, and the first must resign for good.
func TestLeaseExpiryMovesLeadership(t *testing.T) {
	withHarness(t, func(t *testing.T, ha *harness) {
		is := is.New(t)
		first := ha.startElected("entry-1")
		second := ha.start("entry-2")
		time.Sleep(time.Second)
		ha.store.expireAll()
		ha.await("the other host schedules", second.IsLeader)
		ha.await("the first resigns", func() bool { return !first.IsLeader() })
		time.Sleep(waitLimit)
		is.True(second.IsLeader() && !first.IsLeader())
		is.Equal(second.Leader().Epoch, int64(2))
		runsToEnd(t, ha, second, "a")
	})
}

// TestLostStoreRepliesAreResolved loses the replies of writes that took effect.
// The leader must recognize these writes as its own, and neither lose its term nor
// run a job twice.
func TestLostStoreRepliesAreResolved(t *testing.T) {
	for _, key := range []string{"zone/lima/epoch", "zone/lima/holder", "jobs/"} {
		t.Run(key, func(t *testing.T) {
			withHarness(t, func(t *testing.T, ha *harness) {
				ha.store.losePrefix, ha.store.loseReplies = key, 3
				ho := ha.startElected("entry-1")
				ha.store.set(func() { ha.store.loseReplies = 3 })
				for i := range 3 {
					runsToEnd(t, ha, ho, fmt.Sprintf("j%d", i))
				}
				is.New(t).Equal(ho.Leader().Epoch, int64(1)) // same term
			})
		})
	}
}

// TestLeaseExpiryOfOnlyHost lets the lease expire without another host. The same
// host must begin a new term.
func TestLeaseExpiryOfOnlyHost(t *testing.T) {
	withHarness(t, func(t *testing.T, ha *harness) {
		ho := ha.startElected("entry-1")
		ha.store.expireAll()
		ha.await("the next term", func() bool { return ho.IsLeader() && ho.Leader().Epoch == 2 })
		runsToEnd(t, ha, ho, "a")
	})
}

// TestIndeterminateWriteIsResolvedLater loses the reply of a write and makes the
// store unavailable at once, so that its outcome can't be read. When the store is
// available again, the leader must not take the write for a conflict.
func TestIndeterminateWriteIsResolvedLater(t *testing.T) {
	withHarness(t, func(t *testing.T, ha *harness) {
		is := is.New(t)
		ctx := context.Background()
		ho := ha.startElected("entry-1")
		ha.store.set(func() { ha.store.losePrefix, ha.store.loseReplies, ha.store.downOnLoss = "jobs/", 1, true })
		_, err := ho.Submit(ctx, job("a", time.Second))
		is.Equal(codeOf(err), codes.SubmitUnknown)
		is.Equal(len(ha.recorded()), 1) // the write has taken effect
		ha.store.set(func() { ha.store.down = false })
		rc, err := ho.Submit(ctx, job("a", time.Second))
		is.NoErr(err)
		rc, err = ho.Get(ctx, rc.ID, waitLimit)
		is.NoErr(err)
		is.Equal(rc.Code, codes.JobDone)
		is.Equal(ha.workers.runs(rc.ID), 1)
		is.Equal(ho.Leader().Epoch, int64(1)) // an own write is no conflict
	})
}

// fence rewrites every bucket under a larger epoch, as a new leader does.
func fence(t *testing.T, ha *harness, epoch int64) {
	t.Helper()
	for i := range zone.Buckets {
		value, err := proto.Marshal(&wire.JobBucket{Epoch: epoch})
		is.New(t).NoErr(err)
		ha.store.Put(fmt.Sprintf("jobs/%s/%d", zoneName, i), value)
	}
}

// TestWriteConflictEndsTerm rewrites the buckets under a larger epoch while a
// leader runs. Its next write must fail and end its term, and the job of that
// write must not run.
func TestWriteConflictEndsTerm(t *testing.T) {
	withHarness(t, func(t *testing.T, ha *harness) {
		is := is.New(t)
		ho := ha.startElected("entry-1")
		fence(t, ha, 2)
		rc, err := ho.Submit(context.Background(), job("a", time.Second))
		is.True(err != nil)
		ha.await("a later term begins", func() bool { return ho.IsLeader() && ho.Leader().Epoch > 1 })
		time.Sleep(waitLimit)
		is.Equal(ha.workers.runs(rc.ID), 0)
		is.Equal(len(ha.recorded()), 0)
	})
}

// TestNextEpochExceedsEpochOfBuckets starts a host on buckets with a larger epoch
// than the one last assigned, as after the restore of a backup. Without a larger
// epoch it could never load them.
func TestNextEpochExceedsEpochOfBuckets(t *testing.T) {
	withHarness(t, func(t *testing.T, ha *harness) {
		fence(t, ha, 1000)
		ho := ha.startElected("entry-1")
		is.New(t).True(ho.Leader().Epoch > 1000)
		runsToEnd(t, ha, ho, "a")
	})
}

// TestNextEpochExceedsEpochOfWorkers starts a host with a worker that has seen a
// larger epoch than the one last assigned, and would refuse every call.
func TestNextEpochExceedsEpochOfWorkers(t *testing.T) {
	withHarness(t, func(t *testing.T, ha *harness) {
		_, err := ha.workers.tables["w3"].Apply(time.Now(), worker.Request{Epoch: 1000})
		is.New(t).NoErr(err)
		ho := ha.startElected("entry-1") // every worker accepts its epoch
		is.New(t).True(ho.Leader().Epoch > 1000)
		runsToEnd(t, ha, ho, "a")
	})
}

// TestLeaderResignsOnLargerEpochOfPeer checks that a leader that a peer has
// replaced resigns, and that its next term has an epoch larger than the peer's.
func TestLeaderResignsOnLargerEpochOfPeer(t *testing.T) {
	withHarness(t, func(t *testing.T, ha *harness) {
		is := is.New(t)
		ho := ha.startElected("entry-1")
		ho.ObserveLeader(zone.Leader{Host: "entry-2", Epoch: 7})
		ha.await("the next term", func() bool { return ho.IsLeader() && ho.Leader().Epoch > 1 })
		is.Equal(ho.Leader(), zone.Leader{Host: "entry-1", Epoch: 8})
	})
}

// TestGracefulStopFlushesWrites stops the leader while writes are due. All
// submitted jobs must be recorded, and the lease must be revoked, so that another
// host takes over at once.
func TestGracefulStopFlushesWrites(t *testing.T) {
	withHarness(t, func(t *testing.T, ha *harness) {
		is := is.New(t)
		ho := ha.startElected("entry-1")
		var results []<-chan result
		for i := range 40 { // writes of a bucket are spaced, so some are still due
			results = append(results, background(func() (jobs.Record, error) {
				return ho.Submit(context.Background(), job(fmt.Sprintf("j%d", i), time.Minute))
			}))
		}
		time.Sleep(time.Millisecond)
		ho.stop()
		found := ha.recorded()
		for _, done := range results {
			rs := <-done
			is.NoErr(rs.err)
			_, ok := found[rs.record.ID]
			is.True(ok)
		}
		is.Equal(len(ha.store.leases), 0) // revoked
		next := ha.start("entry-2")
		time.Sleep(time.Second)
		is.True(next.IsLeader())
	})
}

// TestStoreOutage makes the store unavailable for a while. The leader must stay
// the leader, complete recorded jobs, refuse new ones at once, and accept them
// again afterwards.
func TestStoreOutage(t *testing.T) {
	withHarness(t, func(t *testing.T, ha *harness) {
		is := is.New(t)
		ctx := context.Background()
		ho := ha.startElected("entry-1")
		known, err := ho.Submit(ctx, job("known", 5*time.Second))
		is.NoErr(err)
		ha.store.set(func() { ha.store.down = true })
		time.Sleep(waitLimit)
		is.True(ho.IsLeader()) // no other host can take over
		start := time.Now()
		_, err = ho.Submit(ctx, job("refused", time.Second))
		is.Equal(time.Since(start), time.Duration(0)) // at once
		var er *codes.Error
		is.True(errors.As(err, &er))
		is.Equal(er.Code, codes.StoreUnavailable)
		is.True(er.RetryAfter > 0)
		again, err := ho.Submit(ctx, job("known", 5*time.Second))
		is.NoErr(err)
		is.Equal(again.ID, known.ID)

		ha.store.set(func() { ha.store.down = false })
		rc, err := ho.Get(ctx, known.ID, waitLimit)
		is.NoErr(err)
		is.Equal(rc.Code, codes.JobDone)
		is.Equal(ha.workers.runs(known.ID), 1)
		ha.await("the store is known to be available", func() bool {
			_, err := ho.Submit(ctx, job("new", time.Second))
			return err == nil
		})
		is.Equal(ho.Leader().Epoch, int64(1))
		_, ok := ha.recorded()[zoneName+".refused"]
		is.True(!ok)
	})
}

// TestStoreOutageRefusesNewJobsAtOnce makes writes hang during an outage. A new
// job must be refused without a write, as its outcome would be unknown.
func TestStoreOutageRefusesNewJobsAtOnce(t *testing.T) {
	withHarness(t, func(t *testing.T, ha *harness) {
		is := is.New(t)
		ho := ha.startElected("entry-1")
		ha.store.set(func() { ha.store.down, ha.store.stallPrefix = true, "jobs/" })
		time.Sleep(5 * time.Second) // lets a renewal fail
		start := time.Now()
		_, err := ho.Submit(context.Background(), job("refused", time.Second))
		is.Equal(codeOf(err), codes.StoreUnavailable)
		is.Equal(time.Since(start), time.Duration(0))
		ha.store.set(func() { ha.store.down, ha.store.stallPrefix = false, "" })
		time.Sleep(waitLimit)
		is.Equal(len(ha.recorded()), 0)
	})
}

// TestGetWaitsForEnd checks that a waiting Get returns when the job has ended, when
// its wait is over, and when the term ends.
func TestGetWaitsForEnd(t *testing.T) {
	withHarness(t, func(t *testing.T, ha *harness) {
		is := is.New(t)
		ctx := context.Background()
		ho := ha.startElected("entry-1")
		short, err := ho.Submit(ctx, job("short", 5*time.Second))
		is.NoErr(err)
		long, err := ho.Submit(ctx, job("long", time.Hour))
		is.NoErr(err)

		start := time.Now()
		rc, err := ho.Get(ctx, short.ID, time.Hour)
		is.NoErr(err)
		is.Equal(rc.Code, codes.JobDone)
		is.True(time.Since(start) < 10*time.Second) // notified of the end

		start = time.Now()
		rc, err = ho.Get(ctx, long.ID, 3*time.Second)
		is.NoErr(err)
		is.Equal(rc.State, jobs.Running)
		is.Equal(time.Since(start), 3*time.Second)

		waiting := background(func() (jobs.Record, error) { return ho.Get(ctx, long.ID, time.Hour) })
		time.Sleep(time.Second)
		start = time.Now()
		ho.stop()
		is.Equal(codeOf((<-waiting).err), codes.NoScheduler)
		is.True(time.Since(start) < 10*time.Second)
	})
}

// TestEndOfTermAnswersPendingCalls ends the term while writes hang. The callers
// must be told that the outcome is unknown, without waiting for the writes.
func TestEndOfTermAnswersPendingCalls(t *testing.T) {
	withHarness(t, func(t *testing.T, ha *harness) {
		is := is.New(t)
		ctx := context.Background()
		ho := ha.startElected("entry-1")
		known, err := ho.Submit(ctx, job("known", time.Hour))
		is.NoErr(err)
		ha.await("the job runs", func() bool { return ha.workers.runs(known.ID) == 1 })
		time.Sleep(time.Second) // until no write is due
		ha.store.set(func() { ha.store.stallPrefix = "jobs/" })
		submitted := background(func() (jobs.Record, error) { return ho.Submit(ctx, job("new", time.Second)) })
		cancelled := background(func() (jobs.Record, error) { return ho.Cancel(ctx, known.ID) })
		time.Sleep(500 * time.Millisecond)
		start := time.Now()
		ho.ObserveLeader(zone.Leader{Host: "entry-2", Epoch: 7})
		is.Equal(codeOf((<-submitted).err), codes.SubmitUnknown)
		is.Equal(codeOf((<-cancelled).err), codes.CancelUnknown)
		is.True(time.Since(start) < time.Second)
		ha.store.set(func() { ha.store.stallPrefix = "" })
	})
}

// TestMovedWorkerIsCalledOnlyAtNewAddress changes the address of a worker. Calls
// to the old address must end.
func TestMovedWorkerIsCalledOnlyAtNewAddress(t *testing.T) {
	withHarness(t, func(t *testing.T, ha *harness) {
		is := is.New(t)
		ho := ha.startElected("entry-1")
		ha.move("w1", "w1-moved")
		ha.await("every worker is usable", func() bool {
			sm, _ := ho.Summary(time.Now())
			return sm.Workers == workerCount
		})
		time.Sleep(waitLimit)
		ha.workers.mu.Lock()
		before := ha.workers.unreachable
		ha.workers.mu.Unlock()
		time.Sleep(waitLimit)
		ha.workers.mu.Lock()
		defer ha.workers.mu.Unlock()
		is.Equal(ha.workers.unreachable, before)
		sm, _ := ho.Summary(time.Now())
		is.Equal(sm.Workers, workerCount)
	})
}
