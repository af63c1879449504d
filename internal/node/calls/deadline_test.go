package calls

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"jasminegate/internal/protocol/headers"
)

// TestDeadlineExceededIsReported verifies that every call that reaches its
// deadline at the target gets a response with status 504, and that none is treated as
// if its caller had disconnected. A call whose deadline passes before its gate starts it
// is refused with status 503 and the outcome not-run, and the target never runs it.
func TestDeadlineExceededIsReported(t *testing.T) {
	const (
		wanted      = 40
		maxRequests = 20 * wanted
	)
	var started atomic.Int64
	f := newFleet(t, fleetOptions{nodes: 1}, func(_ http.ResponseWriter, r *http.Request) {
		started.Add(1)
		<-r.Context().Done()
	})
	reported := 0
	for requests := 0; reported < wanted && requests < maxRequests; requests++ {
		got := f.call(0, "GET", "/read", "", headers.Timeout, "20")
		f.is.NoErr(got.err)
		if got.status == http.StatusServiceUnavailable {
			f.is.Equal(got.header.Get(headers.Outcome), "not-run")
			continue
		}
		f.is.Equal(got.status, http.StatusGatewayTimeout)
		reported++
	}
	f.is.Equal(reported, wanted)
	f.is.True(started.Load() <= wanted) // none of the calls reported as not run was started
}

// TestCancelQueued stops the attempts of an entry while one call runs and
// others are queued at a gate: the queued ones are refused at once, and the
// running one gets its response.
func TestCancelQueued(t *testing.T) {
	const waiting = 5
	proceed := make(chan struct{})
	started := make(chan struct{}, 1+waiting)
	f := newFleet(t, fleetOptions{nodes: 2, remoteOnly: true, slots: 1}, func(w http.ResponseWriter, _ *http.Request) {
		started <- struct{}{}
		<-proceed
		_, _ = w.Write([]byte("done"))
	})
	running := make(chan callResult, 1)
	go func() { running <- f.call(0, "POST", "/file", "runs") }()
	<-started
	refused := make(chan callResult, waiting)
	for i := range waiting {
		method, path := "POST", "/file"
		if i%2 == 0 {
			method, path = "GET", "/read"
		}
		go func() { refused <- f.call(0, method, path, "") }()
	}
	f.waitFor("all other calls are queued", func() bool { return f.nodes[1].runner.Load() == 1+waiting })
	cancelledAt := time.Now()
	f.nodes[0].runner.CancelQueued()
	for range waiting {
		got := <-refused
		f.is.Equal(got.status, http.StatusServiceUnavailable)
		f.is.Equal(got.header.Get(headers.Outcome), "not-run")
	}
	f.is.True(time.Since(cancelledAt) < 5*time.Second) // the queued calls were refused only after the queue timeout of 10 s
	close(proceed)
	got := <-running
	f.is.Equal(got.status, http.StatusOK)
	f.is.Equal(len(started), 0) // a queued call was started
}
