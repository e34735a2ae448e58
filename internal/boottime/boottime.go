// Package boottime reads the clock that counts the time since the host booted, including
// the time for which it was suspended, which Go's monotonic clock leaves out.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the host booted.
func Now() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// The call fails only for an unknown clock; Linux has CLOCK_BOOTTIME.
		panic(err)
	}
	return time.Duration(now.Nano())
}
