package calls

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// stalledCall begins an idempotent call at a fleet whose first node is only an entry, and stalls what
// the gates send once the call runs. It returns the result to come, and what ends the stall.
func (f *fleet) stalledCall(dialer *faultDialer, running <-chan string) (result chan callResult, release func()) {
	result = make(chan callResult, 1)
	go func() { result <- f.call(0, "GET", "/read/stalled", "") }()
	<-running
	until := make(chan struct{})
	dialer.each(func(c *faultConn) { c.stallReads(until) })
	return result, func() { close(until) }
}

// TestRunOfStalledGateIsCut stalls the link from a gate for longer than the silence timeout while its
// target runs an idempotent call, and no other gate can take it, also while the entry stops as
// planned. The caller must get the response of the one run.
func TestRunOfStalledGateIsCut(t *testing.T) {
	for _, stops := range []bool{false, true} {
		t.Run(fmt.Sprintf("entry stops %v", stops), func(t *testing.T) {
			dialer := &faultDialer{}
			running := make(chan string, 10)
			var cut atomic.Int64
			proceed := make(chan struct{})
			f := newFleet(t, fleetOptions{nodes: 2, remoteOnly: true, dial: dialer.dial, settings: shortSilenceTimeout}, func(w http.ResponseWriter, r *http.Request) {
				running <- r.URL.Path
				select {
				case <-proceed:
				case <-r.Context().Done():
					cut.Add(1)
				}
				_, _ = io.WriteString(w, "done")
			})
			result, release := f.stalledCall(dialer, running)
			if stops {
				f.nodes[0].runner.CancelQueued()
			}
			f.waitFor("the gate counts as lost", func() bool { return f.nodes[0].runner.Stats().ConnectionsLost > 0 })
			time.Sleep(100 * time.Millisecond) // a run without an entry is cut by then
			close(proceed)
			defer release()
			got := <-result
			f.is.Equal(got.status, http.StatusOK)
			f.is.Equal(got.body, "done")
			f.is.Equal(cut.Load(), int64(0))
			f.is.Equal(len(running), 0) // the call ran again
		})
	}
}

// TestStalledGatesResponseIsDropped lets a call be retried at a gate that has no free slot, and ends the
// stall of the first one: the caller must get that response, and the other gate must not run the call.
func TestStalledGatesResponseIsDropped(t *testing.T) {
	dialer := &faultDialer{}
	running := make(chan string, 10)
	proceed, free := make(chan struct{}), make(chan struct{})
	f := newFleet(t, fleetOptions{nodes: 3, remoteOnly: true, dial: dialer.dial, slots: 1, settings: shortSilenceTimeout}, func(w http.ResponseWriter, r *http.Request) {
		running <- r.URL.Path
		if r.URL.Path == "/file/busy" {
			<-free
			return
		}
		<-proceed
		_, _ = io.WriteString(w, "done")
	})
	busy := make(chan callResult, 1)
	go func() { busy <- f.call(0, "POST", "/file/busy", "b") }()
	<-running
	other := f.nodes[1]
	if other.runner.Load() == 0 {
		other = f.nodes[2]
	}
	result, release := f.stalledCall(dialer, running)
	f.waitFor("the call is queued at the other gate", func() bool { return other.runner.gate.queued.Load() == 1 })
	close(proceed)
	release()
	got := <-result
	f.is.Equal(got.status, http.StatusOK)
	f.is.Equal(got.body, "done")
	f.waitFor("the retry is cancelled", func() bool { return other.runner.gate.queued.Load() == 0 })
	close(free)
	f.is.Equal((<-busy).status, http.StatusOK)
	f.is.Equal(len(running), 0) // the call ran again
}

// TestRetriedRunGoesOn lets a call be retried at a gate that runs it: the run of the stalled gate must end
// then, and also if the caller leaves before.
func TestRetriedRunGoesOn(t *testing.T) {
	const bound = 500 * time.Millisecond
	dialer := &faultDialer{}
	running, ended := make(chan string, 10), make(chan time.Time, 10)
	f := newFleet(t, fleetOptions{nodes: 3, remoteOnly: true, dial: dialer.dial, settings: shortSilenceTimeout}, func(w http.ResponseWriter, r *http.Request) {
		running <- r.URL.Path
		<-r.Context().Done()
		ended <- time.Now()
	})
	f.serveCallers(0)
	conn := f.sendRaw("GET /read/stalled HTTP/1.1\r\nHost: a.example\r\n\r\n")
	<-running
	until := make(chan struct{})
	defer close(until)
	dialer.each(func(c *faultConn) { c.stallReads(until) })
	<-running // the retry
	retried := time.Now()
	f.is.True((<-ended).Sub(retried) < bound)
	left := time.Now()
	f.is.NoErr(conn.Close())
	f.waitFor("all runs have ended", func() bool { return f.nodes[1].runner.Load()+f.nodes[2].runner.Load() == 0 })
	f.is.True(time.Since(left) < bound+100*time.Millisecond)
}

// standStill stalls what the gates send, over new connections too, until the channel is closed.
func (d *faultDialer) standStill(until chan struct{}) {
	d.stallNew.Store(&until)
	d.each(func(c *faultConn) { c.stallReads(until) })
}

// TestRunOfGateThatStandsStillIsCut stalls all that the gates send, over new connections too, until after
// the entry has asked for the response in vain. The caller must get the response of the one run.
func TestRunOfGateThatStandsStillIsCut(t *testing.T) {
	const stall = 1500 * time.Millisecond
	dialer := &faultDialer{}
	running := make(chan string, 10)
	var cut atomic.Int64
	proceed, until := make(chan struct{}), make(chan struct{})
	end := sync.OnceFunc(func() { close(proceed); close(until) })
	defer end()
	f := newFleet(t, fleetOptions{nodes: 2, remoteOnly: true, dial: dialer.dial, settings: shortSilenceTimeout}, func(w http.ResponseWriter, r *http.Request) {
		running <- r.URL.Path
		select {
		case <-proceed:
		case <-r.Context().Done():
			cut.Add(1)
		}
		_, _ = io.WriteString(w, "done")
	})
	result := make(chan callResult, 1)
	go func() { result <- f.call(0, "GET", "/read/stalled", "") }()
	<-running
	dialer.standStill(until)
	time.Sleep(stall)
	f.is.Equal(len(result), 0) // the call was given up
	end()
	got := <-result
	f.is.Equal(got.status, http.StatusOK)
	f.is.Equal(got.body, "done")
	f.is.Equal(cut.Load(), int64(0))
	f.is.Equal(len(running), 0) // the call ran again
}

// TestCallerWaitsForDeadGate stalls the gate of an idempotent call for good. Once membership takes the gate
// for dead, the caller must be told at once that the outcome is unknown.
func TestCallerWaitsForDeadGate(t *testing.T) {
	const bound = 500 * time.Millisecond
	dialer := &faultDialer{}
	running, until := make(chan string, 10), make(chan struct{})
	defer close(until)
	f := newFleet(t, fleetOptions{nodes: 2, remoteOnly: true, dial: dialer.dial, settings: shortSilenceTimeout}, func(_ http.ResponseWriter, r *http.Request) {
		running <- r.URL.Path
		<-r.Context().Done()
	})
	result := make(chan callResult, 1)
	go func() { result <- f.call(0, "GET", "/read/stalled", "") }()
	<-running
	dialer.standStill(until)
	time.Sleep(1500 * time.Millisecond)
	f.is.Equal(len(result), 0) // the call was given up
	f.removeMember(1)
	died := time.Now()
	f.is.Equal((<-result).status, http.StatusGatewayTimeout)
	f.is.True(time.Since(died) < bound)
}

// TestOrderIsGivenUpWhileItsGateStandsStill stalls all that the gate of a call that is not idempotent sends,
// for longer than the questions for its outcome took that ended it. The caller must get the response of
// the one run, also if membership has taken the gate for dead.
func TestOrderIsGivenUpWhileItsGateStandsStill(t *testing.T) {
	const stall = 2 * time.Second
	for _, dead := range []bool{false, true} {
		t.Run(fmt.Sprintf("taken for dead %v", dead), func(t *testing.T) {
			dialer := &faultDialer{}
			running := make(chan string, 10)
			proceed, until := make(chan struct{}), make(chan struct{})
			end := sync.OnceFunc(func() { close(proceed); close(until) })
			defer end()
			f := newFleet(t, fleetOptions{nodes: 2, remoteOnly: true, dial: dialer.dial, settings: shortSilenceTimeout}, func(w http.ResponseWriter, r *http.Request) {
				running <- r.URL.Path
				<-proceed
				_, _ = io.WriteString(w, "done")
			})
			result := make(chan callResult, 1)
			go func() { result <- f.call(0, "POST", "/file/stalled", "one order") }()
			<-running
			dialer.standStill(until)
			if dead {
				f.removeMember(1)
			}
			time.Sleep(stall)
			f.is.Equal(len(result), 0) // the call was given up
			end()
			got := <-result
			f.is.Equal(got.status, http.StatusOK)
			f.is.Equal(got.body, "done")
			f.is.Equal(len(running), 0) // the call ran again
		})
	}
}
