package calls

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// faultDialer opens connections on which faults can be injected.
type faultDialer struct {
	mu    sync.Mutex
	conns []*faultConn
	dials atomic.Int64
	// delayNew makes new connections delay their writes.
	delayNew atomic.Bool
	// stallNew makes new connections hold back what they read until the channel is closed.
	stallNew atomic.Pointer[chan struct{}]
}

func (d *faultDialer) dial(ctx context.Context, address string) (net.Conn, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	d.dials.Add(1)
	wrapped := &faultConn{Conn: conn, closed: make(chan struct{}), holding: d.delayNew.Load()}
	if until := d.stallNew.Load(); until != nil {
		wrapped.stalled = *until
	}
	d.mu.Lock()
	d.conns = append(d.conns, wrapped)
	d.mu.Unlock()
	return wrapped, nil
}

// each applies the change to all connections opened so far; later ones work
// normally.
func (d *faultDialer) each(change func(*faultConn)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, conn := range d.conns {
		change(conn)
	}
}

// faultConn drops or delays what is written and withholds what is read, while
// both ends stay open.
type faultConn struct {
	net.Conn
	mu      sync.Mutex
	holding bool
	silent  bool
	held    []byte
	// stalled holds back what is read until it is closed; nil does not.
	stalled chan struct{}
	closed  chan struct{}
	once    sync.Once
}

func (c *faultConn) Write(data []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.holding {
		c.held = append(c.held, data...)
		return len(data), nil
	}
	if c.silent {
		return len(data), nil
	}
	return c.Conn.Write(data)
}

func (c *faultConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.mu.Lock()
	silent, stalled := c.silent, c.stalled
	c.mu.Unlock()
	if stalled != nil {
		select {
		case <-stalled:
		case <-c.closed:
			return 0, net.ErrClosed
		}
	}
	if silent {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

// Close keeps a connection with delayed writes open towards the gate, so that
// the gate does not detect the close.
func (c *faultConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.holding {
		return c.SetReadDeadline(time.Now())
	}
	return c.Conn.Close()
}

// goSilent drops all writes and withholds all reads from now on.
func (c *faultConn) goSilent() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent = true
}

// holdBack delays all writes until releaseHeld and withholds all reads.
func (c *faultConn) holdBack() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.holding = true
	c.silent = true
}

// delayWrites delays all writes until releaseHeld.
func (c *faultConn) delayWrites() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.holding = true
}

// hasDelayed reports whether a write is delayed.
func (c *faultConn) hasDelayed() bool { return c.delayedBytes() > 0 }

// releaseHeld sends the delayed writes.
func (c *faultConn) releaseHeld() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.holding = false
	_, _ = c.Conn.Write(c.held)
	c.held = nil
}

// releaseFirst sends the first delayed bytes.
func (c *faultConn) releaseFirst(size int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	size = min(size, len(c.held))
	_, _ = c.Conn.Write(c.held[:size])
	c.held = c.held[size:]
}

// delayedBytes returns how many bytes are delayed.
func (c *faultConn) delayedBytes() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.held)
}

// stallReads holds back what is read until the channel is closed.
func (c *faultConn) stallReads(until chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stalled = until
}
