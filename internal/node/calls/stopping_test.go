package calls

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"jasminegate/internal/protocol/headers"
)

// knowRecent makes the nodes know recent requests and calls of the route that took the time.
func (f *fleet) knowRecent(route string, took time.Duration) {
	const recent = 20
	for _, n := range f.nodes {
		for range recent {
			n.runner.requestsBeforeStop.observe(n.runner.options.Now(), route, took)
			n.runner.callsBeforeStop.observe(n.runner.options.Now(), route, took)
		}
	}
}

// TestRepeatedAttemptOutlastsNode guards against an attempt that is repeated by a node which is about to stop,
// although it is not expected to end before, and against the refusal of one that is or that may have run.
func TestRepeatedAttemptOutlastsNode(t *testing.T) {
	const left = 2 * time.Second
	for name, row := range map[string]struct {
		method, path, route string
		recent              time.Duration
		// lost says that the first attempt is lost; its target refuses it otherwise.
		lost         bool
		status, runs int
	}{
		"order that is expected to end":     {"POST", "/file", "file", 10 * time.Millisecond, false, 200, 2},
		"order that is expected to last":    {"POST", "/file", "file", left, false, 503, 1},
		"read that is expected to last":     {"GET", "/read", "read", left, false, 503, 1},
		"read that may have run is not cut": {"GET", "/read", "read", left, true, 200, 2},
	} {
		t.Run(name, func(t *testing.T) {
			var f *fleet
			var runs atomic.Int64
			f = newFleet(t, fleetOptions{nodes: 3, remoteOnly: true, contract: platformContract()}, func(w http.ResponseWriter, _ *http.Request) {
				if runs.Add(1) > 1 {
					return
				}
				now := time.Now()
				f.nodes[0].runner.StopBy(now, now.Add(left))
				if row.lost {
					panic(http.ErrAbortHandler)
				}
				w.Header().Set("X-Not-Run", "1")
				w.WriteHeader(http.StatusServiceUnavailable)
			})
			f.knowRecent(row.route, row.recent)
			got := f.call(0, row.method, row.path, "")
			f.is.NoErr(got.err)
			f.is.Equal(got.status, row.status)
			f.is.Equal(int(runs.Load()), row.runs)
			if row.status == http.StatusServiceUnavailable {
				f.is.Equal(got.header.Get(headers.Outcome), "not-run")
			}
		})
	}
}

// TestOrderOfOtherEntryOutlastsGate guards against an order that a gate which is about to stop takes from a node
// which is not, although another gate can take it, and breaks off. It must be served in any case.
func TestOrderOfOtherEntryOutlastsGate(t *testing.T) {
	const orders, stopping = 20, 1
	for name, row := range map[string]struct {
		nodes        int
		method, path string
		timeoutMs    string
		key          bool
		mayTake      bool
	}{
		"order, another gate is ready":          {3, "POST", "/file", "10000", false, false},
		"order, no other gate":                  {2, "POST", "/file", "10000", false, true},
		"order that ends before the gate":       {3, "POST", "/file", "1000", false, true},
		"order with a key, which has one gate":  {3, "POST", "/file", "10000", true, true},
		"read that can be sent again to a gate": {3, "GET", "/read", "10000", false, true},
	} {
		t.Run(name, func(t *testing.T) {
			var f *fleet
			var atStopping atomic.Int64
			f = newFleet(t, fleetOptions{nodes: row.nodes, remoteOnly: true}, func(_ http.ResponseWriter, r *http.Request) {
				local := r.Context().Value(http.LocalAddrContextKey).(net.Addr)
				if local.String() == f.nodes[stopping].target.Listener.Addr().String() {
					atStopping.Add(1)
				}
			})
			f.knowRecent("file", 10*time.Millisecond)
			f.knowRecent("read", 10*time.Millisecond)
			now := time.Now()
			f.nodes[stopping].runner.StopBy(now.Add(2*time.Second), now.Add(4*time.Second))
			if row.key {
				for _, gate := range f.nodes[1:] {
					f.waitFor("keys are admitted", gate.runner.keyed.historySynced.Load)
				}
			}
			for i := range orders {
				header := []string{headers.Timeout, row.timeoutMs}
				if row.key {
					header = append(header, headers.IdempotencyKey, fmt.Sprint("key-", i))
				}
				got := f.call(0, row.method, row.path, "", header...)
				f.is.NoErr(got.err)
				f.is.Equal(got.status, 200)
			}
			f.is.Equal(atStopping.Load() > 0, row.mayTake)
			for range orders { // reads still use the gate, also after it refused an order
				f.is.Equal(f.call(0, "GET", "/read", "").status, 200)
			}
			f.is.True(atStopping.Load() > 0)
		})
	}
}
