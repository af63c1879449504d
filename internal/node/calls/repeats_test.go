package calls

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"jasminegate/internal/config"
	"jasminegate/internal/coordination/call"
	"jasminegate/internal/protocol/headers"
)

// arrivals returns how many calls of the kind were written to the targets of the fleet.
func (f *fleet) arrivals(kind call.Repeat) (total uint64) {
	for _, n := range f.nodes {
		total += n.runner.metrics.arrivals[kind].Get()
	}
	return total
}

// TestCallOfRepeatedRunCountsAsFirst loses the response of a call, whose second run makes a call of
// its own: that one is a repeat at the service called.
func TestCallOfRepeatedRunCountsAsFirst(t *testing.T) {
	is := is.New(t)
	const idHeader = "X-Request"
	var f *fleet
	var runs atomic.Int64
	f = newFleet(t, fleetOptions{nodes: 2, contract: headers.Contract{RequestID: idHeader, NestedSeparator: "."}}, func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(idHeader) != "7a" {
			return
		}
		if runs.Add(1) == 1 {
			panic(http.ErrAbortHandler)
		}
		for i, n := range f.nodes {
			if n.runner.runningRequests.has("7a") {
				f.call(i, "GET", "/read", "", idHeader, "7a.1")
			}
		}
	})
	is.Equal(f.call(0, "GET", "/read", "", idHeader, "7a").status, http.StatusOK)
	is.Equal(f.arrivals(call.First), uint64(1))
	is.Equal(f.arrivals(call.Retried), uint64(1))
	is.Equal(f.arrivals(call.Inherited), uint64(1))
}

// TestRepeatBeyondBudgetReachesTarget loses every response at gates that may repeat nothing: a
// target gets each call once, and the caller is told at once that its outcome is unknown.
func TestRepeatBeyondBudgetReachesTarget(t *testing.T) {
	is := is.New(t)
	var requests atomic.Int64
	settings := func(s *config.Calls) { s.RetryRatio, s.RetryWindow = 0, time.Minute }
	f := newFleet(t, fleetOptions{nodes: 4, settings: settings}, func(http.ResponseWriter, *http.Request) {
		requests.Add(1)
		panic(http.ErrAbortHandler)
	})
	for range 3 {
		begin := time.Now()
		is.Equal(f.call(0, "GET", "/read", "").status, http.StatusGatewayTimeout)
		is.True(time.Since(begin) < certainWithin)
	}
	is.Equal(requests.Load(), int64(3))
}
