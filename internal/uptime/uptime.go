// Package uptime reads the boot-time clock of the host.
package uptime

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the host booted. Unlike the monotonic clock reading
// of time.Time, it includes time during which the host was suspended, so that
// information from before a suspension counts as old after it.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// All Linux kernels that Go supports have this clock.
		panic(fmt.Sprintf("boot-time clock: %v", err))
	}
	return time.Duration(ts.Nano())
}
