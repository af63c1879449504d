package calls

import (
	"context"
	"time"

	"jasminegate/internal/coordination/gate"
)

// drainPollInterval is how often Drain checks whether the work in flight has
// ended.
const drainPollInterval = 5 * time.Millisecond

// CancelQueued ends the callers' requests that are not running yet: calls queued
// at gates are cancelled there (CallFrame.recall), no further attempt is made, and
// new requests are refused. Each caller gets a response at once.
func (r *Runner) CancelQueued() { r.stopAttempts() }

// DisableKeepAlives adds "Connection: close" to all further responses to callers.
func (r *Runner) DisableKeepAlives() { r.keepAlivesDisabled.Store(true) }

// Drain refuses new calls at the gate. It returns when the calls in flight
// there have ended, their responses are sent and the handover of the claims has
// ended, even if it did not reach every gate, or with ctx's error when ctx ends
// first. The node still serves callers, through other gates, and asks them to
// close their connections; it serves none after http.Server.Shutdown.
func (r *Runner) Drain(ctx context.Context) error {
	r.DisableKeepAlives()
	r.draining.Store(true)
	r.gate.notify(gate.Drain{})
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for r.gate.load.Load() > 0 || r.activeStreams.Load() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return r.keyed.handOver(ctx)
}
