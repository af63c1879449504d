package clock

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestBootAdvances checks that the clock advances as fast as Go's monotonic clock
// and that its values carry no monotonic reading: time.Time.Sub would use that
// reading, which excludes suspensions, for differences.
func TestBootAdvances(t *testing.T) {
	is := is.New(t)
	const pause = 20 * time.Millisecond
	before, start := Boot(), time.Now()
	time.Sleep(pause)
	elapsed, monotonicElapsed := Boot().Sub(before), time.Since(start)
	is.True(elapsed >= pause)
	is.True(elapsed <= monotonicElapsed+pause)
	is.Equal(before, before.Round(0))
}
