// Package fleet runs simulators of all declared workers and endpoints in one
// process and registers them in the platform's host lists, with one write for
// each availability zone.
package fleet

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/fakes/epsim"
	"github.com/cicadawharf/cicadawharf/internal/fakes/wksim"
	"github.com/cicadawharf/cicadawharf/internal/plat"
	"github.com/cicadawharf/cicadawharf/internal/store"
	"github.com/cicadawharf/cicadawharf/pkg/spec"
)

type (
	// Config configures a Fleet.
	Config struct {
		Declarations     *spec.Declarations
		Store            store.Store
		EndpointsPerZone int           // of each service, limited to the number of workers; 16 if zero
		RunScale         float64       // factor on the run times of tasks; 1 if zero
		UsageLag         time.Duration // delay with which workers report usage
		Log              *slog.Logger
	}

	// Fleet is a set of running simulators.
	Fleet struct {
		cfg       Config
		zones     []zone
		workers   []*wksim.Server
		endpoints []*epsim.Server
		running   sync.WaitGroup
		cancel    context.CancelFunc // ends the context of all servers
	}

	// zone lists the simulators to register in an availability zone.
	zone struct {
		name  string
		hosts []plat.Host
	}

	server interface {
		Run(context.Context) error
	}
)

const (
	defaultEndpointsPerZone = 16
	listenAddress           = "127.0.0.1:0"
)

// Start starts the simulators and registers them, retrying the registration
// until ctx ends. The simulators run until Close is called.
func Start(ctx context.Context, cfg Config) (*Fleet, error) {
	if cfg.EndpointsPerZone <= 0 {
		cfg.EndpointsPerZone = defaultEndpointsPerZone
	}
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	fl := &Fleet{cfg: cfg, cancel: cancel}
	if err := fl.start(ctx, runCtx); err != nil {
		fl.Close()
		return nil, err
	}
	return fl, nil
}

// Workers returns the workers in order of declaration.
func (fl *Fleet) Workers() []*wksim.Server { return fl.workers }

// Endpoints returns the endpoints in order of declaration.
func (fl *Fleet) Endpoints() []*epsim.Server { return fl.endpoints }

// Runs returns the task runs recorded by all workers.
func (fl *Fleet) Runs() []wksim.Run {
	var runs []wksim.Run
	for _, sv := range fl.workers {
		runs = append(runs, sv.Runs()...)
	}
	return runs
}

// Requests returns the requests executed by all endpoints.
func (fl *Fleet) Requests() []epsim.Run {
	var runs []epsim.Run
	for _, sv := range fl.endpoints {
		runs = append(runs, sv.Runs()...)
	}
	return runs
}

// Close stops all simulators at once, without deregistering them.
func (fl *Fleet) Close() {
	fl.cancel()
	for _, sv := range fl.workers {
		sv.Close()
	}
	for _, sv := range fl.endpoints {
		sv.Close()
	}
	fl.running.Wait()
}

func (fl *Fleet) start(ctx, runCtx context.Context) error {
	for _, zn := range fl.cfg.Declarations.Zones {
		if err := fl.startZone(runCtx, zn); err != nil {
			return err
		}
	}
	for _, zn := range fl.zones {
		if err := plat.Register(ctx, fl.cfg.Store, zn.name, zn.hosts...); err != nil {
			return err
		}
		fl.cfg.Log.Info("zone registered", "zone", zn.name, "hosts", len(zn.hosts))
	}
	return nil
}

func (fl *Fleet) startZone(runCtx context.Context, zn spec.Zone) error {
	started := zone{name: zn.Name}
	for _, rk := range zn.Racks {
		for number := range rk.Workers {
			ho, err := fl.startWorker(runCtx, zn, rk, number)
			if err != nil {
				return err
			}
			started.hosts = append(started.hosts, ho)
		}
	}
	count := min(len(started.hosts), fl.cfg.EndpointsPerZone)
	for _, se := range fl.cfg.Declarations.Services {
		for number := range count {
			ho, err := fl.startEndpoint(runCtx, zn, se, number)
			if err != nil {
				return err
			}
			started.hosts = append(started.hosts, ho)
		}
	}
	fl.zones = append(fl.zones, started)
	return nil
}

func (fl *Fleet) startWorker(runCtx context.Context, zn spec.Zone, rk spec.Rack, number int) (plat.Host, error) {
	sv, err := wksim.New(wksim.Config{
		Name: fmt.Sprintf("%s-%s-%d", zn.Name, rk.Name, number), Listen: listenAddress, Accelerators: rk.Accelerators,
		RunScale: fl.cfg.RunScale, UsageLag: fl.cfg.UsageLag, Log: fl.cfg.Log,
	})
	if err != nil {
		return plat.Host{}, err
	}
	fl.workers = append(fl.workers, sv)
	fl.serve(runCtx, sv)
	return plat.Host{
		Name: sv.Name(), Kind: plat.KindWorker, Address: sv.Addr(), State: plat.StateLive,
		Rack: rk.Name, Accelerators: rk.Accelerators,
	}, nil
}

func (fl *Fleet) startEndpoint(runCtx context.Context, zn spec.Zone, se spec.Service, number int) (plat.Host, error) {
	sv, err := epsim.New(epsim.Config{
		Name: fmt.Sprintf("%s-%s-%d", zn.Name, se.Name, number), Service: se.Name, Listen: listenAddress,
		Slots: se.Slots, Connections: se.Connections, Log: fl.cfg.Log,
	})
	if err != nil {
		return plat.Host{}, err
	}
	fl.endpoints = append(fl.endpoints, sv)
	fl.serve(runCtx, sv)
	return plat.Host{
		Name: sv.Name(), Kind: plat.KindEndpoint, Address: sv.Addr(), State: plat.StateLive, Service: se.Name,
	}, nil
}

// serve runs a server in the background.
func (fl *Fleet) serve(runCtx context.Context, sv server) {
	fl.running.Go(func() {
		if err := sv.Run(runCtx); err != nil {
			fl.cfg.Log.Error("simulator failed", "error", err)
		}
	})
}
