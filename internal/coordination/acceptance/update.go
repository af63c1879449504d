package acceptance

import (
	"jasminegate/internal/state"
)

// Update leads a fold to a later state without the log. With a zero From it
// holds the whole state; otherwise it holds the last state of each resource
// that changed after From, and the verdicts after From. Since resources carry
// their whole state, it fits every fold from From to To.
type Update struct {
	From          state.Version
	To            state.Version
	NextOffset    int64
	HighestNumber uint64
	Resources     []state.Resource
	Verdicts      []Verdict
}

// Full reports whether the update holds the whole state.
func (u Update) Full() bool { return u.From.Position == 0 }

// FullUpdate returns the fold's whole state as an update.
func (f *Fold) FullUpdate() Update {
	return Update{
		To:            f.Version(),
		NextOffset:    f.next,
		HighestNumber: f.highest,
		Resources:     f.snapshot.Resources(),
		Verdicts:      f.Verdicts(),
	}
}

// ApplyUpdate moves the fold to the update's state. It fails, and changes nothing,
// with ErrOld when the fold is there already, ErrGap when tickets before the
// update are missing here, ErrMalformed when the update contradicts itself, and
// state.ErrDigest when its content is not what its version announces.
func (f *Fold) ApplyUpdate(update Update) error {
	if update.NextOffset <= f.next {
		return ErrOutdated.New("update leads to log offset %d, this node is at %d: nothing to do", update.NextOffset, f.next)
	}
	if err := update.check(); err != nil {
		return err
	}
	if update.From.Position > f.Version().Position {
		return ErrGap.New("update starts at position %d, this node is at %d: pull what is between", update.From.Position, f.Version().Position)
	}
	snapshot, err := f.snapshotOf(update)
	if err != nil {
		return err
	}
	f.adoptVerdicts(update)
	f.snapshot = snapshot
	f.next = update.NextOffset
	f.highest = update.HighestNumber
	return nil
}

func (u Update) check() error {
	if u.NextOffset < 0 || u.To.Position > uint64(u.NextOffset) || u.From.Position > u.To.Position {
		return ErrMalformed.New("update from position %d to %d with log offset %d: pull the whole state", u.From.Position, u.To.Position, u.NextOffset)
	}
	last := u.From.Position
	for _, verdict := range u.Verdicts {
		if verdict.Position <= last || verdict.Position > uint64(u.NextOffset) {
			return ErrMalformed.New("verdict at position %d is out of order: pull the whole state", verdict.Position)
		}
		last = verdict.Position
	}
	return nil
}

// snapshotOf returns the update's snapshot, or the fold's own when only
// verdicts are newer.
func (f *Fold) snapshotOf(update Update) (*state.Snapshot, error) {
	if update.To.Position < f.Version().Position || update.HighestNumber < f.highest {
		return nil, ErrMalformed.New("update to position %d has less than this node at %d: pull the whole state", update.To.Position, f.Version().Position)
	}
	if update.To.Position == f.Version().Position {
		return f.snapshot, checkDigest(f.Version(), update.To)
	}
	base := f.snapshot
	if update.Full() {
		base = state.Empty()
	}
	snapshot, err := base.With(update.To.Position, update.Resources)
	if err != nil {
		return nil, err
	}
	return snapshot, checkDigest(snapshot.Version(), update.To)
}

func checkDigest(got, announced state.Version) error {
	if got.Digest == announced.Digest {
		return nil
	}
	return state.ErrDigestMismatch.New("state is %s, announced was %s: pull the whole state from another node", got, announced)
}

func (f *Fold) adoptVerdicts(update Update) {
	folded := uint64(f.next)
	if update.Full() {
		folded = 0
		f.verdicts = nil
		clear(f.accepted)
	}
	for _, verdict := range update.Verdicts {
		if verdict.Position > folded {
			f.keep(verdict)
		}
	}
}
