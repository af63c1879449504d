package relay_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"jasminegate/internal/standin/relay"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	// readTimeout limits the duration of a read that would otherwise block a
	// test.
	readTimeout = 30 * time.Second
	// silencePeriod is how long a test waits for bytes that must not arrive.
	silencePeriod = 50 * time.Millisecond
)

// echoServer sends back the bytes that it receives.
type echoServer struct {
	net.Listener
	conns sync.WaitGroup
}

func startEcho(t *testing.T) *echoServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	e := &echoServer{Listener: listener}
	e.conns.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			e.conns.Go(func() {
				defer conn.Close()
				io.Copy(conn, conn)
			})
		}
	})
	return e
}

// fixture is a relay in front of an echo server.
type fixture struct {
	*is.I
	t     *testing.T
	relay *relay.Relay
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{I: is.New(t), t: t}
	echo := startEcho(t)
	r, err := relay.Start("127.0.0.1:0", echo.Addr().String(), relay.Options{})
	f.NoErr(err)
	f.relay = r
	t.Cleanup(func() {
		r.Close()
		echo.Close()
		echo.conns.Wait()
	})
	return f
}

func (f *fixture) dial() net.Conn {
	f.Helper()
	conn, err := net.Dial("tcp", f.relay.Address())
	f.NoErr(err)
	f.t.Cleanup(func() { conn.Close() })
	return conn
}

// expectEcho sends a line and expects the echo.
func (f *fixture) expectEcho(conn net.Conn) {
	f.Helper()
	_, err := io.WriteString(conn, "hello\n")
	f.NoErr(err)
	conn.SetReadDeadline(time.Now().Add(readTimeout))
	line, err := bufio.NewReader(conn).ReadString('\n')
	f.NoErr(err)
	f.Equal(line, "hello\n")
}

// expectDropped sends a line and expects no bytes and no close.
func (f *fixture) expectDropped(conn net.Conn) {
	f.Helper()
	_, err := io.WriteString(conn, "hello\n")
	f.NoErr(err)
	f.expectSilence(conn)
}

// expectSilence expects neither bytes nor a close.
func (f *fixture) expectSilence(conn net.Conn) {
	f.Helper()
	conn.SetReadDeadline(time.Now().Add(silencePeriod))
	_, err := conn.Read(make([]byte, 1))
	var timeout net.Error
	f.True(errors.As(err, &timeout) && timeout.Timeout())
}

// expectClosed expects the connection to be closed.
func (f *fixture) expectClosed(conn net.Conn) {
	f.Helper()
	conn.SetReadDeadline(time.Now().Add(readTimeout))
	_, err := conn.Read(make([]byte, 1))
	var timeout net.Error
	f.True(err != nil && !(errors.As(err, &timeout) && timeout.Timeout()))
}

// expectRefused expects a new connection to be reset, either during the dial or
// at the first read.
func (f *fixture) expectRefused() {
	f.Helper()
	conn, err := net.Dial("tcp", f.relay.Address())
	if err != nil {
		f.True(errors.Is(err, syscall.ECONNRESET))
		return
	}
	defer conn.Close()
	f.expectClosed(conn)
}

func TestModes(t *testing.T) {
	cases := map[string]func(f *fixture){
		"pass forwards each direction's close": func(f *fixture) {
			conn := f.dial()
			f.expectEcho(conn)
			conn.(*net.TCPConn).CloseWrite()
			_, err := conn.Read(make([]byte, 1))
			f.Equal(err, io.EOF) // the echo server's close is forwarded
		},
		"refuse resets open and new connections": func(f *fixture) {
			old := f.dial()
			f.expectEcho(old)
			f.NoErr(f.relay.SetMode(relay.Mode{Kind: relay.Refuse}))
			f.expectClosed(old)
			f.expectRefused()
			f.NoErr(f.relay.SetMode(relay.Mode{}))
			f.expectEcho(f.dial())
		},
		"silent drops bytes on open connections only": func(f *fixture) {
			old := f.dial()
			f.expectEcho(old)
			f.NoErr(f.relay.SetMode(relay.Mode{Kind: relay.Silent}))
			f.expectDropped(old)
			f.expectEcho(f.dial())
			f.NoErr(f.relay.SetMode(relay.Mode{}))
			f.expectDropped(old) // not restored
			old.(*net.TCPConn).CloseWrite()
			f.expectSilence(old) // the close is not forwarded
			f.True(f.relay.Stats().DroppedBytes > 0)
		},
		"silent with hang_new drops bytes on new connections": func(f *fixture) {
			f.NoErr(f.relay.SetMode(relay.Mode{Kind: relay.Silent, SilenceNew: true}))
			hung := f.dial()
			f.expectDropped(hung)
			f.NoErr(f.relay.SetMode(relay.Mode{}))
			f.expectDropped(hung)
			f.expectEcho(f.dial())
		},
		"delay applies in each direction": func(f *fixture) {
			conn := f.dial()
			f.expectEcho(conn)
			f.NoErr(f.relay.SetMode(relay.Mode{DelayMS: 20}))
			start := time.Now()
			f.expectEcho(conn)
			f.True(time.Since(start) >= 40*time.Millisecond)
		},
		"modes are set by HTTP": func(f *fixture) {
			control := httptest.NewServer(f.relay.Handler())
			defer control.Close()
			for body, status := range map[string]int{
				`{"kind":"refuse"}`:   http.StatusOK,
				`{"kind":"shout"}`:    http.StatusBadRequest,
				`{"delay_ms":-1}`:     http.StatusBadRequest,
				`{"unknown":"field`:   http.StatusBadRequest,
				`{"mood":"cheerful"}`: http.StatusBadRequest,
			} {
				response, err := http.Post(control.URL+"/mode", "application/json", strings.NewReader(body))
				f.NoErr(err)
				response.Body.Close()
				f.Equal(response.StatusCode, status)
			}
			f.Equal(f.relay.Mode("").Kind, relay.Refuse)
			http.DefaultClient.CloseIdleConnections()
		},
	}
	for name, run := range cases {
		t.Run(name, func(t *testing.T) { run(newFixture(t)) })
	}
}

func TestOriginsHaveSeparateModes(t *testing.T) {
	is := is.New(t)
	echo := startEcho(t)
	var accepted atomic.Int64
	classify := func(net.Conn) string {
		if accepted.Add(1) == 1 {
			return "first"
		}
		return "second"
	}
	r, err := relay.Start("127.0.0.1:0", echo.Addr().String(), relay.Options{Classify: classify})
	is.NoErr(err)
	f := &fixture{I: is, t: t, relay: r}
	defer func() {
		r.Close()
		echo.Close()
		echo.conns.Wait()
	}()
	firstConn := f.dial()
	f.expectEcho(firstConn)
	secondConn := f.dial()
	f.expectEcho(secondConn)
	is.NoErr(r.SetOriginMode("first", relay.Mode{Kind: relay.Refuse}))
	f.expectClosed(firstConn)
	f.expectEcho(secondConn)
}
