package usagecap

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// evenShare is the part of the rate that counts as demand spread evenly over all nodes. It
	// bounds what the first nodes to ask get, and is small enough that demand decides under load.
	evenShare = 0.25
	// debtTime is the time in which a debt is repaid; a debt of this time's rate stops all grants.
	debtTime = time.Second
	// exchangeShare is the part of the burst after whose use a coordinator exchanges at once.
	exchangeShare = 0.1
	// openDelay is how long a request may be admitted before all nodes know: a node's report, an
	// exchange, and the next report of the others, half an interval each and their ways.
	openDelay = 2 * ReportInterval
	// silentAfter is the time without contact after which a domain counts as not heard.
	silentAfter = 2 * ReportInterval
	// closedDemand is the least demand of a tenant that is not open, as a multiple of its part of
	// the rate.
	closedDemand = 1.5
	// startTime is how long after a coordinator's start its nodes' first reports have use from
	// before it.
	startTime = time.Second
	// firstReportWeight is an interval of reports as a part of the time whose requests the first
	// report of a session has: settledAge, and the time to find the next coordinator.
	firstReportWeight = 1.0 / 3
	// maxLimits bounds the tenants in a grant that the node did not report.
	maxLimits = 256
)

// Coordinator is the part of the mechanism at the coordinator of a failure domain. It is not safe
// for concurrent use.
type Coordinator struct {
	domain  string
	started time.Time
	quota   func(tenant string) (Quota, bool)
	nodes   int // of the own domain
	// domains holds the other domains, names their names in order.
	domains map[string]*remoteDomain
	names   []string
	tenants map[string]*capTenant
	// closed holds the tenants that are not open.
	closed map[string]*capTenant
	// changes counts the changes of the own totals, begun is that count at the last exchange.
	changes  uint64
	begun    uint64
	streams  map[string]stream
	peers    map[string]*peerState
	rebased  time.Time
	pushed   time.Time
	urgent   bool
	sessions map[string]uint64
}

// remoteDomain is another failure domain.
type remoteDomain struct {
	nodes int
	// heard is when there was contact last, zero if never; failedSince is when an exchange first
	// failed after that, zero if none has.
	heard, failedSince time.Time
	// inRound is set once the domain was heard since the allotments were set last.
	inRound bool
}

// silent reports whether the domain is taken as cut off.
func (d *remoteDomain) silent(now time.Time) bool {
	return !d.failedSince.IsZero() && now.Sub(d.failedSince) >= silentAfter
}

// peerState is what one coordinator of another domain has been sent.
type peerState struct {
	incarnation uint64
	sent, acked uint64
}

// stream identifies the totals of one coordinator's incarnation.
type stream struct{ incarnation uint64 }

// capTenant is what a coordinator holds of one tenant.
type capTenant struct {
	name  string
	quota Quota
	// level is the bucket of all domains, allotment the own domain's part of it. A debt of more
	// than the permitted excess is from before the present window, as after a cut, and not repaid.
	level, allotment float64
	at               time.Time
	rebased          time.Time
	// asked and admitted are the totals of the own domain since the coordinator's start.
	asked, admitted int64
	changed         uint64
	// refusedAt is when a node last reported a refused request; over is set from the first one
	// until none was refused for overMemory.
	refusedAt time.Time
	over      bool
	// unsent counts what was admitted since the last exchange.
	unsent  float64
	demand  rateEstimate
	nodes   map[string]*counted
	remotes map[string]*counted // by coordinator
	domains map[string]*domainUse
}

// counted is what one session has reported of a tenant.
type counted struct {
	session         uint64
	asked, admitted int64
	demand          rateEstimate
}

// domainUse is the use of a tenant in another domain.
type domainUse struct {
	demand rateEstimate
	// assumed is what the level was debited with while the domain was silent.
	silent  bool
	assumed float64
}

// NewCoordinator returns the state of a coordinator that has just started: all levels are 0, since
// the use before is not known. quota returns a tenant's quota, and false if there is none.
func NewCoordinator(now time.Time, domain string, quota func(tenant string) (Quota, bool)) *Coordinator {
	return &Coordinator{
		domain: domain, started: now, quota: quota, nodes: 1,
		domains: make(map[string]*remoteDomain), tenants: make(map[string]*capTenant), closed: make(map[string]*capTenant),
		streams: make(map[string]stream), peers: make(map[string]*peerState), sessions: make(map[string]uint64),
	}
}

// SetNodes sets the number of nodes in each failure domain. A domain that is cut off keeps its part
// of the quotas as long as it is among them.
func (c *Coordinator) SetNodes(nodes map[string]int) {
	c.nodes = max(1, nodes[c.domain])
	for domain, count := range nodes {
		if domain == c.domain {
			continue
		}
		if c.domains[domain] == nil {
			c.domains[domain] = &remoteDomain{}
		}
		c.domains[domain].nodes = count
	}
	maps.DeleteFunc(c.domains, func(domain string, _ *remoteDomain) bool { _, ok := nodes[domain]; return !ok })
	c.names = slices.Sorted(maps.Keys(c.domains))
}

func (c *Coordinator) fleetNodes() float64 {
	nodes := c.nodes
	for _, d := range c.domains {
		nodes += d.nodes
	}
	return float64(nodes)
}

func (c *Coordinator) tenant(now time.Time, name string) *capTenant {
	quota, ok := c.quota(name)
	if !ok || !quota.Limited() {
		delete(c.closed, name)
		delete(c.tenants, name)
		return nil
	}
	t := c.tenants[name]
	if t == nil {
		t = &capTenant{
			name: name, quota: quota, at: now, rebased: now,
			level: min(quota.capacity(), quota.RatePerS*max(0, now.Sub(c.started).Seconds())),
			nodes: make(map[string]*counted), remotes: make(map[string]*counted), domains: make(map[string]*domainUse),
		}
		c.tenants[name] = t
	}
	c.advance(now, t)
	if t.quota != quota {
		t.quota = quota
		t.level = min(t.level, quota.capacity())
		t.allotment = min(t.allotment, quota.capacity())
	}
	return t
}

// advance brings the buckets forward to now.
func (c *Coordinator) advance(now time.Time, t *capTenant) {
	seconds := max(0, now.Sub(t.at).Seconds())
	t.at = now
	t.level += t.quota.RatePerS * seconds
	for _, name := range c.names {
		d := c.domains[name]
		use := t.domainUse(name)
		if silent := d.silent(now); silent != use.silent {
			use.silent = silent
			if silent {
				use.assume(t, c.domainShare(now, t, name), now.Sub(d.heard).Seconds()-seconds)
			}
		}
		if use.silent {
			use.assume(t, c.domainShare(now, t, name), seconds)
		}
	}
	t.level = max(-t.quota.excess(), min(t.level, t.quota.capacity()))
	share := c.domainShare(now, t, c.domain)
	if t.rebased.Before(c.rebased) || len(c.domains) == 0 {
		t.rebased = c.rebased
		t.allotment = share * t.level
		return
	}
	t.allotment = min(share*t.quota.capacity(), t.allotment+share*t.quota.RatePerS*seconds)
}

// assume debits the level with the part of the quota that a silent domain may use.
func (u *domainUse) assume(t *capTenant, share, seconds float64) {
	assumed := t.quota.RatePerS * share * max(0, min(seconds, t.quota.capacity()/t.quota.RatePerS+1))
	t.level -= assumed
	u.assumed += assumed
}

func (t *capTenant) domainUse(domain string) *domainUse {
	use := t.domains[domain]
	if use == nil {
		use = &domainUse{}
		t.domains[domain] = use
	}
	return use
}

// demandOf returns the demand in a domain. One that was never heard is assumed to have as much
// demand per node as the own, one that is not heard now as much as when it was.
func (c *Coordinator) demandOf(now time.Time, t *capTenant, domain string) float64 {
	if domain == c.domain {
		return t.demand.value(now)
	}
	d := c.domains[domain]
	use := t.domainUse(domain)
	switch {
	case d == nil:
		return 0
	case d.heard.IsZero():
		return t.demand.value(now) * float64(d.nodes) / float64(c.nodes)
	case !d.failedSince.IsZero():
		return use.demand.value(d.heard)
	}
	return use.demand.value(now)
}

// fleetDemand returns the demand of all domains.
func (c *Coordinator) fleetDemand(now time.Time, t *capTenant) float64 {
	sum := t.demand.value(now)
	for _, name := range c.names {
		sum += c.demandOf(now, t, name)
	}
	return sum
}

// domainShare returns a domain's part of the quota.
func (c *Coordinator) domainShare(now time.Time, t *capTenant, domain string) float64 {
	if len(c.domains) == 0 {
		return 1
	}
	nodes := c.nodes
	if domain != c.domain {
		nodes = c.domains[domain].nodes
	}
	even := evenShare * t.quota.RatePerS
	return (c.demandOf(now, t, domain) + even*float64(nodes)/c.fleetNodes()) / (c.fleetDemand(now, t) + even)
}

// nodeShare returns a node's part of the domain's part.
func (c *Coordinator) nodeShare(now time.Time, t *capTenant, node string) float64 {
	demand := 0.0
	if n := t.nodes[node]; n != nil {
		demand = n.demand.value(now)
	}
	even := evenShare * t.quota.RatePerS / c.fleetNodes()
	return (demand + even) / (t.demand.value(now) + even*float64(c.nodes))
}

// open reports whether each node may admit a request although its part is less than one: the
// requests that come until all nodes know of it fit the level and half of the permitted excess.
func (c *Coordinator) open(now time.Time, t *capTenant) bool {
	return t.level >= 1 && c.fleetDemand(now, t)*openDelay.Seconds() <= t.level+t.quota.excess()/2
}

// Report takes over a node's report and returns its limits. The counts of a session begin at 0.
func (c *Coordinator) Report(now time.Time, node string, session uint64, uses []Use) Grants {
	grants := Grants{Valid: GrantValid}
	if session < c.sessions[node] {
		return grants // a message that was held up
	}
	first := session != c.sessions[node]
	c.sessions[node] = session
	reported := make(map[string]bool, len(uses))
	for _, use := range uses {
		t := c.tenant(now, use.Tenant)
		if t == nil {
			continue
		}
		reported[use.Tenant] = true
		asked, admitted := addTo(t.nodes, now, node, session, use)
		c.addOwn(now, t, asked, admitted, first)
	}
	for name := range reported {
		grants.Limits = append(grants.Limits, c.limit(now, c.tenants[name], node))
	}
	listed := 0
	for _, name := range slices.Sorted(maps.Keys(c.closed)) {
		if t := c.tenant(now, name); t != nil && !reported[name] && listed < maxLimits {
			grants.Limits = append(grants.Limits, c.limit(now, t, node))
			listed++
		}
	}
	slices.SortFunc(grants.Limits, func(a, b Limit) int { return cmp.Compare(a.Tenant, b.Tenant) })
	return grants
}

// addTo adds a use to the sessions and returns what it has in addition.
func addTo(sessions map[string]*counted, now time.Time, name string, session uint64, use Use) (asked, admitted int64) {
	known := sessions[name]
	if known == nil || known.session != session {
		next := &counted{session: session}
		if known != nil {
			next.demand = known.demand
		}
		sessions[name], known = next, next
	}
	asked, admitted = max(0, use.Asked-known.asked), use.Admitted-known.admitted
	known.asked, known.admitted = max(known.asked, use.Asked), use.Admitted
	known.demand.add(now, float64(asked))
	return asked, admitted
}

// addOwn adds what a node has reported in addition. first is set for the first report of a session.
func (c *Coordinator) addOwn(now time.Time, t *capTenant, asked, admitted int64, first bool) {
	t.asked += asked
	t.admitted += admitted
	t.unsent += float64(admitted)
	if asked > admitted && !c.open(now, t) { // of an open tenant they were refunded
		t.refusedAt = now
	}
	demand := float64(asked)
	if first {
		demand *= firstReportWeight
	}
	t.demand.add(now, demand)
	if !first || now.Sub(c.started) > startTime {
		// The levels of a new coordinator begin at 0, which stands for the use before.
		t.level -= float64(admitted)
		t.allotment -= float64(admitted)
	}
	c.changes++
	t.changed = c.changes
	c.urgent = c.urgent || t.unsent > max(1, exchangeShare*t.quota.capacity())
}

// limit returns the limit of the tenant at the node.
func (c *Coordinator) limit(now time.Time, t *capTenant, node string) Limit {
	share, rate := c.nodeShare(now, t, node), c.domainRate(now, t)
	limit := Limit{
		Tenant:   t.name,
		RatePerS: share * rate,
		Burst:    max(0, share*min(t.allotment, t.level), c.sparseBurst(now, t, rate)),
		Wait:     t.quota.waitFor(t.level),
	}
	if c.open(now, t) {
		limit.Burst = max(1, limit.Burst)
		delete(c.closed, t.name)
	} else {
		c.closed[t.name] = t
	}
	return limit
}

// domainRate returns the domain's part of the rate, less what repays a debt.
func (c *Coordinator) domainRate(now time.Time, t *capTenant) float64 {
	rate := t.quota.RatePerS
	if t.level < 0 {
		rate = max(0, rate+t.level/debtTime.Seconds())
	}
	return rate * c.domainShare(now, t, c.domain)
}

// sparseBurst returns the part of the requests that each node may admit where a node has less than
// one in a report interval. Parts by demand do not work there: they follow single requests.
func (c *Coordinator) sparseBurst(now time.Time, t *capTenant, rate float64) float64 {
	// A tenant that is not open is taken to ask for more than its part, also before that shows.
	demand := max(t.demand.value(now), closedDemand*rate)
	perReport := demand / float64(c.nodes) * ReportInterval.Seconds()
	if perReport >= 1 || demand <= 0 {
		return 0
	}
	return min(1, (rate+max(0, min(t.allotment, t.level))/debtTime.Seconds())/demand) * (1 - perReport)
}

// ExchangeDue returns when the next exchange is due, and false if there is nothing to exchange.
func (c *Coordinator) ExchangeDue() (time.Time, bool) {
	if len(c.domains) == 0 || c.sentToAll() {
		return time.Time{}, false
	}
	if c.urgent {
		return c.pushed.Add(urgentExchangeInterval), true
	}
	return c.pushed.Add(ReportInterval), true
}

func (c *Coordinator) sentToAll() bool {
	if c.begun < c.changes {
		return false
	}
	for _, p := range c.peers {
		if p.acked < c.changes {
			return false
		}
	}
	return true
}

// BeginExchange starts an exchange: Totals and Exchanged follow for each coordinator of another
// domain.
func (c *Coordinator) BeginExchange(now time.Time, peers []string) {
	c.pushed, c.begun, c.urgent = now, c.changes, false
	maps.DeleteFunc(c.peers, func(name string, _ *peerState) bool { return !slices.Contains(peers, name) })
	for _, name := range peers {
		if c.peers[name] == nil {
			c.peers[name] = &peerState{}
		}
	}
	for _, t := range c.tenants {
		t.unsent = 0
	}
}

// Totals returns what the peer does not have yet, ordered by tenant.
func (c *Coordinator) Totals(peer string) []Use {
	p := c.peers[peer]
	if p == nil {
		return nil
	}
	p.sent = c.changes
	var uses []Use
	for name, t := range c.tenants {
		if t.changed > p.acked {
			uses = append(uses, Use{Tenant: name, Asked: t.asked, Admitted: t.admitted})
		}
	}
	slices.SortFunc(uses, byTenant)
	return uses
}

// Exchanged says that the peer of the domain has the totals, and that incarnation is its own.
func (c *Coordinator) Exchanged(now time.Time, domain, peer string, incarnation uint64) {
	if p := c.peers[peer]; p != nil {
		if p.incarnation != 0 && p.incarnation != incarnation {
			p.acked = 0 // it has started again, and has only what was sent now
		} else {
			p.acked = p.sent
		}
		p.incarnation = incarnation
	}
	c.hear(now, domain)
}

// ExchangeFailed says that the domain's coordinator was not reached.
func (c *Coordinator) ExchangeFailed(now time.Time, domain string) {
	d := c.domains[domain]
	if d == nil {
		return
	}
	if d.failedSince.IsZero() {
		d.failedSince = now
	}
	c.endRound(now)
}

// hear notes contact with the domain.
func (c *Coordinator) hear(now time.Time, domain string) {
	d := c.domains[domain]
	if d == nil {
		return
	}
	d.heard, d.failedSince, d.inRound = now, time.Time{}, true
	c.endRound(now)
}

// endRound lets the allotments be set by the levels once all domains in contact were heard.
func (c *Coordinator) endRound(now time.Time) {
	heard := 0
	for _, d := range c.domains {
		if d.inRound {
			heard++
		} else if !d.silent(now) {
			return
		}
	}
	if heard == 0 {
		return
	}
	c.rebased = now
	for _, d := range c.domains {
		d.inRound = false
	}
}

// Receive takes over the totals of another domain's coordinator, and returns the own totals of the
// same tenants.
func (c *Coordinator) Receive(now time.Time, domain, coordinator string, incarnation uint64, uses []Use) []Use {
	known := c.streams[coordinator].incarnation
	if domain == c.domain || incarnation < known {
		return nil
	}
	c.streams[coordinator] = stream{incarnation: incarnation}
	var own []Use
	for _, use := range uses {
		t := c.tenant(now, use.Tenant)
		if t == nil {
			continue
		}
		c.addRemote(now, t, domain, coordinator, incarnation, use)
		if t.asked > 0 {
			own = append(own, Use{Tenant: use.Tenant, Asked: t.asked, Admitted: t.admitted})
		}
	}
	c.hear(now, domain)
	return own
}

func (c *Coordinator) addRemote(now time.Time, t *capTenant, domain, coordinator string, incarnation uint64, use Use) {
	known, first := t.domainUse(domain), t.remotes[coordinator]
	assumed := c.demandOf(now, t, domain)
	asked, admitted := addTo(t.remotes, now, coordinator, incarnation, use)
	debit := float64(admitted)
	d := c.domains[domain]
	switch {
	case d == nil:
		return
	case d.heard.IsZero():
		// The totals are of a time before this coordinator's levels.
		debit = 0
		known.demand = rateEstimate{perSecond: assumed, at: now}
	case first == nil || first.session != incarnation:
		// The domain's new coordinator has counted since its start, which may be long ago.
		debit = min(debit, t.quota.capacity())
	}
	if !d.heard.IsZero() {
		// The counts of a time without contact are those of a rate, not of this instant.
		since := max(ReportInterval, now.Sub(d.heard))
		known.demand.add(now, float64(asked)*ReportInterval.Seconds()/since.Seconds())
	}
	// What the domain left of its part while it was not heard is not given to others afterwards.
	t.level -= max(0, debit-known.assumed)
	known.assumed = 0
}
