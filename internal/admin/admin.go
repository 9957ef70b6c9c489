// Package admin serves the operator API of a scheduling domain over HTTP. Operators
// request and withdraw the evacuation of availability zones and see how many workers
// and tasks remain there. Every host serves the API, leader or not, since all state
// is in the store.
package admin

import (
	"context"
	"log/slog"
	"strings"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/batch"
	"github.com/cicadawharf/cicadawharf/internal/drive"
	"github.com/cicadawharf/cicadawharf/internal/store"
	"github.com/cicadawharf/cicadawharf/pkg/client"
	"github.com/cicadawharf/cicadawharf/pkg/codes"
)

type (
	// Config configures the handler.
	Config struct {
		Host   string // name of this host
		Store  store.Store
		Layout drive.StoreLayout
		Log    *slog.Logger
	}

	// handler serves the operator API.
	handler struct {
		cfg Config
	}
)

// listWorkersTimeout limits reading the list of workers. It is shorter than
// requestTimeout, since the response needs the list only for an optional count.
const listWorkersTimeout = 3 * time.Second

// status returns what this host knows of the domain, including whether the store
// is available.
func (ha *handler) status(ctx context.Context) client.Status {
	st := client.Status{
		Host: ha.cfg.Host, Hosts: []client.HostStatus{}, Zones: []client.ZoneStatus{},
		Domain: &client.Domain{Evacuations: []client.Evacuation{}},
	}
	leader, _, err := ha.cfg.Store.Get(ctx, batch.LeaderKey)
	if err != nil {
		return st
	}
	st.Domain.Scheduler, _, _ = strings.Cut(string(leader.Value), " ")
	evs, err := ha.evacuations(ctx)
	if err != nil {
		return st
	}
	st.StoreUp = true
	st.Domain.Evacuations = evs
	return st
}

// evacuations lists the zones under evacuation, with the workers and tasks that
// remain there. The error is StoreUnavailable. A count that can't be read is nil.
func (ha *handler) evacuations(ctx context.Context) ([]client.Evacuation, error) {
	evs := []client.Evacuation{}
	if ha.cfg.Layout.EvacuationPrefix == "" {
		return evs, nil
	}
	ents, _, err := ha.cfg.Store.List(ctx, ha.cfg.Layout.EvacuationPrefix)
	if err != nil {
		return nil, unavailable(err)
	}
	if len(ents) == 0 {
		return evs, nil
	}
	remaining := ha.remainingTasks(ctx)
	countWorkers := ha.workerCounter(ctx)
	for _, ent := range ents {
		zone := strings.TrimPrefix(ent.Key, ha.cfg.Layout.EvacuationPrefix)
		evs = append(evs, client.Evacuation{Zone: zone, Workers: countWorkers(zone), Tasks: countOf(remaining, zone)})
	}
	return evs, nil
}

// remainingTasks returns the scheduler's last count of the tasks in each zone
// under evacuation. It returns nil if the count can't be read.
func (ha *handler) remainingTasks(ctx context.Context) map[string]int {
	ent, _, err := ha.cfg.Store.Get(ctx, batch.BacklogKey)
	if err != nil || ent.Revision == 0 {
		return nil
	}
	bl, err := batch.Decode[batch.Backlog](ent.Value)
	if err != nil {
		ha.cfg.Log.Warn("malformed entry of the store is ignored", "event", "invalidEntry", "key", ent.Key, "reason", err)
	}
	return bl.Evacuating
}

// workerCounter reads the list of workers once and returns a function that counts
// those in a zone. The function returns nil if the list can't be read.
func (ha *handler) workerCounter(ctx context.Context) func(zone string) *int {
	ctx, cancel := context.WithTimeout(ctx, listWorkersTimeout)
	defer cancel()
	ents, _, err := ha.cfg.Store.List(ctx, ha.cfg.Layout.WorkerPrefix)
	if err != nil {
		return func(string) *int { return nil }
	}
	counts := map[string]int{}
	for _, ent := range ents {
		wk, err := ha.cfg.Layout.DecodeWorker(strings.TrimPrefix(ent.Key, ha.cfg.Layout.WorkerPrefix), ent.Value)
		if err == nil { // the scheduler logs malformed entries
			counts[wk.Zone]++
		}
	}
	return func(zone string) *int {
		n := counts[zone]
		return &n
	}
}

// countOf returns the count of a zone, or nil if there is none.
func countOf(counts map[string]int, zone string) *int {
	n, ok := counts[zone]
	if !ok {
		return nil
	}
	return &n
}

// unavailable returns the error of a call that failed because of the store.
func unavailable(err error) error {
	return codes.New(codes.StoreUnavailable, "store is unavailable to this host: %v", err).WithRetryAfter(retryAfter)
}
