package calls

import (
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"jasminegate/internal/protocol/headers"
)

// TestNestedCallsByRequestID verifies that a call is nested if its ID extends the
// ID of a request that the target runs by one part. Other calls from the same
// address are not, nor are calls of a request that has ended.
func TestNestedCallsByRequestID(t *testing.T) {
	is := is.New(t)
	const idHeader = "X-Request"
	var f *fleet
	nested := func(id string) bool {
		r, err := http.NewRequest("GET", "/read", nil)
		is.NoErr(err)
		r.RemoteAddr = f.nodes[0].target.Listener.Addr().String()
		r.Header.Set(idHeader, id)
		return f.nodes[0].runner.nested(r)
	}
	var own, deep, plain, other atomic.Bool
	f = newFleet(t, fleetOptions{nodes: 1, contract: headers.Contract{RequestID: idHeader, NestedSeparator: "."}}, func(http.ResponseWriter, *http.Request) {
		own.Store(nested("7a.1"))
		deep.Store(nested("7a.1.2"))
		plain.Store(nested("7a"))
		other.Store(nested("7b.1"))
	})
	is.Equal(f.call(0, "GET", "/read", "", idHeader, "7a").status, http.StatusOK)
	is.True(own.Load())
	is.True(!deep.Load()) // 7a.1 does not run here
	is.True(!plain.Load())
	is.True(!other.Load())
	f.waitFor("the request has ended", func() bool { return !nested("7a.1") })
}

// TestNestedCallsByAddress verifies that the caller's address decides if the
// contract has no separator for nested IDs.
func TestNestedCallsByAddress(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, fleetOptions{nodes: 1}, func(http.ResponseWriter, *http.Request) {})
	r, err := http.NewRequest("GET", "/read", nil)
	is.NoErr(err)
	r.RemoteAddr = "127.0.0.1:9"
	is.True(f.nodes[0].runner.nested(r))
	r.RemoteAddr = "127.0.0.2:9"
	is.True(!f.nodes[0].runner.nested(r))
}
