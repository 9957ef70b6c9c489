package procs_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
)

// childAttributes makes the kernel kill a child when its parent dies.
func childAttributes() *syscall.SysProcAttr { return &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} }

// checkThreadsStopped returns an error unless every thread of a process is
// stopped.
func checkThreadsStopped(pid int) error {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
	if err != nil {
		return err
	}
	if len(files) == 0 {
		return fmt.Errorf("process %d has no threads", pid)
	}
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		// The state follows the command name, which is in parentheses.
		_, after, _ := strings.Cut(string(data), ") ")
		if !strings.HasPrefix(after, "T") {
			return fmt.Errorf("thread %s of the process is in state %.1s, not stopped", filepath.Base(filepath.Dir(file)), after)
		}
	}
	return nil
}
