// Package clock reads a clock that keeps running while the machine is suspended.
// Go's monotonic clock does not run during a suspension, and the wall clock may
// be set forwards or backwards.
package clock

import "time"

var started = time.Now()

// monotonic returns the time since the process started by Go's monotonic clock.
func monotonic() time.Time { return time.Unix(0, 0).Add(time.Since(started)) }
