package dial

import "syscall"

// optUserTimeout is TCP_USER_TIMEOUT of tcp(7), which syscall does not name.
const optUserTimeout = 18

// setUserTimeout bounds the time for which sent bytes may stay unacknowledged.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var err error
	ctlErr := raw.Control(func(fd uintptr) {
		err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, optUserTimeout, int(tcpUserTimeout.Milliseconds()))
	})
	if ctlErr != nil {
		return ctlErr
	}
	return err
}
