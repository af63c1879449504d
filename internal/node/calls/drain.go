package calls

import (
	"context"
	"time"

	"jasminegate/internal/coordination/gate"
)

// drainPollInterval is how often a drain looks whether the work in flight has ended.
const drainPollInterval = 5 * time.Millisecond

// Recall ends the callers' requests that do not run yet: those that wait at gates
// are withdrawn, and no further attempt is made. Each gets its answer at once.
func (d *Duty) Recall() { d.stopAttempts() }

// CloseCallers tells callers with each answer to close their connections.
func (d *Duty) CloseCallers() { d.keepAlivesDisabled.Store(true) }

// Drain refuses new work at the gate from now on, and returns when the calls in
// flight there are finished, their answers sent and the claims of idempotency
// keys handed over, or when ctx ends. Callers
// go on being served, at other gates, and are told to close their connections;
// http.Server.Shutdown ends that.
func (d *Duty) Drain(ctx context.Context) error {
	d.CloseCallers()
	d.draining.Store(true)
	d.gate.notify(gate.Drain{})
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for d.gate.load.Load() > 0 || d.activeStreams.Load() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return d.keyed.handOver(ctx)
}
