package main

import (
	"context"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/admin"
	"github.com/cicadawharf/cicadawharf/internal/batch"
	"github.com/cicadawharf/cicadawharf/internal/drive"
	"github.com/cicadawharf/cicadawharf/internal/guard"
	"github.com/cicadawharf/cicadawharf/internal/intake"
	"github.com/cicadawharf/cicadawharf/internal/logbuf"
	"github.com/cicadawharf/cicadawharf/internal/member"
	"github.com/cicadawharf/cicadawharf/internal/remote"
	"github.com/cicadawharf/cicadawharf/internal/setup"
	"github.com/cicadawharf/cicadawharf/internal/store"
	"github.com/cicadawharf/cicadawharf/internal/uptime"
	"github.com/cicadawharf/cicadawharf/platform"
)

const (
	mebibyte = 1 << 20 // bytes
	// memoryLimitShare is the fraction of the configured memory that is set as
	// the soft memory limit of the Go runtime.
	memoryLimitShare = 0.8
	// logFlushTimeout bounds the wait for the log to be flushed on exit.
	logFlushTimeout = 300 * time.Millisecond
	// policyAgeMargin is subtracted from the time within which a revoked API key
	// must stop working, to allow for calls that are already being processed.
	policyAgeMargin = 1500 * time.Millisecond
)

// domain runs a host of a scheduling domain, whose settings are in file, until
// ctx is done. It writes the log to out.
func domain(ctx context.Context, file string, out io.Writer) error {
	// The signal is caught until the process exits: otherwise it would end a host
	// that starts or stops.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	se, err := setup.LoadDomain(file)
	if err != nil {
		return err
	}
	var level slog.Level
	if err := level.UnmarshalText([]byte(se.Log.Level)); err != nil {
		return err
	}
	runtime.GOMAXPROCS(1) // the CPU quota of a host is less than one core
	setMemoryLimit(memoryLimit(se))
	wr := logbuf.New(logbuf.Config{To: out})
	defer wr.Close(logFlushTimeout)
	log := slog.New(slog.NewTextHandler(wr, &slog.HandlerOptions{Level: level}))
	go checkSettings(file, hangups, log)
	return newMember(se, log).Run(ctx)
}

// setMemoryLimit sets the soft memory limit of the Go runtime by the memory limit of
// the process in bytes, zero for none.
func setMemoryLimit(limit int64) {
	if limit > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(limit)))
	}
}

// memoryLimit returns the configured memory limit in bytes, zero for none.
func memoryLimit(se setup.Domain) int64 { return int64(se.MemoryMiB) * mebibyte }

// newMember returns a host of a scheduling domain with its clients, scheduler
// and servers.
func newMember(se setup.Domain, log *slog.Logger) *member.Member {
	st := store.Meter(platform.NewStore(se.Store.Address))
	layout := platform.Layout()
	if se.Timing.Evacuate == 0 {
		layout.EvacuationPrefix = ""
	}
	var sc *drive.Scheduler
	in := intake.New(intake.Config{
		Store: st, PolicyKey: layout.PolicyKey, Decode: layout.DecodePolicy,
		MaxPolicyAge: max(0, se.Timing.Revoke-policyAgeMargin), Log: log,
		Announce: func(no batch.Notice) { sc.Announce(no) }, MemoryLimit: memoryLimit(se),
	})
	dc := drive.Config{
		Host: se.Host.Name, Cores: se.Processor.AvailableCores(), MemoryLimit: memoryLimit(se), Store: st, Workers: platform.NewWorkers(),
		Layout: layout, MinMoveRunTime: se.Timing.Evacuate, FairShares: se.Scheduling.FairShares, Log: log,
	}
	if se.Advice.Address != "" {
		dc.Adviser = platform.NewAdviser(se.Advice.Address)
	}
	if se.Machines.Address != "" {
		dc.Machines = platform.NewMachines(se.Machines.Address)
	}
	gu := guard.New(guard.Config{MemoryLimit: memoryLimit(se), Log: log})
	fc := platform.FrontConfig{Intake: in, Guard: gu, Uptime: uptime.Now, Log: log}
	pe := newPeer(se, st, in, gu, log, func(no batch.Notice) bool { return sc.Deliver(no) })
	if pe != nil {
		fc.Forwarder = pe
		dc.PeerAddress, dc.Notify = se.Host.PeerAddress, pe.Notify
	}
	sc = drive.New(time.Now(), dc)
	fr := platform.NewFront(fc)
	return member.New(member.Config{
		Settings: se, Scheduler: sc, Intake: in, Log: log, Readiness: platform.Ready, Guard: gu,
		Callers: fr, Remote: pe, Forwarded: fr,
		OperatorHandler: admin.New(admin.Config{Host: se.Host.Name, Store: st, Layout: layout, Log: log}),
	})
}

// newPeer returns the peer that serves the calls of other hosts and forwards
// calls to them. It returns nil if the settings have no peer address.
func newPeer(se setup.Domain, st store.TxnStore, in *intake.Intake, gu *guard.Guard, log *slog.Logger, deliver func(batch.Notice) bool) *remote.Peer {
	if se.Host.PeerAddress == "" {
		return nil
	}
	return remote.New(remote.Config{
		Self: remote.Member{
			Name: se.Host.Name, Address: se.Host.PeerAddress, Zone: se.Host.Zone, Region: se.Host.Region,
			Started: time.Now().UnixNano(),
		},
		Store: st, Cores: se.Processor.AvailableCores(), StoreReachable: func() bool { return in.Ready(uptime.Now()) },
		MaxStreams: gu.MaxStreams(), Deliver: deliver, Log: log,
	})
}

// checkSettings rereads and validates the settings file on each hangup signal and
// logs the result. The settings of the running process don't change.
func checkSettings(file string, hangups <-chan os.Signal, log *slog.Logger) {
	for range hangups {
		se, err := setup.LoadDomain(file)
		log.Info("settings file checked", "event", "reload", "host", se.Host.Name, "error", err)
	}
}
