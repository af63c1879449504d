// Package problem is the body of each answer that the system itself gives
// instead of a target: RFC 9457 problem details with an outcome and a remedy.
package problem

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"jasminegate/internal/protocol/headers"
)

// ContentType is the media type of a problem body.
const ContentType = "application/problem+json"

// typeBase begins the type of each problem; the outcome follows it.
const typeBase = "urn:jasminegate:problem:"

// Outcome says what became of the call or request.
type Outcome string

// Outcomes.
const (
	// NotRun says that the call was not run and never will be.
	NotRun Outcome = "not-run"
	// Unknown says that the call may or may not have run.
	Unknown Outcome = "outcome-unknown"
	// Rejected says that the request breaks a rule; a repeat is rejected too.
	Rejected Outcome = "rejected"
	// InProgress says that an earlier call with the same key still runs.
	InProgress Outcome = "in-progress"
	// Ran says that the call ran and its answer is lost.
	Ran Outcome = "ran"
	// Unavailable says that the request was not taken and may be repeated.
	Unavailable Outcome = "unavailable"
	// NotFound says that nothing has the asked name.
	NotFound Outcome = "not-found"
)

// Problem is the body of the answer.
type Problem struct {
	// Type is filled in from Outcome when it is empty.
	Type string `json:"type"`
	// Title is filled in from Status when it is empty.
	Title string `json:"title"`
	// Status is the HTTP status code.
	Status int `json:"status"`
	// Detail says what happened.
	Detail string `json:"detail"`
	// Remedy says what the receiver can do.
	Remedy  string  `json:"remedy"`
	Outcome Outcome `json:"outcome"`
	// RetryAfterMS is how long to wait before a repeat, in milliseconds; 0 says
	// nothing about repeats.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
	// PreciseRetryAfter writes the header with fractions of a second.
	PreciseRetryAfter bool `json:"-"`
}

// Write sends the problem as the whole answer.
func Write(w http.ResponseWriter, p Problem) {
	p = p.complete()
	body, err := json.Marshal(p)
	if err != nil {
		http.Error(w, p.Detail, p.Status)
		return
	}
	header := w.Header()
	header.Set("Content-Type", ContentType)
	header.Set("Content-Length", strconv.Itoa(len(body)))
	header.Set("Cache-Control", "no-store")
	header.Set(headers.Outcome, string(p.Outcome))
	if p.RetryAfterMS > 0 {
		header.Set(headers.RetryAfter, p.retryAfterSeconds())
	}
	w.WriteHeader(p.Status)
	_, _ = w.Write(body)
}

// RetryAfter returns how long to wait before a repeat.
func (p Problem) RetryAfter() time.Duration {
	return time.Duration(p.RetryAfterMS) * time.Millisecond
}

func (p Problem) complete() Problem {
	if p.Status == 0 {
		p.Status = http.StatusInternalServerError
	}
	if p.Type == "" {
		p.Type = typeBase + string(p.Outcome)
	}
	if p.Title == "" {
		p.Title = http.StatusText(p.Status)
	}
	return p
}

func (p Problem) retryAfterSeconds() string {
	if p.PreciseRetryAfter {
		return strconv.FormatFloat(p.RetryAfter().Seconds(), 'f', -1, 64)
	}
	return strconv.FormatInt(wholeSeconds(p.RetryAfterMS), 10)
}

// wholeSeconds rounds up, so that nobody comes back too early.
func wholeSeconds(milliseconds int64) int64 {
	const second = 1000
	whole := milliseconds / second
	if milliseconds%second > 0 {
		whole++
	}
	return whole
}
