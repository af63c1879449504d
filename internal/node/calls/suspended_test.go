package calls

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"jasminegate/internal/clock"
	"jasminegate/internal/protocol/headers"
)

// TestSuspendedHostStartsNoLateCall advances BootTime, which counts suspension, by
// an hour while a call is queued, but not Now. The call is not started, and its
// caller gets the outcome not-run; a later call runs.
func TestSuspendedHostStartsNoLateCall(t *testing.T) {
	var suspended atomic.Int64
	proceed := make(chan struct{})
	started := make(chan struct{}, 3)
	f := newFleet(t, fleetOptions{
		nodes: 1, slots: 1,
		boot: func() time.Time { return clock.BootTime().Add(time.Duration(suspended.Load())) },
	}, func(http.ResponseWriter, *http.Request) {
		started <- struct{}{}
		<-proceed
	})
	replies := make(chan callResult, 2)
	send := func() { replies <- f.call(0, "POST", "/file", "b") }
	go send()
	<-started
	go send()
	f.waitFor("the second call is queued", func() bool { return f.nodes[0].runner.Load() == 2 })
	suspended.Store(int64(time.Hour))
	close(proceed)
	statuses := map[int]int{}
	for range 2 {
		got := <-replies
		statuses[got.status]++
		if got.status != http.StatusOK {
			f.is.Equal(got.header.Get(headers.Outcome), "not-run")
		}
	}
	f.is.Equal(statuses[http.StatusOK], 1)
	f.is.Equal(len(started), 0) // the queued call was started
	f.is.Equal(f.call(0, "POST", "/file", "b").status, http.StatusOK)
}
