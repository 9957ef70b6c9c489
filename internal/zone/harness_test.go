package zone_test

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/cicadawharf/cicadawharf/internal/fakes/wksim"
	"github.com/cicadawharf/cicadawharf/internal/jobs"
	"github.com/cicadawharf/cicadawharf/internal/plat"
	"github.com/cicadawharf/cicadawharf/internal/store"
	"github.com/cicadawharf/cicadawharf/internal/wire"
	"github.com/cicadawharf/cicadawharf/internal/worker"
	"github.com/cicadawharf/cicadawharf/internal/zone"
	"github.com/cicadawharf/cicadawharf/pkg/spec"
)

type (
	// fakeStore is a store in memory into which faults can be injected.
	fakeStore struct {
		mu        sync.Mutex
		entries   map[string]store.Entry
		revision  store.Revision
		leases    map[store.LeaseID]*lease
		lastLease store.LeaseID
		changed   chan struct{} // closed at the next change

		down        bool   // all calls fail without effect
		loseReplies int    // number of swaps that take effect and lose their reply
		losePrefix  string // prefix of the keys of these swaps
		downOnLoss  bool   // goes down with the first lost reply
		stallPrefix string // prefix of the keys whose swaps hang and have no effect
	}

	// lease is a lease of fakeStore.
	lease struct {
		ttl  time.Duration
		ends time.Time
	}

	// fakeWorkers holds the workers of the zone, which are called without a
	// network.
	fakeWorkers struct {
		mu          sync.Mutex
		tables      map[string]*wksim.Table
		unreachable int // calls to addresses without a worker
	}

	// harness is the environment of the hosts of one zone.
	harness struct {
		t           *testing.T
		store       *fakeStore
		workers     *fakeWorkers
		mu          sync.Mutex // guards list and listChanged
		list        plat.List
		listChanged chan struct{} // closed at the next change of list
		decl        *spec.Declarations
	}

	// host is the running Zone of one host.
	host struct {
		*zone.Zone
		cancel context.CancelFunc
		done   chan struct{}
	}
)

const (
	zoneName     = "lima"
	workerCount  = 4
	callDelay    = 50 * time.Millisecond
	storeTimeout = 2 * time.Second  // of a call that hangs
	waitLimit    = 30 * time.Second // of every wait, in fake time
)

func newFakeStore() *fakeStore {
	return &fakeStore{entries: map[string]store.Entry{}, leases: map[store.LeaseID]*lease{}, changed: make(chan struct{})}
}

// notifyWatches wakes all watches, with mu held.
func (fs *fakeStore) notifyWatches() {
	close(fs.changed)
	fs.changed = make(chan struct{})
}

// expire ends the leases whose time is over, with mu held.
func (fs *fakeStore) expire() {
	for id, le := range fs.leases {
		if !time.Now().Before(le.ends) {
			fs.endLease(id)
		}
	}
}

// endLease ends a lease and deletes its keys, with mu held.
func (fs *fakeStore) endLease(id store.LeaseID) {
	delete(fs.leases, id)
	for key, en := range fs.entries {
		if en.Lease == id {
			fs.revision++
			fs.entries[key] = store.Entry{Key: key, Revision: fs.revision} // deleted; kept for its revision
			fs.notifyWatches()
		}
	}
}

// read returns an entry as seen by a reader, with mu held.
func (fs *fakeStore) read(key string) store.Entry {
	en := fs.entries[key]
	if en.Value == nil {
		return store.Entry{Key: key}
	}
	return en
}

// put writes an entry, with mu held.
func (fs *fakeStore) put(key string, value []byte, id store.LeaseID) store.Entry {
	fs.revision++
	en := store.Entry{Key: key, Value: value, Revision: fs.revision, Lease: id}
	fs.entries[key] = en
	fs.notifyWatches()
	return en
}

// Put writes without any check, like another scheduler or a restored backup.
func (fs *fakeStore) Put(key string, value []byte) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	fs.put(key, value, 0)
}

// set runs a function that changes fields, with mu held.
func (fs *fakeStore) set(fn func()) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	fn()
}

// expireAll ends every lease.
func (fs *fakeStore) expireAll() {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	for id := range fs.leases {
		fs.endLease(id)
	}
}

// check ends the leases whose time is over, and returns an error if the store is
// down, with mu held.
func (fs *fakeStore) check() error {
	fs.expire()
	if fs.down {
		return store.ErrUnavailable
	}
	return nil
}

func (fs *fakeStore) Get(_ context.Context, key string) (store.Entry, store.Revision, error) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	if err := fs.check(); err != nil {
		return store.Entry{}, 0, err
	}
	return fs.read(key), fs.revision, nil
}

func (fs *fakeStore) List(context.Context, string) ([]store.Entry, store.Revision, error) {
	return nil, 0, errors.New("List is not used by a zone")
}

func (fs *fakeStore) Swap(ctx context.Context, rq store.SwapRequest) (store.Entry, error) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	if fs.stallPrefix != "" && strings.HasPrefix(rq.Key, fs.stallPrefix) {
		fs.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-time.After(storeTimeout):
		}
		fs.mu.Lock()
		return store.Entry{}, store.ErrOutcomeUnknown
	}
	if err := fs.check(); err != nil {
		return store.Entry{}, err
	}
	if en := fs.read(rq.Key); en.Revision != rq.Expect {
		return en, store.ErrConflict
	}
	if _, ok := fs.leases[rq.Lease]; rq.Lease != 0 && !ok {
		return store.Entry{}, store.ErrLeaseExpired
	}
	en := fs.put(rq.Key, rq.Value, rq.Lease)
	if fs.loseReplies > 0 && strings.HasPrefix(rq.Key, fs.losePrefix) {
		fs.loseReplies--
		fs.down = fs.down || fs.downOnLoss
		return store.Entry{}, store.ErrOutcomeUnknown
	}
	return en, nil
}

func (fs *fakeStore) Grant(_ context.Context, ttl time.Duration) (store.LeaseID, error) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	if err := fs.check(); err != nil {
		return 0, err
	}
	fs.lastLease++
	fs.leases[fs.lastLease] = &lease{ttl: ttl, ends: time.Now().Add(ttl)}
	return fs.lastLease, nil
}

func (fs *fakeStore) Renew(_ context.Context, id store.LeaseID) error {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	if fs.down {
		if le, ok := fs.leases[id]; ok {
			le.ends = time.Now().Add(le.ttl) // leases don't expire while the store is down
		}
	}
	if err := fs.check(); err != nil {
		return err
	}
	le, ok := fs.leases[id]
	if !ok {
		return store.ErrLeaseExpired
	}
	le.ends = time.Now().Add(le.ttl)
	return nil
}

func (fs *fakeStore) Revoke(_ context.Context, id store.LeaseID) error {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	if err := fs.check(); err != nil {
		return err
	}
	fs.endLease(id)
	return nil
}

func (fs *fakeStore) Watch(ctx context.Context, key string, after store.Revision, fn func(store.Entry) error) error {
	for {
		fs.mu.Lock()
		fs.expire()
		en, changed := fs.entries[key], fs.changed
		fs.mu.Unlock()
		if en.Revision > after {
			after = en.Revision
			if err := fn(en); err != nil {
				return err
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

// Call implements worker.Client.
func (fw *fakeWorkers) Call(ctx context.Context, address string, rq worker.Request) (worker.Reply, error) {
	time.Sleep(callDelay)
	for end := time.Now().Add(rq.Wait); ; time.Sleep(callDelay) {
		fw.mu.Lock()
		tb := fw.tables[address]
		if tb == nil {
			fw.unreachable++
			fw.mu.Unlock()
			return worker.Reply{}, &worker.NotSentError{Address: address, Err: io.EOF}
		}
		reply, err := tb.Apply(time.Now(), rq)
		fw.mu.Unlock()
		if ctx.Err() != nil {
			return worker.Reply{}, ctx.Err()
		}
		if err != nil || len(rq.Commands) > 0 || reply.Version != rq.Version || !time.Now().Before(end) {
			return reply, err
		}
	}
}

// runs returns how many task runs of a job were started.
func (fw *fakeWorkers) runs(job string) int {
	fw.mu.Lock()
	defer fw.mu.Unlock()
	count := 0
	for _, tb := range fw.tables {
		for _, rn := range tb.Runs() {
			if rn.Task.Job == job {
				count++
			}
		}
	}
	return count
}

// withHarness runs a test with a new harness in a synctest bubble.
func withHarness(t *testing.T, fn func(t *testing.T, ha *harness)) {
	synctest.Test(t, func(t *testing.T) {
		ha := &harness{t: t, store: newFakeStore(), workers: &fakeWorkers{tables: map[string]*wksim.Table{}}, list: plat.List{Zone: zoneName}, listChanged: make(chan struct{})}
		rack := spec.Rack{Name: "r1", Workers: workerCount, Accelerators: 8, Cores: 64}
		ha.decl = &spec.Declarations{
			Zones:      []spec.Zone{{Name: zoneName, Region: zoneName, Racks: []spec.Rack{rack}}},
			Workspaces: []spec.Workspace{{Name: "small", Weight: 1, Quota: 64}},
		}
		for _, name := range []string{"w1", "w2", "w3", "w4"} {
			ha.list = ha.list.With(plat.Host{
				Name: name, Kind: plat.KindWorker, Address: name, State: plat.StateLive, Rack: rack.Name, Accelerators: 8,
			})
			ha.workers.tables[name] = wksim.NewTable(wksim.TableConfig{Worker: name, Incarnation: "b1", Accelerators: 8})
		}
		t.Cleanup(func() { time.Sleep(waitLimit) }) // lets calls in flight end
		fn(t, ha)
	})
}

func (ha *harness) hosts() plat.List {
	ha.mu.Lock()
	defer ha.mu.Unlock()
	return ha.list
}

func (ha *harness) hostsChanged() <-chan struct{} {
	ha.mu.Lock()
	defer ha.mu.Unlock()
	return ha.listChanged
}

// move changes the address of a worker, which keeps its table.
func (ha *harness) move(name, address string) {
	ha.workers.mu.Lock()
	ha.workers.tables[address] = ha.workers.tables[name]
	delete(ha.workers.tables, name)
	ha.workers.mu.Unlock()
	ha.mu.Lock()
	defer ha.mu.Unlock()
	ho, _ := ha.list.Find(name)
	ho.Address = address
	ha.list = ha.list.With(ho)
	close(ha.listChanged)
	ha.listChanged = make(chan struct{})
}

// start runs a host until it is stopped or the test ends.
func (ha *harness) start(name string) *host {
	never := make(chan struct{})
	zo := zone.New(zone.Config{
		Host: name, Zone: zoneName, Store: ha.store, Workers: ha.workers,
		Declarations: func() *spec.Declarations { return ha.decl }, DeclarationsChanged: func() <-chan struct{} { return never },
		Hosts: ha.hosts, HostsChanged: ha.hostsChanged,
		Log: slog.New(slog.DiscardHandler),
	})
	ctx, cancel := context.WithCancel(context.Background())
	ho := &host{Zone: zo, cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(ho.done)
		_ = zo.Run(ctx)
	}()
	ha.t.Cleanup(ho.stop)
	return ho
}

func (ho *host) stop() {
	ho.cancel()
	<-ho.done
}

// await waits until a condition holds.
func (ha *harness) await(what string, condition func() bool) {
	ha.t.Helper()
	for end := time.Now().Add(waitLimit); !condition(); time.Sleep(callDelay) {
		if time.Now().After(end) {
			ha.t.Fatalf("%s: not within %v", what, waitLimit)
		}
	}
}

// startElected starts a host and waits until it is the leader and all workers
// are usable.
func (ha *harness) startElected(name string) *host {
	ha.t.Helper()
	ho := ha.start(name)
	ha.await(name+" schedules", func() bool {
		sm, ok := ho.Summary(time.Now())
		return ok && sm.Workers == workerCount
	})
	return ho
}

// job returns a job of one task that may not be repeated.
func job(id string, run time.Duration) jobs.Spec {
	return jobs.Spec{
		ID: zoneName + "." + id, Workspace: "small", Priority: jobs.Normal, RunTime: time.Minute,
		Shape:   spec.Shape{Tasks: 1, Accelerators: 8, Adjacency: spec.SameZone},
		Command: []string{"sleep", run.String()},
	}
}

// recorded returns the jobs in the store by ID.
func (ha *harness) recorded() map[string]jobs.Record {
	ha.store.mu.Lock()
	defer ha.store.mu.Unlock()
	found := map[string]jobs.Record{}
	for key, en := range ha.store.entries {
		if !strings.HasPrefix(key, "jobs/") {
			continue
		}
		var jb wire.JobBucket
		if err := proto.Unmarshal(en.Value, &jb); err != nil {
			ha.t.Fatal(err)
		}
		for _, wj := range jb.GetJobs() {
			found[wj.GetId()] = jobs.FromWire(wj)
		}
	}
	return found
}
