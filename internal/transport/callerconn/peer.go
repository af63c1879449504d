package callerconn

import (
	"syscall"
	"time"
)

// Peer is what the kernel knows of the caller's end, also while this process does not read.
type Peer struct {
	// DataAge is the time since the last data arrived.
	DataAge time.Duration
	// Closed says that the caller has closed its sending side or the whole connection, and
	// CloseAge how long ago that arrived.
	Closed   bool
	CloseAge time.Duration
	// Reset says that the connection was reset.
	Reset bool
}

// Peer returns the state of the caller's end. Where it cannot be read it is the zero value: a
// caller that is there, and data that have just arrived.
func (c *Conn) Peer() Peer {
	if c == nil {
		return Peer{}
	}
	conn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return Peer{}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return Peer{} // the end that the kernel reports is this process's own
	}
	peer, _ := peerOf(conn)
	if c.inputClosed {
		// An acknowledgement of the caller makes the kernel's age less.
		peer.Closed, peer.CloseAge = true, max(peer.CloseAge, time.Since(c.inputClosedAt))
	}
	return peer
}
