package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot returns the time since the machine booted (CLOCK_BOOTTIME), including
// suspensions. Only differences between its values are meaningful.
func Boot() time.Time {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return monotonic() // a kernel without CLOCK_BOOTTIME
	}
	return time.Unix(now.Unix())
}
