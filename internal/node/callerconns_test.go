package node

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"jasminegate/internal/state"
)

// callerConnsServer starts a server with the limits and returns a connection to it.
func callerConnsServer(t *testing.T, limits state.CallerLimits) net.Conn {
	t.Helper()
	is := is.New(t)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "answer")
	}))
	server.Config.ConnState = newCallerConns(func() state.CallerLimits { return limits }).onStateChange
	server.Start()
	t.Cleanup(server.Close)
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	is.NoErr(err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// closedWithin reports whether the other end closes the connection within wait.
func closedWithin(t *testing.T, conn net.Conn, wait time.Duration) bool {
	t.Helper()
	is := is.New(t)
	is.NoErr(conn.SetReadDeadline(time.Now().Add(wait)))
	_, err := io.Copy(io.Discard, conn)
	return !errors.Is(err, os.ErrDeadlineExceeded)
}

const (
	shortLimit = state.Duration(50 * time.Millisecond)
	// requestLimit is enough for a request on loopback on a loaded machine.
	requestLimit = state.Duration(2 * time.Second)
	longLimit    = state.Duration(time.Minute)
	// closeWait bounds the wait for a close. openCheck is how long a connection
	// must stay open to pass as kept.
	closeWait = 20 * time.Second
	openCheck = 300 * time.Millisecond
	request   = "GET / HTTP/1.1\r\nHost: a.example\r\n\r\n"
)

func TestIdleCallersAreClosed(t *testing.T) {
	is := is.New(t)
	conn := callerConnsServer(t, state.CallerLimits{HeaderTimeout: requestLimit, IdleTimeout: shortLimit})
	_, err := io.WriteString(conn, request)
	is.NoErr(err)
	is.True(closedWithin(t, conn, closeWait))
}

func TestIdleCallersAreKeptWithinTheirLimit(t *testing.T) {
	is := is.New(t)
	conn := callerConnsServer(t, state.CallerLimits{HeaderTimeout: longLimit, IdleTimeout: shortLimit})
	_, err := io.WriteString(conn, request)
	is.NoErr(err)
	is.True(!closedWithin(t, conn, openCheck)) // closes only after idle plus header timeout
}

func TestSlowHeadersAreClosed(t *testing.T) {
	is := is.New(t)
	conn := callerConnsServer(t, state.CallerLimits{HeaderTimeout: shortLimit, IdleTimeout: longLimit})
	_, _ = io.WriteString(conn, request[:20]) // the server may have closed the connection already
	is.True(closedWithin(t, conn, closeWait))
}

// TestLongRequestsAreKept checks that the limits close no connection while a
// request runs.
func TestLongRequestsAreKept(t *testing.T) {
	is := is.New(t)
	near, far := net.Pipe()
	defer far.Close()
	limits := state.CallerLimits{HeaderTimeout: requestLimit, IdleTimeout: requestLimit}
	conns := newCallerConns(func() state.CallerLimits { return limits })
	conns.onStateChange(near, http.StateNew)
	conns.onStateChange(near, http.StateActive) // headers complete
	is.True(!closedWithin(t, far, time.Duration(requestLimit)+openCheck))
	conns.onStateChange(near, http.StateIdle)
	is.True(closedWithin(t, far, closeWait))
}
