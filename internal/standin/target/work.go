package target

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// Request headers that a target reads.
const (
	// HeaderTimeout is the time left for the request in whole milliseconds.
	HeaderTimeout = "Jasminegate-Timeout"
	// HeaderCallID identifies the call in the ledger.
	HeaderCallID = "Jasminegate-Call-Id"
	// HeaderTestID is the caller's own ID of the request in the ledger.
	HeaderTestID = "X-Test-Id"
)

// Limits of the query parameters of a request.
const (
	maxResponseBytes = 64 << 20
	maxServiceMS     = 10 * 60 * 1000
	// bodyChunks is the number of chunks in which a slow response is written.
	bodyChunks = 16
)

// workParams holds the query parameters of a request.
type workParams struct {
	status      int
	minBytes    int // minimum size of the response body
	serviceTime time.Duration
	bodyTime    time.Duration // time over which the body is written
	abortAfter  int           // bytes of the body after which the connection is aborted; -1 means never
	crashAfter  time.Duration // time of the run after which the target crashes; negative means never
}

func parseWorkParams(values url.Values, mode Mode) (workParams, error) {
	params := workParams{}
	serviceMS := 0
	bodyMS := 0
	crashMS := -1
	fields := []struct {
		name     string
		fallback int
		limit    int
		value    *int
	}{
		{"status", http.StatusOK, 599, &params.status},
		{"bytes", 0, maxResponseBytes, &params.minBytes},
		{"service_ms", mode.ServiceMS, maxServiceMS, &serviceMS},
		{"body_ms", 0, maxServiceMS, &bodyMS},
		{"abort_after", -1, maxResponseBytes, &params.abortAfter},
		{"crash_ms", -1, maxServiceMS, &crashMS},
	}
	for _, field := range fields {
		*field.value = field.fallback
		text := values.Get(field.name)
		if text == "" {
			continue
		}
		value, err := strconv.Atoi(text)
		if err != nil || value < 0 || value > field.limit {
			return workParams{}, fmt.Errorf("%s=%q: must be an integer from 0 to %d", field.name, text, field.limit)
		}
		*field.value = value
	}
	params.serviceTime = time.Duration(serviceMS) * time.Millisecond
	params.bodyTime = time.Duration(bodyMS) * time.Millisecond
	params.crashAfter = time.Duration(crashMS) * time.Millisecond
	return params, nil
}

// handleWork runs one request: it acquires a slot, waits for the service time and
// responds.
func (t *Target) handleWork(w http.ResponseWriter, r *http.Request) {
	mode := t.Mode()
	params, err := parseWorkParams(r.URL.Query(), mode)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ctx, cancel, err := withDeadline(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	defer cancel()
	echo, err := newEcho(r, params.minBytes)
	if err != nil {
		http.Error(w, "request body is incomplete", http.StatusBadRequest)
		return
	}
	if !t.acquireSlot(ctx, w, mode) {
		return
	}
	defer t.releaseSlot()
	run := t.ledger.start(r.Header.Get(HeaderCallID), r.Header.Get(HeaderTestID))
	if params.crashAfter >= 0 && t.options.Crash != nil {
		time.AfterFunc(params.crashAfter, t.options.Crash)
	}
	if !t.process(ctx, params, mode) {
		t.ledger.cancel(run)
		http.Error(w, "cancelled", http.StatusGatewayTimeout)
		return
	}
	t.ledger.finish(run)
	t.Mode().stateSignals(w.Header())
	t.respond(w, params, echo)
}

// withDeadline returns the request's context with the deadline of HeaderTimeout,
// if the request has that header.
func withDeadline(r *http.Request) (context.Context, context.CancelFunc, error) {
	text := r.Header.Get(HeaderTimeout)
	if text == "" {
		ctx, cancel := context.WithCancel(r.Context())
		return ctx, cancel, nil
	}
	left, err := strconv.ParseInt(text, 10, 64)
	if err != nil || left < 0 {
		return nil, nil, fmt.Errorf("%s %q: must be a whole number of milliseconds", HeaderTimeout, text)
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(left)*time.Millisecond)
	return ctx, cancel, nil
}

// acquireSlot acquires a slot. If it can't, it responds to the request and
// returns false.
func (t *Target) acquireSlot(ctx context.Context, w http.ResponseWriter, mode Mode) bool {
	defer t.recordReport()
	if ctx.Err() == nil && t.slots.tryAcquire() {
		return true
	}
	if mode.Shed {
		t.ledger.shed()
		w.Header().Set("Retry-After", "1")
		http.Error(w, "no free slot", http.StatusServiceUnavailable)
		return false
	}
	if !t.slots.acquire(ctx) {
		t.ledger.abandon()
		http.Error(w, "request cancelled before it started", http.StatusGatewayTimeout)
		return false
	}
	return true
}

func (t *Target) releaseSlot() {
	t.slots.release()
	t.recordReport()
}

// process waits for the service time and returns false if the request is
// cancelled first.
func (t *Target) process(ctx context.Context, params workParams, mode Mode) bool {
	if mode.Hang {
		<-ctx.Done()
		return false
	}
	if mode.IgnoreCancel {
		ctx = context.WithoutCancel(ctx)
	}
	serviceTime := params.serviceTime
	if t.inColdStart() {
		serviceTime *= time.Duration(max(1, t.options.ColdFactor))
	}
	return sleep(ctx, serviceTime)
}

func sleep(ctx context.Context, duration time.Duration) bool {
	if duration <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// respond writes the response at once or in chunks. If the request asks for an
// abort, it writes only the first abortAfter bytes and aborts the connection.
func (t *Target) respond(w http.ResponseWriter, params workParams, echo Echo) {
	content := echo.Content()
	w.Header().Set("Content-Length", strconv.Itoa(len(content)))
	w.Header().Set("Content-Type", "application/octet-stream")
	w.WriteHeader(params.status)
	abort := params.abortAfter >= 0 && params.abortAfter < len(content)
	if abort {
		content = content[:params.abortAfter]
	}
	writeChunks(w, content, params.bodyTime)
	if abort {
		http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}

func writeChunks(w http.ResponseWriter, content []byte, duration time.Duration) {
	if duration <= 0 {
		w.Write(content)
		return
	}
	chunk := max(1, len(content)/bodyChunks)
	for len(content) > 0 {
		size := min(chunk, len(content))
		if _, err := w.Write(content[:size]); err != nil {
			return
		}
		http.NewResponseController(w).Flush()
		content = content[size:]
		time.Sleep(duration / bodyChunks)
	}
}
