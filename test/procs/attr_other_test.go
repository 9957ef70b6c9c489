//go:build !linux

package procs_test

import (
	"syscall"
	"time"
)

// childAttributes returns no attributes: children outlive a parent that is killed.
func childAttributes() *syscall.SysProcAttr { return nil }

// checkThreadsStopped gives the threads of a process time to stop, where their
// state can't be read.
func checkThreadsStopped(int) error {
	time.Sleep(stopTime)
	return nil
}

// stopTime is the time that threads get to stop.
const stopTime = 200 * time.Millisecond
