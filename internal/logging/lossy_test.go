package logging

import (
	"bytes"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// blockingWriter blocks writes while mu is locked, like a pipe whose reader has
// stalled.
type blockingWriter struct {
	mu      sync.Mutex
	written bytes.Buffer
}

func (w *blockingWriter) Write(data []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.written.Write(data)
}

// TestStalledReaderDropsLines guards against a stalled reader of the log that
// blocks the node: lines are dropped and counted instead, and the others are written
// complete.
func TestStalledReaderDropsLines(t *testing.T) {
	is := is.New(t)
	const lines = 3 * maxBufferedLines
	out := &blockingWriter{}
	out.mu.Lock()
	logger := NewLossy(out, "info", "n")
	start := time.Now()
	for range lines {
		logger.Event(NodeStarted).Str("a", "b").Send()
	}
	is.True(time.Since(start) < 5*time.Second)
	dropped := logger.DroppedLines()
	is.True(dropped >= lines-maxBufferedLines-1)
	out.mu.Unlock()
	is.NoErr(logger.Close())
	is.Equal(bytes.Count(out.written.Bytes(), []byte("\n")), lines-int(dropped))
	is.Equal(bytes.Count(out.written.Bytes(), []byte(`"event":100`)), lines-int(dropped)) // each line is complete
}
