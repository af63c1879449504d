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

const (
	mixGrace      = 6 * time.Second
	mixLeaveDelay = 2500 * time.Millisecond
	mixRouteLimit = 5 * time.Second
	// mixInterval is the time between two requests, and mixSignalEvery how many requests there are for
	// each further SIGHUP and SIGTERM.
	mixInterval    = 30 * time.Millisecond
	mixSignalEvery = 40
	// mixTolerance is how much earlier than its limit a request may end: the limit counts from its arrival,
	// and a node may give up some milliseconds before.
	mixTolerance = 150 * time.Millisecond
)

// mixedRequest is a request that is sent at a time after the signal to stop.
type mixedRequest struct {
	rawRequest
	at, runs, limit time.Duration
	// toOther says that it is sent to the node that does not stop.
	toOther bool
	// kept is a connection that was used before, nil for a new one.
	kept *rawCaller
}

// stopMix sends mixed requests to a node that stops, and to another one of its failure domain.
type stopMix struct {
	*harness
	stopping, other *fleet.Node
	random          *rand.Rand
	results         rawResults
}

func (s *stopMix) nodeOf(m mixedRequest) *fleet.Node {
	if m.toOther {
		return s.other
	}
	return s.stopping
}

// draw draws a request of 20 ms to 4.5 s. Its limit is the caller's own in half of the cases, and the route's
// otherwise. Those to the node that stops are short until callers had the time to leave, so that what it knows
// by then says nothing of those that last.
func (s *stopMix) draw(at time.Duration) mixedRequest {
	between := func(least, most time.Duration) time.Duration {
		return least + time.Duration(s.random.Int64N(int64(most-least)))
	}
	m := mixedRequest{at: at, runs: 20 * time.Millisecond, limit: mixRouteLimit, toOther: s.random.IntN(3) == 0}
	kept := s.random.IntN(2) == 0
	if s.random.IntN(4) == 0 && (m.toOther || at > mixLeaveDelay) {
		m.runs = between(200*time.Millisecond, 4500*time.Millisecond)
	}
	// A read that its gate breaks off is sent again, which is not what this test is about.
	m.rawRequest = s.stopRequest(m.toOther || s.random.IntN(2) == 0, m.runs)
	if s.random.IntN(2) == 0 {
		m.limit = between(600*time.Millisecond, mixRouteLimit)
		m.timeout = m.limit
	}
	if kept {
		m.kept = s.dialCaller(s.nodeOf(m))
		_, err := m.kept.roundTrip(s.stopRequest(true, 0))
		s.must(err)
	}
	return m
}

// send sends the request and checks that it is not broken off before its limit.
func (s *stopMix) send(m mixedRequest, stoppedAt time.Time) {
	caller := m.kept
	if caller == nil {
		var err error
		if caller, err = dialCaller(s.nodeOf(m)); err != nil {
			return // the node accepts no connections any more
		}
		defer caller.conn.Close()
	}
	sentAt := time.Now()
	response, err := caller.roundTrip(m.rawRequest)
	took, sent := time.Since(sentAt), sentAt.Sub(stoppedAt)
	if err != nil {
		s.checkNotRun(m.id, err)
		return
	}
	s.results.add(m.id, response, nil)
	promised := m.toOther || sent > mixLeaveDelay+mixTolerance
	if promised && response.status == http.StatusGatewayTimeout && took < m.limit-mixTolerance {
		s.t.Errorf("seed %d: %s %s (to the other node %v), sent %v after the signal with a limit of %v, was broken off after %v", *stopMixSeed, m.method, m.uri, m.toOther, sent, m.limit, took)
	}
}

// checkNotRun checks that a request whose connection ended without a response did not run.
func (s *stopMix) checkNotRun(id string, cause error) {
	if record := s.records()[id]; record.Count > 0 {
		s.t.Errorf("request %s ran and got no response: %v, ledger %+v", id, cause, record)
	}
}

// TestMixedRequestsThroughPlannedStop sends reads and orders of many durations and time limits to a node that
// stops, and orders to one beside it whose nearest gate stops. None that is sent after the leave delay, and no
// order of the other node, may be broken off before its time limit. Further signals change nothing.
func TestMixedRequestsThroughPlannedStop(t *testing.T) {
	t.Parallel()
	const recent = 30
	h, _ := startStopHarness(t, mixGrace, mixRouteLimit, func(plan *fleet.Plan) {
		if *stopMixNode != "" {
			plan.Node = *stopMixNode
		}
	})
	nodes := h.NodesInDomain(domains[0])
	s := &stopMix{harness: h, other: nodes[0], stopping: nodes[1], random: rand.New(rand.NewPCG(*stopMixSeed, 0))}
	for _, node := range nodes {
		caller := h.dialCaller(node)
		for i := range recent {
			_, err := caller.roundTrip(h.stopRequest(i%2 == 0, 20*time.Millisecond))
			h.must(err)
		}
	}
	var requests []mixedRequest
	for at := time.Duration(0); at < mixGrace-time.Second; at += mixInterval {
		requests = append(requests, s.draw(at))
	}
	var group sync.WaitGroup
	// An order keeps the gate, and so the node, open for callers.
	running, request := h.dialCaller(s.other), h.stopRequest(true, mixRouteLimit-300*time.Millisecond)
	group.Go(func() {
		response, err := running.roundTrip(request)
		s.results.add(request.id, response, err)
	})
	time.Sleep(100 * time.Millisecond) // it runs
	stoppedAt := time.Now()
	h.must(s.stopping.Process().SendTerminate())
	for _, m := range requests {
		time.Sleep(time.Until(stoppedAt.Add(m.at)))
		if s.random.IntN(mixSignalEvery) == 0 { // the process may have exited
			_ = s.stopping.Process().SendHangUp()
			_ = s.stopping.Process().SendTerminate()
		}
		group.Go(func() { s.send(m, stoppedAt) })
	}
	group.Wait()
	h.must(s.stopping.Process().Wait(h.ctx()))
	h.checkTruth(s.results.all)
}
