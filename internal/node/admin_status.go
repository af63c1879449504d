package node

import (
	"net/http"
	"time"

	"jasminegate/internal/coordination/membership"
	"jasminegate/internal/protocol/adminapi"
)

// notServingRetryAfter is the retry delay given by a readiness check while the
// node admits no calls.
const notServingRetryAfter = time.Second

var memberStateNames = map[membership.State]string{
	membership.Alive:   "alive",
	membership.Suspect: "suspect",
	membership.Dead:    "dead",
	membership.Left:    "left",
}

var targetStateNames = map[membership.TargetState]string{
	membership.TargetAbsent:   "absent",
	membership.TargetReady:    "ready",
	membership.TargetDraining: "draining",
}

// state returns the node's state. The node admits calls only in NodeServing.
func (n *node) state() adminapi.NodeState {
	switch {
	case n.stopping.Load():
		return adminapi.NodeStopping
	case n.servedSnapshot() == nil:
		return adminapi.NodeJoining
	case !n.members.Serving(time.Now()):
		return adminapi.NodeFenced
	default:
		return adminapi.NodeServing
	}
}

// getStatus writes this node's state and its view of the fleet.
func (n *node) getStatus(w http.ResponseWriter, _ *http.Request) {
	version := n.configuration.AppliedVersion()
	status := adminapi.Status{
		Node:          n.self.ID,
		Incarnation:   n.self.Incarnation,
		Domain:        n.self.Domain,
		State:         n.state(),
		Version:       adminapi.Version{Position: version.Position, Digest: adminapi.FormatHash(version.Digest)},
		Members:       []adminapi.Member{},
		Domains:       n.domainProgress(),
		CallsInFlight: n.calls.Stats().InFlight,
		QueueLength:   n.queuedCalls(),
	}
	for _, member := range n.members.View().Members {
		status.Members = append(status.Members, adminapi.Member{
			ID:      member.ID,
			Domain:  member.Domain,
			State:   memberStateNames[member.State],
			Service: member.Service,
			Target:  targetStateNames[member.Target],
			Slots:   member.Slots,
		})
	}
	writeJSON(w, http.StatusOK, status)
}

// queuedCalls returns the number of calls queued at this node's gate.
func (n *node) queuedCalls() int {
	return n.calls.Stats().Queued
}

// domainProgress returns one entry for each stored summary, so a domain has one for
// each of its reporters.
func (n *node) domainProgress() []adminapi.DomainProgress {
	domains := []adminapi.DomainProgress{}
	for _, summary := range n.members.StoredSummaries(time.Now()) {
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
