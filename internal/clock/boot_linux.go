package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootTime returns the time since the machine started, suspensions included. Only
// differences of its values mean something.
func BootTime() time.Time {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return steady() // a kernel without that clock
	}
	return time.Unix(now.Unix())
}
