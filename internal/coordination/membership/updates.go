package membership

import (
	"math"
	"slices"
	"strings"
)

// updateQueue holds the membership updates that this node still disseminates.
type updateQueue struct {
	// remaining is, by member ID, how many more messages carry the record.
	remaining map[string]int
}

func (q *updateQueue) hasPending() bool { return len(q.remaining) > 0 }

// disseminate queues a changed record for the probes and acks within the local
// domain and, if the member belongs to this domain, for the other domains.
func (m *Machine) disseminate(member Member) {
	size := float64(len(m.table.sortedDomain(m.self.Domain)) + 1)
	m.updates.remaining[member.ID] = retransmitFactor * int(math.Ceil(math.Log10(size)))
	if member.Domain == m.self.Domain {
		m.relay.recordChange(member.ID)
	}
}

// piggyback adds the queued updates with the most remaining transmissions to the
// members of a message and decrements their counts, unless the receiver is known to
// be of another domain.
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

// appendRecord appends the member's record unless members already contains one.
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

// recordsOf returns the records of the IDs that are in the table.
func (m *Machine) recordsOf(ids ...string) []Member {
	var members []Member
	for _, id := range ids {
		members = m.appendRecord(members, id)
	}
	return members
}
