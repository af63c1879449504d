package processtest

import (
	"context"
	"testing"
	"time"

	"jasminegate/internal/standin/fleet"
	"jasminegate/internal/standin/load"
)

const (
	retryRate     = 40 // calls per second
	retryDuration = 6 * time.Second
)

// sendRepeatedly sends the same call at the rate, through the nodes in turn.
func (h *harness) sendRepeatedly(call load.Call, rate float64, duration time.Duration, nodes ...*fleet.Node) *load.Report {
	var entries []string
	for _, node := range nodes {
		entries = append(entries, node.CallersAddress)
	}
	return load.Run(context.Background(), load.NewClient(), load.Plan{
		Rate: rate, Duration: duration, Entries: entries, MaxInFlight: maxInFlight,
		Next: func(int) load.Call { return call },
	})
}

// runCount returns how often the node's target has run the call.
func (h *harness) runCount(node *fleet.Node, id string) int {
	ledger, err := node.Ledger(h.ctx())
	h.must(err)
	for _, entry := range ledger.Tests {
		if entry.ID == id {
			return entry.Count
		}
	}
	return 0
}

// TestKeyedRetriesAfterGateKilled kills the instance that ran a keyed order
// and sends the order again through all others: no other target may run it. Each
// retry must be reported as of unknown outcome: the order has run, so that not run
// would be wrong.
func TestKeyedRetriesAfterGateKilled(t *testing.T) {
	t.Parallel()
	h := startHarness(t, fleetPlan(4))
	call := mixedCall("died", 1)
	first := h.sendRepeatedly(call, 1, time.Second, h.Nodes[0])
	if first.Total(load.Answered) != 1 {
		t.Fatalf("the order was not answered: %v %v", first.Failures, first.NotRunOrUnknown())
	}
	var gate *fleet.Node
	var others []*fleet.Node
	for _, node := range h.Nodes {
		if h.runCount(node, call.ID) == 1 && gate == nil {
			gate = node
			continue
		}
		others = append(others, node)
	}
	gate.Process().Kill()
	gate.Target().Kill()
	retries := h.sendRepeatedly(call, retryRate, retryDuration, others...)
	for _, node := range others {
		if runs := h.runCount(node, call.ID); runs > 0 {
			t.Errorf("%s ran the order %d times after %s had run it", node.ID, runs, gate.ID)
		}
	}
	if retries.Total(load.Answered) > 0 || retries.Total(load.Failed) > 0 {
		t.Errorf("retries were answered or failed although the gate is dead: %v", retries.Failures)
	}
	if unknown := retries.Total(load.Unknown); unknown != int(retryRate*retryDuration.Seconds()) {
		t.Errorf("only %d retries were reported as of unknown outcome: %v", unknown, retries.NotRunOrUnknown())
	}
}
