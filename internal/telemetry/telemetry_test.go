package telemetry

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"

	"connectrpc.com/connect"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"parsleyramp/internal/wire"
	"parsleyramp/internal/wire/wireconnect"
)

// startTracing starts tracing for the duration of the test.
func startTracing(t *testing.T, s Settings) (flush func()) {
	t.Helper()
	stop, err := StartTracing(context.Background(), s, "program", "id")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { otel.SetTracerProvider(noop.NewTracerProvider()) })
	return func() {
		if err := stop(context.Background()); err != nil {
			t.Fatal(err)
		}
	}
}

func TestTracingIsOffByDefault(t *testing.T) {
	flush := startTracing(t, Defaults())
	_, span := StartSpan(t.Context(), "caller")
	if span.IsRecording() {
		t.Fatal("a span is recorded with the default settings")
	}
	flush()
}

func TestSpansAreWrittenToTheFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "spans.json")
	flush := startTracing(t, Settings{TraceFile: path})
	_, span := StartSpan(t.Context(), "caller")
	span.End()
	flush()
	text, err := os.ReadFile(path)
	if err != nil || !strings.Contains(string(text), `"Name":"caller"`) {
		t.Fatalf("%s: %v, want a span named caller", text, err)
	}
}

func TestSpansAreExportedToTheCollector(t *testing.T) {
	var received atomic.Int64
	collector := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		if r.Method == http.MethodPost && r.URL.Path == "/v1/traces" && len(body) > 0 {
			received.Add(1)
		}
	}))
	defer collector.Close()
	flush := startTracing(t, Settings{TraceOTLP: strings.TrimPrefix(collector.URL, "http://")})
	_, span := StartSpan(t.Context(), "caller")
	span.End()
	flush()
	if received.Load() != 1 {
		t.Fatalf("the collector received %d exports, want 1", received.Load())
	}
}

// spanRecorder is a control service that records the span context of the last call.
type spanRecorder struct {
	wireconnect.UnimplementedControlServiceHandler
	received trace.SpanContext
}

func (s *spanRecorder) BeginClaim(ctx context.Context, _ *connect.Request[wire.BeginClaim]) (*connect.Response[wire.BeginClaimResponse], error) {
	s.received = trace.SpanContextFromContext(ctx)
	return connect.NewResponse(&wire.BeginClaimResponse{}), nil
}

func TestTraceContextPropagatesThroughCalls(t *testing.T) {
	startTracing(t, Settings{TraceFile: filepath.Join(t.TempDir(), "spans.json")})
	s := &spanRecorder{}
	mux := http.NewServeMux()
	mux.Handle(wireconnect.NewControlServiceHandler(s, connect.WithInterceptors(Interceptor())))
	server := httptest.NewServer(mux)
	defer server.Close()
	client := wireconnect.NewControlServiceClient(http.DefaultClient, server.URL, connect.WithInterceptors(Interceptor()))
	call := func(ctx context.Context) trace.SpanContext {
		if _, err := client.BeginClaim(ctx, connect.NewRequest(&wire.BeginClaim{})); err != nil {
			t.Fatal(err)
		}
		return s.received
	}
	if untraced := call(t.Context()); untraced.IsValid() {
		t.Error("a call without a trace context started a trace")
	}
	ctx, span := StartSpan(t.Context(), "caller")
	defer span.End()
	got := call(ctx)
	if got.TraceID() != span.SpanContext().TraceID() || got.SpanID() == span.SpanContext().SpanID() {
		t.Errorf("called in span %v, want another span of the trace of %v", got, span.SpanContext())
	}
}
