package procs_test

import (
	"bytes"
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/fakes/ports"
)

type (
	// process is a child process.
	process struct {
		name string
		cmd  *exec.Cmd
		log  string        // file
		done chan struct{} // closed once it has exited
		code int           // exit code, once done; -1 if killed by a signal
	}

	// commandResult is the result of running the command line.
	commandResult struct {
		code   int
		out    string
		errOut string
	}
)

const (
	waitTimeout  = 60 * time.Second // for every wait
	pollInterval = 50 * time.Millisecond
	logTail      = 24 << 10 // bytes of a log that are printed
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

// spawn starts the program. It is killed when the test ends, and its log is
// printed if the test has failed.
func spawn(t *testing.T, dir, name string, args ...string) *process {
	t.Helper()
	pr := &process{name: name, log: filepath.Join(dir, name+".log"), done: make(chan struct{})}
	file, err := os.Create(pr.log)
	if err != nil {
		t.Fatal(err)
	}
	pr.cmd = exec.Command(binary, args...)
	pr.cmd.Stdout, pr.cmd.Stderr = file, file
	pr.cmd.SysProcAttr = childAttributes()
	if err := pr.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = pr.cmd.Wait()
		_ = file.Close()
		pr.code = pr.cmd.ProcessState.ExitCode()
		close(pr.done)
	}()
	t.Cleanup(func() {
		pr.kill()
		if t.Failed() {
			t.Logf("log of %s (exit code %d):\n%s", name, pr.code, tail(pr.readLog()))
		}
	})
	return pr
}

// kill kills the process, even if it is suspended, and waits until it has exited.
func (pr *process) kill() {
	_ = pr.cmd.Process.Kill()
	<-pr.done
}

func (pr *process) signal(t *testing.T, sg syscall.Signal) {
	t.Helper()
	if err := pr.cmd.Process.Signal(sg); err != nil {
		t.Fatalf("signal to %s: %v", pr.name, err)
	}
}

// freeze suspends every thread of the process and waits until all have stopped.
// Without the wait, the process could still respond shortly after the signal.
func (pr *process) freeze(t *testing.T) {
	t.Helper()
	pr.signal(t, syscall.SIGSTOP)
	eventually(t, pr.name+" is suspended", func() error { return checkThreadsStopped(pr.cmd.Process.Pid) })
}

// stop terminates the process gracefully and returns its exit code.
func (pr *process) stop(t *testing.T) int {
	t.Helper()
	pr.signal(t, syscall.SIGTERM)
	select {
	case <-pr.done:
		return pr.code
	case <-time.After(waitTimeout):
		t.Fatalf("%s did not exit within %v", pr.name, waitTimeout)
		return -1
	}
}

// readLog returns the log of the process so far.
func (pr *process) readLog() []byte {
	content, err := os.ReadFile(pr.log)
	if err != nil {
		return []byte(err.Error())
	}
	return content
}

// logContains reports whether a single line of the log contains all of the parts.
func (pr *process) logContains(parts ...string) bool {
	for line := range bytes.Lines(pr.readLog()) {
		found := true
		for _, part := range parts {
			found = found && bytes.Contains(line, []byte(part))
		}
		if found {
			return true
		}
	}
	return false
}

// tail returns the end of a log, at most logTail bytes.
func tail(content []byte) []byte { return content[max(0, len(content)-logTail):] }

// command runs the program and waits until it exits.
func command(t *testing.T, args ...string) commandResult {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	var out, errOut bytes.Buffer
	cmd := exec.CommandContext(ctx, binary, args...)
	cmd.Stdout, cmd.Stderr = &out, &errOut
	cmd.SysProcAttr = childAttributes()
	if err := cmd.Run(); cmd.ProcessState == nil {
		t.Errorf("%v: %v", args, err)
		return commandResult{code: -1}
	}
	return commandResult{code: cmd.ProcessState.ExitCode(), out: out.String(), errOut: errOut.String()}
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
