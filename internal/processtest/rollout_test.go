package processtest

import (
	"encoding/json"
	"testing"
	"time"

	"jasminegate/internal/protocol/adminapi"
	"jasminegate/internal/standin/fleet"
	"jasminegate/internal/standin/load"
)

// rollout returns the rollout of rider-view as the node shows it.
func (h *harness) rollout(node *fleet.Node) (shown adminapi.Rollout) {
	h.t.Helper()
	body, err := node.AdminRequest(h.ctx(), "GET", adminapi.PathRollouts, nil)
	h.must(err)
	var list adminapi.RolloutList
	h.must(json.Unmarshal(body, &list))
	for _, item := range list.Rollouts {
		if item.Service == "rider-view" {
			shown = item
		}
	}
	return shown
}

// startRolloutFleet starts a fleet with rollouts: in each domain a target of rider-view of v1 and one
// of v2.
func startRolloutFleet(t *testing.T) *harness {
	plan := fleetPlan(4)
	plan.NodeArgs = []string{"--rollout.expose_share", "0.1"}
	for i := range plan.Nodes {
		plan.Nodes[i].Version = []string{"v1", "v1", "v2", "v1"}[i%4] // rider-view is at even numbers
	}
	return startHarness(t, plan)
}

func (h *harness) orderRollout(node *fleet.Node) {
	_, err := node.AdminRequest(h.ctx(), "POST", adminapi.PathRollouts, []byte(`{"service":"rider-view","version":"v2","duration_ms":12000}`))
	h.must(err)
}

// awaitResult waits until the node shows a result, and returns it.
func (h *harness) awaitResult(node *fleet.Node) (phase string) {
	h.t.Helper()
	h.await(node.ID+" shows the result", func() bool {
		phase = h.rollout(node).Phase
		return phase == "completed" || phase == "rolled_back"
	})
	return phase
}

// TestRolloutOnOwnLogHasNoResult orders a rollout through the admin API of one node, on the product's
// own log, with a real process for each node and target. All nodes must show the result, callers must
// lose no call, and no call may begin at an old target after it.
func TestRolloutOnOwnLogHasNoResult(t *testing.T) {
	t.Parallel()
	h := startRolloutFleet(t)
	reports := make(chan *load.Report, 1)
	go func() { reports <- h.sendReads(16*time.Second, h.entries()...) }()
	h.orderRollout(h.Nodes[1])
	for _, node := range h.Nodes {
		if phase := h.awaitResult(node); phase != "completed" {
			t.Fatalf("%s shows %+v", node.ID, h.rollout(node))
		}
	}
	result := time.Now()
	report := <-reports
	for i, node := range h.Nodes {
		starts := h.starts(node)
		switch {
		case i%4 == 0 && len(starts) > 0 && starts[len(starts)-1].After(result):
			t.Errorf("old target of %s started a call after the result", node.ID)
		case i%4 == 2 && (len(starts) == 0 || !starts[len(starts)-1].After(result)):
			t.Errorf("new target of %s started no call after the result", node.ID)
		}
	}
	h.checkAllAnswered(report)
}

// TestKilledCoordinatorLeavesTwoResults kills the coordinator's process once calls go to the new
// version, and starts it again without memory. All nodes, the restarted one included, must show the same
// result, within the order's time limit and some time for the exchange.
func TestKilledCoordinatorLeavesTwoResults(t *testing.T) {
	t.Parallel()
	h := startRolloutFleet(t)
	reports := make(chan *load.Report, 1)
	ordered := time.Now()
	go func() { reports <- h.sendReads(13*time.Second, h.Nodes[1].CallersAddress, h.Nodes[5].CallersAddress) }()
	h.orderRollout(h.Nodes[1])
	h.await("calls go to the new version", func() bool { return h.rollout(h.Nodes[1]).Phase == "canary" })
	name := h.rollout(h.Nodes[1]).Coordinator
	for _, node := range h.Nodes {
		if node.ID == name {
			node.Process().Kill()
			h.must(node.Start())
		}
	}
	first := h.awaitResult(h.Nodes[0])
	for _, node := range h.Nodes {
		if phase := h.awaitResult(node); phase != first {
			t.Errorf("%s shows %s, %s shows %s", h.Nodes[0].ID, first, node.ID, phase)
		}
	}
	t.Logf("coordinator %s killed, %s after %v: %s", name, first, time.Since(ordered), h.rollout(h.Nodes[0]).Reason)
	if took := time.Since(ordered); took > 14*time.Second {
		t.Errorf("the result came after %v", took)
	}
	<-reports
}
