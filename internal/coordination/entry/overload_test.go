package entry

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"jasminegate/internal/coordination/call"
)

// localFirst returns a driver whose calls leave the local domain only after
// its gates refused them.
func localFirst() *driver {
	d := &driver{now: start, machine: New(Options{Node: "n", Incarnation: 1, Domain: "near", RetryRatio: 0.1, OverloadTries: 3, Seed: 1})}
	d.machine.Step(d.now, SetEndpoints{append(endpoints("near", 0, 2), endpoints("far", 0, 2)...)})
	d.now = d.now.Add(slowStartWindow)
	return d
}

func (d *driver) refuse(reason call.Reason, load int) Action {
	return d.machine.Step(d.now, Refused{Handle: d.handle, Outcome: call.NotRun, Reason: reason, Load: load, RetryAfter: time.Second})[0]
}

// TestRefusedCallTriesOtherGates checks that a call refused for overload goes once
// to each gate of the local domain, then to a gate with spare capacity in another
// domain, then to a local gate that may respond late, and then fails. The retries
// before the late one must take no token of the budget.
func TestRefusedCallTriesOtherGates(t *testing.T) {
	is := is.New(t)
	d := localFirst()
	for _, e := range d.machine.endpoints {
		d.machine.Step(d.now, PeerLoadReceived{Endpoint: e.ID, Load: 10, At: d.now})
	}
	d.machine.Step(d.now, PeerLoadReceived{Endpoint: "far-1", Load: 1, At: d.now})
	first := d.begin(false).(Send)
	is.Equal(first.Endpoint.Domain, "near") // tried first although it is full
	second := d.refuse(call.ReasonTooLate, 12).(Send)
	is.Equal(second.Endpoint.Domain, "near")
	is.True(second.Endpoint.ID != first.Endpoint.ID)
	third := d.refuse(call.ReasonQueueFull, 12).(Send)
	is.Equal(third.Endpoint.ID, "far-1") // the gate with spare capacity
	is.Equal(d.machine.ChargedRetries(), uint64(0))
	late := d.refuse(call.ReasonTooLate, 12).(Send)
	is.True(third.RequireSoftDeadline)
	is.True(!late.RequireSoftDeadline) // no gate meets the soft deadline: a late response is accepted
	is.Equal(late.Endpoint.Domain, "near")
	fail := d.refuse(call.ReasonTooLate, 12).(Fail)
	is.Equal(fail.Outcome, call.NotRun)
	is.Equal(fail.RetryAfter, time.Second)
}

// TestOverloadSendsNothingToOtherDomains checks that a call which every gate would
// refuse, because all are full, is not sent to another domain.
func TestOverloadSendsNothingToOtherDomains(t *testing.T) {
	is := is.New(t)
	d := localFirst()
	for _, e := range d.machine.endpoints {
		d.machine.Step(d.now, PeerLoadReceived{Endpoint: e.ID, Load: 10, At: d.now})
	}
	d.begin(true)
	sends := 1
	for {
		send, again := d.refuse(call.ReasonTooLate, 12).(Send)
		if !again {
			break
		}
		sends++
		is.Equal(send.Endpoint.Domain, "near")
	}
	is.Equal(sends, 3) // each local gate, then one of them for a late response
}

// TestTargetShedTakesRetryToken checks that the retry of a call which the target
// itself rejected takes a token of the retry budget, since the rejection cost the
// target work.
func TestTargetShedTakesRetryToken(t *testing.T) {
	is := is.New(t)
	d := localFirst()
	d.begin(false)
	_, waits := d.refuse(call.ReasonTargetShed, 1).(Wait)
	is.True(waits)
	is.Equal(d.machine.ChargedRetries(), uint64(1))
}
