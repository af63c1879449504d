package keyed

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// candidateSetSize is the number of gates in a key's candidate set.
const candidateSetSize = 3

// Weight returns a gate's weight for a key by rendezvous hash (Thaler, Ravishankar:
// "A Name-Based Mapping Scheme for Rendezvous", 1996). The gate with the highest
// weight is the key's primary, to which entry nodes send calls with the key.
func Weight(gate, key string) uint64 { return xxhash.Sum64String(gate + "\x00" + key) }

// candidates returns the gates that can be in the key's candidate set by the table
// of any serving gate, highest weight first. There can be more than candidateSetSize:
// a gate that joined or left within the retention may be in some tables and not in
// others.
func (m *Machine) candidates(key string) []*member {
	minWeight := m.minCandidateWeight(key)
	var ranked []*member
	for _, g := range m.members {
		if g.weight >= minWeight && (g.Running || m.withinRetention(g.changedAt)) && !g.handedOver() {
			ranked = append(ranked, g)
		}
	}
	slices.SortFunc(ranked, func(a, b *member) int { return cmp.Compare(b.weight, a.weight) })
	return ranked
}

// minCandidateWeight sets every member's weight for the key and returns the lowest
// weight that a candidate can have. A gate is established if it is running, neither
// joined nor left within the retention and has not handed its claims over; it may have
// restarted. Established gates are in every table, so no gate below the
// candidateSetSize highest of them can be a candidate.
func (m *Machine) minCandidateWeight(key string) uint64 {
	var highest [candidateSetSize]uint64
	for _, g := range m.members {
		g.weight = Weight(g.ID, key)
		if !g.Running || m.withinRetention(g.changedAt) || g.handedOver() {
			continue
		}
		weight := g.weight
		for i := range highest {
			if weight > highest[i] {
				highest[i], weight = weight, highest[i]
			}
		}
	}
	return highest[candidateSetSize-1]
}

// hasMajorities reports whether the claim has a majority of every candidate set that a
// serving gate may derive. A gate counts if it recorded the claim, is running and has
// not restarted within the retention. The worst-case table has all established gates
// and, of the recently changed ones, only those that do not count.
func (m *Machine) hasMajorities(candidates []*member, recorded map[string]bool) bool {
	size, missing := 0, 0
	for _, g := range candidates {
		counts := recorded[g.ID] && g.Running && !m.withinRetention(g.restartedAt)
		if counts && m.withinRetention(g.changedAt) {
			continue // the worst-case table lacks it
		}
		size++
		if !counts {
			missing++
		}
		if size == candidateSetSize {
			break
		}
	}
	// size is 0 if all candidates changed recently and count.
	return size == 0 || missing <= (size-1)/2
}
