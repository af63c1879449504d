package entry

import (
	"math"
	"strings"
	"time"

	"jasminegate/internal/coordination/call"
)

// Constants of the placement by expected time.
const (
	// slownessHalfLife is how fast a slowness is forgotten, so that a target that has recovered
	// gets calls again.
	slownessHalfLife = 2 * time.Second
	// usualFall and usualRise are the weights by which a route's usual service time follows lower
	// and higher reports: it is that of the fast targets, and rises only if all are slow.
	usualFall = 1.0 / 4
	usualRise = 1.0 / 256
	// slownessTolerance is the difference from the usual time that does not count; most targets
	// are within it, and need no computation.
	slownessTolerance = 0.1
	// slownessWeight is the weight of a report in an endpoint's slowness. Gates report averages.
	slownessWeight = 1.0 / 2
	// lostSlowness is the slowness of an endpoint that has just lost an attempt: as of a target
	// that is too slow for most calls.
	lostSlowness = 12.0
	// unmeasuredShare is the assumed service time of a route before the first report, as a
	// share of the time to the soft deadline.
	unmeasuredShare = 1.0 / 3
	// maxUsualRoutes bounds the routes whose usual service times are stored, and
	// maxRefusedFlows the flows for which an endpoint's refusals are remembered.
	maxUsualRoutes  = 1024
	maxRefusedFlows = 256
	// refusalJitter is the width of the jitter of the retry delay of calls that are refused
	// because of an earlier refusal.
	refusalJitter = 0.5
)

// pace is what an entry knows of the service times of an endpoint.
//
// Load pattern: sufficient capacity, unevenly distributed. A service has few targets, some become
// 5 to 12 times slower, and their free slots attract calls that they cannot serve in time.
type pace struct {
	// slowness is the service time relative to the route's usual one, as reported at slownessAt;
	// 0 if none was reported.
	slowness   float64
	slownessAt time.Time
	// refused holds the last refusals by flow.
	refused map[string]flowRefusal
}

// flowRefusal is an endpoint's refusal of a call. late says that the endpoint might have answered
// the call late.
type flowRefusal struct {
	late       bool
	until      time.Time
	retryAfter time.Duration
}

// slownessNow returns the slowness, which approaches 1 without reports.
func (p *pace) slownessNow(now time.Time) float64 {
	if math.Abs(p.slowness-1) < slownessTolerance || p.slowness == 0 {
		return 1
	}
	age := float64(max(0, now.Sub(p.slownessAt))) / float64(slownessHalfLife)
	return 1 + (p.slowness-1)*math.Exp2(-age)
}

// recordService records a reported service time; 0 is none.
func (m *Machine) recordService(now time.Time, c *request, ep *endpoint, service time.Duration) {
	if !m.options.ExpectedTime || service <= 0 {
		return
	}
	x := float64(service)
	usual, known := m.usual[c.Route]
	switch {
	case !known:
		if len(m.usual) >= maxUsualRoutes {
			clear(m.usual)
		}
		usual = x
	case x < usual:
		usual += (x - usual) * usualFall
	default:
		usual += (x - usual) * usualRise
	}
	m.usual[c.Route] = usual
	slowness := ep.slownessNow(now)
	ep.slowness, ep.slownessAt = slowness+(x/usual-slowness)*slownessWeight, now
}

// recordLost makes an endpoint count as slow after an attempt without a response: its node may be
// frozen, and then loses each further call for as long as the silence timeout.
func (m *Machine) recordLost(now time.Time, ep *endpoint) {
	if m.options.ExpectedTime {
		ep.slowness, ep.slownessAt = max(lostSlowness, ep.slownessNow(now)), now
	}
}

// expected returns the expected time from now until the endpoint's response.
func (m *Machine) expected(now time.Time, c *request, ep *endpoint) time.Duration {
	usual := c.usual
	if usual == 0 {
		if c.SoftDeadline.IsZero() {
			return 0
		}
		usual = float64(c.SoftDeadline.Sub(now)) * unmeasuredShare
	}
	return time.Duration(usual * ep.slownessNow(now) * (1 + ep.queueing(now)))
}

// queueing returns the calls that one more call would wait for, in calls per slot.
func (e *endpoint) queueing(now time.Time) float64 {
	return max(0, float64(e.load(now)+1)/float64(max(1, e.Slots))-1)
}

// inTime reports whether the endpoint is expected to respond by the soft deadline. After that
// every endpoint counts as in time for a late response.
func (m *Machine) inTime(now time.Time, c *request, ep *endpoint) bool {
	left := c.SoftDeadline.Sub(now)
	return left <= 0 || m.expected(now, c, ep) <= left
}

// expectedScore orders endpoints by the expected time until a response, relative to the usual one,
// and equal ones by their load; lower is better.
func (e *endpoint) expectedScore(now time.Time) float64 {
	return e.lossFactor(now) * (e.slownessNow(now)*(1+e.queueing(now)) + e.score(now))
}

// retryCanEnd reports whether a retry that is sent now is expected to end before the
// deadline at a target of usual speed. A retry that cannot takes a token and work for nothing, and
// holds the request until its caller gives up.
func (m *Machine) retryCanEnd(now time.Time, c *request) bool {
	return !m.options.ExpectedTime || now.Add(time.Duration(m.usual[c.Route])).Before(c.Deadline)
}

// pickExpected returns the endpoint for the call, or nil if none is left. Endpoints that are
// expected to respond in time come first, those of the local domain before others.
func (m *Machine) pickExpected(now time.Time, c *request) *endpoint {
	g := m.groups[c.Service]
	if g == nil {
		return nil
	}
	c.usual = m.usual[c.Route]
	local := m.bestExpected(now, g, c, true)
	if local != nil && m.inTime(now, c, local) && (m.options.SpillLoad == 0 || local.score(now) < m.options.SpillLoad) {
		return local
	}
	remote := m.bestExpected(now, g, c, false)
	switch {
	case local == nil:
		return remote
	case remote == nil || !m.inTime(now, c, remote):
		return local
	case !m.inTime(now, c, local):
		return remote
	case remote.hasCapacity(now) && remote.expectedScore(now)+spillScoreMargin < local.expectedScore(now):
		return remote
	}
	return local
}

// bestExpected returns the better of two random usable endpoints of the local or of the other
// domains, for a retry one whose target loses few calls. If some are expected to respond in time, it
// chooses between those.
func (m *Machine) bestExpected(now time.Time, g *group, c *request, local bool) *endpoint {
	eligible := m.pickBuffer[:0]
	inTime := 0
	for _, e := range g.endpoints {
		if (e.Domain == m.options.Domain) != local || !e.usable(now) || c.isExcluded(e) || !c.choice.allows(e) || e.refuses(now, c) {
			continue
		}
		eligible = append(eligible, e)
		if m.inTime(now, c, e) {
			last := len(eligible) - 1
			eligible[inTime], eligible[last] = eligible[last], eligible[inTime]
			inTime++
		}
	}
	m.pickBuffer = eligible
	if inTime > 0 {
		eligible = eligible[:inTime]
	}
	if c.repeat() == call.Retried {
		eligible = withoutLosses(now, eligible)
	}
	switch len(eligible) {
	case 0:
		return nil
	case 1:
		return eligible[0]
	}
	first := m.random.IntN(len(eligible))
	second := m.random.IntN(len(eligible) - 1)
	if second >= first {
		second++
	}
	if eligible[second].expectedScore(now) < eligible[first].expectedScore(now) {
		return eligible[second]
	}
	return eligible[first]
}

// flowOf names the calls that gates treat alike.
func flowOf(e Begin) string { return strings.Join([]string{e.Route, e.Tenant}, "\x00") }

// refuses reports whether the endpoint has just refused a call like this one. Nested calls are
// always tried.
func (e *endpoint) refuses(now time.Time, c *request) bool {
	if len(e.refused) == 0 || c.Nested {
		return false
	}
	refusal, known := e.refused[c.flow]
	return known && now.Before(refusal.until) && (refusal.late || !c.allowLate)
}

// rememberRefusal records that the endpoint refused a call for lack of capacity.
func (m *Machine) rememberRefusal(now time.Time, c *request, ep *endpoint, e Refused) {
	if !m.options.ExpectedTime || c.Nested {
		return
	}
	if known := ep.refused[c.flow]; c.requiredInTime && known.late && now.Before(known.until) {
		return
	}
	if ep.refused == nil {
		ep.refused = make(map[string]flowRefusal)
	}
	if len(ep.refused) >= maxRefusedFlows {
		clear(ep.refused)
	}
	ep.refused[c.flow] = flowRefusal{late: !c.requiredInTime, until: now.Add(overloadAvoidTime), retryAfter: e.RetryAfter}
}

// refusedEverywhere sets the refusal of a request for which no endpoint is left because they
// refused others like it.
func (m *Machine) refusedEverywhere(now time.Time, c *request) {
	if !m.options.ExpectedTime || c.lastRefusal.Outcome == call.NotRun {
		return
	}
	g := m.groups[c.Service]
	if g == nil {
		return
	}
	var least time.Duration
	for _, e := range g.endpoints {
		if e.usable(now) && e.refuses(now, c) {
			if after := e.refused[c.flow].retryAfter; least == 0 || after < least {
				least = after
			}
		}
	}
	if least > 0 {
		jitter := 1 + refusalJitter*(m.random.Float64()-0.5)
		c.lastRefusal = Refused{Outcome: call.NotRun, Reason: call.ReasonTooLate, RetryAfter: time.Duration(float64(least) * jitter)}
	}
}

// retryRefused sends a call that a gate could not answer in time to one more gate, which may
// answer late: one that is expected to answer in time, and otherwise any of the local domain. If
// that one refuses too, or all have just refused calls like it, the request fails.
//
// Load pattern: insufficient capacity for seconds, in which every further gate would refuse too.
func (m *Machine) retryRefused(now time.Time, c *request) []Action {
	if c.allowLate {
		return m.fail(c, "")
	}
	c.allowLate = true
	next := m.pickVersion(now, c, func() *endpoint {
		other := m.pickExpected(now, c)
		if other == nil || !m.inTime(now, c, other) {
			c.excluded = append(c.excluded[:0], c.rateLimited...)
			other = m.pickExpected(now, c)
		}
		return other
	})
	c.uncharged++
	return m.sendTo(c, next)
}
