package calls

import (
	"net/http"
	"time"

	"jasminegate/internal/coordination/usagecap"
	"jasminegate/internal/protocol/problem"
)

// Quotas charges requests to their tenants' quotas. Its methods do not block.
type Quotas interface {
	// Admit charges one request, or returns the time until the quota admits one again.
	Admit(tenant string, quota usagecap.Quota) (ok bool, retryAfter time.Duration)
	// Refund takes back the charge of a request that did not run.
	Refund(tenant string)
}

// charge charges the request to its tenant's quota once, or returns the problem to refuse it
// with. Nested calls and requests without a tenant are not charged.
func (r *Runner) charge(c *callerRequest) *problem.Problem {
	if r.options.Quotas == nil || !c.identity.charged {
		return nil
	}
	tenant, known := c.judgedBy.Tenant(c.tenant)
	if !known {
		return nil
	}
	ok, retryAfter := r.options.Quotas.Admit(tenant.Name, usagecap.Quota{RatePerS: tenant.RatePerS, Burst: tenant.Burst})
	if !ok {
		return overQuota(retryAfter)
	}
	c.chargedTo = tenant.Name
	return nil
}

// refund takes back the charge of a request that was not run.
func (r *Runner) refund(c *callerRequest) {
	if c.chargedTo != "" {
		r.options.Quotas.Refund(c.chargedTo)
		c.chargedTo = ""
	}
}

// notRun reports whether it is certain that no target ran the request.
func (c *callerRequest) notRun() bool {
	return c.outcome == string(problem.NotRun) || c.outcome == outcomeCallerLeft && len(c.gates) == 0
}

func overQuota(retryAfter time.Duration) *problem.Problem {
	return notRun("over-quota", "The tenant's quota is used up", http.StatusTooManyRequests,
		"Send the call again after the given time, and fewer calls a second.", max(retryAfter, time.Millisecond))
}
