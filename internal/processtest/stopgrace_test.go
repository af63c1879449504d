package processtest

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"jasminegate/internal/state"
)

// TestPlannedStopUsesItsGrace stops a node while calls run that take a part of the time which the
// platform leaves it. The node answers what it can in that time, and is gone before its end.
func TestPlannedStopUsesItsGrace(t *testing.T) {
	for _, grace := range []time.Duration{2 * time.Second, 6 * time.Second, 10 * time.Second} {
		t.Run(grace.String(), func(t *testing.T) {
			t.Parallel()
			plan := fleetPlan(2)
			plan.NodeArgs = []string{"-deployment.stop_grace", grace.String()}
			h := startHarness(t, plan)
			ticket := callersTicket(nil)
			for i := range ticket.Routes {
				ticket.Routes[i].Timeout = state.Duration(time.Minute)
			}
			h.awaitInForce(h.Nodes[0], h.publish(h.Nodes[0], ticket))
			node := h.NodesInDomain(domains[1])[0]

			// stopReserve is what a stop needs at its end, and margin covers a busy machine.
			const stopReserve, margin = 700 * time.Millisecond, 300 * time.Millisecond
			shares := []float64{0.2, 0.5, 1.5}
			if grace > 4*time.Second {
				shares = append(shares, 0.8)
			}
			var calls sync.WaitGroup
			for _, share := range shares {
				duration := time.Duration(share * float64(grace))
				caller := h.dialCaller(node)
				request := rawRequest{id: h.nextID("stop"), method: http.MethodPost, uri: fmt.Sprintf("/orders/1?service_ms=%d", duration.Milliseconds()), body: "one order"}
				h.must(caller.send(request))
				calls.Go(func() {
					response, err := caller.receive(request.method)
					if duration < grace-stopReserve-margin && (err != nil || response.status != http.StatusOK) {
						t.Errorf("a call of %v was not answered within a grace of %v: status %d, %v", duration, grace, response.status, err)
					}
				})
			}
			time.Sleep(100 * time.Millisecond) // the calls run
			stoppedAt := time.Now()
			h.must(node.Process().SendTerminate())
			h.must(node.Process().Wait(h.ctx()))
			took := time.Since(stoppedAt)
			t.Logf("the stop took %v of %v", took, grace)
			if took > grace {
				t.Errorf("the node was still there %v after the signal, grace %v", took, grace)
			}
			calls.Wait()
		})
	}
}
