package node

import (
	"encoding/json"
	"net/http"
	"net/http/pprof"

	"github.com/gorilla/mux"

	"jasminegate/internal/protocol/adminapi"
	"jasminegate/internal/protocol/problem"
)

// maxAdminBodyBytes bounds the body of a request to the admin address that publishes
// no ticket.
const maxAdminBodyBytes = 1 << 20

// adminHandler returns the admin API, used by operators and the local target.
func (n *node) adminHandler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc(adminapi.PathTickets, n.postTicket).Methods(http.MethodPost)
	router.HandleFunc(adminapi.PathTickets, n.getTickets).Methods(http.MethodGet)
	router.HandleFunc(adminapi.PathTicket, n.getTicket).Methods(http.MethodGet)
	router.HandleFunc(adminapi.PathStatus, n.getStatus).Methods(http.MethodGet)
	router.HandleFunc(adminapi.PathQuarantine, n.getQuarantine).Methods(http.MethodGet)
	router.HandleFunc(adminapi.PathQuarantined, n.deleteQuarantine).Methods(http.MethodDelete)
	router.HandleFunc(adminapi.PathRollouts, n.getRollouts).Methods(http.MethodGet)
	router.HandleFunc(adminapi.PathRollouts, n.postRollout).Methods(http.MethodPost)
	router.HandleFunc(adminapi.PathRollout, n.deleteRollout).Methods(http.MethodDelete)
	router.HandleFunc(adminapi.PathTenants, n.getTenants).Methods(http.MethodGet)
	router.HandleFunc(adminapi.PathTarget, n.putTarget).Methods(http.MethodPut)
	router.HandleFunc(adminapi.PathTarget, n.deleteTarget).Methods(http.MethodDelete)
	router.HandleFunc(adminapi.PathHealth, getHealth).Methods(http.MethodGet)
	router.HandleFunc(adminapi.PathReady, n.getReady).Methods(http.MethodGet)
	router.HandleFunc(adminapi.PathMetrics, n.getMetrics).Methods(http.MethodGet)
	if n.settings.Telemetry.Profiling {
		addProfileHandlers(router)
	}
	router.NotFoundHandler = http.HandlerFunc(notFound)
	return router
}

func addProfileHandlers(router *mux.Router) {
	router.HandleFunc(adminapi.PathProfile+"cmdline", pprof.Cmdline)
	router.HandleFunc(adminapi.PathProfile+"profile", pprof.Profile)
	router.HandleFunc(adminapi.PathProfile+"symbol", pprof.Symbol)
	router.HandleFunc(adminapi.PathProfile+"trace", pprof.Trace)
	router.PathPrefix(adminapi.PathProfile).HandlerFunc(pprof.Index)
}

func notFound(w http.ResponseWriter, r *http.Request) {
	problem.Write(w, problem.Problem{
		Status:  http.StatusNotFound,
		Outcome: problem.NotFound,
		Detail:  "nothing is served at " + r.URL.Path,
		Remedy:  "see the admin API's paths in docs/operators",
	})
}

func getHealth(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, adminapi.Health{Healthy: true})
}

func (n *node) getReady(w http.ResponseWriter, _ *http.Request) {
	state := n.state()
	if state == adminapi.NodeServing {
		writeJSON(w, http.StatusOK, adminapi.Readiness{Ready: true, State: state})
		return
	}
	problem.Write(w, problem.Problem{
		Status:       http.StatusServiceUnavailable,
		Outcome:      problem.Unavailable,
		Detail:       "the node is " + string(state),
		Remedy:       "wait; docs/operators says what each state waits for",
		RetryAfterMS: notServingRetryAfter.Milliseconds(),
	})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		problem.Write(w, problem.Problem{
			Status:  http.StatusInternalServerError,
			Outcome: problem.Unavailable,
			Detail:  err.Error(),
			Remedy:  "report this as a defect",
		})
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(data, '\n'))
}

func writeBadRequest(w http.ResponseWriter, detail, remedy string) {
	problem.Write(w, problem.Problem{
		Status:  http.StatusBadRequest,
		Outcome: problem.Rejected,
		Detail:  detail,
		Remedy:  remedy,
	})
}
