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
	DefaultStopBound    = 60 * time.Second
)

const (
	maxRequests    = 1 << 20
	maxHeaderBytes = 1 << 20
	maxBodyBytes   = 1 << 30
	maxDuration    = time.Hour
)

// Load reads and validates a settings file. An invalid content is reported as
// spec.Faults.
func Load(file string) (Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, merry.Prepend(err, "settings")
	}
	return Parse(file, data)
}

// Parse parses and validates the content of a settings file. The error is of
// type spec.Faults.
func Parse(file string, data []byte) (Settings, error) {
	se := defaults()
	tree := strict.Decode(file, data, &se)
	if tree.Err() == nil {
		check(tree, &se)
	}
	if err := tree.Err(); err != nil {
		return Settings{}, err
	}
	return se, nil
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
		Stop: Stop{Delay: DefaultStopDelay, Bound: DefaultStopBound},
	}
}

func check(tree *strict.Document, se *Settings) {
	checkName(tree, "$.host.name", se.Host.Name)
	checkName(tree, "$.host.zone", se.Host.Zone)
	checkName(tree, "$.host.region", se.Host.Region)
	checkAddress(tree, "$.host.httpAddress", se.Host.HTTPAddress)
	checkAddress(tree, "$.host.peerAddress", se.Host.PeerAddress)
	if se.Host.HTTPAddress != "" && se.Host.HTTPAddress == se.Host.PeerAddress {
		tree.Report("$.host.peerAddress", "peerAddress must differ from httpAddress")
	}
	for i, ad := range se.Seeds {
		checkAddress(tree, strict.Index("$.seeds", i), ad)
	}
	checkStore(tree, se.Store)
	checkLevel(tree, se.Log.Level)
	checkLimits(tree, se.Limits)
	checkDuration(tree, "$.stop.delay", se.Stop.Delay, 0)
	checkDuration(tree, "$.stop.bound", se.Stop.Bound, 1)
}

func checkLevel(tree *strict.Document, level string) {
	switch level {
	case "debug", "info", "warn", "error":
	default:
		tree.Report("$.log.level", "level %q must be one of debug, info, warn, error", level)
	}
}

func checkStore(tree *strict.Document, st Store) {
	if len(st.Addresses) == 0 {
		tree.Report("$.store.addresses", "at least one address of the store is required")
	}
	for i, ad := range st.Addresses {
		checkAddress(tree, strict.Index("$.store.addresses", i), ad)
	}
	checkDuration(tree, "$.store.timeout", st.Timeout, 1)
}

func checkLimits(tree *strict.Document, li Limits) {
	checkLimit(tree, "$.limits.requests", int64(li.Requests), maxRequests)
	checkLimit(tree, "$.limits.headerBytes", int64(li.HeaderBytes), maxHeaderBytes)
	checkLimit(tree, "$.limits.bodyBytes", li.BodyBytes, maxBodyBytes)
	checkDuration(tree, "$.limits.readTimeout", li.ReadTimeout, 1)
	checkDuration(tree, "$.limits.queueTime", li.QueueTime, 1)
}

func checkName(tree *strict.Document, path, name string) {
	switch {
	case !tree.Has(path):
		tree.Report(path, "%q is missing", fieldName(path))
	case !spec.ValidName(name):
		tree.Report(path, "%s %q must consist of 1 to 63 lower-case letters, digits and hyphens, and not begin or end with a hyphen", fieldName(path), name)
	}
}

func checkAddress(tree *strict.Document, path, address string) {
	if !tree.Has(path) {
		tree.Report(path, "%q is missing", fieldName(path))
		return
	}
	if err := CheckAddress(address); err != nil {
		tree.Report(path, "%v", err)
	}
}

func checkLimit(tree *strict.Document, path string, value, most int64) {
	if value < 1 || value > most {
		tree.Report(path, "%s must be between 1 and %d", fieldName(path), most)
	}
}

func checkDuration(tree *strict.Document, path string, value, least time.Duration) {
	switch {
	case value > maxDuration:
		tree.Report(path, "%s must be at most %v", fieldName(path), maxDuration)
	case value < least && least > 0:
		tree.Report(path, "%s must be positive", fieldName(path))
	case value < least:
		tree.Report(path, "%s must not be negative", fieldName(path))
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

func fieldName(path string) string { return path[strings.LastIndex(path, ".")+1:] }
