package peer

import (
	"net"
	"sync/atomic"
)

// Traffic counts the bytes sent and received on the connections that it wraps.
type Traffic struct {
	sent     atomic.Uint64
	received atomic.Uint64
}

// Sent returns the bytes written so far.
func (t *Traffic) Sent() uint64 { return t.sent.Load() }

// Received returns the bytes read so far.
func (t *Traffic) Received() uint64 { return t.received.Load() }

// wrap returns a connection that counts the bytes of conn; a nil Traffic returns
// conn itself.
func (t *Traffic) wrap(conn net.Conn) net.Conn {
	if t == nil {
		return conn
	}
	return &countedConn{Conn: conn, traffic: t}
}

// Listener returns a listener that counts the bytes of the connections that it
// accepts.
func (t *Traffic) Listener(listener net.Listener) net.Listener {
	return &countedListener{Listener: listener, traffic: t}
}

// Conn returns a connection that counts the bytes of conn.
func (t *Traffic) Conn(conn net.Conn) net.Conn { return t.wrap(conn) }

type countedListener struct {
	net.Listener
	traffic *Traffic
}

// Accept implements net.Listener.
func (l *countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.traffic.wrap(conn), nil
}

type countedConn struct {
	net.Conn
	traffic *Traffic
}

// Read implements net.Conn.
func (c *countedConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	c.traffic.received.Add(uint64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.traffic.sent.Add(uint64(n))
	return n, err
}
