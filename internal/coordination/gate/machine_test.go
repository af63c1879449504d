package gate

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"jasminegate/internal/coordination/call"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func testOptions() Options {
	return Options{Incarnation: 3, MaxRecords: 4, MaxRetainedBytes: 1000, Retention: time.Minute}
}

// callState is the model's state of one call ID.
type callState struct {
	arrivals int
	// decided counts the starts and refusals.
	decided int
	starts  int
	running bool
	notSent bool
	notRun  bool
}

// modelCheck drives a Machine and checks its actions against a simple model.
type modelCheck struct {
	t        *rapid.T
	machine  *Machine
	now      time.Time
	calls    map[call.ID]*callState
	ids      []call.ID
	slots    int
	ready    bool
	drained  bool
	next     uint64
	running  int
	resolves uint64
}

func (g *modelCheck) call(id call.ID) *callState {
	c := g.calls[id]
	if c == nil {
		c = &callState{}
		g.calls[id] = c
		g.ids = append(g.ids, id)
	}
	return c
}

func (g *modelCheck) step(event Event) {
	for _, action := range g.machine.Step(g.now, event) {
		g.check(action)
	}
	if g.running != g.machine.Running() {
		g.t.Fatalf("%d calls are running, but the machine counts %d", g.running, g.machine.Running())
	}
}

func (g *modelCheck) check(action Action) {
	switch a := action.(type) {
	case Start:
		g.checkStart(a.ID)
	case Refuse:
		g.call(a.ID).decided++
		g.checkOutcome(a.ID, a.Outcome)
	case Resolved:
		g.checkOutcome(a.ID, a.Outcome)
	}
}

func (g *modelCheck) checkStart(id call.ID) {
	c := g.call(id)
	c.decided++
	c.starts++
	c.running = true
	g.running++
	switch {
	case c.starts > 1:
		g.t.Fatalf("%v started twice", id)
	case c.notRun:
		g.t.Fatalf("%v started after it was reported as not run", id)
	case g.running > g.slots:
		g.t.Fatalf("%d calls are running in %d slots", g.running, g.slots)
	case g.drained:
		g.t.Fatalf("%v started after the drain", id)
	case !g.ready:
		g.t.Fatalf("%v started while the target drains", id)
	}
}

func (g *modelCheck) checkOutcome(id call.ID, outcome call.Outcome) {
	c := g.call(id)
	if outcome != call.NotRun {
		return
	}
	c.notRun = true
	if c.starts > 0 && !c.notSent {
		g.t.Fatalf("%v was reported as not run after it was started", id)
	}
}

// id draws a new ID or a known one, so that calls also arrive late or twice.
func (g *modelCheck) id(t *rapid.T) call.ID {
	if len(g.ids) > 0 && rapid.IntRange(0, 3).Draw(t, "known") == 0 {
		return rapid.SampledFrom(g.ids).Draw(t, "id")
	}
	g.next += rapid.SampledFrom([]uint64{1, 1, 1, 1, 1, 40, windowSize + 5}).Draw(t, "skip")
	counter := g.next
	if back := rapid.Uint64Range(0, 8).Draw(t, "back"); back < counter {
		counter -= back
	}
	return call.ID{Entry: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "entry"), Incarnation: rapid.Uint64Range(1, 2).Draw(t, "incarnation"), Counter: counter}
}

func (g *modelCheck) arrive(t *rapid.T) {
	id := g.id(t)
	g.call(id).arrivals++
	g.step(Arrive{
		ID: id, GateIncarnation: rapid.SampledFrom([]uint64{3, 3, 3, 3, 2}).Draw(t, "gate"),
		Nested: rapid.Bool().Draw(t, "nested"), Priority: rapid.IntRange(0, 2).Draw(t, "priority"), SoftDeadline: g.now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "soft deadline")) * time.Millisecond),
		Background: rapid.Bool().Draw(t, "background"), Idempotent: rapid.Bool().Draw(t, "idempotent"),
		Deadline: g.now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "deadline")) * time.Millisecond),
	})
}

func (g *modelCheck) finish(t *rapid.T) {
	var running []call.ID
	for _, id := range g.ids {
		if g.calls[id].running {
			running = append(running, id)
		}
	}
	if len(running) == 0 {
		t.Skip("no call is running")
	}
	id := rapid.SampledFrom(running).Draw(t, "finished")
	result := Result(rapid.IntRange(int(Completed), int(RejectedByTarget)).Draw(t, "result"))
	g.calls[id].running = false
	g.calls[id].notSent = result == NotSent || result == RejectedByTarget
	g.running--
	g.step(Finished{ID: id, Result: result, RetainedBytes: int64(rapid.IntRange(-1, 400).Draw(t, "bytes"))})
}

func (g *modelCheck) tick(t *rapid.T) {
	g.now = g.now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond)
	g.step(Tick{})
}

// checkAllDecided lets all queue timeouts pass and checks that each arrival was
// started or refused exactly once.
func (g *modelCheck) checkAllDecided() {
	g.now = g.now.Add(time.Second)
	g.step(Tick{})
	for _, id := range g.ids {
		if c := g.calls[id]; c.decided != c.arrivals {
			g.t.Fatalf("%v arrived %d times and was started or refused %d times", id, c.arrivals, c.decided)
		}
	}
}

// TestInvariants runs random sequences of events. No call may start twice, start
// after it was reported as not run, exceed the slots, or start during a drain. No
// call that was started may be reported as not run, unless the target did not get
// it or did not run it. Each arrival is started or refused exactly once.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := &modelCheck{t: t, machine: New(testOptions()), now: epoch, calls: make(map[call.ID]*callState), slots: 3, ready: true}
		g.step(SetTarget{Slots: g.slots, QueueLength: 6, QueueTimeout: 100 * time.Millisecond, Ready: true})
		t.Repeat(map[string]func(*rapid.T){
			"arrive": g.arrive,
			"Arrive": g.arrive, // a second entry, so that it is drawn twice as often
			"finish": g.finish,
			"tick":   g.tick,
			"resolve": func(t *rapid.T) {
				g.resolves++
				g.step(Resolve{ID: g.id(t), GateIncarnation: 3, Token: g.resolves})
			},
			"cancel":     func(t *rapid.T) { g.step(Cancelled{ID: g.id(t)}) },
			"disconnect": func(t *rapid.T) { g.step(Disconnected{ID: g.id(t)}) },
			"target": func(t *rapid.T) {
				g.ready = rapid.IntRange(0, 3).Draw(t, "ready") > 0
				g.step(SetTarget{Slots: g.slots, QueueLength: 6, QueueTimeout: 100 * time.Millisecond, Ready: g.ready})
			},
			"drain": func(t *rapid.T) {
				g.drained = g.drained || rapid.IntRange(0, 9).Draw(t, "drain") == 0
				if g.drained {
					g.step(Drain{})
				}
			},
		})
		g.checkAllDecided()
	})
}

// TestKeyRunsOnce checks that of several calls with the same idempotency key at most
// one starts, whether the first is queued, running or finished.
func TestKeyRunsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := New(testOptions())
		m.Step(epoch, SetTarget{Slots: 1, QueueLength: 10, QueueTimeout: time.Second, Ready: true})
		var running []call.ID
		starts := 0
		for counter := uint64(1); counter < 40; counter++ {
			event := Event(Arrive{ID: call.ID{Entry: "a", Counter: counter}, GateIncarnation: 3, Key: "k", Deadline: epoch.Add(time.Minute)})
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				event = Arrive{ID: call.ID{Entry: "b", Counter: counter}, GateIncarnation: 3, Idempotent: true, Deadline: epoch.Add(time.Minute)}
			case 1:
				if len(running) > 0 {
					event = Finished{ID: running[0], Result: Completed, RetainedBytes: 10}
					running = running[1:]
				}
			case 2:
				event = Disconnected{ID: call.ID{Entry: "a", Counter: counter - 1}}
			}
			for _, action := range m.Step(epoch, event) {
				if start, ok := action.(Start); ok {
					running = append(running, start.ID)
					if start.ID.Entry == "a" {
						starts++
					}
				}
			}
		}
		if starts > 1 {
			t.Fatalf("%d calls with the same key were started", starts)
		}
	})
}

// TestBackgroundOvertakesAreLimited checks the limit for n background calls ahead:
// (n+1)*overtakeLimit. Both classes have equal service times.
func TestBackgroundOvertakesAreLimited(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := New(testOptions())
		m.Step(epoch, SetTarget{Slots: 4, QueueLength: 200, QueueTimeout: time.Hour, Ready: true})
		var running []call.ID
		overtaken := make(map[uint64]int)
		backgroundAhead := make(map[uint64]int)
		step := func(event Event) {
			for _, action := range m.Step(epoch, event) {
				start, ok := action.(Start)
				if !ok {
					continue
				}
				running = append(running, start.ID)
				for counter := range overtaken {
					if start.ID.Entry == "interactive" && start.ID.Counter > counter {
						overtaken[counter]++
					}
				}
				if start.ID.Entry == "background" {
					limit := (backgroundAhead[start.ID.Counter] + 1) * (backgroundShareDivisor - 1)
					if overtaken[start.ID.Counter] > limit {
						t.Fatalf("overtaken %d times, limit %d", overtaken[start.ID.Counter], limit)
					}
					delete(overtaken, start.ID.Counter)
				}
			}
		}
		for counter := uint64(1); counter < 300; counter++ {
			background := rapid.IntRange(0, 5).Draw(t, "class") == 0
			entry := "interactive"
			if background {
				entry = "background"
				backgroundAhead[counter] = len(overtaken)
				overtaken[counter] = 0
			}
			step(Arrive{ID: call.ID{Entry: entry, Counter: counter}, GateIncarnation: 3, Background: background, Idempotent: true, Deadline: epoch.Add(time.Hour)})
			if rapid.Bool().Draw(t, "finish") && len(running) > 0 {
				id := running[0]
				running = running[1:]
				step(Finished{ID: id, Result: Completed})
			}
		}
	})
}

// TestBackgroundStartsDuringInteractiveBacklog keeps more interactive calls queued
// than can start. The only background call starts as the eighth queued call.
func TestBackgroundStartsDuringInteractiveBacklog(t *testing.T) {
	is := is.New(t)
	m := New(testOptions())
	m.Step(epoch, SetTarget{Slots: 1, QueueLength: 100, QueueTimeout: time.Hour, Ready: true})
	var started []call.ID
	step := func(event Event) {
		for _, action := range m.Step(epoch, event) {
			if start, ok := action.(Start); ok {
				started = append(started, start.ID)
			}
		}
	}
	for counter := range uint64(40) {
		step(Arrive{ID: call.ID{Entry: "a", Counter: counter}, GateIncarnation: 3, Background: counter == 1, Idempotent: true, Deadline: epoch.Add(time.Hour)})
	}
	for i := range 20 {
		step(Finished{ID: started[i], Result: Completed})
	}
	is.Equal(started[backgroundShareDivisor].Counter, uint64(1))
}

func TestRefusalAtOnce(t *testing.T) {
	table := []struct {
		name          string
		target        SetTarget
		drain         bool
		untilDeadline time.Duration
		gate          uint64
		reason        call.Reason
	}{
		{"no target", SetTarget{}, false, time.Second, 3, call.ReasonNoTarget},
		{"draining target", SetTarget{Slots: 1, QueueLength: 9, QueueTimeout: time.Second}, false, time.Second, 3, call.ReasonLeaving},
		{"draining gate", SetTarget{Slots: 1, QueueLength: 9, QueueTimeout: time.Second, Ready: true}, true, time.Second, 3, call.ReasonLeaving},
		{"queue full", SetTarget{Slots: 1, QueueTimeout: time.Second, Ready: true}, false, time.Second, 3, call.ReasonQueueFull},
		{"deadline too near", SetTarget{Slots: 1, QueueLength: 9, QueueTimeout: time.Second, Ready: true}, false, 2 * time.Millisecond, 3, call.ReasonTooLate},
		{"deadline past", SetTarget{Slots: 2, QueueLength: 9, QueueTimeout: time.Second, Ready: true}, false, 0, 3, call.ReasonTooLate},
		{"queue timeout too short", SetTarget{Slots: 1, QueueLength: 9, QueueTimeout: time.Millisecond, Ready: true}, false, time.Second, 3, call.ReasonTooLate},
		{"other incarnation", SetTarget{Slots: 2, QueueLength: 9, QueueTimeout: time.Second, Ready: true}, false, time.Second, 2, call.ReasonGateRestarted},
	}
	for _, row := range table {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			m := New(testOptions())
			m.Step(epoch, row.target)
			m.Step(epoch, Arrive{ID: call.ID{Entry: "a", Counter: 1}, GateIncarnation: 3, Deadline: epoch.Add(time.Minute)})
			if row.drain {
				m.Step(epoch, Drain{})
			}
			actions := m.Step(epoch, Arrive{ID: call.ID{Entry: "a", Counter: 2}, GateIncarnation: row.gate, Deadline: epoch.Add(row.untilDeadline)})
			is.Equal(len(actions), 1)
			refuse, ok := actions[0].(Refuse)
			is.True(ok) // refused immediately
			is.Equal(refuse.Outcome, call.NotRun)
			is.Equal(refuse.Reason, row.reason)
			is.True(refuse.RetryAfter > 0)
		})
	}
}

// TestLimitFollowsTarget checks that the limit falls within 200 responses while the
// target sheds calls, times out or slows down, and recovers afterwards.
func TestLimitFollowsTarget(t *testing.T) {
	table := []struct {
		name   string
		took   time.Duration
		result Result
	}{
		{"sheds", 10 * time.Millisecond, Shed},
		{"times out", 10 * time.Millisecond, DeadlineExceeded},
		{"slows down", 80 * time.Millisecond, Completed},
	}
	for _, row := range table {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			m := New(testOptions())
			m.Step(epoch, SetTarget{Slots: 20, QueueLength: 0, QueueTimeout: time.Second, Ready: true})
			now := epoch
			counter := uint64(0)
			run := func(rounds int, took time.Duration, result Result) {
				for range rounds {
					var started []call.ID
					for range 20 {
						counter++
						id := call.ID{Entry: "a", Counter: counter}
						for _, action := range m.Step(now, Arrive{ID: id, GateIncarnation: 3, Idempotent: true, Deadline: now.Add(time.Minute)}) {
							if start, ok := action.(Start); ok {
								started = append(started, start.ID)
							}
						}
					}
					now = now.Add(took)
					for _, id := range started {
						m.Step(now, Finished{ID: id, Result: result})
					}
					now = now.Add(time.Second)
				}
			}
			run(50, 10*time.Millisecond, Completed)
			is.Equal(m.Limit(), 20)
			run(10, row.took, row.result)
			is.True(m.Limit() <= 10) // lowered
			run(100, 10*time.Millisecond, Completed)
			is.Equal(m.Limit(), 20) // recovered
		})
	}
}

func BenchmarkStep(b *testing.B) {
	for _, queued := range []int{0, 10, 100, 1000} {
		b.Run(fmt.Sprintf("queued=%d", queued), func(b *testing.B) {
			m := New(Options{Incarnation: 3, MaxRecords: 32768, MaxRetainedBytes: 8 << 20, Retention: 10 * time.Minute})
			m.Step(epoch, SetTarget{Slots: 20, QueueLength: 100_000, QueueTimeout: time.Hour, Ready: true})
			now := epoch
			counter := uint64(0)
			arrive := func() call.ID {
				counter++
				id := call.ID{Entry: "a", Counter: counter}
				m.Step(now, Arrive{ID: id, GateIncarnation: 3, Deadline: now.Add(24 * time.Hour)})
				return id
			}
			var running []call.ID
			for range 20 {
				running = append(running, arrive())
			}
			for range queued {
				arrive()
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now = now.Add(time.Millisecond)
				arrive()
				for _, action := range m.Step(now, Finished{ID: running[i%20], Result: Completed, RetainedBytes: 300}) {
					if start, ok := action.(Start); ok {
						running[i%20] = start.ID
					}
				}
			}
		})
	}
}

// TestRunIsBrokenOffWhileItsEntryIsSlow loses the connection of a running idempotent
// call: the run ends only if no entry asks for its response in time, or if the caller
// has left.
func TestRunIsBrokenOffWhileItsEntryIsSlow(t *testing.T) {
	for name, tc := range map[string]struct {
		// then follows half of the grace after the loss.
		then Event
		// cancelledAfter is when the run is cancelled after that, 0 at once, negative
		// never.
		cancelledAfter time.Duration
	}{
		"nobody asks":        {Tick{}, orphanGrace / 2},
		"an entry asks":      {Resolve{GateIncarnation: 3, Fetch: true}, -1},
		"a health check":     {Resolve{GateIncarnation: 3}, orphanGrace / 2},
		"the caller leaves":  {Cancelled{}, 0},
		"the run ends first": {Finished{Result: Completed}, -1},
	} {
		t.Run(name, func(t *testing.T) {
			r := newSimulation(t, 1)
			id := r.arrive(Arrive{Idempotent: true})
			cancelled := func(event Event) bool {
				for _, action := range r.machine.Step(r.now, event) {
					if action == (Cancel{ID: id}) {
						return true
					}
				}
				return false
			}
			r.True(!cancelled(Disconnected{ID: id}))
			wake, ok := r.machine.NextWake()
			r.True(ok)
			r.Equal(wake, r.now.Add(orphanGrace))
			r.now = r.now.Add(orphanGrace / 2)
			switch e := tc.then.(type) {
			case Resolve:
				e.ID = id
				tc.then = e
			case Cancelled:
				tc.then = Cancelled{ID: id}
			case Finished:
				e.ID = id
				tc.then = e
			}
			r.Equal(cancelled(tc.then), tc.cancelledAfter == 0)
			if tc.cancelledAfter == 0 {
				return
			}
			r.now = r.now.Add(orphanGrace)
			r.Equal(cancelled(Tick{}), tc.cancelledAfter > 0)
		})
	}
}

// TestFixedLimitKeepsLoweredLimit fixes the limit after overload has lowered it: all
// slots must be used again.
func TestFixedLimitKeepsLoweredLimit(t *testing.T) {
	r := newSimulation(t, 8)
	target := SetTarget{Slots: 8, QueueLength: 100, QueueTimeout: time.Minute, Ready: true}
	r.step(target) // adaptive
	id := r.arrive(Arrive{})
	r.step(Finished{ID: id, Result: Shed})
	r.True(r.machine.Limit() < 8)
	target.FixedLimit = true
	r.step(target)
	r.Equal(r.machine.Limit(), 8)
}

// TestFetchedRunIsBrokenOffByItsLostConnection lets an entry fetch the response of a run
// before the gate notices that the entry's first connection is lost: the run continues
// until the connection of the fetch is lost too.
func TestFetchedRunIsBrokenOffByItsLostConnection(t *testing.T) {
	r := newSimulation(t, 1)
	id := r.arrive(Arrive{Idempotent: true})
	cancelled := func(event Event) bool {
		return slices.Contains(r.machine.Step(r.now, event), Action(Cancel{ID: id}))
	}
	r.True(!cancelled(Resolve{ID: id, GateIncarnation: 3, Fetch: true}))
	r.True(!cancelled(Disconnected{ID: id}))
	r.now = r.now.Add(2 * orphanGrace)
	r.True(!cancelled(Tick{}))
	r.True(!cancelled(Disconnected{ID: id}))
	r.now = r.now.Add(orphanGrace)
	r.True(cancelled(Tick{}))
}

// TestRetriedRunKeepsItsSlot loses the connection of a call that its entry retries
// elsewhere: the run is cancelled at once, and its slot is free for other calls.
func TestRetriedRunKeepsItsSlot(t *testing.T) {
	r := newSimulation(t, 1)
	id := r.arrive(Arrive{Idempotent: true, RetriedIfLost: true})
	r.True(slices.Contains(r.machine.Step(r.now, Disconnected{ID: id}), Action(Cancel{ID: id})))
}
