package acceptance

import (
	"slices"

	"jasminegate/internal/state"
)

// Update moves a fold to a later state without the log records. With a zero From it
// is a full update and holds the full state. Otherwise it is an incremental update
// and holds the verdicts after From and the last value of each resource that
// changed after From. Since it holds complete resources and not differences, an
// incremental update applies to every fold at a position from From to To.
type Update struct {
	From          state.Version
	To            state.Version
	NextOffset    int64
	HighestNumber uint64
	Resources     []state.Resource
	Verdicts      []Verdict
}

// InEra returns an update of a node that states no eras, with its positions in the given
// era of the log.
func (u Update) InEra(era uint64) Update {
	u.To.Position = state.PositionInEra(era, u.To.Position)
	u.To.Number = u.HighestNumber
	u.NextOffset = int64(state.PositionInEra(era, uint64(max(u.NextOffset, 0))))
	if !u.Full() {
		u.From.Position = state.PositionInEra(era, u.From.Position)
	}
	u.Verdicts = slices.Clone(u.Verdicts)
	for i := range u.Verdicts {
		u.Verdicts[i].Position = state.PositionInEra(era, u.Verdicts[i].Position)
	}
	return u
}

// Full reports whether the update holds the full state.
func (u Update) Full() bool { return u.From.Position == 0 }

// FullUpdate returns the state of the fold as a full update.
func (f *Fold) FullUpdate() Update {
	return Update{
		To:            f.Version(),
		NextOffset:    f.next,
		HighestNumber: f.highest,
		Resources:     f.snapshot.Resources(),
		Verdicts:      f.Verdicts(),
	}
}

// ApplyUpdate moves the fold to the state at the end of the update. If it fails, it
// changes nothing. The error is ErrOutdated when the fold is already at that offset
// or beyond, or has a newer configuration from another era of the log, ErrGap when the
// fold lacks tickets before the update, ErrMalformed when
// the update is inconsistent, and state.ErrDigestMismatch when the resulting state
// does not have the digest of the update's version. Errors of state.Snapshot.With
// are returned as they are.
func (f *Fold) ApplyUpdate(update Update) error {
	if f.isOutdated(update) {
		return ErrOutdated.New("update to %s ends at log offset %d, this node is at %s and %d: nothing to do", update.To, update.NextOffset, f.Version(), f.next)
	}
	if err := update.check(); err != nil {
		return err
	}
	if update.From.Position > f.Version().Position {
		return ErrGap.New("update starts at position %d, this node is at %d: pull the tickets between", update.From.Position, f.Version().Position)
	}
	snapshot, err := f.snapshotAfter(update)
	if err != nil {
		return err
	}
	f.applyVerdicts(update)
	f.snapshot = snapshot.Numbered(update.HighestNumber)
	f.next = max(f.next, update.NextOffset)
	f.highest = update.HighestNumber
	return nil
}

// isOutdated reports whether the update brings the fold nothing. Offsets of different
// eras say nothing about the configurations: the fold may have skipped to the end of a
// restored log that lacks the update's ticket.
func (f *Fold) isOutdated(update Update) bool {
	if f.Version().Position > 0 && update.To.Era() != f.Version().Era() {
		return !update.To.Newer(f.Version())
	}
	acrossEras := state.EraOf(update.NextOffset) != state.EraOf(f.next)
	return update.NextOffset <= f.next && !(acrossEras && update.To.Newer(f.Version()))
}

func (u Update) check() error {
	if u.NextOffset < 0 || u.To.Position > uint64(u.NextOffset) || u.From.Position > u.To.Position {
		return ErrMalformed.New("update from position %d to %d with log offset %d: pull the full state", u.From.Position, u.To.Position, u.NextOffset)
	}
	last := u.From.Position
	for _, verdict := range u.Verdicts {
		if verdict.Position <= last || verdict.Position > uint64(u.NextOffset) {
			return ErrMalformed.New("verdict at position %d is out of order: pull the full state", verdict.Position)
		}
		last = verdict.Position
	}
	return nil
}

// snapshotAfter returns the snapshot after the update, which is the current one when
// the update has only newer verdicts.
func (f *Fold) snapshotAfter(update Update) (*state.Snapshot, error) {
	sameEra := update.To.Era() == f.Version().Era()
	if sameEra && update.To.Position < f.Version().Position || update.HighestNumber < f.highest {
		return nil, ErrMalformed.New("update would decrease the position (to %d, this node is at %d) or the highest ticket number: pull the full state", update.To.Position, f.Version().Position)
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
	return state.ErrDigestMismatch.New("state has version %s, the update announced %s: pull the full state from another node", got, announced)
}

func (f *Fold) applyVerdicts(update Update) {
	applied := uint64(f.next)
	if update.Full() {
		applied = 0
		f.verdicts = nil
		clear(f.accepted)
	}
	for _, verdict := range update.Verdicts {
		if verdict.Position > applied {
			f.retain(verdict)
		}
	}
}
