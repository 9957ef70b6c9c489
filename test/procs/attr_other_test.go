//go:build !linux

package procs_test

import "syscall"

func attributes() *syscall.SysProcAttr { return nil }
