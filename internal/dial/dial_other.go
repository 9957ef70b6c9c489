//go:build !linux

package dial

import "syscall"

// setUserTimeout does nothing where the option does not exist; keep-alive and
// write time-outs remain.
func setUserTimeout(_, _ string, _ syscall.RawConn) error { return nil }
