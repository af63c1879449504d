package calls

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"jasminegate/internal/protocol/headers"
)

// TestCallHeldUpOnItsWayRunsForNobody holds up a call between its entry and its gate until its
// caller's time has passed. The target must not run it: nobody waits for the response.
func TestCallHeldUpOnItsWayRunsForNobody(t *testing.T) {
	const callersTime, heldUp = "300", 500 * time.Millisecond
	dialer := &faultDialer{}
	var runs atomic.Int64
	f := newFleet(t, fleetOptions{nodes: 2, remoteOnly: true, dial: dialer.dial}, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/read/late" {
			runs.Add(1)
		}
		_, _ = io.WriteString(w, "done")
	})
	f.is.Equal(f.call(0, "GET", "/read/first", "").status, http.StatusOK)
	dialer.each((*faultConn).delayWrites)
	time.AfterFunc(heldUp, func() { dialer.each((*faultConn).releaseHeld) })
	got := f.call(0, "GET", "/read/late", "", headers.Timeout, callersTime)
	f.is.True(got.status >= 500)
	time.Sleep(heldUp) // the call has arrived
	f.is.Equal(runs.Load(), int64(0))
	f.is.Equal(f.call(0, "GET", "/read/after", "").status, http.StatusOK)
}

// TestTimeOnTheWayCountsAsUsed holds up a call for a part of its time: the target is given the
// rest.
func TestTimeOnTheWayCountsAsUsed(t *testing.T) {
	const callersTime, heldUp = 5 * time.Second, 400 * time.Millisecond
	dialer := &faultDialer{}
	var given atomic.Int64
	f := newFleet(t, fleetOptions{nodes: 2, remoteOnly: true, dial: dialer.dial}, func(_ http.ResponseWriter, r *http.Request) {
		ms, _ := time.ParseDuration(r.Header.Get(headers.Timeout) + "ms")
		given.Store(int64(ms))
	})
	f.is.Equal(f.call(0, "GET", "/read/first", "").status, http.StatusOK)
	dialer.each((*faultConn).delayWrites)
	time.AfterFunc(heldUp, func() { dialer.each((*faultConn).releaseHeld) })
	f.is.Equal(f.call(0, "GET", "/read/late", "", headers.Timeout, "5000").status, http.StatusOK)
	f.is.True(time.Duration(given.Load()) <= callersTime-heldUp+20*time.Millisecond)
}
