// Package admin is the HTTP interface of a host of a scheduling domain for its
// operators: they ask for availability zones to be emptied, take that back, and see
// what is left there. Any host serves it, whether or not it schedules, since all
// state is in the store.
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
	// Config constructs the handler.
	Config struct {
		Host   string
		Store  store.Store
		Layout drive.Layout
		Log    *slog.Logger
	}

	// handler answers the calls of operators.
	handler struct {
		cfg Config
	}
)

// listWorkersTimeout bounds the read of the list of workers, which only adds a count to
// an answer.
const listWorkersTimeout = 3 * time.Second

// status returns what this host knows of the domain. A store that does not answer
// is part of that.
func (ha *handler) status(ctx context.Context) client.Status {
	st := client.Status{
		Host: ha.cfg.Host, Hosts: []client.HostStatus{}, Zones: []client.ZoneStatus{},
		Domain: &client.Domain{Evacuations: []client.Evacuation{}},
	}
	holder, _, err := ha.cfg.Store.Get(ctx, batch.HolderKey)
	if err != nil {
		return st
	}
	st.Domain.Scheduler, _, _ = strings.Cut(string(holder.Value), " ")
	evs, err := ha.evacuations(ctx)
	if err != nil {
		return st
	}
	st.StoreUp = true
	st.Domain.Evacuations = evs
	return st
}

// evacuations lists the zones that are to be emptied, with what is left there.
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
	for _, en := range ents {
		zone := strings.TrimPrefix(en.Key, ha.cfg.Layout.EvacuationPrefix)
		evs = append(evs, client.Evacuation{Zone: zone, Workers: countWorkers(zone), Tasks: countOf(remaining, zone)})
	}
	return evs, nil
}

// remainingTasks returns the tasks in zones that are to be emptied, as the scheduler last
// counted them.
func (ha *handler) remainingTasks(ctx context.Context) map[string]int {
	en, _, err := ha.cfg.Store.Get(ctx, batch.WaitingKey)
	if err != nil || en.Revision == 0 {
		return nil
	}
	wa, err := batch.Decode[batch.Waiting](en.Value)
	if err != nil {
		ha.cfg.Log.Warn("entry of the store is not used", "event", "foreignEntry", "key", en.Key, "reason", err)
	}
	return wa.Left
}

// workerCounter returns a function that counts the workerCounter which are listed in a zone;
// nil if they can't be read.
func (ha *handler) workerCounter(ctx context.Context) func(zone string) *int {
	ctx, cancel := context.WithTimeout(ctx, listWorkersTimeout)
	defer cancel()
	ents, _, err := ha.cfg.Store.List(ctx, ha.cfg.Layout.WorkerPrefix)
	if err != nil {
		return func(string) *int { return nil }
	}
	counts := map[string]int{}
	for _, en := range ents {
		wk, err := ha.cfg.Layout.Worker(strings.TrimPrefix(en.Key, ha.cfg.Layout.WorkerPrefix), en.Value)
		if err == nil { // else the scheduler reports it
			counts[wk.Zone]++
		}
	}
	return func(zone string) *int {
		n := counts[zone]
		return &n
	}
}

// countOf returns the count of a zone; nil if there is none.
func countOf(counts map[string]int, zone string) *int {
	n, ok := counts[zone]
	if !ok {
		return nil
	}
	return &n
}

// unavailable returns the refusal of a call for which the store gave no answer.
func unavailable(err error) error {
	return codes.New(codes.StoreUnavailable, "the store does not answer this host: %v", err).WithRetryAfter(retryAfter)
}
