package membership

import (
	"slices"
	"time"
)

// countMismatches counts the consecutive peers of the local domain whose table
// digest differs from this node's.
func (m *Machine) countMismatches(from string, digest uint64) {
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

// compareBuckets returns the indexes and records of the buckets whose digests
// differ, as DifferingBuckets and Members of an otherwise empty Ack. It stops before
// a bucket that would exceed maxComparedRecords, except for the first. It starts at a
// random bucket, so that comparisons that stop early cover different buckets.
func (m *Machine) compareBuckets(probe Probe) Ack {
	var differing Ack
	if len(probe.BucketDigests) != bucketCount {
		return differing
	}
	first := m.random.IntN(bucketCount)
	for i := range bucketCount {
		index := (first + i) % bucketCount
		if probe.BucketDigests[index] == m.table.buckets[index] {
			continue
		}
		records := m.table.bucket(uint32(index))
		if len(differing.DifferingBuckets) > 0 && len(differing.Members)+len(records) > maxComparedRecords {
			break
		}
		differing.DifferingBuckets = append(differing.DifferingBuckets, uint32(index))
		for _, r := range records {
			differing.Members = append(differing.Members, r.Member)
		}
	}
	return differing
}

// sendNewerRecords sends the acking node the records of the differing buckets
// that are older in its table, and the live ones that it lacks.
func (m *Machine) sendNewerRecords(now time.Time, sent *pendingProbe, ack Ack) {
	received := make(map[string]Member, len(ack.Members))
	for _, member := range ack.Members {
		received[member.ID] = member
	}
	var newer []Member
	for _, index := range ack.DifferingBuckets {
		if index >= bucketCount {
			continue
		}
		for _, r := range m.table.bucket(index) {
			other, known := received[r.ID]
			if !known && r.State.live() || known && r.Member.supersedes(other) {
				newer = append(newer, r.Member)
			}
		}
	}
	if len(newer) == 0 {
		return
	}
	newer = newer[:min(len(newer), maxComparedRecords)]
	m.send(now, ack.From, sent.address, pendingProbe{kind: kindRecords, incarnation: ack.FromIncarnation}, Probe{Members: newer})
}

// fullTable returns every record, or, above fullTablesPerSecond requests, a few
// random peers that the requester can ask instead.
func (m *Machine) fullTable(now time.Time) []Member {
	records := m.table.sorted()
	if !m.join.takeFullTableToken(now) {
		records = m.randomPeers(joinProbes, "")
	}
	members := make([]Member, 0, len(records))
	for _, r := range records {
		members = append(members, r.Member)
	}
	return members
}
