//go:build !linux

package procs_test

import (
	"syscall"
	"time"
)

func childAttributes() *syscall.SysProcAttr { return nil }

// checkThreadsStopped gives the threads of a process time to stop, where their
// state can't be read.
func checkThreadsStopped(int) error {
	time.Sleep(stopTime)
	return nil
}

const stopTime = 200 * time.Millisecond
