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

// server is a stand-in that listens for connections.
type server interface {
	Addr() string
	Run(ctx context.Context) error
}

// Standin runs a stand-in of the platform until ctx is done. Workers and
// endpoints register themselves in the store.
func Standin(ctx context.Context, op cmds.StandinOptions) error {
	logs := slog.New(slog.NewTextHandler(op.Log, nil)).With("standin", op.Name)
	sv, registered, err := newStandin(op, logs)
	if err != nil {
		return err
	}
	logs.Info("stand-in is listening", "event", "start", "kind", string(op.Kind), "address", sv.Addr())
	if op.Kind != cmds.StandinStore {
		go register(ctx, op, registered, logs)
	}
	return sv.Run(ctx)
}

func newStandin(op cmds.StandinOptions, logs *slog.Logger) (server, plat.Host, error) {
	registered := plat.Host{Name: op.Name, State: plat.StateLive}
	switch op.Kind {
	case cmds.StandinStore:
		sv, err := kvsim.New(kvsim.Config{Listen: op.Listen, Log: logs})
		return sv, registered, err
	case cmds.StandinWorker:
		sv, err := wksim.New(wksim.Config{
			Name: op.Name, Listen: op.Listen, Accelerators: op.Accelerators, RunScale: op.RunScale, Log: logs,
		})
		if err != nil {
			return nil, registered, err
		}
		registered.Kind = plat.KindWorker
		registered.Address = sv.Addr()
		registered.Rack = op.Rack
		registered.Accelerators = op.Accelerators
		return sv, registered, nil
	default:
		sv, err := epsim.New(epsim.Config{
			Name: op.Name, Service: op.Service, Listen: op.Listen, Slots: op.Slots, Connections: op.Connections, Log: logs,
		})
		if err != nil {
			return nil, registered, err
		}
		registered.Kind = plat.KindEndpoint
		registered.Address = sv.Addr()
		registered.Service = op.Service
		return sv, registered, nil
	}
}

// register adds a host to the platform's list of hosts in the store. It retries
// until it succeeds or ctx is done.
func register(ctx context.Context, op cmds.StandinOptions, registered plat.Host, logs *slog.Logger) {
	st := store.New(store.Config{Addresses: op.Store, Timeout: storeTimeout, Log: logs})
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, startTimeout)
		err := plat.Register(callCtx, st, op.Zone, registered)
		cancel()
		if err == nil {
			return
		}
		logs.Warn("registration failed, retrying", "event", "list", "error", err)
		time.Sleep(pollInterval)
	}
}
