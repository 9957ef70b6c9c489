// Package procs_test runs the project's own binary as separate processes on
// loopback: stand-ins of the platform, entry hosts and the command line.
//
// The tests compare what callers were told with what the stand-ins ran. They
// wait by polling with generous bounds and assert no durations. Every process
// is ended by its own identifier, and its log is shown when its test fails.
package procs_test

import (
	"os"
	"testing"

	"github.com/cicadawharf/cicadawharf/internal/fakes/built"

	// The binary is built of these, so a change of them makes results stale.
	_ "github.com/cicadawharf/cicadawharf/internal/cmds"
	_ "github.com/cicadawharf/cicadawharf/internal/local"
)

// binary is the path of the program under test.
var binary string

func TestMain(m *testing.M) { os.Exit(built.Main(m, "../../cmd/cicadawharf", &binary)) }
