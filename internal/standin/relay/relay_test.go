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
	// safetyNet bounds a test that would otherwise hang.
	safetyNet = 30 * time.Second
	// silence is how long a test listens for bytes that must not come.
	silence = 50 * time.Millisecond
)

// echoServer sends back each line that it gets.
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

// fixture is a relay before an echo server.
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

// answers sends a line and expects it back.
func (f *fixture) answers(conn net.Conn) {
	f.Helper()
	_, err := io.WriteString(conn, "hello\n")
	f.NoErr(err)
	conn.SetReadDeadline(time.Now().Add(safetyNet))
	line, err := bufio.NewReader(conn).ReadString('\n')
	f.NoErr(err)
	f.Equal(line, "hello\n")
}

func (f *fixture) isSilent(conn net.Conn) {
	f.Helper()
	_, err := io.WriteString(conn, "hello\n")
	f.NoErr(err)
	f.hearsNothing(conn)
}

// hearsNothing expects neither bytes nor an end.
func (f *fixture) hearsNothing(conn net.Conn) {
	f.Helper()
	conn.SetReadDeadline(time.Now().Add(silence))
	_, err := conn.Read(make([]byte, 1))
	var timeout net.Error
	f.True(errors.As(err, &timeout) && timeout.Timeout())
}

func (f *fixture) isReset(conn net.Conn) {
	f.Helper()
	conn.SetReadDeadline(time.Now().Add(safetyNet))
	_, err := conn.Read(make([]byte, 1))
	var timeout net.Error
	f.True(err != nil && !(errors.As(err, &timeout) && timeout.Timeout()))
}

// isRefused expects a new connection to be reset, whether the dial sees it
// already or the first read does.
func (f *fixture) isRefused() {
	f.Helper()
	conn, err := net.Dial("tcp", f.relay.Address())
	if err != nil {
		f.True(errors.Is(err, syscall.ECONNRESET))
		return
	}
	defer conn.Close()
	f.isReset(conn)
}

func TestModes(t *testing.T) {
	cases := map[string]func(f *fixture){
		"pass, end by end": func(f *fixture) {
			conn := f.dial()
			f.answers(conn)
			conn.(*net.TCPConn).CloseWrite()
			_, err := conn.Read(make([]byte, 1))
			f.Equal(err, io.EOF) // the far end's close comes back
		},
		"refuse resets old and new": func(f *fixture) {
			old := f.dial()
			f.answers(old)
			f.NoErr(f.relay.SetMode(relay.Mode{Kind: relay.Refuse}))
			f.isReset(old)
			f.isRefused()
			f.NoErr(f.relay.SetMode(relay.Mode{}))
			f.answers(f.dial())
		},
		"silent old, working new": func(f *fixture) {
			old := f.dial()
			f.answers(old)
			f.NoErr(f.relay.SetMode(relay.Mode{Kind: relay.Silent}))
			f.isSilent(old)
			f.answers(f.dial())
			f.NoErr(f.relay.SetMode(relay.Mode{}))
			f.isSilent(old) // for good
			old.(*net.TCPConn).CloseWrite()
			f.hearsNothing(old) // the far end is not told
			f.True(f.relay.Stats().DroppedBytes > 0)
		},
		"silent old and new": func(f *fixture) {
			f.NoErr(f.relay.SetMode(relay.Mode{Kind: relay.Silent, HangNew: true}))
			hung := f.dial()
			f.isSilent(hung)
			f.NoErr(f.relay.SetMode(relay.Mode{}))
			f.isSilent(hung)
			f.answers(f.dial())
		},
		"delay applies each way": func(f *fixture) {
			conn := f.dial()
			f.answers(conn)
			f.NoErr(f.relay.SetMode(relay.Mode{DelayMS: 20}))
			start := time.Now()
			f.answers(conn)
			f.True(time.Since(start) >= 40*time.Millisecond)
		},
		"modes by HTTP": func(f *fixture) {
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

func TestOriginsAreApart(t *testing.T) {
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
	f.answers(firstConn)
	secondConn := f.dial()
	f.answers(secondConn)
	is.NoErr(r.SetOriginMode("first", relay.Mode{Kind: relay.Refuse}))
	f.isReset(firstConn)
	f.answers(secondConn)
}
