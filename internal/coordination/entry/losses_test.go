package entry

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"jasminegate/internal/coordination/call"
)

// TestTargetThatLosesResponsesAttractsCalls has targets that lose half of their calls at once, so that
// they have the most free slots, beside loaded ones that lose none: calls go to the latter, and so do
// all retries. A target that has recovered gets calls again.
func TestTargetThatLosesResponsesAttractsCalls(t *testing.T) {
	for _, expected := range []bool{false, true} {
		is := is.New(t)
		d := newDriver(endpoints("near", 0, 8))
		d.machine.options.ExpectedTime = expected
		losing := func(id string) bool { return id <= "near-5" }
		lost, served := 0, map[string]int{}
		play := func(loses bool) {
			for i := range 400 {
				send := d.begin(true).(Send)
				for losing(send.Endpoint.ID) && loses && i%2 == 0 {
					lost++
					wait := d.machine.Step(d.now, Refused{Handle: d.handle, Outcome: call.Unknown, Reason: call.ReasonTargetConnectionLost, LostShare: 0.5})
					d.now = d.now.Add(time.Millisecond)
					if _, failed := wait[0].(Fail); failed {
						break
					}
					send = d.machine.Step(d.now, Resume{Handle: d.handle})[0].(Send)
				}
				served[send.Endpoint.ID]++
				share, load := 0.0, 2
				if losing(send.Endpoint.ID) && loses {
					share, load = 0.5, 0
				}
				d.machine.Step(d.now, ResponseReceived{Handle: d.handle, LostShare: share, Load: load})
				d.machine.Step(d.now, End{Handle: d.handle})
				d.now = d.now.Add(5 * time.Millisecond)
			}
		}
		play(true)
		is.True(lost < 120)
		is.True(served["near-6"]+served["near-7"] > 200)
		d.now = d.now.Add(10 * time.Second)
		clear(served)
		play(false)
		is.True(served["near-6"]+served["near-7"] < 200) // the others were not forgotten
	}
}
