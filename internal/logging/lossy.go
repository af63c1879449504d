package logging

import (
	"io"
	"slices"
	"sync"
	"sync/atomic"

	"jasminegate/internal/ring"
)

// maxBufferedLines is the number of lines that can be buffered for a slow reader of the
// log.
const maxBufferedLines = 2048

// lossyWriter writes lines to out in a goroutine. It never blocks: lines that arrive while the
// buffer is full, or after Close, are dropped and counted.
type lossyWriter struct {
	out     io.Writer
	lines   *ring.Ring[[]byte]
	dropped atomic.Uint64

	mu      sync.RWMutex
	closed  bool
	closing chan struct{}
	// ended is closed when the buffered lines are written; err is the last error until then.
	ended chan struct{}
	err   error
}

func newLossyWriter(out io.Writer) *lossyWriter {
	w := &lossyWriter{out: out, lines: ring.New[[]byte](maxBufferedLines), closing: make(chan struct{}), ended: make(chan struct{})}
	go w.run()
	return w
}

// Write takes over one line. It returns no error: there is no log to report it in.
func (w *lossyWriter) Write(line []byte) (int, error) {
	w.mu.RLock()
	defer w.mu.RUnlock()
	if w.closed || !w.lines.TryPush(slices.Clone(line)) {
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Close writes the buffered lines and returns the last error of writing.
func (w *lossyWriter) Close() error {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.closing)
	}
	w.mu.Unlock()
	<-w.ended
	return w.err
}

func (w *lossyWriter) run() {
	defer close(w.ended)
	for {
		select {
		case line := <-w.lines.Items():
			w.write(line)
		case <-w.closing:
			w.writeRest()
			return
		}
	}
}

// writeRest writes what is buffered. No line is added any more.
func (w *lossyWriter) writeRest() {
	for {
		select {
		case line := <-w.lines.Items():
			w.write(line)
		default:
			return
		}
	}
}

func (w *lossyWriter) write(line []byte) {
	if _, err := w.out.Write(line); err != nil {
		w.err = err
	}
}
