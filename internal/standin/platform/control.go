package platform

import (
	"encoding/json"
	"io"
	"net/http"
)

type trimRequest struct {
	Stream string `json:"stream"`
	First  int64  `json:"first"`
}

func (p *Platform) handleMode(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, r, http.StatusOK, p.Mode())
}

func (p *Platform) handleSetMode(w http.ResponseWriter, r *http.Request) {
	var mode Mode
	if !decodeControl(w, r, &mode) {
		return
	}
	p.SetMode(mode)
	writeJSON(w, r, http.StatusOK, mode)
}

func (p *Platform) handleTrim(w http.ResponseWriter, r *http.Request) {
	var trim trimRequest
	if !decodeControl(w, r, &trim) {
		return
	}
	p.Trim(trim.Stream, trim.First)
	writeJSON(w, r, http.StatusOK, trim)
}

func (p *Platform) handleStats(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, r, http.StatusOK, p.Stats())
}

func decodeControl(w http.ResponseWriter, r *http.Request, value any) bool {
	decoder := json.NewDecoder(io.LimitReader(r.Body, maxControlBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(value); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
