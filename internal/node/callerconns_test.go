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
	server.Config.ConnState = newCallerConns(func() state.CallerLimits { return limits }).follow
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
	longLimit  = state.Duration(time.Minute)
	// untilClosed is how long a close is waited for, and keptOpen how long a
	// connection that is to stay open is looked at.
	untilClosed = 20 * time.Second
	keptOpen    = 300 * time.Millisecond
	request     = "GET / HTTP/1.1\r\nHost: a.example\r\n\r\n"
)

func TestIdleCallersAreClosed(t *testing.T) {
	is := is.New(t)
	conn := callerConnsServer(t, state.CallerLimits{HeaderTimeout: shortLimit, IdleTimeout: shortLimit})
	_, err := io.WriteString(conn, request)
	is.NoErr(err)
	is.True(closedWithin(t, conn, untilClosed))
}

func TestIdleCallersAreKeptWithinTheirLimit(t *testing.T) {
	is := is.New(t)
	conn := callerConnsServer(t, state.CallerLimits{HeaderTimeout: shortLimit, IdleTimeout: longLimit})
	_, err := io.WriteString(conn, request)
	is.NoErr(err)
	is.True(!closedWithin(t, conn, keptOpen))
}

func TestSlowHeadersAreClosed(t *testing.T) {
	is := is.New(t)
	conn := callerConnsServer(t, state.CallerLimits{HeaderTimeout: shortLimit, IdleTimeout: longLimit})
	_, err := io.WriteString(conn, request[:20])
	is.NoErr(err)
	is.True(closedWithin(t, conn, untilClosed))
}

// TestLongRequestsAreKept holds that the limits end no connection while a
// request runs.
func TestLongRequestsAreKept(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		<-release
		_, _ = io.WriteString(w, "answer")
	}))
	limits := state.CallerLimits{HeaderTimeout: shortLimit, IdleTimeout: shortLimit}
	server.Config.ConnState = newCallerConns(func() state.CallerLimits { return limits }).follow
	server.Start()
	defer server.Close()
	time.AfterFunc(keptOpen, func() { close(release) })
	response, err := http.Get(server.URL)
	is.NoErr(err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	is.NoErr(err)
	is.Equal(string(body), "answer")
}
