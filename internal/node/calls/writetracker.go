package calls

import (
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"
)

// writeCheck decides whether a request may still be written to the target.
type writeCheck struct {
	// connected is called once the request has a connection, before its headers are encoded.
	connected func()
	// mayWrite is called immediately before the first byte is written. It may wait.
	mayWrite func() error
	// written is called after the first write.
	written func()
}

// States of a writeTracker.
const (
	// writeOpen means that no byte is written yet.
	writeOpen int32 = iota
	// writeBegun means that bytes are being written, or were.
	writeBegun
	// writeEnded means that no byte was written and none may be written any more.
	writeEnded
)

// writeTracker detects whether bytes of a request were written to its
// connection.
type writeTracker struct {
	conn   *targetConn
	before int64
	// sentBefore is set if bytes were written to a connection before conn.
	sentBefore bool
	// check is asked before the first byte; its functions may be nil. refused is set once it
	// has refused the request, and noted once bytes of it were written.
	check   writeCheck
	refused atomic.Bool
	noted   atomic.Bool
	state   atomic.Int32
	// kept says that the connection had carried other requests before, and was idle for so long
	// since that the target may have given it up.
	kept bool
	// write is the result of writing the request on conn; nil before.
	write atomic.Pointer[writeResult]
}

// writeResult is what became of writing a request.
type writeResult struct {
	done chan struct{}
	once sync.Once
	// err is set before done is closed.
	err error
}

// wroteWait bounds the wait for the writer of a request whose response has ended: it may not have
// noted yet that it is done.
const wroteWait = 100 * time.Millisecond

// wroteRequest reports whether the request was written whole.
func (w *writeTracker) wroteRequest() bool {
	var write *writeResult
	if w != nil {
		write = w.write.Load()
	}
	if write == nil {
		return true
	}
	timer := time.NewTimer(wroteWait)
	defer timer.Stop()
	select {
	case <-write.done:
		return write.err == nil
	case <-timer.C:
		return false
	}
}

func (w *writeTracker) noteWrote(info httptrace.WroteRequestInfo) {
	if write := w.write.Load(); write != nil {
		write.once.Do(func() { write.err = info.Err; close(write.done) })
	}
}

func (w *writeTracker) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{WroteRequest: w.noteWrote, GotConn: func(info httptrace.GotConnInfo) {
		if conn, ok := info.Conn.(*targetConn); ok {
			w.sentBefore = w.sentBefore || w.sent()
			w.state.CompareAndSwap(writeBegun, writeOpen)
			w.write.Store(&writeResult{done: make(chan struct{})})
			conn.take(w)
			w.conn, w.kept = conn, info.Reused && info.IdleTime >= recentUse
			w.before = conn.written.Load()
		}
		if w.check.connected != nil {
			w.check.connected()
		}
	}}
}

// beginWrite is called before each write. It fails if the request must not be written.
func (w *writeTracker) beginWrite() error {
	if w == nil || w.state.Load() == writeBegun {
		return nil
	}
	if w.check.mayWrite != nil {
		if err := w.check.mayWrite(); err != nil {
			w.refused.Store(true)
			return err
		}
	}
	if !w.state.CompareAndSwap(writeOpen, writeBegun) {
		return errWriteRefused.New("the call ended before it was written to the target")
	}
	return nil
}

// endWrite is called after each write, with the number of bytes written.
func (w *writeTracker) endWrite(n int) {
	if w == nil {
		return
	}
	if n == 0 && !w.counted() {
		w.state.CompareAndSwap(writeBegun, writeOpen)
	}
	if n > 0 && w.check.written != nil && w.noted.CompareAndSwap(false, true) {
		w.check.written()
	}
}

// end keeps a request of which no byte was written from being written later: the HTTP client
// may return before the goroutine that writes for it.
func (w *writeTracker) end() { w.state.CompareAndSwap(writeOpen, writeEnded) }

// sent reports whether bytes of the request were written, or are being written.
func (w *writeTracker) sent() bool { return w.state.Load() == writeBegun || w.counted() }

// counted reports whether bytes of the request are counted as written.
func (w *writeTracker) counted() bool {
	return w.sentBefore || w.conn != nil && w.conn.written.Load() > w.before
}

// lostKeptConnection reports whether the request was written to a kept connection, and no byte of a
// response came.
func (w *writeTracker) lostKeptConnection() bool {
	return w.kept && w.sent() && !w.refused.Load() && !w.conn.responded.Load()
}

// discard closes a connection on which bytes arrived that belong to no request. After a
// response without a body it is in the pool again, and may have another user.
func (w *writeTracker) discard() {
	if w.conn != nil {
		w.conn.discard(w)
	}
}
