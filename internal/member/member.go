// Package member runs one host of a scheduling domain: it accepts jobs from
// callers, and schedules while it is the leader.
package member

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/ansel1/merry/v2"

	"github.com/cicadawharf/cicadawharf/internal/drive"
	"github.com/cicadawharf/cicadawharf/internal/guard"
	"github.com/cicadawharf/cicadawharf/internal/intake"
	"github.com/cicadawharf/cicadawharf/internal/pause"
	"github.com/cicadawharf/cicadawharf/internal/remote"
	"github.com/cicadawharf/cicadawharf/internal/setup"
	"github.com/cicadawharf/cicadawharf/internal/uptime"
)

type (
	// Config constructs a Member.
	Config struct {
		Settings        setup.Domain
		Scheduler       *drive.Scheduler
		Intake          *intake.Intake
		Callers         http.Handler                         // handles the calls of callers
		Remote          *remote.Peer                         // nil if calls are not forwarded
		Forwarded       remote.Handler                       // handles calls forwarded by other hosts
		OperatorHandler http.Handler                         // served if the settings have an operators' address
		Readiness       func(ready func() bool) http.Handler // returns the handler of the load balancer's probes
		Guard           *guard.Guard                         // bounds what clients make the host hold
		Log             *slog.Logger
	}

	// Member is one host of a domain.
	Member struct {
		cfg      Config
		stopping atomic.Bool
	}
)

const (
	// unreadyShare is the share of the stop grace period in which the load
	// balancer can notice that the host is not ready. Calls in progress may finish
	// until shutdownShare of the period has passed.
	unreadyShare  = 0.45
	shutdownShare = 0.85

	// maxServiceConnections bounds the connections to each of the addresses that are not
	// for callers.
	maxServiceConnections = 32

	loadRetryDelay = 200 * time.Millisecond
	loadTimeout    = time.Second
)

// New returns a member that is idle until Run.
func New(cf Config) *Member { return &Member{cfg: cf} }

// Ready reports whether the load balancer may send calls to this host.
func (me *Member) Ready() bool {
	return !me.stopping.Load() && me.cfg.Intake.Ready(uptime.Now())
}

// Run serves until ctx ends, and then shuts down. Calls in progress may finish
// until shutdownShare of the stop grace period has passed. It returns an error if
// it can't listen, if a server fails, or if calls of callers or operators were
// still in progress at that time.
func (me *Member) Run(ctx context.Context) error {
	se := me.cfg.Settings
	gu := me.cfg.Guard
	servers := map[string]*http.Server{
		se.Host.CallersAddress:   gu.Server(me.cfg.Callers),
		se.Host.ReadinessAddress: gu.Server(me.cfg.Readiness(me.Ready)),
	}
	if se.Host.MetricsAddress != "" {
		servers[se.Host.MetricsAddress] = gu.Server(metricsHandler())
	}
	if se.Host.OperatorsAddress != "" {
		servers[se.Host.OperatorsAddress] = gu.Server(me.cfg.OperatorHandler)
	}
	failed := make(chan error, len(servers)+1)
	for address, sv := range servers {
		ln, err := net.Listen("tcp", address)
		if err != nil {
			return merry.Prepend(err, "listen")
		}
		connections := maxServiceConnections
		if address == se.Host.CallersAddress {
			connections = gu.MaxConnections()
		}
		go func() { failed <- sv.Serve(gu.Listen(ln, connections)) }()
	}
	me.cfg.Log.Info("host started", "event", "begins", "host", se.Host.Name, "zone", se.Host.Zone, "callers", se.Host.CallersAddress)
	sctx, stopScheduler := context.WithCancel(ctx)
	defer stopScheduler()
	var wg sync.WaitGroup
	wg.Go(func() { me.cfg.Scheduler.Run(sctx) })
	if me.cfg.Remote != nil {
		wg.Go(func() {
			if err := me.cfg.Remote.Run(ctx, me.cfg.Forwarded); err != nil {
				failed <- err
			}
		})
	}
	go me.loadPolicy(ctx)
	select {
	case err := <-failed:
		return merry.Prepend(err, "serve")
	case <-ctx.Done():
	}
	return me.stop(servers, &wg)
}

// stop makes the host unready so that the load balancer sends no more calls,
// waits for the scheduler to revoke its lease, and then shuts the servers down.
func (me *Member) stop(servers map[string]*http.Server, wg *sync.WaitGroup) error {
	began := time.Now()
	grace := float64(me.cfg.Settings.Timing.StopGrace)
	me.cfg.Log.Info("host is stopping", "event", "stops", "grace", me.cfg.Settings.Timing.StopGrace)
	me.stopping.Store(true)
	for _, sv := range servers {
		sv.SetKeepAlivesEnabled(false)
	}
	time.Sleep(time.Duration(unreadyShare * grace))
	wg.Wait()
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(time.Duration(shutdownShare*grace)))
	defer cancel()
	var errs []error
	for _, sv := range servers {
		errs = append(errs, sv.Shutdown(ctx))
	}
	if me.cfg.Remote != nil {
		me.cfg.Remote.Close(ctx)
	}
	err := errors.Join(errs...)
	me.cfg.Log.Info("host stopped", "event", "ends", "took", time.Since(began).Round(time.Millisecond), "error", err)
	return err
}

// loadPolicy loads the policy, with retries until ctx ends. The host is not
// ready without it.
func (me *Member) loadPolicy(ctx context.Context) {
	for ctx.Err() == nil {
		cctx, cancel := context.WithTimeout(ctx, loadTimeout)
		err := me.cfg.Intake.LoadPolicy(cctx, uptime.Now())
		cancel()
		if err == nil || !pause.For(ctx, loadRetryDelay) {
			return
		}
	}
}

func metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(wr http.ResponseWriter, _ *http.Request) {
		metrics.WritePrometheus(wr, true)
	})
	return mux
}
