package calls

import (
	"bytes"
	"encoding/json"
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
	runner.failedLog = newFailedRequestLog(logging.New(&log, "info", "n-1"))
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
