//go:build !linux

package procs_test

import (
	"syscall"
	"time"
)

func childAttributes() *syscall.SysProcAttr { return nil }

// checkThreadsStopped gives the threads of a process the time to stop, where they can't
// be looked at.
func checkThreadsStopped(int) error {
	time.Sleep(stopTime)
	return nil
}

const stopTime = 200 * time.Millisecond
