package rollout

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestTablesAgree guards against tables whose content depends on the order in which records
// arrive: nodes would then exchange records forever and disagree about results.
func TestTablesAgree(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		var records []Record
		for range 12 {
			records = append(records, Record{
				Service: string(rune('a' + random.IntN(2))), Order: uint64(random.IntN(3)),
				TargetVersion: "v2", Duration: 12 * time.Second, Phase: Phase(random.IntN(6)),
				AcceptedAt: start.Add(time.Duration(random.IntN(100)) * time.Millisecond),
				Reason:     string(rune('x' + random.IntN(3))),
			})
		}
		a, b := NewTable(), NewTable()
		for _, r := range records {
			before := a.Digest()
			is.Equal(a.Merge(r), a.Digest() != before) // a change is reported and changes the digest
		}
		random.Shuffle(len(records), func(i, j int) { records[i], records[j] = records[j], records[i] })
		for _, r := range append(records, records...) {
			b.Merge(r)
		}
		is.Equal(a.Records(), b.Records())
		is.Equal(a.Digest(), b.Digest())
	}
}

// TestResultsSupersede guards against a rollout that is resumed after its result, and against an
// unwritten rollback that replaces a written completion.
func TestResultsSupersede(t *testing.T) {
	is := is.New(t)
	table := NewTable()
	for _, row := range []struct {
		order   uint64
		phase   Phase
		changed bool
	}{
		{5, Canary, true}, {5, Pending, false}, {5, RolledBack, true}, {5, Shifting, false},
		{5, Completed, true}, {5, RolledBack, false}, {4, Completed, false}, {6, Pending, true},
	} {
		is.Equal(table.Merge(Record{Service: "s", Order: row.order, Phase: row.phase}), row.changed)
	}
	r, ok := table.Get("s")
	is.True(ok)
	is.Equal(r.Phase, Pending)
}
