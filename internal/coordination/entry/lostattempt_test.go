package entry

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"jasminegate/internal/coordination/call"
)

// loseThenRefuse begins an idempotent call, loses its first attempt to a gate that went silent,
// and lets every other gate refuse it. It returns the first attempt and the action after the
// last refusal.
func loseThenRefuse(d *driver, is *is.I) (first Send, last Action) {
	d.handle++
	first = d.machine.Step(d.now, Begin{Handle: d.handle, Service: "depot", Idempotent: true, Deadline: d.now.Add(10 * time.Second), MaxAttempts: 2})[0].(Send)
	d.now = d.now.Add(500 * time.Millisecond)
	_, waits := d.machine.Step(d.now, ConnectionLost{Handle: d.handle})[0].(Wait)
	is.True(waits)
	last = d.machine.Step(d.now, Resume{Handle: d.handle})[0]
	for range 10 {
		if _, ok := last.(Send); !ok {
			return first, last
		}
		last = d.refuse(call.ReasonQueueFull, 12)
	}
	return first, last
}

// TestSlowGateIsGivenUpWhereOthersAreFull checks that a call whose gate was silent for a while, and
// which no other gate takes, gets the response of the first one.
func TestSlowGateIsGivenUpWhereOthersAreFull(t *testing.T) {
	is := is.New(t)
	d := localFirst()
	first, last := loseThenRefuse(d, is)
	fetch, ok := last.(Resolve)
	is.True(ok) // the gate is asked before the caller is told that nothing is known
	is.Equal(fetch.ID, first.ID)
	is.Equal(fetch.Endpoint, first.Endpoint)
	d.machine.Step(d.now, ResponseReceived{Handle: d.handle, Load: 1})
	d.machine.Step(d.now, End{Handle: d.handle})
	is.Equal(d.machine.InFlight(), 0)
}

// TestSlowGateSaysThatCallDidNotRun checks the outcome if the lost attempt turns out as not run, as
// the others did.
func TestSlowGateSaysThatCallDidNotRun(t *testing.T) {
	is := is.New(t)
	d := localFirst()
	_, last := loseThenRefuse(d, is)
	_, ok := last.(Resolve)
	is.True(ok)
	var fail Fail
	for range 10 {
		action := d.refuse(call.ReasonTooLate, 12)
		if fail, ok = action.(Fail); ok {
			break
		}
	}
	is.True(ok)
	is.Equal(fail.Outcome, call.NotRun)
}

// TestLostAttemptIsAskedForOnce checks that a gate that stays silent ends the call as unknown.
func TestLostAttemptIsAskedForOnce(t *testing.T) {
	is := is.New(t)
	d := localFirst()
	_, last := loseThenRefuse(d, is)
	for range 20 {
		switch a := last.(type) {
		case Resolve:
			last = d.machine.Step(d.now, ConnectionLost{Handle: d.handle})[0]
		case Wait:
			last = d.machine.Step(d.now.Add(a.For), Resume{Handle: d.handle})[0]
		}
	}
	fail, ok := last.(Fail)
	is.True(ok)
	is.Equal(fail.Outcome, call.Unknown)
}

// TestSilentGateIsGivenUp lets a gate that is no endpoint any more accept connections and stay silent on
// them: for a call that is not idempotent it must be asked until the deadline. One whose connections fail is
// asked three times.
func TestSilentGateIsGivenUp(t *testing.T) {
	const asked = 20
	silent := func(h uint64) Event { return ConnectionLost{Handle: h, Silent: true} }
	for name, row := range map[string]struct {
		event func(handle uint64) Event
		after time.Duration
		want  string
	}{
		"silent after the question":  {silent, 0, "entry.Resolve"},
		"silent before the question": {func(h uint64) Event { return NotSent{Handle: h, Silent: true} }, 0, "entry.Resolve"},
		"silent at the deadline":     {silent, time.Minute, "entry.Fail"},
		"connections break":          {func(h uint64) Event { return ConnectionLost{Handle: h} }, 0, "entry.Fail"},
		"connections are refused":    {func(h uint64) Event { return NotSent{Handle: h} }, 0, "entry.Fail"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := newDriver(endpoints("near", 0, 1))
			d.begin(false)
			last := d.machine.Step(d.now, ConnectionLost{Handle: d.handle})[0]
			d.machine.Step(d.now, SetEndpoints{})
			for range asked {
				if _, ok := last.(Resolve); ok {
					last = d.machine.Step(d.now.Add(row.after), row.event(d.handle))[0]
				}
				if _, ok := last.(Wait); ok {
					last = d.machine.Step(d.now, Resume{Handle: d.handle})[0]
				}
			}
			is.Equal(fmt.Sprintf("%T", last), row.want)
		})
	}
}

// TestGateOfUnsentCallIsEjected ends a call that was not sent because its caller had left: its gate
// must get the next one.
func TestGateOfUnsentCallIsEjected(t *testing.T) {
	is := is.New(t)
	for _, reached := range []bool{true, false} {
		m := New(Options{Node: "n-1", Incarnation: 1, Seed: 1})
		now := time.Unix(0, 0)
		m.Step(now, SetEndpoints{Endpoints: []Endpoint{{ID: "g-1", Incarnation: 1, Service: "depot", Slots: 1}, {ID: "g-2", Incarnation: 1, Service: "depot", Slots: 1}}})
		first := m.Step(now, Begin{Handle: 1, Service: "depot", Deadline: now.Add(time.Second), MaxAttempts: 1})[0].(Send)
		m.Step(now, NotSent{Handle: 1, GateReached: reached})
		is.Equal(now.Before(m.endpoints[first.Endpoint.ID].ejectedUntil), !reached)
	}
}
