package entry

import (
	"time"

	"jasminegate/internal/coordination/call"
	"jasminegate/internal/coordination/keyed"
)

// spillScoreMargin is how far the score of an endpoint of another domain must be
// below that of the local endpoint for the call to go to the other domain.
const spillScoreMargin = 0.25

// pick returns an endpoint for the call, or nil if none is left. It compares two
// random endpoints of the local domain and, when the better one is loaded, two of
// other domains (power of two choices: Mitzenmacher, IEEE TPDS 12(10), 2001). A
// keyed call goes to the primary of its key. An attempt that may go to the new version of a
// rollout and finds no endpoint of it goes to another version.
func (m *Machine) pick(now time.Time, c *request) *endpoint {
	g := m.groups[c.Service]
	if g == nil {
		return nil
	}
	return m.pickVersion(now, c, func() *endpoint { return m.pickFrom(now, g, c) })
}

// pickVersion chooses the version for an attempt, and its endpoint with choose.
func (m *Machine) pickVersion(now time.Time, c *request, choose func() *endpoint) *endpoint {
	if m.options.Versions == nil {
		return choose()
	}
	c.choice = m.options.Versions.Route(now, c.Service, c.Route)
	chosen := choose()
	if chosen == nil && c.choice.New {
		m.options.Versions.Cancel(c.choice)
		c.choice = m.options.Versions.Fallback(now, c.Service)
		chosen = choose()
	}
	if chosen == nil {
		m.options.Versions.Cancel(c.choice)
		return nil
	}
	c.choiceOpen, c.choice.sentVersion = true, chosen.Version
	m.options.Versions.Sent(c.choice, chosen.Endpoint)
	return chosen
}

// pickFrom is pick within the choice of versions.
func (m *Machine) pickFrom(now time.Time, g *group, c *request) *endpoint {
	if c.Key != "" {
		return primaryOf(g.endpoints, c)
	}
	if m.options.ExpectedTime {
		return m.pickExpected(now, c)
	}
	local := m.betterOfTwo(now, g, c, true)
	if local != nil && (m.options.SpillLoad == 0 || local.score(now) < m.options.SpillLoad) {
		return local
	}
	remote := m.betterOfTwo(now, g, c, false)
	if local == nil {
		return remote
	}
	if remote != nil && remote.score(now)+spillScoreMargin < local.score(now) {
		return remote
	}
	return local
}

// betterOfTwo returns the better of two random usable endpoints that are not
// excluded, from the local domain if local is set, else from the other domains.
func (m *Machine) betterOfTwo(now time.Time, g *group, c *request, local bool) *endpoint {
	eligible := m.pickBuffer[:0]
	for _, e := range g.endpoints {
		if !local && c.overloadRetries > 0 && !e.hasCapacity(now) {
			continue // a remote gate without capacity would refuse the call too
		}
		if (e.Domain == m.options.Domain) == local && e.usable(now) && !c.isExcluded(e) && c.choice.allows(e) {
			eligible = append(eligible, e)
		}
	}
	m.pickBuffer = eligible
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
	if eligible[second].lossScore(now) < eligible[first].lossScore(now) {
		return eligible[second]
	}
	return eligible[first]
}

// primaryOf returns the endpoint that the rendezvous hash ranks first for the key,
// so that a retry reaches the gate whose ledger records the first call.
func primaryOf(endpoints []*endpoint, c *request) *endpoint {
	var best *endpoint
	var highest uint64
	for _, e := range endpoints {
		if !c.choice.allows(e) {
			continue
		}
		if weight := keyed.Weight(e.ID, c.Key); best == nil || weight > highest {
			best, highest = e, weight
		}
	}
	return best
}
