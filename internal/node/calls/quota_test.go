package calls

import (
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"jasminegate/internal/coordination/usagecap"
)

// fakeQuotas admits the first requests, up to left.
type fakeQuotas struct {
	mu                    sync.Mutex
	left, asked, refunded int
}

func (q *fakeQuotas) Admit(tenant string, quota usagecap.Quota) (bool, time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.asked++
	if tenant != "nord" || quota.RatePerS != 5 || q.left == 0 {
		return false, 1500 * time.Millisecond
	}
	q.left--
	return true, 0
}

func (q *fakeQuotas) Refund(string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.refunded++
}

func (q *fakeQuotas) counts() (asked, refunded int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.asked, q.refunded
}

func (f *fleet) setQuota(left int) *fakeQuotas {
	limited := nord()
	limited.RatePerS = 5
	f.publishTenants(limited)
	quotas := &fakeQuotas{left: left}
	for _, n := range f.nodes {
		n.runner.options.Quotas = quotas
	}
	return quotas
}

// TestRequestOverQuota guards against a request over the quota that waits for its body or reaches
// a target, and against a charge for open routes and refused keys.
func TestRequestOverQuota(t *testing.T) {
	is := is.New(t)
	var runs atomic.Int64
	f := newFleet(t, fleetOptions{nodes: 1}, func(http.ResponseWriter, *http.Request) { runs.Add(1) })
	quotas := f.setQuota(1)
	is.Equal(f.call(0, "GET", "/open", "").status, 200)
	is.Equal(f.call(0, "GET", "/read", "", "Authorization", "Token unknown").status, 401)
	asked, _ := quotas.counts()
	is.Equal(asked, 0)
	is.Equal(f.call(0, "GET", "/read", "", "Authorization", "Token "+testKey).status, 200)
	caller := f.dialCaller()
	caller.send("POST /file HTTP/1.1\r\nHost: a.example\r\nAuthorization: Token " + testKey + "\r\nContent-Length: 10\r\n\r\n")
	is.Equal(caller.receive().status, 429) // without its body
	caller.send("0123456789", get("/read/refused", "Authorization: Token "+testKey))
	is.Equal(caller.receive().status, 429)
	caller.send(get("/open/after"))
	is.Equal(caller.receive().status, 200) // the connection serves further requests
	refused := f.call(0, "GET", "/read", "", "Authorization", "Token "+testKey)
	is.Equal(refused.status, 429)
	is.Equal(refused.header.Get("Retry-After"), "2")
	is.True(strings.Contains(refused.body, `"retry_after_ms":1500`))
	is.Equal(runs.Load(), int64(3))
}

// TestOneChargePerRequest guards against a charge for each attempt or for nested calls, and against
// the charge of a request that did not run.
func TestOneChargePerRequest(t *testing.T) {
	is := is.New(t)
	var f *fleet
	f = newFleet(t, fleetOptions{nodes: 2, contract: platformContract()}, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Id", r.Header.Get("X-Id"))
		switch r.URL.Path {
		case "/read/declined":
			w.Header().Set("X-Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		case "/read/parent":
			is.Equal(f.call(0, "GET", "/read/nested", "", "X-Id", "7a.1").status, 200)
		}
	})
	f.nodes[1].runner.SetTarget(Target{}) // the parent's target is beside its entry
	quotas := f.setQuota(10)
	token := []string{"Authorization", "Token " + testKey}
	is.Equal(f.call(0, "GET", "/read/parent", "", append(token, "X-Id", "7a")...).status, 200)
	asked, refunded := quotas.counts()
	is.Equal(asked, 1)
	is.Equal(refunded, 0)
	is.True(f.call(0, "GET", "/read/declined", "", token...).status >= 500)
	f.waitFor("the refund", func() bool { _, refunded := quotas.counts(); return refunded == 1 })
	asked, _ = quotas.counts()
	is.Equal(asked, 2)
}

// TestPipelinedRequestsAreCharged guards against requests behind others on their connection that
// pass the quota, or are charged once before their turn and again in it.
func TestPipelinedRequestsAreCharged(t *testing.T) {
	target := newPipelineTarget()
	f, caller := newPipeline(t, target.ServeHTTP)
	quotas := f.setQuota(2)
	token := "Authorization: Token " + testKey
	target.finish("/read/1", "/read/2", "/read/3")
	caller.send(get("/read/1", token), get("/read/2", token), get("/read/3", token))
	caller.expect("/read/1", "/read/2")
	f.is.Equal(caller.receive().status, 429)
	asked, refunded := quotas.counts()
	f.is.Equal(asked, 3)
	f.is.Equal(refunded, 0)
}
