package procs_test

import "syscall"

// attributes has the system end a child whose parent was killed.
func attributes() *syscall.SysProcAttr { return &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} }
