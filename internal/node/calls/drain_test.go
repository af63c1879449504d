package calls

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"jasminegate/internal/protocol/headers"
)

// TestCallArrivingAsDrainEndsIsCutOff checks that a call that is on its way when a gate
// without calls begins to drain is refused as not run. The node stops when Drain
// returns; a call that arrives then is cut off, and its outcome is unknown.
func TestCallArrivingAsDrainEndsIsCutOff(t *testing.T) {
	const transit = 20 * time.Millisecond
	dialer := &faultDialer{}
	f := newFleet(t, fleetOptions{nodes: 2, remoteOnly: true, dial: dialer.dial}, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "done")
	})
	f.is.Equal(f.call(0, "POST", "/file", "opens a connection").status, http.StatusOK)
	dialer.each((*faultConn).delayWrites)
	result := make(chan callResult, 1)
	go func() { result <- f.call(0, "POST", "/file", "on its way") }()
	f.waitFor("the call is sent", func() bool {
		sent := false
		dialer.each(func(c *faultConn) { sent = sent || c.hasDelayed() })
		return sent
	})
	time.AfterFunc(transit, func() { dialer.each((*faultConn).releaseHeld) })
	f.is.NoErr(f.nodes[1].runner.Drain(context.Background()))
	f.nodes[1].stop()
	got := <-result
	f.is.Equal(got.status, http.StatusServiceUnavailable)
	f.is.Equal(got.header.Get(headers.Outcome), "not-run")
}
