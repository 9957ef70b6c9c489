// Package uptime tells how long the host has been up.
package uptime

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the host was started. Unlike the monotonic reading
// of time.Time it includes the time for which the host was suspended, so that
// what was true before a suspension is known to be old after it.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The clock exists on every kernel that Go supports.
		panic(fmt.Sprintf("boot-time clock: %v", err))
	}
	return time.Duration(ts.Nano())
}
