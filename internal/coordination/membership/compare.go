package membership

import (
	"slices"
	"time"
)

// noteDigest counts the peers in a row whose tables differ from this one.
func (m *Machine) noteDigest(from string, digest uint64) {
	if r := m.table.records[from]; r == nil || r.Domain != m.self.Domain {
		return
	}
	if digest == m.table.digest {
		m.prober.mismatches = 0
		return
	}
	m.prober.mismatches++
}

func (m *Machine) bucketDigests() []uint32 {
	return slices.Clone(m.table.buckets[:])
}

// answerComparison returns the records of the buckets that differ, from a
// random bucket on until the bound.
func (m *Machine) answerComparison(probe Probe) Ack {
	var answer Ack
	if len(probe.BucketDigests) != bucketCount {
		return answer
	}
	first := m.random.IntN(bucketCount)
	for i := range bucketCount {
		index := (first + i) % bucketCount
		if probe.BucketDigests[index] == m.table.buckets[index] {
			continue
		}
		records := m.table.bucket(uint32(index))
		if len(answer.DifferingBuckets) > 0 && len(answer.Members)+len(records) > maxCompared {
			break
		}
		answer.DifferingBuckets = append(answer.DifferingBuckets, uint32(index))
		for _, r := range records {
			answer.Members = append(answer.Members, r.Member)
		}
	}
	return answer
}

// answerDiffering sends the other node the records of the differing buckets
// that it lacks or holds older.
func (m *Machine) answerDiffering(now time.Time, sent *pendingProbe, ack Ack) {
	theirs := make(map[string]Member, len(ack.Members))
	for _, member := range ack.Members {
		theirs[member.ID] = member
	}
	var newer []Member
	for _, index := range ack.DifferingBuckets {
		if index >= bucketCount {
			continue
		}
		for _, r := range m.table.bucket(index) {
			other, held := theirs[r.ID]
			if !held && r.State.live() || held && r.Member.supersedes(other) {
				newer = append(newer, r.Member)
			}
		}
	}
	if len(newer) == 0 {
		return
	}
	newer = newer[:min(len(newer), maxCompared)]
	m.send(now, ack.From, sent.address, pendingProbe{kind: kindCompare, incarnation: ack.FromIncarnation}, Probe{Members: newer})
}

// fullTable returns every record, or only some to join by when many ask.
func (m *Machine) fullTable(now time.Time) []Member {
	records := m.table.sorted()
	if !m.join.admit(now) {
		records = m.randomPeers(joinProbes, "")
	}
	members := make([]Member, 0, len(records))
	for _, r := range records {
		members = append(members, r.Member)
	}
	return members
}
