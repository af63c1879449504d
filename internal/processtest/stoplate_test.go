package processtest

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"jasminegate/internal/standin/fleet"
	"jasminegate/internal/state"
)

// startStopHarness starts a fleet with the grace and routes of the time limit, and returns the node to
// stop: its target serves the reads, and those of other nodes the orders. The changes apply to the plan.
func startStopHarness(t *testing.T, grace, limit time.Duration, changes ...func(*fleet.Plan)) (*harness, *fleet.Node) {
	t.Helper()
	plan := fleetPlan(2)
	for _, change := range changes {
		change(&plan)
	}
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

// TestPlannedStopTakesRequestsThatCannotEnd sends requests late in the grace of a node. Those that last, as
// its recent ones of the route did, for longer than the rest must be refused at once and not run; short ones
// of the other route must be served.
func TestPlannedStopTakesRequestsThatCannotEnd(t *testing.T) {
	const (
		grace = 4 * time.Second
		long  = 2500 * time.Millisecond
		// sentAfter is after the signal, when callers still come to the node.
		sentAfter    = 1500 * time.Millisecond
		refusedAfter = 500 * time.Millisecond
		recent       = 30
	)
	for _, longOrders := range []bool{true, false} {
		t.Run(fmt.Sprintf("orders are long %v", longOrders), func(t *testing.T) {
			t.Parallel()
			h, node := startStopHarness(t, grace, time.Minute)
			runs := func(order bool) time.Duration {
				if order == longOrders {
					return long
				}
				return 20 * time.Millisecond
			}
			var warmUp sync.WaitGroup
			for i := range 2 * recent {
				caller := h.dialCaller(node)
				warmUp.Go(func() { _, _ = caller.roundTrip(h.stopRequest(i%2 == 0, runs(i%2 == 0))) })
			}
			warmUp.Wait()
			kept := make([]*rawCaller, 8)
			for i := range kept {
				kept[i] = h.dialCaller(node)
				_, err := kept[i].roundTrip(h.stopRequest(!longOrders, 0))
				h.must(err)
			}
			stoppedAt := time.Now()
			h.must(node.Process().SendTerminate())
			time.Sleep(time.Until(stoppedAt.Add(sentAfter)))
			var results rawResults
			var callers sync.WaitGroup
			for i := range kept {
				caller := kept[i]
				if i%2 == 0 {
					caller = h.dialCaller(node)
				}
				order := i < len(kept)/2
				request := h.stopRequest(order, runs(order))
				callers.Go(func() {
					sentAt := time.Now()
					response, err := caller.roundTrip(request)
					results.add(request.id, response, err)
					if err != nil {
						return
					}
					want := http.StatusOK
					if order == longOrders {
						want = http.StatusServiceUnavailable
					}
					if response.status != want {
						t.Errorf("a request of %v got status %d, want %d", runs(order), response.status, want)
					}
					if took := time.Since(sentAt); order == longOrders && took > refusedAfter {
						t.Errorf("a request of %v was refused after %v", runs(order), took)
					}
				})
			}
			callers.Wait()
			h.must(node.Process().Wait(h.ctx()))
			h.checkTruth(results.all)
		})
	}
}

// TestPlannedStopCutsOffRequestsSentLate sends requests that last when callers had the time to leave, on
// routes whose recent requests mostly or all would have ended in time. Each must be refused at once and not
// run: one that is taken is broken off at the end of the grace. So must one be whose head came in time and
// whose body comes late.
func TestPlannedStopCutsOffRequestsSentLate(t *testing.T) {
	const (
		grace = 4 * time.Second
		long  = 2500 * time.Millisecond
		short = 20 * time.Millisecond
		// sentAfter is after the signal and the leave delay, with about 1.2 s left.
		sentAfter    = 2200 * time.Millisecond
		refusedAfter = 500 * time.Millisecond
		recent       = 30
	)
	for name, row := range map[string]struct {
		order bool
		// longest is the time of one in ten recent requests.
		longest time.Duration
		// lateBody says that the head of the request is sent before the stop.
		lateBody bool
	}{
		"read that may last":         {false, long, false},
		"order that is just in time": {true, 900 * time.Millisecond, false},
		"read after short ones":      {false, short, false},
		"order after short ones":     {true, short, false},
		"order with a late body":     {true, short, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h, node := startStopHarness(t, grace, time.Minute)
			var warmUp sync.WaitGroup
			for i := range recent {
				caller, runs := h.dialCaller(node), short
				if i%(recent/2) == 0 {
					runs = row.longest
				}
				warmUp.Go(func() { _, _ = caller.roundTrip(h.stopRequest(row.order, runs)) })
			}
			warmUp.Wait()
			// A running request keeps the node open for callers.
			var results rawResults
			var callers sync.WaitGroup
			running, request := h.dialCaller(node), h.stopRequest(false, grace-time.Second)
			callers.Go(func() {
				response, err := running.roundTrip(request)
				results.add(request.id, response, err)
			})
			time.Sleep(200 * time.Millisecond) // it runs
			late := make([]*rawCaller, 6)
			requests := make([]rawRequest, len(late))
			for i := range late {
				late[i], requests[i] = h.dialCaller(node), h.stopRequest(row.order, long)
				if row.lateBody {
					h.must(late[i].write(requests[i].head()))
				}
			}
			stoppedAt := time.Now()
			h.must(node.Process().SendTerminate())
			time.Sleep(time.Until(stoppedAt.Add(sentAfter)))
			for i, caller := range late {
				request, rest := requests[i], requests[i].text()
				if row.lateBody {
					rest = strings.TrimPrefix(rest, request.head())
				}
				callers.Go(func() {
					sentAt := time.Now()
					h.must(caller.write(rest))
					response, err := caller.receive(request.method)
					results.add(request.id, response, err)
					if err == nil && response.status != http.StatusServiceUnavailable {
						t.Errorf("a request of %v got status %d after %v", long, response.status, time.Since(sentAt))
					}
					if took := time.Since(sentAt); took > refusedAfter {
						t.Errorf("a request of %v was refused after %v", long, took)
					}
				})
			}
			callers.Wait()
			h.must(node.Process().Wait(h.ctx()))
			h.checkTruth(results.all)
		})
	}
}

// TestPlannedStopRefusesLateRequestsThatEnd sends requests when callers had the time to leave, whose time limit
// lies before the end of the grace. Each must be served, also by a node that knows no recent ones.
func TestPlannedStopRefusesLateRequestsThatEnd(t *testing.T) {
	t.Parallel()
	const (
		grace     = 4 * time.Second
		limit     = 800 * time.Millisecond
		sentAfter = 2200 * time.Millisecond
		runs      = 300 * time.Millisecond
	)
	h, node := startStopHarness(t, grace, limit)
	stoppedAt := time.Now()
	h.must(node.Process().SendTerminate())
	// Running requests keep the node open for callers.
	var results rawResults
	var callers sync.WaitGroup
	send := func(order bool) {
		caller, request := h.dialCaller(node), h.stopRequest(order, runs)
		callers.Go(func() {
			response, err := caller.roundTrip(request)
			results.add(request.id, response, err)
			if err == nil && response.status != http.StatusOK {
				t.Errorf("a request of %v got status %d", runs, response.status)
			}
		})
	}
	for time.Since(stoppedAt) < sentAfter {
		send(false)
		time.Sleep(runs / 3)
	}
	for i := range 8 {
		send(i%2 == 0)
	}
	callers.Wait()
	h.must(node.Process().Wait(h.ctx()))
	h.checkTruth(results.all)
}

// TestPlannedStopCutsOffCallsOfOtherNodes stops a gate while callers of a node that does not stop send requests
// which outlast it, on routes whose recent requests were short. Another gate can take them, so each must be served.
func TestPlannedStopCutsOffCallsOfOtherNodes(t *testing.T) {
	const (
		grace     = 4 * time.Second
		long      = 3500 * time.Millisecond
		short     = 20 * time.Millisecond
		sentAfter = 800 * time.Millisecond
		recent    = 30
	)
	for _, order := range []bool{true, false} {
		t.Run(fmt.Sprintf("order %v", order), func(t *testing.T) {
			t.Parallel()
			h, _ := startStopHarness(t, grace, time.Minute)
			nodes := h.NodesInDomain(domains[0])
			entry, stopping := nodes[0], nodes[1] // the nearest gate of orders
			if !order {
				entry, stopping = nodes[1], nodes[0]
			}
			kept := h.dialCaller(entry)
			for range recent {
				_, err := kept.roundTrip(h.stopRequest(order, short))
				h.must(err)
			}
			stoppedAt := time.Now()
			h.must(stopping.Process().SendTerminate())
			time.Sleep(time.Until(stoppedAt.Add(sentAfter)))
			var results rawResults
			var callers sync.WaitGroup
			for range 8 {
				caller, request := h.dialCaller(entry), h.stopRequest(order, long)
				callers.Go(func() {
					response, err := caller.roundTrip(request)
					results.add(request.id, response, err)
					if err == nil && response.status != http.StatusOK {
						t.Errorf("a request of %v got status %d", long, response.status)
					}
				})
			}
			callers.Wait()
			h.must(stopping.Process().Wait(h.ctx()))
			h.checkTruth(results.all)
		})
	}
}

// TestPlannedStopRefusesCallsOfRunningRequests stops a node while requests run at its target. Until they have
// ended, a call that they make through the node must be served, on a kept connection and on a new one. One that
// names no running request may last as long, and must be refused.
func TestPlannedStopRefusesCallsOfRunningRequests(t *testing.T) {
	t.Parallel()
	const (
		grace = 6 * time.Second
		runs  = 4500 * time.Millisecond
		// calledAfter is after the signal, when other callers have left.
		calledAfter = 3200 * time.Millisecond
	)
	h, node := startStopHarness(t, grace, 5*time.Second)
	var results rawResults
	var callers sync.WaitGroup
	for range 4 {
		caller, request := h.dialCaller(node), h.stopRequest(false, runs)
		callers.Go(func() {
			response, err := caller.roundTrip(request)
			results.add(request.id, response, err)
			if response.status != http.StatusOK {
				t.Errorf("a request that runs for %v got status %d, error %v", runs, response.status, err)
			}
		})
	}
	kept, err := dialFromTarget(node)
	h.must(err)
	for range 20 { // so that the node knows how long such calls take
		_, err := kept.roundTrip(h.stopRequest(true, 20*time.Millisecond))
		h.must(err)
	}
	stoppedAt := time.Now()
	h.must(node.Process().SendTerminate())
	time.Sleep(time.Until(stoppedAt.Add(calledAfter)))
	parent := h.runningCall(node)
	stranger := h.stopRequest(true, 20*time.Millisecond)
	response, err := h.dialCaller(node).roundTrip(stranger)
	results.add(stranger.id, response, err)
	if err != nil || response.status != http.StatusServiceUnavailable {
		t.Errorf("a call that no running request made got status %d, error %v", response.status, err)
	}
	for _, fresh := range []bool{false, true} {
		caller := kept
		if fresh {
			if caller, err = dialFromTarget(node); err != nil {
				t.Errorf("a call over a new connection was refused: %v", err)
				continue
			}
		}
		request := h.stopRequest(true, 20*time.Millisecond)
		request.id, request.parent = h.nextID("nested"), parent
		response, err := caller.roundTrip(request)
		results.add(request.id, response, err)
		if err != nil || response.status != http.StatusOK {
			t.Errorf("a call over a new connection %v got status %d, error %v", fresh, response.status, err)
		}
	}
	callers.Wait()
	h.must(node.Process().Wait(h.ctx()))
	if took := time.Since(stoppedAt); took > grace {
		t.Errorf("the node was still there %v after the signal, grace %v", took, grace)
	}
	h.checkTruth(results.all)
}

// dialFromTarget dials the node from the address of its target, as requests that run there do.
func dialFromTarget(node *fleet.Node) (*rawCaller, error) {
	host, _, err := net.SplitHostPort(node.TargetAddress)
	if err != nil {
		return nil, err
	}
	dialer := net.Dialer{Timeout: stepTimeout, LocalAddr: &net.TCPAddr{IP: net.ParseIP(host)}}
	conn, err := dialer.Dial("tcp", node.CallersAddress)
	if err != nil {
		return nil, err
	}
	return newRawCaller(conn), nil
}

// runningCall returns the ID of a call that runs at the node's target.
func (h *harness) runningCall(node *fleet.Node) string {
	h.t.Helper()
	ledger, err := node.Ledger(h.ctx())
	h.must(err)
	for _, record := range ledger.Calls {
		if record.Finished+record.Cancelled < record.Count {
			return record.ID
		}
	}
	h.t.Fatal("no call runs at the target")
	return ""
}
