package entry

import (
	"time"

	"jasminegate/internal/coordination/keyed"
)

// spillScoreMargin is by how much the other domain's endpoint must be better.
const spillScoreMargin = 0.25

// pick chooses an endpoint for the call: the better of two random ones of this
// failure domain, or of two elsewhere when those are loaded. The method is the
// power of two choices (Mitzenmacher, IEEE TPDS 12(10), 2001).
func (m *Machine) pick(now time.Time, c *request) *endpoint {
	g := m.groups[c.Service]
	if g == nil {
		return nil
	}
	if c.Key != "" {
		return ownerOf(g.endpoints, c.Key)
	}
	local := m.betterOfTwo(now, g, c, true)
	if local != nil && (m.options.SpillLoad == 0 || local.score(now) < m.options.SpillLoad) {
		return local
	}
	remote := m.betterOfTwo(now, g, c, false)
	if local == nil && c.overloadRetries > 0 && remote != nil && !remote.hasCapacity(now) {
		return nil // the refused call would be refused there too
	}
	if local == nil {
		return remote
	}
	if remote != nil && remote.score(now)+spillScoreMargin < local.score(now) {
		return remote
	}
	return local
}

// betterOfTwo returns the betterOfTwo of two random usable endpoints that are in this
// failure domain, or not in it.
func (m *Machine) betterOfTwo(now time.Time, g *group, c *request, local bool) *endpoint {
	candidates := m.candidates[:0]
	for _, e := range g.endpoints {
		if (e.Domain == m.options.Domain) == local && e.usable(now) && !c.isExcluded(e) {
			candidates = append(candidates, e)
		}
	}
	m.candidates = candidates
	switch len(candidates) {
	case 0:
		return nil
	case 1:
		return candidates[0]
	}
	first := m.random.IntN(len(candidates))
	second := m.random.IntN(len(candidates) - 1)
	if second >= first {
		second++
	}
	if candidates[second].score(now) < candidates[first].score(now) {
		return candidates[second]
	}
	return candidates[first]
}

// ownerOf returns the endpoint of the key by rendezvous hash, so that repeats meet
// the ledger of the first.
func ownerOf(endpoints []*endpoint, key string) *endpoint {
	var best *endpoint
	var highest uint64
	for _, e := range endpoints {
		if weight := keyed.Weight(e.ID, key); best == nil || weight > highest {
			best, highest = e, weight
		}
	}
	return best
}
