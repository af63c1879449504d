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
	// NoAges says that this platform's kernel does not keep the ages, as earlier requests have
	// shown: they are always 0.
	NoAges bool
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
	peer, _ := c.tracker.peerOf(conn)
	peer.NoAges = c.tracker.ages.Load() == agesMissing
	if c.inputClosed {
		// An acknowledgement of the caller makes the kernel's age less.
		peer.Closed, peer.CloseAge = true, max(peer.CloseAge, time.Since(c.inputClosedAt))
	}
	return peer
}

// What is known of the ages that the kernel keeps; values of Tracker.ages below agesMissing count the
// requests for which there was none.
const (
	agesKept    int32 = -1
	agesMissing int32 = 3
)

// agesShownAfter is how long a request must have run before it shows whether the kernel keeps ages.
const agesShownAfter = 100 * time.Millisecond

// judgeAges looks at the kernel's age of the last data at the end of a request that ran for a while.
// It does so until it is known whether ages are kept. A next request that has just arrived has no
// age either. The caller holds mu.
func (c *Conn) judgeAges() {
	known := c.tracker.ages.Load()
	if known == agesKept || known == agesMissing || c.closed || time.Since(c.activeSince) < agesShownAfter {
		return
	}
	conn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return
	}
	peer, ok := c.tracker.peerOf(conn)
	switch {
	case !ok || peer.Reset:
	case peer.DataAge > 0:
		c.tracker.ages.Store(agesKept)
	default:
		c.tracker.ages.CompareAndSwap(known, known+1)
	}
}
