// Package traces creates the OpenTelemetry tracer provider of an entry host.
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

// Exporter selects where finished spans are sent.
type Exporter string

const (
	// ExporterNone discards all spans.
	ExporterNone Exporter = "none"
	// ExporterStdout writes spans to Config.Out.
	ExporterStdout Exporter = "stdout"
	// ExporterOTLP sends spans to an OTLP collector over plain HTTP.
	ExporterOTLP Exporter = "otlp"
)

// Config selects the exporter, the sampling and the resource attributes of spans.
type Config struct {
	Exporter Exporter
	// Endpoint is the IP address and port of an OTLP collector that accepts HTTP. It
	// is required by ExporterOTLP and ignored by the others.
	Endpoint string
	// SampleRatio is the fraction of new traces that are sampled, 0 to 1. A trace
	// that arrives with a sampling decision keeps it.
	SampleRatio float64
	// Out receives the spans of ExporterStdout.
	Out io.Writer
	// Host and Domain become resource attributes of every span.
	Host   heatherhub.HostID
	Domain heatherhub.FailureDomain
}

// Check returns ErrInvalid for the first invalid setting.
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

// New returns a tracer provider. The caller must call its Shutdown, which exports the
// buffered spans.
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
		return nil, heatherhub.ErrInvalid.Wrap(err, "cannot create the trace exporter: check its endpoint")
	}
	if exporter != nil {
		opts = append(opts, sdktrace.WithBatcher(exporter))
	}
	return sdktrace.NewTracerProvider(opts...), nil
}

// newExporter returns the selected exporter, or nil for ExporterNone.
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
