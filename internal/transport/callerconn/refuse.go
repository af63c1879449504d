package callerconn

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"time"
)

// Refusal says why a connection ends before a request on it was read.
type Refusal string

// Refusals.
const (
	// HeadTooLarge means that the head of a request exceeds Limits.HeadBytes, or takes more
	// memory than the node gives to all requests.
	HeadTooLarge Refusal = "head-too-large"
	// NoRoom means that requests in work take all the memory or connections that the node gives
	// them.
	NoRoom Refusal = "no-room"
)

// Respond writes the response that says why.
type Respond func(w http.ResponseWriter, refusal Refusal)

const (
	// refuseTimeout bounds the writing of a refusal, and then the wait for the caller to read it.
	refuseTimeout = 250 * time.Millisecond
	// maxRefusing is how many connections may get a refusal at the same time, in addition to those
	// that have room. The others are closed.
	maxRefusing = 32
)

// errRefused ends a read whose connection was refused. net/http writes no response of its own after
// an error of the connection.
var errRefused = &net.OpError{Op: "read", Net: "tcp", Err: errors.New("the request was refused")}

// refuse writes the response that says why, and returns the error that makes the server close the
// connection. The server waits for a request then, so no other response is being written.
func (c *Conn) refuse(refusal Refusal) error {
	c.mu.Lock()
	c.lingers = true
	c.mu.Unlock()
	c.tracker.writeRefusal(c.Conn, refusal)
	return errRefused
}

// writeRefusal writes the response on the connection.
func (t *Tracker) writeRefusal(conn net.Conn, refusal Refusal) {
	if t.respond == nil {
		return
	}
	recorded := &recordedResponse{header: make(http.Header)}
	t.respond(recorded, refusal)
	response := http.Response{
		StatusCode: recorded.status, ProtoMajor: 1, ProtoMinor: 1, Header: recorded.header, Close: true,
		Body: io.NopCloser(&recorded.body), ContentLength: int64(recorded.body.Len()),
	}
	_ = conn.SetWriteDeadline(time.Now().Add(refuseTimeout))
	_ = response.Write(conn)
}

// recordedResponse is an http.ResponseWriter for a connection that no server reads.
type recordedResponse struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (r *recordedResponse) Header() http.Header { return r.header }

// WriteHeader implements http.ResponseWriter.
func (r *recordedResponse) WriteHeader(status int) { r.status = status }

// Write implements http.ResponseWriter.
func (r *recordedResponse) Write(data []byte) (int, error) { return r.body.Write(data) }

// refuseConnection refuses a connection that was accepted beyond the limit.
func (t *Tracker) refuseConnection(conn net.Conn) {
	t.closeAfter(conn, func() { t.writeRefusal(conn, NoRoom) }, func() {})
}

// closeRefused closes a connection on which a refusal was written. The connection has no room any
// more.
func (c *Conn) closeRefused() {
	c.reservation.Close()
	c.tracker.closeAfter(c.Conn, func() {}, func() { c.tracker.remove(c) })
}

// closeAfter writes the last response and closes the connection once the caller can have read it:
// closing a connection with unread bytes resets it. Beyond maxRefusing at a time the connection is
// closed at once.
func (t *Tracker) closeAfter(conn net.Conn, respond, closed func()) {
	if t.refusing.Add(1) > maxRefusing {
		t.refusing.Add(-1)
		_ = conn.Close()
		closed()
		return
	}
	go t.logger.Contained("refusal of a connection", func() {
		defer closed()
		defer t.refusing.Add(-1)
		defer conn.Close()
		respond()
		discardInput(conn, refuseTimeout)
	}, nil)()
}

// discardInput closes the sending side and reads what still arrives, up to the timeout.
func discardInput(conn net.Conn, timeout time.Duration) {
	half, ok := conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	_ = conn.SetReadDeadline(time.Now().Add(timeout))
	_, _ = io.Copy(io.Discard, conn)
}
