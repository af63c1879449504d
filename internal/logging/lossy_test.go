package logging

import (
	"bytes"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// stalledReader takes nothing until it is let go.
type stalledReader struct {
	mu    sync.Mutex
	taken bytes.Buffer
}

func (r *stalledReader) Write(data []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.taken.Write(data)
}

// TestStalledReaderCostsLines holds that a reader who takes nothing costs lines
// and not time, and that what was left out is counted.
func TestStalledReaderCostsLines(t *testing.T) {
	is := is.New(t)
	const lines = 3 * pendingLines
	reader := &stalledReader{}
	reader.mu.Lock()
	logger := NewLossy(reader, "info", "n")
	begun := time.Now()
	for range lines {
		logger.Event(NodeStarted).Str("a", "b").Send()
	}
	is.True(time.Since(begun) < 5*time.Second)
	leftOut := logger.DroppedLines()
	is.True(leftOut >= lines-pendingLines-1)
	reader.mu.Unlock()
	is.NoErr(logger.Close())
	is.Equal(bytes.Count(reader.taken.Bytes(), []byte("\n")), lines-int(leftOut))
	is.Equal(bytes.Count(reader.taken.Bytes(), []byte(`"event":100`)), lines-int(leftOut)) // each whole
}
