package entry

import (
	"testing"

	"github.com/matryer/is"

	"jasminegate/internal/coordination/call"
)

// TestRetryIsSentAsFirstAttempt verifies what an attempt says of its call after each end of the one
// before, and that a call of a repeated run says so.
func TestRetryIsSentAsFirstAttempt(t *testing.T) {
	for name, row := range map[string]struct {
		end  Event
		want call.Repeat
	}{
		"lost at the target":   {Refused{Handle: 1, Outcome: call.Unknown, Reason: call.ReasonTargetConnectionLost}, call.Retried},
		"rejected by it":       {Refused{Handle: 1, Outcome: call.NotRun, Reason: call.ReasonTargetShed}, call.Retried},
		"connection lost":      {ConnectionLost{Handle: 1}, call.Retried},
		"refused by the gate":  {Refused{Handle: 1, Outcome: call.NotRun, Reason: call.ReasonLeaving}, call.First},
		"target not reachable": {Refused{Handle: 1, Outcome: call.NotRun, Reason: call.ReasonTargetUnreachable}, call.First},
		"not sent":             {NotSent{Handle: 1}, call.First},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := newDriver(endpoints("near", 0, 4))
			is.Equal(d.begin(true).(Send).Repeat, call.First)
			action := d.machine.Step(d.now, row.end)[0]
			if _, waits := action.(Wait); waits {
				action = d.machine.Step(d.now, Resume{Handle: 1})[0]
			}
			is.Equal(action.(Send).Repeat, row.want)
		})
	}
	d := newDriver(endpoints("near", 0, 4))
	nested := d.machine.Step(d.now, Begin{Handle: 1, Service: "depot", Idempotent: true, Deadline: d.now.Add(1e9), MaxAttempts: 3, Repeated: true})
	is.New(t).Equal(nested[0].(Send).Repeat, call.Inherited)
}

// TestRepeatIsGivenUpAtFirstGateWithoutBudget verifies that a repeat is sent to two more gates at once,
// then fails with what is known of the call, and takes one token in all.
func TestRepeatIsGivenUpAtFirstGateWithoutBudget(t *testing.T) {
	is := is.New(t)
	d := newDriver(endpoints("near", 0, 6))
	first := d.begin(true).(Send)
	d.machine.Step(d.now, Refused{Handle: 1, Outcome: call.Unknown, Reason: call.ReasonTargetConnectionLost})
	action := d.machine.Step(d.now, Resume{Handle: 1})[0]
	gates := map[string]bool{first.Endpoint.ID: true}
	for range 1 + maxBudgetTries {
		send := action.(Send)
		is.True(!gates[send.Endpoint.ID]) // each gate once
		gates[send.Endpoint.ID] = true
		action = d.machine.Step(d.now, Refused{Handle: 1, Outcome: call.NotRun, Reason: call.ReasonRetryBudgetSpent})[0]
	}
	is.Equal(action.(Fail).Outcome, call.Unknown) // the first attempt may have run
	is.Equal(d.machine.ChargedRetries(), uint64(1))
}
