package drive_test

import (
	"context"
	"encoding/json"
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
	"github.com/cicadawharf/cicadawharf/internal/maint"
	"github.com/cicadawharf/cicadawharf/internal/runner"
	"github.com/cicadawharf/cicadawharf/internal/store"
)

// fakeMachines simulates the platform's machines, one under each worker of a
// site.
type fakeMachines struct {
	si      *site
	mu      sync.Mutex
	upAt    map[string]time.Time
	upkeeps map[string]int
	ordered map[string]bool
	maxDown int // largest number of machines down at the same time
	orders  int
	tokens  []int64 // of all orders, repeated ones included
}

const downTime = 200 * time.Millisecond

func newFakeMachines(si *site, machines int) *fakeMachines {
	fm := &fakeMachines{si: si, upAt: map[string]time.Time{}, upkeeps: map[string]int{}, ordered: map[string]bool{}}
	for i := range machines {
		fm.upAt[fmt.Sprint("m", i)] = time.Time{}
	}
	return fm
}

// worker returns the name of a machine's worker, which changes with each
// maintenance.
func (fm *fakeMachines) worker(machine string) string {
	name := "w" + machine[1:]
	if n := fm.upkeeps[machine]; n > 0 {
		name += fmt.Sprint("-", n)
	}
	return name
}

func (fm *fakeMachines) Machines(context.Context) ([]maint.Machine, error) {
	fm.mu.Lock()
	defer fm.mu.Unlock()
	var mas []maint.Machine
	for id, at := range fm.upAt {
		mas = append(mas, maint.Machine{ID: id, Worker: fm.worker(id), Up: time.Now().After(at)})
	}
	return mas, nil
}

func (fm *fakeMachines) SendOrder(_ context.Context, or maint.Order, _ string, token int64) error {
	fm.mu.Lock()
	defer fm.mu.Unlock()
	fm.tokens = append(fm.tokens, token)
	if fm.ordered[or.Machine] {
		return nil
	}
	fm.ordered[or.Machine] = true
	fm.orders++
	old := fm.worker(or.Machine)
	fm.upAt[or.Machine] = time.Now().Add(downTime)
	fm.upkeeps[or.Machine]++
	down := 0
	for _, at := range fm.upAt {
		if time.Now().Before(at) {
			down++
		}
	}
	fm.maxDown = max(fm.maxDown, down)
	fm.si.workers.With(func(now time.Time, fl *runsim.Fleet) { fl.Remove(now, old) })
	fm.si.store.Delete(runsim.WorkerPrefix + old)
	wk := runner.Worker{ID: fm.worker(or.Machine), Address: or.Machine + ":1", Service: "svc", Capacity: batch.Resources{Accelerators: 8}}
	fm.si.workers.With(func(now time.Time, fl *runsim.Fleet) { wk.Born = fl.Add(now, wk.ID, wk.Capacity, 1) })
	fm.si.put(runsim.WorkerPrefix+wk.ID, wk)
	return nil
}

// waveLayout returns a layout that stores waves and their progress as JSON.
func waveLayout() drive.StoreLayout {
	la := runsim.Layout()
	la.Waves = drive.WaveLayout{
		Prefix: "waves/", StatusPrefix: "status/",
		DecodeWave:     func(value []byte) (wa maint.Wave, err error) { return wa, json.Unmarshal(value, &wa) },
		EncodeProgress: func(pr maint.Progress) []byte { return fmt.Append(nil, int(pr)) },
		DecodeProgress: func(value []byte) (pr maint.Progress, err error) { return pr, json.Unmarshal(value, &pr) },
	}
	return la
}

// TestWaveAcrossHosts carries out a wave while jobs run. The leader stops after
// at least two orders were carried out. The next one must complete the wave, with
// every machine maintained and never more of them down than the wave permits.
func TestWaveAcrossHosts(t *testing.T) {
	is := is.New(t)
	si := newSite(t, 6)
	fm := newFakeMachines(si, 6)
	host := func(name string) func() {
		sc := drive.New(time.Now(), drive.Config{
			Host: name, Store: si.store.Client(t, time.Second), Workers: si.workers, Machines: fm,
			Log: slog.New(slog.DiscardHandler), Layout: waveLayout(),
		})
		return kvsim.Background(t, func(ctx context.Context) error {
			sc.Run(ctx)
			return nil
		})
	}
	stop := host("a")
	si.submit("before", 20)
	si.await("before", batch.Running)
	si.put("waves/1", maint.Wave{Number: 1, Machines: []string{"m0", "m1", "m2", "m3", "m4", "m5"}, Duration: 20 * time.Second, MaxDown: 2})
	countOrders := func() int {
		fm.mu.Lock()
		defer fm.mu.Unlock()
		return fm.orders
	}
	kvsim.Eventually(t, func() bool { return countOrders() >= 2 })
	stop()
	host("b")
	si.submit("later", 20)
	status := func() string { value, _ := si.store.Value("status/1"); return string(value) }
	kvsim.Eventually(t, func() bool { return status() == fmt.Sprint(int(maint.Completed)) })
	si.await("before", batch.Done)
	si.await("later", batch.Done)
	si.checkInvariants()
	is.Equal(countOrders(), 6)
	is.True(fm.maxDown <= 2)
	_, kept := si.store.Value(batch.MaintenancePrefix + "1")
	is.True(!kept) // the record of a completed wave is deleted
}

// unrenewable is a store whose leases can't be renewed once stop is closed.
type unrenewable struct {
	store.TxnStore
	stop chan struct{}
}

func (ur unrenewable) Renew(ctx context.Context, id store.LeaseID) error {
	select {
	case <-ur.stop:
		<-ctx.Done()
		return store.ErrOutcomeUnknown
	default:
		return ur.TxnStore.Renew(ctx, id)
	}
}

// TestFormerLeaderOrdersNoMachine lets the lease of a leader end while a wave goes
// on, without the leader's knowledge. It guards against orders of a former leader
// after those of its successor, which the platform need not refuse.
func TestFormerLeaderOrdersNoMachine(t *testing.T) {
	is := is.New(t)
	si := newSite(t, 6)
	fm := newFakeMachines(si, 6)
	stop := make(chan struct{})
	host := func(name string, st store.TxnStore) {
		sc := drive.New(time.Now(), drive.Config{
			Host: name, Store: st, Workers: si.workers, Machines: fm, Log: slog.New(slog.DiscardHandler), Layout: waveLayout(),
		})
		kvsim.Background(t, func(ctx context.Context) error {
			sc.Run(ctx)
			return nil
		})
	}
	host("a", unrenewable{si.store.Client(t, time.Second), stop})
	si.submit("before", 1)
	si.await("before", batch.Done)
	host("b", si.store.Client(t, time.Second))
	close(stop)
	si.put("waves/1", maint.Wave{Number: 1, Machines: []string{"m0", "m1", "m2", "m3", "m4", "m5"}, Duration: 20 * time.Second, MaxDown: 1})
	status := func() string { value, _ := si.store.Value("status/1"); return string(value) }
	kvsim.Eventually(t, func() bool { return status() == fmt.Sprint(int(maint.Completed)) })
	fm.mu.Lock()
	defer fm.mu.Unlock()
	is.True(slices.IsSorted(fm.tokens))
}
