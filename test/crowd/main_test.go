//go:build linux

package crowd_test

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
	_ "github.com/cicadawharf/cicadawharf/internal/member"
	_ "github.com/cicadawharf/cicadawharf/platform"
)

const (
	mainPackage = "../../cmd/cicadawharf"
	mainFile    = mainPackage + "/main.go"
	domainFile  = mainPackage + "/domain.go"
)

// program is the path of the program under test.
var program string

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
	for _, file := range []string{mainFile, domainFile} {
		if _, err := os.ReadFile(file); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 1
		}
	}
	program = filepath.Join(dir, "cicadawharf")
	out, err := exec.Command("go", "build", "-race=false", "-o", program, mainPackage).CombinedOutput()
	if err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}
