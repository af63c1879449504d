package usagecap

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var testQuota = Quota{RatePerS: 100, Burst: 100}

func newTestCoordinator(now time.Time) *Coordinator {
	c := NewCoordinator(now, "a", func(string) (Quota, bool) { return testQuota, true })
	c.SetNodes(map[string]int{"a": 1, "b": 1})
	return c
}

// TestRepeatedAndLostReports guards against counts that are debited twice, or not at all, when a
// report or its response is lost and the next one has the same requests.
func TestRepeatedAndLostReports(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	c := newTestCoordinator(now)
	now = now.Add(2 * time.Second)
	c.Report(now, "n1", 1, []Use{{Tenant: "t", Asked: 10, Admitted: 10}})
	c.Report(now, "n1", 1, []Use{{Tenant: "t", Asked: 10, Admitted: 10}})
	is.Equal(c.tenants["t"].level, 90.0) // a repeated report is debited once
	c.Report(now, "n1", 1, []Use{{Tenant: "t", Asked: 30, Admitted: 25}})
	is.Equal(c.tenants["t"].level, 75.0)
	c.Report(now, "n1", 2, []Use{{Tenant: "t", Asked: 5, Admitted: 5}})
	is.Equal(c.tenants["t"].level, 70.0) // a new session begins at 0
	c.Report(now, "n1", 1, []Use{{Tenant: "t", Asked: 40, Admitted: 40}})
	is.Equal(c.tenants["t"].level, 70.0) // a report of the old session that was held up
	c.Report(now, "n1", 2, []Use{{Tenant: "t", Asked: 5, Admitted: 3}})
	is.Equal(c.tenants["t"].level, 72.0) // two were refunded
}

// TestRefund guards against a charge for requests that did not run.
func TestRefund(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	n := NewNode(1)
	for range 1000 {
		ok, _ := n.Admit(now, "t", Quota{RatePerS: 1, Burst: 1})
		is.True(ok)
		n.Refund(now, "t")
	}
	is.Equal(n.Report(now), []Use{{Tenant: "t", Asked: 1000, Admitted: 0}})
}

// TestRetryAfterIsTheTenantsWait guards against a delay that names the node's own bucket.
func TestRetryAfterIsTheTenantsWait(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	n := NewNode(1)
	n.Admit(now, "t", testQuota)
	n.Report(now)
	n.Apply(now, Grants{Valid: GrantValid, Limits: []Limit{{Tenant: "t", RatePerS: 0.01, Wait: 3 * time.Second}}})
	ok, wait := n.Admit(now, "t", testQuota)
	is.True(!ok)
	is.Equal(wait, 3*time.Second)
	ok, wait = n.Admit(now.Add(4*time.Second), "other", Quota{})
	is.True(ok) // a tenant without a quota is not limited
	is.Equal(wait, time.Duration(0))
}
