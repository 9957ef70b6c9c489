// Package procs_test runs the project's own binary as separate processes on
// loopback: stand-ins of the platform, entry hosts and the command line.
//
// The tests compare what callers were told with what the stand-ins ran. They
// wait by polling with generous bounds and assert no durations. Every process
// is ended by its own identifier, and its log is shown when its test fails.
package procs_test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	// The binary is built of these, so a change of them makes results stale.
	_ "github.com/cicadawharf/cicadawharf/internal/cmds"
	_ "github.com/cicadawharf/cicadawharf/internal/local"
)

const (
	mainPackage = "../../cmd/cicadawharf"
	mainFile    = mainPackage + "/main.go"
)

// binary is the path of the program under test.
var binary string

func TestMain(m *testing.M) { os.Exit(build(m)) }

// build builds the program once and runs the tests.
func build(m *testing.M) int {
	dir, err := os.MkdirTemp("", "cicadawharf")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	// Files that are looked at here are part of the key of cached results.
	if _, err := os.ReadFile(mainFile); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	binary = filepath.Join(dir, "cicadawharf")
	out, err := exec.Command("go", "build", "-race=false", "-o", binary, mainPackage).CombinedOutput()
	if err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}
