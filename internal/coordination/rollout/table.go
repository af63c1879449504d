package rollout

// Table is the set of records that a node knows, one for each service.
type Table struct {
	records map[string]Record
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{records: make(map[string]Record)} }

// Merge adds what the record says. It reports whether that changed the table's digest.
func (t *Table) Merge(r Record) bool { return false }

// Get returns the record of a service.
func (t *Table) Get(service string) (Record, bool) {
	r, ok := t.records[service]
	return r, ok
}

// Records returns all records in the order of their services.
func (t *Table) Records() []Record { return nil }

// Digest returns a hash of the records, 0 if there are none. AcceptedAt is not part of
// it, because clocks of nodes differ.
func (t *Table) Digest() uint64 { return 0 }

// Merge returns the record that supersedes the other: the greater order wins, within one
// order the greater phase. The result has the earlier AcceptedAt of two records of one order,
// as delays on the way let an order appear younger than it is.
func Merge(a, b Record) Record { return a }
