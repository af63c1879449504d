package callerconn

import (
	"context"
	"math"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"jasminegate/internal/logging"
	"jasminegate/internal/transport/reservation"
)

// Limits are the time limits for callers.
type Limits struct {
	// Header limits the time to receive a request's headers.
	Header time.Duration
	// Idle is how long a connection may stay idle.
	Idle time.Duration
	// HeadBytes limits the head of a request as it is sent, with its line ends and the empty line
	// after it; 0 does not.
	HeadBytes int
}

// serverBufferBytes is the size of the buffer into which net/http reads.
const serverBufferBytes = 4 << 10

// headLimit returns how many bytes the server may get of a head. Without framing these may include
// bytes of the body.
func (l Limits) headLimit(unframed bool) int {
	switch {
	case l.HeadBytes == 0:
		return math.MaxInt
	case unframed:
		return l.HeadBytes + serverBufferBytes
	}
	return l.HeadBytes
}

// drainGrace is how long a connection without a whole request header is kept open at a
// shutdown, for a request that is on its way.
const drainGrace = 100 * time.Millisecond

// Tracker knows the open connections of a server for callers.
type Tracker struct {
	limits func() Limits
	// peerOf reads the state that the kernel keeps, and ages says whether that has ages.
	peerOf func(syscall.Conn) (Peer, bool)
	ages   atomic.Int32
	// account gives connections and their requests room, and respond writes the response to those
	// that get none; nil does nothing.
	account *reservation.Account
	respond Respond
	// logger gets the panics of what runs outside the server's handlers; nil drops them.
	logger *logging.Logger
	// refusing counts the connections beyond the limit that get a refusal.
	refusing atomic.Int32

	mu    sync.Mutex
	conns map[*Conn]struct{}
	// drainedAt is when Drain was called; zero before.
	drainedAt time.Time
	// emptied is closed when the last connection ends after Drain.
	emptied chan struct{}
}

// NewTracker returns a tracker without connections. limits returns the limits in force;
// each wait for a request takes them anew, also while it lasts.
func NewTracker(limits func() Limits) *Tracker {
	return &Tracker{limits: limits, peerOf: peerOf, conns: make(map[*Conn]struct{}), emptied: make(chan struct{})}
}

// LimitResources makes connections and their requests take room in the account. It is called before
// the first connection is accepted.
func (t *Tracker) LimitResources(account *reservation.Account, respond Respond) {
	t.account, t.respond = account, respond
}

// LogTo sets the logger. It is called before the first connection is accepted.
func (t *Tracker) LogTo(logger *logging.Logger) { t.logger = logger }

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

// Accept implements net.Listener. It refuses connections for which there is no room.
func (l *trackedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.tracker.add(conn); c != nil {
			return c, nil
		}
		l.tracker.refuseConnection(conn)
	}
}

// add returns the connection as one of the tracker, or nil if there is no room for it.
func (t *Tracker) add(conn net.Conn) *Conn {
	c := newConn(conn, t)
	var err error
	if c.reservation, err = t.account.Connect(connectionBytes, t.logger.Contained("connection that gives way", c.giveWay, nil)); err != nil {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.conns[c] = struct{}{}
	return c
}

func (t *Tracker) remove(c *Conn) {
	c.reservation.Close()
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.conns[c]; !ok {
		return
	}
	delete(t.conns, c)
	t.noteEmptied()
}

// noteEmptied closes emptied if no connection is left after Drain. The caller holds mu.
func (t *Tracker) noteEmptied() {
	if t.drainedAt.IsZero() || len(t.conns) > 0 {
		return
	}
	select {
	case <-t.emptied:
	default:
		close(t.emptied)
	}
}

// drainDeadline returns when a connection that has waited for a request, or for the rest of
// its headers, since the given time is to end; ok is false before Drain.
func (t *Tracker) drainDeadline(since time.Time) (deadline time.Time, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.drainedAt.IsZero() {
		return time.Time{}, false
	}
	if since.Before(t.drainedAt) {
		since = t.drainedAt
	}
	return since.Add(drainGrace), true
}

// Drain ends the connections without a request, and returns when those with one have ended
// too, or with ctx's error. Requests that arrive meanwhile are served. The listener must be
// closed, and responses must ask callers to close their connections.
func (t *Tracker) Drain(ctx context.Context) error {
	for _, c := range t.startDrain() {
		c.endWait()
	}
	select {
	case <-t.emptied:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// startDrain records that the drain has begun, and returns the open connections.
func (t *Tracker) startDrain() []*Conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.drainedAt.IsZero() {
		t.drainedAt = time.Now()
	}
	t.noteEmptied()
	open := make([]*Conn, 0, len(t.conns))
	for c := range t.conns {
		open = append(open, c)
	}
	return open
}
