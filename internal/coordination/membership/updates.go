package membership

import (
	"math"
	"slices"
	"strings"
)

// updateQueue holds the changes that this node still passes on.
type updateQueue struct {
	// remaining is how many more messages carry the member's record.
	remaining map[string]int
}

func (n *updateQueue) hasPending() bool { return len(n.remaining) > 0 }

// disseminate passes a changed record on: by probes in the own domain, and to the
// other domains when it belongs to this one.
func (m *Machine) disseminate(member Member) {
	size := float64(len(m.table.sortedDomain(m.self.Domain)) + 1)
	m.updates.remaining[member.ID] = retransmitFactor * int(math.Ceil(math.Log10(size)))
	if member.Domain == m.self.Domain {
		m.relay.recordChange(member.ID)
	}
}

// piggyback adds the changes that were passed on least to the members of a
// message within the own domain, and charges them.
func (m *Machine) piggyback(to string, members []Member) []Member {
	if r := m.table.records[to]; r != nil && r.Domain != m.self.Domain {
		return members
	}
	ids := make([]string, 0, len(m.updates.remaining))
	for id := range m.updates.remaining {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b string) int {
		if order := m.updates.remaining[b] - m.updates.remaining[a]; order != 0 {
			return order
		}
		return strings.Compare(a, b)
	})
	for _, id := range ids[:min(len(ids), maxUpdatesPerMessage)] {
		m.updates.remaining[id]--
		if m.updates.remaining[id] <= 0 {
			delete(m.updates.remaining, id)
		}
		members = m.appendRecord(members, id)
	}
	return members
}

// appendRecord adds the record once.
func (m *Machine) appendRecord(members []Member, id string) []Member {
	r := m.table.records[id]
	if r == nil {
		return members
	}
	for _, member := range members {
		if member.ID == id {
			return members
		}
	}
	return append(members, r.Member)
}

// recordsOf returns the records of the members that are held.
func (m *Machine) recordsOf(ids ...string) []Member {
	var members []Member
	for _, id := range ids {
		members = m.appendRecord(members, id)
	}
	return members
}
