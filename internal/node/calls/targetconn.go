package calls

import (
	"net"
	"sync/atomic"
)

// responsePrefix begins every response of HTTP/1.
const responsePrefix = "HTTP/"

// targetConn is a connection to the target. It counts the bytes written, to determine
// whether any byte of a request left this node.
type targetConn struct {
	net.Conn
	conns   *targetConns
	written atomic.Int64
	closed  atomic.Bool
	// matched is how many bytes of responsePrefix have been read since the connection
	// was taken for a request.
	matched atomic.Int32
	// user is the request that took the connection last, or discarded.
	user atomic.Pointer[writeTracker]
	// refused is set once a response on the connection refused its request.
	refused atomic.Bool
	// carried are the IDs of the requests that took the connection. Only the request that takes it
	// uses them.
	carried requestIDs
}

// discarded is the user of a connection that takes no further request.
var discarded = &writeTracker{}

// take notes that the request uses the connection, unless it has been discarded: then
// it fails at its first write, with no byte written. So does a request that the connection has
// carried before: a refusal that the target repeats could not be told from its response.
func (c *targetConn) take(user *writeTracker) {
	c.matched.Store(0)
	if !c.carried.add(user.check.requestID) {
		c.user.Store(discarded)
		_ = c.Close()
		return
	}
	if previous := c.user.Load(); previous != discarded {
		c.user.CompareAndSwap(previous, user)
	}
}

// discard closes the connection unless another request than the user has taken it.
func (c *targetConn) discard(user *writeTracker) {
	if c.user.CompareAndSwap(user, discarded) {
		_ = c.Close()
	}
}

// Read fails once it is certain that the target does not respond to the request: its
// first bytes are none of a response. Otherwise the HTTP client would wait for the end
// of the line.
func (c *targetConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	matched := c.matched.Load()
	for _, read := range data[:n] {
		if int(matched) == len(responsePrefix) {
			break
		}
		if read != responsePrefix[matched] {
			// With the bytes, since the HTTP client sends some requests again if it
			// gets an error alone.
			return n, errNoResponse.New("the target sent bytes that are no HTTP response: check the target")
		}
		matched++
	}
	c.matched.Store(matched)
	return n, err
}

// Write counts the bytes written, those of a failed write included. It fails without writing
// if its request must not be written any more.
func (c *targetConn) Write(data []byte) (int, error) {
	user := c.user.Load()
	if user == discarded {
		return 0, net.ErrClosed
	}
	if err := user.beginWrite(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(data)
	c.written.Add(int64(n))
	user.endWrite(n)
	return n, err
}

// Close closes the connection and removes it from the count of open ones.
func (c *targetConn) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		c.conns.open.Add(-1)
	}
	return c.Conn.Close()
}
