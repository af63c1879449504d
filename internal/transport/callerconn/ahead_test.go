package callerconn

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// pathRequest returns a request for the path.
func pathRequest(path string) string {
	return "GET " + path + " HTTP/1.1\r\nHost: a.example\r\n\r\n"
}

// startedRequest records what happened to a request that was started before its turn.
type startedRequest struct {
	path                   string
	arrivedAt              time.Time
	cancelled, inputClosed chan struct{}
}

func (s *startedRequest) Cancel()      { close(s.cancelled) }
func (s *startedRequest) InputClosed() { close(s.inputClosed) }

// aheadServer is a server that starts requests before their turn. Its responses are the paths;
// each one waits for a value of release.
type aheadServer struct {
	*testServer
	release chan struct{}

	mu      sync.Mutex
	started []*startedRequest
	// closing makes the responses close their connections.
	closing bool
}

func startAheadServer(t *testing.T, limits Limits) *aheadServer {
	s := &aheadServer{release: make(chan struct{}, 100)}
	s.testServer = startServer(t, func() Limits { return limits }, s.serve)
	return s
}

func (s *aheadServer) start(request *http.Request, arrivedAt time.Time) Started {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing {
		return nil
	}
	s.started = append(s.started, &startedRequest{request.URL.Path, arrivedAt, make(chan struct{}), make(chan struct{})})
	return s.started[len(s.started)-1]
}

func (s *aheadServer) serve(w http.ResponseWriter, r *http.Request) {
	conn := FromContext(r.Context())
	conn.RequestRead()
	if started, ok := conn.Started().(*startedRequest); ok && started.path != r.URL.Path {
		panic("another request was started: " + started.path + ", not " + r.URL.Path)
	}
	conn.StartAhead(s.start)
	<-s.release
	s.mu.Lock()
	closing := s.closing
	s.mu.Unlock()
	if closing && conn.AnnounceClose() {
		w.Header().Set("Connection", "close")
	}
	_, _ = io.WriteString(w, r.URL.Path)
}

// startedPaths waits until n requests were started, and returns their paths.
func (s *aheadServer) startedPaths(t *testing.T, n int) []string {
	t.Helper()
	for begun := time.Now(); ; time.Sleep(time.Millisecond) {
		s.mu.Lock()
		var paths []string
		for _, started := range s.started {
			paths = append(paths, started.path)
		}
		s.mu.Unlock()
		if len(paths) >= n {
			return paths
		}
		if time.Since(begun) > closeWait {
			t.Fatalf("started are %v, want %d", paths, n)
		}
	}
}

// readPath returns the body of the next response.
func readPath(is *is.I, responses *bufio.Reader) string {
	is.Helper()
	response, err := http.ReadResponse(responses, nil)
	is.NoErr(err)
	body, err := io.ReadAll(response.Body)
	is.NoErr(err)
	return string(body)
}

// TestRequestsAreStartedBeforeTheirTurn sends requests in parts behind one that is served.
func TestRequestsAreStartedBeforeTheirTurn(t *testing.T) {
	is := is.New(t)
	s := startAheadServer(t, Limits{Header: longLimit, Idle: longLimit})
	conn := s.dial(t)
	responses := bufio.NewReader(conn)
	send := func(text string) {
		_, err := io.WriteString(conn, text)
		is.NoErr(err)
	}
	send(pathRequest("/0") + pathRequest("/1") + pathRequest("/2")[:20])
	is.Equal(s.startedPaths(t, 1), []string{"/1"})
	time.Sleep(openCheck)
	sentAt := time.Now()
	send(pathRequest("/2")[20:])
	is.Equal(s.startedPaths(t, 2), []string{"/1", "/2"})
	is.True(!s.started[1].arrivedAt.Before(sentAt))
	s.release <- struct{}{}
	is.Equal(readPath(is, responses), "/0")
	send(pathRequest("/3"))
	is.Equal(s.startedPaths(t, 3), []string{"/1", "/2", "/3"})
	for i := range 3 {
		s.release <- struct{}{}
		is.Equal(readPath(is, responses), fmt.Sprint("/", i+1))
	}
}

// TestCloseCancelsStartedRequests resets a connection with requests that wait for their turn.
func TestCloseCancelsStartedRequests(t *testing.T) {
	is := is.New(t)
	s := startAheadServer(t, Limits{Header: longLimit, Idle: longLimit})
	conn := s.dial(t)
	_, err := io.WriteString(conn, pathRequest("/0")+pathRequest("/1"))
	is.NoErr(err)
	s.startedPaths(t, 1)
	is.NoErr(conn.(*net.TCPConn).SetLinger(0))
	is.NoErr(conn.Close())
	s.release <- struct{}{}
	select {
	case <-s.started[0].cancelled:
	case <-time.After(closeWait):
		t.Fatal("the request was not cancelled")
	}
}

// TestHalfCloseIsReportedToStartedRequests closes the sending side behind a request that waits
// for its turn.
func TestHalfCloseIsReportedToStartedRequests(t *testing.T) {
	is := is.New(t)
	s := startAheadServer(t, Limits{Header: longLimit, Idle: longLimit})
	conn := s.dial(t)
	responses := bufio.NewReader(conn)
	_, err := io.WriteString(conn, pathRequest("/0")+pathRequest("/1"))
	is.NoErr(err)
	is.NoErr(conn.(*net.TCPConn).CloseWrite())
	s.startedPaths(t, 1)
	select {
	case <-s.started[0].inputClosed:
	case <-time.After(closeWait):
		t.Fatal("the half-close was not reported")
	}
	s.release <- struct{}{}
	s.release <- struct{}{}
	is.Equal(readPath(is, responses), "/0")
	is.Equal(readPath(is, responses), "/1")
	is.True(closedWithin(t, conn, closeWait))
}

// TestPipelinedBytesAreBounded sends more requests than are kept. All are answered.
func TestPipelinedBytesAreBounded(t *testing.T) {
	is := is.New(t)
	s := startAheadServer(t, Limits{Header: longLimit, Idle: longLimit})
	conn := s.dial(t)
	const sent = 2000
	go func() {
		for i := range sent {
			_, _ = io.WriteString(conn, pathRequest(fmt.Sprint("/", i)))
		}
	}()
	s.startedPaths(t, maxAhead)
	time.Sleep(openCheck)
	is.Equal(len(s.startedPaths(t, maxAhead)), maxAhead)
	s.tracker.mu.Lock()
	for c := range s.tracker.conns {
		is.True(c.pendingBytes() <= maxPendingBytes+aheadReadBytes)
	}
	s.tracker.mu.Unlock()
	close(s.release)
	responses := bufio.NewReader(conn)
	for i := range sent {
		is.Equal(readPath(is, responses), fmt.Sprint("/", i))
	}
}

// TestPartOfPipelinedHeaderIsClosed sends a part of a request behind one that is served. The
// time limit of its header runs from its turn on.
func TestPartOfPipelinedHeaderIsClosed(t *testing.T) {
	is := is.New(t)
	s := startAheadServer(t, Limits{Header: shortLimit, Idle: longLimit})
	conn := s.dial(t)
	_, err := io.WriteString(conn, pathRequest("/0")+pathRequest("/1")[:20])
	is.NoErr(err)
	is.True(!closedWithin(t, conn, openCheck))
	s.release <- struct{}{}
	is.True(closedWithin(t, conn, closeWait))
}

// TestIdleLimitAfterPipelinedRequests lets a connection stay idle after them.
func TestIdleLimitAfterPipelinedRequests(t *testing.T) {
	is := is.New(t)
	s := startAheadServer(t, Limits{Header: shortLimit, Idle: shortLimit})
	conn := s.dial(t)
	_, err := io.WriteString(conn, pathRequest("/0")+pathRequest("/1"))
	is.NoErr(err)
	s.release <- struct{}{}
	s.release <- struct{}{}
	is.True(closedWithin(t, conn, closeWait))
}

// TestLastResponseIsResetByUnreadRequests sends more requests than the server reads, and lets it
// close the connection. The caller gets the responses and the end of the connection.
func TestLastResponseIsResetByUnreadRequests(t *testing.T) {
	is := is.New(t)
	s := startAheadServer(t, Limits{Header: longLimit, Idle: longLimit})
	conn := s.dial(t)
	_, err := io.WriteString(conn, pathRequest("/0")+pathRequest("/1"))
	is.NoErr(err)
	s.startedPaths(t, 1)
	s.mu.Lock()
	s.closing = true
	s.mu.Unlock()
	go func() { _, _ = io.WriteString(conn, strings.Repeat(pathRequest("/unread"), 1000)) }()
	time.Sleep(openCheck)
	is.NoErr(s.Listener.Close())
	drained := make(chan error, 1)
	ctx, cancel := context.WithTimeout(context.Background(), closeWait)
	defer cancel()
	go func() { drained <- s.tracker.Drain(ctx) }()
	s.release <- struct{}{}
	s.release <- struct{}{}
	responses := bufio.NewReader(conn)
	is.Equal(readPath(is, responses), "/0")
	is.Equal(readPath(is, responses), "/1")
	_, err = responses.ReadByte()
	is.Equal(err, io.EOF)
	is.NoErr(conn.Close())
	is.NoErr(<-drained)
	is.Equal(len(s.startedPaths(t, 1)), 1)
}

// BenchmarkRequest measures one request on a kept connection, with none behind it.
func BenchmarkRequest(b *testing.B) {
	is := is.New(b)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	tracker := NewTracker(func() Limits { return Limits{Header: longLimit, Idle: longLimit} })
	server := &http.Server{Handler: http.HandlerFunc(answer)}
	tracker.Configure(server)
	go func() { _ = server.Serve(tracker.Listen(listener)) }()
	defer server.Close()
	conn, err := net.Dial("tcp", listener.Addr().String())
	is.NoErr(err)
	defer conn.Close()
	responses := bufio.NewReader(conn)
	b.ReportAllocs()
	for b.Loop() {
		_, err := io.WriteString(conn, request)
		is.NoErr(err)
		response, err := http.ReadResponse(responses, nil)
		is.NoErr(err)
		_, _ = io.Copy(io.Discard, response.Body)
	}
}
