package dial

import "syscall"

// optUserTimeout is TCP_USER_TIMEOUT, see tcp(7). Package syscall does not define
// it.
const optUserTimeout = 18

// setUserTimeout limits how long transmitted data may remain unacknowledged
// before the kernel closes the connection.
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
