// Package local runs a small deployment in one process to try out the system.
// The deployment consists of simulators of the platform's store, workers and
// endpoints and of two entry hosts in each declared availability zone. They
// communicate over TCP on the loopback interface, as separate processes would.
package local

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"time"

	"github.com/ansel1/merry/v2"
	"golang.org/x/sync/errgroup"

	"github.com/cicadawharf/cicadawharf/internal/cmds"
	"github.com/cicadawharf/cicadawharf/internal/fakes/fleet"
	"github.com/cicadawharf/cicadawharf/internal/fakes/kvsim"
	"github.com/cicadawharf/cicadawharf/internal/host"
	"github.com/cicadawharf/cicadawharf/internal/setup"
	"github.com/cicadawharf/cicadawharf/internal/store"
	"github.com/cicadawharf/cicadawharf/pkg/client"
	"github.com/cicadawharf/cicadawharf/pkg/spec"
)

// deployment holds the simulators and entry hosts that run in the process.
type deployment struct {
	decl  *spec.Declarations
	kv    *kvsim.Server // simulator of the store
	store *store.Client
	fleet *fleet.Fleet // simulators of the workers and endpoints
	hosts []*host.Host
}

const (
	loopback            = "127.0.0.1"
	hostsPerZone        = 2
	storeTimeout        = 2 * time.Second
	startTimeout        = 20 * time.Second
	pollInterval        = 50 * time.Millisecond
	stopTimeout         = 20 * time.Second
	operatorName        = "local"
	rolloutTimeout      = 10 * time.Second
	maxEndpointsPerZone = 8 // per service
)

// Run starts the deployment, applies the declarations and serves until ctx is
// done or, with Once, until the sample workload has ended. It returns the first
// error of the start, the workload or an entry host.
func Run(ctx context.Context, op cmds.LocalOptions) error {
	out := &printer{wr: op.Out}
	log := slog.New(slog.NewTextHandler(op.Log, nil))
	var captured *logCapture
	if op.Once {
		captured = &logCapture{}
		log = slog.New(slog.NewTextHandler(captured, nil))
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	dp, group, err := start(ctx, op, log)
	if err != nil {
		return err
	}
	defer dp.close()
	err = dp.serve(ctx, op, out, captured)
	cancel()
	if waitErr := group.Wait(); err == nil {
		err = waitErr
	}
	return err
}

// start starts the simulators and the entry hosts. The group waits for the end
// of the hosts.
func start(ctx context.Context, op cmds.LocalOptions, log *slog.Logger) (*deployment, *errgroup.Group, error) {
	doc, err := spec.Parse(op.Declarations, op.Content)
	if err != nil {
		return nil, nil, err
	}
	dp := &deployment{decl: doc.Declarations}
	dp.kv, err = kvsim.New(kvsim.Config{Listen: net.JoinHostPort(loopback, "0"), Log: log})
	if err != nil {
		return nil, nil, err
	}
	// The simulators outlive ctx, so that the hosts can shut down gracefully.
	go dp.kv.Run(context.WithoutCancel(ctx))
	dp.store = store.New(store.Config{Addresses: []string{dp.kv.Addr()}, Timeout: storeTimeout, Log: log})
	fleetCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	dp.fleet, err = fleet.Start(fleetCtx, fleet.Config{
		Declarations: dp.decl, Store: dp.store, EndpointsPerZone: maxEndpointsPerZone, Log: log,
	})
	if err != nil {
		dp.close()
		return nil, nil, err
	}
	group, err := dp.startHosts(ctx, op.BasePort, log)
	if err != nil {
		dp.close()
		return nil, nil, err
	}
	return dp, group, nil
}

// startHosts starts the entry hosts. Each has the hosts started before it as
// seeds. Their ports for callers are consecutive from basePort; their ports for
// peers are chosen by the kernel.
func (dp *deployment) startHosts(ctx context.Context, basePort int, log *slog.Logger) (*errgroup.Group, error) {
	var group errgroup.Group
	var seeds []string
	for i := range hostsPerZone * len(dp.decl.Zones) {
		zn := dp.decl.Zones[i%len(dp.decl.Zones)]
		address := net.JoinHostPort(loopback, fmt.Sprint(basePort+i))
		httpListener, err := net.Listen("tcp", address)
		if err != nil {
			return nil, merry.Prepend(err, "listen for callers")
		}
		peerListener, err := net.Listen("tcp", net.JoinHostPort(loopback, "0"))
		if err != nil {
			return nil, merry.Prepend(err, "listen for peers")
		}
		se := dp.settings(fmt.Sprintf("entry-%s-%d", zn.Name, i/len(dp.decl.Zones)+1), zn, address, peerListener.Addr().String(), seeds)
		seeds = append(seeds, se.Host.PeerAddress)
		ho, err := host.New(time.Now(), host.Config{Settings: se, HTTPListener: httpListener, PeerListener: peerListener, Log: log})
		if err != nil {
			return nil, err
		}
		dp.hosts = append(dp.hosts, ho)
		group.Go(func() error { return ho.Run(ctx) })
	}
	return &group, nil
}

// settings returns the settings of an entry host.
func (dp *deployment) settings(name string, zn spec.Zone, httpAddress, peerAddress string, seeds []string) setup.Settings {
	return setup.Settings{
		Host:  setup.Host{Name: name, Zone: zn.Name, Region: zn.Region, HTTPAddress: httpAddress, PeerAddress: peerAddress},
		Seeds: seeds,
		Store: setup.Store{Addresses: []string{dp.kv.Addr()}, Timeout: storeTimeout},
		Log:   setup.Log{Level: "info"},
		Limits: setup.Limits{
			Requests: setup.DefaultRequests, HeaderBytes: setup.DefaultHeaderBytes, BodyBytes: setup.DefaultBodyBytes,
			ReadTimeout: setup.DefaultReadTimeout, QueueTime: setup.DefaultQueueTime,
		},
		Stop: setup.Stop{Delay: 0, Timeout: stopTimeout},
	}
}

// serve applies the declarations and then waits until ctx is done or, with Once,
// runs the sample workload.
func (dp *deployment) serve(ctx context.Context, op cmds.LocalOptions, out *printer, captured *logCapture) error {
	cl := client.New(client.Config{Addresses: dp.addresses(), Operator: operatorName})
	defer cl.Close()
	if err := dp.apply(ctx, cl, op.Content); err != nil {
		return err
	}
	if err := dp.awaitReady(ctx, cl); err != nil {
		return err
	}
	for _, ho := range dp.hosts {
		out.printf("entry host http://%s", ho.HTTPAddress())
	}
	out.printf("store simulator http://%s, %d workers, %d endpoints", dp.kv.Addr(), len(dp.fleet.Workers()), len(dp.fleet.Endpoints()))
	if op.Once {
		return dp.sample(ctx, out, captured)
	}
	out.printf("serving until interrupted")
	<-ctx.Done()
	return out.err
}

func (dp *deployment) addresses() []string {
	var as []string
	for _, ho := range dp.hosts {
		as = append(as, ho.HTTPAddress())
	}
	return as
}

func (dp *deployment) apply(ctx context.Context, cl *client.Client, content []byte) error {
	ap, err := cl.Apply(ctx, content, 0, rolloutTimeout)
	if err != nil {
		return merry.Prependf(err, "apply declarations over revision %d", ap.Revision)
	}
	return nil
}

// awaitReady waits until all hosts are ready with the current revision and every
// zone has a scheduler.
func (dp *deployment) awaitReady(ctx context.Context, cl *client.Client) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for {
		st, err := cl.Status(ctx)
		if err == nil && ready(st, len(dp.hosts)) {
			return nil
		}
		select {
		case <-ctx.Done():
			return merry.Errorf("the deployment did not become ready within %v", startTimeout)
		case <-time.After(pollInterval):
		}
	}
}

// ready reports whether all hosts are ready and reachable with the current
// revision and every zone has a scheduler.
func ready(st client.Status, hosts int) bool {
	readyHosts := 0
	for _, hs := range st.Hosts {
		if hs.Ready && hs.Reachable && hs.Revision == st.Revision {
			readyHosts++
		}
	}
	for _, zs := range st.Zones {
		if zs.Scheduler == "" {
			return false
		}
	}
	return readyHosts == hosts && len(st.Zones) > 0
}

func (dp *deployment) close() {
	if dp.fleet != nil {
		dp.fleet.Close()
	}
	if dp.kv != nil {
		dp.kv.Close()
	}
}

// printer prints lines for the user and keeps the first write error.
type printer struct {
	wr  io.Writer
	err error
}

func (pr *printer) printf(format string, args ...any) {
	if _, err := fmt.Fprintf(pr.wr, format+"\n", args...); err != nil && pr.err == nil {
		pr.err = err
	}
}
