// Command cicadawharf routes requests to endpoints and schedules gang jobs on
// workers. It is also the command-line client for operators and callers.
package main

import (
	"context"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/cmds"
	"github.com/cicadawharf/cicadawharf/internal/host"
	"github.com/cicadawharf/cicadawharf/internal/local"
	"github.com/cicadawharf/cicadawharf/internal/setup"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	run := cmds.Runners{Serve: serve, Domain: domain, Local: local.Run, Standin: local.Standin}
	code := cmds.Main(ctx, os.Args[1:], os.Stdout, os.Stderr, run)
	stop()
	os.Exit(code)
}

// serve runs an entry host until ctx is done. It writes the log to log.
func serve(ctx context.Context, se setup.Settings, log io.Writer) error {
	var level slog.Level
	if err := level.UnmarshalText([]byte(se.Log.Level)); err != nil {
		return err
	}
	setMemoryLimit(int64(se.MemoryMiB) * mebibyte)
	logger := slog.New(slog.NewTextHandler(log, &slog.HandlerOptions{Level: level}))
	ho, err := host.New(time.Now(), host.Config{Settings: se, Log: logger})
	if err != nil {
		return err
	}
	return ho.Run(ctx)
}
