// Package acceptance decides which tickets are accepted. The decision is a
// pure fold over the tickets stream in offset order, so every reader reaches
// the same verdicts without asking anyone.
package acceptance

import (
	"cmp"
	"encoding/json"
	"slices"

	"github.com/cespare/xxhash/v2"

	"jasminegate/internal/state"
)

// MaxVerdicts is how many verdicts a fold keeps for read-back and for
// recognizing repeated publishes. Older ones are dropped in log order. The kept
// verdicts are part of the folded state: they travel with checkpoints and whole
// updates, so that folds that go on from there decide alike.
const MaxVerdicts = 1024

// Fold is the configuration after all records before Next.
type Fold struct {
	snapshot *state.Snapshot
	next     int64
	highest  uint64
	verdicts []Verdict
	// accepted maps the numbers of the kept accepted tickets to their content.
	accepted map[uint64]uint64
}

// Result is what folding one record did.
type Result struct {
	Verdict Verdict
	// Changes are an accepted ticket's resources.
	Changes []state.Resource
}

// New returns the fold before the first record.
func New() *Fold {
	return &Fold{snapshot: state.Empty(), accepted: make(map[uint64]uint64)}
}

// Snapshot returns the newest accepted configuration.
func (f *Fold) Snapshot() *state.Snapshot { return f.snapshot }

// Version returns the newest accepted configuration's version.
func (f *Fold) Version() state.Version { return f.snapshot.Version() }

// NextOffset returns the offset of the first record that is not folded yet.
func (f *Fold) NextOffset() int64 { return f.next }

// HighestNumber returns the highest accepted ticket number.
func (f *Fold) HighestNumber() uint64 { return f.highest }

// Verdicts returns the kept verdicts in log order. The result is not changed
// by later folding.
func (f *Fold) Verdicts() []Verdict { return slices.Clip(f.verdicts) }

// Apply folds the record at offset. A record below Next is folded already: it
// changes nothing and done is false. A record above Next fails with ErrGap and
// changes nothing, since the records between could hold tickets.
func (f *Fold) Apply(offset int64, data []byte) (result Result, done bool, err error) {
	if offset < f.next {
		return Result{}, false, nil
	}
	if offset > f.next {
		return Result{}, false, ErrGap.New("record %d follows %d: read the newest checkpoint", offset, f.next-1)
	}
	f.next = offset + 1
	result = f.decide(uint64(f.next), data)
	f.keep(result.Verdict)
	return result, true, nil
}

// Skip passes over a record that holds no ticket. It fails as Apply does.
func (f *Fold) Skip(offset int64) error {
	if offset > f.next {
		return ErrGap.New("record %d follows %d: read the newest ticket of each key", offset, f.next-1)
	}
	f.next = max(f.next, offset+1)
	return nil
}

// ApplyReplacement folds a ticket that replaces the whole configuration without the
// records before it. It fails with ErrGap, and changes nothing, when the ticket
// needs those. A record below Next is folded already; done is false then.
func (f *Fold) ApplyReplacement(offset int64, data []byte) (result Result, done bool, err error) {
	if offset < f.next {
		return Result{}, false, nil
	}
	if ticket, err := state.DecodeTicket(data); err == nil && !ticket.Replace {
		return Result{}, false, ErrGap.New("the newest ticket, number %d, is not a whole configuration: read the records before it", ticket.Number)
	}
	f.next = offset
	return f.Apply(offset, data)
}

// SkipTo goes on at next: the records before it are superseded.
func (f *Fold) SkipTo(next int64) { f.next = max(f.next, next) }

func (f *Fold) decide(position uint64, data []byte) Result {
	verdict := Verdict{Position: position, ContentHash: xxhash.Sum64(data)}
	if len(data) > state.MaxTicketBytes {
		err := state.ErrTooLarge.New("ticket has %d bytes, over the bound of %d: split it", len(data), state.MaxTicketBytes)
		return Result{Verdict: verdict.rejected(err)}
	}
	ticket, decodeErr := state.DecodeTicket(data)
	verdict.Number = ticket.Number
	if decodeErr != nil && outcomeOf(decodeErr) == Undecodable {
		verdict.Number = numberOf(data)
		return Result{Verdict: verdict.rejected(decodeErr)}
	}
	content, err := ticket.ContentHash()
	if err != nil {
		return Result{Verdict: verdict.rejected(err)}
	}
	verdict.ContentHash = content
	if decodeErr != nil {
		return Result{Verdict: verdict.rejected(decodeErr)}
	}
	if ticket.Number <= f.highest {
		return Result{Verdict: f.decideOld(verdict)}
	}
	return f.decideNew(verdict, ticket)
}

// numberOf returns the ticket number in data that is otherwise undecodable, so
// that its author can read the verdict by number; 0 when there is none.
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
	f.snapshot = next
	f.highest = ticket.Number
	verdict.Outcome = Accepted
	return Result{Verdict: verdict, Changes: changes}
}

func (f *Fold) decideOld(verdict Verdict) Verdict {
	content, known := f.accepted[verdict.Number]
	if known && content == verdict.ContentHash {
		verdict.Outcome = Repeated
		return verdict
	}
	if known {
		return verdict.rejected(errConflicting.New("another ticket was accepted as number %d: read the newest state and publish again with a number above %d", verdict.Number, f.highest))
	}
	return verdict.rejected(errStale.New("number %d is below the highest accepted number %d: read the newest state and publish again with a higher number", verdict.Number, f.highest))
}

func (f *Fold) keep(verdict Verdict) {
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

// VerdictsAfter returns the kept verdicts of records after position.
func (f *Fold) VerdictsAfter(position uint64) []Verdict {
	first, _ := slices.BinarySearchFunc(f.verdicts, position+1, func(v Verdict, p uint64) int {
		return cmp.Compare(v.Position, p)
	})
	return slices.Clip(f.verdicts[first:])
}
