//go:build !linux

package clock

import "time"

// BootTime returns the steady clock, which may not count suspensions here.
func BootTime() time.Time { return steady() }
