package processtest

import (
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"jasminegate/internal/standin/fleet"
	"jasminegate/internal/state"
)

const (
	idleHeaderTimeout = 400 * time.Millisecond
	idleIdleTimeout   = 100 * time.Millisecond
	// idleCallers is the number of kept connections.
	idleCallers = 100
	idleRounds  = 8
	// idleSpread is how long before and after the expected close the requests of a
	// round are sent.
	idleSpread = 2 * time.Millisecond
	// firstAimStep and lastAimStep bound the steps of a closeAim.
	firstAimStep = 4 * time.Millisecond
	lastAimStep  = 500 * time.Microsecond
	// idlePause is the least time for which a node gets no processor time.
	idlePause = 60 * time.Millisecond
)

func shortCallerLimits() *state.CallerLimits {
	return &state.CallerLimits{HeaderTimeout: state.Duration(idleHeaderTimeout), IdleTimeout: state.Duration(idleIdleTimeout)}
}

// idleRequest returns the i-th request: reads whose gate is the first node, orders
// whose gate is the second one, in turn.
func (h *harness) idleRequest(i int) rawRequest {
	if i%2 == 0 {
		return rawRequest{id: h.nextID("idle-read"), method: http.MethodGet, uri: "/riders/1?service_ms=20"}
	}
	return rawRequest{id: h.nextID("idle-order"), method: http.MethodPost, uri: "/orders/1?service_ms=20", body: "one order"}
}

// keptCaller is a raw caller with a connection that is idle since its last response.
type keptCaller struct {
	*rawCaller
	idleSince time.Time
}

// keepCallers opens connections to the node and sends one request on each, all at
// the same time. A connection that the node closes is opened again; results gets each
// first request.
func (h *harness) keepCallers(results *rawResults, node *fleet.Node, count int) []*keptCaller {
	h.t.Helper()
	callers := make([]*keptCaller, count)
	h.forEach(count, func(i int) {
		deadline := time.Now().Add(stepTimeout)
		for callers[i] == nil && time.Now().Before(deadline) {
			caller, err := dialCaller(node)
			if err != nil {
				continue
			}
			request := rawRequest{id: h.nextID("first"), method: http.MethodGet, uri: "/riders/1"}
			response, err := caller.roundTrip(request)
			results.add(request.id, response, err)
			if err == nil && response.status == http.StatusOK {
				callers[i] = &keptCaller{rawCaller: caller, idleSince: response.at}
				continue
			}
			_ = caller.conn.Close()
		}
	})
	for _, caller := range callers {
		if caller == nil {
			h.t.Fatal("no kept connection within the time for a step")
		}
		h.t.Cleanup(func() { _ = caller.conn.Close() })
	}
	return callers
}

// forEach runs f for each number below count at the same time.
func (h *harness) forEach(count int, f func(i int)) {
	var group sync.WaitGroup
	for i := range count {
		group.Go(func() { f(i) })
	}
	group.Wait()
}

// awaitIdleClose returns the time after which the node closes an idle connection,
// the median of several, as their callers see it.
func (h *harness) awaitIdleClose(node *fleet.Node) time.Duration {
	h.t.Helper()
	callers := h.keepCallers(&rawResults{}, node, 9)
	idle := make([]time.Duration, len(callers))
	errs := make([]error, len(callers))
	h.forEach(len(callers), func(i int) {
		errs[i] = callers[i].awaitClose()
		idle[i] = time.Since(callers[i].idleSince)
	})
	for _, err := range errs {
		h.must(err)
	}
	slices.Sort(idle)
	return idle[len(idle)/2]
}

// sendAround sends a request on each connection within spread of the time idle after
// the connection's last response. It returns how many were answered.
func (h *harness) sendAround(results *rawResults, callers []*keptCaller, idle, spread time.Duration) int {
	var answered atomic.Int64
	h.forEach(len(callers), func(i int) {
		request := h.idleRequest(i)
		offset := time.Duration(i)*2*spread/time.Duration(len(callers)) - spread
		time.Sleep(time.Until(callers[i].idleSince.Add(idle + offset)))
		response, err := callers[i].roundTrip(request)
		results.add(request.id, response, err)
		_ = callers[i].conn.Close()
		if err == nil {
			answered.Add(1)
		}
	})
	return int(answered.Load())
}

// closeAim approaches the time idle at which half of the requests come before the
// close of their connection. Callers that share the processors with many others send
// later than they mean to.
type closeAim struct {
	idle, step time.Duration
	// late says that in the last round most requests came after the close.
	late bool
}

func (a *closeAim) adjust(answered, sent int) {
	late := answered < sent/2
	if late != a.late {
		a.step = max(a.step/2, lastAimStep)
	}
	a.late = late
	if late {
		a.idle -= a.step
		return
	}
	a.idle += a.step
}

// TestIdleCloseCutsOffRunningCall sends requests on kept connections at the time at
// which the node closes idle connections. A request that runs must be answered; one
// that crosses the close may get no response only if it never ran.
func TestIdleCloseCutsOffRunningCall(t *testing.T) {
	t.Parallel()
	h := startCallersHarness(t, shortCallerLimits())
	node := h.Nodes[0]
	idle := h.awaitIdleClose(node)
	if limit := idleHeaderTimeout + idleIdleTimeout; idle < idleIdleTimeout || idle > limit+time.Second {
		t.Errorf("idle connections were closed after %v at a limit of %v", idle, limit)
	}
	var results rawResults
	aim := closeAim{idle: idle, step: firstAimStep}
	for range idleRounds {
		callers := h.keepCallers(&results, node, idleCallers)
		aim.adjust(h.sendAround(&results, callers, aim.idle, idleSpread), idleCallers)
	}
	h.checkRunsAnswered("requests at the idle limit", results.all)
}

// TestIdleCloseOfNodeWithoutProcessorTime suspends the node shortly before its idle
// limit and sends the requests meanwhile, so that the limit has passed and the bytes
// are there when the node runs again. A request that runs must be answered.
func TestIdleCloseOfNodeWithoutProcessorTime(t *testing.T) {
	t.Parallel()
	h := startCallersHarness(t, shortCallerLimits())
	node := h.Nodes[0]
	idle := h.awaitIdleClose(node)
	var results rawResults
	for range idleRounds {
		h.sendWhilePaused(&results, node, h.keepCallers(&results, node, idleCallers), idle)
	}
	h.checkRunsAnswered("requests that waited for the node", results.all)
}

// sendWhilePaused suspends the node from shortly before until after the time idle
// and sends a request on each of the kept connections meanwhile.
func (h *harness) sendWhilePaused(results *rawResults, node *fleet.Node, callers []*keptCaller, idle time.Duration) {
	h.t.Helper()
	const margin = 10 * time.Millisecond
	first, last := callers[0].idleSince, callers[0].idleSince
	for _, caller := range callers {
		if caller.idleSince.Before(first) {
			first = caller.idleSince
		}
		if caller.idleSince.After(last) {
			last = caller.idleSince
		}
	}
	time.Sleep(time.Until(first.Add(idle - margin)))
	h.must(node.Process().Pause())
	paused := time.Now()
	requests := make([]rawRequest, len(callers))
	errs := make([]error, len(callers))
	for i, caller := range callers {
		requests[i] = h.idleRequest(i)
		errs[i] = caller.send(requests[i])
	}
	time.Sleep(max(time.Until(paused.Add(idlePause)), time.Until(last.Add(idle+margin))))
	h.must(node.Process().Resume())
	h.forEach(len(callers), func(i int) {
		response, err := rawResponse{}, errs[i]
		if err == nil {
			response, err = callers[i].receive(requests[i].method)
		}
		results.add(requests[i].id, response, err)
		_ = callers[i].conn.Close()
	})
}

const (
	// Idle limits before and after a ticket that changes them while connections are
	// idle. The header timeout stays changedHeaderTimeout.
	beforeRaise          = 2 * time.Second
	afterRaise           = 30 * time.Second
	beforeLower          = 800 * time.Millisecond
	afterLower           = 100 * time.Millisecond
	changedHeaderTimeout = 400 * time.Millisecond
	lowerRounds          = 3
)

// applyIdleLimit publishes the idle limit and waits until the node applies it.
func (h *harness) applyIdleLimit(node *fleet.Node, idle time.Duration) {
	h.t.Helper()
	limits := &state.CallerLimits{HeaderTimeout: state.Duration(changedHeaderTimeout), IdleTimeout: state.Duration(idle)}
	h.awaitApplied(h.publish(node, callersTicket(limits)), node)
}

// TestRaisedIdleLimitClosesConnections raises the idle limit while connections are
// idle. They must be kept until the new limit.
func TestRaisedIdleLimitClosesConnections(t *testing.T) {
	t.Parallel()
	h := startHarness(t, callersPlan())
	node := h.Nodes[0]
	h.applyIdleLimit(node, beforeRaise)
	var results rawResults
	callers := h.keepCallers(&results, node, 20)
	h.applyIdleLimit(node, afterRaise)
	for _, caller := range callers {
		if idle := time.Since(caller.idleSince); idle > beforeRaise {
			t.Fatalf("the ticket was applied only after %v, when connections may have been closed", idle)
		}
	}
	oldClose := beforeRaise + changedHeaderTimeout
	if answered := h.sendAround(&results, callers, oldClose+500*time.Millisecond, 100*time.Millisecond); answered < len(callers) {
		t.Errorf("%d of %d connections that were idle for 3 s at most, at a raised limit of %v, were closed",
			len(callers)-answered, len(callers), afterRaise)
	}
	h.checkRunsAnswered("requests after the limit was raised", results.all)
}

// TestLoweredIdleLimitCutsOffRunningCall lowers the idle limit while connections are
// idle. Half of the requests are sent over the time until the old limit, the others
// while the node is suspended at the old limit. A request that runs must be answered.
func TestLoweredIdleLimitCutsOffRunningCall(t *testing.T) {
	t.Parallel()
	h := startHarness(t, callersPlan())
	node := h.Nodes[0]
	h.applyIdleLimit(node, beforeLower)
	idle := h.awaitIdleClose(node)
	var results rawResults
	for range lowerRounds {
		h.applyIdleLimit(node, beforeLower)
		callers := h.keepCallers(&results, node, 2*idleCallers)
		var group sync.WaitGroup
		group.Go(func() { h.sendAround(&results, callers[:idleCallers], idle/2, idle/2) })
		h.applyIdleLimit(node, afterLower)
		h.sendWhilePaused(&results, node, callers[idleCallers:], idle)
		group.Wait()
	}
	h.checkRunsAnswered("requests after the limit was lowered", results.all)
}
