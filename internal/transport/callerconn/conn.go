// Package callerconn accepts callers' connections and records how they end.
package callerconn

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
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
	// ReadTimeout means that another read deadline expired, such as that of a body.
	ReadTimeout Cause = "read-timeout"
	// NodeClosed means that this process closed the connection for another reason, for
	// example at the end of a shutdown.
	NodeClosed Cause = "node-closed"
)

// Causes returns all causes.
func Causes() []Cause {
	return []Cause{CallerClosed, CallerReset, RequestTimeout, ReadTimeout, NodeClosed}
}

// Conn is a caller's connection.
type Conn struct {
	net.Conn
	acceptedAt time.Time

	mu sync.Mutex
	// waitingSince is when the connection was accepted or became idle.
	waitingSince time.Time
	// waited is how long it waited for the present request.
	waited time.Duration
	// written counts the bytes written since the present request's headers were complete.
	written int64
	// cause is the first cause that became known; empty while the connection is open.
	cause Cause
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
}

func newConn(conn net.Conn) *Conn {
	now := time.Now()
	return &Conn{Conn: conn, acceptedAt: now, waitingSince: now}
}

// Read implements net.Conn.
func (c *Conn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if err != nil {
		c.noteReadError(err)
	}
	return n, err
}

func (c *Conn) noteReadError(err error) {
	switch {
	case errors.Is(err, io.EOF):
		c.NoteCause(CallerClosed)
	case errors.Is(err, net.ErrClosed):
		c.NoteCause(NodeClosed)
	case errors.Is(err, os.ErrDeadlineExceeded):
		// net/http ends its own reads by a deadline and goes on with the connection, so
		// that Close decides whether this was the cause.
	default:
		c.NoteCause(CallerReset)
	}
}

// Write implements net.Conn. It counts the bytes written.
func (c *Conn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.written += int64(n)
	return n, err
}

// CloseWrite closes the sending side, as net/http does before it closes a connection
// whose request it refused. It returns an error if the connection has no such side.
func (c *Conn) CloseWrite() error {
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return errors.ErrUnsupported
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.NoteCause(NodeClosed)
	return c.Conn.Close()
}

// NoteCause records why the connection ends, unless a cause is known already.
func (c *Conn) NoteCause(cause Cause) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cause == "" {
		c.cause = cause
	}
}

// Describe returns the present state; that of a nil connection is the zero value.
func (c *Conn) Describe() Description {
	if c == nil {
		return Description{}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return Description{Age: time.Since(c.acceptedAt), Waited: c.waited, Written: c.written, Cause: c.cause}
}

func (c *Conn) onStateChange(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateActive:
		c.waited, c.written = time.Since(c.waitingSince), 0
	case http.StateIdle:
		c.waitingSince = time.Now()
	}
}

// OnStateChange is to be called from http.Server.ConnState.
func OnStateChange(conn net.Conn, state http.ConnState) {
	if c, ok := conn.(*Conn); ok {
		c.onStateChange(state)
	}
}

// NoteCause records why a connection of this package ends; it ignores other ones.
func NoteCause(conn net.Conn, cause Cause) {
	if c, ok := conn.(*Conn); ok {
		c.NoteCause(cause)
	}
}

type contextKey struct{}

// Context is a callback for http.Server.ConnContext: it adds the connection to the
// context of its requests.
func Context(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, contextKey{}, conn)
}

// FromContext returns the connection of a request, or nil if it has none of this package.
func FromContext(ctx context.Context) *Conn {
	conn, _ := ctx.Value(contextKey{}).(*Conn)
	return conn
}

// Listener wraps the connections that it accepts.
type Listener struct{ net.Listener }

// Accept implements net.Listener.
func (l Listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newConn(conn), nil
}
