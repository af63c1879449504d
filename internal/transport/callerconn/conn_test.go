package callerconn

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// testServer is a server whose connections belong to a tracker.
type testServer struct {
	*httptest.Server
	tracker *Tracker
}

// answer is a handler that responds at once.
func answer(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "answer") }

// answerIfConnected is a handler that closes the connection if its context has ended.
func answerIfConnected(w http.ResponseWriter, r *http.Request) {
	if r.Context().Err() != nil {
		panic(http.ErrAbortHandler)
	}
	answer(w, r)
}

func startServer(t *testing.T, limits func() Limits, handler http.HandlerFunc) *testServer {
	t.Helper()
	return startTracked(t, NewTracker(limits), handler)
}

// startTracked starts a server whose connections belong to the tracker.
func startTracked(t *testing.T, tracker *Tracker, handler http.HandlerFunc) *testServer {
	t.Helper()
	server := httptest.NewUnstartedServer(handler)
	tracker.Configure(server.Config)
	server.Listener = tracker.Listen(server.Listener)
	server.Start()
	t.Cleanup(server.Close)
	return &testServer{server, tracker}
}

func (s *testServer) dial(t *testing.T) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", s.Listener.Addr().String())
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// dialLimited starts a server with the limits and returns a connection to it.
func dialLimited(t *testing.T, limits Limits) net.Conn {
	t.Helper()
	return startServer(t, func() Limits { return limits }, answer).dial(t)
}

// send writes a request and returns the status of its response.
func send(conn net.Conn) (int, error) {
	if _, err := io.WriteString(conn, request); err != nil {
		return 0, err
	}
	return readStatus(conn)
}

// readStatus reads one response to its end and returns its status.
func readStatus(conn net.Conn) (int, error) {
	if err := conn.SetReadDeadline(time.Now().Add(closeWait)); err != nil {
		return 0, err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
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
	shortLimit = 50 * time.Millisecond
	// requestLimit is enough for a request on loopback on a loaded machine.
	requestLimit = 2 * time.Second
	longLimit    = time.Minute
	// closeWait bounds the wait for a close. openCheck is how long a connection
	// must stay open to pass as kept.
	closeWait = 20 * time.Second
	openCheck = 300 * time.Millisecond
	request   = "GET / HTTP/1.1\r\nHost: a.example\r\n\r\n"
)

func TestIdleCallersAreClosed(t *testing.T) {
	is := is.New(t)
	conn := dialLimited(t, Limits{Header: requestLimit, Idle: shortLimit})
	_, err := io.WriteString(conn, request)
	is.NoErr(err)
	is.True(closedWithin(t, conn, closeWait))
}

func TestIdleCallersAreKeptWithinTheirLimit(t *testing.T) {
	is := is.New(t)
	conn := dialLimited(t, Limits{Header: longLimit, Idle: shortLimit})
	_, err := io.WriteString(conn, request)
	is.NoErr(err)
	is.True(!closedWithin(t, conn, openCheck)) // closes only after idle plus header timeout
}

func TestSlowHeadersAreClosed(t *testing.T) {
	is := is.New(t)
	conn := dialLimited(t, Limits{Header: shortLimit, Idle: longLimit})
	_, _ = io.WriteString(conn, request[:20]) // the server may have closed the connection already
	is.True(closedWithin(t, conn, closeWait))
}

// TestTricklingHeadersAreClosed sends a header byte by byte for longer than the limit.
func TestTricklingHeadersAreClosed(t *testing.T) {
	is := is.New(t)
	conn := dialLimited(t, Limits{Header: shortLimit, Idle: longLimit})
	is.NoErr(conn.SetWriteDeadline(time.Now().Add(closeWait)))
	begun := time.Now()
	for time.Since(begun) < closeWait {
		if _, err := io.WriteString(conn, "G"); err != nil {
			return // closed
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("the connection is still open")
}

// TestLongRequestsAreKept checks that the limits close no connection while a
// request runs.
func TestLongRequestsAreKept(t *testing.T) {
	is := is.New(t)
	limits := Limits{Header: requestLimit, Idle: requestLimit}
	release := make(chan struct{})
	conn := startServer(t, func() Limits { return limits }, func(w http.ResponseWriter, r *http.Request) {
		<-release
		answer(w, r)
	}).dial(t)
	_, err := io.WriteString(conn, request)
	is.NoErr(err)
	is.True(!closedWithin(t, conn, 2*requestLimit+openCheck))
	close(release)
	is.True(closedWithin(t, conn, closeWait))
}

// TestIdleCloseCutsOffRunningRequest sends requests at the instant at which the idle
// connection is closed. One may get no response only if it is not served.
func TestIdleCloseCutsOffRunningRequest(t *testing.T) {
	const conns, rounds = 50, 20
	limits := Limits{Header: 20 * time.Millisecond, Idle: 30 * time.Millisecond}
	var served, answered atomic.Int64
	server := startServer(t, func() Limits { return limits }, func(w http.ResponseWriter, r *http.Request) {
		served.Add(1)
		time.Sleep(5 * time.Millisecond)
		answerIfConnected(w, r)
	})
	var callers sync.WaitGroup
	for i := range conns {
		callers.Go(func() {
			for round := range rounds {
				conn, err := net.Dial("tcp", server.Listener.Addr().String())
				if err != nil {
					t.Error(err)
					return
				}
				for range 2 {
					if _, err := send(conn); err == nil {
						answered.Add(1)
					}
					offset := time.Duration((i*rounds+round)%13-6) * 50 * time.Microsecond
					time.Sleep(limits.Header + limits.Idle + offset)
				}
				_ = conn.Close()
			}
		})
	}
	callers.Wait()
	if lost := served.Load() - answered.Load(); lost != 0 {
		t.Errorf("%d of %d requests were served and got no response", lost, served.Load())
	}
}

// TestRaisedIdleLimitClosesAtTheOldOne raises the limits while a connection is idle.
func TestRaisedIdleLimitClosesAtTheOldOne(t *testing.T) {
	is := is.New(t)
	var limits atomic.Pointer[Limits]
	limits.Store(&Limits{Header: shortLimit, Idle: shortLimit})
	conn := startServer(t, func() Limits { return *limits.Load() }, func(w http.ResponseWriter, r *http.Request) {
		answer(w, r)
		// The wait for the next request begins with the limits as they were.
		time.AfterFunc(shortLimit/2, func() { limits.Store(&Limits{Header: longLimit, Idle: longLimit}) })
	}).dial(t)
	_, err := send(conn)
	is.NoErr(err)
	is.True(!closedWithin(t, conn, openCheck))
	status, err := send(conn)
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
}

// TestRequestThatArrivedInTimeIsDropped stalls the server until the limit has passed, as a
// process without processor time is, while the request has arrived.
func TestRequestThatArrivedInTimeIsDropped(t *testing.T) {
	is := is.New(t)
	var stalled atomic.Bool
	arrived := make(chan struct{})
	server := startServer(t, func() Limits {
		if stalled.Load() {
			<-arrived
		}
		return Limits{Header: time.Nanosecond, Idle: time.Nanosecond}
	}, func(w http.ResponseWriter, r *http.Request) { answer(w, r) })
	stalled.Store(true)
	conn := server.dial(t)
	_, err := io.WriteString(conn, request)
	is.NoErr(err)
	time.AfterFunc(openCheck, func() { close(arrived) })
	status, err := readStatus(conn)
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
}

// TestHalfCloseEndsRequest closes the sending side while the request is served.
func TestHalfCloseEndsRequest(t *testing.T) {
	is := is.New(t)
	closed := make(chan struct{})
	conn := startServer(t, func() Limits { return Limits{Header: longLimit, Idle: longLimit} }, func(w http.ResponseWriter, r *http.Request) {
		conn := FromContext(r.Context())
		conn.RequestRead()
		conn.OnInputClosed(func() { close(closed) })
		<-closed
		time.Sleep(openCheck)
		answerIfConnected(w, r)
	}).dial(t)
	_, err := io.WriteString(conn, request)
	is.NoErr(err)
	is.NoErr(conn.(*net.TCPConn).CloseWrite())
	status, err := readStatus(conn)
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
	is.True(closedWithin(t, conn, closeWait)) // no further request can come
}

// TestResetEndsRequest resets the connection while the request is served.
func TestResetEndsRequest(t *testing.T) {
	is := is.New(t)
	begun, ended := make(chan struct{}), make(chan Cause, 1)
	conn := startServer(t, func() Limits { return Limits{Header: longLimit, Idle: longLimit} }, func(_ http.ResponseWriter, r *http.Request) {
		close(begun)
		<-r.Context().Done()
		ended <- FromContext(r.Context()).Describe().Cause
	}).dial(t)
	_, err := io.WriteString(conn, request)
	is.NoErr(err)
	<-begun
	is.NoErr(conn.(*net.TCPConn).SetLinger(0))
	is.NoErr(conn.Close())
	select {
	case cause := <-ended:
		is.Equal(cause, CallerReset)
	case <-time.After(closeWait):
		t.Fatal("the request still runs")
	}
}

// TestBodyDeadlineEndsRequest lets a read deadline for a body expire after the body.
func TestBodyDeadlineEndsRequest(t *testing.T) {
	is := is.New(t)
	conn := startServer(t, func() Limits { return Limits{Header: longLimit, Idle: longLimit} }, func(w http.ResponseWriter, r *http.Request) {
		FromContext(r.Context()).RequestRead()
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(shortLimit))
		time.Sleep(2 * shortLimit)
		answerIfConnected(w, r)
	}).dial(t)
	for range 2 {
		status, err := send(conn)
		is.NoErr(err)
		is.Equal(status, http.StatusOK)
	}
}

// TestDrainCutsOffRequests drains the server while callers send. Each request that was sent
// before is answered; a later one is answered or not served.
func TestDrainCutsOffRequests(t *testing.T) {
	is := is.New(t)
	const conns = 50
	var served, answered, cutOff atomic.Int64
	var draining atomic.Bool
	server := startServer(t, func() Limits { return Limits{Header: longLimit, Idle: longLimit} }, func(w http.ResponseWriter, r *http.Request) {
		served.Add(1)
		if draining.Load() {
			w.Header().Set("Connection", "close")
		}
		time.Sleep(5 * time.Millisecond)
		answer(w, r)
	})
	var callers sync.WaitGroup
	for range conns {
		conn := server.dial(t)
		callers.Go(func() {
			for {
				_, writeErr := io.WriteString(conn, request)
				sentBefore := writeErr == nil && !draining.Load()
				if _, err := readStatus(conn); err != nil {
					if sentBefore {
						cutOff.Add(1)
					}
					return
				}
				answered.Add(1)
			}
		})
	}
	idle, silent := server.dial(t), server.dial(t)
	_, err := send(idle)
	is.NoErr(err)
	answered.Add(1)
	time.Sleep(openCheck)
	draining.Store(true)
	is.NoErr(server.Listener.Close())
	ctx, cancel := context.WithTimeout(context.Background(), closeWait)
	defer cancel()
	is.NoErr(server.tracker.Drain(ctx))
	callers.Wait()
	is.Equal(served.Load(), answered.Load())
	is.Equal(cutOff.Load(), int64(0))
	is.True(closedWithin(t, idle, closeWait))
	is.True(closedWithin(t, silent, closeWait))
}

// TestIncompleteBodyIsHeld closes the sending side within a body, where the server reads a
// single byte: 4,095 bytes of a chunk's line fill its buffer but for one.
func TestIncompleteBodyIsHeld(t *testing.T) {
	is := is.New(t)
	ended := make(chan error, 1)
	conn := startServer(t, func() Limits { return Limits{Header: longLimit, Idle: longLimit} }, func(_ http.ResponseWriter, r *http.Request) {
		_, err := io.Copy(io.Discard, r.Body)
		ended <- err
	}).dial(t)
	const head = "POST / HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n"
	_, err := io.WriteString(conn, head)
	is.NoErr(err)
	_, err = io.WriteString(conn, "4;"+strings.Repeat("x", 4093))
	is.NoErr(err)
	is.NoErr(conn.(*net.TCPConn).CloseWrite())
	select {
	case err := <-ended:
		is.True(err != nil)
	case <-time.After(closeWait):
		t.Fatal("the body is still read")
	}
}

// TestPartOfHeaderHoldsDrain drains a server one of whose callers has sent a part of a header.
func TestPartOfHeaderHoldsDrain(t *testing.T) {
	is := is.New(t)
	server := startServer(t, func() Limits { return Limits{Header: longLimit, Idle: longLimit} }, answer)
	conn := server.dial(t)
	_, err := io.WriteString(conn, request[:20])
	is.NoErr(err)
	time.Sleep(openCheck)
	is.NoErr(server.Listener.Close())
	ctx, cancel := context.WithTimeout(context.Background(), closeWait)
	defer cancel()
	is.NoErr(server.tracker.Drain(ctx))
}

// endedConn is a connection whose input has ended.
type endedConn struct{ net.Conn }

func (endedConn) Read([]byte) (int, error)        { return 0, io.EOF }
func (endedConn) SetReadDeadline(time.Time) error { return nil }
func (endedConn) Close() error                    { return nil }

// TestReadOfClosedConnectionHangs closes a connection before the end of its input is found.
func TestReadOfClosedConnectionHangs(t *testing.T) {
	is := is.New(t)
	c := NewTracker(func() Limits { return Limits{Header: longLimit, Idle: longLimit} }).add(endedConn{})
	c.onStateChange(http.StateActive)
	c.RequestRead()
	is.NoErr(c.Close())
	_, err := c.Read(make([]byte, disconnectReadBytes))
	is.True(errors.Is(err, net.ErrClosed))
}
