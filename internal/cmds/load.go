package cmds

import (
	"context"
	"io"
	"time"

	"github.com/integrii/flaggy"

	"github.com/cicadawharf/cicadawharf/internal/load"
)

// loadOptions holds the flags of load.
type loadOptions struct {
	output
	cfg     load.Config
	classes []string
	seed    int64
}

const (
	defaultLoadTime    = 10 * time.Second
	defaultConcurrency = 1024
	defaultLoadPath    = "/"
)

func (en *env) loadCommand() *command {
	op := loadOptions{seed: 1, cfg: load.Config{
		Path: defaultLoadPath, Duration: defaultLoadTime, Concurrency: defaultConcurrency,
	}}
	return &command{
		name:        "load",
		description: "sends requests to entry hosts on this machine at a given rate and counts their outcomes",
		usage:       "--service NAME --class workspace=W,caller=C,rate=R[,priority=P][,delay=D][,repeatable=true|false]...",
		flags: func(sc *flaggy.Subcommand) {
			sc.StringSlice(&op.cfg.Addresses, "", "address", "loopback IP:port of an entry host, may be repeated; "+defaultAddress+" if none is given")
			sc.String(&op.cfg.Service, "", "service", "service to call (required)")
			sc.String(&op.cfg.Path, "", "path", "path of the requests")
			sc.StringSlice(&op.classes, "", "class", "class of callers, may be repeated (required)")
			sc.Duration(&op.cfg.Duration, "", "duration", "how long requests are sent")
			sc.Int(&op.cfg.Concurrency, "", "concurrency", "maximum number of requests in progress; further ones are withheld")
			sc.Int64(&op.seed, "", "seed", "random seed of the arrival times")
			op.output.flags(sc)
		},
		run: func(ctx context.Context) error { return en.load(ctx, &op) },
	}
}

func (en *env) load(ctx context.Context, op *loadOptions) error {
	if err := op.check(en); err != nil {
		return err
	}
	for _, text := range op.classes {
		cl, err := load.ParseClass(text)
		if err != nil {
			return usageErrorf("flag --class: %v", err)
		}
		op.cfg.Classes = append(op.cfg.Classes, cl)
	}
	if len(op.cfg.Addresses) == 0 {
		op.cfg.Addresses = []string{defaultAddress}
	}
	op.cfg.Seed = uint64(op.seed)
	if err := op.cfg.Check(); err != nil {
		return usageErrorf("%v", err)
	}
	rp, err := load.Run(ctx, op.cfg)
	if err != nil {
		return err
	}
	return emit(en, rp, func(out io.Writer, rp load.Report) error { return rp.WriteText(out) })
}
