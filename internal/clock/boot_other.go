//go:build !linux

package clock

import "time"

// BootTime returns the time of Go's monotonic clock, which may exclude suspensions on
// this platform. Only differences between its values are meaningful.
func BootTime() time.Time { return monotonic() }
