package callerconn

import (
	"errors"
	"io"
	"net"
	"os"
	"time"
)

// Cause says why a connection ended.
type Cause string

// Causes.
const (
	// CallerClosed means that the caller closed its sending side, or the whole
	// connection.
	CallerClosed Cause = "caller-closed"
	// CallerReset means that the connection broke: the caller reset it, or it became
	// unreachable.
	CallerReset Cause = "caller-reset"
	// RequestTimeout means that no complete request header arrived within the limits.
	RequestTimeout Cause = "request-timeout"
	// NodeClosed means that this process closed the connection for another reason, for
	// example at the end of a shutdown.
	NodeClosed Cause = "node-closed"
)

// Causes returns all causes.
func Causes() []Cause {
	return []Cause{CallerClosed, CallerReset, RequestTimeout, NodeClosed}
}

// Description describes a connection and its present request.
type Description struct {
	// Age is the time since the connection was accepted.
	Age time.Duration
	// Waited is the time from the accept or from the last response until the headers of
	// the present request were complete.
	Waited time.Duration
	// Written is how many bytes of a response were written.
	Written int64
	// Cause is why the connection ended; empty while it is open.
	Cause Cause
	// Closed is for how long the caller's sending side has been closed, and CloseRead how long ago
	// that was read; zero if it is open, or not known.
	Closed, CloseRead time.Duration
}

// Describe returns the present state; that of a nil connection is the zero value.
func (c *Conn) Describe() Description {
	if c == nil {
		return Description{}
	}
	peer := c.Peer()
	c.mu.Lock()
	defer c.mu.Unlock()
	d := Description{Age: time.Since(c.acceptedAt), Waited: c.waited, Written: c.written, Cause: c.cause, Closed: peer.CloseAge}
	if c.inputClosed {
		d.CloseRead = time.Since(c.inputClosedAt)
	}
	return d
}

// noteCause records why the connection ends, unless a cause is known already.
func (c *Conn) noteCause(cause Cause) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cause == "" {
		c.cause = cause
	}
}

// noteReadError records the cause that a read error stands for. A read that ended by its
// deadline stands for none: the server goes on with the connection, or closes it.
func (c *Conn) noteReadError(err error) {
	switch {
	case err == nil, errors.Is(err, os.ErrDeadlineExceeded):
	case errors.Is(err, io.EOF):
		c.noteCause(CallerClosed)
	case errors.Is(err, net.ErrClosed):
		c.noteCause(NodeClosed)
	default:
		c.noteCause(CallerReset)
	}
}
