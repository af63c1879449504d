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

// TestRolloutOnOwnLogHasNoResult orders a rollout through the admin API of one node, on the product's
// own log, with a real process for each node and target. All nodes must show the result, callers must
// lose no call, and no call may begin at an old target after it.
func TestRolloutOnOwnLogHasNoResult(t *testing.T) {
	t.Parallel()
	plan := fleetPlan(4)
	plan.NodeArgs = []string{"--rollout.expose_share", "0.1"}
	for i := range plan.Nodes {
		plan.Nodes[i].Version = []string{"v1", "v1", "v2", "v1"}[i%4] // rider-view is at even numbers
	}
	h := startHarness(t, plan)
	reports := make(chan *load.Report, 1)
	go func() { reports <- h.sendReads(16*time.Second, h.entries()...) }()
	_, err := h.Nodes[1].AdminRequest(h.ctx(), "POST", adminapi.PathRollouts, []byte(`{"service":"rider-view","version":"v2","duration_ms":12000}`))
	h.must(err)
	for _, node := range h.Nodes {
		h.await(node.ID+" shows the result", func() bool {
			phase := h.rollout(node).Phase
			return phase == "completed" || phase == "rolled_back"
		})
		if shown := h.rollout(node); shown.Phase != "completed" {
			t.Fatalf("%s shows %+v", node.ID, shown)
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
