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
	// keeper is a store in memory with faults on demand.
	keeper struct {
		mu       sync.Mutex
		entries  map[string]store.Entry
		revision store.Revision
		leases   map[store.LeaseID]*lease
		last     store.LeaseID
		changed  chan struct{} // closed at the next change

		down   bool   // calls fail without effect
		lose   int    // so many swaps take effect and lose their answer
		losing string // prefix of the keys that this concerns
		cut    bool   // with a lost answer it goes down
		stall  string // prefix of keys whose swaps do not take effect and wait
	}

	lease struct {
		ttl  time.Duration
		ends time.Time
	}

	// crew is the workers of the zone, reached without a network.
	crew struct {
		mu     sync.Mutex
		tables map[string]*wksim.Table
		strays int // calls to addresses where nobody listens
	}

	// rig is the surroundings of the hosts of one zone.
	rig struct {
		t      *testing.T
		store  *keeper
		crew   *crew
		mu     sync.Mutex // guards list and listed
		list   plat.List
		listed chan struct{} // closed at the next change of list
		decl   *spec.Declarations
	}

	// host is one host's zone that runs.
	host struct {
		*zone.Zone
		cancel context.CancelFunc
		done   chan struct{}
	}
)

const (
	zoneName  = "lima"
	workers   = 4
	callDelay = 50 * time.Millisecond
	storeTime = 2 * time.Second  // of a call that waits
	bound     = 30 * time.Second // of every wait, by the clock of the test
)

func newKeeper() *keeper {
	return &keeper{entries: map[string]store.Entry{}, leases: map[store.LeaseID]*lease{}, changed: make(chan struct{})}
}

// announce wakes the watches, with mu held.
func (ke *keeper) announce() {
	close(ke.changed)
	ke.changed = make(chan struct{})
}

// expire ends leases whose time has come, with mu held.
func (ke *keeper) expire() {
	for id, le := range ke.leases {
		if !time.Now().Before(le.ends) {
			ke.end(id)
		}
	}
}

func (ke *keeper) end(id store.LeaseID) {
	delete(ke.leases, id)
	for key, en := range ke.entries {
		if en.Lease == id {
			ke.revision++
			ke.entries[key] = store.Entry{Key: key, Revision: ke.revision} // until it is set again
			ke.announce()
		}
	}
}

// standing returns an entry as a reader sees it, with mu held.
func (ke *keeper) standing(key string) store.Entry {
	en := ke.entries[key]
	if en.Value == nil {
		return store.Entry{Key: key}
	}
	return en
}

func (ke *keeper) put(key string, value []byte, id store.LeaseID) store.Entry {
	ke.revision++
	en := store.Entry{Key: key, Value: value, Revision: ke.revision, Lease: id}
	ke.entries[key] = en
	ke.announce()
	return en
}

// Put writes past every check, as another scheduler or a restore does.
func (ke *keeper) Put(key string, value []byte) {
	ke.mu.Lock()
	defer ke.mu.Unlock()
	ke.put(key, value, 0)
}

func (ke *keeper) set(fn func()) {
	ke.mu.Lock()
	defer ke.mu.Unlock()
	fn()
}

// lapse ends every lease at once.
func (ke *keeper) lapse() {
	ke.mu.Lock()
	defer ke.mu.Unlock()
	for id := range ke.leases {
		ke.end(id)
	}
}

func (ke *keeper) enter() error {
	ke.expire()
	if ke.down {
		return store.ErrUnavailable
	}
	return nil
}

func (ke *keeper) Get(_ context.Context, key string) (store.Entry, store.Revision, error) {
	ke.mu.Lock()
	defer ke.mu.Unlock()
	if err := ke.enter(); err != nil {
		return store.Entry{}, 0, err
	}
	return ke.standing(key), ke.revision, nil
}

func (ke *keeper) List(context.Context, string) ([]store.Entry, store.Revision, error) {
	return nil, 0, errors.New("the zone lists nothing")
}

func (ke *keeper) Swap(ctx context.Context, rq store.SwapRequest) (store.Entry, error) {
	ke.mu.Lock()
	defer ke.mu.Unlock()
	if ke.stall != "" && strings.HasPrefix(rq.Key, ke.stall) {
		ke.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-time.After(storeTime):
		}
		ke.mu.Lock()
		return store.Entry{}, store.ErrLost
	}
	if err := ke.enter(); err != nil {
		return store.Entry{}, err
	}
	if en := ke.standing(rq.Key); en.Revision != rq.Expect {
		return en, store.ErrConflict
	}
	if _, ok := ke.leases[rq.Lease]; rq.Lease != 0 && !ok {
		return store.Entry{}, store.ErrLapsed
	}
	en := ke.put(rq.Key, rq.Value, rq.Lease)
	if ke.lose > 0 && strings.HasPrefix(rq.Key, ke.losing) {
		ke.lose--
		ke.down = ke.down || ke.cut
		return store.Entry{}, store.ErrLost
	}
	return en, nil
}

func (ke *keeper) Grant(_ context.Context, ttl time.Duration) (store.LeaseID, error) {
	ke.mu.Lock()
	defer ke.mu.Unlock()
	if err := ke.enter(); err != nil {
		return 0, err
	}
	ke.last++
	ke.leases[ke.last] = &lease{ttl: ttl, ends: time.Now().Add(ttl)}
	return ke.last, nil
}

func (ke *keeper) Renew(_ context.Context, id store.LeaseID) error {
	ke.mu.Lock()
	defer ke.mu.Unlock()
	if ke.down {
		if le, ok := ke.leases[id]; ok {
			le.ends = time.Now().Add(le.ttl) // its time does not pass while the store is away
		}
	}
	if err := ke.enter(); err != nil {
		return err
	}
	le, ok := ke.leases[id]
	if !ok {
		return store.ErrLapsed
	}
	le.ends = time.Now().Add(le.ttl)
	return nil
}

func (ke *keeper) Revoke(_ context.Context, id store.LeaseID) error {
	ke.mu.Lock()
	defer ke.mu.Unlock()
	if err := ke.enter(); err != nil {
		return err
	}
	ke.end(id)
	return nil
}

func (ke *keeper) Watch(ctx context.Context, key string, after store.Revision, fn func(store.Entry) error) error {
	for {
		ke.mu.Lock()
		ke.expire()
		en, changed := ke.entries[key], ke.changed
		ke.mu.Unlock()
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

// Call implements worker.Caller.
func (cr *crew) Call(ctx context.Context, address string, rq worker.Request) (worker.Reply, error) {
	time.Sleep(callDelay)
	for end := time.Now().Add(rq.Wait); ; time.Sleep(callDelay) {
		cr.mu.Lock()
		tb := cr.tables[address]
		if tb == nil {
			cr.strays++
			cr.mu.Unlock()
			return worker.Reply{}, &worker.NotSentError{Address: address, Err: io.EOF}
		}
		reply, err := tb.Apply(time.Now(), rq)
		cr.mu.Unlock()
		if ctx.Err() != nil {
			return worker.Reply{}, ctx.Err()
		}
		if err != nil || len(rq.Commands) > 0 || reply.Version != rq.Version || !time.Now().Before(end) {
			return reply, err
		}
	}
}

// runs returns how often tasks of a job were started.
func (cr *crew) runs(job string) int {
	cr.mu.Lock()
	defer cr.mu.Unlock()
	count := 0
	for _, tb := range cr.tables {
		for _, rn := range tb.Runs() {
			if rn.Task.Job == job {
				count++
			}
		}
	}
	return count
}

// within runs a test against a new rig in a bubble of its own time.
func within(t *testing.T, fn func(t *testing.T, ri *rig)) {
	synctest.Test(t, func(t *testing.T) {
		ri := &rig{t: t, store: newKeeper(), crew: &crew{tables: map[string]*wksim.Table{}}, list: plat.List{Zone: zoneName}, listed: make(chan struct{})}
		rack := spec.Rack{Name: "r1", Workers: workers, Accelerators: 8, Cores: 64}
		ri.decl = &spec.Declarations{
			Zones:      []spec.Zone{{Name: zoneName, Region: zoneName, Racks: []spec.Rack{rack}}},
			Workspaces: []spec.Workspace{{Name: "parish", Weight: 1, Quota: 64}},
		}
		for _, name := range []string{"w1", "w2", "w3", "w4"} {
			ri.list = ri.list.With(plat.Host{
				Name: name, Kind: plat.KindWorker, Address: name, State: plat.StateLive, Rack: rack.Name, Accelerators: 8,
			})
			ri.crew.tables[name] = wksim.NewTable(wksim.TableConfig{Worker: name, Boot: "b1", Accelerators: 8})
		}
		t.Cleanup(func() { time.Sleep(bound) }) // calls that are on their way end
		fn(t, ri)
	})
}

func (ri *rig) hosts() plat.List {
	ri.mu.Lock()
	defer ri.mu.Unlock()
	return ri.list
}

func (ri *rig) hostsChanged() <-chan struct{} {
	ri.mu.Lock()
	defer ri.mu.Unlock()
	return ri.listed
}

// move gives a worker another address, with its table.
func (ri *rig) move(name, address string) {
	ri.crew.mu.Lock()
	ri.crew.tables[address] = ri.crew.tables[name]
	delete(ri.crew.tables, name)
	ri.crew.mu.Unlock()
	ri.mu.Lock()
	defer ri.mu.Unlock()
	ho, _ := ri.list.Find(name)
	ho.Address = address
	ri.list = ri.list.With(ho)
	close(ri.listed)
	ri.listed = make(chan struct{})
}

// start runs a host until the test ends or it is stopped.
func (ri *rig) start(name string) *host {
	never := make(chan struct{})
	zo := zone.New(zone.Config{
		Host: name, Zone: zoneName, Store: ri.store, Workers: ri.crew,
		Declarations: func() *spec.Declarations { return ri.decl }, Changed: func() <-chan struct{} { return never },
		Hosts: ri.hosts, HostsChanged: ri.hostsChanged,
		Log: slog.New(slog.DiscardHandler),
	})
	ctx, cancel := context.WithCancel(context.Background())
	ho := &host{Zone: zo, cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(ho.done)
		_ = zo.Run(ctx)
	}()
	ri.t.Cleanup(ho.stop)
	return ho
}

func (ho *host) stop() {
	ho.cancel()
	<-ho.done
}

// await waits until something is so.
func (ri *rig) await(what string, is func() bool) {
	ri.t.Helper()
	for end := time.Now().Add(bound); !is(); time.Sleep(callDelay) {
		if time.Now().After(end) {
			ri.t.Fatalf("%s: not within %v", what, bound)
		}
	}
}

// elected starts a host and waits until it schedules with its workers heard.
func (ri *rig) elected(name string) *host {
	ri.t.Helper()
	ho := ri.start(name)
	ri.await(name+" schedules", func() bool {
		sm, ok := ho.Summary(time.Now())
		return ok && sm.Workers == workers
	})
	return ho
}

// job returns a single task's job that may not be repeated.
func job(id string, run time.Duration) jobs.Spec {
	return jobs.Spec{
		ID: zoneName + "." + id, Workspace: "parish", Priority: jobs.Normal, RunTime: time.Minute,
		Shape:   spec.Shape{Tasks: 1, Accelerators: 8, Adjacency: spec.SameZone},
		Command: []string{"sleep", run.String()},
	}
}

// recorded returns the jobs of a zone that stand in the store, by name.
func (ri *rig) recorded() map[string]jobs.Record {
	ri.store.mu.Lock()
	defer ri.store.mu.Unlock()
	found := map[string]jobs.Record{}
	for key, en := range ri.store.entries {
		if !strings.HasPrefix(key, "jobs/") {
			continue
		}
		var jb wire.JobBucket
		if err := proto.Unmarshal(en.Value, &jb); err != nil {
			ri.t.Fatal(err)
		}
		for _, wj := range jb.GetJobs() {
			found[wj.GetId()] = jobs.FromWire(wj)
		}
	}
	return found
}
