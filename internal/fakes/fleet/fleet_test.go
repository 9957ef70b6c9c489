package fleet_test

import (
	"context"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/cicadawharf/cicadawharf/internal/fakes/fleet"
	"github.com/cicadawharf/cicadawharf/internal/plat"
	"github.com/cicadawharf/cicadawharf/internal/store"
	"github.com/cicadawharf/cicadawharf/internal/worker"
	"github.com/cicadawharf/cicadawharf/pkg/spec"
)

// memStore is an in-memory store in which the revision of a key counts its
// writes.
type memStore struct {
	store.Store
	entries map[string]store.Entry
}

func (ms *memStore) Get(_ context.Context, key string) (store.Entry, store.Revision, error) {
	en := ms.entries[key]
	return en, en.Revision, nil
}

func (ms *memStore) Swap(_ context.Context, req store.SwapRequest) (store.Entry, error) {
	if req.Expect != ms.entries[req.Key].Revision {
		return ms.entries[req.Key], store.ErrConflict
	}
	ms.entries[req.Key] = store.Entry{Key: req.Key, Value: req.Value, Revision: req.Expect + 1}
	return ms.entries[req.Key], nil
}

func TestFleetIsRegisteredAndServes(t *testing.T) {
	is := is.New(t)
	rack := func(name string, workers int) spec.Rack {
		return spec.Rack{Name: name, Workers: workers, Accelerators: 8}
	}
	de := &spec.Declarations{
		Zones: []spec.Zone{
			{Name: "centro", Racks: []spec.Rack{rack("r1", 2), rack("r2", 2)}},
			{Name: "sur", Racks: []spec.Rack{rack("r1", 1)}},
		},
		Services: []spec.Service{{Name: "pricing", Slots: 8, Connections: 60}},
	}
	ms := &memStore{entries: map[string]store.Entry{}}
	fl, err := fleet.Start(t.Context(), fleet.Config{Declarations: de, Store: ms, EndpointsPerZone: 3})
	is.NoErr(err)
	defer fl.Close()
	is.Equal(len(fl.Workers()), 5)
	is.Equal(len(fl.Endpoints()), 4)

	en := ms.entries[plat.Key("centro")]
	is.Equal(en.Revision, store.Revision(1)) // one write
	li, err := plat.Decode(en.Value)
	is.NoErr(err)
	workers, endpoints := li.ByKind(plat.KindWorker), li.ByKind(plat.KindEndpoint)
	is.Equal(len(workers), 4)
	is.Equal(len(endpoints), 3)
	is.Equal(workers[3].Name, "centro-r2-1")
	is.Equal(workers[3].Rack, "r2")

	hc := worker.NewHTTPClient(worker.HTTPConfig{})
	defer hc.Close()
	reply, err := hc.Call(t.Context(), workers[3].Address, worker.Request{Epoch: 1})
	is.NoErr(err)
	is.Equal(reply.Worker, "centro-r2-1")
	resp, err := http.Get("http://" + endpoints[0].Address + "/quote")
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
	is.Equal(resp.StatusCode, http.StatusOK)
	is.Equal(len(fl.Requests()), 1)
	is.Equal(len(fl.Runs()), 0)
}
