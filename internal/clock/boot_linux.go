package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootTime returns the time since the machine booted (CLOCK_BOOTTIME), including
// suspensions. Only the differences between its values are meaningful.
func BootTime() time.Time {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return monotonic() // a kernel without CLOCK_BOOTTIME
	}
	return time.Unix(now.Unix())
}
