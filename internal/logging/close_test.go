package logging

import (
	"bytes"
	"sync"
	"testing"

	"github.com/matryer/is"
)

// TestLineAfterCloseEndsProcess: a line that is written after Close, for example by a timer that
// outlives the node, ended the process by a panic that nothing recovered.
func TestLineAfterCloseEndsProcess(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	logger := NewLossy(&out, "info", "n")
	logger.Event(NodeStopped).Send()
	is.NoErr(logger.Close())
	written := out.Len()
	logger.Event(NodeStarted).Send()
	is.NoErr(logger.Close())
	is.Equal(out.Len(), written)
	is.Equal(logger.DroppedLines(), uint64(1))
}

// TestLinesOfManyGoroutinesShareBuffers: a line's buffer was used again while it was still read.
// Seen only by the race detector.
func TestLinesOfManyGoroutinesShareBuffers(t *testing.T) {
	is := is.New(t)
	const writers, lines = 8, 500
	out := &blockingWriter{}
	logger := NewLossy(out, "info", "n")
	var group sync.WaitGroup
	for range writers {
		group.Go(func() {
			for range lines {
				logger.Event(NodeStarted).Str("a", "b").Send()
			}
		})
	}
	group.Wait()
	is.NoErr(logger.Close())
	is.Equal(bytes.Count(out.written.Bytes(), []byte("}\n")), writers*lines-int(logger.DroppedLines()))
}
