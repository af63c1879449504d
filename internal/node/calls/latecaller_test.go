package calls

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"jasminegate/internal/protocol/headers"
	"jasminegate/internal/transport/callerconn"
)

// lateListener accepts connections only once it is released: what callers send waits in the
// sockets' buffers, as at a node that stands still.
type lateListener struct {
	net.Listener
	released chan struct{}
}

// Accept implements net.Listener.
func (l lateListener) Accept() (net.Conn, error) {
	<-l.released
	return l.Listener.Accept()
}

// serveCallersLate is serveCallers for a node that reads nothing before release is called.
func (f *fleet) serveCallersLate(node int) (release func()) {
	n := f.nodes[node]
	n.callers.Close()
	n.callers = httptest.NewUnstartedServer(n.runner.CallersHandler())
	tracker := callerconn.NewTracker(func() callerconn.Limits { return callerconn.Limits{Header: testTimeout, Idle: testTimeout} })
	tracker.Configure(n.callers.Config)
	late := lateListener{Listener: n.callers.Listener, released: make(chan struct{})}
	n.callers.Listener = tracker.Listen(late)
	n.callers.Start()
	f.t.Cleanup(n.callers.Close)
	return func() { close(late.released) }
}

// sendRaw sends the request to the first node over a new connection.
func (f *fleet) sendRaw(request string) *net.TCPConn {
	conn, err := net.Dial("tcp", f.nodes[0].callers.Listener.Addr().String())
	f.is.NoErr(err)
	f.t.Cleanup(func() { _ = conn.Close() })
	_, err = io.WriteString(conn, request)
	f.is.NoErr(err)
	return conn.(*net.TCPConn)
}

// TestRequestReadAfterItsCallerLeftRuns lets callers leave while their node reads nothing. Once it
// reads, requests and closes are there together: no target may get the calls.
func TestRequestReadAfterItsCallerLeftRuns(t *testing.T) {
	for name, request := range map[string]string{
		"idempotent":     "GET /read HTTP/1.1\r\nHost: a.example\r\n\r\n",
		"not idempotent": "POST /file HTTP/1.1\r\nHost: a.example\r\nContent-Length: 4\r\n\r\nbody",
	} {
		for _, remote := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, remote %v", name, remote), func(t *testing.T) {
				var runs atomic.Int64
				f := newFleet(t, fleetOptions{nodes: 2, remoteOnly: remote}, func(http.ResponseWriter, *http.Request) { runs.Add(1) })
				release := f.serveCallersLate(0)
				f.is.NoErr(f.sendRaw(request).Close())
				time.Sleep(inputClosedGrace + 100*time.Millisecond)
				release()
				stats := f.nodes[0].runner
				f.waitFor("the request is read", func() bool { return stats.counters.requests.Load() == 1 })
				f.waitFor("the request has ended", func() bool { return stats.entry.inFlight.Load() == 0 })
				f.is.Equal(runs.Load(), int64(0))
			})
		}
	}
}

// TestTimeBeforeLateReadIsGivenToTarget checks that the time for which a request waited unread
// counts as used, and that a request whose time has passed by then does not run.
func TestTimeBeforeLateReadIsGivenToTarget(t *testing.T) {
	const unread, callersTime = 400 * time.Millisecond, 5 * time.Second
	is := is.New(t)
	var runs, given atomic.Int64
	f := newFleet(t, fleetOptions{nodes: 1}, func(_ http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		ms, _ := time.ParseDuration(r.Header.Get(headers.Timeout) + "ms")
		given.Store(int64(ms))
	})
	release := f.serveCallersLate(0)
	time.AfterFunc(unread, release)
	results := make(chan callResult, 2)
	for _, timeout := range []string{"5000", "300"} {
		go func() { results <- f.call(0, "GET", "/read", "", headers.Timeout, timeout) }()
	}
	statuses := map[int]int{}
	for range 2 {
		statuses[(<-results).status]++
	}
	is.Equal(statuses, map[int]int{http.StatusOK: 1, http.StatusServiceUnavailable: 1})
	is.Equal(runs.Load(), int64(1))
	is.True(time.Duration(given.Load()) <= callersTime-unread+50*time.Millisecond)
}

// TestCallIsSentAfterALongDial opens the connection to the gate for longer than the caller's time,
// or than the caller stays. The call must not be sent then.
func TestCallIsSentAfterALongDial(t *testing.T) {
	// A dial may go on for gateGracePeriod after the caller's time of 300 ms.
	for leaves, dialTime := range map[bool]time.Duration{false: 350 * time.Millisecond, true: 600 * time.Millisecond} {
		t.Run(fmt.Sprintf("caller leaves %v", leaves), func(t *testing.T) {
			var runs atomic.Int64
			var dialed atomic.Bool
			f := newFleet(t, fleetOptions{nodes: 2, remoteOnly: true, dial: func(ctx context.Context, address string) (net.Conn, error) {
				time.Sleep(dialTime)
				defer dialed.Store(true)
				var dialer net.Dialer
				return dialer.DialContext(ctx, "tcp", address)
			}}, func(http.ResponseWriter, *http.Request) { runs.Add(1) })
			f.serveCallers(0)
			time300 := ""
			if !leaves {
				time300 = headers.Timeout + ": 300\r\n"
			}
			conn := f.sendRaw("GET /read HTTP/1.1\r\nHost: a.example\r\n" + time300 + "\r\n")
			if leaves {
				f.is.NoErr(conn.Close())
			}
			f.waitFor("the connection is open", dialed.Load)
			f.waitFor("the request has ended", func() bool { return f.nodes[0].runner.entry.inFlight.Load() == 0 })
			f.is.Equal(runs.Load(), int64(0))
			f.is.Equal(f.nodes[1].runner.Stats().Started, uint64(0))
		})
	}
}
