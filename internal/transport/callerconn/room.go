package callerconn

import (
	"bytes"

	"github.com/joomcode/errorx"

	"jasminegate/internal/coordination/resources"
	"jasminegate/internal/transport/reservation"
)

const (
	// connectionBytes is what a connection takes without a request: goroutines, buffers, state.
	connectionBytes = 16 << 10
	// headByteCost and headLineCost are what each byte and each line of a head take: parsed,
	// and copied for the attempts of the request.
	headByteCost = 2
	headLineCost = 512
)

// Reservation returns what the connection and its present request hold. It is nil, which has room
// for everything, for a nil connection and without an account.
func (c *Conn) Reservation() *reservation.Reservation {
	if c == nil {
		return nil
	}
	return c.reservation
}

// BeginWork reports that the present request is about to be passed on. It returns false if the
// connection must give way: then the request must not be passed on.
func (c *Conn) BeginWork() bool {
	if c == nil {
		return true
	}
	return c.reservation.Enter(resources.Working)
}

// BeginResponse reports that the rest of the present request is the response to the caller.
func (c *Conn) BeginResponse() {
	if c == nil || !c.reservation.Enter(resources.Sending) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sending = true
}

// noteProgress records that a part of the response was written.
func (c *Conn) noteProgress() {
	c.mu.Lock()
	sending := c.sending
	c.mu.Unlock()
	if sending {
		c.reservation.Enter(resources.Sending)
	}
}

// giveWay ends the connection for lack of room: the goroutine that uses it finds its deadline
// passed.
func (c *Conn) giveWay() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	c.givesWay = true
	if c.sending {
		_ = c.Conn.SetWriteDeadline(aLongTimeAgo)
		return
	}
	_ = c.Conn.SetReadDeadline(aLongTimeAgo)
}

// EndAfterResponse makes the connection end once the caller can have read the present response,
// although its request was not read whole.
func (c *Conn) EndAfterResponse() {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lingers = true
}

// GivesWay reports whether the connection ends for lack of room.
func (c *Conn) GivesWay() bool { return c != nil && c.reservation.Shed() }

// reserveHead counts bytes of the awaited request's head, before the server parses them. It returns
// the refusal if they are too many or there is no room for them; empty otherwise.
func (c *Conn) reserveHead(data []byte) Refusal {
	if len(data) == 0 {
		return ""
	}
	c.mu.Lock()
	first := c.input.headBytes == 0
	c.input.headBytes += len(data)
	lines := bytes.Count(data, []byte{'\n'})
	tooLarge := c.input.headBytes > c.tracker.limits().headLimit(c.input.unframed)
	c.mu.Unlock()
	if tooLarge {
		return HeadTooLarge
	}
	if first {
		c.reservation.Enter(resources.Receiving)
	}
	err := c.reservation.Grow(int64(headByteCost*len(data) + headLineCost*lines))
	switch {
	case errorx.IsOfType(err, reservation.ErrTooLarge):
		return HeadTooLarge
	case err != nil:
		return NoRoom
	}
	return ""
}

// releaseRequest gives back what the present request held, once it was answered.
func (c *Conn) releaseRequest() {
	c.mu.Lock()
	c.sending = false
	pending := len(c.input.pending)
	phase := resources.Idle
	if pending > 0 || len(c.input.ahead) > 0 {
		phase = resources.Working
	}
	c.mu.Unlock()
	c.reservation.ShrinkTo(connectionBytes + int64(pending))
	c.reservation.Enter(phase)
}
