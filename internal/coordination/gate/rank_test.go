package gate

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"jasminegate/internal/coordination/call"
)

// simulation drives a machine with a fixed limit in virtual time and records the
// calls that it starts and refuses.
type simulation struct {
	*is.I
	machine *Machine
	now     time.Time
	counter uint64
	started []call.ID
	refused map[call.ID]Refuse
}

func newSimulation(t *testing.T, slots int) *simulation {
	r := &simulation{I: is.New(t), machine: New(testOptions()), now: epoch, refused: make(map[call.ID]Refuse)}
	r.step(SetTarget{Slots: slots, QueueLength: 100, QueueTimeout: time.Minute, FixedLimit: true, Ready: true})
	return r
}

func (r *simulation) step(event Event) {
	for _, action := range r.machine.Step(r.now, event) {
		switch a := action.(type) {
		case Start:
			r.started = append(r.started, a.ID)
		case Refuse:
			r.refused[a.ID] = a
		}
	}
}

func (r *simulation) arrive(e Arrive) call.ID {
	r.counter++
	e.ID, e.GateIncarnation = call.ID{Entry: "a", Counter: r.counter}, 3
	if e.Deadline.IsZero() {
		e.Deadline = r.now.Add(time.Minute)
	}
	r.step(e)
	return e.ID
}

// measureRoute runs 50 calls so that the machine measures the route's service time.
func (r *simulation) measureRoute(route string, serviceTime time.Duration) {
	for range 50 {
		id := r.arrive(Arrive{Route: route})
		r.now = r.now.Add(serviceTime)
		r.step(Finished{ID: id, Result: Completed})
	}
	r.started = nil
}

func (r *simulation) finish(id call.ID) { r.step(Finished{ID: id, Result: Completed}) }

// TestNestedCallsGoFirst guards against slots that stay occupied because the parent
// request waits for a queued call: nested calls start first, then calls by priority.
func TestNestedCallsGoFirst(t *testing.T) {
	r := newSimulation(t, 1)
	running := r.arrive(Arrive{})
	later := r.arrive(Arrive{Priority: 2})
	urgent := r.arrive(Arrive{Priority: 1})
	nested := r.arrive(Arrive{Nested: true, Priority: 5})
	r.finish(running)
	r.finish(nested)
	r.finish(urgent)
	r.Equal(r.started, []call.ID{running, nested, urgent, later})
}

// TestQueueTimeIsLimitedToShareOfSlack sends a burst. Only calls that are likely to be
// answered in time are queued. The others are refused immediately, with retry delays
// that are spread so that they are not retried together.
func TestQueueTimeIsLimitedToShareOfSlack(t *testing.T) {
	r := newSimulation(t, 10)
	r.measureRoute("sheets", 100*time.Millisecond)
	var burst []call.ID
	for range 100 {
		burst = append(burst, r.arrive(Arrive{Route: "sheets", SoftDeadline: r.now.Add(300 * time.Millisecond)}))
	}
	r.Equal(len(r.started), 10)
	queued := len(burst) - len(r.started) - len(r.refused)
	// Ten slots start one call every 10 ms; a fifth of the 200 ms of slack is 40 ms.
	r.True(queued >= 3 && queued <= 4)
	times := make(map[time.Duration]bool)
	for _, refuse := range r.refused {
		r.Equal(refuse.Outcome, call.NotRun)
		r.True(refuse.RetryAfter > 0)
		times[refuse.RetryAfter] = true
	}
	r.True(len(times) > 8)
}

// TestOvertakenCallsAreRefusedAtOnce queues urgent calls ahead of another call, which
// then cannot start in time. That call is refused immediately, not only when it expires.
func TestOvertakenCallsAreRefusedAtOnce(t *testing.T) {
	r := newSimulation(t, 1)
	r.measureRoute("r", 100*time.Millisecond)
	r.arrive(Arrive{Route: "r"})
	overtaken := r.arrive(Arrive{Route: "r", Priority: 2, Deadline: r.now.Add(350 * time.Millisecond)})
	_, refused := r.refused[overtaken]
	r.True(!refused)
	for range 3 {
		r.arrive(Arrive{Route: "r", Priority: 1})
	}
	refuse, refused := r.refused[overtaken]
	r.True(refused)
	r.Equal(refuse.Reason, call.ReasonTooLate)
}

// TestFixedLimitIgnoresOverloadSignals guards against unused slots: with a fixed limit,
// a target that rejects half of its calls and slows down can still use all slots.
func TestFixedLimitIgnoresOverloadSignals(t *testing.T) {
	r := newSimulation(t, 20)
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

// TestEarlierSoftDeadlineGoesFirst queues calls of two routes with equal priority.
// When the target has no capacity for both, more calls are answered in time if those
// with earlier soft deadlines start first.
func TestEarlierSoftDeadlineGoesFirst(t *testing.T) {
	r := newSimulation(t, 1)
	r.measureRoute("list", 64*time.Millisecond)
	r.measureRoute("check", 40*time.Millisecond)
	running := r.arrive(Arrive{})
	list := r.arrive(Arrive{Route: "list", Priority: 2, SoftDeadline: r.now.Add(2 * time.Second)})
	check := r.arrive(Arrive{Route: "check", Priority: 2, SoftDeadline: r.now.Add(1200 * time.Millisecond)})
	secondCheck := r.arrive(Arrive{Route: "check", Priority: 2, SoftDeadline: r.now.Add(1190 * time.Millisecond)})
	r.finish(running)
	r.finish(check)
	r.finish(secondCheck)
	r.Equal(r.started, []call.ID{running, check, secondCheck, list})
}

// TestSlowTargetDoesNotQueueCalls uses a target that is too slow for the soft
// deadline. The queueing time is then limited to a share of the slack to the hard
// deadline, so that another gate can take the calls.
func TestSlowTargetDoesNotQueueCalls(t *testing.T) {
	r := newSimulation(t, 2)
	r.measureRoute("sheets", 400*time.Millisecond)
	for range 20 {
		r.arrive(Arrive{Route: "sheets", SoftDeadline: r.now.Add(300 * time.Millisecond), Deadline: r.now.Add(1200 * time.Millisecond)})
	}
	queued := 20 - len(r.started) - len(r.refused)
	r.Equal(queued, 0) // a fifth of 800 ms, at one start every 200 ms
}

// TestLongOverloadExtendsRetryAfter simulates a retry storm: the retry delay grows as
// the admission ratio falls.
func TestLongOverloadExtendsRetryAfter(t *testing.T) {
	r := newSimulation(t, 1)
	r.measureRoute("r", 100*time.Millisecond)
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

// TestSlowTargetRefusesCallThatRequiresSoftDeadline uses a target that cannot meet the soft
// deadline. A call that requires it is refused even if slots are free; a call that
// does not is started.
func TestSlowTargetRefusesCallThatRequiresSoftDeadline(t *testing.T) {
	r := newSimulation(t, 2)
	r.measureRoute("sheets", 500*time.Millisecond)
	softDeadline := r.now.Add(300 * time.Millisecond)
	required := r.arrive(Arrive{Route: "sheets", SoftDeadline: softDeadline, RequireSoftDeadline: true})
	r.Equal(r.refused[required].Reason, call.ReasonTooLate)
	optional := r.arrive(Arrive{Route: "sheets", SoftDeadline: softDeadline})
	r.Equal(r.started, []call.ID{optional})
}

// TestNewGateLimitsQueueBeforeFirstResponse sends the calls of all callers to a gate that
// has just started. It has no measured service times and must still queue only calls
// that are likely to be answered in time.
func TestNewGateLimitsQueueBeforeFirstResponse(t *testing.T) {
	r := newSimulation(t, 10)
	for range 200 {
		r.arrive(Arrive{Route: "sheets", SoftDeadline: r.now.Add(300 * time.Millisecond)})
	}
	queued := 200 - len(r.started) - len(r.refused)
	r.True(queued <= 10) // ten slots of 100 ms, and a fifth of 200 ms of slack in the queue
}

// TestFullQueueDisplacesLowerRankedCalls sends calls to a full queue. Each displaces the
// last call ranked behind it, which is refused immediately. One background call always
// stays, so that the background class keeps its share.
func TestFullQueueDisplacesLowerRankedCalls(t *testing.T) {
	r := newSimulation(t, 1)
	r.step(SetTarget{Slots: 1, QueueLength: 3, QueueTimeout: time.Minute, FixedLimit: true, Ready: true})
	r.arrive(Arrive{})
	var background []call.ID
	for range 3 {
		background = append(background, r.arrive(Arrive{Background: true}))
	}
	r.Equal(len(r.refused), 0)
	for _, displaced := range []call.ID{background[2], background[1]} {
		r.arrive(Arrive{Priority: 1})
		r.Equal(r.refused[displaced].Reason, call.ReasonQueueFull)
		r.Equal(r.refused[displaced].Outcome, call.NotRun)
		r.True(r.refused[displaced].RetryAfter > 0)
	}
	r.Equal(len(r.refused), 2)
	equal := r.arrive(Arrive{Priority: 1}) // two of equal rank and one background call are queued
	r.Equal(r.refused[equal].Reason, call.ReasonQueueFull)
	urgent := r.arrive(Arrive{})
	_, refused := r.refused[urgent]
	r.True(!refused)
	r.Equal(len(r.refused), 4) // a call of priority 1 was displaced
	late := r.arrive(Arrive{Background: true})
	r.Equal(r.refused[late].Reason, call.ReasonQueueFull)
	_, refused = r.refused[background[0]]
	r.True(!refused)
}

// TestLateCallDisplacesNothing checks that a call that would not start in time does
// not displace a queued call.
func TestLateCallDisplacesNothing(t *testing.T) {
	r := newSimulation(t, 1)
	r.measureRoute("r", 100*time.Millisecond)
	r.step(SetTarget{Slots: 1, QueueLength: 3, QueueTimeout: time.Minute, FixedLimit: true, Ready: true})
	r.arrive(Arrive{Route: "r"})
	for range 3 {
		r.arrive(Arrive{Route: "r", Background: true})
	}
	late := r.arrive(Arrive{Route: "r", Deadline: r.now.Add(110 * time.Millisecond)})
	r.Equal(r.refused[late].Reason, call.ReasonTooLate)
	r.Equal(len(r.refused), 1)
}
