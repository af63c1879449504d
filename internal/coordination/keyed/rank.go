package keyed

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// setSize is how many gates hold a key's claim.
const setSize = 3

// Weight ranks a gate for a key by rendezvous hash (Thaler, Ravishankar: "A
// Name-Based Mapping Scheme for Rendezvous", 1996); the highest is the home.
func Weight(gate, key string) uint64 { return xxhash.Sum64String(gate + "\x00" + key) }

// candidates returns the gates that can be among the first setSize for the key
// in the table of any serving gate, highest first. A gate that came or went
// within the retention stands in some tables and not in others.
func (m *Machine) candidates(key string) []*member {
	least := m.leastWeight(key)
	var ranked []*member
	for _, g := range m.members {
		if g.weight >= least && (g.Running || m.recent(g.changed)) && !g.handedOver() {
			ranked = append(ranked, g)
		}
	}
	slices.SortFunc(ranked, func(a, b *member) int { return cmp.Compare(b.weight, a.weight) })
	return ranked
}

// leastWeight weighs all gates for the key and returns the weight of the last
// certain one in the set: no gate below it can be a candidate.
func (m *Machine) leastWeight(key string) uint64 {
	var highest [setSize]uint64
	for _, g := range m.members {
		g.weight = Weight(g.ID, key)
		if !g.Running || m.recent(g.changed) || g.handedOver() {
			continue
		}
		weight := g.weight
		for i := range highest {
			if weight > highest[i] {
				highest[i], weight = weight, highest[i]
			}
		}
	}
	return highest[setSize-1]
}

// covered reports whether the gates that recorded the claim and kept their
// memory are a majority of every candidate set that a serving gate may hold.
// The worst set has all certain gates, each uncertain one that does not count,
// and none of the uncertain ones that do.
func (m *Machine) covered(candidates []*member, recorded map[string]bool) bool {
	size, missing := 0, 0
	for _, g := range candidates {
		counts := recorded[g.ID] && g.Running && !m.recent(g.lost)
		if counts && m.recent(g.changed) {
			continue
		}
		size++
		if !counts {
			missing++
		}
		if size == setSize {
			break
		}
	}
	return size == 0 || missing <= (size-1)/2
}
