// Package host assembles an entry host: one process that accepts requests and
// jobs, exchanges heartbeats with its peers, keeps the declarations up to date,
// and takes part in the election of its availability zone's scheduler.
//
// What a component needs of another is injected here, mostly as a function or an
// interface, so that each can be tested in isolation.
package host

import (
	"context"
	"log/slog"
	"net"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/ansel1/merry/v2"
	"golang.org/x/sync/errgroup"

	"github.com/cicadawharf/cicadawharf/internal/claim"
	"github.com/cicadawharf/cicadawharf/internal/conf"
	"github.com/cicadawharf/cicadawharf/internal/entry"
	"github.com/cicadawharf/cicadawharf/internal/guard"
	"github.com/cicadawharf/cicadawharf/internal/peers"
	"github.com/cicadawharf/cicadawharf/internal/plat"
	"github.com/cicadawharf/cicadawharf/internal/report"
	"github.com/cicadawharf/cicadawharf/internal/setup"
	"github.com/cicadawharf/cicadawharf/internal/store"
	"github.com/cicadawharf/cicadawharf/internal/worker"
	"github.com/cicadawharf/cicadawharf/internal/zone"
	"github.com/cicadawharf/cicadawharf/pkg/spec"
)

type (
	// Config configures a Host. A nil listener is replaced by one on the
	// address in the settings.
	Config struct {
		Settings     setup.Settings
		HTTPListener net.Listener
		PeerListener net.Listener
		Log          *slog.Logger
	}

	// Host is one entry host.
	Host struct {
		se          setup.Settings
		log         *slog.Logger
		incarnation uint64
		store       *store.Client
		follower    *conf.Follower
		watcher     *plat.Watcher
		workers     *worker.HTTPClient
		guard       *guard.Guard
		zone        *zone.Zone
		mesh        *peers.Mesh
		claims      *claim.Table
		account     *report.Account
		replicator  *report.Replicator
		archive     *report.Archive
		router      *JobRouter
		server      *entry.Server
		draining    drainingSet
		dayLocation atomic.Pointer[dayLocation]
	}

	// dayLocation caches the time zone in which the declarations define the days
	// of the report.
	dayLocation struct {
		declarations *spec.Declarations
		location     *time.Location
	}
)

const (
	mebibyte          = 1 << 20         // bytes
	workerTimeout     = 2 * time.Second // of one call to a worker
	epochPollInterval = 500 * time.Millisecond
	closeTimeout      = 2 * time.Second // of transferring the account on shutdown
)

// New binds the addresses and returns a host that serves nothing until Run. The
// error is that of an address that can't be bound.
func New(now time.Time, cfg Config) (*Host, error) {
	se := cfg.Settings
	ho := &Host{
		se: se, incarnation: uint64(now.UnixNano()),
		log: cfg.Log.With("host", se.Host.Name),
	}
	if err := cfg.listen(); err != nil {
		return nil, err
	}
	ho.guard = entry.NewGuard(int64(se.MemoryMiB)*mebibyte, se.Limits, ho.log)
	ho.store = store.New(store.Config{Addresses: se.Store.Addresses, Timeout: se.Store.Timeout, Log: ho.log})
	ho.follower = conf.NewFollower(conf.FollowerConfig{Store: ho.store, FetchNewer: ho.fetchNewerDeclarations, Log: ho.log, Seed: ho.incarnation})
	ho.watcher = plat.NewWatcher(plat.WatcherConfig{Store: ho.store, Zone: se.Host.Zone, Log: ho.log})
	ho.workers = worker.NewHTTPClient(worker.HTTPConfig{Timeout: workerTimeout, Log: ho.log})
	ho.zone = zone.New(zone.Config{
		Host: se.Host.Name, Zone: se.Host.Zone, Store: ho.store, Workers: ho.workers,
		Declarations: ho.currentDeclarations, DeclarationsChanged: ho.follower.Changed,
		Hosts: ho.watcher.List, HostsChanged: ho.watcher.Changed, Log: ho.log,
	})
	ho.mesh = peers.New(peers.Config{
		Self: ho.self, Listener: cfg.PeerListener, Seeds: se.Seeds, Log: ho.log,
		DrainingEndpoints: ho.drainingEndpoints, OnDrainingEndpoints: ho.draining.add,
		MaxStreams: ho.guard.MaxStreams(), Room: ho.guard, Metrics: metrics.GetDefaultSet(),
	})
	ho.claims = claim.New(claim.Config{Store: ho.store, Host: se.Host.Name, Log: ho.log})
	ho.account = report.NewAccount(report.AccountConfig{
		Host: se.Host.Name, Zone: se.Host.Zone, Incarnation: ho.incarnation, Location: ho.location,
	})
	ho.replicator = report.NewReplicator(report.ReplicatorConfig{
		Account: ho.account, Copies: report.NewAccountStore(), Caller: ho.mesh, Members: ho.mesh.Members, Log: ho.log,
	})
	ho.archive = report.NewArchive(report.ArchiveConfig{
		Store: ho.store, Zone: se.Host.Zone, Replicator: ho.replicator, IsLeader: ho.zone.IsLeader, Location: ho.location, Log: ho.log,
	})
	ho.router = NewJobRouter(JobRouterConfig{Zone: se.Host.Zone, Local: ho.zone, Caller: ho.mesh, Members: ho.mesh.Members})
	ho.server = entry.New(ho.entryConfig(cfg.HTTPListener))
	ho.registerHandlers()
	return ho, nil
}

// Run serves until ctx ends and then shuts down gracefully: it resigns as the
// scheduler, finishes the requests in progress, and transfers its account to
// another host. It returns the error of a component that failed, if any.
func (ho *Host) Run(ctx context.Context) error {
	base, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var group errgroup.Group
	group.Go(func() error { return ho.mesh.Run(base) })
	group.Go(func() error { return ho.follower.Run(base) })
	group.Go(func() error { ho.watcher.Run(base); return nil })
	group.Go(func() error { return ho.claims.Run(base) })
	group.Go(func() error { return ho.replicator.Run(base) })
	group.Go(func() error { return ho.archive.Run(base) })
	group.Go(func() error { ho.observePeerEpochs(base); return nil })
	zoneDone := make(chan error, 1)
	go func() { zoneDone <- ho.zone.Run(ctx) }()
	ho.log.Info("host started", "event", "start", "zone", ho.se.Host.Zone, "region", ho.se.Host.Region,
		"http", ho.se.Host.HTTPAddress, "peers", ho.se.Host.PeerAddress)

	err := ho.server.Run(ctx)
	if zoneErr := <-zoneDone; err == nil {
		err = zoneErr
	}
	closeCtx, cancel := context.WithTimeout(base, closeTimeout)
	transferred := ho.replicator.Close(closeCtx, time.Now())
	cancel()
	stop()
	if groupErr := group.Wait(); err == nil {
		err = groupErr
	}
	ho.workers.Close()
	ho.log.Info("host stopped", "event", "stop", "accountHandedOn", transferred, "error", err)
	return err
}

// HTTPAddress returns the address that serves callers and operators.
func (ho *Host) HTTPAddress() string { return ho.se.Host.HTTPAddress }

// listen opens the listeners that are nil.
func (cfg *Config) listen() error {
	var err error
	if cfg.HTTPListener == nil {
		cfg.HTTPListener, err = net.Listen("tcp", cfg.Settings.Host.HTTPAddress)
		if err != nil {
			return merry.Prepend(err, "address for callers")
		}
	}
	if cfg.PeerListener == nil {
		cfg.PeerListener, err = net.Listen("tcp", cfg.Settings.Host.PeerAddress)
		if err != nil {
			return merry.Prepend(err, "address for peers")
		}
	}
	return nil
}

func (ho *Host) entryConfig(listener net.Listener) entry.Config {
	return entry.Config{
		Host: ho.se.Host.Name, Zone: ho.se.Host.Zone, Region: ho.se.Host.Region,
		Listener: listener, ForwardListener: ho.mesh.HTTPListener(),
		Limits: ho.se.Limits, Stop: ho.se.Stop, Guard: ho.guard,
		Declarations: ho.declarations, Endpoints: ho.endpoints, PeerDraining: ho.draining.names,
		Members: ho.mesh.Members, ForwardDial: ho.mesh.DialHTTP,
		Jobs: ho.router, Claims: claimAdapter{ho.claims}, Account: ho.account, OperatorAPI: operatorAPI{ho},
		Log: ho.log, Seed: ho.incarnation,
	}
}

// self returns the state of this host that its heartbeats carry. New creates the
// mesh before the server, so the server may be missing.
func (ho *Host) self() peers.Member {
	leader := ho.zone.Leader()
	me := peers.Member{
		Name: ho.se.Host.Name, Zone: ho.se.Host.Zone, Region: ho.se.Host.Region,
		PeerAddress: ho.se.Host.PeerAddress, HTTPAddress: ho.se.Host.HTTPAddress,
		Incarnation: ho.incarnation, DeclarationsRevision: ho.follower.Revision(),
		SchedulerEpoch: leader.Epoch, Scheduler: leader.Host,
	}
	if ho.server != nil {
		me.Ready = ho.server.Ready()
		me.Draining = ho.server.Draining()
	}
	return me
}

// observePeerEpochs passes the epochs in the heartbeats of peers to the zone, so
// that a replaced scheduler stops even while it can't reach the store.
func (ho *Host) observePeerEpochs(ctx context.Context) {
	ticker := time.NewTicker(epochPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			for _, me := range ho.mesh.Members(now) {
				if me.Zone == ho.se.Host.Zone && me.Name != ho.se.Host.Name {
					ho.zone.ObserveLeader(zone.Leader{Host: me.Scheduler, Epoch: me.SchedulerEpoch})
				}
			}
		}
	}
}

// declarations returns the declarations in force and their revision, or nil and
// zero if there are none yet.
func (ho *Host) declarations() (*spec.Declarations, int64) {
	cur := ho.follower.Current()
	if cur == nil {
		return nil, 0
	}
	return cur.Declarations, cur.Revision
}

func (ho *Host) currentDeclarations() *spec.Declarations {
	de, _ := ho.declarations()
	return de
}

func (ho *Host) endpoints() []plat.Host { return ho.watcher.List().ByKind(plat.KindEndpoint) }

// drainingEndpoints returns the endpoints that this host knows to be draining,
// which its heartbeats report to the peers.
func (ho *Host) drainingEndpoints() []string {
	if ho.server == nil {
		return nil
	}
	return ho.server.DrainingEndpoints()
}

// location returns the time zone of the declarations in force, or UTC if there
// are none or the time zone can't be loaded.
func (ho *Host) location() *time.Location {
	de, _ := ho.declarations()
	if cached := ho.dayLocation.Load(); cached != nil && cached.declarations == de {
		return cached.location
	}
	loc, err := report.Location(de)
	if err != nil {
		loc = time.UTC
	}
	ho.dayLocation.Store(&dayLocation{declarations: de, location: loc})
	return loc
}
