package usagecap

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Node is the part of the mechanism at one node. It is not safe for concurrent use.
type Node struct {
	nodes   int
	random  *rand.Rand
	tenants map[string]*nodeTenant
	// dirty holds the tenants with counts that are not acknowledged, limited those whose limits
	// are asked for again.
	dirty   map[string]*nodeTenant
	limited map[string]*nodeTenant
	urgent  bool
	// reported is when the last report was taken; inFlight until it was applied or had failed.
	reported time.Time
	inFlight bool
	// applied is when a response was applied last.
	applied time.Time
	// failing is set from a failed report to the next one that is applied.
	failing bool
}

// nodeTenant is what a node holds of one tenant.
type nodeTenant struct {
	name  string
	quota Quota
	// The counts are totals. base is what the session's counts begin at.
	asked, admitted         int64
	refused                 int64
	baseAsked, baseAdmitted int64
	ackedAsked, ackedAdmit  int64
	sentAsked, sentAdmitted int64
	// acks has what was acknowledged when, the oldest first.
	acks [acksKept]ack
	// usedSince counts what was admitted since the last report was taken.
	usedSince float64
	// The bucket. granted is what it held when it was set last.
	rate, burst, tokens, granted float64
	filledAt                     time.Time
	// listed says that the bucket is from a grant that holds until validUntil.
	listed     bool
	validUntil time.Time
	level1At   time.Time
	lastAsked  time.Time
}

// acksKept covers settledAge at the shortest interval of reports.
const acksKept = int(settledAge/urgentReportInterval) + 1

type ack struct {
	at              time.Time
	asked, admitted int64
}

// NewNode returns the state of a node that has just started. The seed is for the choice between
// requests where a part of the quota is under one request.
func NewNode(seed uint64) *Node {
	return &Node{
		nodes: 1, random: rand.New(rand.NewPCG(seed, seed)),
		tenants: make(map[string]*nodeTenant), dirty: make(map[string]*nodeTenant), limited: make(map[string]*nodeTenant),
	}
}

// SetNodes sets the number of live nodes.
func (n *Node) SetNodes(nodes int) { n.nodes = max(1, nodes) }

// Keep forgets the tenants that are not in the configuration any more.
func (n *Node) Keep(known func(tenant string) bool) {
	for name := range n.tenants {
		if !known(name) {
			delete(n.tenants, name)
			delete(n.dirty, name)
			delete(n.limited, name)
		}
	}
}

// Admit decides on one request of the tenant and counts it. For a refused one it returns the time
// until the tenant's quota admits a request again.
func (n *Node) Admit(now time.Time, tenant string, quota Quota) (ok bool, retryAfter time.Duration) {
	if !quota.Limited() {
		return true, 0
	}
	t := n.tenant(now, tenant, quota)
	t.asked++
	t.lastAsked = now
	n.dirty[tenant] = t
	n.fill(now, t)
	if !n.take(t) {
		t.refused++
		return false, min(maxRetryAfter, max(t.level1At.Sub(now), quota.waitFor(0), retryFloor))
	}
	t.admitted++
	t.usedSince++
	n.urgent = n.urgent || t.reportAtOnce()
	return true, 0
}

// take takes one token. Of a fraction it takes all, and admits with that probability: buckets of
// many nodes would otherwise store one request each. Without a coordinator a sparse tenant's fraction
// stays until a request is admitted, since there is no next grant.
func (n *Node) take(t *nodeTenant) bool {
	if t.tokens >= 1 {
		t.tokens--
		return true
	}
	admitted := t.tokens > 0 && n.random.Float64() < t.tokens
	if admitted || !n.failing || !t.sparse() {
		t.tokens = min(0, t.tokens)
	}
	return admitted
}

// sparse reports whether the grant is a part of single requests rather than a rate: the node had
// less than one request in a report interval.
func (t *nodeTenant) sparse() bool {
	return t.granted < 1 && t.granted > t.rate*ReportInterval.Seconds()
}

// reportAtOnce reports whether the use since the last report is a large part of what was granted,
// and more than the rate of the grant allows in two intervals.
func (t *nodeTenant) reportAtOnce() bool {
	exhausted := t.granted >= 1 && t.tokens < 1
	return exhausted || t.usedSince >= max(1, t.granted/2, 2*t.rate*ReportInterval.Seconds())
}

// Refund takes back the charge of an admitted request that did not run.
func (n *Node) Refund(now time.Time, tenant string) {
	t := n.tenants[tenant]
	if t == nil {
		return
	}
	n.fill(now, t)
	t.admitted--
	t.usedSince--
	t.tokens++
	n.dirty[tenant] = t
}

func (n *Node) tenant(now time.Time, name string, quota Quota) *nodeTenant {
	t := n.tenants[name]
	if t == nil {
		t = &nodeTenant{name: name, quota: quota, filledAt: now}
		n.tenants[name] = t
		n.setFree(t)
	}
	if t.quota != quota {
		t.scale(quota)
	}
	return t
}

// scale applies a new quota to what was granted by the old one. Only a lower quota changes the
// grant: a higher one takes effect with the next.
func (t *nodeTenant) scale(quota Quota) {
	if !t.quota.Limited() { // granted before the tenant was first asked for here
		t.quota = quota
		return
	}
	byRate := min(1, quota.RatePerS/t.quota.RatePerS)
	byBurst := min(byRate, quota.capacity()/t.quota.capacity())
	t.rate *= byRate
	t.burst *= byBurst
	t.tokens = min(t.tokens, max(0, t.tokens*byBurst))
	t.quota = quota
}

// setFree sets the bucket of a tenant for which there is no grant.
func (n *Node) setFree(t *nodeTenant) {
	t.listed = false
	t.rate = t.quota.RatePerS / float64(n.nodes)
	t.burst = t.quota.free(n.nodes)
	if n.failing {
		t.burst = 1
	}
	t.tokens = t.burst - t.usedSince
	t.granted = t.burst
}

// fill refills the tenant's bucket. A grant that has expired while reports pass is replaced: the
// tenant was not limited, or this node had nothing to report of it.
func (n *Node) fill(now time.Time, t *nodeTenant) {
	if t.listed && !n.failing && now.After(t.validUntil) {
		n.setFree(t)
	}
	stored := t.burst
	switch {
	case n.failing:
		stored = max(1, t.rate*ReportInterval.Seconds())
	case t.listed:
		stored = max(t.burst, t.rate*GrantValid.Seconds())
	}
	if t.tokens < stored {
		t.tokens = min(stored, t.tokens+t.rate*now.Sub(t.filledAt).Seconds())
	}
	t.filledAt = now
}

// ReportDue returns when the next report is to be taken, and false if there is nothing to report.
func (n *Node) ReportDue(now time.Time) (time.Time, bool) {
	if n.inFlight {
		return time.Time{}, false
	}
	if n.urgent && !n.failing {
		return n.reported.Add(urgentReportInterval), true
	}
	if len(n.dirty) == 0 {
		n.forgetLimited(now)
	}
	return n.reported.Add(ReportInterval), len(n.dirty) > 0 || len(n.limited) > 0
}

func (n *Node) forgetLimited(now time.Time) {
	for name, t := range n.limited {
		if now.Sub(t.lastAsked) > limitedMemory {
			delete(n.limited, name)
		}
	}
}

// Report takes a report: the counts that are not acknowledged, ordered by tenant. Apply or Failed
// must follow.
func (n *Node) Report(now time.Time) []Use {
	n.reported, n.inFlight, n.urgent = now, true, false
	uses := make([]Use, 0, len(n.dirty))
	for name, t := range n.dirty {
		t.sentAsked, t.sentAdmitted, t.usedSince = t.asked, t.admitted, 0
		uses = append(uses, Use{Tenant: name, Asked: t.asked - t.baseAsked, Admitted: t.admitted - t.baseAdmitted})
	}
	slices.SortFunc(uses, byTenant)
	return uses
}

// Apply takes over the response to the last report.
func (n *Node) Apply(now time.Time, grants Grants) {
	n.inFlight, n.failing, n.applied = false, false, now
	reported := make([]*nodeTenant, 0, len(n.dirty))
	for name, t := range n.dirty {
		if t.sentAsked == 0 && t.sentAdmitted == 0 {
			continue // first asked for since the report was taken
		}
		t.acknowledge(now)
		reported = append(reported, t)
		if t.asked == t.ackedAsked && t.admitted == t.ackedAdmit {
			delete(n.dirty, name)
		}
	}
	clear(n.limited)
	listed := make(map[string]bool, len(grants.Limits))
	for _, limit := range grants.Limits {
		listed[limit.Tenant] = true
		n.applyLimit(now, limit, grants.Valid)
	}
	for _, t := range reported {
		if !listed[t.name] {
			n.setFree(t)
			t.filledAt = now
		}
	}
}

func (n *Node) applyLimit(now time.Time, limit Limit, valid time.Duration) {
	t := n.tenants[limit.Tenant]
	if t == nil {
		t = &nodeTenant{name: limit.Tenant}
		n.tenants[limit.Tenant] = t
	}
	t.rate, t.burst, t.granted = limit.RatePerS, limit.Burst, limit.Burst
	t.tokens = limit.Burst - t.usedSince
	t.filledAt = now
	t.listed, t.validUntil, t.level1At = true, now.Add(valid), now.Add(limit.Wait)
	if limit.Burst < 1 && now.Sub(t.lastAsked) <= limitedMemory {
		n.limited[t.name] = t
	}
}

// acknowledge records that the coordinator has what was sent last.
func (t *nodeTenant) acknowledge(now time.Time) {
	t.ackedAsked, t.ackedAdmit = t.sentAsked, t.sentAdmitted
	copy(t.acks[:], t.acks[1:])
	t.acks[acksKept-1] = ack{at: now, asked: t.ackedAsked, admitted: t.ackedAdmit}
}

// Failed says that the last report has not been acknowledged.
func (n *Node) Failed() { n.inFlight, n.failing = false, true }

// NewSession makes the counts of the next report those of a new session, with another coordinator.
// It has what the last one may not have passed on.
func (n *Node) NewSession() {
	n.inFlight = false
	for name, t := range n.tenants {
		t.baseAsked, t.baseAdmitted = t.settled(n.applied)
		if t.asked != t.baseAsked || t.admitted != t.baseAdmitted {
			n.dirty[name] = t
		}
	}
}

// settled returns the counts that were acknowledged settledAge or more before the last contact.
func (t *nodeTenant) settled(contact time.Time) (asked, admitted int64) {
	asked, admitted = t.baseAsked, t.baseAdmitted
	for _, a := range t.acks {
		if !a.at.IsZero() && contact.Sub(a.at) >= settledAge {
			asked, admitted = a.asked, a.admitted
		}
	}
	return asked, admitted
}

func byTenant(a, b Use) int {
	switch {
	case a.Tenant < b.Tenant:
		return -1
	case a.Tenant > b.Tenant:
		return 1
	}
	return 0
}
