package target

import (
	"net"
	"net/http"
	"sync"
)

// limitListener limits the open connections: it closes each further one right
// after accepting it.
type limitListener struct {
	net.Listener
	open chan struct{} // has one element for each open connection
}

func newLimitListener(listener net.Listener, connections int) net.Listener {
	if connections <= 0 {
		return listener
	}
	return &limitListener{Listener: listener, open: make(chan struct{}, connections)}
}

// Accept implements net.Listener.
func (l *limitListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		select {
		case l.open <- struct{}{}:
			return &limitedConn{Conn: conn, release: sync.OnceFunc(func() { <-l.open })}, nil
		default:
			conn.Close()
		}
	}
}

type limitedConn struct {
	net.Conn
	release func()
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	defer c.release()
	return c.Conn.Close()
}

// resetIdle makes the close of an idle connection a reset. It is the ConnState of a
// server.
func resetIdle(conn net.Conn, connState http.ConnState) {
	if limited, ok := conn.(*limitedConn); ok {
		conn = limited.Conn
	}
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return
	}
	switch connState {
	case http.StateIdle:
		_ = tcp.SetLinger(0)
	case http.StateActive:
		_ = tcp.SetLinger(-1)
	}
}
