// Package problem defines the body of the error responses that the system itself
// sends: RFC 9457 problem details with an outcome and a remedy.
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

// typeBase is the prefix of a problem's default type; the outcome follows it.
const typeBase = "urn:jasminegate:problem:"

// Outcome is the outcome of the call or request.
type Outcome string

// Outcomes.
const (
	// NotRun means that the call was not run and never will be.
	NotRun Outcome = "not-run"
	// Unknown means that the call or request may or may not have taken effect.
	Unknown Outcome = "outcome-unknown"
	// Rejected means that the request is invalid; a retry is rejected too.
	Rejected Outcome = "rejected"
	// InProgress means that an earlier call with the same idempotency key is still
	// running.
	InProgress Outcome = "in-progress"
	// Ran means that the call ran and its response is lost.
	Ran Outcome = "ran"
	// Unavailable means that the request was not accepted and may be retried.
	Unavailable Outcome = "unavailable"
	// NotFound means that the requested resource does not exist.
	NotFound Outcome = "not-found"
)

// Problem is the body of an error response.
type Problem struct {
	// Type is a URI that identifies the kind of problem. If it is empty, Write sets
	// it from Outcome.
	Type string `json:"type"`
	// Title is a summary of the kind of problem. If it is empty, Write sets it from
	// Status.
	Title string `json:"title"`
	// Status is the HTTP status code; Write replaces 0 by 500.
	Status int `json:"status"`
	// Detail describes this occurrence of the problem.
	Detail string `json:"detail"`
	// Remedy says what the receiver can do.
	Remedy  string  `json:"remedy"`
	Outcome Outcome `json:"outcome"`
	// RetryAfterMS is the delay before a retry, in milliseconds; 0 gives none.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
	// PreciseRetryAfter makes Write set Retry-After with fractions of a second.
	PreciseRetryAfter bool `json:"-"`
}

// Write sends the problem as the response: status, headers and body.
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

// RetryAfter returns the delay before a retry, or 0.
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

// wholeSeconds rounds up, so that no client retries too early.
func wholeSeconds(milliseconds int64) int64 {
	const second = 1000
	whole := milliseconds / second
	if milliseconds%second > 0 {
		whole++
	}
	return whole
}
