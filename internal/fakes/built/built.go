// Package built builds the program for tests that run it as processes.
package built

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
)

// Tests runs the tests of a package. It is implemented by *testing.M.
type Tests interface{ Run() int }

// Main builds the program, whose package is at a path relative to that of the
// tests, runs the tests, and returns the exit code. Until then binary is the
// path of the program.
func Main(ts Tests, program string, binary *string) int {
	dir, err := os.MkdirTemp("", "cicadawharf")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	// Files that are looked at here are part of the key of cached results.
	if _, err := os.ReadFile(filepath.Join(program, "main.go")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	*binary = filepath.Join(dir, "cicadawharf")
	out, err := exec.Command("go", "build", "-race=false", "-o", *binary, program).CombinedOutput()
	if err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return ts.Run()
}
