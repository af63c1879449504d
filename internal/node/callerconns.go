package node

import (
	"net"
	"net/http"
	"sync"
	"time"

	"jasminegate/internal/state"
)

// callerConns closes callers' connections that are idle, or whose headers do not
// come, for longer than the configuration allows. The bounds of the HTTP server
// itself cannot change while it serves.
type callerConns struct {
	limits func() state.CallerLimits
	mu     sync.Mutex
	timers map[net.Conn]*time.Timer
}

func newCallerConns(limits func() state.CallerLimits) *callerConns {
	return &callerConns{limits: limits, timers: make(map[net.Conn]*time.Timer)}
}

// onStateChange takes in a change of the connection's state.
func (c *callerConns) onStateChange(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if timer := c.timers[conn]; timer != nil {
		timer.Stop()
	}
	switch state {
	case http.StateNew, http.StateIdle:
		if wait := c.timeout(state); wait > 0 {
			c.closeAfter(conn, wait)
		}
	case http.StateHijacked, http.StateClosed:
		delete(c.timers, conn)
	}
}

// timeout is how long a connection may take until its next headers are whole; 0 is
// for ever. An idle connection becomes active only then.
func (c *callerConns) timeout(connState http.ConnState) time.Duration {
	limits := c.limits()
	headers := time.Duration(limits.HeaderTimeout)
	if headers == 0 {
		headers = headerTimeout
	}
	if connState == http.StateNew {
		return headers
	}
	if limits.IdleTimeout == 0 {
		return idleTimeout + headers
	}
	return time.Duration(limits.IdleTimeout) + headers
}

func (c *callerConns) closeAfter(conn net.Conn, wait time.Duration) {
	if timer := c.timers[conn]; timer != nil {
		timer.Reset(wait)
		return
	}
	c.timers[conn] = time.AfterFunc(wait, func() {
		_ = conn.Close() // the server sees it and ends the connection
	})
}
