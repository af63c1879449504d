package clock

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestBootGoesOn holds that the clock advances with the steady one and bears no
// reading of it, which would be used for differences in its place.
func TestBootGoesOn(t *testing.T) {
	is := is.New(t)
	const pause = 20 * time.Millisecond
	before, begun := BootTime(), time.Now()
	time.Sleep(pause)
	passed, most := BootTime().Sub(before), time.Since(begun)
	is.True(passed >= pause)
	is.True(passed <= most+pause)
	is.Equal(before, before.Round(0))
}
