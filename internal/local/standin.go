package local

import (
	"context"
	"log/slog"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/cmds"
	"github.com/cicadawharf/cicadawharf/internal/fakes/epsim"
	"github.com/cicadawharf/cicadawharf/internal/fakes/kvsim"
	"github.com/cicadawharf/cicadawharf/internal/fakes/wksim"
	"github.com/cicadawharf/cicadawharf/internal/plat"
	"github.com/cicadawharf/cicadawharf/internal/store"
)

// simulator takes the place of a part of the platform. It accepts connections
// while Run is running.
type simulator interface {
	Addr() string
	Run(ctx context.Context) error
}

// Standin runs a simulator of the platform's store, of a worker or of an endpoint
// until ctx is done. It registers a worker or endpoint in the store.
func Standin(ctx context.Context, op cmds.StandinOptions) error {
	log := slog.New(slog.NewTextHandler(op.Log, nil)).With("standin", op.Name)
	sv, ph, err := newSimulator(op, log)
	if err != nil {
		return err
	}
	log.Info("simulator is listening", "event", "start", "kind", string(op.Kind), "address", sv.Addr())
	if op.Kind != cmds.StandinStore {
		go register(ctx, op, ph, log)
	}
	return sv.Run(ctx)
}

// newSimulator returns a listening simulator and the host to register in the
// store, which only has a kind if it is a worker or endpoint.
func newSimulator(op cmds.StandinOptions, log *slog.Logger) (simulator, plat.Host, error) {
	ph := plat.Host{Name: op.Name, State: plat.StateLive}
	switch op.Kind {
	case cmds.StandinStore:
		sv, err := kvsim.New(kvsim.Config{Listen: op.Listen, Log: log})
		return sv, ph, err
	case cmds.StandinWorker:
		sv, err := wksim.New(wksim.Config{
			Name: op.Name, Listen: op.Listen, Accelerators: op.Accelerators, RunScale: op.RunScale, Log: log,
		})
		if err != nil {
			return nil, ph, err
		}
		ph.Kind = plat.KindWorker
		ph.Address = sv.Addr()
		ph.Rack = op.Rack
		ph.Accelerators = op.Accelerators
		return sv, ph, nil
	default:
		sv, err := epsim.New(epsim.Config{
			Name: op.Name, Service: op.Service, Listen: op.Listen, Slots: op.Slots, Connections: op.Connections, Log: log,
		})
		if err != nil {
			return nil, ph, err
		}
		ph.Kind = plat.KindEndpoint
		ph.Address = sv.Addr()
		ph.Service = op.Service
		return sv, ph, nil
	}
}

// register adds a host to the platform's list of hosts in the store. It retries
// every pollInterval until it succeeds or ctx is done.
func register(ctx context.Context, op cmds.StandinOptions, ph plat.Host, log *slog.Logger) {
	st := store.New(store.Config{Addresses: op.Store, Timeout: storeTimeout, Log: log})
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, startTimeout)
		err := plat.Register(callCtx, st, op.Zone, ph)
		cancel()
		if err == nil {
			return
		}
		log.Warn("registration failed, retrying", "event", "registerFails", "error", err)
		time.Sleep(pollInterval)
	}
}
