package rollout

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Table is the set of records that a node knows, one for each service.
type Table struct {
	records map[string]Record
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{records: make(map[string]Record)} }

// Merge adds what the record says. It reports whether that changed the table's digest.
func (t *Table) Merge(r Record) bool {
	known, ok := t.records[r.Service]
	if !ok {
		t.records[r.Service] = r
		return true
	}
	merged := Merge(known, r)
	t.records[r.Service] = merged
	return compare(known, merged) != 0
}

// Get returns the record of a service.
func (t *Table) Get(service string) (Record, bool) {
	r, ok := t.records[service]
	return r, ok
}

// Records returns all records in the order of their services.
func (t *Table) Records() []Record {
	records := make([]Record, 0, len(t.records))
	for _, service := range slices.Sorted(maps.Keys(t.records)) {
		records = append(records, t.records[service])
	}
	return records
}

// Digest returns a hash of the records, 0 if there are none. AcceptedAt is not part of
// it, because clocks of nodes differ.
func (t *Table) Digest() uint64 {
	if len(t.records) == 0 {
		return 0
	}
	var data []byte
	for _, r := range t.Records() {
		for _, text := range []string{r.Service, r.TargetVersion, r.PreviousVersion, r.Reason} {
			data = binary.AppendUvarint(data, uint64(len(text)))
			data = append(data, text...)
		}
		data = binary.AppendUvarint(data, r.Order)
		data = binary.AppendUvarint(data, uint64(r.Duration))
		data = append(data, byte(r.Phase))
	}
	return xxhash.Sum64(data)
}

// Merge returns the record that supersedes the other: the greater order wins, within one
// order the greater phase. The result has the earlier AcceptedAt of two records of one order,
// as delays on the way let an order appear younger than it is.
func Merge(a, b Record) Record {
	if a.Order != b.Order {
		if a.Order > b.Order {
			return a
		}
		return b
	}
	merged := a
	if compare(b, a) > 0 {
		merged = b
	}
	if b.AcceptedAt.Before(a.AcceptedAt) {
		merged.AcceptedAt = b.AcceptedAt
	} else {
		merged.AcceptedAt = a.AcceptedAt
	}
	return merged
}

// compare orders the records of one service by what supersedes what. The fields after the
// phase differ only if two coordinators state different reasons for one phase.
func compare(a, b Record) int {
	return cmp.Or(
		cmp.Compare(a.Order, b.Order), cmp.Compare(a.Phase, b.Phase),
		cmp.Compare(a.Reason, b.Reason), cmp.Compare(a.TargetVersion, b.TargetVersion),
		cmp.Compare(a.PreviousVersion, b.PreviousVersion), cmp.Compare(a.Duration, b.Duration),
	)
}
