// Package callerconn serves callers' connections. It limits how long they wait for a
// request, keeps them open for callers that have closed only their sending side, ends them
// at a shutdown, and records how they end.
//
// Only the goroutine that reads a connection gives it up for lack of a request. A close
// from elsewhere, such as a timer's, could cross a request that has just been read: the
// request would be served, and its response lost.
package callerconn

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"jasminegate/internal/transport/reservation"
)

// Conn is a caller's connection. The HTTP server that reads it reports its state by the
// Tracker's hooks.
type Conn struct {
	net.Conn
	tracker    *Tracker
	acceptedAt time.Time

	mu sync.Mutex
	// waiting is set while the server waits for a request, until its headers are complete.
	waiting bool
	// hadRequest is set once the connection has carried a request.
	hadRequest bool
	// waitingSince is when the connection was accepted or became idle, and firstByteAt when
	// the first byte of the awaited request was read; zero if none was.
	waitingSince, firstByteAt time.Time
	// lateRead is set once bytes were looked for after the deadline of the present wait. Only
	// the reader uses it while waiting is set.
	lateRead bool
	// waited is how long the connection waited for the present request, whose headers were complete
	// at activeSince.
	waited      time.Duration
	activeSince time.Time
	// written counts the bytes written since the present request's headers were complete.
	written int64
	// requestRead is closed once the present request was read to its end; nil while the
	// server waits for a request.
	requestRead chan struct{}
	// aborted is set while the server ends a read by a deadline in the past, and closed once
	// the connection is closed.
	aborted, closed bool
	// inputClosed is set once the caller's end of input was read while a request was served, at
	// inputClosedAt; onInputClosed is called then. held is closed to end the read that found it.
	inputClosed   bool
	inputClosedAt time.Time
	onInputClosed func()
	held          chan struct{}
	// cause is the first cause of the connection's end that became known; empty before.
	cause Cause
	input input
	// reservation is what the connection and its present request hold; nil without an account.
	reservation *reservation.Reservation
	// sending is set while the response is written. givesWay is set once the connection has to
	// end for lack of room.
	sending, givesWay bool
	// lingers is set if the caller may still send after the last response.
	lingers bool
	// resets is set if the connection is to be reset when it is closed.
	resets bool

	// startMu serialises the start of requests before their turn. It is taken before mu.
	startMu sync.Mutex
}

func newConn(conn net.Conn, tracker *Tracker) *Conn {
	now := time.Now()
	return &Conn{Conn: conn, tracker: tracker, acceptedAt: now, waiting: true, waitingSince: now}
}

// Read implements net.Conn.
func (c *Conn) Read(data []byte) (int, error) {
	c.mu.Lock()
	waiting := c.waiting
	c.mu.Unlock()
	if waiting {
		return c.readRequest(data)
	}
	return c.readDuringRequest(data)
}

// readRequest reads while the server waits for a request. At the limit it takes what has
// arrived before it gives up the connection.
func (c *Conn) readRequest(data []byte) (int, error) {
	if n := c.takeHead(data); n > 0 {
		if refusal := c.reserveHead(data[:n]); refusal != "" {
			return 0, c.refuse(refusal)
		}
		return n, nil
	}
	for {
		if err := c.setWaitDeadline(); err != nil {
			return 0, err
		}
		n, err := c.Conn.Read(data)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			if c.untilWaitDeadline() > 0 {
				continue // the limits were raised meanwhile
			}
			if n = c.readArrived(data); n > 0 {
				err = nil
			}
		}
		if n > 0 {
			n = c.splitHead(data[:n])
		}
		if refusal := c.refusalOf(data[:n], err); refusal != "" {
			c.noteCause(NodeClosed)
			return 0, c.refuse(refusal)
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			c.noteCause(RequestTimeout)
		}
		c.noteReadError(err)
		return n, err
	}
}

// refusalOf returns the refusal of the awaited request after a read, or an empty one.
func (c *Conn) refusalOf(head []byte, err error) Refusal {
	if refusal := c.reserveHead(head); refusal != "" {
		return refusal
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if errors.Is(err, os.ErrDeadlineExceeded) && c.givesWay && !c.firstByteAt.IsZero() {
		return NoRoom
	}
	return ""
}

// readArrived reads without waiting, once in each wait. A read whose deadline has expired
// returns nothing, even if bytes arrived before, as they do while the process has no
// processor time.
func (c *Conn) readArrived(data []byte) int {
	if c.lateRead {
		return 0
	}
	c.lateRead = true
	conn, ok := c.Conn.(syscall.Conn)
	if !ok || c.Conn.SetReadDeadline(time.Time{}) != nil {
		return 0
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0
	}
	n := 0
	err = raw.Read(func(fd uintptr) bool {
		for {
			var readErr error
			n, readErr = syscall.Read(int(fd), data)
			if readErr != syscall.EINTR {
				return true
			}
		}
	})
	if err != nil {
		return 0
	}
	return max(n, 0)
}

// setWaitDeadline limits the next read while the server waits for a request.
func (c *Conn) setWaitDeadline() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.Conn.SetReadDeadline(c.waitDeadline())
}

func (c *Conn) untilWaitDeadline() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Until(c.waitDeadline())
}

// waitDeadline returns when the wait for a request, or for the rest of its headers, ends.
// An idle connection is kept for the header timeout beyond the idle timeout, so that it is
// still open for a request that a caller sends at the end of its idle time. The caller
// holds mu.
func (c *Conn) waitDeadline() time.Time {
	if c.givesWay {
		return aLongTimeAgo
	}
	limits := c.tracker.limits()
	since, wait := c.waitingSince, limits.Header
	switch {
	case !c.firstByteAt.IsZero():
		since = c.firstByteAt
	case c.hadRequest:
		wait += limits.Idle
	}
	deadline := since.Add(wait)
	if drained, ok := c.tracker.drainDeadline(since); ok && drained.Before(deadline) {
		return drained
	}
	return deadline
}

// takeHead gives the server bytes of a request that were read while it served another one.
func (c *Conn) takeHead(data []byte) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.input.pending) == 0 {
		return 0
	}
	c.noteFirstByte()
	return c.input.takeHead(data)
}

// splitHead keeps what follows the awaited request's head, and returns the size of the rest.
func (c *Conn) splitHead(data []byte) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.noteFirstByte()
	return c.input.splitHead(data)
}

// noteFirstByte records that a request has begun to arrive. The caller holds mu.
func (c *Conn) noteFirstByte() {
	if c.firstByteAt.IsZero() {
		c.firstByteAt = time.Now()
	}
}

// endWait makes a read that waits for a request compute its deadline again.
func (c *Conn) endWait() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waiting {
		_ = c.Conn.SetReadDeadline(time.Now())
	}
}

const (
	// disconnectReadBytes is the size of the reads by which net/http detects that a caller
	// disconnects while its request is served. A read of a body rarely has it.
	disconnectReadBytes = 1
	// requestReadWait is how long such a read waits for RequestRead, which may be called
	// only after it began. It bounds the delay of a read of a body that is taken for one.
	requestReadWait = 100 * time.Millisecond
)

// readDuringRequest reads while a request is served: the rest of its body, or, after that,
// a read by which the server detects a disconnect.
func (c *Conn) readDuringRequest(data []byte) (int, error) {
	disconnectRead := len(data) == disconnectReadBytes
	if c.pendingBytes() > 0 {
		if disconnectRead && c.requestGiven() {
			return c.readAhead()
		}
		return c.takeBody(data), nil
	}
	data = c.bodyRead(data)
	for {
		n, err := c.Conn.Read(data)
		if n > 0 && disconnectRead {
			if c.requestGiven() {
				c.keep(data[:n])
				return c.readAhead()
			}
			c.notePipelined()
		}
		if err == nil || n > 0 {
			c.countBody(n)
			return n, err
		}
		ended, expired := errors.Is(err, io.EOF), errors.Is(err, os.ErrDeadlineExceeded)
		if (ended || expired) && disconnectRead && (c.requestGiven() || c.awaitRequestRead()) {
			if ended {
				return c.hold(true)
			}
			if c.clearDeadline() {
				continue
			}
		}
		c.noteReadError(err)
		return n, err
	}
}

// notePipelined records that a byte arrived that is taken for one behind the present request. If it
// is one of a body without a length, the connection at most lingers when it is closed.
func (c *Conn) notePipelined() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.input.pipelined = true
}

// requestGiven reports whether the server is known to have got the whole present request.
func (c *Conn) requestGiven() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.input.unframed && c.input.bodyGiven == c.input.bodyLength
}

// takeBody gives the server pending bytes while a request is served.
func (c *Conn) takeBody(data []byte) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.input.take(c.input.bodyRead(data))
	c.input.bodyGiven += int64(n)
	return n
}

func (c *Conn) bodyRead(data []byte) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.input.bodyRead(data)
}

func (c *Conn) countBody(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.input.bodyGiven += int64(n)
}

// awaitRequestRead reports whether the present request was read to its end, so that a read
// cannot be one of its body.
func (c *Conn) awaitRequestRead() bool {
	c.mu.Lock()
	read, aborted := c.requestRead, c.aborted
	c.mu.Unlock()
	if aborted {
		return true // the server ends a read of its own
	}
	timer := time.NewTimer(requestReadWait)
	defer timer.Stop()
	select {
	case <-read:
		return true
	case <-timer.C:
		return false
	}
}

// RequestRead is to be called when the present request was read to its end. From then on a
// half-close and the read deadline of its body do not end it.
func (c *Conn) RequestRead() {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeRequestRead()
}

// closeRequestRead closes requestRead. The caller holds mu.
func (c *Conn) closeRequestRead() {
	select {
	case <-c.requestRead:
	default:
		if c.requestRead != nil {
			close(c.requestRead)
		}
	}
}

// clearDeadline clears a deadline that was set for the body. It returns false if the
// server has set one to end the read.
func (c *Conn) clearDeadline() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.aborted {
		return false
	}
	return c.Conn.SetReadDeadline(time.Time{}) == nil
}

// hold waits until the server has served the request or the connection is closed. With
// inputClosed it first reports the end of the caller's input. An error would make the server
// end the request's context, although the caller may have closed only its sending side and
// wait for the response.
func (c *Conn) hold(inputClosed bool) (int, error) {
	c.mu.Lock()
	if c.aborted || c.closed {
		defer c.mu.Unlock()
		return 0, c.heldError()
	}
	held := make(chan struct{})
	c.held = held
	notify := c.noteInputClosed(inputClosed)
	c.mu.Unlock()
	c.tracker.logger.Contained("end of a caller's input", notify, nil)()
	<-held
	c.mu.Lock()
	defer c.mu.Unlock()
	return 0, c.heldError()
}

// noteInputClosed records the end of the caller's input if closed is set, and returns a
// function that reports it. The caller holds mu.
func (c *Conn) noteInputClosed(closed bool) (notify func()) {
	if !closed {
		return func() {}
	}
	c.inputClosed, c.inputClosedAt = true, time.Now()
	present, ahead := c.onInputClosed, slices.Clone(c.input.ahead)
	return func() {
		if present != nil {
			present()
		}
		for _, request := range ahead {
			request.started.InputClosed()
		}
	}
}

// heldError returns the error of a read that found the end of the input, once it has ended.
// The caller holds mu.
func (c *Conn) heldError() error {
	if c.closed {
		return net.ErrClosed
	}
	return os.ErrDeadlineExceeded
}

// OnInputClosed sets the function that is called once if the caller closes its sending
// side, or the whole connection, while the present request is served. It is called at once
// if that has happened already. Nil removes it.
func (c *Conn) OnInputClosed(notify func()) {
	c.mu.Lock()
	c.onInputClosed = notify
	closed := c.inputClosed
	c.mu.Unlock()
	if closed && notify != nil {
		notify()
	}
}

// SetReadDeadline implements net.Conn. While the server waits for a request, Read sets the
// deadlines, and this call changes nothing.
func (c *Conn) SetReadDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waiting {
		return nil
	}
	c.aborted = !deadline.IsZero() && deadline.Before(c.acceptedAt)
	if c.aborted {
		c.releaseHeld()
		c.closeRequestRead()
	}
	if c.givesWay && !c.sending {
		deadline = aLongTimeAgo
	}
	return c.Conn.SetReadDeadline(deadline)
}

// SetWriteDeadline implements net.Conn. A connection that gives way while it sends keeps the deadline
// that ends it.
func (c *Conn) SetWriteDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.givesWay && c.sending {
		deadline = aLongTimeAgo
	}
	return c.Conn.SetWriteDeadline(deadline)
}

// aLongTimeAgo is a deadline that has passed.
var aLongTimeAgo = time.Unix(1, 0)

// releaseHeld ends the read that found the end of the input. The caller holds mu.
func (c *Conn) releaseHeld() {
	if c.held != nil {
		close(c.held)
		c.held = nil
	}
}

// Write implements net.Conn. It counts the bytes written.
func (c *Conn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	if n > 0 {
		c.noteProgress()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.written += int64(n)
	return n, err
}

// CloseWrite closes the sending side, as net/http does before it closes a connection
// whose request it refused. It fails if the connection has no such side.
func (c *Conn) CloseWrite() error {
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return errors.ErrUnsupported
}

// Close implements net.Conn. Closing a connection with unread bytes resets it, and the caller
// may lose a response that it has not read yet. A connection whose caller sent requests behind
// the last one that is answered, or was refused before its request was read, is therefore closed
// once the caller has closed it, or after lingerTimeout.
func (c *Conn) Close() error {
	c.noteCause(NodeClosed)
	c.mu.Lock()
	refused := !c.closed && c.lingers
	if conn, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok && c.resets {
		_ = conn.SetLinger(0)
	}
	linger := !c.closed && c.input.pipelined && c.input.closeAnnounced
	c.closed = true
	c.releaseHeld()
	c.mu.Unlock()
	c.cancelAhead()
	c.reservation.ShrinkTo(connectionBytes)
	if refused {
		c.closeRefused()
		return nil
	}
	if linger && c.CloseWrite() == nil {
		go c.linger()
		return nil
	}
	c.tracker.remove(c)
	return c.Conn.Close()
}

// ResetOnClose makes the end of the connection a reset. The end of a response without a length is
// that of its connection, and a response that was broken off must not look whole.
func (c *Conn) ResetOnClose() {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.resets = true
}

// lingerTimeout bounds the wait for a caller to read its last response.
const lingerTimeout = 500 * time.Millisecond

// linger discards what the caller still sends, and closes the connection.
func (c *Conn) linger() {
	defer c.tracker.remove(c)
	_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.Copy(io.Discard, c.Conn)
	_ = c.Conn.Close()
}

func (c *Conn) onStateChange(state http.ConnState) {
	c.changeState(state)
	if state == http.StateIdle {
		c.releaseRequest()
	}
}

func (c *Conn) changeState(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateActive:
		c.waited, c.written, c.activeSince = time.Since(c.waitingSince), 0, time.Now()
		c.waiting, c.hadRequest = false, true
		c.requestRead = make(chan struct{})
		c.firstByteAt = time.Time{}
		c.input.beginRequest()
		_ = c.Conn.SetReadDeadline(time.Time{})
	case http.StateIdle:
		c.judgeAges()
		c.waiting, c.waitingSince, c.lateRead = true, time.Now(), false
		c.requestRead = nil
		c.input.endRequest()
	}
}
