package calls

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"jasminegate/internal/logging"
	"jasminegate/internal/transport/callerconn"
)

// syncBuffer is a buffer for concurrent writers.
type syncBuffer struct {
	mu   sync.Mutex
	data bytes.Buffer
}

// Write implements io.Writer.
func (b *syncBuffer) Write(data []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.Write(data)
}

// String returns what was written.
func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.String()
}

// serveCallers replaces the node's server for callers by one whose connections are those
// of package callerconn, as in the product.
func (f *fleet) serveCallers(node int) {
	n := f.nodes[node]
	n.callers.Close()
	n.callers = httptest.NewUnstartedServer(n.runner.CallersHandler())
	tracker := callerconn.NewTracker(func() callerconn.Limits { return callerconn.Limits{Header: testTimeout, Idle: testTimeout} })
	tracker.Configure(n.callers.Config)
	n.callers.Listener = tracker.Listen(n.callers.Listener)
	n.callers.Start()
	f.t.Cleanup(n.callers.Close)
}

// TestCutOffCallerLeavesNoTrace checks that a connection that ends while its call runs is
// counted by cause and logged with what distinguishes the causes.
func TestCutOffCallerLeavesNoTrace(t *testing.T) {
	is := is.New(t)
	started := make(chan struct{})
	f := newFleet(t, fleetOptions{nodes: 1}, func(_ http.ResponseWriter, r *http.Request) {
		close(started)
		<-r.Context().Done()
	})
	var log syncBuffer
	runner := f.nodes[0].runner
	runner.cutOffLog = newFailedRequestLog(logging.New(&log, "info", "n-1"))
	f.serveCallers(0)

	conn, err := net.Dial("tcp", f.nodes[0].callers.Listener.Addr().String())
	is.NoErr(err)
	_, err = io.WriteString(conn, "GET /read HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: r-1\r\n\r\n")
	is.NoErr(err)
	<-started
	is.NoErr(conn.(*net.TCPConn).SetLinger(0))
	is.NoErr(conn.Close()) // resets the connection
	f.waitFor("the line is written", func() bool { return strings.Contains(log.String(), "\n") })

	var line struct {
		Event        int
		Cause        string
		Gates        string
		ConnectionMS *int64 `json:"connection_ms"`
		WaitedMS     *int64 `json:"waited_ms"`
		Written      *int64
	}
	is.NoErr(json.Unmarshal([]byte(log.String()), &line))
	is.Equal(line.Event, logging.CallerCutOff.Code)
	is.Equal(line.Cause, string(callerconn.CallerReset))
	is.Equal(line.Gates, "node-0")
	is.True(line.ConnectionMS != nil && *line.ConnectionMS < time.Minute.Milliseconds())
	is.True(line.WaitedMS != nil && line.Written != nil && *line.Written == 0)
	is.Equal(runner.metrics.cutOff[callerconn.CallerReset].Get(), uint64(1))
}

// halfClose sends the request to the first node, closes the sending side and returns the
// response's status and body.
func (f *fleet) halfClose(request string) (int, string) {
	f.t.Helper()
	conn, err := net.Dial("tcp", f.nodes[0].callers.Listener.Addr().String())
	f.is.NoErr(err)
	defer conn.Close()
	f.is.NoErr(conn.SetDeadline(time.Now().Add(testTimeout)))
	_, err = io.WriteString(conn, request)
	f.is.NoErr(err)
	f.is.NoErr(conn.(*net.TCPConn).CloseWrite())
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	f.is.NoErr(err)
	body, err := io.ReadAll(response.Body)
	f.is.NoErr(err)
	return response.StatusCode, string(body)
}

// TestHalfClosedCallerGetsNoResponse closes the sending side after a request whose run takes
// longer than the grace period if it is not idempotent.
func TestHalfClosedCallerGetsNoResponse(t *testing.T) {
	cases := map[string]struct {
		request string
		run     time.Duration
	}{
		"idempotent":                    {"GET /read HTTP/1.1\r\nHost: a.example\r\n\r\n", 100 * time.Millisecond},
		"not idempotent":                {"POST /file HTTP/1.1\r\nHost: a.example\r\nContent-Length: 4\r\n\r\nbody", 2 * inputClosedGrace},
		"not idempotent, chunked body":  {"POST /file HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", 2 * inputClosedGrace},
		"not idempotent, empty request": {"POST /file HTTP/1.1\r\nHost: a.example\r\nContent-Length: 0\r\n\r\n", 0},
	}
	for name, tc := range cases {
		for _, remote := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, remote %v", name, remote), func(t *testing.T) {
				is := is.New(t)
				f := newFleet(t, fleetOptions{nodes: 2, remoteOnly: remote}, func(w http.ResponseWriter, _ *http.Request) {
					time.Sleep(tc.run)
					_, _ = io.WriteString(w, "answer")
				})
				f.serveCallers(0)
				status, body := f.halfClose(tc.request)
				is.Equal(status, http.StatusOK)
				is.Equal(body, "answer")
			})
		}
	}
}

// TestWorkOfCallerThatLeftGoesOn closes the connection while an idempotent call runs. The
// run ends within the 500 ms that the users' platform allows.
func TestWorkOfCallerThatLeftGoesOn(t *testing.T) {
	const bound = 500 * time.Millisecond
	for _, remote := range []bool{false, true} {
		t.Run(fmt.Sprintf("remote %v", remote), func(t *testing.T) {
			is := is.New(t)
			begun, ended := make(chan struct{}), make(chan time.Time, 1)
			f := newFleet(t, fleetOptions{nodes: 2, remoteOnly: remote}, func(_ http.ResponseWriter, r *http.Request) {
				close(begun)
				<-r.Context().Done()
				ended <- time.Now()
			})
			f.serveCallers(0)
			conn, err := net.Dial("tcp", f.nodes[0].callers.Listener.Addr().String())
			is.NoErr(err)
			_, err = io.WriteString(conn, "GET /read HTTP/1.1\r\nHost: a.example\r\n\r\n")
			is.NoErr(err)
			<-begun
			left := time.Now()
			is.NoErr(conn.Close())
			select {
			case at := <-ended:
				is.True(at.Sub(left) < bound)
			case <-time.After(testTimeout):
				t.Fatal("the run goes on")
			}
		})
	}
}

// TestQueuedCallOfCallerThatLeftRuns closes the connection while the call is queued.
func TestQueuedCallOfCallerThatLeftRuns(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	var target seenRequests
	f := newFleet(t, fleetOptions{nodes: 1, slots: 1}, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/read/first" {
			<-release
		}
		target.ServeHTTP(w, r)
	})
	f.serveCallers(0)
	address := f.nodes[0].callers.Listener.Addr().String()
	first := make(chan error, 1)
	go func() {
		response, err := http.Get("http://" + address + "/read/first")
		if err == nil {
			err = response.Body.Close()
		}
		first <- err
	}()
	gate := f.nodes[0].runner.gate
	f.waitFor("the first call runs", func() bool { return gate.load.Load() == 1 })
	conn, err := net.Dial("tcp", address)
	is.NoErr(err)
	_, err = io.WriteString(conn, "POST /file/second HTTP/1.1\r\nHost: a.example\r\nContent-Length: 0\r\n\r\n")
	is.NoErr(err)
	f.waitFor("the second call is queued", func() bool { return gate.queued.Load() == 1 })
	is.NoErr(conn.Close())
	f.waitFor("the second call is cancelled", func() bool { return gate.queued.Load() == 0 })
	close(release)
	is.NoErr(<-first)
	is.Equal(target.seen(), []string{`GET /read/first "" <nil>`})
}
