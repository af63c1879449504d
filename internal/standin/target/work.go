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
	maxAnswerBytes = 64 << 20
	maxServiceMS   = 10 * 60 * 1000
	// bodyChunks is the number of chunks in which a slow response is written.
	bodyChunks = 16
)

// order holds the query parameters of a request.
type order struct {
	status     int
	bytes      int // minimum size of the response body
	service    time.Duration
	bodyTime   time.Duration // time over which the body is written
	abortAfter int           // bytes of the body after which the connection is aborted; -1 means never
}

func parseOrder(values url.Values, mode Mode) (order, error) {
	o := order{}
	serviceMS := 0
	bodyMS := 0
	fields := []struct {
		name     string
		fallback int
		most     int
		value    *int
	}{
		{"status", http.StatusOK, 599, &o.status},
		{"bytes", 0, maxAnswerBytes, &o.bytes},
		{"service_ms", mode.ServiceMS, maxServiceMS, &serviceMS},
		{"body_ms", 0, maxServiceMS, &bodyMS},
		{"abort_after", -1, maxAnswerBytes, &o.abortAfter},
	}
	for _, field := range fields {
		*field.value = field.fallback
		text := values.Get(field.name)
		if text == "" {
			continue
		}
		value, err := strconv.Atoi(text)
		if err != nil || value < 0 || value > field.most {
			return order{}, fmt.Errorf("%s=%q: must be an integer from 0 to %d", field.name, text, field.most)
		}
		*field.value = value
	}
	o.service = time.Duration(serviceMS) * time.Millisecond
	o.bodyTime = time.Duration(bodyMS) * time.Millisecond
	return o, nil
}

// handleWork runs one request: it acquires a slot, waits for the service time and
// responds.
func (t *Target) handleWork(w http.ResponseWriter, r *http.Request) {
	mode := t.Mode()
	order, err := parseOrder(r.URL.Query(), mode)
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
	echo, err := echoOf(r, order.bytes)
	if err != nil {
		http.Error(w, "request body is incomplete", http.StatusBadRequest)
		return
	}
	if !t.enter(ctx, w, mode) {
		return
	}
	defer t.leave()
	run := t.ledger.start(r.Header.Get(HeaderCallID), r.Header.Get(HeaderTestID))
	if !t.serve(ctx, order, mode) {
		t.ledger.cancel(run)
		http.Error(w, "request cancelled", http.StatusGatewayTimeout)
		return
	}
	t.ledger.finish(run)
	t.answer(w, order, echo)
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

// enter acquires a slot. Without one it responds to the request and returns false.
func (t *Target) enter(ctx context.Context, w http.ResponseWriter, mode Mode) bool {
	defer t.record()
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

func (t *Target) leave() {
	t.slots.release()
	t.record()
}

// serve waits for the service time and returns false if the request is cancelled
// first.
func (t *Target) serve(ctx context.Context, order order, mode Mode) bool {
	if mode.Hang {
		<-ctx.Done()
		return false
	}
	if mode.IgnoreCancel {
		ctx = context.WithoutCancel(ctx)
	}
	service := order.service
	if t.cold() {
		service *= time.Duration(max(1, t.options.ColdFactor))
	}
	return sleep(ctx, service)
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

// answer writes the response at once or in chunks. If the request asks for an
// abort, it writes only the first abortAfter bytes and aborts the connection.
func (t *Target) answer(w http.ResponseWriter, order order, echo Echo) {
	content := echo.Content()
	w.Header().Set("Content-Length", strconv.Itoa(len(content)))
	w.Header().Set("Content-Type", "application/octet-stream")
	w.WriteHeader(order.status)
	abort := order.abortAfter >= 0 && order.abortAfter < len(content)
	if abort {
		content = content[:order.abortAfter]
	}
	writeParts(w, content, order.bodyTime)
	if abort {
		http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}

func writeParts(w http.ResponseWriter, content []byte, duration time.Duration) {
	if duration <= 0 {
		w.Write(content)
		return
	}
	part := max(1, len(content)/bodyChunks)
	for len(content) > 0 {
		size := min(part, len(content))
		if _, err := w.Write(content[:size]); err != nil {
			return
		}
		http.NewResponseController(w).Flush()
		content = content[size:]
		time.Sleep(duration / bodyChunks)
	}
}
