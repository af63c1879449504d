package accept

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// acceptOne dials the listener and returns both ends.
func acceptOne(t *testing.T, listener net.Listener) (dialled, accepted net.Conn) {
	t.Helper()
	is := is.New(t)
	dialled, err := net.Dial("tcp", listener.Addr().String())
	is.NoErr(err)
	t.Cleanup(func() { _ = dialled.Close() })
	accepted, err = listener.Accept()
	is.NoErr(err)
	t.Cleanup(func() { _ = accepted.Close() })
	return dialled, accepted
}

// isOpen reports whether the other end has left the connection open.
func isOpen(conn net.Conn) bool {
	_ = conn.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	_, err := conn.Read(make([]byte, 1))
	return err != io.EOF && !isReset(err)
}

func isReset(err error) bool {
	failed, ok := err.(net.Error)
	return err != nil && (!ok || !failed.Timeout())
}

// TestInactiveConnectionGivesWay opens one connection more than the limit. The one that carried
// nothing for longest is closed.
func TestInactiveConnectionGivesWay(t *testing.T) {
	is := is.New(t)
	const inactive = 20 * time.Millisecond
	listener := Limit(listen(t), 2, inactive)
	first, firstAccepted := acceptOne(t, listener)
	second, _ := acceptOne(t, listener)
	time.Sleep(2 * inactive)
	_, err := io.WriteString(first, "a")
	is.NoErr(err)
	_, err = firstAccepted.Read(make([]byte, 1))
	is.NoErr(err)
	third, _ := acceptOne(t, listener)
	is.True(isOpen(first))
	is.True(!isOpen(second))
	is.True(isOpen(third))
}

// TestActiveConnectionsStay opens one connection more than the limit while the others are active.
// The new one is closed, and there is room again once another has ended.
func TestActiveConnectionsStay(t *testing.T) {
	is := is.New(t)
	listener := Limit(listen(t), 1, time.Hour)
	first, firstAccepted := acceptOne(t, listener)
	second, err := net.Dial("tcp", listener.Addr().String())
	is.NoErr(err)
	defer second.Close()
	accepted := make(chan net.Conn)
	go func() {
		conn, _ := listener.Accept()
		accepted <- conn
	}()
	is.True(!isOpen(second))
	is.True(isOpen(first))
	is.NoErr(firstAccepted.Close())
	third, err := net.Dial("tcp", listener.Addr().String())
	is.NoErr(err)
	defer third.Close()
	conn := <-accepted
	is.True(conn != nil)
	_ = conn.Close()
}
