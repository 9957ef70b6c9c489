//go:build linux

// Package size_test measures the resource usage of the system's roles, for
// docs/CAPACITY.md. Each entry host, the platform's store and the workers run in
// separate processes, so that the kernel's counts of processor time and of bytes
// can be attributed to them.
package size_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"syscall"
	"testing"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/fakes/fleet"
	"github.com/cicadawharf/cicadawharf/internal/fakes/kvsim"
	"github.com/cicadawharf/cicadawharf/internal/host"
	"github.com/cicadawharf/cicadawharf/internal/setup"
	"github.com/cicadawharf/cicadawharf/internal/store"
	"github.com/cicadawharf/cicadawharf/pkg/spec"
)

type (
	// role selects what a child process runs.
	role string

	// childConfig configures a child process.
	childConfig struct {
		Role         role
		Store        string // address
		Declarations string // content of a declarations file
		Name         string // of an entry host
		Endpoints    int    // of each service, limited to the number of workers
	}
)

const (
	roleStore role = "store"
	roleFleet role = "fleet"
	roleHost  role = "host"

	configVariable = "CICADAWHARF_SIZE_ORDER" // environment variable with the childConfig as JSON
	listenAddress  = "127.0.0.1:0"
	storeTimeout   = 2 * time.Second
	startTime      = 30 * time.Second // bounds the start of the system, the stop of a child and a submission
)

// discardLog formats every log line as in production and discards it, so that it
// doesn't count as bytes written.
var discardLog = slog.New(slog.NewTextHandler(io.Discard, nil))

func TestMain(m *testing.M) {
	content := os.Getenv(configVariable)
	if content == "" {
		os.Exit(m.Run())
	}
	var cc childConfig
	if err := json.Unmarshal([]byte(content), &cc); err != nil {
		fail(err)
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer cancel()
	go exitWithParent(cancel)
	if err := cc.run(ctx); err != nil {
		fail(err)
	}
}

func fail(err error) {
	fmt.Fprintln(os.Stderr, err)
	os.Exit(1)
}

// exitWithParent cancels the child when its parent closes its standard input.
func exitWithParent(cancel context.CancelFunc) {
	_, _ = io.Copy(io.Discard, os.Stdin)
	cancel()
}

func (cc childConfig) run(ctx context.Context) error {
	switch cc.Role {
	case roleStore:
		return runStore(ctx)
	case roleFleet:
		return cc.runFleet(ctx)
	default:
		return cc.runHost(ctx)
	}
}

// reportReady sends the parent the child's address once it serves.
func reportReady(address string) { fmt.Println(address) }

func runStore(ctx context.Context) error {
	sv, err := kvsim.New(kvsim.Config{Listen: listenAddress, Log: discardLog})
	if err != nil {
		return err
	}
	reportReady(sv.Addr())
	return sv.Run(ctx)
}

func (cc childConfig) runFleet(ctx context.Context) error {
	doc, err := spec.Parse("fleet", []byte(cc.Declarations))
	if err != nil {
		return err
	}
	st := store.New(store.Config{Addresses: []string{cc.Store}, Timeout: storeTimeout, Log: discardLog})
	defer st.Close()
	startCtx, cancel := context.WithTimeout(ctx, startTime)
	defer cancel()
	fl, err := fleet.Start(startCtx, fleet.Config{Declarations: doc.Declarations, Store: st, EndpointsPerZone: cc.Endpoints, Log: discardLog})
	if err != nil {
		return err
	}
	defer fl.Close()
	reportReady("fleet")
	<-ctx.Done()
	return nil
}

func (cc childConfig) runHost(ctx context.Context) error {
	httpListener, err := net.Listen("tcp", listenAddress)
	if err != nil {
		return err
	}
	peerListener, err := net.Listen("tcp", listenAddress)
	if err != nil {
		return err
	}
	ho, err := host.New(time.Now(), host.Config{
		Settings: cc.settings(httpListener, peerListener), HTTPListener: httpListener, PeerListener: peerListener, Log: discardLog,
	})
	if err != nil {
		return err
	}
	reportReady(ho.HTTPAddress())
	return ho.Run(ctx)
}

func (cc childConfig) settings(httpListener, peerListener net.Listener) setup.Settings {
	return setup.Settings{
		Host: setup.Host{
			Name: cc.Name, Zone: zoneName, Region: "region",
			HTTPAddress: httpListener.Addr().String(), PeerAddress: peerListener.Addr().String(),
		},
		Store: setup.Store{Addresses: []string{cc.Store}, Timeout: storeTimeout},
		Log:   setup.Log{Level: "info"},
		Limits: setup.Limits{
			Requests: setup.DefaultRequests, HeaderBytes: setup.DefaultHeaderBytes, BodyBytes: setup.DefaultBodyBytes,
			ReadTimeout: setup.DefaultReadTimeout, QueueTime: setup.DefaultQueueTime,
		},
		Stop: setup.Stop{Timeout: time.Second},
	}
}
