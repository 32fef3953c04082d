// Package telemetry sets up logs and traces.
package telemetry

import (
	"context"
	"io"
	"log/slog"
	"os"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"

	"github.com/gooseberryroad/gooseberryroad/settings"
)

// NewLogger returns a logger that writes to w as the settings say.
func NewLogger(s settings.Log, w io.Writer) *slog.Logger {
	var level slog.Level
	if err := level.UnmarshalText([]byte(s.Level)); err != nil {
		level = slog.LevelInfo
	}
	o := &slog.HandlerOptions{Level: level}
	if s.Format == "json" {
		return slog.New(slog.NewJSONHandler(w, o))
	}
	return slog.New(slog.NewTextHandler(w, o))
}

// Part returns the logger of one part of the daemon. Every line of it carries
// the fixed prefix part=NAME.
func WithPart(l *slog.Logger, name string) *slog.Logger { return l.With("part", name) }

// StartTracing installs the global tracer provider and W3C propagation. The
// returned function flushes and stops the exporter.
func StartTracing(ctx context.Context, s settings.Trace, daemon string) (stop func(context.Context) error, err error) {
	otel.SetTextMapPropagator(propagation.TraceContext{})
	var exporter sdktrace.SpanExporter
	switch s.Exporter {
	case "", "none":
		return func(context.Context) error { return nil }, nil
	case "stdout":
		exporter, err = stdouttrace.New(stdouttrace.WithWriter(os.Stdout))
	case "otlp":
		exporter, err = otlptracehttp.New(ctx, otlptracehttp.WithEndpoint(s.Endpoint), otlptracehttp.WithInsecure())
	default:
		return nil, eris.Errorf("unknown trace exporter %q", s.Exporter)
	}
	if err != nil {
		return nil, eris.Wrap(err, "start the trace exporter")
	}
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "gooseberryroad"),
			attribute.String("service.instance.id", daemon),
		)),
	)
	otel.SetTracerProvider(provider)
	return provider.Shutdown, nil
}
