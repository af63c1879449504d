package calls

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"jasminegate/internal/coordination/call"
	"jasminegate/internal/coordination/gate"
	"jasminegate/internal/coordination/membership"
)

// Target describes the target beside this node.
type Target struct {
	Service string
	// Slots is how many calls the target runs at once.
	Slots int
	// Connections is how many connections to the target may be open.
	Connections int
	// Address is the host and port on which the target serves HTTP.
	Address string
	// Instance is the ID of the target's process, if the target reported one, and
	// StartedMS its start time in Unix milliseconds, if known.
	Instance  string
	StartedMS int64
	State     membership.TargetState
}

const (
	// targetIdleTimeout closes idle connections to the target, earlier than
	// targets usually close them.
	targetIdleTimeout = 2 * time.Second
	// targetDialTimeout bounds opening a connection to the target.
	targetDialTimeout = time.Second
	// MaxResponseHeadBytes limits the status line and the headers of a response,
	// those of interim responses (1xx) included. A head takes a multiple of its size
	// while it is parsed.
	MaxResponseHeadBytes = 32 << 10
)

// Process returns the identity of the target's process.
func (t Target) Process() call.TargetProcess {
	return call.TargetProcess{Instance: t.Instance, StartedMS: t.StartedMS}
}

// target is a Target with its connections.
type target struct {
	Target
	openConns atomic.Int64
	// pooledTransport reuses connections. singleUseTransport opens one for each
	// request: on a reused connection the HTTP client would send a request
	// without a body again by itself.
	pooledTransport    *http.Transport
	singleUseTransport *http.Transport
}

func newTarget(announced Target) *target {
	t := &target{Target: announced}
	t.pooledTransport = &http.Transport{
		DialContext:            t.dial,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    announced.Connections,
		IdleConnTimeout:        targetIdleTimeout,
		MaxResponseHeaderBytes: MaxResponseHeadBytes,
	}
	t.singleUseTransport = &http.Transport{
		DialContext:            t.dial,
		DisableCompression:     true,
		DisableKeepAlives:      true,
		MaxResponseHeaderBytes: MaxResponseHeadBytes,
	}
	return t
}

func (t *target) close() {
	t.pooledTransport.CloseIdleConnections()
	t.singleUseTransport.CloseIdleConnections()
}

// dial opens a connection if the limit on open connections permits one more.
func (t *target) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if t.openConns.Add(1) > int64(t.Connections) {
		t.pooledTransport.CloseIdleConnections()
		if t.openConns.Load() > int64(t.Connections) {
			t.openConns.Add(-1)
			return nil, errConnectionLimit.New("%d connections to the target are open, which is the limit: raise the connections of the service, or those that the target announces", t.Connections)
		}
	}
	dialer := net.Dialer{Timeout: targetDialTimeout}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		t.openConns.Add(-1)
		return nil, err
	}
	return &targetConn{Conn: conn, target: t}, nil
}

// targetConn counts the bytes written, to determine whether any byte of a
// request left this node.
type targetConn struct {
	net.Conn
	target  *target
	written atomic.Int64
	closed  atomic.Bool
}

// Write counts the bytes written, those of a failed write included.
func (c *targetConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.written.Add(int64(n))
	return n, err
}

// Close closes the connection and removes it from the count of open ones.
func (c *targetConn) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		c.target.openConns.Add(-1)
	}
	return c.Conn.Close()
}

// SetTarget applies what the target announced. If its address, instance or
// connection limit changed, idle connections are closed and new requests use new
// ones; requests in flight continue.
func (r *Runner) SetTarget(announced Target) {
	if announced.State == membership.TargetAbsent {
		r.signals.endAnnouncement()
	} else {
		r.signals.setProcess(announced.Process())
	}
	current := r.target.Load()
	switch {
	case current == nil || current.Address != announced.Address || !current.Process().Same(announced.Process()) || current.Connections != announced.Connections:
		r.replaceTarget(newTarget(announced), current)
	case current.Target != announced:
		// The transports still dial through the target that they were made for,
		// and its openConns is the count; that of next is not used.
		next := &target{Target: announced, pooledTransport: current.pooledTransport, singleUseTransport: current.singleUseTransport}
		r.target.Store(next)
	}
	r.updateGateLimits()
}

func (r *Runner) replaceTarget(next, current *target) {
	r.target.Store(next)
	if current != nil {
		current.close()
	}
}

// updateGateLimits passes the target's state and its service's limits to the
// gate machine.
func (r *Runner) updateGateLimits() {
	t := r.target.Load()
	if t == nil {
		return
	}
	event := gate.SetTarget{Slots: t.Slots, FixedLimit: r.options.Settings.FixedLimit, Ready: t.State == membership.TargetReady}
	if index := r.currentRoutes(); index != nil {
		if service, ok := index.snapshot.Service(t.Service); ok {
			event.QueueLength = service.QueueLength
			event.QueueTimeout = time.Duration(service.QueueTimeout)
		}
	}
	r.gate.notify(event)
}
