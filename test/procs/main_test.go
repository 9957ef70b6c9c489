// Package procs_test runs the project's binary as separate processes on loopback:
// simulators of the platform, entry hosts and the command line.
//
// The tests compare the responses to callers with the runs recorded by the
// simulators. They wait by polling with generous timeouts and assert no
// durations. Every process is killed by its process ID, and its log is printed
// when its test fails.
package procs_test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	// The binary is built from these packages; importing them invalidates cached
	// test results when they change.
	_ "github.com/cicadawharf/cicadawharf/internal/cmds"
	_ "github.com/cicadawharf/cicadawharf/internal/local"
)

const (
	mainPackage = "../../cmd/cicadawharf"
	mainFile    = mainPackage + "/main.go"
)

// binary is the path of the program under test.
var binary string

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

// buildAndRun builds the program once, runs the tests and returns the exit code.
func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "cicadawharf")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	// Reading a file makes its content part of the test cache key.
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
