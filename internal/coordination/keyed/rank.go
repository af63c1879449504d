package keyed

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// candidateSetSize is how many gates hold a key's claim.
const candidateSetSize = 3

// Weight ranks a gate for a key by rendezvous hash (Thaler, Ravishankar: "A
// Name-Based Mapping Scheme for Rendezvous", 1996); the highest is the home.
func Weight(gate, key string) uint64 { return xxhash.Sum64String(gate + "\x00" + key) }

// candidates returns the gates that can be among the first candidateSetSize for the key
// in the table of any serving gate, highest first. A gate that came or went
// within the retention stands in some tables and not in others.
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

// minCandidateWeight weighs all gates for the key and returns the weight of the last
// certain one in the set: no gate below it can be a candidate.
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

// hasMajorities reports whether the gates that recorded the claim and kept their
// memory are a majority of every candidate set that a serving gate may hold.
// The worst set has all certain gates, each uncertain one that does not count,
// and none of the uncertain ones that do.
func (m *Machine) hasMajorities(candidates []*member, recorded map[string]bool) bool {
	size, missing := 0, 0
	for _, g := range candidates {
		counts := recorded[g.ID] && g.Running && !m.withinRetention(g.restartedAt)
		if counts && m.withinRetention(g.changedAt) {
			continue
		}
		size++
		if !counts {
			missing++
		}
		if size == candidateSetSize {
			break
		}
	}
	return size == 0 || missing <= (size-1)/2
}
