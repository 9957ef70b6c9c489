//go:build linux

package crowd_test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/fakes/ports"
)

// process is a child process.
type process struct {
	name string
	cmd  *exec.Cmd
	log  string        // file
	done chan struct{} // closed once it has exited
	fds  atomic.Int64  // largest number of open file descriptors seen
}

const (
	waitTimeout    = 60 * time.Second // for every wait
	pollInterval   = 50 * time.Millisecond
	samplePeriod   = 20 * time.Millisecond
	mebibyte       = 1 << 20  // bytes
	kibibyte       = 1 << 10  // bytes
	logTail        = 4 << 10  // bytes of a log that are printed
	maxDescriptors = 4100     // open at a time, by the pages for a machine
	peakMemory     = "VmHWM:" // field of /proc/PID/status
	usedMemory     = "VmRSS:" // field of /proc/PID/status
)

// freeAddress returns a loopback address on which nothing is listening.
func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := ports.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// writeFile writes a file in a directory and returns its path.
func writeFile(t *testing.T, dir, name, content string) string {
	t.Helper()
	file := filepath.Join(dir, name)
	if err := os.WriteFile(file, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

// spawn starts the program. It is killed when the test ends, and the end of its
// log is printed if the test has failed.
func spawn(t *testing.T, dir, name string, args ...string) *process {
	t.Helper()
	pr := &process{name: name, log: filepath.Join(dir, name+".log"), done: make(chan struct{})}
	file, err := os.Create(pr.log)
	if err != nil {
		t.Fatal(err)
	}
	pr.cmd = exec.Command(program, args...)
	pr.cmd.Stdout, pr.cmd.Stderr = file, file
	pr.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := pr.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = pr.cmd.Wait()
		_ = file.Close()
		close(pr.done)
	}()
	go pr.sample()
	t.Cleanup(func() {
		_ = pr.cmd.Process.Kill()
		<-pr.done
		if content, err := os.ReadFile(pr.log); t.Failed() && err == nil {
			t.Logf("end of the log of %s:\n%s", name, content[max(0, len(content)-logTail):])
		}
	})
	return pr
}

// lives reports whether the process has not exited.
func (pr *process) lives() bool {
	select {
	case <-pr.done:
		return false
	default:
		return true
	}
}

// sample records the number of open file descriptors until the process exits.
func (pr *process) sample() {
	for pr.lives() {
		if n := int64(pr.descriptors()); n > pr.fds.Load() {
			pr.fds.Store(n)
		}
		time.Sleep(samplePeriod)
	}
}

// descriptors returns the number of open file descriptors, or zero if the process
// has exited.
func (pr *process) descriptors() int {
	dir, err := os.Open(fmt.Sprintf("/proc/%d/fd", pr.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	defer dir.Close()
	names, _ := dir.Readdirnames(-1)
	return len(names)
}

// memory returns a field of the status of the process, in bytes, or zero if it
// has exited.
func (pr *process) memory(field string) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pr.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if words := strings.Fields(line); len(words) > 1 && words[0] == field {
			n, _ := strconv.ParseInt(words[1], 10, 64)
			return n * kibibyte
		}
	}
	return 0
}

// logUse logs what the process has used so far, and the memory in bytes at rest,
// under a mild load, as configured and after a crowd has gone, zero if unknown.
func (pr *process) logUse(t *testing.T, rest, calm, limit, after int64) {
	t.Helper()
	t.Logf("%s, MiB: %d at rest, %d under a mild load, peak %d of %d, %d after the crowd; descriptors: at most %d, %d now",
		pr.name, rest/mebibyte, calm/mebibyte, pr.memory(peakMemory)/mebibyte, limit/mebibyte, after/mebibyte, pr.fds.Load(), pr.descriptors())
}

// eventually polls until fn returns no error, and fails the test after
// waitTimeout.
func eventually(t *testing.T, what string, fn func() error) {
	t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for {
		err := fn()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("%s: not within %v: %v", what, waitTimeout, err)
		}
		time.Sleep(pollInterval)
	}
}
