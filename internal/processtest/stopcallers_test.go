package processtest

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"jasminegate/internal/standin/fleet"
)

const (
	stopLeaveDelay   = time.Second
	stopDrainTimeout = 5 * time.Second
	// Callers of each node that stops: busy ones send on and connect again, late ones
	// send their second request at about the end of the leave delay, and silent ones
	// send only one.
	busyCallers   = 20
	lateCallers   = 60
	silentCallers = 10
	// maxThinkTime is the longest time between two requests of a busy caller.
	maxThinkTime = 40 * time.Millisecond
	// lateSpread is how long before and after the end of the leave delay late callers
	// send. lastCallsTime is how long before it those send that must be answered.
	lateSpread    = 15 * time.Millisecond
	lastCallsTime = 4 * time.Millisecond
	// stopAfter is the time from the first requests to the planned stop.
	stopAfter = 500 * time.Millisecond
)

// stopResult is what a caller saw of one request to a node that stops.
type stopResult struct {
	rawResult
	sent time.Time
	// fresh says that it is the first request on its connection.
	fresh bool
}

// stopCallers collects what the callers of one node saw.
type stopCallers struct {
	h    *harness
	node *fleet.Node

	mu      sync.Mutex
	results []stopResult
	// closed holds, for connections that ended while idle, when their callers saw it,
	// and toldClosed counts those whose last response announced the end.
	closed     []time.Time
	toldClosed int
}

// roundTrip sends a request and records its result.
func (s *stopCallers) roundTrip(caller *rawCaller, i int, fresh bool) (rawResponse, error) {
	request := s.h.idleRequest(i)
	err := caller.send(request)
	result := stopResult{sent: time.Now(), fresh: fresh}
	if err == nil {
		result.response, err = caller.receive(request.method)
	}
	result.id, result.err = request.id, err
	s.mu.Lock()
	defer s.mu.Unlock()
	s.results = append(s.results, result)
	return result.response, err
}

// runBusy sends requests until the node accepts no connection.
func (s *stopCallers) runBusy(i int) {
	random := rand.New(rand.NewPCG(uint64(i), 30))
	for {
		caller, err := dialCaller(s.node)
		if err != nil {
			return
		}
		for fresh := true; ; fresh = false {
			response, err := s.roundTrip(caller, random.IntN(2), fresh)
			if err != nil || response.closes {
				break
			}
			time.Sleep(time.Duration(random.Int64N(int64(maxThinkTime))))
		}
		_ = caller.conn.Close()
	}
}

// runOnce sends a request and, at the given time, another one. If that time is zero,
// it waits for the end of the connection.
func (s *stopCallers) runOnce(i int, first func(), second func() time.Time) {
	caller, err := dialCaller(s.node)
	if err != nil {
		first()
		return
	}
	defer caller.conn.Close()
	response, err := s.roundTrip(caller, i, true)
	first()
	if err != nil {
		return
	}
	if at := second(); !at.IsZero() {
		time.Sleep(time.Until(at))
		_, _ = s.roundTrip(caller, i, false)
		return
	}
	_ = caller.awaitClose()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = append(s.closed, time.Now())
	if response.closes {
		s.toldClosed++
	}
}

// stopDomain stops the nodes of one failure domain as planned, while callers send on
// kept connections until the processes are gone. Late callers send at times between
// from and to, counted from the end of the leave delay. With suspend, the nodes get no
// processor time from shortly before until after that end. It returns what the callers
// saw and when the nodes got the signal.
func stopDomain(t *testing.T, from, to time.Duration, suspend bool) (*harness, []*stopCallers, time.Time) {
	t.Helper()
	plan := fleetPlan(4)
	for i := range plan.Nodes {
		plan.Nodes[i].Slots, plan.Nodes[i].Connections = rawSlots, rawSlots
	}
	plan.NodeArgs = []string{"-calls.leave_delay", stopLeaveDelay.String(), "-calls.drain_timeout", stopDrainTimeout.String()}
	h := startHarness(t, plan)
	h.awaitInForce(h.Nodes[0], h.publish(h.Nodes[0], callersTicket(nil)))
	var callers, ready sync.WaitGroup
	stopped := make(chan struct{})
	var stoppedAt time.Time // valid after stopped is closed
	var all []*stopCallers
	for _, node := range h.NodesInDomain(domains[1]) {
		s := &stopCallers{h: h, node: node}
		all = append(all, s)
		for i := range busyCallers {
			callers.Go(func() { s.runBusy(i) })
		}
		ready.Add(lateCallers + silentCallers)
		for i := range lateCallers {
			offset := from + time.Duration(i)*(to-from)/lateCallers
			callers.Go(func() {
				s.runOnce(i, ready.Done, func() time.Time { <-stopped; return stoppedAt.Add(stopLeaveDelay + offset) })
			})
		}
		for i := range silentCallers {
			callers.Go(func() { s.runOnce(i, ready.Done, func() time.Time { return time.Time{} }) })
		}
	}
	ready.Wait()
	time.Sleep(stopAfter)
	stoppedAt = time.Now()
	for _, s := range all {
		h.must(s.node.Process().SendTerminate())
	}
	close(stopped)
	if suspend {
		h.suspendDuring(all, stoppedAt.Add(stopLeaveDelay-2*lateSpread), stoppedAt.Add(stopLeaveDelay+2*lateSpread))
	}
	for _, s := range all {
		h.must(s.node.Process().Wait(h.ctx()))
	}
	callers.Wait()
	return h, all, stoppedAt
}

// suspendDuring suspends the nodes for the given time.
func (h *harness) suspendDuring(all []*stopCallers, from, to time.Time) {
	h.t.Helper()
	time.Sleep(time.Until(from))
	for _, s := range all {
		h.must(s.node.Process().Pause())
	}
	time.Sleep(time.Until(to))
	for _, s := range all {
		h.must(s.node.Process().Resume())
	}
}

// TestPlannedStopCutsOffKeptConnections stops nodes while callers send on kept
// connections. Every request that runs must be answered, and an idle connection must
// be kept during the leave delay.
func TestPlannedStopCutsOffKeptConnections(t *testing.T) {
	for name, suspend := range map[string]bool{"nodes run on": false, "nodes suspended at the end of the leave delay": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h, all, stoppedAt := stopDomain(t, -lateSpread, lateSpread, suspend)
			h.logStoppedCallers(all, stoppedAt)
			var results []rawResult
			for _, s := range all {
				for _, result := range s.results {
					results = append(results, result.rawResult)
				}
				for _, at := range s.closed {
					if after := at.Sub(stoppedAt); after < stopLeaveDelay {
						t.Errorf("an idle connection was closed %v after the stop, within the leave delay of %v", after, stopLeaveDelay)
					}
				}
			}
			h.checkRunsAnswered("callers of nodes that stop", results)
		})
	}
}

// TestPlannedStopIgnoresRequestsSentInLeaveDelay stops nodes while callers send on kept
// connections. Every request that was sent before the end of the leave delay must be
// answered.
func TestPlannedStopIgnoresRequestsSentInLeaveDelay(t *testing.T) {
	t.Parallel()
	h, all, stoppedAt := stopDomain(t, -lastCallsTime, 0, false)
	h.logStoppedCallers(all, stoppedAt)
	unanswered, earliest := 0, stopLeaveDelay
	for _, s := range all {
		for _, result := range s.results {
			if sent := result.sent.Sub(stoppedAt); result.err != nil && sent < stopLeaveDelay {
				unanswered++
				earliest = min(earliest, sent)
			}
		}
	}
	if unanswered > 0 {
		t.Errorf("%d requests sent within the leave delay got no response, the first one %v before its end", unanswered, stopLeaveDelay-earliest)
	}
}

// logStoppedCallers logs how many requests and connections had which end.
func (h *harness) logStoppedCallers(all []*stopCallers, stoppedAt time.Time) {
	h.t.Helper()
	delayEnd := stoppedAt.Add(stopLeaveDelay)
	sent, inDelay, told, refused, early, earlyFresh, late, lateFresh := 0, 0, 0, 0, 0, 0, 0, 0
	var closed []time.Duration
	toldClosed := 0
	for _, s := range all {
		sent += len(s.results)
		toldClosed += s.toldClosed
		for _, result := range s.results {
			before := result.sent.Before(delayEnd)
			if before && result.sent.After(stoppedAt) {
				inDelay++
			}
			switch {
			case result.err == nil && result.response.status != http.StatusOK:
				refused++
			case result.err == nil && result.response.closes:
				told++
			case result.err != nil && before && result.fresh:
				earlyFresh++
			case result.err != nil && before:
				early++
			case result.err != nil && result.fresh:
				lateFresh++
			case result.err != nil:
				late++
			}
		}
		for _, at := range s.closed {
			closed = append(closed, at.Sub(stoppedAt))
		}
	}
	h.t.Logf("%d requests, %d sent in the leave delay; %d answered with Connection: close, %d refused; unanswered, on kept and on new connections: %d and %d sent in the leave delay, %d and %d sent later",
		sent, inDelay, told, refused, early, earlyFresh, late, lateFresh)
	h.t.Logf("%d connections idle through the leave delay were closed, %v to %v after the stop; %d of them had been told so",
		len(closed), slices.Min(closed), slices.Max(closed), toldClosed)
}
