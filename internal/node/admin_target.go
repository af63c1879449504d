package node

import (
	"io"
	"net/http"
	"time"

	"jasminegate/internal/coordination/membership"
	"jasminegate/internal/node/calls"
	"jasminegate/internal/protocol/adminapi"
)

// putTarget registers or renews the announcement of the local target.
func (n *node) putTarget(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxAdminBodyBytes))
	if err != nil {
		writeBadRequest(w, "announcement: "+err.Error(), "send one announcement as JSON")
		return
	}
	announcement, err := adminapi.DecodeAnnouncement(body)
	if err != nil {
		writeBadRequest(w, errorMessage(err), "correct the value and announce again")
		return
	}
	n.targets.announce(targetFromAnnouncement(announcement), 0, announcement.TTL(), time.Now())
	w.WriteHeader(http.StatusNoContent)
}

func (n *node) deleteTarget(w http.ResponseWriter, _ *http.Request) {
	n.targets.removeAnnounced()
	w.WriteHeader(http.StatusNoContent)
}

// targetFromAnnouncement converts a validated announcement.
func targetFromAnnouncement(announcement adminapi.Announcement) calls.Target {
	return calls.Target{
		Service:     announcement.Service,
		Slots:       int(announcement.Slots),
		Connections: int(announcement.Connections),
		Address:     announcement.Address,
		Instance:    announcement.Instance,
		State:       targetStates[announcement.State],
		Version:     announcement.Version,
	}
}

var targetStates = map[adminapi.TargetState]membership.TargetState{
	adminapi.TargetReady:    membership.TargetReady,
	adminapi.TargetDraining: membership.TargetDraining,
}
