package gate

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"jasminegate/internal/coordination/call"
)

// replay drives a machine with one slot whose calls take their time each.
type replay struct {
	*is.I
	machine *Machine
	now     time.Time
	counter uint64
	started []call.ID
	refused map[call.ID]Refuse
}

func newReplay(t *testing.T, slots int) *replay {
	r := &replay{I: is.New(t), machine: New(testOptions()), now: epoch, refused: make(map[call.ID]Refuse)}
	r.step(SetTarget{Slots: slots, QueueLength: 100, QueueTimeout: time.Minute, FixedLimit: true, Ready: true})
	return r
}

func (r *replay) step(event Event) {
	for _, action := range r.machine.Step(r.now, event) {
		switch a := action.(type) {
		case Start:
			r.started = append(r.started, a.ID)
		case Refuse:
			r.refused[a.ID] = a
		}
	}
}

func (r *replay) arrive(e Arrive) call.ID {
	r.counter++
	e.ID, e.GateIncarnation = call.ID{Entry: "a", Counter: r.counter}, 3
	if e.Deadline.IsZero() {
		e.Deadline = r.now.Add(time.Minute)
	}
	r.step(e)
	return e.ID
}

// learn lets the machine measure a route's service time.
func (r *replay) learn(route string, took time.Duration) {
	for range 50 {
		id := r.arrive(Arrive{Route: route})
		r.now = r.now.Add(took)
		r.step(Finished{ID: id, Result: Completed})
	}
	r.started = nil
}

func (r *replay) finish(id call.ID) { r.step(Finished{ID: id, Result: Completed}) }

// TestNestedCallsGoFirst replays parents that hold slots elsewhere: their calls
// start before whatever waits, then the most urgent.
func TestNestedCallsGoFirst(t *testing.T) {
	r := newReplay(t, 1)
	running := r.arrive(Arrive{})
	later := r.arrive(Arrive{Priority: 2})
	urgent := r.arrive(Arrive{Priority: 1})
	nested := r.arrive(Arrive{Nested: true, Priority: 5})
	r.finish(running)
	r.finish(nested)
	r.finish(urgent)
	r.Equal(r.started, []call.ID{running, nested, urgent, later})
}

// TestWaitsForAShareOfTheAim replays a burst: calls wait only while they are
// likely to be answered in time, and the rest is refused at once with when to
// come back, spread over the callers.
func TestWaitsForAShareOfTheAim(t *testing.T) {
	r := newReplay(t, 10)
	r.learn("sheets", 100*time.Millisecond)
	var burst []call.ID
	for range 100 {
		burst = append(burst, r.arrive(Arrive{Route: "sheets", SoftDeadline: r.now.Add(300 * time.Millisecond)}))
	}
	r.Equal(len(r.started), 10)
	waiting := len(burst) - len(r.started) - len(r.refused)
	// Ten slots start one call each 10 ms; a fifth of the 200 ms beside the work
	// is 40 ms.
	r.True(waiting >= 3 && waiting <= 4)
	times := make(map[time.Duration]bool)
	for _, refuse := range r.refused {
		r.Equal(refuse.Outcome, call.NotRun)
		r.True(refuse.RetryAfter > 0)
		times[refuse.RetryAfter] = true
	}
	r.True(len(times) > 8)
}

// TestOvertakenCallsAreRefusedAtOnce replays urgent calls that arrive at a gate
// with a full queue: those that will not start in time any more are told so when
// that is known.
func TestOvertakenCallsAreRefusedAtOnce(t *testing.T) {
	r := newReplay(t, 1)
	r.learn("r", 100*time.Millisecond)
	r.arrive(Arrive{Route: "r"})
	waits := r.arrive(Arrive{Route: "r", Priority: 2, Deadline: r.now.Add(350 * time.Millisecond)})
	_, refused := r.refused[waits]
	r.True(!refused)
	for range 3 {
		r.arrive(Arrive{Route: "r", Priority: 1})
	}
	refuse, refused := r.refused[waits]
	r.True(refused)
	r.Equal(refuse.Reason, call.ReasonTooLate)
}

// TestExactSlotsStayUsed replays a target that fails part of its calls and slows
// down: with exact slots no slot is left empty for it.
func TestExactSlotsStayUsed(t *testing.T) {
	r := newReplay(t, 20)
	for i := range 400 {
		id := r.arrive(Arrive{Route: "r"})
		r.now = r.now.Add(time.Duration(10+i) * time.Millisecond)
		result := Completed
		if i%2 == 0 {
			result = RejectedByTarget
		}
		r.step(Finished{ID: id, Result: result})
	}
	r.Equal(r.machine.Limit(), 20)
}

// TestShorterAimsGoFirst replays two kinds of equal priority on a target that is
// too small for both: more calls are answered in time when those whose answers
// are wanted sooner go first.
func TestShorterAimsGoFirst(t *testing.T) {
	r := newReplay(t, 1)
	r.learn("list", 64*time.Millisecond)
	r.learn("check", 40*time.Millisecond)
	running := r.arrive(Arrive{})
	list := r.arrive(Arrive{Route: "list", Priority: 2, SoftDeadline: r.now.Add(2 * time.Second)})
	check := r.arrive(Arrive{Route: "check", Priority: 2, SoftDeadline: r.now.Add(1200 * time.Millisecond)})
	again := r.arrive(Arrive{Route: "check", Priority: 2, SoftDeadline: r.now.Add(1190 * time.Millisecond)})
	r.finish(running)
	r.finish(check)
	r.finish(again)
	r.Equal(r.started, []call.ID{running, check, again, list})
}

// TestSlowTargetDoesNotHoldCalls replays a target that is too slow for the aim:
// calls wait a share of their deadline at most, so that another can take them.
func TestSlowTargetDoesNotHoldCalls(t *testing.T) {
	r := newReplay(t, 2)
	r.learn("sheets", 400*time.Millisecond)
	for range 20 {
		r.arrive(Arrive{Route: "sheets", SoftDeadline: r.now.Add(300 * time.Millisecond), Deadline: r.now.Add(1200 * time.Millisecond)})
	}
	waiting := 20 - len(r.started) - len(r.refused)
	r.Equal(waiting, 0) // a fifth of 800 ms, at one start each 200 ms
}

// TestLastingOverloadStretchesRetryAfter replays a retry storm: the fewer calls
// find room, the later the others are told to come back.
func TestLastingOverloadStretchesRetryAfter(t *testing.T) {
	r := newReplay(t, 1)
	r.learn("r", 100*time.Millisecond)
	r.arrive(Arrive{Route: "r"})
	var first, last time.Duration
	for range 400 {
		id := r.arrive(Arrive{Route: "r", SoftDeadline: r.now.Add(150 * time.Millisecond)})
		refuse, refused := r.refused[id]
		r.True(refused)
		if first == 0 {
			first = refuse.RetryAfter
		}
		last = refuse.RetryAfter
	}
	r.True(last > 2*first)
}

// TestInTimeOrNotAtAll replays a target that has turned slow: it takes no call
// that wants its answer in time, free slots or not, and the same call when a late
// answer will do.
func TestInTimeOrNotAtAll(t *testing.T) {
	r := newReplay(t, 2)
	r.learn("sheets", 500*time.Millisecond)
	aim := r.now.Add(300 * time.Millisecond)
	wanted := r.arrive(Arrive{Route: "sheets", SoftDeadline: aim, RequireSoftDeadline: true})
	r.Equal(r.refused[wanted].Reason, call.ReasonTooLate)
	taken := r.arrive(Arrive{Route: "sheets", SoftDeadline: aim})
	r.Equal(r.started, []call.ID{taken})
}

// TestFreshGateExpectsWork replays the return of all callers to a gate that has
// just started: it has measured nothing yet and still keeps only as many waiting
// as it is likely to answer in time.
func TestFreshGateExpectsWork(t *testing.T) {
	r := newReplay(t, 10)
	for range 200 {
		r.arrive(Arrive{Route: "sheets", SoftDeadline: r.now.Add(300 * time.Millisecond)})
	}
	waiting := 200 - len(r.started) - len(r.refused)
	r.True(waiting <= 10) // ten slots of 100 ms, and 66 ms to wait
}

// TestFullQueueYieldsToUrgentCalls replays calls that arrive at a full queue: the
// last call that ranks behind them makes room and is told so at once, but one
// background call is left to have its share.
func TestFullQueueYieldsToUrgentCalls(t *testing.T) {
	r := newReplay(t, 1)
	r.step(SetTarget{Slots: 1, QueueLength: 3, QueueTimeout: time.Minute, FixedLimit: true, Ready: true})
	r.arrive(Arrive{})
	var searches []call.ID
	for range 3 {
		searches = append(searches, r.arrive(Arrive{Background: true}))
	}
	r.Equal(len(r.refused), 0)
	for _, victim := range []call.ID{searches[2], searches[1]} {
		r.arrive(Arrive{Priority: 1})
		r.Equal(r.refused[victim].Reason, call.ReasonQueueFull)
		r.Equal(r.refused[victim].Outcome, call.NotRun)
		r.True(r.refused[victim].RetryAfter > 0)
	}
	r.Equal(len(r.refused), 2)
	like := r.arrive(Arrive{Priority: 1}) // two like it wait, and one search
	r.Equal(r.refused[like].Reason, call.ReasonQueueFull)
	urgent := r.arrive(Arrive{})
	_, refused := r.refused[urgent]
	r.True(!refused)
	r.Equal(len(r.refused), 4) // a call of priority 1 made room
	late := r.arrive(Arrive{Background: true})
	r.Equal(r.refused[late].Reason, call.ReasonQueueFull)
	_, refused = r.refused[searches[0]]
	r.True(!refused)
}

// TestFullQueueYieldsNothingToLateCalls holds that a call which would not start
// in time takes nobody's place.
func TestFullQueueYieldsNothingToLateCalls(t *testing.T) {
	r := newReplay(t, 1)
	r.learn("r", 100*time.Millisecond)
	r.step(SetTarget{Slots: 1, QueueLength: 3, QueueTimeout: time.Minute, FixedLimit: true, Ready: true})
	r.arrive(Arrive{Route: "r"})
	for range 3 {
		r.arrive(Arrive{Route: "r", Background: true})
	}
	late := r.arrive(Arrive{Route: "r", Deadline: r.now.Add(110 * time.Millisecond)})
	r.Equal(r.refused[late].Reason, call.ReasonTooLate)
	r.Equal(len(r.refused), 1)
}
