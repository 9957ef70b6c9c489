package cmds

import (
	"context"
	"io"

	"github.com/integrii/flaggy"

	sacos "github.com/cicadawharf/cicadawharf/examples"
	"github.com/cicadawharf/cicadawharf/internal/setup"
	"github.com/cicadawharf/cicadawharf/pkg/spec"
)

type (
	// LocalOptions holds the flags of local, which runs a small deployment in
	// one process.
	LocalOptions struct {
		Declarations string // file name; empty for the embedded example
		Content      []byte // validated content of the file
		Once         bool   // run a sample workload and exit
		BasePort     int    // first of the ports used
		Out          io.Writer
		Log          io.Writer
	}

	// StandinKind is the part of the platform that a simulator takes the place
	// of.
	StandinKind string

	// StandinOptions holds the flags of standin.
	StandinOptions struct {
		Kind         StandinKind
		Listen       string   // IP:port
		Store        []string // IP:port of the store servers; a worker or endpoint is registered there
		Name         string   // of a worker or endpoint
		Zone         string   // of a worker or endpoint
		Rack         string   // of a worker
		Accelerators int      // of a worker
		Service      string   // of an endpoint
		Slots        int      // of an endpoint
		Connections  int      // of an endpoint
		RunScale     float64  // factor applied to the run times of a worker's tasks
		Log          io.Writer
	}
)

// The kinds of simulators.
const (
	StandinStore    StandinKind = "store"
	StandinWorker   StandinKind = "worker"
	StandinEndpoint StandinKind = "endpoint"
)

const (
	defaultBasePort = 7080
	maxBasePort     = 60000

	defaultAccelerators = 8
	maxAccelerators     = 8
	defaultSlots        = 8
	defaultConnections  = 60
)

func (en *env) serveCommand() *command {
	var file string
	return &command{
		name:        "serve",
		description: "runs an entry host",
		usage:       "FILE",
		positionals: []positional{{&file, "file", "settings file (required)", true}},
		run: func(ctx context.Context) error {
			data, err := readFile(file)
			if err != nil {
				return err
			}
			se, err := setup.Parse(file, data)
			if err != nil {
				return err
			}
			return en.runners.Serve(ctx, se, en.errOut)
		},
	}
}

func (en *env) domainCommand() *command {
	var file string
	return &command{
		name:        "domain",
		description: "runs a host of a scheduling domain on the platform",
		usage:       "FILE",
		positionals: []positional{{&file, "file", "settings file (required)", true}},
		run: func(ctx context.Context) error {
			if file == "" {
				return usageErrorf("a settings file is required; see %s domain --help", program)
			}
			return en.runners.Domain(ctx, file, en.out)
		},
	}
}

func (en *env) localCommand() *command {
	op := LocalOptions{BasePort: defaultBasePort}
	return &command{
		name:        "local",
		description: "runs a small deployment with simulators of the platform on this machine",
		flags: func(sc *flaggy.Subcommand) {
			sc.String(&op.Declarations, "", "declarations", "declarations file; "+sacos.Name+" by default")
			sc.Bool(&op.Once, "", "once", "run a sample workload, print the report and exit")
			sc.Int(&op.BasePort, "", "base-port", "first of the ports used")
		},
		run: func(ctx context.Context) error {
			if op.BasePort < 1024 || op.BasePort > maxBasePort {
				return usageErrorf("flag --base-port: must be between 1024 and %d", maxBasePort)
			}
			if err := op.load(); err != nil {
				return err
			}
			op.Out, op.Log = en.out, en.errOut
			return en.runners.Local(ctx, op)
		},
	}
}

// load reads the declarations file, or uses the embedded example if none is
// given.
func (op *LocalOptions) load() error {
	if op.Declarations == "" {
		op.Declarations, op.Content = sacos.Name, sacos.Declarations
		return nil
	}
	data, _, err := loadDeclarations(op.Declarations)
	op.Content = data
	return err
}

func (en *env) standinCommand() *command {
	op := StandinOptions{
		Accelerators: defaultAccelerators, Slots: defaultSlots, Connections: defaultConnections, RunScale: 1,
	}
	var kind string
	return &command{
		name:        "standin",
		description: "runs a simulator of the platform's store, of a worker or of an endpoint, for tests",
		usage:       "store|worker|endpoint",
		positionals: []positional{{&kind, "kind", "store, worker or endpoint (required)", true}},
		flags: func(sc *flaggy.Subcommand) {
			sc.String(&op.Listen, "", "listen", "IP:port to listen on (required)")
			sc.StringSlice(&op.Store, "", "store", "IP:port of the store, may be repeated (required for worker and endpoint)")
			sc.String(&op.Name, "", "name", "name of the host (required for worker and endpoint)")
			sc.String(&op.Zone, "", "zone", "availability zone (required for worker and endpoint)")
			sc.String(&op.Rack, "", "rack", "rack (required for worker)")
			sc.Int(&op.Accelerators, "", "accelerators", "accelerators of a worker")
			sc.String(&op.Service, "", "service", "service (required for endpoint)")
			sc.Int(&op.Slots, "", "slots", "slots of an endpoint")
			sc.Int(&op.Connections, "", "connections", "connections that an endpoint accepts")
			sc.Float64(&op.RunScale, "", "run-scale", "factor applied to the run times of a worker's tasks")
		},
		run: func(ctx context.Context) error {
			op.Kind, op.Log = StandinKind(kind), en.errOut
			if err := op.check(); err != nil {
				return err
			}
			return en.runners.Standin(ctx, op)
		},
	}
}

// check validates the flags of a simulator.
func (op *StandinOptions) check() error {
	if op.Listen == "" {
		return usageErrorf("flag --listen is required")
	}
	if err := setup.CheckAddress(op.Listen); err != nil {
		return usageErrorf("flag --listen: %v", err)
	}
	switch op.Kind {
	case StandinStore:
		return nil
	case StandinWorker:
		if err := checkNames(nameFlag{"rack", op.Rack}); err != nil {
			return err
		}
		if op.Accelerators < 0 || op.Accelerators > maxAccelerators {
			return usageErrorf("flag --accelerators: must be between 0 and %d", maxAccelerators)
		}
		if !(op.RunScale > 0) {
			return usageErrorf("flag --run-scale: must be positive")
		}
	case StandinEndpoint:
		if err := checkNames(nameFlag{"service", op.Service}); err != nil {
			return err
		}
		if op.Slots < 1 || op.Connections < op.Slots {
			return usageErrorf("flag --slots: must be at least 1 and at most --connections")
		}
	default:
		return usageErrorf("kind %q must be store, worker or endpoint", op.Kind)
	}
	return op.checkRegistration()
}

// checkRegistration validates the flags of a host that is registered in the
// store.
func (op *StandinOptions) checkRegistration() error {
	if len(op.Store) == 0 {
		return usageErrorf("flag --store is required")
	}
	for _, ad := range op.Store {
		if err := setup.CheckAddress(ad); err != nil {
			return usageErrorf("flag --store: %v", err)
		}
	}
	return checkNames(nameFlag{"name", op.Name}, nameFlag{"zone", op.Zone})
}

// nameFlag is the value of a flag that must be a valid name.
type nameFlag struct {
	flag string
	text string
}

func checkNames(ns ...nameFlag) error {
	for _, na := range ns {
		if na.text == "" {
			return usageErrorf("flag --%s is required", na.flag)
		}
		if !spec.ValidName(na.text) {
			return usageErrorf("flag --%s: %q must consist of 1 to 63 lower-case letters, digits and hyphens, and not begin or end with a hyphen", na.flag, na.text)
		}
	}
	return nil
}
