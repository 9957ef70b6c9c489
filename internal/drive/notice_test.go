package drive_test

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadawharf/cicadawharf/internal/batch"
	"github.com/cicadawharf/cicadawharf/internal/drive"
	"github.com/cicadawharf/cicadawharf/internal/fakes/kvsim"
	"github.com/cicadawharf/cicadawharf/internal/fakes/runsim"
	"github.com/cicadawharf/cicadawharf/internal/runner"
)

// announcingHosts runs a leader and another host, whose notices reach the leader
// at its peer address, and returns both.
func announcingHosts(si *site) (lead, other *drive.Scheduler) {
	const address = "10.0.0.1:1"
	start := func(name string, notify func(string, batch.Notice)) *drive.Scheduler {
		cf := drive.Config{
			Host: name, Cores: 1, Store: si.store.Client(si.t, time.Second), Workers: si.workers, Notify: notify,
			Log: slog.New(slog.DiscardHandler), Layout: runsim.Layout(),
		}
		if name == "lead" {
			cf.PeerAddress = address
		}
		sc := drive.New(time.Now(), cf)
		kvsim.Background(si.t, func(ctx context.Context) error {
			sc.Run(ctx)
			return nil
		})
		return sc
	}
	lead = start("lead", nil)
	kvsim.Eventually(si.t, lead.IsLeader)
	reached := make(chan struct{}, 1)
	other = start("other", func(to string, no batch.Notice) {
		if to == address && lead.Deliver(no) {
			select {
			case reached <- struct{}{}:
			default:
			}
		}
	})
	kvsim.Eventually(si.t, func() bool { // it has read who the leader is
		other.Announce(batch.Notice{Cancelled: "unknown"})
		return len(reached) > 0
	})
	return lead, other
}

// announce writes a job to the store and announces it.
func (si *site) announce(sc *drive.Scheduler, id string, tasks int) {
	si.submit(id, tasks)
	jb := si.jobs[id]
	en, _, err := si.store.Client(si.t, time.Second).Get(si.t.Context(), batch.JobKey(id))
	if err != nil {
		si.t.Fatal(err)
	}
	sc.Announce(batch.Notice{Job: &jb, Revision: int64(en.Revision)})
}

// TestAnnouncedJobsNeedNoWatch guards against jobs that wait, and cancellations
// that have no effect, while a store that has lost its history leaves the
// leader's watches without a response.
func TestAnnouncedJobsNeedNoWatch(t *testing.T) {
	is := is.New(t)
	si := newSite(t, 1)
	_, other := announcingHosts(si)
	si.store.SetFaults(kvsim.Faults{FreezeWatches: true})
	si.announce(other, "begun", 8)
	kvsim.Eventually(t, func() bool { return si.starts() == 8 })
	si.announce(other, "waiting", 8)
	si.put(batch.CancelKey("waiting"), "")
	other.Announce(batch.Notice{Cancelled: "waiting"})
	kvsim.Eventually(t, func() bool { return si.state("waiting") == batch.Cancelled })
	kvsim.Eventually(t, func() bool { return si.state("begun") == batch.Done })
	is.Equal(si.starts(), 8)
	si.checkInvariants()
}

// TestWatchesBehindAreReadAgain guards against a leader that misses changes of
// every kind, here a new worker, as long as its watches get no response although
// hosts announce that they have written to the store.
func TestWatchesBehindAreReadAgain(t *testing.T) {
	si := newSite(t, 0)
	_, other := announcingHosts(si)
	si.store.SetFaults(kvsim.Faults{FreezeWatches: true})
	wk := runner.Worker{ID: "late", Address: "late:1", Service: "svc", Capacity: batch.Resources{Accelerators: 8}}
	si.workers.With(func(now time.Time, fl *runsim.Fleet) { wk.Born = fl.Add(now, "late", wk.Capacity, 1) })
	si.put(runsim.WorkerPrefix+"late", wk)
	si.announce(other, "a", 1)
	kvsim.Eventually(t, func() bool { return si.state("a") == batch.Done })
	si.checkInvariants()
}
