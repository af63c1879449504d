package calls

import (
	"context"
	"net/http"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"jasminegate/internal/coordination/call"
	"jasminegate/internal/protocol/wire"
)

// propagator passes spans between hops in the W3C traceparent header.
var propagator = propagation.TraceContext{}

// startEntrySpan starts the span of a caller's request.
func (r *Runner) startEntrySpan(request *http.Request) (context.Context, trace.Span) {
	ctx := propagator.Extract(request.Context(), propagation.HeaderCarrier(request.Header))
	return r.options.Tracer.Start(ctx, "entry", trace.WithSpanKind(trace.SpanKindServer))
}

// startAttemptSpan starts the span of one attempt.
func (r *Runner) startAttemptSpan(ctx context.Context, gate string, id call.ID) (context.Context, trace.Span) {
	return r.options.Tracer.Start(ctx, "attempt", trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("gate", gate), attribute.String("call", formatID(id))))
}

// startGateSpan starts the span of a call at the gate.
func (r *Runner) startGateSpan(ctx context.Context, start *wire.CallStart) (context.Context, trace.Span) {
	ctx = propagator.Extract(ctx, wireCarrier{start})
	return r.options.Tracer.Start(ctx, "gate", trace.WithSpanKind(trace.SpanKindServer))
}

// startTargetSpan starts the span of the request to the target.
func (r *Runner) startTargetSpan(ctx context.Context, c *gateCall) (context.Context, trace.Span) {
	return r.options.Tracer.Start(ctx, "target", trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("route", c.start.Route)))
}

// wireCarrier is a propagation.TextMapCarrier for the headers of a CallStart.
type wireCarrier struct{ start *wire.CallStart }

// Get returns the first value of the header, or an empty string.
func (c wireCarrier) Get(name string) string {
	name = http.CanonicalHeaderKey(name)
	for _, header := range c.start.Headers {
		if header.Name == name && len(header.Values) > 0 {
			return header.Values[0]
		}
	}
	return ""
}

// Set replaces the header.
func (c wireCarrier) Set(name, value string) {
	name = http.CanonicalHeaderKey(name)
	for _, header := range c.start.Headers {
		if header.Name == name {
			header.Values = []string{value}
			return
		}
	}
	c.start.Headers = append(c.start.Headers, &wire.Header{Name: name, Values: []string{value}})
}

// Keys returns the names of the headers.
func (c wireCarrier) Keys() []string {
	names := make([]string, 0, len(c.start.Headers))
	for _, header := range c.start.Headers {
		names = append(names, header.Name)
	}
	return names
}
