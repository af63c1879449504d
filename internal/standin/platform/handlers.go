package platform

import (
	"io"
	"net/http"
	"time"

	"github.com/gorilla/mux"
)

type appended struct {
	Offset int64 `json:"offset"`
}

type readResult struct {
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
		http.Error(w, "body was cut off", http.StatusBadRequest)
		return
	}
	if !p.admit(w, r) {
		return
	}
	offset, status := p.append(mux.Vars(r)["stream"], data)
	if status != http.StatusOK {
		http.Error(w, http.StatusText(status), status)
		return
	}
	if p.Mode().LostResponses {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, r, http.StatusOK, appended{offset})
}

func (p *Platform) append(name string, data []byte) (int64, int) {
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
	s.stats.Appends++
	return s.append(p.options.Now(), data), http.StatusOK
}

func (p *Platform) handleRead(w http.ResponseWriter, r *http.Request) {
	query, err := parseReadQuery(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !p.admit(w, r) {
		return
	}
	deadline := time.NewTimer(query.wait)
	defer deadline.Stop()
	for waiting := true; ; {
		result, wake := p.read(query)
		if query.from < result.First {
			writeJSON(w, r, http.StatusGone, result.bounds)
			return
		}
		if len(result.Records) > 0 || !waiting {
			p.countRead(query.stream, len(result.Records))
			writeJSON(w, r, http.StatusOK, result)
			return
		}
		waiting = p.awaitChange(r, query.stream, wake, deadline.C)
		if r.Context().Err() != nil || !p.admit(w, r) {
			return
		}
	}
}

// awaitChange waits for a record, another mode or the end of the request. It
// reports false once the deadline has passed.
func (p *Platform) awaitChange(r *http.Request, name string, wake wakers, deadline <-chan time.Time) bool {
	p.addWaiting(name, 1)
	defer p.addWaiting(name, -1)
	select {
	case <-wake.records:
	case <-wake.mode:
	case <-r.Context().Done():
	case <-deadline:
		return false
	}
	return true
}

// wakers are closed when something that a waiting read looks at has changed.
type wakers struct {
	records <-chan struct{}
	mode    <-chan struct{}
}

func (p *Platform) read(query readQuery) (readResult, wakers) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.stream(query.stream)
	result := readResult{bounds: s.bounds(), Records: s.read(query.from, query.maxBytes)}
	return result, wakers{records: s.changed, mode: p.modeChanged}
}

func (p *Platform) handleBounds(w http.ResponseWriter, r *http.Request) {
	if !p.admit(w, r) {
		return
	}
	p.mu.Lock()
	bounds := p.stream(mux.Vars(r)["stream"]).bounds()
	p.mu.Unlock()
	writeJSON(w, r, http.StatusOK, bounds)
}
