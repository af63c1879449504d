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

// callerConnsServer serves under the limits and returns a connection to it.
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

// closedWithin reports whether the other end closes the connection in time.
func closedWithin(t *testing.T, conn net.Conn, wait time.Duration) bool {
	t.Helper()
	is := is.New(t)
	is.NoErr(conn.SetReadDeadline(time.Now().Add(wait)))
	_, err := io.Copy(io.Discard, conn)
	return !errors.Is(err, os.ErrDeadlineExceeded)
}

const (
	shortLimit = state.Duration(50 * time.Millisecond)
	// requestLimit is time enough for a request on loopback, also beside load.
	requestLimit = state.Duration(2 * time.Second)
	longLimit    = state.Duration(time.Minute)
	// closeWait is how long a close is waited for, and keptOpen how long a
	// connection that is to stay open is looked at.
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
	is.True(!closedWithin(t, conn, openCheck)) // its next headers may take their time
}

func TestSlowHeadersAreClosed(t *testing.T) {
	is := is.New(t)
	conn := callerConnsServer(t, state.CallerLimits{HeaderTimeout: shortLimit, IdleTimeout: longLimit})
	_, _ = io.WriteString(conn, request[:20]) // it may be closed already
	is.True(closedWithin(t, conn, closeWait))
}

// TestLongRequestsAreKept holds that the limits end no connection while a
// request runs.
func TestLongRequestsAreKept(t *testing.T) {
	is := is.New(t)
	near, far := net.Pipe()
	defer far.Close()
	limits := state.CallerLimits{HeaderTimeout: requestLimit, IdleTimeout: requestLimit}
	conns := newCallerConns(func() state.CallerLimits { return limits })
	conns.onStateChange(near, http.StateNew)
	conns.onStateChange(near, http.StateActive) // its headers are whole
	is.True(!closedWithin(t, far, time.Duration(requestLimit)+openCheck))
	conns.onStateChange(near, http.StateIdle)
	is.True(closedWithin(t, far, closeWait))
}
