package rollout

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// localStopScore is the evidence at which a node stops on its own. It exceeds that of the
// coordinator, because a node sees fewer targets and may itself be what is slow.
const localStopScore = 12

// overruledAfter is how many directives must continue a rollout until a node that has stopped on
// its own goes on: the coordinator knows the responses of all nodes.
const overruledAfter = 4

// unlimited is the grant in Shifting, which is limited in time only.
const unlimited = math.MaxUint32

// Outcome is the end of one attempt of a call.
type Outcome uint8

// The outcomes.
const (
	// Succeeded: the target sent a response that does not count as a failure.
	Succeeded Outcome = iota
	// Failed: the target responded with a failure, or broke the connection.
	Failed
	// NotCounted: the attempt says nothing about its target, for example because the gate
	// refused it or the caller left.
	NotCounted
)

// Decision says where an attempt may go.
type Decision struct {
	// Attempt identifies the attempt in Sent, Cancel and Observe.
	Attempt uint64
	// New is set if the attempt must go to a target of Version, the new version. Otherwise it
	// must go to a target of any other version.
	New     bool
	Version string
	// Endpoints lists the nodes to choose from if New is set; empty means all.
	Endpoints []string
}

// attempt is a call without an outcome.
type attempt struct {
	route, endpoint string
	isNew           bool
	at              time.Time
	// slow is set once the attempt was counted as slow.
	slow bool
}

// statsKey identifies one VersionStats of a node. Endpoint is empty for the old version.
type statsKey struct {
	isNew           bool
	route, endpoint string
}

// Node is the part of one running rollout at one node. It decides for each call of the
// service which version it goes to, and counts. It is not safe for concurrent use.
type Node struct {
	id          string
	incarnation uint64
	domain      string
	record      Record
	settings    Settings
	random      *rand.Rand

	calls, exposed uint64
	stats          map[statsKey]*VersionStats
	attempts       map[uint64]*attempt
	lastAttempt    uint64

	// The directive in use. maxExposed is the value of exposed at which the grant is used up,
	// and grantUntil its end.
	directive  Directive
	appliedTo  time.Time
	maxExposed uint64
	grantUntil time.Time

	// refuseFrom is when gates of old targets begin to refuse calls; zero before Shifting.
	refuseFrom   time.Time
	contactUntil time.Time
	idleReported bool

	local      *test
	stopReason string
	// overruled counts the directives that continued the rollout although the node had
	// reported that it stopped.
	overruled int
}

// NewNode returns the part of the node with this ID and incarnation for a rollout. Random
// is used to choose the calls that go to the new version.
func NewNode(id string, incarnation uint64, domain string, record Record, settings Settings, random *rand.Rand) *Node {
	return &Node{
		id: id, incarnation: incarnation, domain: domain, record: record, settings: settings, random: random,
		stats: make(map[statsKey]*VersionStats), attempts: make(map[uint64]*attempt),
		local: newTest(),
	}
}

// Route decides where an attempt of a call on a route goes, and counts it as sent. Each
// attempt ends with Cancel or Observe.
func (n *Node) Route(now time.Time, route string) Decision {
	d := Decision{New: n.choosesNew(now, route)}
	n.calls++
	if d.New {
		n.exposed++
		d.Version = n.record.TargetVersion
		if n.record.Phase < Shifting {
			d.Endpoints = n.directive.Endpoints
		}
	}
	n.lastAttempt++
	d.Attempt = n.lastAttempt
	n.attempts[d.Attempt] = &attempt{route: route, isNew: d.New, at: now}
	return d
}

func (n *Node) choosesNew(now time.Time, route string) bool {
	if n.record.Phase == Completed {
		return true
	}
	if n.record.Phase == RolledBack || n.stopReason != "" || !now.Before(n.grantUntil) {
		return false
	}
	if n.record.Phase == Shifting {
		return true
	}
	if n.exposed >= n.maxExposed {
		return false
	}
	share, ok := n.directive.RouteShares[route]
	if !ok {
		share = n.directive.Share
	}
	return n.random.Float64() < share
}

// Sent says which endpoint was chosen for an attempt.
func (n *Node) Sent(attempt uint64, endpoint string) {
	if a := n.attempts[attempt]; a != nil {
		a.endpoint = endpoint
	}
}

// Cancel takes back an attempt that was not sent, for example because no endpoint was free.
// It must be called before the next Report.
func (n *Node) Cancel(attempt uint64) {
	a := n.attempts[attempt]
	if a == nil {
		return
	}
	delete(n.attempts, attempt)
	n.calls--
	if a.isNew {
		n.exposed--
	}
}

// Observe notes the end of an attempt. Its response time is counted from Route.
func (n *Node) Observe(now time.Time, attempt uint64, outcome Outcome) {
	a := n.attempts[attempt]
	if a == nil {
		return
	}
	delete(n.attempts, attempt)
	if outcome == NotCounted || a.slow {
		return
	}
	s := n.statsOf(a)
	took := now.Sub(a.at)
	switch {
	case outcome == Failed:
		s.Failures++
		n.observed(a, 0, 1, 0)
	case n.isSlow(a.route, took):
		s.Slow++
		n.observed(a, 0, 0, 1)
	default:
		s.Successes++
		millis := math.Log(max(0.1, float64(took)/float64(time.Millisecond)))
		s.LogSum += millis
		s.LogSquares += millis * millis
		n.observed(a, 1, 0, 0)
	}
}

func (n *Node) isSlow(route string, took time.Duration) bool {
	limit, ok := n.directive.SlowLimits[route]
	return ok && took > limit
}

func (n *Node) statsOf(a *attempt) *VersionStats {
	key := statsKey{isNew: a.isNew, route: a.route}
	if a.isNew {
		key.endpoint = a.endpoint
	}
	s := n.stats[key]
	if s == nil {
		s = &VersionStats{Version: n.record.PreviousVersion, Route: a.route, Endpoint: key.endpoint}
		if a.isNew {
			s.Version = n.record.TargetVersion
		}
		n.stats[key] = s
	}
	return s
}

// observed updates the evidence of this node and stops the use of the new version if bad
// responses came from two targets or more. With one target only the coordinator can tell a
// bad target from a bad version.
func (n *Node) observed(a *attempt, good, failed, slow float64) {
	if !a.isNew || n.record.Phase.Final() || n.stopReason != "" {
		return
	}
	n.local.add(a.endpoint, n.oldShares(), good, failed, slow)
	for _, s := range []*score{&n.local.failures, &n.local.slow} {
		if _, most := s.top(); s.sum >= localStopScore && most < dominance*s.sum {
			n.stopReason = "responses of the new version at this node: " + s.String()
		}
	}
}

// oldShares returns the shares of bad responses of the old version at this node.
func (n *Node) oldShares() shares {
	var t totals
	for key, s := range n.stats {
		if !key.isNew {
			t.add(totals{good: float64(s.Successes), failed: float64(s.Failures), slow: float64(s.Slow)})
		}
	}
	return t.shares()
}

// Refuses reports whether the gate must refuse new calls for its target, whose version
// is given. In Shifting it begins one report interval after the node learned of it, when
// the entries in contact have their grants. Without contact to the coordinator the gate accepts calls
// again, unless it has reported that it is idle: the result may then be written at any time.
func (n *Node) Refuses(now time.Time, version string) bool {
	if version == "" || version == n.record.TargetVersion {
		return false
	}
	switch n.record.Phase {
	case Completed:
		return true
	case Shifting:
		// A node that was started in Shifting refuses until it first had contact.
		inContact := n.contactUntil.IsZero() && n.refuseFrom.IsZero() || now.Before(n.contactUntil)
		return !now.Before(n.refuseFrom) && (n.idleReported || inContact)
	}
	return false
}

// Report returns the report to the coordinator. Version is that of the local target if it
// belongs to the service, otherwise empty; inUse counts the calls that are running or queued
// at its gate. If the report says idle, the gate must not admit calls from then on, so inUse
// must be read after Refuses began to return true.
func (n *Node) Report(now time.Time, version string, inUse int) Report {
	n.countOverdue(now)
	if n.Refuses(now, version) && inUse == 0 {
		n.idleReported = true
	}
	r := Report{
		Node: n.id, Incarnation: n.incarnation, Domain: n.domain,
		Service: n.record.Service, Order: n.record.Order,
		Calls: n.calls, Exposed: n.exposed,
		Idle:    n.idleReported && n.record.Phase == Shifting,
		Stopped: n.stopReason != "", SentAt: now,
	}
	for _, s := range n.stats {
		r.Stats = append(r.Stats, *s)
	}
	slices.SortFunc(r.Stats, func(a, b VersionStats) int {
		return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.Route, b.Route), cmp.Compare(a.Endpoint, b.Endpoint))
	})
	return r
}

// countOverdue counts the attempts as slow that have had no response within the slow limit.
func (n *Node) countOverdue(now time.Time) {
	var overdue []uint64
	for id, a := range n.attempts {
		if !a.slow && n.isSlow(a.route, now.Sub(a.at)) {
			overdue = append(overdue, id)
		}
	}
	slices.Sort(overdue)
	for _, id := range overdue {
		a := n.attempts[id]
		a.slow = true
		n.statsOf(a).Slow++
		n.observed(a, 0, 0, 1)
	}
}

// Apply takes over the directive that responded to a report.
func (n *Node) Apply(now time.Time, report Report, d Directive) {
	if d.Record.Order != n.record.Order || report.Incarnation != n.incarnation || report.SentAt.Before(n.appliedTo) {
		return
	}
	n.appliedTo = report.SentAt
	n.directive = d
	n.maxExposed = report.Exposed + uint64(d.Grant)
	n.grantUntil = report.SentAt.Add(d.GrantFor)
	n.contactUntil = report.SentAt.Add(n.settings.GrantValidity)
	n.Learn(now, d.Record)
	if !report.Stopped || n.record.Phase.Final() {
		return
	}
	if n.overruled++; n.overruled >= overruledAfter {
		n.stopReason, n.overruled, n.local = "", 0, newTest()
	}
}

// Learn takes over a record of this order. The node then follows its phase at once.
func (n *Node) Learn(now time.Time, r Record) {
	if r.Service != n.record.Service || r.Order != n.record.Order {
		return
	}
	before := n.record.Phase
	n.record = Merge(n.record, r)
	if n.record.Phase == Shifting && before != Shifting {
		n.refuseFrom = now.Add(n.settings.ReportInterval)
	}
}

// Record returns the newest record that the node knows of its order.
func (n *Node) Record() Record { return n.record }

// Stopped reports whether the node found the new version bad by its own responses, and why.
// The runner then reports at once and tells all members (Report.Stopped).
func (n *Node) Stopped() (reason string, stopped bool) { return n.stopReason, n.stopReason != "" }
