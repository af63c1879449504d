package node

import (
	"net"
	"net/http"
	"sync"
	"time"

	"jasminegate/internal/state"
	"jasminegate/internal/transport/callerconn"
)

// callerConns enforces the configured idle and header timeouts on callers'
// connections. The timeouts of http.Server cannot change while it serves.
type callerConns struct {
	limits func() state.CallerLimits
	mu     sync.Mutex
	timers map[net.Conn]*time.Timer
}

func newCallerConns(limits func() state.CallerLimits) *callerConns {
	return &callerConns{limits: limits, timers: make(map[net.Conn]*time.Timer)}
}

// onStateChange is a callback for http.Server.ConnState.
func (c *callerConns) onStateChange(conn net.Conn, state http.ConnState) {
	callerconn.OnStateChange(conn, state)
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

// timeout returns how long a connection may take until the headers of its next
// request are complete; 0 means no limit. An idle connection becomes active only
// with complete headers, so its timeout includes the header timeout.
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
		callerconn.NoteCause(conn, callerconn.RequestTimeout)
		_ = conn.Close() // the server's read fails, which ends the connection
	})
}
