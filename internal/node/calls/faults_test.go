package calls

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"jasminegate/internal/config"
	"jasminegate/internal/coordination/membership"
	"jasminegate/internal/protocol/headers"
)

// TestTruncatedResponses verifies that a caller gets the whole response to its
// own request or sees that it failed, and that a non-idempotent call is not run
// again after a truncated response.
func TestTruncatedResponses(t *testing.T) {
	cut := func(declared string, sent int) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			if declared != "" {
				w.Header().Set("Content-Length", declared)
			}
			_, _ = w.Write([]byte(strings.Repeat("x", sent)))
			http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
	}
	whole := func(size int, declared bool) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			if declared {
				w.Header().Set("Content-Length", fmt.Sprint(size))
			} else {
				http.NewResponseController(w).Flush()
			}
			_, _ = w.Write([]byte(strings.Repeat("x", size)))
		}
	}
	table := []struct {
		name    string
		target  http.HandlerFunc
		status  int
		outcome string
		broken  bool
	}{
		{"cut short", cut("100", 10), http.StatusGatewayTimeout, "outcome-unknown", false},
		{"cut before the first byte", cut("100", 0), http.StatusGatewayTimeout, "outcome-unknown", false},
		{"cut chunked", cut("", 1000), http.StatusGatewayTimeout, "outcome-unknown", false},
		{"cut after the buffer", cut("", 200<<10), http.StatusOK, "", true},
		{"cut after the buffer with length", cut("300000", 200<<10), http.StatusOK, "", true},
		{"over the bound", whole(2<<20, true), http.StatusBadGateway, "ran", false},
		{"over the bound chunked", whole(2<<20, false), http.StatusOK, "", true},
		{"empty", whole(0, true), http.StatusOK, "", false},
		{"large", whole(900<<10, true), http.StatusOK, "", false},
		{"large chunked", whole(900<<10, false), http.StatusOK, "", false},
	}
	for _, remote := range []bool{false, true} {
		for _, row := range table {
			t.Run(fmt.Sprintf("%s remote=%v", row.name, remote), func(t *testing.T) {
				var runs atomic.Int64
				f := newFleet(t, fleetOptions{nodes: 2, remoteOnly: remote}, func(w http.ResponseWriter, r *http.Request) {
					runs.Add(1)
					row.target(w, r)
				})
				got := f.call(0, "POST", "/file", "body")
				f.is.Equal(got.err != nil, row.broken)
				f.is.Equal(runs.Load(), int64(1)) // the call was run again
				if got.header != nil {
					f.is.Equal(got.status, row.status)
					f.is.Equal(got.header.Get(headers.Outcome), row.outcome)
				}
			})
		}
	}
}

func TestResponsesMatchTheirRequests(t *testing.T) {
	f := newFleet(t, fleetOptions{nodes: 3}, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		time.Sleep(time.Duration(len(body)%7) * time.Millisecond)
		_, _ = w.Write([]byte(strings.Repeat(string(body), 1+len(body)%5)))
	})
	var group sync.WaitGroup
	for i := range 200 {
		group.Go(func() {
			body := strings.Repeat(fmt.Sprintf("<%d>", i), 1+i%9)
			got := f.call(i%3, "POST", "/file", body)
			if got.status == http.StatusServiceUnavailable && got.header.Get(headers.Outcome) == "not-run" {
				return
			}
			if got.err != nil || got.body != strings.Repeat(body, 1+len(body)%5) {
				t.Errorf("request %d got status %d, error %v, body %.40q", i, got.status, got.err, got.body)
			}
		})
	}
	group.Wait()
}

// TestSilentConnections silences all open connections between the nodes while a
// non-idempotent call is in flight and other connections are idle; new
// connections work. The call must get its response over a new connection
// without a second run, and no other silenced connection may be used.
func TestSilentConnections(t *testing.T) {
	const parallelCalls = 4
	dialer := &faultDialer{}
	var runs atomic.Int64
	running := make(chan struct{}, 10)
	proceed := make(chan struct{})
	allArrived := newBarrier(parallelCalls)
	settings := func(settings *config.Calls) {
		shortSilenceTimeout(settings)
		// The barrier needs parallelCalls slots; on a busy machine latencies vary, and
		// the adaptive limit would lower their number.
		settings.FixedLimit = true
	}
	f := newFleet(t, fleetOptions{nodes: 2, remoteOnly: true, dial: dialer.dial, settings: settings}, func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/file/slow":
			runs.Add(1)
			running <- struct{}{}
			<-proceed
		case "/file/together":
			allArrived.wait()
		}
		_, _ = w.Write([]byte("answer to " + r.URL.Path))
	})
	all := func() {
		var group sync.WaitGroup
		for range parallelCalls {
			group.Go(func() {
				if got := f.call(0, "POST", "/file/together", "b"); got.body != "answer to /file/together" {
					t.Errorf("got status %d, body %q", got.status, got.body)
				}
			})
		}
		group.Wait()
	}
	all()
	replies := make(chan callResult)
	go func() { replies <- f.call(0, "POST", "/file/slow", "b") }()
	<-running
	dialer.each((*faultConn).goSilent)
	f.waitFor("the silent connection is detected", func() bool { return f.nodes[0].runner.Stats().ConnectionsLost > 0 })
	close(proceed)
	got := <-replies
	f.is.NoErr(got.err)
	f.is.Equal(got.body, "answer to /file/slow")
	f.is.Equal(runs.Load(), int64(1))
	for range 20 {
		all() // fails if the gate no longer gets calls
	}
	f.is.Equal(f.nodes[0].runner.Stats().ConnectionsLost, uint64(1)) // another silenced connection was used
	f.is.True(dialer.dials.Load() <= 4*parallelCalls)                // connections are not reused
}

// barrier releases waiting goroutines in groups of n.
type barrier struct {
	mu      sync.Mutex
	n       int
	arrived int
	open    chan struct{}
}

func newBarrier(n int) *barrier { return &barrier{n: n, open: make(chan struct{})} }

func (b *barrier) wait() {
	b.mu.Lock()
	open := b.open
	b.arrived++
	if b.arrived == b.n {
		b.arrived = 0
		b.open = make(chan struct{})
		close(open)
	}
	b.mu.Unlock()
	<-open
}

// TestLateArrival delays the bytes of a call until its caller has the response
// of another attempt. The late call must be refused and not run.
func TestLateArrival(t *testing.T) {
	dialer := &faultDialer{}
	var runs atomic.Int64
	f := newFleet(t, fleetOptions{nodes: 3, remoteOnly: true, dial: dialer.dial, settings: shortSilenceTimeout}, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/file/once" {
			runs.Add(1)
		}
	})
	for range 20 {
		f.call(0, "POST", "/file/warm", "b")
	}
	dialer.each((*faultConn).holdBack)
	got := f.call(0, "POST", "/file/once", "b")
	f.is.Equal(got.status, http.StatusOK)
	f.is.Equal(runs.Load(), int64(1))
	refused := func() uint64 { return f.nodes[1].runner.Stats().Refused + f.nodes[2].runner.Stats().Refused }
	before := refused()
	dialer.each((*faultConn).releaseHeld)
	f.waitFor("the late call is refused", func() bool { return refused() > before })
	f.is.Equal(runs.Load(), int64(1))
}

// TestGateStopsDuringCall stops a gate while a non-idempotent call runs at its
// target: the outcome is unknown, and the call is not run again.
func TestGateStopsDuringCall(t *testing.T) {
	var runs atomic.Int64
	running := make(chan struct{}, 10)
	f := newFleet(t, fleetOptions{nodes: 3, remoteOnly: true}, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		runs.Add(1)
		running <- struct{}{}
		<-r.Context().Done()
	})
	replies := make(chan callResult)
	go func() { replies <- f.call(0, "POST", "/file", "b") }()
	<-running
	for _, n := range f.nodes[1:] {
		if n.runner.Load() > 0 {
			n.stop()
			break
		}
	}
	got := <-replies
	f.is.Equal(got.status, http.StatusGatewayTimeout)
	f.is.Equal(got.header.Get(headers.Outcome), "outcome-unknown")
	f.is.Equal(runs.Load(), int64(1))
}

// TestReusedConnectionRunsOnce lets the target close a connection after it has
// read a second request on it. The HTTP client must not send that request
// again.
func TestReusedConnectionRunsOnce(t *testing.T) {
	for _, body := range []string{"", "body"} {
		for _, key := range []string{"", "key-1"} {
			t.Run(fmt.Sprintf("body=%q key=%q", body, key), func(t *testing.T) {
				is := is.New(t)
				var runs atomic.Int64
				listener, err := net.Listen("tcp", "127.0.0.1:0")
				is.NoErr(err)
				defer listener.Close()
				go serveWarmupOnly(listener, &runs)
				f := newFleet(t, fleetOptions{nodes: 1}, echo)
				f.waitForKeyedCalls()
				f.nodes[0].runner.SetTarget(Target{Service: "depot", Slots: 8, Connections: 40, Address: listener.Addr().String(), State: membership.TargetReady})
				is.Equal(f.call(0, "GET", "/read/warm", "").status, http.StatusOK)
				got := f.call(0, "POST", "/file/once", body, headers.IdempotencyKey, key)
				is.Equal(got.header.Get(headers.Outcome), "outcome-unknown")
				is.Equal(runs.Load(), int64(1))
			})
		}
	}
}

// serveWarmupOnly responds to /read/warm. It counts all other requests and
// closes their connections without a response.
func serveWarmupOnly(listener net.Listener, runs *atomic.Int64) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			reader := bufio.NewReader(conn)
			for {
				request, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, request.Body)
				if request.URL.Path != "/read/warm" {
					runs.Add(1)
					return
				}
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			}
		}()
	}
}

// TestDrain drains a node under load: no call in flight is cut off and no call
// fails, since other gates take the new ones.
func TestDrain(t *testing.T) {
	f := newFleet(t, fleetOptions{nodes: 3, slots: 30}, func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(2 * time.Millisecond)
		_, _ = io.WriteString(w, "done")
	})
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	var calls, failed, closeRequested atomic.Int64
	for i := range 12 {
		group.Go(func() {
			for ctx.Err() == nil {
				got := f.call(i%3, "POST", "/file", "b")
				calls.Add(1)
				if got.status != http.StatusOK || got.body != "done" {
					failed.Add(1)
				}
				if got.close {
					closeRequested.Add(1)
				}
			}
		})
	}
	f.waitFor("load", func() bool { return calls.Load() > 100 })
	f.is.NoErr(f.nodes[1].runner.Drain(context.Background()))
	started := f.nodes[1].runner.Stats().Started
	before := calls.Load()
	f.waitFor("calls after the drain", func() bool { return calls.Load() > before+200 })
	cancel()
	group.Wait()
	f.is.Equal(failed.Load(), int64(0))
	f.is.Equal(f.nodes[1].runner.Stats().Started, started) // the gate started calls after the drain
	f.is.True(closeRequested.Load() > 0)                   // callers are not asked to close their connections
}

func TestProblemResponses(t *testing.T) {
	blocked := make(chan struct{})
	defer close(blocked)
	table := []struct {
		name    string
		prepare func(f *fleet)
		method  string
		path    string
		body    string
		header  []string
		status  int
		outcome string
	}{
		{"no route", nil, "GET", "/nowhere", "", nil, http.StatusNotFound, "not-run"},
		{"fenced", func(f *fleet) { f.serving.Store(false) }, "POST", "/file", "b", nil, http.StatusServiceUnavailable, "not-run"},
		{"no configuration", func(f *fleet) { f.snapshot.Store(nil) }, "POST", "/file", "b", nil, http.StatusServiceUnavailable, "not-run"},
		{"no endpoint", func(f *fleet) { f.view.Store(&membership.View{Epoch: 2, Self: f.nodes[0].member}) }, "POST", "/file", "b", nil, http.StatusServiceUnavailable, "not-run"},
		{"body over the bound", nil, "POST", "/file", strings.Repeat("x", 2<<20), nil, http.StatusRequestEntityTooLarge, "outcome-unknown"},
		{"bad timeout", nil, "GET", "/read", "", []string{headers.Timeout, "2s"}, http.StatusBadRequest, "not-run"},
		{"bad attempts", nil, "GET", "/read", "", []string{headers.Attempts, "0"}, http.StatusBadRequest, "not-run"},
		{"deadline at the target", nil, "POST", "/file/block", "b", []string{headers.Timeout, "50"}, http.StatusGatewayTimeout, "outcome-unknown"},
		{"target down", func(f *fleet) { f.nodes[0].target.Close() }, "POST", "/file", "b", nil, http.StatusServiceUnavailable, "not-run"},
		{"gate restarted", func(f *fleet) {
			member := f.nodes[0].member
			member.Incarnation++
			f.view.Store(&membership.View{Epoch: 2, Self: member, Members: []membership.Member{member}})
		}, "POST", "/file", "b", nil, http.StatusServiceUnavailable, "not-run"},
	}
	for _, row := range table {
		t.Run(row.name, func(t *testing.T) {
			var runs atomic.Int64
			f := newFleet(t, fleetOptions{nodes: 1}, func(w http.ResponseWriter, r *http.Request) {
				runs.Add(1)
				_, _ = io.Copy(io.Discard, r.Body)
				if r.URL.Path == "/file/block" {
					select {
					case <-r.Context().Done():
					case <-blocked:
					}
				}
			})
			if row.prepare != nil {
				row.prepare(f)
			}
			got := f.call(0, row.method, row.path, row.body, row.header...)
			f.is.NoErr(got.err)
			f.is.Equal(got.status, row.status)
			f.is.Equal(got.header.Get(headers.Outcome), row.outcome)
			f.is.Equal(got.header.Get("Content-Type"), "application/problem+json")
			if row.outcome == "not-run" {
				f.is.Equal(runs.Load(), int64(0))
			}
			if got.status == http.StatusServiceUnavailable {
				f.is.True(got.header.Get("Retry-After") != "")
			}
		})
	}
}

// TestOverload fills the slots and the queue: further calls are refused at
// once, and never more calls run than there are slots.
func TestOverload(t *testing.T) {
	const slots = 3
	var running, overSlots atomic.Int64
	proceed := make(chan struct{})
	release := sync.OnceFunc(func() { close(proceed) })
	f := newFleet(t, fleetOptions{nodes: 1, slots: slots}, func(w http.ResponseWriter, r *http.Request) {
		if running.Add(1) > slots {
			overSlots.Add(1)
		}
		<-proceed
		running.Add(-1)
	})
	defer release() // the servers of a failed test close only after their handlers have ended
	f.publish(4, 20)
	f.waitFor("the queue limit", func() bool { f.nodes[0].runner.updateGateLimits(); return true })
	var group sync.WaitGroup
	var refused, answered atomic.Int64
	for range 20 {
		group.Go(func() {
			got := f.call(0, "POST", "/file", "b")
			if got.status == http.StatusOK {
				answered.Add(1)
			}
			if got.status == http.StatusServiceUnavailable && got.header.Get("Retry-After") != "" {
				refused.Add(1)
			}
		})
	}
	f.waitFor("13 refusals", func() bool { return refused.Load() == 13 })
	f.waitFor("as many calls at the target as it has slots", func() bool { return running.Load() == slots })
	release()
	group.Wait()
	f.is.Equal(answered.Load(), int64(7))
	f.is.Equal(overSlots.Load(), int64(0))
}

// TestCallerDisconnects verifies that the request at the target is cancelled,
// for a non-idempotent call too.
func TestCallerDisconnects(t *testing.T) {
	for _, remote := range []bool{false, true} {
		for _, route := range []struct{ method, path string }{{"GET", "/read"}, {"POST", "/file"}} {
			running := make(chan struct{}, 1)
			ended := make(chan struct{}, 1)
			f := newFleet(t, fleetOptions{nodes: 2, remoteOnly: remote}, func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				running <- struct{}{}
				<-r.Context().Done()
				ended <- struct{}{}
			})
			ctx, cancel := context.WithCancel(context.Background())
			request, err := http.NewRequestWithContext(ctx, route.method, f.nodes[0].callers.URL+route.path, nil)
			f.is.NoErr(err)
			go func() {
				<-running
				cancel()
			}()
			_, err = http.DefaultClient.Do(request)
			f.is.True(err != nil)
			select {
			case <-ended:
			case <-time.After(testTimeout):
				t.Fatal("the target was not cancelled")
			}
		}
	}
}

func TestContractReachesTheTarget(t *testing.T) {
	seen := make(chan http.Header, 1)
	f := newFleet(t, fleetOptions{nodes: 2, remoteOnly: true}, func(w http.ResponseWriter, r *http.Request) {
		seen <- r.Header
		w.Header().Set("Keep-Alive", "timeout=5")
		w.Header().Set("X-Answer", "kept")
	})
	trace := "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
	got := f.call(0, "GET", "/read", "", headers.Timeout, "800", headers.Attempts, "2", "Connection", "X-Hop", "X-Hop", "1", "X-Kept", "2", "Traceparent", trace)
	header := <-seen
	f.is.Equal(header.Get("X-Hop"), "")
	f.is.Equal(header.Get("X-Kept"), "2")
	f.is.Equal(header.Get("Traceparent"), trace)
	f.is.Equal(header.Get(headers.Attempts), "2")
	f.is.True(header.Get(headers.CallID) != "")
	f.is.True(len(header.Get(headers.Timeout)) <= 3) // at most the caller's 800 ms
	f.is.Equal(got.header.Get("X-Answer"), "kept")
	f.is.Equal(got.header.Get("Keep-Alive"), "")
}

// TestSlowReaderHoldsNoSlot leaves a response that fits into the buffer unread.
// Its slot must be free for the next call.
func TestSlowReaderHoldsNoSlot(t *testing.T) {
	f := newFleet(t, fleetOptions{nodes: 1, slots: 1, settings: func(s *config.Calls) { s.BufferBytes = 900 << 10 }}, func(w http.ResponseWriter, r *http.Request) {
		_, _ = w.Write(make([]byte, 800<<10))
	})
	conn, err := net.Dial("tcp", f.nodes[0].callers.Listener.Addr().String())
	f.is.NoErr(err)
	defer conn.Close()
	_, err = io.WriteString(conn, "GET /read HTTP/1.1\r\nHost: x\r\n\r\n")
	f.is.NoErr(err)
	f.waitFor("the first call", func() bool { return f.nodes[0].runner.Stats().Started == 1 })
	f.is.Equal(f.call(0, "GET", "/read", "").status, http.StatusOK)
}

// TestSlowGateIsTakenForDead silences the connection of a running idempotent call that
// may not be retried. The gate still runs it: the caller gets that run's response over
// a new connection, and the run is not broken off. A caller that leaves meanwhile still
// ends it.
func TestSlowGateIsTakenForDead(t *testing.T) {
	for name, callerLeaves := range map[string]bool{"caller waits": false, "caller leaves": true} {
		t.Run(name, func(t *testing.T) {
			dialer := &faultDialer{}
			var runs, cancelled atomic.Int64
			running := make(chan struct{}, 10)
			proceed := make(chan struct{})
			f := newFleet(t, fleetOptions{nodes: 2, remoteOnly: true, dial: dialer.dial, settings: shortSilenceTimeout}, func(w http.ResponseWriter, r *http.Request) {
				runs.Add(1)
				running <- struct{}{}
				select {
				case <-proceed:
					_, _ = w.Write([]byte("done"))
				case <-r.Context().Done():
					cancelled.Add(1)
				}
			})
			ctx, leave := context.WithCancel(context.Background())
			defer leave()
			replies := make(chan callResult, 1)
			go func() { replies <- f.callWithContext(ctx, 0, "GET", "/read/slow", "", headers.Attempts, "1") }()
			<-running
			dialer.each((*faultConn).goSilent)
			f.waitFor("the silent connection is detected", func() bool { return f.nodes[0].runner.Stats().ConnectionsLost > 0 })
			time.Sleep(600 * time.Millisecond) // longer than a gate keeps a call without a connection
			if callerLeaves {
				leave()
				f.waitFor("the run ends", func() bool { return cancelled.Load() == 1 })
				return
			}
			close(proceed)
			got := <-replies
			f.is.NoErr(got.err)
			f.is.Equal(got.status, http.StatusOK)
			f.is.Equal(got.body, "done")
			f.is.Equal(runs.Load(), int64(1))
			f.is.Equal(cancelled.Load(), int64(0))
		})
	}
}
