package entry

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"jasminegate/internal/coordination/call"
)

// localFirst returns a driver whose calls leave the own domain only after its
// gates refused them.
func localFirst() *driver {
	d := &driver{now: start, machine: New(Options{Node: "n", Incarnation: 1, Domain: "near", RetryRatio: 0.1, OverloadTries: 3, Seed: 1})}
	d.machine.Step(d.now, SetEndpoints{append(endpoints("near", 0, 2), endpoints("far", 0, 2)...)})
	d.now = d.now.Add(slowStartWindow)
	return d
}

func (d *driver) refuse(reason call.Reason, load int) Action {
	return d.machine.Step(d.now, Refused{Handle: d.handle, Outcome: call.NotRun, Reason: reason, Load: load, RetryAfter: time.Second})[0]
}

// TestRefusedCallIsOfferedOn holds that a call which its domain's gates refuse
// goes to each of them once and then to another domain with room, without any
// retry from the budget.
func TestRefusedCallIsOfferedOn(t *testing.T) {
	is := is.New(t)
	d := localFirst()
	for _, e := range d.machine.endpoints {
		d.machine.Step(d.now, Probed{Endpoint: e.ID, Load: 10, At: d.now})
	}
	d.machine.Step(d.now, Probed{Endpoint: "far-1", Load: 1, At: d.now})
	first := d.begin(false).(Send)
	is.Equal(first.Endpoint.Domain, "near") // full, and still asked first
	second := d.refuse(call.ReasonTooLate, 12).(Send)
	is.Equal(second.Endpoint.Domain, "near")
	is.True(second.Endpoint.ID != first.Endpoint.ID)
	third := d.refuse(call.ReasonQueueFull, 12).(Send)
	is.Equal(third.Endpoint.ID, "far-1") // the one with room
	is.Equal(d.machine.Charged(), uint64(0))
	late := d.refuse(call.ReasonTooLate, 12).(Send)
	is.True(third.InTime)
	is.True(!late.InTime) // nobody answers in time: one may answer late
	is.Equal(late.Endpoint.Domain, "near")
	fail := d.refuse(call.ReasonTooLate, 12).(Fail)
	is.Equal(fail.Outcome, call.NotRun)
	is.Equal(fail.RetryAfter, time.Second)
}

// TestOverloadStaysAtHome holds that calls which all of a loaded fleet would
// refuse cost no message between domains.
func TestOverloadStaysAtHome(t *testing.T) {
	is := is.New(t)
	d := localFirst()
	for _, e := range d.machine.endpoints {
		d.machine.Step(d.now, Probed{Endpoint: e.ID, Load: 10, At: d.now})
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
	is.Equal(sends, 3) // each gate at home, and one of them for a late answer
}

// TestShedCallUsesTheBudget holds that a call which the target itself rejected is
// sent on by the budget only: it was work for a target.
func TestShedCallUsesTheBudget(t *testing.T) {
	is := is.New(t)
	d := localFirst()
	d.begin(false)
	_, waits := d.refuse(call.ReasonTargetShed, 1).(Wait)
	is.True(waits)
	is.Equal(d.machine.Charged(), uint64(1))
}
