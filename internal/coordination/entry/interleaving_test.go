package entry_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"jasminegate/internal/coordination/call"
	"jasminegate/internal/coordination/entry"
	"jasminegate/internal/coordination/gate"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const (
	retryRatio     = 0.1
	startTokens    = 10 // maxRetryTokens: a budget starts full
	slots          = 3
	silenceTimeout = 500 * time.Millisecond
)

// task is a function that runs at a time of the virtual clock.
type task struct {
	at    time.Time
	order int
	do    func()
}

type taskHeap []task

func (h taskHeap) Len() int      { return len(h) }
func (h taskHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h taskHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].order < h[j].order
	}
	return h[i].at.Before(h[j].at)
}
func (h *taskHeap) Push(x any) { *h = append(*h, x.(task)) }
func (h *taskHeap) Pop() any {
	last := len(*h) - 1
	item := (*h)[last]
	*h = (*h)[:last]
	return item
}

// faults holds the probability of each fault in percent.
type faults struct{ requestLost, delayed, responseLost, dialRefused, targetFails, notSent, restart, pause int }

// simulatedRequest is one request with its runs at targets and its outcome.
type simulatedRequest struct {
	handle     uint64
	entry      int
	idempotent bool
	runs       int
	ended      bool
	outcome    call.Outcome
	current    call.ID
}

// node is a gate with its target.
type node struct {
	simulation  *simulation
	id          string
	incarnation uint64
	machine     *gate.Machine
	running     int
	draining    bool
	// responders maps each call to the function that delivers its outcome to the entry.
	responders  map[call.ID]func(outcome call.Outcome)
	requests    map[call.ID]*simulatedRequest
	done        map[call.ID]bool
	pausedUntil time.Time
}

// simulation connects entries and gates by a network with faults.
type simulation struct {
	t        *rapid.T
	random   *rand.Rand
	now      time.Time
	tasks    taskHeap
	order    int
	faults   faults
	entries  []*entry.Machine
	nodes    []*node
	requests map[uint64]*simulatedRequest
	begun    []int
}

func (s *simulation) after(d time.Duration, do func()) {
	s.order++
	heap.Push(&s.tasks, task{s.now.Add(d), s.order, do})
}

func (s *simulation) chance(percent int) bool { return s.random.IntN(100) < percent }

func (s *simulation) delay() time.Duration {
	if s.chance(s.faults.delayed) {
		return time.Duration(s.random.IntN(3000)) * time.Millisecond
	}
	return time.Duration(s.random.IntN(3000)) * time.Microsecond
}

func (s *simulation) run() {
	for s.tasks.Len() > 0 {
		next := heap.Pop(&s.tasks).(task)
		s.now = next.at
		next.do()
	}
}

func newSimulation(t *rapid.T, seed uint64, entries, nodes int, f faults) *simulation {
	s := &simulation{t: t, random: rand.New(rand.NewPCG(seed, 1)), now: epoch, faults: f, requests: make(map[uint64]*simulatedRequest), begun: make([]int, entries)}
	for i := range entries {
		s.entries = append(s.entries, entry.New(entry.Options{Node: fmt.Sprint("entry", i), Incarnation: 1, Domain: "a", RetryRatio: retryRatio, SpillLoad: 1, Seed: seed + uint64(i)}))
	}
	for i := range nodes {
		n := &node{simulation: s, id: fmt.Sprint("gate", i)}
		n.restart()
		s.nodes = append(s.nodes, n)
	}
	s.announce()
	return s
}

func (s *simulation) announce() {
	var endpoints []entry.Endpoint
	for _, n := range s.nodes {
		endpoints = append(endpoints, entry.Endpoint{ID: n.id, Incarnation: n.incarnation, Service: "depot", Domain: "a", Slots: slots})
	}
	for _, e := range s.entries {
		e.Step(s.now, entry.SetEndpoints{Endpoints: endpoints})
	}
}

// restart replaces the gate process; its running calls lose their connections.
func (n *node) restart() {
	n.incarnation++
	n.machine = gate.New(gate.Options{Incarnation: n.incarnation, MaxRecords: 200, MaxRetainedBytes: 4000, Retention: time.Minute})
	n.responders = make(map[call.ID]func(call.Outcome))
	n.requests = make(map[call.ID]*simulatedRequest)
	n.done = make(map[call.ID]bool)
	n.running = 0
	n.draining = false
	n.step(gate.SetTarget{Slots: slots, QueueLength: 10, QueueTimeout: 50 * time.Millisecond, Ready: true})
}

// deliver runs the function when the node is not paused.
func (n *node) deliver(do func()) {
	if n.simulation.now.Before(n.pausedUntil) {
		n.simulation.after(n.pausedUntil.Sub(n.simulation.now), do)
		return
	}
	do()
}

func (n *node) step(event gate.Event) {
	for _, action := range n.machine.Step(n.simulation.now, event) {
		switch a := action.(type) {
		case gate.Start:
			n.start(a.ID)
		case gate.Refuse:
			n.respond(a.ID, a.Outcome)
		case gate.Cancel:
		case gate.Resolved:
			n.resolved(a)
		}
	}
	if at, ok := n.machine.NextWake(); ok {
		incarnation := n.incarnation
		n.simulation.after(at.Sub(n.simulation.now)+time.Millisecond, func() {
			if n.incarnation == incarnation {
				n.step(gate.Tick{})
			}
		})
	}
}

func (n *node) start(id call.ID) {
	s := n.simulation
	n.running++
	if n.running > slots {
		s.t.Fatalf("%s runs %d calls in %d slots", n.id, n.running, slots)
	}
	if n.draining {
		s.t.Fatalf("%s started %v after its drain", n.id, id)
	}
	incarnation := n.incarnation
	if s.chance(s.faults.notSent) {
		s.after(time.Millisecond, func() { n.finish(incarnation, id, gate.NotSent) })
		return
	}
	n.requests[id].runs++
	result := gate.Completed
	if s.chance(s.faults.targetFails) {
		result = gate.Failed
	}
	s.after(time.Duration(1+s.random.IntN(30))*time.Millisecond, func() { n.finish(incarnation, id, result) })
}

func (n *node) finish(incarnation uint64, id call.ID, result gate.Result) {
	if n.incarnation != incarnation {
		return
	}
	n.running--
	n.done[id] = result == gate.Completed
	n.step(gate.Finished{ID: id, Result: result, RetainedBytes: 100})
	switch result {
	case gate.Completed:
		n.respond(id, call.Answered)
	case gate.NotSent:
		n.respond(id, call.NotRun)
	default:
		n.respond(id, call.Unknown)
	}
}

func (n *node) respond(id call.ID, outcome call.Outcome) {
	if deliver := n.responders[id]; deliver != nil {
		delete(n.responders, id)
		deliver(outcome)
	}
}

func (n *node) resolved(a gate.Resolved) {
	outcome := a.Outcome
	if outcome == call.Running {
		return
	}
	if outcome == call.Done {
		outcome = call.Unknown
		if n.done[a.ID] {
			outcome = call.Answered
		}
	}
	n.respond(a.ID, outcome)
}

// begin starts a request at an entry.
func (s *simulation) begin(handle uint64, at int, idempotent bool) {
	s.requests[handle] = &simulatedRequest{handle: handle, entry: at, idempotent: idempotent}
	s.begun[at]++
	s.stepEntry(handle, entry.Begin{Handle: handle, Service: "depot", Idempotent: idempotent, Deadline: s.now.Add(2 * time.Second), MaxAttempts: 3})
}

func (s *simulation) stepEntry(handle uint64, event entry.Event) {
	c := s.requests[handle]
	if c.ended {
		return
	}
	for _, action := range s.entries[c.entry].Step(s.now, event) {
		switch a := action.(type) {
		case entry.Send:
			s.send(c, a)
		case entry.Resolve:
			s.resolve(c, a)
		case entry.Wait:
			s.after(a.For, func() { s.stepEntry(handle, entry.Resume{Handle: handle}) })
		case entry.Fail:
			s.finish(c, a.Outcome)
		}
	}
}

func (s *simulation) nodeByID(id string) *node {
	for _, n := range s.nodes {
		if n.id == id {
			return n
		}
	}
	return nil
}

func (s *simulation) send(c *simulatedRequest, a entry.Send) {
	n := s.nodeByID(a.Endpoint.ID)
	c.current = a.ID
	if s.chance(s.faults.dialRefused) {
		s.after(time.Millisecond, func() { s.stepIfCurrent(c, a.ID, entry.NotSent{Handle: c.handle}) })
		return
	}
	// A gate that restarts or pauses sends nothing: the attempt is lost after the
	// silence timeout.
	s.after(silenceTimeout, func() { s.stepIfCurrent(c, a.ID, entry.ConnectionLost{Handle: c.handle}) })
	requestLost := s.chance(s.faults.requestLost)
	responseLost := s.chance(s.faults.responseLost)
	if requestLost || responseLost {
		s.after(150*time.Millisecond, func() { s.stepIfCurrent(c, a.ID, entry.ConnectionLost{Handle: c.handle}) })
	}
	if requestLost && s.chance(50) {
		return
	}
	arrive := gate.Arrive{ID: a.ID, GateIncarnation: a.Endpoint.Incarnation, Idempotent: c.idempotent, Background: c.handle%4 == 0, Deadline: s.now.Add(time.Second)}
	s.after(s.delay(), func() {
		n.deliver(func() {
			n.requests[a.ID] = c
			if _, pending := n.responders[a.ID]; !pending && !responseLost {
				n.responders[a.ID] = func(outcome call.Outcome) { s.deliverOutcome(c, a.ID, outcome) }
			}
			n.step(arrive)
		})
	})
}

func (s *simulation) resolve(c *simulatedRequest, a entry.Resolve) {
	n := s.nodeByID(a.Endpoint.ID)
	c.current = a.ID // it may be an attempt before the last one
	if s.chance(s.faults.dialRefused) {
		s.after(time.Millisecond, func() { s.stepIfCurrent(c, a.ID, entry.NotSent{Handle: c.handle}) })
		return
	}
	if s.chance(s.faults.responseLost) {
		s.after(150*time.Millisecond, func() { s.stepIfCurrent(c, a.ID, entry.ConnectionLost{Handle: c.handle}) })
	}
	s.after(s.delay(), func() {
		n.deliver(func() {
			n.responders[a.ID] = func(outcome call.Outcome) { s.deliverOutcome(c, a.ID, outcome) }
			n.step(gate.Resolve{ID: a.ID, GateIncarnation: a.Endpoint.Incarnation})
		})
	})
	s.after(silenceTimeout, func() { s.stepIfCurrent(c, a.ID, entry.ConnectionLost{Handle: c.handle}) })
}

// deliverOutcome sends the outcome of an attempt to the entry after a delay. An
// outcome without a response always has the reason queue-full.
func (s *simulation) deliverOutcome(c *simulatedRequest, id call.ID, outcome call.Outcome) {
	s.after(s.delay(), func() {
		if c.ended || c.current != id {
			return
		}
		if outcome == call.Answered {
			s.entries[c.entry].Step(s.now, entry.ResponseReceived{Handle: c.handle, Load: 1})
			s.finish(c, call.Answered)
			return
		}
		s.stepIfCurrent(c, id, entry.Refused{Handle: c.handle, Outcome: outcome, Reason: call.ReasonQueueFull, Load: 1})
	})
}

// stepIfCurrent gives the event to the entry if the attempt is the current one.
func (s *simulation) stepIfCurrent(c *simulatedRequest, id call.ID, event entry.Event) {
	if !c.ended && c.current == id {
		s.stepEntry(c.handle, event)
	}
}

func (s *simulation) finish(c *simulatedRequest, outcome call.Outcome) {
	c.ended = true
	c.outcome = outcome
	s.entries[c.entry].Step(s.now, entry.End{Handle: c.handle})
	if outcome == call.NotRun && c.runs > 0 {
		s.t.Fatalf("request %d ran and its outcome is not-run", c.handle)
	}
	if outcome == call.Answered && c.runs == 0 {
		s.t.Fatalf("request %d did not run and its outcome is answered", c.handle)
	}
}

// injectFault restarts, pauses or drains a random node, or does nothing.
func (s *simulation) injectFault() {
	n := s.nodes[s.random.IntN(len(s.nodes))]
	switch {
	case s.chance(s.faults.restart):
		n.restart()
		s.after(time.Duration(s.random.IntN(500))*time.Millisecond, s.announce)
	case s.chance(s.faults.pause):
		n.pausedUntil = s.now.Add(time.Duration(s.random.IntN(1500)) * time.Millisecond)
	case s.chance(s.faults.restart):
		n.draining = true
		n.step(gate.Drain{})
	}
}

func (s *simulation) check() {
	for handle, c := range s.requests {
		switch {
		case !c.ended:
			s.t.Fatalf("request %d never got an outcome", handle)
		case !c.idempotent && c.runs > 1:
			s.t.Fatalf("request %d ran %d times", handle, c.runs)
		case c.outcome == call.NotRun && c.runs > 0:
			s.t.Fatalf("request %d ran after its outcome was not-run", handle)
		}
	}
	for i, e := range s.entries {
		if bound := retryRatio*float64(s.begun[i]) + startTokens; float64(e.ChargedRetries()) > bound {
			s.t.Fatalf("%d retries took a token, the budget allows %.0f", e.ChargedRetries(), bound)
		}
		if e.InFlight() != 0 {
			s.t.Fatalf("%d requests are still in flight", e.InFlight())
		}
	}
}

func percent(t *rapid.T, name string, most int) int {
	return rapid.IntRange(0, most).Draw(t, name)
}

// TestEntryGateInvariantsUnderFaults runs entries and gates over a network that
// loses and delays messages, with gate restarts, pauses and drains. No call that
// is not idempotent may run twice, no outcome may be false, every request must end
// and retries must stay within the budget.
func TestEntryGateInvariantsUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := faults{
			requestLost: percent(t, "request lost", 20), delayed: percent(t, "delayed", 30),
			responseLost: percent(t, "response lost", 20), dialRefused: percent(t, "dial refused", 20),
			targetFails: percent(t, "target fails", 10), notSent: percent(t, "not sent", 10),
			restart: percent(t, "restart", 30), pause: percent(t, "pause", 50),
		}
		s := newSimulation(t, rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 3).Draw(t, "entries"), rapid.IntRange(1, 4).Draw(t, "gates"), f)
		gap := rapid.IntRange(1, 10).Draw(t, "gap")
		for i := range 150 {
			handle := uint64(i + 1)
			s.after(time.Duration(i*gap)*time.Millisecond, func() {
				s.begin(handle, s.random.IntN(len(s.entries)), s.chance(30))
			})
			if i%10 == 0 {
				s.after(time.Duration(i*gap)*time.Millisecond, s.injectFault)
			}
		}
		s.run()
		s.check()
	})
}
