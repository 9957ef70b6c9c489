//go:build !linux

package dial

import "syscall"

// setUserTimeout does nothing on systems without the option, where only
// keep-alive and write timeouts apply.
func setUserTimeout(_, _ string, _ syscall.RawConn) error { return nil }
