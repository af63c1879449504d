package calls

import (
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
)

// responsePrefix begins every response of HTTP/1, and statusStart and statusEnd are where its status
// is: HTTP/1.1 200.
const (
	responsePrefix = "HTTP/"
	statusStart    = len("HTTP/1.1 ")
	statusEnd      = statusStart + len("200")
)

// targetConn is a connection to the target. It counts the bytes written, to determine
// whether any byte of a request left this node.
type targetConn struct {
	net.Conn
	conns   *targetConns
	written atomic.Int64
	closed  atomic.Bool
	// matched is how many bytes of a response, up to statusEnd, have been read since the connection
	// was taken for a request, and status the digits of its status among them.
	matched, status atomic.Int32
	// responded is set once bytes were read since the connection was taken for a request.
	responded atomic.Bool
	// mayRepeat is set once a response may have been a refusal, which the target could write once
	// more in place of a later response.
	mayRepeat atomic.Bool
	// user is the request that took the connection last, or discarded.
	user atomic.Pointer[writeTracker]
}

// discarded is the user of a connection that takes no further request.
var discarded = &writeTracker{}

// take notes that the request uses the connection, unless it has been discarded or may have carried a
// refusal: then it fails at its first write, with no byte written.
func (c *targetConn) take(user *writeTracker) {
	c.matched.Store(0)
	c.status.Store(0)
	c.responded.Store(false)
	if c.mayRepeat.Load() {
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

// Read fails at the end of the input if the request was not written whole: a connection that is
// reset says so once, to the reader or to the writer, and the other one finds it closed. The end of
// a response without a length would look like that of a whole one.
//
// Read also fails once it is certain that the target does not respond to the request: its
// first bytes are none of a response. Otherwise the HTTP client would wait for the end
// of the line.
func (c *targetConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if n > 0 {
		c.responded.Store(true)
	}
	if errors.Is(err, io.EOF) && c.responded.Load() && !c.user.Load().wroteRequest() {
		err = errBrokenOff.New("the target closed the connection before it had the whole request: the end of its response is not known")
	}
	if !c.scanHead(data[:n]) {
		// With the bytes, since the HTTP client sends some requests again if it
		// gets an error alone.
		return n, errNoResponse.New("the target sent bytes that are no HTTP response: check the target")
	}
	return n, err
}

// scanHead follows the response up to its status. It returns false for bytes that begin none. The
// status is known here before the HTTP client may give the connection to another request.
func (c *targetConn) scanHead(data []byte) bool {
	at, status := int(c.matched.Load()), c.status.Load()
	if at == statusEnd {
		return true
	}
	for _, read := range data[:min(len(data), statusEnd-at)] {
		if at < len(responsePrefix) && read != responsePrefix[at] {
			return false
		}
		if at >= statusStart {
			status = 10*status + int32(read) - '0'
		}
		at++
	}
	c.status.Store(status)
	c.matched.Store(int32(at))
	if at == statusEnd && c.conns.targetRefuses && mayRefuse(int(status)) {
		c.mayRepeat.Store(true)
	}
	return true
}

// mayRefuse reports whether a response that begins with the status may refuse its request. An
// interim response may precede a refusal.
func mayRefuse(status int) bool {
	return impliesNotRun(status) || status == http.StatusMisdirectedRequest || status < minStatus
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
