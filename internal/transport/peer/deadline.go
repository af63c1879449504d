package peer

import (
	"net"
	"time"
)

// writeTimeout bounds one write on a connection between nodes. If the other end
// no longer receives, writes block once the socket buffers are full; the timeout
// makes the write fail, so that its call ends and releases its resources.
const writeTimeout = 10 * time.Second

// deadlineConn is a connection that sets a deadline for each write.
type deadlineConn struct {
	net.Conn
	timeout time.Duration
}

// Write implements net.Conn. It fails with os.ErrDeadlineExceeded after the
// timeout.
func (c *deadlineConn) Write(data []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.timeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(data)
}

// deadlineListener sets writeTimeout on the connections that it accepts.
type deadlineListener struct{ net.Listener }

// Accept implements net.Listener.
func (l deadlineListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &deadlineConn{Conn: conn, timeout: writeTimeout}, nil
}
