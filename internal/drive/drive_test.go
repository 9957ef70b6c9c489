package drive_test

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadawharf/cicadawharf/internal/batch"
	"github.com/cicadawharf/cicadawharf/internal/drive"
	"github.com/cicadawharf/cicadawharf/internal/fakes/kvsim"
	"github.com/cicadawharf/cicadawharf/internal/fakes/runsim"
	"github.com/cicadawharf/cicadawharf/internal/runner"
)

// site is a simulated domain: a fake store, fake workers and the hosts that
// schedule.
type site struct {
	t       testing.TB
	store   *kvsim.Server
	workers *runsim.Client
	jobs    map[string]batch.Job
}

const taskTime = 300 * time.Millisecond

func newSite(t testing.TB, workers int) *site {
	si := &site{t: t, store: kvsim.Start(t, kvsim.Config{}), jobs: map[string]batch.Job{}}
	fl := runsim.NewFleet(time.Now(), runsim.Config{
		MaxLease: 10 * time.Second, GangTimeout: 3 * time.Second, CheckpointInterval: time.Second,
		Plan: func(ti batch.TaskID) runsim.Plan {
			return runsim.Plan{Work: taskTime, Payload: "do " + ti.Job, Needs: batch.Resources{Accelerators: 1}}
		},
	})
	si.workers = runsim.NewClient(fl)
	si.put(runsim.PolicyKey, batch.Policy{Version: 1, Queues: []batch.Queue{{Name: "q", Service: "svc", MaxAttempts: 2, Stretch: 2}}})
	for i := range workers {
		id := fmt.Sprintf("w%d", i)
		wk := runner.Worker{ID: id, Address: id + ":1", Service: "svc", Capacity: batch.Resources{Accelerators: 8}}
		si.workers.With(func(now time.Time, fl *runsim.Fleet) { wk.Born = fl.Add(now, id, wk.Capacity, 1) })
		si.put(runsim.WorkerPrefix+id, wk)
	}
	return si
}

func (si *site) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		si.t.Fatal(err)
	}
	si.store.Put(key, data)
}

// host runs a scheduler until the returned function is called.
func (si *site) host(name string) (stop func()) { return si.hostWithCores(name, 1) }

func (si *site) hostWithCores(name string, cores float64) (stop func()) {
	sc := drive.New(time.Now(), drive.Config{
		Host: name, Cores: cores, Store: si.store.Client(si.t, time.Second), Workers: si.workers,
		Log:    slog.New(slog.DiscardHandler),
		Layout: runsim.Layout(),
	})
	return kvsim.Background(si.t, func(ctx context.Context) error {
		sc.Run(ctx)
		return nil
	})
}

func (si *site) submit(id string, tasks int) {
	jb := batch.Job{
		ID: id, Queue: batch.Queue{Name: "q", Service: "svc", MaxAttempts: 2, Stretch: 2}, Payload: "do " + id,
		Steps: []batch.Step{{Tasks: tasks, Needs: batch.Resources{Accelerators: 1}, RunTime: taskTime}},
	}
	si.jobs[id] = jb
	si.put(batch.JobKey(id), jb)
}

// leader returns the name of the leader.
func (si *site) leader() string {
	value, _ := si.store.Value(batch.LeaderKey)
	name, _, _ := strings.Cut(string(value), " ")
	return name
}

func (si *site) state(id string) batch.State {
	data, ok := si.store.Value(batch.ProgressKey(id))
	if !ok {
		return batch.Queued
	}
	rc, err := batch.DecodeRecord(data)
	if err != nil {
		si.t.Error(err)
	}
	return rc.State
}

func (si *site) await(id string, st batch.State) {
	si.t.Helper()
	kvsim.Eventually(si.t, func() bool { return si.state(id) == st })
}

func (si *site) checkInvariants() {
	si.t.Helper()
	si.workers.With(func(_ time.Time, fl *runsim.Fleet) {
		if len(fl.Violations) > 0 {
			si.t.Errorf("invariants violated: %s", strings.Join(fl.Violations, "; "))
		}
	})
}

// TestJobsRunAndAreCancelled runs a job that was accepted before there was a
// leader and one that was accepted later, and cancels a running one.
func TestJobsRunAndAreCancelled(t *testing.T) {
	si := newSite(t, 2)
	si.submit("before", 3)
	si.host("a")
	si.await("before", batch.Done)
	si.submit("later", 16)
	si.await("later", batch.Done)
	si.submit("cancelled", 4)
	si.await("cancelled", batch.Running)
	si.store.Put(batch.CancelKey("cancelled"), []byte{})
	si.await("cancelled", batch.Cancelled)
	si.checkInvariants()
}

// TestNextLeaderTakesOver stops the leader while tasks run. The next leader
// must let them run and start none twice.
func TestNextLeaderTakesOver(t *testing.T) {
	is := is.New(t)
	si := newSite(t, 2)
	stop := si.host("a")
	kvsim.Eventually(t, func() bool { _, ok := si.store.Value(batch.LeaderKey); return ok })
	si.host("b")
	si.submit("j", 40)
	si.await("j", batch.Running)
	stop()
	si.await("j", batch.Done)
	si.checkInvariants()
	value, ok := si.store.Value(batch.LeaderKey)
	is.True(ok)
	is.True(strings.HasPrefix(string(value), "b "))
	si.workers.With(func(_ time.Time, fl *runsim.Fleet) { is.Equal(fl.Starts, 40) })
}

// TestLostStoreResponses guards against a leader that stops or overwrites newer
// records when it gets no response to a write that took effect.
func TestLostStoreResponses(t *testing.T) {
	si := newSite(t, 2)
	si.host("a")
	si.submit("first", 1)
	si.await("first", batch.Done)
	for i := range 5 {
		id := fmt.Sprintf("j%d", i)
		si.submit(id, 3)
		si.store.SetFaults(kvsim.Faults{LoseAnswers: 2})
		si.await(id, batch.Done)
	}
	si.checkInvariants()
}

// TestStoreUnavailable makes the store unavailable while tasks run. The leader
// must let them run and complete the job once the store is back.
func TestStoreUnavailable(t *testing.T) {
	is := is.New(t)
	si := newSite(t, 2)
	si.host("a")
	si.submit("j", 8)
	si.await("j", batch.Running)
	si.store.SetFaults(kvsim.Faults{Down: true})
	time.Sleep(2 * taskTime)
	si.store.SetFaults(kvsim.Faults{})
	si.await("j", batch.Done)
	si.checkInvariants()
	si.workers.With(func(_ time.Time, fl *runsim.Fleet) { is.Equal(fl.Starts, 8) })
}

// TestEvacuationIsLoadedAndWatched guards against a leader that starts work in
// an availability zone before it has read the zone's evacuation, or that misses
// its end.
func TestEvacuationIsLoadedAndWatched(t *testing.T) {
	is := is.New(t)
	si := newSite(t, 1)
	wk := runner.Worker{ID: "far", Address: "far:1", Service: "svc", Zone: "z", Capacity: batch.Resources{Accelerators: 64}}
	si.workers.With(func(now time.Time, fl *runsim.Fleet) { wk.Born = fl.Add(now, wk.ID, wk.Capacity, 1) })
	si.put(runsim.WorkerPrefix+wk.ID, wk)
	si.store.Put(runsim.EvacuationPrefix+"z", []byte("{}"))
	runsThere := func() bool {
		n := 0
		si.workers.With(func(_ time.Time, fl *runsim.Fleet) { n = fl.RunningOn(wk.ID) })
		return n > 0
	}
	si.submit("before", 16)
	stop := si.host("a")
	si.await("before", batch.Done)
	is.True(!runsThere())
	is.True(strings.Contains(metricsText(), "cicadawharf_domain_evacuated_zones 1"))
	is.True(strings.Contains(metricsText(), `cicadawharf_domain_evacuated_tasks{zone="z"} 0`))
	si.store.Delete(runsim.EvacuationPrefix + "z")
	si.submit("back", 64)
	kvsim.Eventually(t, runsThere)
	si.await("back", batch.Done)
	stop()
	si.store.Put(runsim.EvacuationPrefix+"z", []byte("{}"))
	si.host("b")
	si.submit("again", 16)
	si.await("again", batch.Done)
	is.True(!runsThere())
	si.checkInvariants()
}

// TestInvalidEntriesAreIgnored guards against a leader that schedules nothing
// because of undecodable entries of workers and jobs.
func TestInvalidEntriesAreIgnored(t *testing.T) {
	si := newSite(t, 1)
	si.store.Put(runsim.WorkerPrefix+"odd", []byte("?"))
	si.store.Put(batch.AcceptedPrefix+"odd", []byte("?"))
	si.store.Put(batch.JobKey("bad"), []byte(`{"id":"bad","steps":[]}`))
	si.host("a")
	si.submit("j", 2)
	si.await("j", batch.Done)
	si.checkInvariants()
}

// TestInvalidEntryOfBusyWorker overwrites the entry of a worker that runs a
// long job by an undecodable one. The job must still be cancelled there, and
// another one must run.
func TestInvalidEntryOfBusyWorker(t *testing.T) {
	si := newSite(t, 1)
	si.host("a")
	si.submit("cancelled", 80)
	si.await("cancelled", batch.Running)
	si.store.Put(runsim.WorkerPrefix+"w0", []byte("?"))
	si.store.Put(batch.CancelKey("cancelled"), []byte{})
	si.await("cancelled", batch.Cancelled)
	si.submit("j", 4)
	si.await("j", batch.Done)
	si.checkInvariants()
}

// TestStrongerHostWinsAtStart guards against a weak host that becomes the
// leader of a new domain because it starts shortly before a strong one.
func TestStrongerHostWinsAtStart(t *testing.T) {
	for range 3 {
		is := is.New(t)
		si := newSite(t, 1)
		si.hostWithCores("weak", 0.2)
		time.Sleep(taskTime)
		si.hostWithCores("strong", 0.8)
		kvsim.Eventually(t, func() bool { return si.leader() != "" })
		is.Equal(si.leader(), "strong")
	}
}

// TestStrongerHostWinsElection guards against a weak host that becomes the
// leader although a strong one also waits for the leader key to be deleted.
func TestStrongerHostWinsElection(t *testing.T) {
	for range 4 {
		is := is.New(t)
		si := newSite(t, 1)
		si.store.Put(batch.LeaderKey, []byte("former 1 1"))
		si.hostWithCores("weak", 0.2)
		si.hostWithCores("strong", 0.8)
		time.Sleep(2 * taskTime) // both are waiting for the key
		si.store.Delete(batch.LeaderKey)
		kvsim.Eventually(t, func() bool { return si.leader() != "" })
		is.Equal(si.leader(), "strong")
	}
}

// TestWeakHostStartsAsKeyIsFreed guards against a weak host whose first
// election delay counts from its start instead of from when the leader key is
// freed. If all hosts restart just before the former leader's lease ends, the
// delay of a weak host may then end first, and it leads a domain for which it
// is too slow.
func TestWeakHostStartsAsKeyIsFreed(t *testing.T) {
	for range 2 {
		is := is.New(t)
		si := newSite(t, 1)
		si.store.Put(batch.LeaderKey, []byte("former 1 1"))
		si.hostWithCores("strong", 0.8)
		for i := range 60 {
			si.hostWithCores(fmt.Sprintf("weak%d", i), 0.2)
			time.Sleep(4 * time.Millisecond)
		}
		// By then, the first delays of some weak hosts, counted from their start, are
		// over.
		time.Sleep(300 * time.Millisecond)
		si.store.Delete(batch.LeaderKey)
		kvsim.Eventually(t, func() bool { return si.leader() != "" })
		is.Equal(si.leader(), "strong")
	}
}
