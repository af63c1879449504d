package processtest

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"jasminegate/internal/standin/fleet"
	"jasminegate/internal/state"
)

// startStopHarness starts a fleet with the grace and routes of the time limit, and returns the node to
// stop: its target serves the reads, and those of other nodes the orders.
func startStopHarness(t *testing.T, grace, limit time.Duration) (*harness, *fleet.Node) {
	t.Helper()
	plan := fleetPlan(2)
	for i := range plan.Nodes {
		plan.Nodes[i].Slots, plan.Nodes[i].Connections = rawSlots, rawSlots
	}
	plan.NodeArgs = []string{"-deployment.stop_grace", grace.String()}
	h := startHarness(t, plan)
	ticket := callersTicket(nil)
	for i := range ticket.Routes {
		ticket.Routes[i].Timeout = state.Duration(limit)
	}
	h.awaitInForce(h.Nodes[0], h.publish(h.Nodes[0], ticket))
	return h, h.NodesInDomain(domains[1])[0]
}

// stopRequest returns a read or an order that runs for the time.
func (h *harness) stopRequest(order bool, runs time.Duration) rawRequest {
	if order {
		return rawRequest{id: h.nextID("stop"), method: http.MethodPost, uri: fmt.Sprintf("/orders/1?service_ms=%d", runs.Milliseconds()), body: "one order"}
	}
	return rawRequest{id: h.nextID("stop"), method: http.MethodGet, uri: fmt.Sprintf("/riders/1?service_ms=%d", runs.Milliseconds())}
}

// checkTruth checks that every request got a complete response, and that none that is said not to have run
// did.
func (h *harness) checkTruth(results []rawResult) {
	h.t.Helper()
	records := h.settledRecords()
	statuses := make(map[int]int)
	for _, result := range results {
		if result.err != nil {
			h.t.Errorf("request %s got no response: %v, ledger %+v", result.id, result.err, records[result.id])
			continue
		}
		statuses[result.response.status]++
		switch record := records[result.id]; result.response.status {
		case http.StatusOK, http.StatusGatewayTimeout:
		case http.StatusServiceUnavailable:
			if record.Count > 0 {
				h.t.Errorf("request %s is said not to have run, ledger %+v", result.id, record)
			}
			if result.response.header.Get("Retry-After") == "" {
				h.t.Errorf("request %s was refused without a time after which to retry", result.id)
			}
		default:
			h.t.Errorf("request %s got status %d", result.id, result.response.status)
		}
	}
	h.t.Logf("statuses: %v", statuses)
}

// TestPlannedStopClosesWithoutResponse stops a node while requests are under way that last longer than its
// grace. Each must get a response that says what became of it, and the node must be gone in time.
func TestPlannedStopClosesWithoutResponse(t *testing.T) {
	for _, grace := range []time.Duration{time.Second, 2 * time.Second, 6 * time.Second} {
		t.Run(grace.String(), func(t *testing.T) {
			t.Parallel()
			h, node := startStopHarness(t, grace, time.Minute)
			var results rawResults
			var callers sync.WaitGroup
			receive := func(caller *rawCaller, requests ...rawRequest) {
				callers.Go(func() {
					for _, request := range requests {
						response, err := caller.receive(request.method)
						results.add(request.id, response, err)
					}
				})
			}
			for i := range 8 {
				kept := h.dialCaller(node)
				_, err := kept.roundTrip(h.stopRequest(i%2 == 0, 0))
				h.must(err)
				running := h.stopRequest(i%2 == 0, 2*grace)
				h.must(kept.send(running))
				receive(kept, running)
			}
			pipelined := h.dialCaller(node)
			first, second := h.stopRequest(false, 2*grace), h.stopRequest(false, 2*grace)
			h.must(pipelined.send(first))
			h.must(pipelined.send(second))
			receive(pipelined, first, second)
			sending := h.dialCaller(node)
			upload := h.stopRequest(true, 0)
			upload.body = strings.Repeat("x", 1000)
			text := upload.text()
			_, err := io.WriteString(sending.conn, text[:len(text)-500])
			h.must(err)
			receive(sending, upload)

			time.Sleep(200 * time.Millisecond) // the requests run
			stoppedAt := time.Now()
			h.must(node.Process().SendTerminate())
			for i := range 4 {
				late := h.dialCaller(node)
				request := h.stopRequest(i%2 == 0, 2*grace)
				h.must(late.send(request))
				receive(late, request)
			}
			h.must(node.Process().Wait(h.ctx()))
			if took := time.Since(stoppedAt); took > grace {
				t.Errorf("the node was still there %v after the signal, grace %v", took, grace)
			}
			callers.Wait()
			h.checkTruth(results.all)
		})
	}
}
