package clock

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestBootTimeAdvances checks that the clock advances as fast as Go's monotonic clock
// and that its values carry no monotonic reading: time.Time.Sub would use that
// reading, which excludes suspensions, for differences.
func TestBootTimeAdvances(t *testing.T) {
	is := is.New(t)
	const pause = 20 * time.Millisecond
	before, start := BootTime(), time.Now()
	time.Sleep(pause)
	elapsed, monotonicElapsed := BootTime().Sub(before), time.Since(start)
	is.True(elapsed >= pause)
	is.True(elapsed <= monotonicElapsed+pause)
	is.Equal(before, before.Round(0))
}
