package callerconn

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// newTCPConn returns a connection, and its caller's end, which has sent a request.
func newTCPConn(t *testing.T) (c *Conn, caller *net.TCPConn) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	dialled, err := net.Dial("tcp", listener.Addr().String())
	is.NoErr(err)
	conn, err := NewTracker(func() Limits { return Limits{Header: longLimit, Idle: longLimit} }).Listen(listener).Accept()
	is.NoErr(err)
	t.Cleanup(func() { _, _ = dialled.Close(), conn.Close() })
	_, err = io.WriteString(dialled, request)
	is.NoErr(err)
	return conn.(*Conn), dialled.(*net.TCPConn)
}

// TestLateReadHidesWhenCallerClosed lets a request and a close wait in the socket's buffer: the
// ages count from their arrival, although nothing was read.
func TestLateReadHidesWhenCallerClosed(t *testing.T) {
	const unread = 300 * time.Millisecond
	// The kernel counts in ticks.
	const tick = 10 * time.Millisecond
	leaves := map[string]func(*net.TCPConn) error{
		"closes":      func(c *net.TCPConn) error { return c.Close() },
		"half-closes": func(c *net.TCPConn) error { return c.CloseWrite() },
		"resets":      func(c *net.TCPConn) error { _ = c.SetLinger(0); return c.Close() },
		"stays":       func(*net.TCPConn) error { return nil },
	}
	for name, leave := range leaves {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c, caller := newTCPConn(t)
			time.Sleep(unread)
			is.NoErr(leave(caller))
			time.Sleep(unread)
			peer := c.Peer()
			is.True(peer.DataAge >= 2*unread-tick || peer.Reset)
			is.Equal(peer.Closed, name == "closes" || name == "half-closes")
			is.Equal(peer.Reset, name == "resets")
			if peer.Closed {
				is.True(peer.CloseAge >= unread-tick && peer.CloseAge <= peer.DataAge-unread+tick)
			}
		})
	}
}

// TestPeerOfUnusualConnections checks that nothing is assumed where the kernel cannot be asked.
func TestPeerOfUnusualConnections(t *testing.T) {
	is := is.New(t)
	is.Equal((*Conn)(nil).Peer(), Peer{})
	c := NewTracker(func() Limits { return Limits{} }).add(endedConn{})
	c.onStateChange(http.StateActive)
	is.Equal(c.Peer(), Peer{})
}

// TestAcknowledgementHidesWhenCallerClosed lets a caller acknowledge a response after it has closed its
// sending side, as one that has sent requests behind it does: the age counts from the close.
func TestAcknowledgementHidesWhenCallerClosed(t *testing.T) {
	const closedFor = 300 * time.Millisecond
	is := is.New(t)
	c, caller := newTCPConn(t)
	_, err := c.Read(make([]byte, len(request)))
	is.NoErr(err)
	c.onStateChange(http.StateActive)
	c.RequestRead()
	closed := make(chan struct{})
	c.OnInputClosed(func() { close(closed) })
	go func() { _, _ = c.Read(make([]byte, disconnectReadBytes)) }()
	is.NoErr(caller.CloseWrite())
	<-closed
	time.Sleep(closedFor)
	_, err = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	is.NoErr(err)
	_, err = caller.Read(make([]byte, 1))
	is.NoErr(err)
	peer := c.Peer()
	is.True(peer.Closed)
	is.True(peer.CloseAge >= closedFor)
}

// TestMissingAgesAreTakenForKept serves requests on a platform whose kernel keeps ages, and on one where
// they are always 0.
func TestMissingAgesAreTakenForKept(t *testing.T) {
	for _, kept := range []bool{true, false} {
		t.Run(fmt.Sprintf("kept %v", kept), func(t *testing.T) {
			is := is.New(t)
			c, _ := newTCPConn(t)
			if !kept {
				c.tracker.peerOf = func(conn syscall.Conn) (Peer, bool) {
					peer, ok := peerOf(conn)
					peer.DataAge, peer.CloseAge = 0, 0
					return peer, ok
				}
			}
			_, err := c.Read(make([]byte, len(request)))
			is.NoErr(err)
			for range agesMissing {
				is.True(!c.Peer().NoAges)
				c.onStateChange(http.StateActive)
				time.Sleep(agesShownAfter)
				c.onStateChange(http.StateIdle)
			}
			is.Equal(c.Peer().NoAges, !kept)
		})
	}
}
