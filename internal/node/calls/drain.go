package calls

import (
	"context"
	"time"

	"jasminegate/internal/coordination/gate"
)

const (
	// drainPollInterval is how often Drain checks whether the work in flight has
	// ended.
	drainPollInterval = 5 * time.Millisecond
	// minDrainTime is how long a drain takes at least. In this time membership tells
	// the other nodes, which send calls until then.
	minDrainTime = 500 * time.Millisecond
	// drainQuietTime is how long no call must have been in flight at the end of a
	// drain. A call that is still on its way is then refused as not run; once the node
	// has stopped, nobody could say what became of it.
	drainQuietTime = 200 * time.Millisecond
)

// CancelQueued ends the callers' requests that are not running yet: calls queued
// at gates are cancelled there (CallFrame.recall), no further attempt is made, and
// new requests are refused. Each caller gets a response at once.
func (r *Runner) CancelQueued() { r.stopAttempts() }

// DisableKeepAlives adds "Connection: close" to all further responses to callers.
func (r *Runner) DisableKeepAlives() { r.keepAlivesDisabled.Store(true) }

// Drain refuses new calls at the gate. It returns when the calls in flight
// there have ended, their responses are sent, no further call is to be expected and
// the handover of the claims has ended, even if it did not reach every gate, or with
// ctx's error when ctx ends first. The node still serves callers, through other gates, and asks them to
// close their connections.
func (r *Runner) Drain(ctx context.Context) error {
	r.DisableKeepAlives()
	r.draining.Store(true)
	r.gate.notify(gate.Drain{})
	began := time.Now()
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for quietSince := began; time.Since(began) < minDrainTime || time.Since(quietSince) < drainQuietTime; {
		if r.gate.load.Load() > 0 || r.activeStreams.Load() > 0 || r.streamsServed.Swap(0) > 0 {
			quietSince = time.Now()
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return r.keyed.handOver(ctx)
}
