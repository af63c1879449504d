package entry

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"jasminegate/internal/coordination/call"
)

// runUneven lets one of four targets, one in each domain, become slower while the others have
// room, and returns the fleet after that time.
func runUneven(slowness float64, overload bool) *limitedFleet {
	f := newSheddingFleet(4, 1, overload)
	rates := []float64{20, 20, 20, 20} // a target serves 37 a second
	f.run(10*time.Second, rates)
	f.slowness = map[int]float64{1: slowness}
	f.served, f.inTime, f.failed, f.starts = 0, 0, 0, make([]int, 4)
	f.run(40*time.Second, rates)
	return f
}

// TestSlowTargetGetsCallsThatItCannotServeInTime guards against calls that are placed at a target
// because it has free slots, although it has become too slow to answer them in time.
func TestSlowTargetGetsCallsThatItCannotServeInTime(t *testing.T) {
	for _, slowness := range []float64{5, 8, 12} {
		t.Run(fmt.Sprint(slowness), func(t *testing.T) {
			is := is.New(t)
			before, got := runUneven(slowness, false), runUneven(slowness, true)
			share := func(f *limitedFleet) float64 { return float64(f.inTime) / float64(f.served+f.failed) }
			for name, f := range map[string]*limitedFleet{"before": before, "with": got} {
				t.Logf("%-6s in time %.3f, late %d, failed %d, started %v", name, share(f), f.served-f.inTime, f.failed, f.starts)
			}
			is.True(share(got) >= 0.97)
			is.True(share(got) > share(before))
		})
	}
}

// TestOverloadedFleetTriesGateAfterGate guards against requests that are sent to one full gate
// after another before they are refused.
func TestOverloadedFleetTriesGateAfterGate(t *testing.T) {
	is := is.New(t)
	var sends, medians [2]float64
	for i, overload := range []bool{false, true} {
		f := newSheddingFleet(2, 4, overload)
		rates := []float64{400, 400} // the fleet serves 300 a second
		f.run(5*time.Second, rates)
		f.refusalTimes, f.served, f.inTime, f.failed = nil, 0, 0, 0
		f.run(20*time.Second, rates)
		slices.Sort(f.refusalTimes)
		sends[i] = float64(len(f.attempts)) / float64(f.handles)
		medians[i] = f.refusalTimes[len(f.refusalTimes)/2].Seconds()
		t.Logf("overload %v: %.2f sends a try, refused after %v (median) and %v (latest), in time %d, late %d, failed %d", overload, sends[i],
			f.refusalTimes[len(f.refusalTimes)/2], f.refusalTimes[len(f.refusalTimes)-1], f.inTime, f.served-f.inTime, f.failed)
	}
	is.True(sends[1] <= sends[0]/2)
	is.True(medians[1] <= (2 * fleetHop).Seconds()) // one gate was asked
}

// TestRecoveredTargetGetsNoCalls guards against a target that is measured no more, and so gets no
// calls, after it was too slow for a while.
func TestRecoveredTargetGetsNoCalls(t *testing.T) {
	is := is.New(t)
	f := runUneven(8, true)
	f.slowness = nil
	rates := []float64{20, 20, 20, 20}
	f.run(20*time.Second, rates)
	f.starts = make([]int, 4)
	f.run(20*time.Second, rates)
	t.Log(f.starts)
	is.True(f.starts[1] >= f.starts[0]/2)
}

// TestUnevenDomainsRefuseCalls guards against calls that are late or refused in a domain with more
// load than capacity while the other domains have room.
func TestUnevenDomainsRefuseCalls(t *testing.T) {
	is := is.New(t)
	var inTime [2]float64
	for i, overload := range []bool{false, true} {
		f := newSheddingFleet(4, 5, overload)
		rates := []float64{225, 150, 150, 75} // a domain serves 187 a second
		f.run(10*time.Second, rates)
		f.served, f.inTime, f.failed = 0, 0, 0
		f.run(20*time.Second, rates)
		inTime[i] = float64(f.inTime) / float64(f.served+f.failed)
		t.Logf("overload %v: in time %.3f, late %d, failed %d", overload, inTime[i], f.served-f.inTime, f.failed)
	}
	is.True(inTime[1] >= 0.97 && inTime[1] > inTime[0])
}

// TestFrozenGateGetsCalls guards against calls that are placed at a gate that has not responded to
// those before: each is late after the silence timeout, and takes a token of the retry budget.
func TestFrozenGateGetsCalls(t *testing.T) {
	is := is.New(t)
	var inTime, sent [2]float64
	for i, overload := range []bool{false, true} {
		f := newSheddingFleet(4, 2, overload)
		rates := []float64{35, 35, 35, 35} // a domain serves 75 a second
		f.run(10*time.Second, rates)
		f.frozen = 1
		f.served, f.inTime, f.failed, f.starts = 0, 0, 0, make([]int, 8)
		f.run(20*time.Second, rates)
		inTime[i], sent[i] = float64(f.inTime)/float64(f.served+f.failed), float64(f.starts[1])
		t.Logf("overload %v: in time %.3f, late %d, failed %d, started %v", overload, inTime[i], f.served-f.inTime, f.failed, f.starts)
	}
	is.True(sent[1] <= sent[0])
	is.True(inTime[1] > inTime[0])
}

// TestRetryThatCannotEndIsSent guards against a retry with less time left than the route's calls
// take: it costs a token and work, and its caller waits in vain.
func TestRetryThatCannotEndIsSent(t *testing.T) {
	for left, retried := range map[time.Duration]bool{300 * time.Millisecond: false, time.Second: true} {
		is := is.New(t)
		d := newDriver(endpoints("near", 0, 2))
		d.machine.options.ExpectedTime = true
		d.begin(true)
		d.machine.Step(d.now, ResponseReceived{Handle: d.handle, ServiceTime: 400 * time.Millisecond})
		d.machine.Step(d.now, Begin{Handle: 9, Service: "depot", Idempotent: true, Deadline: d.now.Add(left), MaxAttempts: 3})
		action := d.machine.Step(d.now, Refused{Handle: 9, Outcome: call.Unknown, Reason: call.ReasonTargetConnectionLost})[0]
		_, waits := action.(Wait)
		is.Equal(waits, retried)
	}
}

// BenchmarkExpected measures a request's steps at an entry with and without expected times.
func BenchmarkExpected(b *testing.B) {
	for _, expected := range []bool{false, true} {
		for _, n := range []int{12, 120, 1500} {
			b.Run(fmt.Sprintf("expected=%v/endpoints=%d", expected, n), func(b *testing.B) {
				d := newDriver(append(endpoints("near", 0, (n+2)/3), endpoints("far", 0, n-(n+2)/3)...))
				d.machine.options.ExpectedTime = expected
				b.ReportAllocs()
				for b.Loop() {
					d.handle++
					d.machine.Step(d.now, Begin{Handle: d.handle, Service: "depot", Route: "read", Idempotent: true, Deadline: d.now.Add(time.Second), SoftDeadline: d.now.Add(time.Second), MaxAttempts: 2})
					d.machine.Step(d.now, ResponseReceived{Handle: d.handle, Load: 3, ServiceTime: 400 * time.Millisecond})
					d.machine.Step(d.now, End{Handle: d.handle})
				}
			})
		}
	}
}
