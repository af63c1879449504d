package node

import (
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"jasminegate/internal/node/calls"
	"jasminegate/internal/protocol/adminapi"
	"jasminegate/internal/protocol/problem"
)

// getQuarantine lists the requests under which targets crashed.
func (n *node) getQuarantine(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, n.quarantineList())
}

func (n *node) quarantineList() adminapi.QuarantineList {
	list := adminapi.QuarantineList{Requests: []adminapi.QuarantinedRequest{}}
	records, _ := n.calls.QuarantineRecords()
	for _, record := range records {
		if len(record.Crashes) == 0 {
			continue
		}
		list.Requests = append(list.Requests, adminapi.QuarantinedRequest{
			ID: calls.FormatFingerprint(record.Fingerprint), Refused: record.Refused(), Crashes: len(record.Crashes),
			Method: record.Description.Method, URI: record.Description.URI, CallerService: record.Description.Caller,
			RemainingMS: time.Until(record.ExpiresAt).Milliseconds(),
		})
	}
	return list
}

// deleteQuarantine lifts one quarantine at all nodes.
func (n *node) deleteQuarantine(w http.ResponseWriter, r *http.Request) {
	id := mux.Vars(r)["id"]
	fingerprint, err := strconv.ParseUint(id, 16, 64)
	if err != nil {
		writeBadRequest(w, strconv.Quote(id)+" is not the ID of a request in quarantine", "take one of `jasminegate quarantine list`")
		return
	}
	if !n.calls.LiftQuarantine(fingerprint) {
		problem.Write(w, problem.Problem{
			Status: http.StatusNotFound, Outcome: problem.NotFound,
			Detail: "no crash is noted with the request " + id, Remedy: "take an ID of `jasminegate quarantine list`, or ask another node",
		})
		return
	}
	writeJSON(w, http.StatusOK, n.quarantineList())
}
