package processtest

import (
	"testing"
	"time"

	"jasminegate/internal/standin/load"
)

// TestPausedGateIsTakenForDead pauses a gate whose target runs idempotent calls that
// may not be retried. No caller may be told that the outcome is unknown: the gate
// continues in time and has the responses.
func TestPausedGateIsTakenForDead(t *testing.T) {
	for name, pause := range map[string]time.Duration{
		"0.3 s": 300 * time.Millisecond, "0.6 s": 600 * time.Millisecond, "1.5 s": 1500 * time.Millisecond,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := startHarness(t, fleetPlan(4))
			ticket := baseTicket()
			ticket.Routes[0].MaxAttempts = 1
			h.awaitInForce(h.Nodes[0], h.publish(h.Nodes[0], ticket))
			near := h.NodesInDomain(domains[1])
			victim := near[0]
			reports := make(chan *load.Report, 1)
			go func() {
				reports <- h.sendCalls(3*time.Second, 1, reads("paused"), near[1].CallersAddress, near[2].CallersAddress)
			}()
			time.Sleep(faultAfter)
			h.must(victim.Process().Pause())
			time.Sleep(pause)
			h.must(victim.Process().Resume())
			report := <-reports
			h.checkLedgers(report, true)
			group := report.Group(groupReads)
			if unknown := group.Outcomes[load.Unknown]; unknown > 0 {
				t.Errorf("%d of %d calls had an unknown outcome: %v", unknown, len(report.Calls), group.NotRunOrUnknown)
			}
		})
	}
}
