package calls

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"jasminegate/internal/coordination/call"
	"jasminegate/internal/coordination/gate"
	"jasminegate/internal/protocol/headers"
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
