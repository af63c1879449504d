package processtest

import (
	"flag"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"jasminegate/internal/standin/fleet"
)

var (
	stopMixSeed = flag.Uint64("stopmix.seed", 1, "seed of TestMixedRequestsThroughPlannedStop")
	stopMixNode = flag.String("stopmix.node", "", "node program that TestMixedRequestsThroughPlannedStop tests instead of the built one")
)

// mixedRequest is a request that is sent at a time after the signal to stop.
type mixedRequest struct {
	rawRequest
	at, runs, limit time.Duration
	// toOther sends it to the node that does not stop, and kept over a connection that was used before.
	toOther, kept bool
}

// drawMixedRequest draws a request of 20 ms to 4.5 s. Its limit is the caller's own in half of the cases, and
// the route's otherwise. Those to the node that stops are short until callers had the time to leave, so that
// what it knows by then says nothing of those that last.
func (h *harness) drawMixedRequest(random *rand.Rand, at, leaveDelay, routeLimit time.Duration) mixedRequest {
	between := func(least, most time.Duration) time.Duration {
		return least + time.Duration(random.Int64N(int64(most-least)))
	}
	m := mixedRequest{at: at, runs: 20 * time.Millisecond, limit: routeLimit, toOther: random.IntN(3) == 0, kept: random.IntN(2) == 0}
	if random.IntN(4) == 0 && (m.toOther || at > leaveDelay) {
		m.runs = between(200*time.Millisecond, 4500*time.Millisecond)
	}
	// A read that its gate breaks off is sent again, which is not what this test is about.
	m.rawRequest = h.stopRequest(m.toOther || random.IntN(2) == 0, m.runs)
	if random.IntN(2) == 0 {
		m.limit = between(600*time.Millisecond, routeLimit)
		m.timeout = m.limit
	}
	return m
}

// TestMixedRequestsThroughPlannedStop sends reads and orders of many durations and time limits to a node that
// stops, and orders to one beside it whose nearest gate stops. None that is sent after the leave delay, and no
// order of the other node, may be broken off before its time limit. Further signals change nothing.
func TestMixedRequestsThroughPlannedStop(t *testing.T) {
	t.Parallel()
	const (
		grace      = 6 * time.Second
		leaveDelay = 2500 * time.Millisecond
		routeLimit = 5 * time.Second
		interval   = 30 * time.Millisecond
		recent     = 30
		// signalEvery is how many requests there are for each further SIGHUP and SIGTERM.
		signalEvery = 40
		// tolerance is how much earlier than its limit a request may end: the limit counts from its
		// arrival, and a node may give up some milliseconds before.
		tolerance = 150 * time.Millisecond
	)
	h, _ := startStopHarness(t, grace, routeLimit, func(plan *fleet.Plan) {
		if *stopMixNode != "" {
			plan.Node = *stopMixNode
		}
	})
	nodes := h.NodesInDomain(domains[0])
	other, stopping := nodes[0], nodes[1]
	for _, node := range nodes {
		caller := h.dialCaller(node)
		for i := range recent {
			_, err := caller.roundTrip(h.stopRequest(i%2 == 0, 20*time.Millisecond))
			h.must(err)
		}
	}
	random := rand.New(rand.NewPCG(*stopMixSeed, 0))
	var requests []mixedRequest
	callers := make(map[int]*rawCaller)
	for at := time.Duration(0); at < grace-time.Second; at += interval {
		m := h.drawMixedRequest(random, at, leaveDelay, routeLimit)
		if m.kept {
			node := stopping
			if m.toOther {
				node = other
			}
			callers[len(requests)] = h.dialCaller(node)
			_, err := callers[len(requests)].roundTrip(h.stopRequest(true, 0))
			h.must(err)
		}
		requests = append(requests, m)
	}
	var results rawResults
	var group sync.WaitGroup
	// An order keeps the gate, and so the node, open for callers.
	running, request := h.dialCaller(other), h.stopRequest(true, routeLimit-300*time.Millisecond)
	group.Go(func() {
		response, err := running.roundTrip(request)
		results.add(request.id, response, err)
	})
	time.Sleep(100 * time.Millisecond) // it runs
	stoppedAt := time.Now()
	h.must(stopping.Process().SendTerminate())
	for i, m := range requests {
		time.Sleep(time.Until(stoppedAt.Add(m.at)))
		if random.IntN(signalEvery) == 0 { // the process may have exited
			_ = stopping.Process().SendHangUp()
			_ = stopping.Process().SendTerminate()
		}
		group.Go(func() {
			caller := callers[i]
			if caller == nil {
				node := stopping
				if m.toOther {
					node = other
				}
				var err error
				if caller, err = dialCaller(node); err != nil {
					return // the node accepts no connections any more
				}
				defer caller.conn.Close()
			}
			sentAt := time.Now()
			response, err := caller.roundTrip(m.rawRequest)
			took, sent := time.Since(sentAt), sentAt.Sub(stoppedAt)
			if err != nil {
				h.checkNotRun(m.id, err)
				return
			}
			results.add(m.id, response, nil)
			judged := m.toOther || sent > leaveDelay+tolerance
			if judged && response.status == http.StatusGatewayTimeout && took < m.limit-tolerance {
				t.Errorf("seed %d: %s %s (to the other node %v), sent %v after the signal with a limit of %v, was broken off after %v", *stopMixSeed, m.method, m.uri, m.toOther, sent, m.limit, took)
			}
		})
	}
	group.Wait()
	h.must(stopping.Process().Wait(h.ctx()))
	h.checkTruth(results.all)
}

// checkNotRun checks that a request whose connection ended without a response did not run.
func (h *harness) checkNotRun(id string, cause error) {
	if record := h.records()[id]; record.Count > 0 {
		h.t.Errorf("request %s ran and got no response: %v, ledger %+v", id, cause, record)
	}
}
