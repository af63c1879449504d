package members

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"jasminegate/internal/config"
	"jasminegate/internal/coordination/membership"
	"jasminegate/internal/logging"
	"jasminegate/internal/state"
)

// TestRestoredDirectoryLacksNode guards against a node that is missing in a directory that was
// restored from a copy, with the number of the configuration that it runs.
func TestRestoredDirectoryLacksNode(t *testing.T) {
	is := is.New(t)
	store := &memoryDirectory{records: make(map[string][]byte)}
	now, era := time.Unix(1e9, 0), uint64(0)
	runner := New(Options{
		Self:           membership.Member{ID: "a", Domain: "d", Incarnation: 1, ControlAddress: "10.0.0.1:1"},
		Settings:       config.Defaults().Membership,
		Directory:      store,
		Logger:         logging.Discard(),
		AppliedVersion: func() state.Version { return state.Version{Position: 9, Number: 12} },
		LogEra:         func() uint64 { return era },
		Now:            func() time.Time { return now },
	})
	dir := &directory{runner: runner, random: rand.New(rand.NewPCG(1, 1))}
	ctx := context.Background()
	dir.registered = dir.register(ctx)
	is.True(dir.registered)
	accepted := func() uint64 {
		registrations, err := ReadDirectory(ctx, store, now, logging.Discard())
		is.NoErr(err)
		return registrations.AcceptedNumber()
	}
	runFor := func(span time.Duration) {
		for end := now.Add(span); now.Before(end); now = now.Add(targetCheckInterval) {
			dir.renew(ctx)
		}
	}
	clear(store.records)
	era = 3
	runFor(2 * directoryRenewSpread)
	is.Equal(accepted(), uint64(0)) // the first known era says nothing about a restore
	era = 4
	store.setUnavailable(true)
	runFor(2 * directoryRenewSpread)
	is.True(store.refusedCount() >= 1 && store.refusedCount() <= 4)
	store.setUnavailable(false)
	runFor(2 * directoryRenewSpread)
	is.Equal(accepted(), uint64(12))
}
