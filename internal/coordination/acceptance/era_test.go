package acceptance

import (
	"testing"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"

	"jasminegate/internal/state"
)

// foldOnEra returns a fold that read one ticket, of the number, at the offset of an era.
func foldOnEra(t *testing.T, era uint64, offset int64, number uint64) *Fold {
	t.Helper()
	f := New()
	applyOnEra(t, f, era, offset, number)
	return f
}

func applyOnEra(t *testing.T, f *Fold, era uint64, offset int64, number uint64) Verdict {
	t.Helper()
	ticket := state.Ticket{Number: number, Replace: true, CallerLimits: &state.CallerLimits{HeaderBytes: int(8192 + number)}}
	data, err := ticket.Encode()
	if err != nil {
		t.Fatal(err)
	}
	result, _, err := f.ApplyReplacement(state.LogPosition(era, offset), data)
	if err != nil {
		t.Fatal(err)
	}
	return result.Verdict
}

// TestRestoredLogReplacesNewerConfiguration guards against a configuration that goes back to
// the one in a log that was restored from a copy.
func TestRestoredLogReplacesNewerConfiguration(t *testing.T) {
	is := is.New(t)
	f := foldOnEra(t, 1, 7, 8)
	is.Equal(applyOnEra(t, f, 2, 3, 5).Outcome, Stale)
	is.Equal(f.Version().Number, uint64(8))
	is.Equal(applyOnEra(t, f, 2, 4, 8).Outcome, Accepted) // written again
	is.Equal(f.Version().Position, uint64(state.LogPosition(2, 5)))
	is.Equal(applyOnEra(t, f, 2, 5, 8).Outcome, Repeated)
	is.Equal(applyOnEra(t, f, 2, 6, 9).Outcome, Accepted)
}

// TestUpdateAcrossErasGoesBack guards against nodes that met different eras of the log and
// take each other's configuration by its position.
func TestUpdateAcrossErasGoesBack(t *testing.T) {
	newest, restored := foldOnEra(t, 1, 7, 8), foldOnEra(t, 2, 3, 5)
	for name, receiver := range map[string]*Fold{
		"newest":                    foldOnEra(t, 1, 7, 8),
		"newest, read restored log": foldOnEra(t, 1, 7, 8),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			if name != "newest" {
				receiver.SkipTo(state.LogPosition(2, 4))
			}
			is.True(errorx.IsOfType(receiver.ApplyUpdate(restored.FullUpdate()), ErrOutdated))
			is.Equal(receiver.Version(), newest.Version())
		})
	}
	t.Run("restored", func(t *testing.T) {
		is := is.New(t)
		receiver := foldOnEra(t, 2, 3, 5)
		is.NoErr(receiver.ApplyUpdate(newest.FullUpdate()))
		is.Equal(receiver.Version(), newest.Version())
		is.Equal(receiver.NextOffset(), state.LogPosition(2, 4)) // what it has read of the restored log stays read
	})
	t.Run("read restored log without the ticket", func(t *testing.T) {
		is := is.New(t)
		receiver := foldOnEra(t, 1, 6, 7)
		receiver.SkipTo(state.LogPosition(2, 4))
		is.NoErr(receiver.ApplyUpdate(newest.FullUpdate()))
		is.Equal(receiver.Version(), newest.Version())
		is.Equal(receiver.NextOffset(), state.LogPosition(2, 4))
	})
}
