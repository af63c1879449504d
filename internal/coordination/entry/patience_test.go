package entry

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestPatienceTellsRepeats(t *testing.T) {
	is := is.New(t)
	patience := NewPatience()
	is.Equal(patience.Waited("sheets", 1200*time.Millisecond), time.Duration(0))
	is.Equal(patience.Waited("sheets", 1200*time.Millisecond), time.Duration(0))
	is.Equal(patience.Waited("sheets", 900*time.Millisecond), 300*time.Millisecond)
	is.Equal(patience.Waited("orders", 900*time.Millisecond), time.Duration(0))
	is.Equal(patience.Waited("sheets", 1500*time.Millisecond), time.Duration(0)) // callers of longer patience
	is.Equal(patience.Waited("sheets", 1200*time.Millisecond), 300*time.Millisecond)
}
