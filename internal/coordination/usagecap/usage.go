// Package usagecap holds the quota of each tenant over all nodes: nodes admit optimistically, and
// what was admitted too much is repaid as a debt.
//
// Load pattern: tenants with a Zipf skew behind 12 to 300 nodes in a few failure domains. A tenant
// sends 5 to 8 times its usual use, from any of its nodes, for seconds; the smallest tenants have
// fewer requests a second than there are nodes.
//
// A Node admits requests from its local memory. The Coordinator of its failure domain collects the
// nodes' counts, exchanges totals with the coordinators of the other domains, and divides what is
// left of the quota by demand. Neither does I/O.
package usagecap

import (
	"math"
	"time"
)

const (
	// ReportInterval is the time between two reports of a node, or two exchanges of a
	// coordinator, while there is something to report.
	ReportInterval = 250 * time.Millisecond
	// GrantValid is how long a tenant that is not in a grant counts as not limited.
	GrantValid = time.Second
	// urgentReportInterval is the least time between two reports of a node, and
	// urgentExchangeInterval between two exchanges of a coordinator: exchanges pass between
	// domains, where traffic is expensive.
	urgentReportInterval   = 50 * time.Millisecond
	urgentExchangeInterval = 100 * time.Millisecond
	// settledAge is the age from which a count that a coordinator has acknowledged is taken as
	// passed on to the other domains: one interval of exchange and the message's way.
	settledAge = 300 * time.Millisecond
	// limitedMemory is how long a node asks for the limit of a limited tenant after the tenant's
	// last request there. It is a few times the time between two requests of a small tenant at
	// one of 79 nodes.
	limitedMemory = 30 * time.Second
	// retryFloor is the least retry delay of a refused request: by then the node has a new grant.
	retryFloor = urgentReportInterval
	// maxRetryAfter bounds the retry delay where a quota is close to 0.
	maxRetryAfter = time.Minute
)

// The permitted excess of a window is a tenth of the quota in it plus excessRequests. The window
// is windowSeconds long.
const (
	windowSeconds  = 5
	excessShare    = 0.1
	excessRequests = 20
	// freeShare is the part of the quota in a window that all nodes together may admit before
	// the first report. It is under half of excessShare.
	freeShare = 0.04
)

// Quota is what a tenant may use over all nodes.
type Quota struct {
	// RatePerS is in requests per second; 0 means no limit.
	RatePerS float64
	// Burst is in requests.
	Burst float64
}

// Limited reports whether there is a limit.
func (q Quota) Limited() bool { return q.RatePerS > 0 }

// capacity is the size of the tenant's bucket. With less than 1 nothing would be admitted.
func (q Quota) capacity() float64 { return max(1, q.Burst) }

// window is what the quota allows in one window.
func (q Quota) window() float64 { return q.RatePerS*windowSeconds + q.Burst }

// excess is how far the use in a window may exceed the quota.
func (q Quota) excess() float64 { return q.window()*excessShare + excessRequests }

// WindowBound returns the most requests that may run in any window of 5 s.
func (q Quota) WindowBound() float64 { return q.window() + q.excess() }

// free is what one of n nodes may admit without a grant until its next report.
func (q Quota) free(nodes int) float64 {
	return max(1, freeShare*q.window()/float64(max(1, nodes)))
}

// waitFor returns the time until a bucket with the level has one token.
func (q Quota) waitFor(level float64) time.Duration {
	if level >= 1 || q.RatePerS <= 0 {
		return 0
	}
	return min(maxRetryAfter, time.Duration((1-level)/q.RatePerS*float64(time.Second)))
}

// Use holds the cumulative counts of one tenant in one session.
type Use struct {
	Tenant string
	// Asked counts all requests, Admitted those that were admitted and not refunded.
	Asked    int64
	Admitted int64
}

// Limit limits one tenant at one node.
type Limit struct {
	Tenant   string
	RatePerS float64
	Burst    float64
	// Wait is the time until the tenant's level admits a request, 0 if it does now.
	Wait time.Duration
}

// Grants is a coordinator's response to a node's report.
type Grants struct {
	Limits []Limit
	Valid  time.Duration
}

// rateMemory is the time constant of the estimates of demand. It is two report intervals: shorter
// ones follow single reports, longer ones keep the parts of domains that requests have left.
const rateMemory = 2 * ReportInterval

// rateEstimate is an exponentially weighted rate of events that are counted once in a report
// interval or more often.
type rateEstimate struct {
	perSecond float64
	at        time.Time
}

// add adds the events since the last call, at the most those of one interval.
func (r *rateEstimate) add(now time.Time, count float64) {
	seconds := ReportInterval.Seconds()
	if !r.at.IsZero() {
		seconds = min(seconds, max(now.Sub(r.at).Seconds(), 1e-3))
	}
	weight := 1 - math.Exp(-seconds/rateMemory.Seconds())
	r.perSecond = r.value(now)*(1-weight) + count/seconds*weight
	r.at = now
}

// value returns the rate. It falls once a report is overdue.
func (r *rateEstimate) value(now time.Time) float64 {
	overdue := now.Sub(r.at) - ReportInterval
	if r.perSecond == 0 || overdue <= 0 {
		return r.perSecond
	}
	return r.perSecond * math.Exp(-overdue.Seconds()/rateMemory.Seconds())
}
