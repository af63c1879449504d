//go:build !linux

package clock

import "time"

// Boot returns the steady clock, which may not count suspensions here.
func Boot() time.Time { return steady() }
