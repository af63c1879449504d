package calls

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"jasminegate/internal/coordination/transit"
	"jasminegate/internal/protocol/headers"
	"jasminegate/internal/protocol/wire"
	"jasminegate/internal/transport/callerconn"
)

// delayed reports whether a connection delays a write.
func (d *faultDialer) delayed() bool {
	found := false
	d.each(func(c *faultConn) { found = found || c.hasDelayed() })
	return found
}

// TestFirstCallHeldUpOnItsWayRuns holds up the first call of an entry's process between entry and
// gate until its caller's time has passed. The gate has nothing to compare its time with.
func TestFirstCallHeldUpOnItsWayRuns(t *testing.T) {
	const heldUp = 500 * time.Millisecond
	dialer := &faultDialer{}
	dialer.delayNew.Store(true)
	var runs atomic.Int64
	f := newFleet(t, fleetOptions{nodes: 2, remoteOnly: true, dial: dialer.dial}, func(http.ResponseWriter, *http.Request) { runs.Add(1) })
	time.AfterFunc(heldUp, func() {
		dialer.delayNew.Store(false)
		dialer.each((*faultConn).releaseHeld)
	})
	got := f.call(0, "GET", "/read", "", headers.Timeout, "300")
	f.is.True(got.status >= 500)
	gate := f.nodes[1].runner
	f.waitFor("the gate has the call", func() bool { return gate.streamsServed.Load() > 0 })
	f.waitFor("the gate has ended the call", func() bool { return gate.activeStreams.Load() == 0 && gate.gate.load.Load() == 0 })
	f.is.Equal(runs.Load(), int64(0))
	f.is.Equal(f.call(0, "GET", "/read", "").status, http.StatusOK)
	f.is.Equal(runs.Load(), int64(1))
}

// TestCallRunsBeforeItsCancelArrives holds back a call and the cancel that follows it. The gate gets
// the call first, and must not start it before it gets the cancel.
func TestCallRunsBeforeItsCancelArrives(t *testing.T) {
	for name, request := range map[string]string{
		"idempotent":     "GET /read HTTP/1.1\r\nHost: a.example\r\n\r\n",
		"not idempotent": "POST /file HTTP/1.1\r\nHost: a.example\r\nContent-Length: 4\r\n\r\nbody",
	} {
		t.Run(name, func(t *testing.T) {
			dialer := &faultDialer{}
			var runs atomic.Int64
			f := newFleet(t, fleetOptions{nodes: 2, remoteOnly: true, dial: dialer.dial}, func(http.ResponseWriter, *http.Request) { runs.Add(1) })
			f.serveCallers(0)
			f.is.Equal(f.call(0, "POST", "/file", "b").status, http.StatusOK)
			dialer.each((*faultConn).delayWrites)
			conn := f.sendRaw(request)
			f.waitFor("the call is sent", dialer.delayed)
			sent := map[*faultConn]int{}
			dialer.each(func(c *faultConn) { sent[c] = c.delayedBytes() })
			f.is.NoErr(conn.Close())
			time.Sleep(inputClosedGrace + 200*time.Millisecond)
			gate := f.nodes[1].runner
			dialer.each(func(c *faultConn) { c.releaseFirst(sent[c]) })
			f.waitFor("the gate has the call", func() bool { return gate.Load() == 1 || runs.Load() > 1 })
			time.Sleep(50 * time.Millisecond) // a call without a check is at its target by then
			dialer.each((*faultConn).releaseHeld)
			f.waitFor("the gate has ended the call", func() bool { return gate.activeStreams.Load() == 0 && gate.gate.load.Load() == 0 })
			f.is.Equal(runs.Load(), int64(1))
		})
	}
}

// TestQueuedCallRunsBeforeItsCancelArrives lets the caller of a queued call leave while the link
// from entry to gate holds bytes back. The call must not run when its turn comes.
func TestQueuedCallRunsBeforeItsCancelArrives(t *testing.T) {
	dialer := &faultDialer{}
	proceed := make(chan struct{})
	started := make(chan string, 10)
	f := newFleet(t, fleetOptions{nodes: 2, remoteOnly: true, dial: dialer.dial, slots: 1}, func(_ http.ResponseWriter, r *http.Request) {
		started <- r.URL.Path
		if r.URL.Path == "/file/first" {
			<-proceed
		}
	})
	f.serveCallers(0)
	first := make(chan callResult, 1)
	go func() { first <- f.call(0, "POST", "/file/first", "b") }()
	f.is.Equal(<-started, "/file/first")
	conn := f.sendRaw("GET /read/second HTTP/1.1\r\nHost: a.example\r\n\r\n")
	gate := f.nodes[1].runner
	f.waitFor("the second call is queued", func() bool { return gate.gate.queued.Load() == 1 })
	dialer.each((*faultConn).delayWrites)
	f.is.NoErr(conn.Close())
	time.Sleep(inputClosedGrace + confirmAfter)
	close(proceed)
	f.waitFor("the second call's turn has come", func() bool { return gate.gate.queued.Load() == 0 })
	time.Sleep(50 * time.Millisecond) // a call without a check is at its target by then
	dialer.each((*faultConn).releaseHeld)
	f.is.Equal((<-first).status, http.StatusOK)
	f.waitFor("the gate has ended the calls", func() bool { return gate.gate.load.Load() == 0 })
	f.is.Equal(len(started), 0) // the second call runs
}

// TestConfirmedCallIsRefused queues calls for longer than a proof is valid: they run, as their
// callers wait.
func TestConfirmedCallIsRefused(t *testing.T) {
	for _, remote := range []bool{false, true} {
		t.Run(fmt.Sprintf("remote %v", remote), func(t *testing.T) {
			f := newFleet(t, fleetOptions{nodes: 2, remoteOnly: remote, slots: 1, settings: shortSilenceTimeout}, func(w http.ResponseWriter, _ *http.Request) {
				time.Sleep(confirmAfter)
				_, _ = io.WriteString(w, "done")
			})
			const calls = 5
			results := make(chan callResult, calls)
			for range calls {
				go func() { results <- f.call(0, "POST", "/file", "b") }()
			}
			for range calls {
				f.is.Equal((<-results).status, http.StatusOK)
			}
		})
	}
}

// TestCallOfEarlierReleaseIsRefused checks that the call of an entry that gives no proofs counts as
// confirmed.
func TestCallOfEarlierReleaseIsRefused(t *testing.T) {
	p := newCallerProof(&wire.CallStart{}, func() { t.Error("the entry is asked") })
	if now := time.Unix(1000, 0); !p.fresh(now) || p.due(now) {
		t.Fatal("the call needs a proof")
	}
	d := transitDelays{machine: transit.New()}
	if _, known := d.delay(&wire.CallStart{Id: &wire.CallID{Entry: "n-1"}, SentMs: 1}, time.Unix(1000, 0)); known {
		t.Fatal("the first call's delay is known")
	}
	if _, known := d.delay(&wire.CallStart{Id: &wire.CallID{Entry: "n-1"}, SentMs: 1}, time.Unix(1000, 0)); !known {
		t.Fatal("the second call's delay is not known")
	}
}

// leaveBeforeArrival lets the caller leave, and the frames that are held back arrive after the time; what
// its entry sends then follows later.
func (f *fleet) leaveBeforeArrival(caller net.Conn, dialer *faultDialer, heldUp time.Duration) {
	held := map[*faultConn]int{}
	dialer.each(func(c *faultConn) { held[c] = c.delayedBytes() })
	f.is.NoErr(caller.Close())
	time.Sleep(heldUp)
	dialer.each(func(c *faultConn) { c.releaseFirst(held[c]) })
	time.Sleep(50 * time.Millisecond) // a call without a check is at its target by then
	dialer.each((*faultConn).releaseHeld)
}

// waitForCalls waits until the second node's gate has ended so many calls and has no other.
func (f *fleet) waitForCalls(count int64) {
	gate := f.nodes[1].runner
	f.waitFor("the gate has ended the calls", func() bool {
		return gate.streamsServed.Load() >= count && gate.activeStreams.Load() == 0 && gate.gate.load.Load() == 0
	})
}

// TestSlowConfirmationHidesThatCallerLeft holds back the confirmation of the first call of an entry's
// process, and what follows it, until the caller has left for longer than calls may reach targets.
func TestSlowConfirmationHidesThatCallerLeft(t *testing.T) {
	const heldUp = 550 * time.Millisecond
	dialer := &faultDialer{}
	dialer.delayNew.Store(true)
	var runs atomic.Int64
	f := newFleet(t, fleetOptions{nodes: 2, remoteOnly: true, dial: dialer.dial}, func(http.ResponseWriter, *http.Request) { runs.Add(1) })
	f.serveCallers(0)
	conn := f.sendRaw("GET /read HTTP/1.1\r\nHost: a.example\r\n\r\n")
	f.waitFor("the call is sent", dialer.delayed)
	dialer.each(func(c *faultConn) { c.releaseFirst(c.delayedBytes()) })
	f.waitFor("the call is confirmed", dialer.delayed)
	f.leaveBeforeArrival(conn, dialer, heldUp)
	f.waitForCalls(1)
	f.is.Equal(runs.Load(), int64(0))
}

// TestSlowConfirmationHidesTimeOnTheWay lets the first call of an entry's process and its confirmation be
// slow, and holds up a later call, and the cancel behind it, for the same time.
func TestSlowConfirmationHidesTimeOnTheWay(t *testing.T) {
	const heldUp = 550 * time.Millisecond
	dialer := &faultDialer{}
	dialer.delayNew.Store(true)
	var runs atomic.Int64
	f := newFleet(t, fleetOptions{nodes: 2, remoteOnly: true, dial: dialer.dial}, func(http.ResponseWriter, *http.Request) { runs.Add(1) })
	f.serveCallers(0)
	first := make(chan callResult, 1)
	go func() { first <- f.call(0, "GET", "/read/first", "") }()
	f.waitFor("the call is sent", dialer.delayed)
	time.Sleep(heldUp)
	dialer.each(func(c *faultConn) { c.releaseFirst(c.delayedBytes()) })
	f.waitFor("the call is confirmed", dialer.delayed)
	time.Sleep(heldUp)
	dialer.each((*faultConn).releaseHeld)
	f.is.Equal((<-first).status, http.StatusOK)

	dialer.each((*faultConn).delayWrites)
	conn := f.sendRaw("GET /read/second HTTP/1.1\r\nHost: a.example\r\n\r\n")
	f.waitFor("the second call is sent", dialer.delayed)
	f.leaveBeforeArrival(conn, dialer, heldUp)
	f.waitForCalls(2)
	f.is.Equal(runs.Load(), int64(1))
}

// TestStallAfterCheckCountsAsPresence lets an entry stand still between its check of the caller and the
// time that it states: the caller may have left meanwhile.
func TestStallAfterCheckCountsAsPresence(t *testing.T) {
	const stall = 200 * time.Millisecond
	t.Run("call", func(t *testing.T) {
		c := &callerRequest{callerCheckedAt: time.Now().Add(-stall)}
		if after := c.confirmAfterMs(); time.Duration(after)*time.Millisecond > confirmAfter-stall {
			t.Fatalf("the caller counts as present for %d ms", after)
		}
	})
	t.Run("confirmation", func(t *testing.T) {
		is := is.New(t)
		stated := time.Now()
		stream := make(frameRecorder, 1)
		boot := func() time.Time { stated = time.Now(); return stated }
		c := &callerRequest{ctx: context.Background(), deadline: time.Now().Add(testTimeout)}
		(&attempt{runner: &Runner{options: Options{Now: time.Now, BootTime: boot}}, request: c, stream: stream}).confirmCaller()
		is.Equal((<-stream).ConfirmedMs, uint64(stated.UnixMilli()))
		is.True(!stated.After(c.callerCheckedAt))
	})
}

// frameRecorder is a stream to a gate that keeps what is sent.
type frameRecorder chan *wire.CallFrame

func (r frameRecorder) Send(frame *wire.CallFrame) error { r <- frame; return nil }

func (r frameRecorder) Recv() (*wire.AnswerFrame, error) { return nil, io.EOF }

func (r frameRecorder) Close() error { return nil }

// TestAgeOfCloseIsTakenFromKernel lets the kernel's age of a caller's close be too small: the close must
// count from the last time that the caller is known to have been there.
func TestAgeOfCloseIsTakenFromKernel(t *testing.T) {
	const closedFor = 200 * time.Millisecond
	is := is.New(t)
	c, caller, conn := newConnectedRequest(t)
	c.checkCaller()
	is.Equal(c.closedFor(), time.Duration(0))
	is.NoErr(caller.CloseWrite())
	time.Sleep(closedFor)
	_, err := io.WriteString(conn, "bytes that the caller acknowledges")
	is.NoErr(err)
	_, err = caller.Read(make([]byte, 1))
	is.NoErr(err)
	c.checkCaller()
	is.True(c.closedFor() >= closedFor)
	is.True(time.Duration(c.confirmAfterMs())*time.Millisecond <= confirmAfter-closedFor)
}

// newConnectedRequest returns a request with the two ends of its caller's connection, which nobody reads.
func newConnectedRequest(t *testing.T) (c *callerRequest, caller *net.TCPConn, conn net.Conn) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	dialled, err := net.Dial("tcp", listener.Addr().String())
	is.NoErr(err)
	conn, err = callerconn.NewTracker(func() callerconn.Limits { return callerconn.Limits{Header: testTimeout, Idle: testTimeout} }).Listen(listener).Accept()
	is.NoErr(err)
	t.Cleanup(func() { _, _ = dialled.Close(), conn.Close() })
	ctx := conn.(*callerconn.Conn).NewContext(context.Background())
	c = &callerRequest{ctx: ctx, receivedAt: time.Now(), deadline: time.Now().Add(testTimeout), body: &requestBody{}}
	return c, dialled.(*net.TCPConn), conn
}

// TestGateAsksAgainAndAgainAboutClosedCaller asks for a caller whose close may be too old for any proof
// to be fresh: a response would lead to the next question.
func TestGateAsksAgainAndAgainAboutClosedCaller(t *testing.T) {
	is := is.New(t)
	c, caller, _ := newConnectedRequest(t)
	stream := make(frameRecorder, 1)
	a := &attempt{runner: &Runner{options: Options{Now: time.Now, BootTime: time.Now}}, request: c, stream: stream}
	a.confirmCaller()
	is.True((<-stream).ConfirmedMs != 0)
	c.callerCheckedAt = time.Now().Add(-confirmAfter)
	is.NoErr(caller.CloseWrite())
	for !callerconn.FromContext(c.ctx).Peer().Closed {
		time.Sleep(time.Millisecond)
	}
	a.confirmCaller()
	is.Equal(len(stream), 0)
}

// TestCloseBeforeFirstCheckCountsAsNew reads a request and its caller's close at the same time, on a
// platform whose kernel keeps no ages: the caller may have left long ago.
func TestCloseBeforeFirstCheckCountsAsNew(t *testing.T) {
	is := is.New(t)
	c := &callerRequest{receivedAt: time.Now()}
	c.noteCallerState(time.Now(), callerconn.Peer{Closed: true, NoAges: true})
	is.True(c.closedFor() >= confirmAfter)
	c = &callerRequest{receivedAt: time.Now()}
	c.noteCallerState(time.Now(), callerconn.Peer{Closed: true})
	is.True(c.closedFor() < confirmAfter) // the kernel says when the request arrived
}
