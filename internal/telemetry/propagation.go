package telemetry

import (
	"context"
	"net/http"
	"strings"

	"connectrpc.com/connect"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"
)

// StartChild is like StartSpan but never starts a trace: it returns a no-op span
// if ctx carries none.
func StartChild(ctx context.Context, name string, attrs ...attribute.KeyValue) (context.Context, trace.Span) {
	if !trace.SpanContextFromContext(ctx).IsValid() {
		return ctx, trace.SpanFromContext(ctx)
	}
	return StartSpan(ctx, name, attrs...)
}

// WithSpanOf returns ctx with the span context of request. It is for work that
// outlives the request and belongs to its trace.
func WithSpanOf(ctx, request context.Context) context.Context {
	return trace.ContextWithSpanContext(ctx, trace.SpanContextFromContext(request))
}

// Interceptor propagates the trace context through unary calls between the
// system's processes. A handler runs in a child span if the call carries one.
func Interceptor() connect.Interceptor {
	return connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
			if req.Spec().IsClient {
				Inject(ctx, req.Header())
				return next(ctx, req)
			}
			procedure := req.Spec().Procedure
			ctx, span := StartChild(Extract(ctx, req.Header()), procedure[strings.LastIndexByte(procedure, '/')+1:])
			defer span.End()
			return next(ctx, req)
		}
	})
}

// Traced wraps next with a span for each request that carries a trace context.
func Traced(name string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, span := StartChild(Extract(r.Context(), r.Header), name, attribute.String("path", r.URL.Path))
		defer span.End()
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}
