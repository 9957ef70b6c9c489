package setup

import (
	"os"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/cicadawharf/cicadawharf/internal/strict"
)

type (
	// Domain holds the settings of a host of a scheduling domain.
	Domain struct {
		Host      DomainHost  `yaml:"host"`
		Store     DomainStore `yaml:"store"`
		Advice    Advice      `yaml:"advice"`
		Machines  Machines    `yaml:"machines"`
		Log       Log         `yaml:"log"`
		MemoryMiB int         `yaml:"memoryMegabytes"` // memory limit of the process, MiB; zero for no limit
		Processor Processor   `yaml:"processor"`
		Timing    Timing      `yaml:"timing"`

		Scheduling Scheduling `yaml:"scheduling"`
	}

	// Processor is the CPU quota of the process.
	Processor struct {
		Share float64 `yaml:"share"` // fraction of the CPU time of the cores, above 0 and at most 1
		Cores int     `yaml:"cores"` // number of cores that the share refers to
	}

	// DomainHost identifies a host of a scheduling domain, its location and its
	// addresses.
	DomainHost struct {
		Name             string `yaml:"name"`
		Zone             string `yaml:"zone"`
		Region           string `yaml:"region"`
		CallersAddress   string `yaml:"callersAddress"`   // IP:port
		ReadinessAddress string `yaml:"readinessAddress"` // IP:port
		MetricsAddress   string `yaml:"metricsAddress"`   // IP:port; empty for none
		PeerAddress      string `yaml:"peerAddress"`      // IP:port for other hosts; empty for no forwarding of calls
		OperatorsAddress string `yaml:"operatorsAddress"` // IP:port; empty for no operator API
	}

	// DomainStore configures the client of the platform's store.
	DomainStore struct {
		Address string `yaml:"address"` // IP:port
	}

	// Advice configures the client of the service that advises which workers a
	// queue may use.
	Advice struct {
		Address string `yaml:"address"` // IP:port; empty for none
	}

	// Machines configures the client of the platform's API for the machines that
	// the workers run on.
	Machines struct {
		Address string `yaml:"address"` // IP:port; empty for no machine maintenance
	}

	// Scheduling configures the scheduling policy.
	Scheduling struct {
		FairShares bool `yaml:"fairShares"` // fair sharing among workspaces, for work of equal priority
	}

	// Timing holds the time limits that operators set.
	Timing struct {
		Revoke    time.Duration `yaml:"revoke"`    // time within which a revoked API key must stop working
		StopGrace time.Duration `yaml:"stopGrace"` // between SIGTERM and SIGKILL
		Evacuate  time.Duration `yaml:"evacuate"`  // time after which nothing starts in an evacuated availability zone; zero to disable evacuation
	}
)

// The defaults of optional settings of a host of a scheduling domain.
const (
	DefaultRevoke    = 5 * time.Second
	DefaultStopGrace = 6 * time.Second
)

// The upper limits of the settings of a host of a scheduling domain.
const (
	maxMemoryMiB = 1 << 20
	maxCores     = 1 << 10
)

// LoadDomain reads and validates a settings file. The error wraps that of
// reading the file, or is of type spec.Faults if the content is invalid.
func LoadDomain(file string) (Domain, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Domain{}, merry.Prepend(err, "read the settings")
	}
	return ParseDomain(file, data)
}

// ParseDomain parses and validates the content of a settings file. The error is
// of type spec.Faults.
func ParseDomain(file string, data []byte) (Domain, error) {
	do := Domain{
		Log:       Log{Level: DefaultLevel},
		Processor: Processor{Share: 1, Cores: 1},
		Timing:    Timing{Revoke: DefaultRevoke, StopGrace: DefaultStopGrace},
	}
	doc := strict.Decode(file, data, &do)
	if doc.Err() == nil {
		checkDomain(doc, &do)
	}
	if err := doc.Err(); err != nil {
		return Domain{}, err
	}
	return do, nil
}

func checkDomain(doc *strict.Document, do *Domain) {
	checkName(doc, "$.host.name", do.Host.Name)
	checkName(doc, "$.host.zone", do.Host.Zone)
	checkName(doc, "$.host.region", do.Host.Region)
	checkAddress(doc, "$.host.callersAddress", do.Host.CallersAddress)
	checkAddress(doc, "$.host.readinessAddress", do.Host.ReadinessAddress)
	if do.Host.MetricsAddress != "" {
		checkAddress(doc, "$.host.metricsAddress", do.Host.MetricsAddress)
	}
	if do.Host.PeerAddress != "" {
		checkAddress(doc, "$.host.peerAddress", do.Host.PeerAddress)
	}
	if do.Host.OperatorsAddress != "" {
		checkAddress(doc, "$.host.operatorsAddress", do.Host.OperatorsAddress)
	}
	checkAddress(doc, "$.store.address", do.Store.Address)
	if do.Advice.Address != "" {
		checkAddress(doc, "$.advice.address", do.Advice.Address)
	}
	if do.Machines.Address != "" {
		checkAddress(doc, "$.machines.address", do.Machines.Address)
	}
	checkLevel(doc, do.Log.Level)
	if do.MemoryMiB < 0 || do.MemoryMiB > maxMemoryMiB {
		doc.Report("$.memoryMegabytes", "memoryMegabytes must be between 0 and %d", maxMemoryMiB)
	}
	if do.Processor.Share <= 0 || do.Processor.Share > 1 {
		doc.Report("$.processor.share", "share must be above 0 and at most 1")
	}
	if do.Processor.Cores < 1 || do.Processor.Cores > maxCores {
		doc.Report("$.processor.cores", "cores must be between 1 and %d", maxCores)
	}
	checkDuration(doc, "$.timing.revoke", do.Timing.Revoke, 1)
	checkDuration(doc, "$.timing.stopGrace", do.Timing.StopGrace, 1)
	checkDuration(doc, "$.timing.evacuate", do.Timing.Evacuate, 0)
}

// AvailableCores returns the CPU quota of the process, in cores.
func (pr Processor) AvailableCores() float64 { return pr.Share * float64(pr.Cores) }
