package node

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"jasminegate/internal/config"
)

const (
	tracerName           = "jasminegate"
	traceShutdownTimeout = 2 * time.Second
)

// telemetry exports traces when an endpoint is set.
type telemetry struct {
	tracer   trace.Tracer
	provider *sdktrace.TracerProvider
}

func newTelemetry(settings config.Settings) (*telemetry, error) {
	if settings.Telemetry.TraceEndpoint == "" {
		return &telemetry{tracer: noop.NewTracerProvider().Tracer(tracerName)}, nil
	}
	exporter, err := otlptracehttp.New(context.Background(), otlptracehttp.WithEndpointURL(settings.Telemetry.TraceEndpoint))
	if err != nil {
		return nil, ErrAddress.New("telemetry.trace_endpoint: %v: give an OTLP/HTTP URL", err)
	}
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(settings.Telemetry.TraceRatio))),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", tracerName),
			attribute.String("service.instance.id", settings.Node.ID),
		)),
	)
	return &telemetry{tracer: provider.Tracer(tracerName), provider: provider}, nil
}

func (t *telemetry) close() {
	if t.provider == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), traceShutdownTimeout)
	defer cancel()
	_ = t.provider.Shutdown(ctx)
}
