package members

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"jasminegate/internal/config"
	"jasminegate/internal/coordination/membership"
	"jasminegate/internal/logging"
	"jasminegate/internal/state"
	"jasminegate/internal/transport/peer"
	"jasminegate/internal/transport/platformlog"
)

// panickingLog panics at every request.
type panickingLog struct{ platformlog.Log }

// runUntilPanic runs a runner whose clock panics once armed is set. The channel gets
// what Run returned, or nil after a panic.
func runUntilPanic(t *testing.T, log platformlog.Log, armed *atomic.Bool) (*Runner, <-chan error) {
	pool := peer.NewPool(peer.PoolOptions{MaxPerAddress: 4, DialTimeout: time.Second, IdleTimeout: time.Minute})
	t.Cleanup(pool.Close)
	runner := New(Options{
		Self:     membership.Member{ID: "n", Incarnation: 1, Domain: "d", ControlAddress: "127.0.0.1:1", CallsAddress: "127.0.0.1:1"},
		Settings: config.Defaults().Membership, Pool: pool, Log: log, Logger: logging.Discard(), RandomSeed: 1,
		AppliedVersion: func() state.Version { return state.Version{} },
		Load:           func() uint32 { return 0 },
		Now: func() time.Time {
			if armed.Load() {
				panic("on purpose")
			}
			return time.Now()
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		defer func() {
			if recover() != nil {
				ended <- nil
			}
		}()
		ended <- runner.Run(ctx)
	}()
	t.Cleanup(func() { cancel(); <-finished })
	return runner, ended
}

// TestPanicOfMachineFreesCallers lets the membership machine's step panic. Serving, which
// every call asks, must not wait for it for good.
func TestPanicOfMachineFreesCallers(t *testing.T) {
	var armed atomic.Bool
	runner, ended := runUntilPanic(t, nil, &armed)
	armed.Store(true)
	<-ended
	served := make(chan struct{})
	go func() {
		defer close(served)
		runner.Serving(time.Now())
	}()
	select {
	case <-served:
	case <-time.After(5 * time.Second):
		t.Fatal("Serving does not return")
	}
}

// TestPanicOfBackgroundWorkEndsRun lets the work with the platform's log panic: Run
// returns an error, so that the node shuts down in order.
func TestPanicOfBackgroundWorkEndsRun(t *testing.T) {
	is := is.New(t)
	var armed atomic.Bool
	_, ended := runUntilPanic(t, panickingLog{}, &armed)
	select {
	case err := <-ended:
		is.True(err != nil)
	case <-time.After(waitTimeout):
		t.Fatal("Run does not return")
	}
}
