package entry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"go.opentelemetry.io/otel/attribute"

	"parsleyramp/internal/endpoint"
	"parsleyramp/internal/fail"
	"parsleyramp/internal/telemetry"
	"parsleyramp/internal/wire"
)

// beforeSend checks the lease, the view and the endpoint's limit once a connection is
// ready, and records the attempt as in flight.
func (o *owner) beforeSend(a *ownedAttempt, r *wire.ForwardRequest) error {
	if _, err := o.validate(r); err != nil {
		return err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if err := o.takePermitLocked(a.vm); err != nil {
		return err
	}
	a.sentAt = o.clock()
	o.tracker.Begin(a.vm.Id, a.vm.Incarnation, a.id, r.Fingerprint)
	return nil
}

// runOnEndpoint sends the attempt to the endpoint and forwards the response. A
// truncated response ends with an error and never with an end event.
func (o *owner) runOnEndpoint(ctx context.Context, a *ownedAttempt, r *wire.ForwardRequest, out eventSink) error {
	ctx, span := telemetry.StartSpan(ctx, "endpoint", attribute.String("address", a.vm.Address))
	defer span.End()
	isEngine := a.vm.Kind == wire.EndpointKind_ENDPOINT_KIND_ENGINE
	response, err := o.engines.Run(ctx, a.vm.Address, endpoint.Request{
		ID: r.RequestId, Method: r.Method, Path: r.Path, ContentType: r.ContentType, Body: r.Body, Incarnation: a.vm.Incarnation,
		RequireID: isEngine, ResponseID: r.AnswerId, BeforeSend: func() error { return o.beforeSend(a, r) },
	})
	if err != nil {
		if isEngine && fail.From(err).Ran != fail.RanNo {
			o.cancel(ctx, a.vm, r)
		}
		return err
	}
	defer response.Body.Close()
	o.observeLimit(a.vm, response, a.sentAt)
	if isEngine {
		if err := engineError(response); err != nil {
			return err
		}
	}
	err = o.forwardResponse(a, response, out)
	if err != nil && isEngine {
		o.cancel(ctx, a.vm, r)
	}
	return err
}

// engineError returns the failure that an engine's status indicates, or nil if the
// response is to be forwarded to the client.
func engineError(response *endpoint.Response) error {
	switch {
	case response.Status == http.StatusNotFound && response.HasRequestID:
		return fail.New(fail.NoReplica, "the engine does not have the model").WithRetryAfter(time.Second)
	case response.Status >= http.StatusInternalServerError, response.Status == http.StatusNotFound, response.Status == http.StatusTooManyRequests:
		return fail.New(fail.EndpointFailed, "the engine responded with status "+strconv.Itoa(response.Status)).
			WithRan(fail.RanUnknown).WithRetryAfter(time.Second)
	}
	return nil
}

// forwardResponse sends the response to the sink, chunk by chunk as it arrives.
func (o *owner) forwardResponse(a *ownedAttempt, response *endpoint.Response, out eventSink) error {
	head := &wire.ForwardHead{Status: uint32(response.Status), ContentType: response.ContentType, Load: o.load(a.vm.Id)}
	if err := out(&wire.ForwardEvent{Body: &wire.ForwardEvent_Head{Head: head}}); err != nil {
		return err
	}
	awaitingFirstToken := strings.HasPrefix(response.ContentType, "text/event-stream")
	buf := make([]byte, chunkBytes)
	for {
		n, readErr := response.Body.Read(buf)
		if n > 0 {
			if awaitingFirstToken {
				o.recordFirstToken(a)
				awaitingFirstToken = false
			}
			chunk := append([]byte(nil), buf[:n]...)
			if err := out(&wire.ForwardEvent{Body: &wire.ForwardEvent_Chunk{Chunk: chunk}}); err != nil {
				return err
			}
		}
		if errors.Is(readErr, io.EOF) {
			return out(&wire.ForwardEvent{Body: &wire.ForwardEvent_End{End: &wire.ForwardEnd{Load: o.load(a.vm.Id)}}})
		}
		if readErr != nil {
			f := fail.From(readErr)
			return fail.Wrap(readErr, truncationCode(f.Code), "the response was truncated").WithRan(fail.RanUnknown)
		}
	}
}

// truncationCode returns the code for a response that failed with code c while it
// was read.
func truncationCode(c fail.Code) fail.Code {
	if c == fail.ForeignAnswer {
		return c
	}
	return fail.TruncatedAnswer
}

func (o *owner) recordFirstToken(a *ownedAttempt) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.endpoints[a.vm.Id].admission.ObserveFirstToken(o.clock(), a.id)
}

// cancel notifies an engine that a response is no longer needed. The connection is
// closed too, but some engines do not detect that.
func (o *owner) cancel(ctx context.Context, vm *wire.Endpoint, r *wire.ForwardRequest) {
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	go func() {
		defer stop()
		_ = o.engines.Cancel(ctx, vm.Address, r.RequestId)
	}()
}
