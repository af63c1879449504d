package node

import (
	"context"
	"time"

	"jasminegate/internal/logging"
)

// missingConfigurationAfter is when a node without a configuration first says so. A start
// usually takes less.
const missingConfigurationAfter = 3 * time.Second

// reportMissingConfiguration logs that the node has no configuration, each time its age has
// doubled, until it has one.
func (n *node) reportMissingConfiguration(ctx context.Context) error {
	for after := missingConfigurationAfter; ; after *= 2 {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(time.Until(n.started.Add(after))):
		}
		if n.servedSnapshot() != nil {
			return nil
		}
		waitsFor := "configuration"
		if n.configuration.Snapshot() != nil {
			waitsFor = "rollouts"
		}
		stats := n.configuration.Stats()
		n.logger.Event(logging.ConfigurationMissing).
			Int("after_ms", time.Since(n.started).Milliseconds()).
			Str("waits_for", waitsFor).
			Uint("platform_failures", stats.PlatformFailures).
			Uint("tickets_rejected", stats.TicketsRejected).
			Send()
	}
}
