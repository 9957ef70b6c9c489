// Package operate is what a host of a scheduling domain offers its operators: to
// ask for availability zones to be emptied, to take that back, and to see how far
// it has come. It needs no scheduler on this host, since all of it is in the
// store.
package operate

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

	// desk answers operators.
	desk struct {
		cfg Config
	}
)

// workersTime bounds the read of the list of workers, which only adds a count to
// an answer.
const workersTime = 3 * time.Second

// status returns what this host knows of the domain. A store that does not answer
// is part of that.
func (de *desk) status(ctx context.Context) client.Status {
	st := client.Status{
		Host: de.cfg.Host, Hosts: []client.HostStatus{}, Zones: []client.ZoneStatus{},
		Domain: &client.Domain{Evacuations: []client.Evacuation{}},
	}
	holder, _, err := de.cfg.Store.Get(ctx, batch.HolderKey)
	if err != nil {
		return st
	}
	st.Domain.Scheduler, _, _ = strings.Cut(string(holder.Value), " ")
	evs, err := de.evacuations(ctx)
	if err != nil {
		return st
	}
	st.StoreUp = true
	st.Domain.Evacuations = evs
	return st
}

// evacuations lists the zones that are to be emptied, with what is left there.
func (de *desk) evacuations(ctx context.Context) ([]client.Evacuation, error) {
	evs := []client.Evacuation{}
	if de.cfg.Layout.EvacuationPrefix == "" {
		return evs, nil
	}
	ents, _, err := de.cfg.Store.List(ctx, de.cfg.Layout.EvacuationPrefix)
	if err != nil {
		return nil, unavailable(err)
	}
	if len(ents) == 0 {
		return evs, nil
	}
	left := de.left(ctx)
	workers := de.workers(ctx)
	for _, en := range ents {
		zone := strings.TrimPrefix(en.Key, de.cfg.Layout.EvacuationPrefix)
		evs = append(evs, client.Evacuation{Zone: zone, Workers: workers(zone), Tasks: known(left, zone)})
	}
	return evs, nil
}

// left returns the tasks in zones that are to be emptied, as the scheduler last
// counted them.
func (de *desk) left(ctx context.Context) map[string]int {
	en, _, err := de.cfg.Store.Get(ctx, batch.WaitingKey)
	if err != nil || en.Revision == 0 {
		return nil
	}
	wa, err := batch.Decode[batch.Waiting](en.Value)
	if err != nil {
		de.cfg.Log.Warn("entry of the store is not used", "event", "foreignEntry", "key", en.Key, "reason", err)
	}
	return wa.Left
}

// workers returns a function that counts the workers which are listed in a zone;
// nil if they can't be read.
func (de *desk) workers(ctx context.Context) func(zone string) *int {
	ctx, cancel := context.WithTimeout(ctx, workersTime)
	defer cancel()
	ents, _, err := de.cfg.Store.List(ctx, de.cfg.Layout.WorkerPrefix)
	if err != nil {
		return func(string) *int { return nil }
	}
	counts := map[string]int{}
	for _, en := range ents {
		wk, err := de.cfg.Layout.Worker(strings.TrimPrefix(en.Key, de.cfg.Layout.WorkerPrefix), en.Value)
		if err == nil { // else the scheduler reports it
			counts[wk.Zone]++
		}
	}
	return func(zone string) *int {
		n := counts[zone]
		return &n
	}
}

func known(counts map[string]int, zone string) *int {
	n, ok := counts[zone]
	if !ok {
		return nil
	}
	return &n
}

func unavailable(err error) error {
	return codes.New(codes.StoreUnavailable, "the store does not answer this host: %v", err).WithRetryAfter(comeBack)
}
