package processtest

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"jasminegate/internal/standin/fleet"
	"jasminegate/internal/standin/target"
)

const (
	// earlyBufferBytes is the nodes' calls.buffer_bytes. A longer body is read while
	// the call runs.
	earlyBufferBytes = 64 << 10
	// earlyFirstBytes are sent before the response, more than what net/http in the
	// target reads of a body that its handler left, and earlyRestBytes after it.
	earlyFirstBytes = 400 << 10
	earlyRestBytes  = 20 << 10
	// nodeLinger is how long a node reads on after an early response.
	nodeLinger = 500 * time.Millisecond
)

// earlyResult is what a caller saw of the request that follows an early response.
type earlyResult struct {
	rawResult
	// skipped says why there was no such request.
	skipped string
	// bodyEnd is the time from the early response until the body was written.
	bodyEnd time.Duration
}

// sendAfterEarlyResponse sends a request whose target responds before the body is in,
// the rest of the body after rest, and another request after pause.
func (h *harness) sendAfterEarlyResponse(node *fleet.Node, chunked bool, rest, pause time.Duration, next rawRequest) earlyResult {
	result := earlyResult{rawResult: rawResult{id: next.id}}
	caller, err := dialCaller(node)
	if err != nil {
		result.skipped = err.Error()
		return result
	}
	defer caller.conn.Close()
	first := strings.Repeat("a", earlyFirstBytes)
	// The rest of the body reads like a request, to which a node would respond with 404.
	second := rawRequest{method: http.MethodGet, uri: "/not-a-request"}.text()
	second += strings.Repeat("b", earlyRestBytes)
	length := fmt.Sprintf("Content-Length: %d", len(first)+len(second))
	if chunked {
		length = "Transfer-Encoding: chunked"
		first = fmt.Sprintf("%x\r\n%s", len(first)+len(second), first)
		second += "\r\n0\r\n\r\n"
	}
	// The stand-in target rejects the query before it reads the body.
	head := fmt.Sprintf("POST /riders/1?status=none HTTP/1.1\r\nHost: callers.example\r\n%s: early-%s\r\n%s\r\n\r\n", target.HeaderTestID, next.id, length)
	wrote := make(chan error, 1)
	go func() {
		_, err := io.WriteString(caller.conn, head+first)
		wrote <- err
	}()
	response, err := caller.receive(http.MethodPost)
	if failed := <-wrote; err == nil {
		err = failed
	}
	switch {
	case err != nil:
		result.skipped = "no early response: " + err.Error()
		return result
	case response.closes || response.status != http.StatusBadRequest:
		result.skipped = fmt.Sprintf("early response with status %d, closes %v", response.status, response.closes)
		return result
	}
	time.Sleep(time.Until(response.at.Add(rest)))
	text := second
	if pause == 0 {
		text += next.text()
	}
	_, result.err = io.WriteString(caller.conn, text)
	result.bodyEnd = time.Since(response.at)
	if pause > 0 && result.err == nil {
		time.Sleep(pause)
		result.err = caller.send(next)
	}
	if result.err == nil {
		result.response, result.err = caller.receive(next.method)
	}
	return result
}

// earlyCase says when the rest of the body and the next request are sent.
type earlyCase struct {
	// The rest of the body follows at times from least to most after the response.
	least, most time.Duration
	// pause is the time from the end of the body to the next request.
	pause time.Duration
}

const (
	earlyCallers = 8
	earlyRounds  = 4
)

// startEarlyHarness starts a fleet whose nodes buffer earlyBufferBytes of a body.
func startEarlyHarness(t *testing.T) *harness {
	t.Helper()
	plan := callersPlan()
	plan.NodeArgs = []string{"-calls.buffer_bytes", fmt.Sprintf("%dKiB", earlyBufferBytes>>10)}
	h := startHarness(t, plan)
	h.awaitInForce(h.Nodes[0], h.publish(h.Nodes[0], callersTicket(nil)))
	return h
}

// runEarly sends the requests of the case through both nodes, half of them with chunks.
func (h *harness) runEarly(tc earlyCase) []earlyResult {
	results := make([]earlyResult, earlyCallers*earlyRounds)
	for round := range earlyRounds {
		h.forEach(earlyCallers, func(i int) {
			rest := tc.least + (tc.most-tc.least)*time.Duration(i)/earlyCallers
			uri := fmt.Sprintf("/riders/1?service_ms=%d", []int{20, 700}[i%2])
			next := rawRequest{id: h.nextID("next"), method: http.MethodGet, uri: uri}
			results[round*earlyCallers+i] = h.sendAfterEarlyResponse(h.Nodes[i/4%2], i/2%2 == 0, rest, tc.pause, next)
		})
	}
	return results
}

// TestEarlyResponseSpoilsNextRequest sends requests whose target responds before the
// body is in, completes the body in time and sends another request on the same
// connection. It must be answered.
func TestEarlyResponseSpoilsNextRequest(t *testing.T) {
	t.Parallel()
	h := startEarlyHarness(t)
	for name, tc := range map[string]earlyCase{
		"body complete at once":                     {0, 20 * time.Millisecond, 0},
		"body complete at once, next request later": {0, 20 * time.Millisecond, nodeLinger},
		"body complete in time":                     {20 * time.Millisecond, nodeLinger / 5, 20 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			results := h.runEarly(tc)
			h.checkAfterEarlyResponses(t, results)
			inTime, unanswered := 0, 0
			for _, result := range results {
				// On a busy machine, a caller sees the early response late, and may
				// send later than it means to.
				if result.skipped != "" || result.bodyEnd > nodeLinger*3/10 {
					continue
				}
				inTime++
				if result.err != nil || result.response.status != http.StatusOK {
					unanswered++
					t.Logf("%s: %s, body complete after %v", result.id, describe(result.rawResult), result.bodyEnd)
				}
			}
			if unanswered > 0 || inTime < len(results)/2 {
				t.Errorf("%d of %d requests that followed a body that was complete in time got no response", unanswered, inTime)
			}
		})
	}
}

// TestLateBodyIsTakenForRequest completes the body at or after the end of the time for
// which the node reads on. The node may close the connection, but it must not take the
// body for a request, its server must not panic, and a request that runs must be
// answered.
func TestLateBodyIsTakenForRequest(t *testing.T) {
	t.Parallel()
	h := startEarlyHarness(t)
	for name, tc := range map[string]earlyCase{
		"at the end of the time": {nodeLinger - 5*time.Millisecond, nodeLinger + 5*time.Millisecond, 0},
		"later":                  {nodeLinger + 50*time.Millisecond, nodeLinger + 200*time.Millisecond, 20 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			results := h.runEarly(tc)
			h.checkAfterEarlyResponses(t, results)
			bodies := 0
			for _, result := range results {
				if status := result.response.status; status >= http.StatusBadRequest && status < http.StatusInternalServerError {
					bodies++
				}
			}
			if bodies > 0 {
				t.Errorf("%d of %d callers got a response to a part of their request's body", bodies, len(results))
			}
		})
	}
	h.checkNoPanics()
}

// checkNoPanics checks in the nodes' logs that no goroutine of a server panicked.
func (h *harness) checkNoPanics() {
	h.t.Helper()
	for _, node := range h.Nodes {
		data, err := os.ReadFile(node.Process().LogPath)
		h.must(err)
		if panics := strings.Count(string(data), "http: panic serving"); panics > 0 {
			_, first, _ := strings.Cut(string(data), "http: panic serving")
			line, _, _ := strings.Cut(first, "\n")
			h.t.Errorf("%s: %d panics of net/http, the first: panic serving%s", node.ID, panics, line)
		}
	}
}

// checkAfterEarlyResponses checks that each of the next requests that ran was
// answered.
func (h *harness) checkAfterEarlyResponses(t *testing.T, results []earlyResult) {
	t.Helper()
	records := h.settledRecords()
	sent, answered, ran := 0, 0, 0
	skipped := make(map[string]int)
	errs := make(map[string]int)
	for _, result := range results {
		if result.skipped != "" {
			skipped[result.skipped]++
			continue
		}
		sent++
		switch {
		case result.err == nil && result.response.status == http.StatusOK:
			answered++
			continue
		case result.err != nil && records[result.id].Count > 0:
			ran++
		}
		errs[describe(result.rawResult)]++
	}
	t.Logf("%d requests after an early response, %d answered, %d ran unanswered; others: %v; not sent: %v", sent, answered, ran, errs, skipped)
	if ran > 0 {
		t.Errorf("%d of %d requests that followed an early response ran and got no response: %v", ran, sent, errs)
	}
	if sent < len(results)/2 {
		t.Errorf("only %d of %d requests got an early response: %v", sent, len(results), skipped)
	}
}

// describe returns the result without addresses, so that equal ones can be counted.
func describe(result rawResult) string {
	var failed *net.OpError
	switch {
	case errors.As(result.err, &failed):
		return failed.Op + ": " + failed.Err.Error()
	case result.err != nil:
		return result.err.Error()
	}
	return fmt.Sprintf("status %d", result.response.status)
}
