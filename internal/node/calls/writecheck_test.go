package calls

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"jasminegate/internal/clock"
	"jasminegate/internal/protocol/headers"
)

// delayDials makes the node's connections to its target take what wait takes.
func (f *fleet) delayDials(node int, wait func()) {
	conns := f.nodes[node].runner.target.Load().conns
	dial := conns.dialTCP
	conns.dialTCP = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		wait()
		return conn, err
	}
}

// TestTargetIsGivenTimeThatADialTook checks that the timeout for the target does not include the
// time that its connection took.
func TestTargetIsGivenTimeThatADialTook(t *testing.T) {
	const callersTime, dial = 5 * time.Second, 300 * time.Millisecond
	var given atomic.Int64
	f := newFleet(t, fleetOptions{nodes: 1}, func(_ http.ResponseWriter, r *http.Request) {
		ms, _ := time.ParseDuration(r.Header.Get(headers.Timeout) + "ms")
		given.Store(int64(ms))
	})
	f.delayDials(0, func() { time.Sleep(dial) })
	f.is.Equal(f.call(0, "GET", "/read", "", headers.Timeout, "5000").status, http.StatusOK)
	f.is.True(time.Duration(given.Load()) <= callersTime-dial)
}

// TestCallIsWrittenAfterItsTimeHasPassed lets the host be suspended, past the call's time, while
// its connection to the target is opened. The timers of the process do not see that.
func TestCallIsWrittenAfterItsTimeHasPassed(t *testing.T) {
	for _, method := range []string{"GET /read", "POST /file"} {
		t.Run(method, func(t *testing.T) {
			var suspended, runs atomic.Int64
			f := newFleet(t, fleetOptions{
				nodes: 1,
				boot:  func() time.Time { return clock.BootTime().Add(time.Duration(suspended.Load())) },
			}, func(http.ResponseWriter, *http.Request) { runs.Add(1) })
			f.delayDials(0, func() { suspended.Store(int64(time.Hour)) })
			name, path := method[:len(method)-6], method[len(method)-5:]
			got := f.call(0, name, path, "")
			f.is.Equal(got.status, http.StatusServiceUnavailable)
			f.is.Equal(got.header.Get(headers.Outcome), "not-run")
			f.is.Equal(runs.Load(), int64(0))
		})
	}
}

// TestCancelledCallIsWritten cancels a call while its connection to the target is opened, at a gate
// that does not get to the event of the cancel. It must not be written afterwards.
func TestCancelledCallIsWritten(t *testing.T) {
	c := &gateCall{deadline: time.Now().Add(time.Hour), bootDeadline: clock.BootTime().Add(time.Hour), proof: &callerProof{}}
	r := &Runner{options: Options{Now: time.Now, BootTime: clock.BootTime}}
	raw, other := net.Pipe()
	defer raw.Close()
	go func() { _, _ = other.Read(make([]byte, 1)) }()
	conn := &targetConn{Conn: raw}
	tracker := &writeTracker{check: r.newWriteCheck(c, nil)}
	conn.take(tracker)
	tracker.conn = conn
	c.abandoned.Store(true)
	if n, err := conn.Write([]byte("G")); n != 0 || err == nil || tracker.sent() {
		t.Fatalf("%d bytes were written, error %v", n, err)
	}
}

// TestCallIsWrittenAfterItWasSaidNotToHaveRun ends a call before the goroutine of the HTTP client
// writes it.
func TestCallIsWrittenAfterItWasSaidNotToHaveRun(t *testing.T) {
	raw, other := net.Pipe()
	defer raw.Close()
	go func() { _, _ = other.Read(make([]byte, 1)) }()
	conn := &targetConn{Conn: raw}
	tracker := &writeTracker{conn: conn}
	conn.take(tracker)
	tracker.end()
	if n, err := conn.Write([]byte("G")); n != 0 || err == nil || tracker.sent() {
		t.Fatalf("%d bytes were written, error %v", n, err)
	}
}
