package node

import (
	"net/http"
	"time"

	"jasminegate/internal/coordination/membership"
	"jasminegate/internal/protocol/adminapi"
)

// retryWhenNotServing is when to ask a node again that admits no calls.
const retryWhenNotServing = time.Second

var memberStates = map[membership.State]string{
	membership.Alive:   "alive",
	membership.Suspect: "suspect",
	membership.Dead:    "dead",
	membership.Left:    "left",
}

var memberTargets = map[membership.TargetState]string{
	membership.TargetAbsent:   "absent",
	membership.TargetReady:    "ready",
	membership.TargetDraining: "draining",
}

// state says whether the node admits calls.
func (n *node) state() adminapi.NodeState {
	switch {
	case n.stopping.Load():
		return adminapi.NodeStopping
	case n.configuration.Snapshot() == nil:
		return adminapi.NodeJoining
	case !n.members.Serving(time.Now()):
		return adminapi.NodeFenced
	default:
		return adminapi.NodeServing
	}
}

// getStatus tells what this node knows.
func (n *node) getStatus(w http.ResponseWriter, _ *http.Request) {
	version := n.configuration.Applied()
	status := adminapi.Status{
		Node:          n.self.ID,
		Incarnation:   n.self.Incarnation,
		Domain:        n.self.Domain,
		State:         n.state(),
		Version:       adminapi.Version{Position: version.Position, Digest: adminapi.FormatHash(version.Digest)},
		Members:       []adminapi.Member{},
		Domains:       n.domainProgress(),
		CallsInFlight: n.calls.Stats().InFlight,
		QueueLength:   n.queued(),
	}
	for _, member := range n.members.View().Members {
		status.Members = append(status.Members, adminapi.Member{
			ID:      member.ID,
			Domain:  member.Domain,
			State:   memberStates[member.State],
			Service: member.Service,
			Target:  memberTargets[member.Target],
			Slots:   member.Slots,
		})
	}
	writeJSON(w, http.StatusOK, status)
}

// queued is how many calls wait at this node's gate: those beyond the limit.
func (n *node) queued() int {
	return max(0, int(n.calls.Load())-n.calls.Stats().ConcurrencyLimit)
}

func (n *node) domainProgress() []adminapi.DomainProgress {
	domains := []adminapi.DomainProgress{}
	for _, summary := range n.members.HeldSummaries(time.Now()) {
		domains = append(domains, adminapi.DomainProgress{
			Domain:        summary.Domain,
			Members:       int(summary.Members),
			LeastPosition: summary.LeastPosition,
			Laggards:      summary.Laggards,
			AgeMS:         summary.Age.Milliseconds(),
			LeftOut:       summary.LeftOut,
		})
	}
	return domains
}
