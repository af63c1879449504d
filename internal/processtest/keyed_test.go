package processtest

import (
	"context"
	"testing"
	"time"

	"jasminegate/internal/standin/fleet"
	"jasminegate/internal/standin/load"
)

const (
	repeatRate = 40 // calls a second
	repeatTime = 6 * time.Second
)

// repeat sends one call again and again through the entries.
func (r *rig) repeat(call load.Call, rate float64, duration time.Duration, nodes ...*fleet.Node) *load.Report {
	var entries []string
	for _, node := range nodes {
		entries = append(entries, node.CallersAddress)
	}
	return load.Run(context.Background(), load.NewClient(), load.Plan{
		Rate: rate, Duration: duration, Entries: entries, MaxInFlight: maxInFlight,
		Next: func(int) load.Call { return call },
	})
}

// runsOf returns how often the node's target ran the call.
func (r *rig) runsOf(node *fleet.Node, id string) int {
	ledger, err := node.Ledger(r.ctx())
	r.must(err)
	for _, entry := range ledger.Tests {
		if entry.ID == id {
			return entry.Count
		}
	}
	return 0
}

// TestKeyedRepeatsAfterItsGateDied kills the instance that ran a keyed order and
// repeats the order through all others: no other target runs it, and no repeat
// is told that it did not run.
func TestKeyedRepeatsAfterItsGateDied(t *testing.T) {
	t.Parallel()
	r := startRig(t, planOf(4))
	call := mixedCall("died", 1)
	first := r.repeat(call, 1, time.Second, r.Nodes[0])
	if first.Total(load.Answered) != 1 {
		t.Fatalf("the order was not answered: %v %v", first.Failures, first.NotRunOrUnknown())
	}
	var home *fleet.Node
	var others []*fleet.Node
	for _, node := range r.Nodes {
		if r.runsOf(node, call.ID) == 1 && home == nil {
			home = node
			continue
		}
		others = append(others, node)
	}
	home.Process().Kill()
	home.Target().Kill()
	repeats := r.repeat(call, repeatRate, repeatTime, others...)
	for _, node := range others {
		if runs := r.runsOf(node, call.ID); runs > 0 {
			t.Errorf("%s ran it %d times after %s had run it", node.ID, runs, home.ID)
		}
	}
	if repeats.Total(load.Answered) > 0 || repeats.Total(load.Failed) > 0 {
		t.Errorf("repeats were answered or cut off: %v", repeats.Failures)
	}
	if unknown := repeats.Total(load.Unknown); unknown != int(repeatRate*repeatTime.Seconds()) {
		t.Errorf("only %d repeats were told that the outcome is unknown: %v", unknown, repeats.NotRunOrUnknown())
	}
}
