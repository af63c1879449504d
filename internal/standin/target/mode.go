package target

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"jasminegate/internal/protocol/headers"
)

// maxModeBytes limits the body of POST /mode.
const maxModeBytes = 4 << 10

// Reporting selects how accurate the health and load endpoints are.
type Reporting string

// Values of Reporting.
const (
	// ReportHonest reports the current state; the empty string means the same.
	ReportHonest Reporting = "honest"
	// ReportLagging reports the state of LagMS ago.
	ReportLagging Reporting = "lagging"
	// ReportIdle always reports a healthy target without load.
	ReportIdle Reporting = "idle"
	// ReportFailed always reports an unhealthy target with every slot busy.
	ReportFailed Reporting = "failed"
)

// Mode controls the behaviour of a target. POST /mode replaces it.
type Mode struct {
	// ServiceMS is the service time of a request in milliseconds, unless its
	// query sets service_ms.
	ServiceMS int `json:"service_ms"`
	// Shed responds with 503 when no slot is free; otherwise requests wait for
	// one.
	Shed bool `json:"shed"`
	// Hang keeps each request in its slot until the request is cancelled.
	Hang bool `json:"hang"`
	// IgnoreCancel runs requests to completion even if they are cancelled.
	IgnoreCancel bool `json:"ignore_cancel"`
	// Reporting selects how accurate health and load are.
	Reporting Reporting `json:"reporting"`
	// LagMS is the age of the reports of ReportLagging in milliseconds.
	LagMS int `json:"lag_ms"`
	// ProbeMS is the response time of the health and load endpoints in
	// milliseconds.
	ProbeMS int `json:"probe_ms"`
	// RateLimit is stated in every response: the requests per second that the target
	// takes from all callers together. It is only stated, not enforced; nil states
	// none.
	RateLimit *float64 `json:"rate_limit,omitempty"`
	// Leaving is stated in every response: the target is about to stop. Unlike a
	// drain, it is not announced.
	Leaving bool `json:"leaving"`
}

func (m Mode) validate() error {
	switch m.Reporting {
	case "", ReportHonest, ReportLagging, ReportIdle, ReportFailed:
		return nil
	}
	return fmt.Errorf("reporting %q: use %s, %s, %s or %s",
		m.Reporting, ReportHonest, ReportLagging, ReportIdle, ReportFailed)
}

// stateSignals sets the headers of the signals that the mode states.
func (m Mode) stateSignals(header http.Header) {
	header.Del(headers.TargetRateLimit)
	if m.RateLimit != nil {
		header.Set(headers.TargetRateLimit, strconv.FormatFloat(*m.RateLimit, 'f', -1, 64))
	}
	header.Del(headers.TargetLeaving)
	if m.Leaving {
		header.Set(headers.TargetLeaving, "1")
	}
}

func (m Mode) lag() time.Duration { return time.Duration(m.LagMS) * time.Millisecond }

func (t *Target) handleMode(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, t.Mode())
}

func (t *Target) handleSetMode(w http.ResponseWriter, r *http.Request) {
	decoder := json.NewDecoder(io.LimitReader(r.Body, maxModeBytes))
	decoder.DisallowUnknownFields()
	var mode Mode
	err := decoder.Decode(&mode)
	if err == nil {
		err = mode.validate()
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	t.SetMode(mode)
	writeJSON(w, http.StatusOK, mode)
}

func (t *Target) handleDrain(w http.ResponseWriter, _ *http.Request) {
	t.Drain()
	w.WriteHeader(http.StatusNoContent)
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(value)
}
