package membership

import (
	"encoding/binary"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// bucketCount is the number of buckets by which tables are compared.
const bucketCount = 64

// record is a member's record with state that only this node has.
type record struct {
	Member
	// stateSince is when this node recorded the member's current state, or when it
	// last resumed after a pause if that is later.
	stateSince time.Time
	// lastContact is when the member last sent a probe or ack to this node; zero
	// for never.
	lastContact time.Time
	// position is the greatest version position received from this incarnation.
	position uint64
	// suspicionEnds is when a suspect is declared dead.
	suspicionEnds time.Time
	// uncounted is set when a dead member is no longer counted.
	uncounted bool
	hash      uint64
	// rank orders the members of a domain for the choice of relays.
	rank uint64
	// replacedPosition is the lowest of the last known positions of processes
	// that were replaced by one at another address. replacedAt is the time of the
	// latest replacement. A replaced process may still run.
	replacedPosition uint64
	replacedAt       time.Time
}

// table is the set of member records by ID, with digests of the live ones.
type table struct {
	records map[string]*record
	buckets [bucketCount]uint32
	digest  uint64
	epoch   uint64
	// dead counts the records in state Dead.
	dead int

	// ordered, byDomain and domainNames are indexes of records. byDomain is nil
	// when they must be rebuilt.
	ordered     []*record
	byDomain    map[string][]*record
	domainNames []string
}

func newTable() *table {
	return &table{records: make(map[string]*record)}
}

// live reports whether the process is considered running.
func (s State) live() bool { return s == Alive || s == Suspect }

// supersedes reports whether m is newer than other, a record with the same ID.
func (m Member) supersedes(other Member) bool {
	if m.Incarnation != other.Incarnation {
		return m.Incarnation > other.Incarnation
	}
	if m.Revision != other.Revision {
		return m.Revision > other.Revision
	}
	return m.State > other.State
}

// merge stores the member if it supersedes the table's record with the same ID.
// It returns the previous member and whether the table changed.
func (t *table) merge(now time.Time, member Member) (previous Member, changed bool) {
	current := t.records[member.ID]
	if current == nil {
		current = &record{Member: Member{ID: member.ID}}
		t.records[member.ID] = current
		t.byDomain = nil
	} else if !member.supersedes(current.Member) {
		return current.Member, false
	}
	previous = current.Member
	t.applyToDigests(current, -1)
	if member.Incarnation != previous.Incarnation {
		current.recordReplaced(now, member)
		current.position = 0
		current.lastContact = time.Time{}
	}
	if member.State != previous.State || member.Incarnation != previous.Incarnation {
		current.stateSince = now
		current.uncounted = false
	}
	if member.Domain != previous.Domain {
		t.byDomain = nil
	}
	current.Member = member
	current.hash = memberHash(member)
	current.rank = rankOf(member)
	t.applyToDigests(current, 1)
	t.epoch++
	return previous, true
}

// recordReplaced records the position of a counted process when a process at another
// address replaces it, because the replaced one may still run. A process replaced at
// the same address can no longer run.
func (r *record) recordReplaced(now time.Time, successor Member) {
	if r.ControlAddress == successor.ControlAddress || !r.isCounted() {
		return
	}
	if r.replacedAt.IsZero() {
		r.replacedPosition = r.position
	}
	r.replacedPosition, r.replacedAt = min(r.replacedPosition, r.position), now
}

// remove deletes the record with the ID, if any.
func (t *table) remove(id string) {
	current := t.records[id]
	if current == nil {
		return
	}
	t.applyToDigests(current, -1)
	t.byDomain = nil
	delete(t.records, id)
	t.epoch++
}

// hasDead reports whether any record is in state Dead.
func (t *table) hasDead() bool { return t.dead > 0 }

// applyToDigests adds a record to the digests and the dead count with sign 1, or
// removes it with sign -1. The digests cover live records only.
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

// memberHash hashes the fields that decide which record supersedes another, so
// that the digests also differ by a suspicion that only some nodes know. The
// comparison then makes it known to the suspect, which refutes it.
func memberHash(m Member) uint64 {
	buffer := make([]byte, 0, 128)
	buffer = append(buffer, m.ID...)
	buffer = append(buffer, 0)
	buffer = binary.LittleEndian.AppendUint64(buffer, m.Incarnation)
	buffer = binary.LittleEndian.AppendUint64(buffer, m.Revision)
	buffer = append(buffer, byte(m.State))
	return xxhash.Sum64(buffer)
}

// dropTombstones removes the records that have been dead or left for
// tombstoneRetention, and the oldest ones above maxTombstones.
func (t *table) dropTombstones(now time.Time) {
	var tombstones []*record
	for _, r := range t.sorted() {
		if r.State.live() {
			continue
		}
		if now.Sub(r.stateSince) >= tombstoneRetention {
			t.remove(r.ID)
			continue
		}
		tombstones = append(tombstones, r)
	}
	if len(tombstones) <= maxTombstones {
		return
	}
	slices.SortStableFunc(tombstones, func(a, b *record) int { return a.stateSince.Compare(b.stateSince) })
	for _, r := range tombstones[:len(tombstones)-maxTombstones] {
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

// buildIndex rebuilds the indexes after a record was added or removed or changed
// its domain.
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
