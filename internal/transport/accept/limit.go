package accept

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// limitedListener keeps the number of open connections below a limit.
type limitedListener struct {
	net.Listener
	most     int
	inactive time.Duration

	mu   sync.Mutex
	open map[*limitedConn]struct{}
}

// Limit returns a listener with at most most open connections. Beyond that, the one that has carried
// nothing for the longest time is closed, if that is at least the given time, and otherwise the new
// one.
//
// Load pattern: many connections that say nothing, while ordinary ones come and go.
func Limit(inner net.Listener, most int, inactive time.Duration) net.Listener {
	if inner == nil {
		return nil
	}
	return &limitedListener{Listener: inner, most: most, inactive: inactive, open: make(map[*limitedConn]struct{})}
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		limited, displaced := l.add(conn)
		if displaced != nil {
			_ = displaced.Close()
		}
		if limited != nil {
			return limited, nil
		}
	}
}

// add returns the connection with the one that it displaces, or nil if it is the one to be closed.
func (l *limitedListener) add(conn net.Conn) (added *limitedConn, displaced net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.open) >= l.most {
		victim := l.longestInactive()
		if victim == nil {
			return nil, conn
		}
		delete(l.open, victim)
		displaced = victim.Conn
	}
	added = &limitedConn{Conn: conn, listener: l}
	added.noteActivity()
	l.open[added] = struct{}{}
	return added, displaced
}

// longestInactive returns the connection to close, or nil. The caller holds mu.
func (l *limitedListener) longestInactive() *limitedConn {
	var found *limitedConn
	for conn := range l.open {
		if found == nil || conn.activeAt.Load() < found.activeAt.Load() {
			found = conn
		}
	}
	if found == nil || time.Since(time.UnixMicro(found.activeAt.Load())) < l.inactive {
		return nil
	}
	return found
}

// limitedConn is a connection of a limitedListener.
type limitedConn struct {
	net.Conn
	listener *limitedListener
	// activeAt is when it carried something last, in Unix microseconds.
	activeAt atomic.Int64
}

func (c *limitedConn) noteActivity() { c.activeAt.Store(time.Now().UnixMicro()) }

// Read implements net.Conn.
func (c *limitedConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if n > 0 {
		c.noteActivity()
	}
	return n, err
}

// Write implements net.Conn.
func (c *limitedConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	if n > 0 {
		c.noteActivity()
	}
	return n, err
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.open, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

// CloseWrite closes the sending side, as net/http does before it closes a connection whose request
// it refused.
func (c *limitedConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}
