package relay

import (
	"encoding/json"
	"io"
	"net/http"

	"github.com/gorilla/mux"
)

// maxModeBytes bounds the body of POST /mode.
const maxModeBytes = 4 << 10

// Handler returns the HTTP control of a relay: GET and POST /mode, GET /stats.
func (r *Relay) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/mode", r.handleMode).Methods(http.MethodGet)
	router.HandleFunc("/mode", r.handleSetMode).Methods(http.MethodPost)
	router.HandleFunc("/stats", r.handleStats).Methods(http.MethodGet)
	return router
}

func (r *Relay) handleMode(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, r.Mode(""))
}

func (r *Relay) handleSetMode(w http.ResponseWriter, request *http.Request) {
	decoder := json.NewDecoder(io.LimitReader(request.Body, maxModeBytes))
	decoder.DisallowUnknownFields()
	var mode Mode
	err := decoder.Decode(&mode)
	if err == nil {
		err = r.SetMode(mode)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	writeJSON(w, mode)
}

func (r *Relay) handleStats(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, r.Stats())
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(value)
}
