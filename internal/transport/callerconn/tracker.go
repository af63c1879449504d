package callerconn

import (
	"context"
	"net"
	"net/http"
	"time"
)

// Limits are the time limits for callers.
type Limits struct {
	// Header limits the time to receive a request's headers.
	Header time.Duration
	// Idle is how long a connection may stay idle.
	Idle time.Duration
}

// Tracker follows the connections of a server for callers.
type Tracker struct {
	limits func() Limits
}

// NewTracker returns a tracker. limits returns the limits in force; each wait for a request
// takes them anew, also while it lasts.
func NewTracker(limits func() Limits) *Tracker {
	return &Tracker{limits: limits}
}

// Configure sets the server's hooks. The server must serve a listener of Listen.
func (t *Tracker) Configure(server *http.Server) {
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		if c, ok := conn.(*Conn); ok {
			c.onStateChange(state)
		}
	}
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, contextKey{}, conn)
	}
}

type contextKey struct{}

// FromContext returns the connection of a request, or nil if it has none of this package.
func FromContext(ctx context.Context) *Conn {
	conn, _ := ctx.Value(contextKey{}).(*Conn)
	return conn
}

// Listen returns a listener whose connections belong to the tracker.
func (t *Tracker) Listen(listener net.Listener) net.Listener {
	return &trackedListener{Listener: listener, tracker: t}
}

type trackedListener struct {
	net.Listener
	tracker *Tracker
}

// Accept implements net.Listener.
func (l *trackedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newConn(conn, l.tracker), nil
}
