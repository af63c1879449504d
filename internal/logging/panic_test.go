package logging

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/matryer/is"
)

// panicDeep panics below calls with long names, so that the whole stack exceeds the
// bound of the event.
func panicDeep(depth int) {
	if depth == 0 {
		panic("on purpose")
	}
	panicDeep(depth - 1)
}

// TestPanicsAreBounded recovers many panics at once: all are counted, one is logged,
// with a bounded stack.
func TestPanicsAreBounded(t *testing.T) {
	is := is.New(t)
	const panics = 100
	var out bytes.Buffer
	logger := New(&out, "info", "n")
	for range panics {
		func() {
			defer func() { logger.Panicked("a place", recover()) }()
			panicDeep(80)
		}()
	}
	is.Equal(logger.Panics(), uint64(panics))
	lines := bytes.Split(bytes.TrimSpace(out.Bytes()), []byte("\n"))
	is.True(len(lines) < panics/2)
	var line struct {
		Event               int
		Place, Panic, Stack string
	}
	is.NoErr(json.Unmarshal(lines[0], &line))
	is.Equal(line.Event, PanicRecovered.Code)
	is.Equal(line.Place, "a place")
	is.Equal(line.Panic, "on purpose")
	is.True(len(line.Stack) > 0 && len(line.Stack) <= maxStackBytes)
}
