package setup

import (
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/cicadawharf/cicadawharf/internal/strict"
	"github.com/cicadawharf/cicadawharf/pkg/spec"
)

// The defaults of optional settings of an entry host.
const (
	DefaultLevel        = "info"
	DefaultStoreTimeout = 2 * time.Second
	DefaultRequests     = 4096
	DefaultHeaderBytes  = 64 << 10
	DefaultBodyBytes    = 16 << 20
	DefaultReadTimeout  = 10 * time.Second
	DefaultQueueTime    = time.Second
	DefaultStopDelay    = 5 * time.Second
	DefaultStopTimeout  = 60 * time.Second
	// DefaultMemoryMiB is that of the smallest machine for an entry host. With larger
	// bodies the default is memoryPerBody times limits.bodyBytes.
	DefaultMemoryMiB = 284
)

// memoryPerBody is the memory of an entry host divided by the size of its largest body:
// a fifth of the memory is for requests, and two of the largest have room.
const memoryPerBody = 10

// The upper limits of the settings of an entry host.
const (
	maxRequests    = 1 << 20
	maxConnections = 1 << 20
	maxHeaderBytes = 1 << 20
	maxBodyBytes   = 1 << 30
	maxDuration    = time.Hour
)

// Load reads and validates a settings file. The error wraps that of reading the
// file, or is of type spec.Faults if the content is invalid.
func Load(file string) (Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, merry.Prepend(err, "read the settings")
	}
	return Parse(file, data)
}

// Parse parses and validates the content of a settings file. The error is of
// type spec.Faults.
func Parse(file string, data []byte) (Settings, error) {
	se := defaults()
	doc := strict.Decode(file, data, &se)
	if doc.Err() == nil {
		check(doc, &se)
	}
	if err := doc.Err(); err != nil {
		return Settings{}, err
	}
	if !doc.Has("$.memoryMegabytes") {
		se.MemoryMiB = max(DefaultMemoryMiB, bodyMemoryMiB(se.Limits))
	}
	return se, nil
}

// bodyMemoryMiB returns the memory that the largest body needs, in MiB.
func bodyMemoryMiB(li Limits) int {
	return int((memoryPerBody*li.BodyBytes + 1<<20 - 1) >> 20)
}

func defaults() Settings {
	return Settings{
		Store: Store{Timeout: DefaultStoreTimeout},
		Log:   Log{Level: DefaultLevel},
		Limits: Limits{
			Requests:    DefaultRequests,
			HeaderBytes: DefaultHeaderBytes,
			BodyBytes:   DefaultBodyBytes,
			ReadTimeout: DefaultReadTimeout,
			QueueTime:   DefaultQueueTime,
		},
		Stop: Stop{Delay: DefaultStopDelay, Timeout: DefaultStopTimeout},
	}
}

func check(doc *strict.Document, se *Settings) {
	checkName(doc, "$.host.name", se.Host.Name)
	checkName(doc, "$.host.zone", se.Host.Zone)
	checkName(doc, "$.host.region", se.Host.Region)
	checkAddress(doc, "$.host.httpAddress", se.Host.HTTPAddress)
	checkAddress(doc, "$.host.peerAddress", se.Host.PeerAddress)
	if se.Host.HTTPAddress != "" && se.Host.HTTPAddress == se.Host.PeerAddress {
		doc.Report("$.host.peerAddress", "peerAddress must differ from httpAddress")
	}
	for i, ad := range se.Seeds {
		checkAddress(doc, strict.Index("$.seeds", i), ad)
	}
	checkStore(doc, se.Store)
	checkLevel(doc, se.Log.Level)
	checkLimits(doc, se.Limits)
	if least := bodyMemoryMiB(se.Limits); doc.Has("$.memoryMegabytes") && se.MemoryMiB != 0 && (se.MemoryMiB < least || se.MemoryMiB > maxMemoryMiB) {
		doc.Report("$.memoryMegabytes", "memoryMegabytes must be 0, or between %d, which is %d times bodyBytes, and %d", least, memoryPerBody, maxMemoryMiB)
	}
	checkDuration(doc, "$.stop.delay", se.Stop.Delay, 0)
	checkDuration(doc, "$.stop.bound", se.Stop.Timeout, 1)
}

func checkLevel(doc *strict.Document, level string) {
	switch level {
	case "debug", "info", "warn", "error":
	default:
		doc.Report("$.log.level", "level %q must be one of debug, info, warn, error", level)
	}
}

func checkStore(doc *strict.Document, st Store) {
	if len(st.Addresses) == 0 {
		doc.Report("$.store.addresses", "at least one address of the store is required")
	}
	for i, ad := range st.Addresses {
		checkAddress(doc, strict.Index("$.store.addresses", i), ad)
	}
	checkDuration(doc, "$.store.timeout", st.Timeout, 1)
}

func checkLimits(doc *strict.Document, li Limits) {
	checkLimit(doc, "$.limits.requests", int64(li.Requests), maxRequests)
	if li.Connections < 0 || li.Connections > maxConnections {
		doc.Report("$.limits.connections", "connections must be between 0 and %d", maxConnections)
	}
	checkLimit(doc, "$.limits.headerBytes", int64(li.HeaderBytes), maxHeaderBytes)
	checkLimit(doc, "$.limits.bodyBytes", li.BodyBytes, maxBodyBytes)
	checkDuration(doc, "$.limits.readTimeout", li.ReadTimeout, 1)
	checkDuration(doc, "$.limits.queueTime", li.QueueTime, 1)
}

func checkName(doc *strict.Document, path, name string) {
	switch {
	case !doc.Has(path):
		doc.Report(path, "%q is missing", fieldName(path))
	case !spec.ValidName(name):
		doc.Report(path, "%s %q must consist of 1 to 63 lower-case letters, digits and hyphens, and not begin or end with a hyphen", fieldName(path), name)
	}
}

func checkAddress(doc *strict.Document, path, address string) {
	if !doc.Has(path) {
		doc.Report(path, "%q is missing", fieldName(path))
		return
	}
	if err := CheckAddress(address); err != nil {
		doc.Report(path, "%v", err)
	}
}

func checkLimit(doc *strict.Document, path string, value, most int64) {
	if value < 1 || value > most {
		doc.Report(path, "%s must be between 1 and %d", fieldName(path), most)
	}
}

// checkDuration reports a duration that is longer than maxDuration or shorter
// than least, which is 0, or 1 if the duration must be positive.
func checkDuration(doc *strict.Document, path string, value, least time.Duration) {
	switch {
	case value > maxDuration:
		doc.Report(path, "%s must be at most %v", fieldName(path), maxDuration)
	case value < least && least > 0:
		doc.Report(path, "%s must be positive", fieldName(path))
	case value < least:
		doc.Report(path, "%s must not be negative", fieldName(path))
	}
}

// CheckAddress returns an error if an address does not have the form IP:port or
// its port is zero.
func CheckAddress(address string) error {
	ap, err := netip.ParseAddrPort(address)
	if err != nil {
		return fmt.Errorf("address %q must be IP:port, such as 10.1.0.4:7080", address)
	}
	if ap.Port() == 0 {
		return fmt.Errorf("address %q must have a non-zero port", address)
	}
	return nil
}

// fieldName returns the last key of a YAML path.
func fieldName(path string) string { return path[strings.LastIndex(path, ".")+1:] }
