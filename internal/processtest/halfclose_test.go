package processtest

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"jasminegate/internal/standin/fleet"
	"jasminegate/internal/standin/target"
	"jasminegate/internal/state"
)

const (
	// halfCloseDelay is the time between a request and a late half-close.
	halfCloseDelay = 60 * time.Millisecond
	// cancelBound is the time within which the run of a caller that left is cut.
	cancelBound = 500 * time.Millisecond
	// abandonedRun is the service time of a call whose caller leaves.
	abandonedRun = 3 * time.Second
)

// checkComplete checks that the response is that of the target to this request.
func (r rawRequest) checkComplete(response rawResponse) error {
	if response.status != http.StatusOK {
		return fmt.Errorf("status %d: %s", response.status, response.body)
	}
	echo := target.Echo{ID: r.id, Method: r.method, URI: r.uri, BodyHash: xxhash.Sum64String(r.body), MinBodyBytes: 2000}
	return echo.Check(response.body)
}

// halfClosedRequest sends the request, closes the sending side after the delay and
// reads the response.
func halfClosedRequest(node *fleet.Node, request rawRequest, delay time.Duration) error {
	caller, err := dialCaller(node)
	if err != nil {
		return err
	}
	defer caller.conn.Close()
	if err := caller.send(request); err != nil {
		return err
	}
	time.Sleep(delay)
	if err := caller.conn.CloseWrite(); err != nil {
		return err
	}
	response, err := caller.receive(request.method)
	if err != nil {
		return err
	}
	return request.checkComplete(response)
}

// TestHalfClosedCallerGetsNoResponse sends requests from callers that close their
// sending side after the request and then read. Each must get the whole response.
func TestHalfClosedCallerGetsNoResponse(t *testing.T) {
	t.Parallel()
	h := startCallersHarness(t, nil)
	requests := map[string]struct {
		request rawRequest
		runs    []time.Duration
		// gate is the node beside the target of the request's route.
		gate *fleet.Node
	}{
		"read": {
			request: rawRequest{method: http.MethodGet, uri: "/riders/1"}, gate: h.Nodes[0],
			runs: []time.Duration{20 * time.Millisecond, 200 * time.Millisecond},
		},
		"idempotent with a body": {
			request: rawRequest{method: http.MethodPost, uri: "/riders/1", body: "a body of some bytes"}, gate: h.Nodes[0],
			runs: []time.Duration{20 * time.Millisecond, 200 * time.Millisecond},
		},
		"idempotent with chunks": {
			request: rawRequest{method: http.MethodPost, uri: "/riders/1", body: "a body of some bytes", chunked: true}, gate: h.Nodes[0],
			runs: []time.Duration{20 * time.Millisecond, 200 * time.Millisecond},
		},
		"order with a body": {
			request: rawRequest{method: http.MethodPost, uri: "/orders/1", body: "one order"}, gate: h.Nodes[1],
			runs: []time.Duration{600 * time.Millisecond},
		},
		"order with chunks": {
			request: rawRequest{method: http.MethodPost, uri: "/orders/1", body: "one order", chunked: true}, gate: h.Nodes[1],
			runs: []time.Duration{600 * time.Millisecond},
		},
	}
	for name, tc := range requests {
		for _, entry := range h.Nodes {
			place := "remote gate"
			if entry == tc.gate {
				place = "local gate"
			}
			for _, run := range tc.runs {
				for _, delay := range []time.Duration{0, halfCloseDelay} {
					t.Run(fmt.Sprintf("%s, %s, run of %v, half-close after %v", name, place, run, delay), func(t *testing.T) {
						t.Parallel()
						request := tc.request
						request.id = h.nextID("half")
						request.uri += fmt.Sprintf("?bytes=2000&service_ms=%d", run.Milliseconds())
						if err := halfClosedRequest(entry, request, delay); err != nil {
							t.Errorf("%v, ledger %+v", err, h.records()[request.id])
						}
					})
				}
			}
		}
	}
}

// TestWorkOfCallersThatLeftGoesOn lets callers leave during a long idempotent run:
// the run must be cut within cancelBound.
func TestWorkOfCallersThatLeftGoesOn(t *testing.T) {
	t.Parallel()
	h := startHarness(t, callersPlan())
	ticket := callersTicket(nil)
	ticket.Routes[0].Timeout = state.Duration(3 * abandonedRun)
	h.awaitInForce(h.Nodes[0], h.publish(h.Nodes[0], ticket))
	leaves := map[string]func(*rawCaller) error{
		"resets": func(c *rawCaller) error {
			if err := c.conn.SetLinger(0); err != nil {
				return err
			}
			return c.conn.Close()
		},
		"closes": func(c *rawCaller) error { return c.conn.Close() },
	}
	for name, leave := range leaves {
		for _, entry := range h.Nodes {
			place := "remote gate"
			if entry == h.Nodes[0] {
				place = "local gate"
			}
			t.Run("caller "+name+", "+place, func(t *testing.T) {
				for _, request := range []rawRequest{
					{method: http.MethodGet}, {method: http.MethodPost, body: "a body of some bytes"},
				} {
					request.id = h.nextID("left")
					request.uri = fmt.Sprintf("/riders/1?service_ms=%d", abandonedRun.Milliseconds())
					caller := h.dialCaller(entry)
					h.must(caller.send(request))
					h.await("the run to start", func() bool { return h.records()[request.id].Count > 0 })
					h.must(leave(caller))
					left := time.Now()
					h.await("the run to end", func() bool {
						record := h.records()[request.id]
						return record.Cancelled+record.Finished > 0
					})
					record := h.records()[request.id]
					if took := time.UnixMilli(record.EndedMS).Sub(left); took > cancelBound || record.Cancelled == 0 {
						t.Errorf("%s: the run ended %v after the caller left, bound %v: %+v", request.method, took, cancelBound, record)
					}
				}
			})
		}
	}
}
