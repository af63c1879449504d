// Package acceptance decides which tickets are accepted. The decision is a pure
// fold (a left fold, as in event sourcing) over the tickets stream in offset order,
// so every reader reaches the same verdicts without coordination.
package acceptance

import (
	"cmp"
	"encoding/json"
	"slices"

	"github.com/cespare/xxhash/v2"

	"jasminegate/internal/state"
)

// MaxVerdicts is how many verdicts a fold retains for status queries and for
// detecting repeated publishes. Older ones are dropped in log order. The retained
// verdicts are part of the state: checkpoints and full updates contain them, so
// that a fold restored from one reaches the same verdicts as the fold that wrote
// it.
const MaxVerdicts = 1024

// Fold is the state after applying all log records before NextOffset: the accepted
// configuration and the retained verdicts. It is not safe for concurrent use.
type Fold struct {
	snapshot *state.Snapshot
	next     int64
	highest  uint64
	verdicts []Verdict
	// accepted maps the numbers of the retained accepted tickets to their content
	// hashes.
	accepted map[uint64]uint64
}

// Result is the effect of one record.
type Result struct {
	Verdict Verdict
	// Changes holds the resources that an accepted ticket changed, else it is empty.
	Changes []state.Resource
}

// New returns the state before the first record.
func New() *Fold {
	return &Fold{snapshot: state.Empty(), accepted: make(map[uint64]uint64)}
}

// Snapshot returns the newest accepted configuration.
func (f *Fold) Snapshot() *state.Snapshot { return f.snapshot }

// Version returns the newest accepted configuration's version.
func (f *Fold) Version() state.Version { return f.snapshot.Version() }

// NextOffset returns the offset of the first record that is not applied yet.
func (f *Fold) NextOffset() int64 { return f.next }

// HighestNumber returns the highest accepted ticket number.
func (f *Fold) HighestNumber() uint64 { return f.highest }

// Verdicts returns the retained verdicts in log order. Later records do not change
// the returned slice.
func (f *Fold) Verdicts() []Verdict { return slices.Clip(f.verdicts) }

// Apply applies the record at offset. For a record below NextOffset, which was
// applied before, it changes nothing and decided is false. For a record above
// NextOffset it changes nothing and fails with ErrGap, since the records between
// could hold tickets.
func (f *Fold) Apply(offset int64, data []byte) (result Result, decided bool, err error) {
	if offset < f.next {
		return Result{}, false, nil
	}
	return f.applyDecoded(offset, decodeRecord(data))
}

func (f *Fold) applyDecoded(offset int64, record decodedRecord) (result Result, decided bool, err error) {
	if offset > f.next {
		return Result{}, false, ErrGap.New("record %d follows record %d, records between are missing: read the newest checkpoint or, on a compacted log, the newest ticket", offset, f.next-1)
	}
	f.next = offset + 1
	result = f.decide(uint64(f.next), record)
	f.retain(result.Verdict)
	return result, true, nil
}

// Skip advances past a record that holds no ticket. It fails with ErrGap, and
// changes nothing, for a record above NextOffset.
func (f *Fold) Skip(offset int64) error {
	if offset > f.next {
		return ErrGap.New("record %d follows record %d, records between are missing: read the newest checkpoint or, on a compacted log, the newest ticket", offset, f.next-1)
	}
	f.next = max(f.next, offset+1)
	return nil
}

// ApplyReplacement applies a ticket that replaces the whole configuration and so
// does not need the records before it. It fails with ErrGap, and changes nothing,
// for a ticket that changes only a part. For a record below NextOffset, which was
// applied before, it changes nothing and decided is false.
func (f *Fold) ApplyReplacement(offset int64, data []byte) (result Result, decided bool, err error) {
	if offset < f.next {
		return Result{}, false, nil
	}
	record := decodeRecord(data)
	if record.err == nil && !record.ticket.Replace {
		return Result{}, false, ErrGap.New("the newest ticket, number %d, does not replace the whole configuration: publish one with replace set", record.ticket.Number)
	}
	f.next = offset
	return f.applyDecoded(offset, record)
}

// decodedRecord is a record of the log and the ticket in it, unless err is set.
type decodedRecord struct {
	data   []byte
	ticket state.Ticket
	err    error
}

func decodeRecord(data []byte) decodedRecord {
	ticket, err := state.DecodeTicket(data)
	return decodedRecord{data: data, ticket: ticket, err: err}
}

// SkipTo advances to offset next without applying the records before it. The caller
// has applied a ticket that replaces them, or cannot read or apply them.
func (f *Fold) SkipTo(next int64) { f.next = max(f.next, next) }

func (f *Fold) decide(position uint64, record decodedRecord) Result {
	verdict := Verdict{Position: position, ContentHash: xxhash.Sum64(record.data)}
	if len(record.data) > state.MaxTicketBytes {
		err := state.ErrTooLarge.New("ticket has %d bytes, over the bound of %d: split it", len(record.data), state.MaxTicketBytes)
		return Result{Verdict: verdict.rejected(err)}
	}
	ticket, decodeErr := record.ticket, record.err
	verdict.Number = ticket.Number
	if decodeErr != nil && outcomeOf(decodeErr) == Undecodable {
		verdict.Number = numberOf(record.data)
		return Result{Verdict: verdict.rejected(decodeErr)}
	}
	// An invalid ticket is decoded, so its verdict also has the ticket's content hash.
	content, err := ticket.ContentHash()
	if err != nil {
		return Result{Verdict: verdict.rejected(err)}
	}
	verdict.ContentHash = content
	if decodeErr != nil {
		return Result{Verdict: verdict.rejected(decodeErr)}
	}
	if ticket.Number < f.highest || ticket.Number == f.highest && !f.restates(verdict) {
		return Result{Verdict: f.decideNotAbove(verdict)}
	}
	return f.decideNew(verdict, ticket)
}

// restates reports whether a ticket with the highest accepted number is the first of
// its log era. After the log was restored from a copy, its author wrote it again; it is
// accepted at its new position.
func (f *Fold) restates(verdict Verdict) bool {
	return state.EraOf(verdict.Position) > f.Version().Era()
}

// numberOf returns the ticket number in otherwise undecodable data, or 0, so that
// the ticket's author can query the verdict by number.
func numberOf(data []byte) uint64 {
	var numbered struct {
		Number uint64 `json:"number"`
	}
	if err := json.Unmarshal(data, &numbered); err != nil {
		return 0
	}
	return numbered.Number
}

func (f *Fold) decideNew(verdict Verdict, ticket state.Ticket) Result {
	changes, err := ticket.Changes()
	if err != nil {
		return Result{Verdict: verdict.rejected(err)}
	}
	if ticket.Replace {
		changes = f.snapshot.ReplacementChanges(changes)
	}
	next, err := f.snapshot.With(verdict.Position, changes)
	if err != nil {
		return Result{Verdict: verdict.rejected(err)}
	}
	f.snapshot = next.Numbered(ticket.Number)
	f.highest = ticket.Number
	verdict.Outcome = Accepted
	return Result{Verdict: verdict, Changes: changes}
}

// decideNotAbove decides a ticket whose number is not above the highest accepted
// one: it is repeated, conflicting or stale.
func (f *Fold) decideNotAbove(verdict Verdict) Verdict {
	content, known := f.accepted[verdict.Number]
	if known && content == verdict.ContentHash {
		verdict.Outcome = Repeated
		return verdict
	}
	if known {
		return verdict.rejected(errConflicting.New("another ticket was accepted as number %d: read the newest state and publish again with a number above %d", verdict.Number, f.highest))
	}
	// The number may also equal the highest one, if its verdict is no longer retained.
	return verdict.rejected(errStale.New("number %d is below the highest accepted number %d: read the newest state and publish again with a higher number", verdict.Number, f.highest))
}

func (f *Fold) retain(verdict Verdict) {
	f.verdicts = append(f.verdicts, verdict)
	if verdict.Outcome == Accepted {
		f.accepted[verdict.Number] = verdict.ContentHash
	}
	for len(f.verdicts) > MaxVerdicts {
		dropped := f.verdicts[0]
		f.verdicts = f.verdicts[1:]
		if dropped.Outcome == Accepted {
			delete(f.accepted, dropped.Number)
		}
	}
}

// VerdictsAfter returns the retained verdicts whose Position is above position.
func (f *Fold) VerdictsAfter(position uint64) []Verdict {
	first, _ := slices.BinarySearchFunc(f.verdicts, position+1, func(v Verdict, p uint64) int {
		return cmp.Compare(v.Position, p)
	})
	return slices.Clip(f.verdicts[first:])
}
