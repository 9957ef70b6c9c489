package setup

import (
	"os"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/cicadawharf/cicadawharf/internal/strict"
)

type (
	// Domain is what one host of a scheduling domain is told.
	Domain struct {
		Host      DomainHost  `yaml:"host"`
		Store     DomainStore `yaml:"store"`
		Advice    Advice      `yaml:"advice"`
		Machines  Machines    `yaml:"machines"`
		Log       Log         `yaml:"log"`
		Memory    int         `yaml:"memoryMegabytes"` // of the process; zero for no limit
		Processor Processor   `yaml:"processor"`
		Timing    Timing      `yaml:"timing"`

		Scheduling Scheduling `yaml:"scheduling"`
	}

	// Processor says what the process may use of the host's processor.
	Processor struct {
		Share float64 `yaml:"share"` // of the time
		Cores int     `yaml:"cores"`
	}

	// DomainHost says who and where the process is.
	DomainHost struct {
		Name             string `yaml:"name"`
		Zone             string `yaml:"zone"`
		Region           string `yaml:"region"`
		CallersAddress   string `yaml:"callersAddress"`   // IP:port
		ReadinessAddress string `yaml:"readinessAddress"` // IP:port
		MetricsAddress   string `yaml:"metricsAddress"`   // IP:port; empty for none
		PeerAddress      string `yaml:"peerAddress"`      // IP:port for other hosts; empty if calls are not forwarded
		OperatorsAddress string `yaml:"operatorsAddress"` // IP:port; empty for no interface for operators
	}

	// DomainStore says how to reach the platform's store.
	DomainStore struct {
		Address string `yaml:"address"` // IP:port
	}

	// Advice says how to reach the service that knows which workers a queue
	// allows.
	Advice struct {
		Address string `yaml:"address"` // IP:port; empty for none
	}

	// Machines says how to reach the platform's interface for the machines under
	// the workers.
	Machines struct {
		Address string `yaml:"address"` // IP:port; empty if no machine needs upkeep
	}

	// Scheduling says what a scheduler takes into account.
	Scheduling struct {
		FairShares bool `yaml:"fairShares"` // among workspaces, for work of like urgency
	}

	// Timing holds the bounds that the operators have set.
	Timing struct {
		Revoke    time.Duration `yaml:"revoke"`    // after which a key that was taken away must not work
		StopGrace time.Duration `yaml:"stopGrace"` // between SIGTERM and SIGKILL
		Evacuate  time.Duration `yaml:"evacuate"`  // after which nothing starts in an availability zone that is to be emptied; zero if none ever is
	}
)

// The values of settings that a file leaves out.
const (
	DefaultRevoke    = 5 * time.Second
	DefaultStopGrace = 6 * time.Second
)

// The bounds of settings.
const (
	maxMemory = 1 << 20 // megabytes
	maxCores  = 1 << 10
)

// LoadDomain reads and checks a file. An error of its content is spec.Faults.
func LoadDomain(file string) (Domain, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Domain{}, merry.Prepend(err, "settings")
	}
	return ParseDomain(file, data)
}

// ParseDomain checks the content of a file. The error is spec.Faults.
func ParseDomain(file string, data []byte) (Domain, error) {
	do := Domain{
		Log:       Log{Level: DefaultLevel},
		Processor: Processor{Share: 1, Cores: 1},
		Timing:    Timing{Revoke: DefaultRevoke, StopGrace: DefaultStopGrace},
	}
	tree := strict.Decode(file, data, &do)
	if tree.Err() == nil {
		checkDomain(tree, &do)
	}
	if err := tree.Err(); err != nil {
		return Domain{}, err
	}
	return do, nil
}

func checkDomain(tree *strict.Document, do *Domain) {
	checkName(tree, "$.host.name", do.Host.Name)
	checkName(tree, "$.host.zone", do.Host.Zone)
	checkName(tree, "$.host.region", do.Host.Region)
	checkAddress(tree, "$.host.callersAddress", do.Host.CallersAddress)
	checkAddress(tree, "$.host.readinessAddress", do.Host.ReadinessAddress)
	if do.Host.MetricsAddress != "" {
		checkAddress(tree, "$.host.metricsAddress", do.Host.MetricsAddress)
	}
	if do.Host.PeerAddress != "" {
		checkAddress(tree, "$.host.peerAddress", do.Host.PeerAddress)
	}
	if do.Host.OperatorsAddress != "" {
		checkAddress(tree, "$.host.operatorsAddress", do.Host.OperatorsAddress)
	}
	checkAddress(tree, "$.store.address", do.Store.Address)
	if do.Advice.Address != "" {
		checkAddress(tree, "$.advice.address", do.Advice.Address)
	}
	if do.Machines.Address != "" {
		checkAddress(tree, "$.machines.address", do.Machines.Address)
	}
	checkLevel(tree, do.Log.Level)
	if do.Memory < 0 || do.Memory > maxMemory {
		tree.Report("$.memoryMegabytes", "memoryMegabytes must be within 0 and %d", maxMemory)
	}
	if do.Processor.Share <= 0 || do.Processor.Share > 1 {
		tree.Report("$.processor.share", "share must be above 0 and at most 1")
	}
	if do.Processor.Cores < 1 || do.Processor.Cores > maxCores {
		tree.Report("$.processor.cores", "cores must be within 1 and %d", maxCores)
	}
	checkDuration(tree, "$.timing.revoke", do.Timing.Revoke, 1)
	checkDuration(tree, "$.timing.stopGrace", do.Timing.StopGrace, 1)
	checkDuration(tree, "$.timing.evacuate", do.Timing.Evacuate, 0)
}

// AvailableCores returns what the process may use, in cores.
func (pr Processor) AvailableCores() float64 { return pr.Share * float64(pr.Cores) }
