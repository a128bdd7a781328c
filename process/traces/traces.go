// Package traces makes the process's OpenTelemetry tracer provider and the
// helpers that carry a trace context across the peer protocol and HTTP.
//
// # Usage
//
//	provider, err := traces.New(ctx, traces.Config{Exporter: traces.ExporterOTLP, Endpoint: "10.0.0.9:4318"})
//	if err != nil {
//		return err
//	}
//	defer provider.Shutdown(ctx)
//	tracer := provider.Tracer("heatherhub/entry")
package traces

import (
	"context"
	"io"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"

	"heatherhub.example/heatherhub"
)

// Exporter names where finished spans go.
type Exporter string

// Exporters.
const (
	ExporterNone   Exporter = "none"
	ExporterStdout Exporter = "stdout"
	ExporterOTLP   Exporter = "otlp"
)

// Config says where spans go and which host they name.
type Config struct {
	Exporter Exporter
	// Endpoint is the IP and port of an OTLP collector that speaks HTTP.
	Endpoint string
	// SampleRatio is the share of traces that are kept, 0 to 1.
	SampleRatio float64
	Out         io.Writer
	Host        heatherhub.HostID
	Domain      heatherhub.FailureDomain
}

// Check reports the first mistake of the settings.
func (c *Config) Check() error {
	switch c.Exporter {
	case ExporterNone, ExporterStdout:
	case ExporterOTLP:
		if c.Endpoint == "" {
			return heatherhub.ErrInvalid.New("the otlp exporter needs an endpoint, for example 10.0.0.9:4318")
		}
	default:
		return heatherhub.ErrInvalid.New("trace exporter %q is unknown: use none, stdout or otlp", c.Exporter)
	}
	if c.SampleRatio < 0 || c.SampleRatio > 1 {
		return heatherhub.ErrInvalid.New("trace ratio %g is not within 0 to 1", c.SampleRatio)
	}
	return nil
}

// New returns a provider. Its Shutdown sends what is left.
func New(ctx context.Context, cfg Config) (*sdktrace.TracerProvider, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	opts := []sdktrace.TracerProviderOption{
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "heatherhub"),
			attribute.String("host.id", string(cfg.Host)),
			attribute.String("heatherhub.domain", string(cfg.Domain)),
		)),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(cfg.SampleRatio))),
	}
	exporter, err := newExporter(ctx, cfg)
	if err != nil {
		return nil, heatherhub.ErrInvalid.Wrap(err, "cannot make the trace exporter: check its endpoint")
	}
	if exporter != nil {
		opts = append(opts, sdktrace.WithBatcher(exporter))
	}
	return sdktrace.NewTracerProvider(opts...), nil
}

func newExporter(ctx context.Context, cfg Config) (sdktrace.SpanExporter, error) {
	switch cfg.Exporter {
	case ExporterStdout:
		return stdouttrace.New(stdouttrace.WithWriter(cfg.Out))
	case ExporterOTLP:
		return otlptracehttp.New(ctx, otlptracehttp.WithEndpoint(cfg.Endpoint), otlptracehttp.WithInsecure())
	default:
		return nil, nil
	}
}
