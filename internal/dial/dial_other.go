//go:build !linux

package dial

import "syscall"

// setUserTimeout does nothing, since TCP_USER_TIMEOUT is an option of Linux.
// Elsewhere, only keep-alive and write timeouts detect an unresponsive peer.
func setUserTimeout(_, _ string, _ syscall.RawConn) error { return nil }
