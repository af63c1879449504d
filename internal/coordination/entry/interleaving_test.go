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
	retryRatio  = 0.1
	startTokens = 10
	slots       = 3
	silence     = 500 * time.Millisecond
)

// task is something that happens at a time of the virtual clock.
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

// faults are the chances of each fault, in percent.
type faults struct{ lostGoing, late, lostComing, refusedDial, targetFails, notSent, restart, pause int }

// caller is one request and what became of it.
type caller struct {
	handle     uint64
	entry      int
	idempotent bool
	runs       int
	told       bool
	outcome    call.Outcome
	current    call.ID
}

// node is a gate with its target.
type node struct {
	world    *world
	id       string
	started  uint64
	machine  *gate.Machine
	running  int
	draining bool
	// waits holds what to do with the answer of each call.
	answers map[call.ID]func(outcome call.Outcome)
	owner   map[call.ID]*caller
	done    map[call.ID]bool
	pausing time.Time
}

// world joins entries and gates by a network with faults.
type world struct {
	t       *rapid.T
	random  *rand.Rand
	now     time.Time
	tasks   taskHeap
	order   int
	faults  faults
	entries []*entry.Machine
	nodes   []*node
	callers map[uint64]*caller
	begun   []int
}

func (w *world) after(d time.Duration, do func()) {
	w.order++
	heap.Push(&w.tasks, task{w.now.Add(d), w.order, do})
}

func (w *world) chance(percent int) bool { return w.random.IntN(100) < percent }

func (w *world) delay() time.Duration {
	if w.chance(w.faults.late) {
		return time.Duration(w.random.IntN(3000)) * time.Millisecond
	}
	return time.Duration(w.random.IntN(3000)) * time.Microsecond
}

func (w *world) run() {
	for w.tasks.Len() > 0 {
		next := heap.Pop(&w.tasks).(task)
		w.now = next.at
		next.do()
	}
}

func newWorld(t *rapid.T, seed uint64, entries, nodes int, f faults) *world {
	w := &world{t: t, random: rand.New(rand.NewPCG(seed, 1)), now: epoch, faults: f, callers: make(map[uint64]*caller), begun: make([]int, entries)}
	for i := range entries {
		w.entries = append(w.entries, entry.New(entry.Options{Node: fmt.Sprint("entry", i), Incarnation: 1, Domain: "a", RetryRatio: retryRatio, SpillLoad: 1, Seed: seed + uint64(i)}))
	}
	for i := range nodes {
		n := &node{world: w, id: fmt.Sprint("gate", i)}
		n.restart()
		w.nodes = append(w.nodes, n)
	}
	w.announce()
	return w
}

func (w *world) announce() {
	var endpoints []entry.Endpoint
	for _, n := range w.nodes {
		endpoints = append(endpoints, entry.Endpoint{ID: n.id, Incarnation: n.started, Service: "depot", Domain: "a", Slots: slots})
	}
	for _, e := range w.entries {
		e.Step(w.now, entry.SetEndpoints{Endpoints: endpoints})
	}
}

// restart replaces the gate's process; calls at its target are cut off.
func (n *node) restart() {
	n.started++
	n.machine = gate.New(gate.Options{Incarnation: n.started, MaxRecords: 200, MaxRetainedBytes: 4000, Retention: time.Minute})
	n.answers = make(map[call.ID]func(call.Outcome))
	n.owner = make(map[call.ID]*caller)
	n.done = make(map[call.ID]bool)
	n.running = 0
	n.draining = false
	n.step(gate.SetTarget{Slots: slots, QueueLength: 10, QueueTimeout: 50 * time.Millisecond, Ready: true})
}

// deliver does a step of the gate once it is not paused.
func (n *node) deliver(do func()) {
	if n.world.now.Before(n.pausing) {
		n.world.after(n.pausing.Sub(n.world.now), do)
		return
	}
	do()
}

func (n *node) step(event gate.Event) {
	for _, action := range n.machine.Step(n.world.now, event) {
		switch a := action.(type) {
		case gate.Start:
			n.start(a.ID)
		case gate.Refuse:
			n.tell(a.ID, a.Outcome)
		case gate.Cancel:
		case gate.Resolved:
			n.resolved(a)
		}
	}
	if at, ok := n.machine.NextWake(); ok {
		started := n.started
		n.world.after(at.Sub(n.world.now)+time.Millisecond, func() {
			if n.started == started {
				n.step(gate.Tick{})
			}
		})
	}
}

func (n *node) start(id call.ID) {
	w := n.world
	n.running++
	if n.running > slots {
		w.t.Fatalf("%s runs %d calls in %d slots", n.id, n.running, slots)
	}
	if n.draining {
		w.t.Fatalf("%s started %v after its drain", n.id, id)
	}
	started := n.started
	if w.chance(w.faults.notSent) {
		w.after(time.Millisecond, func() { n.finish(started, id, gate.NotSent) })
		return
	}
	n.owner[id].runs++
	result := gate.Completed
	if w.chance(w.faults.targetFails) {
		result = gate.Failed
	}
	w.after(time.Duration(1+w.random.IntN(30))*time.Millisecond, func() { n.finish(started, id, result) })
}

func (n *node) finish(incarnation uint64, id call.ID, result gate.Result) {
	if n.started != incarnation {
		return
	}
	n.running--
	n.done[id] = result == gate.Completed
	n.step(gate.Finished{ID: id, Result: result, RetainedBytes: 100})
	switch result {
	case gate.Completed:
		n.tell(id, call.Answered)
	case gate.NotSent:
		n.tell(id, call.NotRun)
	default:
		n.tell(id, call.Unknown)
	}
}

func (n *node) tell(id call.ID, outcome call.Outcome) {
	if answer := n.answers[id]; answer != nil {
		delete(n.answers, id)
		answer(outcome)
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
	n.tell(a.ID, outcome)
}

// begin brings a request to an entry.
func (w *world) begin(handle uint64, at int, idempotent bool) {
	w.callers[handle] = &caller{handle: handle, entry: at, idempotent: idempotent}
	w.begun[at]++
	w.do(handle, entry.Begin{Handle: handle, Service: "depot", Idempotent: idempotent, Deadline: w.now.Add(2 * time.Second), MaxAttempts: 3})
}

func (w *world) do(handle uint64, event entry.Event) {
	c := w.callers[handle]
	if c.told {
		return
	}
	for _, action := range w.entries[c.entry].Step(w.now, event) {
		switch a := action.(type) {
		case entry.Send:
			w.send(c, a)
		case entry.Resolve:
			w.recover(c, a)
		case entry.Wait:
			w.after(a.For, func() { w.do(handle, entry.Resume{Handle: handle}) })
		case entry.Fail:
			w.finish(c, a.Outcome)
		}
	}
}

func (w *world) find(id string) *node {
	for _, n := range w.nodes {
		if n.id == id {
			return n
		}
	}
	return nil
}

func (w *world) send(c *caller, a entry.Send) {
	n := w.find(a.Endpoint.ID)
	c.current = a.ID
	if w.chance(w.faults.refusedDial) {
		w.after(time.Millisecond, func() { w.event(c, a.ID, entry.NotSent{Handle: c.handle}) })
		return
	}
	// A gate that restarts or pauses is not heard: the attempt is lost then.
	w.after(silence, func() { w.event(c, a.ID, entry.ConnectionLost{Handle: c.handle}) })
	lostGoing := w.chance(w.faults.lostGoing)
	lostComing := w.chance(w.faults.lostComing)
	if lostGoing || lostComing {
		w.after(150*time.Millisecond, func() { w.event(c, a.ID, entry.ConnectionLost{Handle: c.handle}) })
	}
	if lostGoing && w.chance(50) {
		return
	}
	arrive := gate.Arrive{ID: a.ID, GateIncarnation: a.Endpoint.Incarnation, Idempotent: c.idempotent, Background: c.handle%4 == 0, Deadline: w.now.Add(time.Second)}
	w.after(w.delay(), func() {
		n.deliver(func() {
			n.owner[a.ID] = c
			if _, asked := n.answers[a.ID]; !asked && !lostComing {
				n.answers[a.ID] = func(outcome call.Outcome) { w.answer(c, a.ID, outcome) }
			}
			n.step(arrive)
		})
	})
}

func (w *world) recover(c *caller, a entry.Resolve) {
	n := w.find(a.Endpoint.ID)
	if w.chance(w.faults.refusedDial) {
		w.after(time.Millisecond, func() { w.event(c, a.ID, entry.NotSent{Handle: c.handle}) })
		return
	}
	if w.chance(w.faults.lostComing) {
		w.after(150*time.Millisecond, func() { w.event(c, a.ID, entry.ConnectionLost{Handle: c.handle}) })
	}
	w.after(w.delay(), func() {
		n.deliver(func() {
			n.answers[a.ID] = func(outcome call.Outcome) { w.answer(c, a.ID, outcome) }
			n.step(gate.Resolve{ID: a.ID, GateIncarnation: a.Endpoint.Incarnation})
		})
	})
	w.after(silence, func() { w.event(c, a.ID, entry.ConnectionLost{Handle: c.handle}) })
}

// answer brings a gate's word back to the entry.
func (w *world) answer(c *caller, id call.ID, outcome call.Outcome) {
	w.after(w.delay(), func() {
		if c.told || c.current != id {
			return
		}
		if outcome == call.Answered {
			w.entries[c.entry].Step(w.now, entry.ResponseReceived{Handle: c.handle, Load: 1})
			w.finish(c, call.Answered)
			return
		}
		w.event(c, id, entry.Refused{Handle: c.handle, Outcome: outcome, Reason: call.ReasonQueueFull, Load: 1})
	})
}

// event tells the entry of its attempt, unless it is past.
func (w *world) event(c *caller, id call.ID, event entry.Event) {
	if !c.told && c.current == id {
		w.do(c.handle, event)
	}
}

func (w *world) finish(c *caller, outcome call.Outcome) {
	c.told = true
	c.outcome = outcome
	w.entries[c.entry].Step(w.now, entry.End{Handle: c.handle})
	if outcome == call.NotRun && c.runs > 0 {
		w.t.Fatalf("request %d ran and is told not to have run", c.handle)
	}
	if outcome == call.Answered && c.runs == 0 {
		w.t.Fatalf("request %d is answered and did not run", c.handle)
	}
}

// disturb brings restarts, pauses and drains.
func (w *world) disturb() {
	n := w.nodes[w.random.IntN(len(w.nodes))]
	switch {
	case w.chance(w.faults.restart):
		n.restart()
		w.after(time.Duration(w.random.IntN(500))*time.Millisecond, w.announce)
	case w.chance(w.faults.pause):
		n.pausing = w.now.Add(time.Duration(w.random.IntN(1500)) * time.Millisecond)
	case w.chance(w.faults.restart):
		n.draining = true
		n.step(gate.Drain{})
	}
}

func (w *world) check() {
	for handle, c := range w.callers {
		switch {
		case !c.told:
			w.t.Fatalf("request %d was never answered", handle)
		case !c.idempotent && c.runs > 1:
			w.t.Fatalf("request %d ran %d times", handle, c.runs)
		case c.outcome == call.NotRun && c.runs > 0:
			w.t.Fatalf("request %d was told not to have run and ran later", handle)
		}
	}
	for i, e := range w.entries {
		if bound := retryRatio*float64(w.begun[i]) + startTokens; float64(e.ChargedRetries()) > bound {
			w.t.Fatalf("%d retries were paid for, the budget is %.0f", e.ChargedRetries(), bound)
		}
		if e.InFlight() != 0 {
			w.t.Fatalf("%d requests never ended", e.InFlight())
		}
	}
}

func percent(t *rapid.T, name string, most int) int {
	return rapid.IntRange(0, most).Draw(t, name)
}

func TestEntriesAndGatesKeepTheirPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := faults{
			lostGoing: percent(t, "lost going", 20), late: percent(t, "late", 30),
			lostComing: percent(t, "lost coming", 20), refusedDial: percent(t, "refused", 20),
			targetFails: percent(t, "target fails", 10), notSent: percent(t, "not sent", 10),
			restart: percent(t, "restart", 30), pause: percent(t, "pause", 50),
		}
		w := newWorld(t, rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 3).Draw(t, "entries"), rapid.IntRange(1, 4).Draw(t, "gates"), f)
		gap := rapid.IntRange(1, 10).Draw(t, "gap")
		for i := range 150 {
			handle := uint64(i + 1)
			w.after(time.Duration(i*gap)*time.Millisecond, func() {
				w.begin(handle, w.random.IntN(len(w.entries)), w.chance(30))
			})
			if i%10 == 0 {
				w.after(time.Duration(i*gap)*time.Millisecond, w.disturb)
			}
		}
		w.run()
		w.check()
	})
}
