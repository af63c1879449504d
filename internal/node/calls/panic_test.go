package calls

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"jasminegate/internal/clock"
	"jasminegate/internal/coordination/call"
	"jasminegate/internal/coordination/gate"
	"jasminegate/internal/protocol/headers"
	"jasminegate/internal/protocol/wire"
)

// panickingTracer panics where a span of the name starts, or ends.
type panickingTracer struct {
	trace.Tracer
	name  string
	atEnd bool
	armed atomic.Bool
}

func newPanickingTracer(name string, atEnd bool) *panickingTracer {
	return &panickingTracer{Tracer: noop.NewTracerProvider().Tracer(""), name: name, atEnd: atEnd}
}

func (t *panickingTracer) Start(ctx context.Context, name string, options ...trace.SpanStartOption) (context.Context, trace.Span) {
	ctx, span := t.Tracer.Start(ctx, name, options...)
	if name != t.name || !t.armed.Load() {
		return ctx, span
	}
	if t.atEnd {
		return ctx, panickingSpan{span}
	}
	panic("on purpose, at the start of a span")
}

type panickingSpan struct{ trace.Span }

func (panickingSpan) End(...trace.SpanEndOption) { panic("on purpose, at the end of a span") }

// TestPanicAtGateEndsOnlyItsCall lets the gate panic while it runs a call, at the own
// node and at another one. The caller of that call gets a response that does not say
// "not run" of a call that may have run; its slot is free again, and later calls are
// answered.
func TestPanicAtGateEndsOnlyItsCall(t *testing.T) {
	for _, row := range []struct {
		name, span string
		atEnd      bool
		outcome    string
	}{
		{"gate", "gate", false, "not-run"}, // before the gate has admitted the call
		{"run begins", "target", false, "outcome-unknown"},
		{"run ends", "target", true, ""}, // the response is complete by then
	} {
		for _, remote := range []bool{false, true} {
			t.Run(row.name+map[bool]string{false: ", own gate", true: ", other gate"}[remote], func(t *testing.T) {
				is := is.New(t)
				f := newFleet(t, fleetOptions{nodes: 2, remoteOnly: remote, slots: 2}, echo)
				gate := f.nodes[1]
				if !remote {
					gate = f.nodes[0]
					f.nodes[1].stop()
				}
				tracer := newPanickingTracer(row.span, row.atEnd)
				for _, n := range f.nodes {
					n.runner.options.Tracer = tracer
				}
				tracer.armed.Store(true)
				for range 5 {
					got := f.call(0, "POST", "/file", "b")
					is.NoErr(got.err)
					is.Equal(got.header.Get(headers.Outcome), row.outcome)
				}
				tracer.armed.Store(false)
				got := f.call(0, "POST", "/file", "b")
				is.NoErr(got.err)
				is.Equal(got.status, http.StatusCreated)
				// A run that ends by a panic has responded before.
				f.waitFor("the panics are counted", func() bool { return gate.runner.options.Logger.Panics() >= 5 })
				f.waitFor("no call runs", func() bool { return gate.runner.gate.load.Load() == 0 })
			})
		}
	}
}

// TestPanicOfMachineAnswersCallers lets the gate machine's loop panic while a call runs.
// The runner ends, and the caller gets a response that says what is known of its call.
func TestPanicOfMachineAnswersCallers(t *testing.T) {
	is := is.New(t)
	arrived, proceed := make(chan struct{}), make(chan struct{})
	f := newFleet(t, fleetOptions{nodes: 1}, func(w http.ResponseWriter, r *http.Request) {
		close(arrived)
		select {
		case <-proceed:
		case <-r.Context().Done():
		}
	})
	n := f.nodes[0]
	defer close(proceed)
	got := make(chan callResult, 1)
	go func() { got <- f.call(0, "POST", "/file", "b") }()
	<-arrived
	// An arrival without its call, which no code sends.
	arrive := gate.Arrive{ID: call.ID{Entry: "e", Counter: 1}, GateIncarnation: n.member.Incarnation, Deadline: time.Now().Add(testTimeout)}
	is.True(n.runner.gate.arrive(arrive, nil))
	answer := <-got
	is.NoErr(answer.err)
	is.Equal(answer.header.Get(headers.Outcome), "outcome-unknown")
	is.Equal(n.runner.options.Logger.Panics(), uint64(1))
}

// TestPanicLeavesCallerWithoutResponse lets the handler of a caller's request panic: before
// the request is admitted, before its attempt, and after its response was delivered.
func TestPanicLeavesCallerWithoutResponse(t *testing.T) {
	for _, row := range []struct {
		name, span string
		atEnd      bool
		status     int
	}{
		{"before it is admitted", "entry", false, http.StatusServiceUnavailable},
		{"before its attempt", "attempt", false, http.StatusServiceUnavailable},
		{"after its attempt", "attempt", true, http.StatusGatewayTimeout},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t, fleetOptions{nodes: 2, remoteOnly: true}, func(w http.ResponseWriter, _ *http.Request) {})
			tracer := newPanickingTracer(row.span, row.atEnd)
			f.nodes[0].runner.options.Tracer = tracer
			f.serveCallers(0)
			url := "http://" + f.nodes[0].callers.Listener.Addr().String() + "/read"
			tracer.armed.Store(true)
			response, err := http.Get(url)
			is.NoErr(err)
			is.NoErr(response.Body.Close())
			is.Equal(response.StatusCode, row.status)

			tracer.armed.Store(false)
			response, err = http.Get(url) // the next request is served
			is.NoErr(err)
			is.NoErr(response.Body.Close())
			is.Equal(response.StatusCode, http.StatusOK)
		})
	}
}

// panicIn lets a clock or a connection panic while the function is on the stack.
type panicIn struct {
	function string
	armed    atomic.Bool
}

func (p *panicIn) check() {
	if !p.armed.Load() {
		return
	}
	callers := make([]uintptr, 64)
	frames := runtime.CallersFrames(callers[:runtime.Callers(2, callers)])
	for more := true; more; {
		var frame runtime.Frame
		if frame, more = frames.Next(); strings.HasSuffix(frame.Function, "."+p.function) {
			panic("on purpose, in " + p.function)
		}
	}
}

// panickingConn is a connection whose writes may panic.
type panickingConn struct {
	net.Conn
	in *panicIn
}

func (c panickingConn) Write(data []byte) (int, error) {
	c.in.check()
	return c.Conn.Write(data)
}

// TestPanicInCallbackOfAttemptEndsProcess lets the entry panic where it tells a gate that a
// caller has left, and that a queued call must not start any more.
func TestPanicInCallbackOfAttemptEndsProcess(t *testing.T) {
	for _, row := range []struct {
		function string
		trigger  func(f *fleet, leave func())
	}{
		{"cancelByCaller", func(_ *fleet, leave func()) { leave() }},
		{"cancelIfQueued", func(f *fleet, _ func()) { f.nodes[0].runner.CancelQueued() }},
	} {
		t.Run(row.function, func(t *testing.T) {
			is := is.New(t)
			in := &panicIn{function: row.function}
			dial := func(ctx context.Context, address string) (net.Conn, error) {
				conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
				return panickingConn{conn, in}, err
			}
			arrived, proceed := make(chan struct{}, 2), make(chan struct{})
			f := newFleet(t, fleetOptions{nodes: 2, remoteOnly: true, dial: dial}, func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				arrived <- struct{}{}
				<-proceed
			})
			logger := f.nodes[0].runner.options.Logger
			bystander, left := make(chan callResult, 1), make(chan callResult, 1)
			go func() { bystander <- f.call(0, "POST", "/file", "") }()
			<-arrived
			ctx, leave := context.WithCancel(context.Background())
			defer leave()
			go func() { left <- f.callWithContext(ctx, 0, "POST", "/file", "") }()
			<-arrived
			in.armed.Store(true)
			row.trigger(f, leave)
			f.waitFor("the panic is counted", func() bool { return logger.Panics() > 0 })
			in.armed.Store(false)
			close(proceed)
			got := <-bystander
			is.NoErr(got.err)
			is.True(got.header.Get(headers.Outcome) != "not-run")
			<-left
		})
	}
}

// panickingStream is a stream whose frames cannot be sent.
type panickingStream struct{ clientStream }

func (panickingStream) Send(*wire.CallFrame) error { panic("on purpose, in Send") }

// TestPanicAtEndOfKeptAttemptEndsProcess lets the entry panic while it ends an attempt whose
// response it does not need any more.
func TestPanicAtEndOfKeptAttemptEndsProcess(t *testing.T) {
	f := newFleet(t, fleetOptions{nodes: 1}, func(http.ResponseWriter, *http.Request) {})
	runner := f.nodes[0].runner
	a := &attempt{runner: runner, stream: panickingStream{}, cancel: func(error) {}}
	a.ended.Store(true)
	a.cancelAndEnd()
	f.waitFor("the panic is counted", func() bool { return runner.options.Logger.Panics() == 1 })
}

// TestPanicInTimerOfRequestEndsProcess lets the timer panic that ends a request for those behind it.
func TestPanicInTimerOfRequestEndsProcess(t *testing.T) {
	f := newFleet(t, fleetOptions{nodes: 1}, func(http.ResponseWriter, *http.Request) {})
	runner := f.nodes[0].runner
	request := httptest.NewRequest("GET", "/read", nil)
	c, refused := runner.newCallerRequest(runner.currentRoutes(), time.Now(), request)
	f.is.Equal(refused, nil)
	c.yieldAt(time.Now(), 0, func() bool { panic("on purpose, in a timer") })
	f.waitFor("the panic is counted", func() bool { return runner.options.Logger.Panics() == 1 })
}

// askedStream is the stream of an entry that panics where it is asked about its caller.
type askedStream struct {
	ctx   context.Context
	first chan *wire.CallFrame
	sent  chan *wire.AnswerFrame
}

func (s askedStream) Context() context.Context { return s.ctx }

func (s askedStream) Recv() (*wire.CallFrame, error) {
	select {
	case frame := <-s.first:
		return frame, nil
	case <-s.ctx.Done():
		return nil, s.ctx.Err()
	}
}

func (s askedStream) Send(frame *wire.AnswerFrame) error {
	if frame.Confirm {
		panic("on purpose, in a question")
	}
	s.sent <- frame
	return nil
}

// TestPanicInQuestionToEntryEndsProcess lets a gate panic while it asks whether a caller still
// waits. The call is not run, and the entry is told so.
func TestPanicInQuestionToEntryEndsProcess(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, fleetOptions{nodes: 1, settings: shortSilenceTimeout}, func(http.ResponseWriter, *http.Request) {})
	runner := f.nodes[0].runner
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	stream := askedStream{ctx, make(chan *wire.CallFrame, 1), make(chan *wire.AnswerFrame, 1)}
	stream.first <- &wire.CallFrame{Last: true, Start: &wire.CallStart{
		Id: &wire.CallID{Entry: "another", EntryIncarnation: 1, Counter: 1}, Service: "depot", Route: "read", Method: "GET", Uri: "/read",
		TimeoutMs: uint32(testTimeout.Milliseconds()), SentMs: 1, ConfirmAfterMs: 1,
	}}
	is.NoErr(runner.serveStream(stream))
	is.Equal((<-stream.sent).GetStart().GetOutcome(), uint32(call.NotRun))
	is.Equal(runner.options.Logger.Panics(), uint64(1))
}

// TestPanicAtEndOfRequestBeforeItsTurnEndsProcess lets the entry panic while it releases a request
// whose turn does not come, since its caller has left.
func TestPanicAtEndOfRequestBeforeItsTurnEndsProcess(t *testing.T) {
	is := is.New(t)
	arrived := make(chan struct{}, 2)
	f := newFleet(t, fleetOptions{nodes: 1}, func(w http.ResponseWriter, r *http.Request) {
		arrived <- struct{}{}
		<-r.Context().Done()
	})
	runner := f.nodes[0].runner
	tracer := newPanickingTracer("entry", true)
	runner.options.Tracer = tracer
	f.serveCallers(0)
	conn, err := net.Dial("tcp", f.nodes[0].callers.Listener.Addr().String())
	is.NoErr(err)
	const request = "GET /read HTTP/1.1\r\nHost: a.example\r\n\r\n"
	_, err = io.WriteString(conn, request)
	is.NoErr(err)
	<-arrived
	tracer.armed.Store(true)
	_, err = io.WriteString(conn, request)
	is.NoErr(err)
	<-arrived
	is.NoErr(conn.(*net.TCPConn).SetLinger(0))
	is.NoErr(conn.Close()) // resets the connection
	f.waitFor("the panic is counted", func() bool { return runner.options.Logger.Panics() == 1 })
}

// TestPanicWhileTargetIsWrittenToEndsProcess lets the gate panic in the check before the first byte
// of a call, and where it notes that the call was written. The HTTP client calls both in its own
// goroutine. A call of which nothing was written is not run; the other one is answered.
func TestPanicWhileTargetIsWrittenToEndsProcess(t *testing.T) {
	for _, row := range []struct{ function, outcome string }{{"beginWrite", "not-run"}, {"endWrite", ""}} {
		t.Run(row.function, func(t *testing.T) {
			is := is.New(t)
			in := &panicIn{function: "(*writeTracker)." + row.function}
			boot := func() time.Time {
				in.check()
				return clock.BootTime()
			}
			f := newFleet(t, fleetOptions{nodes: 1, boot: boot}, echo)
			in.armed.Store(true)
			got := f.call(0, "POST", "/file", "b")
			is.NoErr(got.err)
			is.Equal(got.header.Get(headers.Outcome), row.outcome)
			is.True(f.nodes[0].runner.options.Logger.Panics() > 0)
			in.armed.Store(false)
			got = f.call(0, "POST", "/file", "b")
			is.NoErr(got.err)
			is.Equal(got.status, http.StatusCreated)
		})
	}
}
