package membership

import (
	"encoding/binary"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// bucketCount is how many parts the table is compared by.
const bucketCount = 64

// record is a member with what only this node knows of it.
type record struct {
	Member
	// stateSince is when the member took its present state here.
	stateSince time.Time
	// lastContact is when the member itself last answered or asked; zero for never.
	lastContact time.Time
	// position is the greatest version position heard in this incarnation.
	position uint64
	// suspicionEnds is when a suspect is declared dead.
	suspicionEnds time.Time
	// forgotten is set when a dead member is no longer counted.
	forgotten bool
	hash      uint64
	// rank orders the members of a domain when relays are chosen.
	rank uint64
	// replacedPosition is the greatest position heard of a process that another instance
	// replaced, and replaced is when; the replacedPosition one may still run.
	replacedPosition uint64
	replacedAt       time.Time
}

// table holds the members by ID, with digests of the live ones by bucket.
type table struct {
	records map[string]*record
	buckets [bucketCount]uint32
	digest  uint64
	epoch   uint64
	// dead counts the records in state Dead.
	dead int

	// ordered, byDomain and domainNames are an index over records; byDomain is
	// nil when they must be built anew.
	ordered     []*record
	byDomain    map[string][]*record
	domainNames []string
}

func newTable() *table {
	return &table{records: make(map[string]*record)}
}

// live reports whether the state is one of a running process.
func (s State) live() bool { return s == Alive || s == Suspect }

// supersedes reports whether m holds against other, of the same ID.
func (m Member) supersedes(other Member) bool {
	if m.Incarnation != other.Incarnation {
		return m.Incarnation > other.Incarnation
	}
	if m.Revision != other.Revision {
		return m.Revision > other.Revision
	}
	return m.State > other.State
}

// merge takes the member in when it supersedes what is held. It returns the
// former record's member and whether the table changed.
func (t *table) merge(now time.Time, member Member) (former Member, changed bool) {
	held := t.records[member.ID]
	if held == nil {
		held = &record{Member: Member{ID: member.ID}}
		t.records[member.ID] = held
		t.byDomain = nil
	} else if !member.supersedes(held.Member) {
		return held.Member, false
	}
	former = held.Member
	t.applyToDigests(held, -1)
	if member.Incarnation != former.Incarnation {
		held.recordReplaced(now, member)
		held.position = 0
		held.lastContact = time.Time{}
	}
	if member.State != former.State || member.Incarnation != former.Incarnation {
		held.stateSince = now
		held.forgotten = false
	}
	if member.Domain != former.Domain {
		t.byDomain = nil
	}
	held.Member = member
	held.hash = memberHash(member)
	held.rank = rankOf(member)
	t.applyToDigests(held, 1)
	t.epoch++
	return former, true
}

// recordReplaced keeps the position of a process that an instance at another
// address replaces. At the same address the former one cannot run any more.
func (r *record) recordReplaced(now time.Time, successor Member) {
	if r.ControlAddress == successor.ControlAddress || !r.isCounted() {
		return
	}
	if r.replacedAt.IsZero() {
		r.replacedPosition = r.position
	}
	r.replacedPosition, r.replacedAt = min(r.replacedPosition, r.position), now
}

// remove drops the record.
func (t *table) remove(id string) {
	held := t.records[id]
	if held == nil {
		return
	}
	t.applyToDigests(held, -1)
	t.byDomain = nil
	delete(t.records, id)
	t.epoch++
}

// hasDead reports whether a node is held dead that did not return.
func (t *table) hasDead() bool { return t.dead > 0 }

// applyToDigests adds a record to the digests and counts with sign 1, or takes it out
// with sign -1. The digests applyToDigests live records only.
func (t *table) applyToDigests(r *record, sign int) {
	if r.State == Dead {
		t.dead += sign
	}
	if !r.State.live() {
		return
	}
	t.digest ^= r.hash
	t.buckets[bucketOf(r.ID)] ^= uint32(r.hash)
}

func bucketOf(id string) uint32 {
	return uint32(xxhash.Sum64String(id) % bucketCount)
}

// memberHash covers what decides which record holds, so that a suspicion that
// was heard in one place only is found, and refuted.
func memberHash(m Member) uint64 {
	buffer := make([]byte, 0, 128)
	buffer = append(buffer, m.ID...)
	buffer = append(buffer, 0)
	buffer = binary.LittleEndian.AppendUint64(buffer, m.Incarnation)
	buffer = binary.LittleEndian.AppendUint64(buffer, m.Revision)
	buffer = append(buffer, byte(m.State))
	return xxhash.Sum64(buffer)
}

// dropTombstones drops the records of nodes that have been gone for long, and
// the oldest beyond the bound.
func (t *table) dropTombstones(now time.Time) {
	var gone []*record
	for _, r := range t.sorted() {
		if r.State.live() {
			continue
		}
		if now.Sub(r.stateSince) >= tombstoneRetention {
			t.remove(r.ID)
			continue
		}
		gone = append(gone, r)
	}
	if len(gone) <= maxTombstones {
		return
	}
	slices.SortStableFunc(gone, func(a, b *record) int { return a.stateSince.Compare(b.stateSince) })
	for _, r := range gone[:len(gone)-maxTombstones] {
		t.remove(r.ID)
	}
}

// bucket returns the records of one bucket, ordered by ID.
func (t *table) bucket(index uint32) []*record {
	var records []*record
	for _, r := range t.sorted() {
		if bucketOf(r.ID) == index {
			records = append(records, r)
		}
	}
	return records
}

// sortedDomain returns the records of one failure domain ordered by ID.
func (t *table) sortedDomain(domain string) []*record {
	if t.byDomain == nil {
		t.buildIndex()
	}
	return t.byDomain[domain]
}

// domains returns the failure domains that have records, in order.
func (t *table) domains() []string {
	if t.byDomain == nil {
		t.buildIndex()
	}
	return t.domainNames
}

// sorted returns the records ordered by ID.
func (t *table) sorted() []*record {
	if t.byDomain == nil {
		t.buildIndex()
	}
	return t.ordered
}

// buildIndex orders the records anew after a node came or went.
func (t *table) buildIndex() {
	t.ordered = make([]*record, 0, len(t.records))
	for _, r := range t.records {
		t.ordered = append(t.ordered, r)
	}
	slices.SortFunc(t.ordered, func(a, b *record) int { return strings.Compare(a.ID, b.ID) })
	t.byDomain = make(map[string][]*record)
	for _, r := range t.ordered {
		t.byDomain[r.Domain] = append(t.byDomain[r.Domain], r)
	}
	t.domainNames = slices.Sorted(maps.Keys(t.byDomain))
}
