// Package telemetry sets up the logs, metrics and traces of every program.
package telemetry

import (
	"context"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"

	"parsleyramp/internal/fail"
	"parsleyramp/internal/settings"
)

// Settings configures the logs and traces of a program.
type Settings struct {
	// LogLevel is debug, info, warning or error.
	LogLevel string `json:"log_level"`
	// LogBytesPerSecond limits the rate of the log; lines beyond it are dropped
	// and counted.
	LogBytesPerSecond int `json:"log_bytes_per_second"`
	// TraceFile is the file to which spans are appended as JSON; empty for none.
	TraceFile string `json:"trace_file"`
	// TraceOTLP is the ip:port of an OTLP/HTTP collector; empty for none.
	TraceOTLP string `json:"trace_otlp"`
}

// Defaults returns the default settings, which disable tracing.
func Defaults() Settings { return Settings{LogLevel: "info", LogBytesPerSecond: 64 << 10} }

// Check records the fields with invalid values in c.
func (s Settings) Check(c *settings.Checker) {
	_, err := logrus.ParseLevel(s.LogLevel)
	c.Require(err == nil, "telemetry.log_level", "debug, info, warning or error")
	c.Require(s.LogBytesPerSecond > 0, "telemetry.log_bytes_per_second", "above 0")
	c.Require(s.TraceFile == "" || s.TraceOTLP == "", "telemetry.trace_otlp", "empty while trace_file is set")
	if s.TraceOTLP != "" {
		c.Address("telemetry.trace_otlp", s.TraceOTLP)
	}
}

// NewLogger returns a logger that writes one key=value line for each event.
func NewLogger(s Settings, out io.Writer, program, id string) *logrus.Entry {
	l := logrus.New()
	l.SetOutput(out)
	l.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: time.RFC3339Nano})
	if level, err := logrus.ParseLevel(s.LogLevel); err == nil {
		l.SetLevel(level)
	}
	return l.WithFields(logrus.Fields{"program": program, "id": id})
}

// StartTracing installs the global propagator and, if the settings enable tracing,
// the global tracer provider. The returned function flushes the spans and stops the
// tracer provider.
func StartTracing(ctx context.Context, s Settings, program, id string) (func(context.Context) error, error) {
	otel.SetTextMapPropagator(propagation.TraceContext{})
	exporter, err := newExporter(ctx, s)
	if err != nil {
		return nil, err
	}
	if exporter == nil {
		return func(context.Context) error { return nil }, nil
	}
	res := resource.NewSchemaless(attribute.String("service.name", program), attribute.String("service.instance.id", id))
	provider := sdktrace.NewTracerProvider(sdktrace.WithBatcher(exporter), sdktrace.WithResource(res))
	otel.SetTracerProvider(provider)
	return provider.Shutdown, nil
}

func newExporter(ctx context.Context, s Settings) (sdktrace.SpanExporter, error) {
	switch {
	case s.TraceFile != "":
		f, err := os.OpenFile(s.TraceFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return nil, fail.Wrap(err, fail.BadSettings, "open trace file")
		}
		exporter, err := stdouttrace.New(stdouttrace.WithWriter(f))
		if err != nil {
			return nil, fail.Wrap(err, fail.BadSettings, "trace file exporter")
		}
		return exporter, nil
	case s.TraceOTLP != "":
		exporter, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpoint(s.TraceOTLP), otlptracehttp.WithInsecure())
		if err != nil {
			return nil, fail.Wrap(err, fail.BadSettings, "OTLP exporter")
		}
		return exporter, nil
	}
	return nil, nil
}

// StartSpan starts a span as a child of the one in ctx, or a new trace if there is none.
func StartSpan(ctx context.Context, name string, attrs ...attribute.KeyValue) (context.Context, trace.Span) {
	return otel.Tracer("parsleyramp").Start(ctx, name, trace.WithAttributes(attrs...))
}

// Inject writes the trace context of ctx into the headers.
func Inject(ctx context.Context, h http.Header) {
	otel.GetTextMapPropagator().Inject(ctx, propagation.HeaderCarrier(h))
}

// Extract returns ctx with the trace context that the headers carry.
func Extract(ctx context.Context, h http.Header) context.Context {
	return otel.GetTextMapPropagator().Extract(ctx, propagation.HeaderCarrier(h))
}

// MetricsHandler serves the metrics of the process in the Prometheus text format.
// Each of the collectors adds metrics that are computed on each scrape.
func MetricsHandler(collectors ...func(context.Context, *metrics.Set)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		set := metrics.NewSet()
		for _, add := range collectors {
			add(r.Context(), set)
		}
		set.WritePrometheus(w)
		metrics.WritePrometheus(w, true)
	})
}
