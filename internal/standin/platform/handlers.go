package platform

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"
)

// appendResponse is the JSON response to an append.
type appendResponse struct {
	Offset int64 `json:"offset"`
}

// readResponse is the JSON response to a read.
type readResponse struct {
	bounds
	Records []record `json:"records"`
}

func (p *Platform) routes() *mux.Router {
	router := mux.NewRouter()
	router.HandleFunc("/streams/{stream}/records", p.handleAppend).Methods(http.MethodPost)
	router.HandleFunc("/streams/{stream}/records", p.handleRead).Methods(http.MethodGet)
	router.HandleFunc("/streams/{stream}", p.handleBounds).Methods(http.MethodGet)
	router.HandleFunc("/mode", p.handleSetMode).Methods(http.MethodPost)
	router.HandleFunc("/mode", p.handleMode).Methods(http.MethodGet)
	router.HandleFunc("/trim", p.handleTrim).Methods(http.MethodPost)
	router.HandleFunc("/stats", p.handleStats).Methods(http.MethodGet)
	return router
}

func (p *Platform) handleAppend(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(io.LimitReader(r.Body, int64(p.options.MaxRecordBytes)+1))
	if err != nil {
		http.Error(w, "request body is incomplete", http.StatusBadRequest)
		return
	}
	if !p.injectFaults(w, r) {
		return
	}
	offset, status := p.append(mux.Vars(r)["stream"], data, r.URL.Query().Get("next"))
	if status != http.StatusOK {
		http.Error(w, http.StatusText(status), status)
		return
	}
	if p.Mode().LostResponses {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, r, http.StatusOK, appendResponse{offset})
}

// append appends a record and returns its offset and status 200, or the HTTP
// status of the refusal. If next is not empty, it must be the offset of the append.
func (p *Platform) append(name string, data []byte, next string) (int64, int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.stream(name)
	if len(data) > p.options.MaxRecordBytes {
		s.stats.RefusedAppends++
		return 0, http.StatusRequestEntityTooLarge
	}
	if !p.limiter.Allow() {
		s.stats.RefusedAppends++
		return 0, http.StatusServiceUnavailable
	}
	if next != "" && next != strconv.FormatInt(s.bounds().Next, 10) {
		s.stats.RefusedAppends++
		return 0, http.StatusPreconditionFailed
	}
	s.stats.Appends++
	return s.append(p.options.Now(), data), http.StatusOK
}

// handleRead responds with records from an offset on. It responds with 410 if
// they have been trimmed, and waits for a record if there is none.
func (p *Platform) handleRead(w http.ResponseWriter, r *http.Request) {
	query, err := parseReadQuery(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !p.injectFaults(w, r) {
		return
	}
	deadline := time.NewTimer(query.wait)
	defer deadline.Stop()
	for waiting := true; ; {
		response, changes := p.read(query)
		if query.from < response.First {
			writeJSON(w, r, http.StatusGone, response.bounds)
			return
		}
		if len(response.Records) > 0 || !waiting {
			p.countRead(query.stream, len(response.Records))
			writeJSON(w, r, http.StatusOK, response)
			return
		}
		waiting = p.awaitChange(r, query.stream, changes, deadline.C)
		if r.Context().Err() != nil || !p.injectFaults(w, r) {
			return
		}
	}
}

// awaitChange waits for a record, a new mode or the end of the request. It
// returns false if the deadline passes first.
func (p *Platform) awaitChange(r *http.Request, name string, changes waitChannels, deadline <-chan time.Time) bool {
	p.addWaiting(name, 1)
	defer p.addWaiting(name, -1)
	select {
	case <-changes.records:
	case <-changes.mode:
	case <-r.Context().Done():
	case <-deadline:
		return false
	}
	return true
}

// waitChannels wake a waiting read: they are closed at the next append to its
// stream and at the next change of mode.
type waitChannels struct {
	records <-chan struct{}
	mode    <-chan struct{}
}

func (p *Platform) read(query readQuery) (readResponse, waitChannels) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.stream(query.stream)
	response := readResponse{bounds: s.bounds(), Records: s.read(query.from, query.maxBytes)}
	return response, waitChannels{records: s.changed, mode: p.modeChanged}
}

func (p *Platform) handleBounds(w http.ResponseWriter, r *http.Request) {
	if !p.injectFaults(w, r) {
		return
	}
	p.mu.Lock()
	bounds := p.stream(mux.Vars(r)["stream"]).bounds()
	p.mu.Unlock()
	writeJSON(w, r, http.StatusOK, bounds)
}
