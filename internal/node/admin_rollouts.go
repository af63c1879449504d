package node

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"jasminegate/internal/coordination/entry"
	"jasminegate/internal/coordination/rollout"
	"jasminegate/internal/protocol/adminapi"
	"jasminegate/internal/protocol/problem"
	"jasminegate/internal/state"
)

// getRollouts lists the last rollout of each service.
func (n *node) getRollouts(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, n.rollouts.list(time.Now()))
}

// maxRolloutDuration is the longest time limit of an order.
const maxRolloutDuration = 24 * time.Hour

// postRollout accepts an order on the product's own log.
func (n *node) postRollout(w http.ResponseWriter, r *http.Request) {
	var order adminapi.RolloutOrder
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAdminBodyBytes)).Decode(&order); err != nil {
		writeBadRequest(w, "order: "+err.Error(), "send service, version and duration_ms as JSON")
		return
	}
	duration := time.Duration(order.DurationMS) * time.Millisecond
	text, remedy := state.CheckName(order.Version, state.MaxNameBytes)
	switch {
	case n.rollouts == nil:
		writeNoRollout(w, "rollouts are not enabled at this node", "set rollout.expose_share")
		return
	case n.settings.Platform.Adapter != "":
		writeBadRequest(w, "orders of this platform are records of its operators", "write the order there")
		return
	case text != "":
		writeBadRequest(w, "version "+text, remedy)
		return
	case order.DurationMS <= 0 || duration > maxRolloutDuration || duration <= 0:
		writeBadRequest(w, "duration_ms is "+strconv.FormatInt(order.DurationMS, 10), "use 1 to "+strconv.FormatInt(maxRolloutDuration.Milliseconds(), 10))
		return
	case !n.rollouts.hasService(order.Service):
		writeNoRollout(w, "the configuration has no service "+strconv.Quote(order.Service), "add it, or correct the order")
		return
	}
	if err := n.rollouts.order(r.Context(), order.Service, order.Version, duration); err != nil {
		writePublishFailure(w, err)
		return
	}
	writeJSON(w, http.StatusAccepted, n.rollouts.list(time.Now()))
}

// deleteRollout rolls a running rollout back.
func (n *node) deleteRollout(w http.ResponseWriter, r *http.Request) {
	service, now := mux.Vars(r)["service"], time.Now()
	if n.rollouts == nil {
		writeNoRollout(w, "rollouts are not enabled at this node", "set rollout.expose_share")
		return
	}
	record, ok := n.rollouts.record(service)
	if !ok || record.Phase.Final() {
		writeNoRollout(w, "no rollout of service "+strconv.Quote(service)+" is running", "take a service of `jasminegate rollout list` whose phase is no result")
		return
	}
	n.rollouts.abort(now, record, "aborted by an operator")
	writeJSON(w, http.StatusOK, n.rollouts.list(now))
}

func writeNoRollout(w http.ResponseWriter, detail, remedy string) {
	problem.Write(w, problem.Problem{Status: http.StatusNotFound, Outcome: problem.NotFound, Detail: detail, Remedy: remedy})
}

// list returns the rollouts as operators see them.
func (r *rollouts) list(now time.Time) adminapi.RolloutList {
	list := adminapi.RolloutList{Enabled: r != nil, Rollouts: []adminapi.Rollout{}}
	if r == nil {
		return list
	}
	for _, record := range r.records() {
		item := adminapi.Rollout{
			Service: record.Service, Order: record.Order, Version: record.TargetVersion, Previous: record.PreviousVersion,
			Phase: record.Phase.String(), Reason: record.Reason, ElapsedMS: record.Elapsed(now).Milliseconds(), DurationMS: record.Duration.Milliseconds(),
			Versions: r.listVersions(record),
		}
		if !record.Phase.Final() {
			r.runsMu.Lock()
			item.Coordinator = r.rank(now, r.runOf(record), record)
			r.runsMu.Unlock()
		}
		list.Rollouts = append(list.Rollouts, item)
	}
	return list
}

func (r *rollouts) listVersions(record rollout.Record) []adminapi.RolloutVersion {
	r.mu.Lock()
	defer r.mu.Unlock()
	versions := []adminapi.RolloutVersion{}
	for _, present := range r.versions.Present(record.Service) {
		item := adminapi.RolloutVersion{Version: present.Version, Targets: present.Targets, Use: useOf(present)}
		if counts := r.outcomes[serviceVersion{record.Service, present.Version}]; counts != nil {
			item.Failed, item.NotCounted = counts[rollout.Failed], counts[rollout.NotCounted]
			item.Attempts = counts[rollout.Succeeded] + item.Failed + item.NotCounted
		}
		versions = append(versions, item)
	}
	return versions
}

func useOf(v entry.ServiceVersion) string {
	switch {
	case v.Held:
		return adminapi.VersionHeld
	case v.Current:
		return adminapi.VersionCurrent
	case v.Retired:
		return adminapi.VersionRetired
	}
	return adminapi.VersionBeside
}
