package gate

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"jasminegate/internal/coordination/call"
)

// limitedTarget drives a simulation whose target names a rate limit. It runs each
// started call for serviceTime and records when calls started.
type limitedTarget struct {
	*simulation
	serviceTime time.Duration
	starts      []time.Time
	ends        map[call.ID]time.Time
}

func newLimitedTarget(t *testing.T, slots int, serviceTime time.Duration) *limitedTarget {
	return &limitedTarget{simulation: newSimulation(t, slots), serviceTime: serviceTime, ends: make(map[call.ID]time.Time)}
}

// tick is the resolution of the simulated time.
const tick = 5 * time.Millisecond

// run lets the time pass; each is called at every tick.
func (l *limitedTarget) run(duration time.Duration, each func()) {
	for end := l.now.Add(duration); l.now.Before(end); l.now = l.now.Add(tick) {
		for id, at := range l.ends {
			if !l.now.Before(at) {
				delete(l.ends, id)
				l.finish(id)
			}
		}
		if wake, ok := l.machine.NextWake(); ok && !l.now.Before(wake) {
			l.step(Tick{})
		}
		each()
		for _, id := range l.started {
			l.starts = append(l.starts, l.now)
			l.ends[id] = l.now.Add(l.serviceTime)
		}
		l.started = nil
	}
}

// arriveAt returns a function for run that lets calls arrive at the rate, one by one.
func (l *limitedTarget) arriveAt(perSecond float64, e Arrive) func() {
	due := 0.0
	return func() {
		for due += perSecond * tick.Seconds(); due >= 1; due-- {
			e.Deadline = l.now.Add(3 * time.Second)
			l.arrive(e)
		}
	}
}

// mostIn returns the most calls that started within any window, from the given time.
func (l *limitedTarget) mostIn(window time.Duration, from time.Time) int {
	most := 0
	for i, first := range l.starts {
		count := 0
		for _, at := range l.starts[i:] {
			if at.Sub(first) < window {
				count++
			}
		}
		if !first.Before(from) {
			most = max(most, count)
		}
	}
	return most
}

// callsAboveLimit is how many calls a target may get above its limit in any window.
const callsAboveLimit = 5

// TestStartsExceedRateLimit names, changes and withdraws limits at random under
// changing load: within each period of one limit, the target gets what the limit
// allows and at most callsAboveLimit calls more.
func TestStartsExceedRateLimit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		l := newLimitedTarget(t, rapid.IntRange(1, 20).Draw(rt, "slots"), 100*time.Millisecond)
		for range rapid.IntRange(1, 4).Draw(rt, "periods") {
			limit := rapid.Float64Range(0.2, 60).Draw(rt, "limit")
			l.step(SetRateLimit{Limited: true, PerSecond: limit})
			named := l.now
			for range rapid.IntRange(1, 3).Draw(rt, "loads") {
				load := rapid.Float64Range(0, 200).Draw(rt, "load")
				l.run(time.Duration(rapid.IntRange(100, 3000).Draw(rt, "ms"))*time.Millisecond, l.arriveAt(load, Arrive{}))
			}
			for _, window := range []time.Duration{500 * time.Millisecond, time.Second, 4 * time.Second} {
				allowed := limit*window.Seconds() + callsAboveLimit
				if most := l.mostIn(window, named); float64(most) > allowed {
					rt.Fatalf("%d calls started within %v at a limit of %v, allowed %v", most, window, limit, allowed)
				}
			}
			l.step(SetRateLimit{})
			l.run(200*time.Millisecond, l.arriveAt(100, Arrive{}))
			l.starts = nil
		}
	})
}

// TestRateLimitIsUsed verifies that a target at its limit gets nearly as many calls as
// it takes, also when calls wait for only a fifth of their slack.
func TestRateLimitIsUsed(t *testing.T) {
	for _, limit := range []float64{4.5, 9.3, 20} {
		l := newLimitedTarget(t, 6, 160*time.Millisecond)
		l.step(SetRateLimit{Limited: true, PerSecond: limit})
		call := Arrive{Route: "riders"}
		arrive := l.arriveAt(3*limit, call)
		l.run(20*time.Second, func() {
			call.SoftDeadline = l.now.Add(500 * time.Millisecond)
			arrive()
		})
		l.True(float64(len(l.starts)) >= 0.95*20*limit)
	}
}

// TestCallsOverRateLimitAreRefusedAtOnce verifies what a caller over the limit gets:
// at once, that the call did not run and when to come back, which is spread.
func TestCallsOverRateLimitAreRefusedAtOnce(t *testing.T) {
	l := newLimitedTarget(t, 6, 160*time.Millisecond)
	l.measureRoute("riders", 160*time.Millisecond)
	l.step(SetRateLimit{Limited: true, PerSecond: 2})
	delays := make(map[time.Duration]bool)
	for range 40 {
		id := l.arrive(Arrive{Route: "riders", SoftDeadline: l.now.Add(500 * time.Millisecond), Deadline: l.now.Add(3 * time.Second)})
		refuse, refused := l.refused[id]
		l.True(refused)
		l.Equal(refuse.Outcome, call.NotRun)
		l.Equal(refuse.Reason, call.ReasonRateLimited)
		l.True(refuse.RetryAfter >= 300*time.Millisecond) // a call starts each 500 ms
		l.True(refuse.RetryAfter <= maxRateLimitedRetryAfter*5/4)
		delays[refuse.RetryAfter] = true
	}
	l.True(len(delays) > 8)
}

// TestLiftedRateLimitLetsHerdIn verifies that a target which withdraws its limit does
// not get all callers back at once: the rate rises over seconds to its capacity.
func TestLiftedRateLimitLetsHerdIn(t *testing.T) {
	l := newLimitedTarget(t, 20, 100*time.Millisecond)
	l.measureRoute("r", 100*time.Millisecond) // the capacity is 200 calls a second
	l.step(SetRateLimit{Limited: true, PerSecond: 5})
	l.run(4*time.Second, l.arriveAt(400, Arrive{Route: "r"}))
	l.step(SetRateLimit{})
	lifted := l.now
	l.run(6*time.Second, l.arriveAt(400, Arrive{Route: "r"}))
	within := func(from, to time.Duration) int {
		count := 0
		for _, at := range l.starts {
			if !at.Before(lifted.Add(from)) && at.Before(lifted.Add(to)) {
				count++
			}
		}
		return count
	}
	l.True(within(0, time.Second) <= 50)               // an eighth of 200, doubling
	l.True(within(0, time.Second) >= 20)               // not held back for longer than needed
	l.True(within(4*time.Second, 5*time.Second) > 180) // the whole capacity again
}

// TestTargetThatTakesNothingIsTriedAgain verifies that a limit of 0 still lets some
// calls start: only a response can withdraw it.
func TestTargetThatTakesNothingIsTriedAgain(t *testing.T) {
	l := newLimitedTarget(t, 6, 100*time.Millisecond)
	l.step(SetRateLimit{Limited: true, PerSecond: 0})
	l.run(20*time.Second, l.arriveAt(10, Arrive{}))
	l.True(len(l.starts) >= 3 && len(l.starts) <= 5)
}

// TestNestedCallsGoFirstUnderRateLimit verifies that the calls a limit allows go to
// running requests first, whose slots elsewhere wait for them.
func TestNestedCallsGoFirstUnderRateLimit(t *testing.T) {
	l := newLimitedTarget(t, 6, 100*time.Millisecond)
	l.step(SetRateLimit{Limited: true, PerSecond: 1})
	l.arrive(Arrive{})
	nested := l.arrive(Arrive{Nested: true})
	l.run(1100*time.Millisecond, func() {
		for _, id := range l.started {
			l.Equal(id, nested)
		}
	})
	l.Equal(len(l.starts), 1)
}

// TestResentCallsCountForRateLimit verifies that a request which the HTTP client sends
// again by itself takes a call of the limit.
func TestResentCallsCountForRateLimit(t *testing.T) {
	l := newLimitedTarget(t, 6, 100*time.Millisecond)
	l.step(SetRateLimit{Limited: true, PerSecond: 1})
	l.run(2*time.Second, func() {})
	id := l.arrive(Arrive{Nested: true})
	for range 3 {
		l.step(Resent{ID: id})
	}
	l.run(10*time.Second, l.arriveAt(5, Arrive{}))
	l.True(len(l.starts) >= 6 && len(l.starts) <= 9) // 10 and the burst, less the resent ones
}

// TestRateLimitIsReportedAsLoad verifies that entries see a target at its limit as
// full, although its slots are free.
func TestRateLimitIsReportedAsLoad(t *testing.T) {
	l := newLimitedTarget(t, 6, 10*time.Millisecond)
	l.Equal(l.machine.ReportedLoad(), 0)
	l.step(SetRateLimit{Limited: true, PerSecond: 10})
	l.run(5*time.Second, l.arriveAt(40, Arrive{SoftDeadline: l.now.Add(time.Hour)}))
	l.True(l.machine.ReportedLoad() >= 5)
	l.run(5*time.Second, l.arriveAt(3, Arrive{}))
	l.True(l.machine.ReportedLoad() <= 3)
}

// TestAnotherProcessHasNoRateLimit verifies that a limit ends with its process.
func TestAnotherProcessHasNoRateLimit(t *testing.T) {
	l := newLimitedTarget(t, 6, 100*time.Millisecond)
	l.step(SetRateLimit{Limited: true, PerSecond: 0.5})
	l.run(time.Second, l.arriveAt(20, Arrive{}))
	l.step(ForgetRateLimit{})
	before := len(l.starts)
	l.run(time.Second, l.arriveAt(20, Arrive{}))
	l.True(len(l.starts)-before >= 20)
}
