package entry

import (
	"parsleyramp/internal/endpoint"
	"parsleyramp/internal/fail"
	"parsleyramp/internal/wire"
)

// relay forwards the responses of consecutive attempts to the client as one
// response. It buffers the head of a stream until the first chunk arrives, so that
// a stream that fails before then can start again from the beginning.
type relay struct {
	stream bool
	out    eventSink

	// sentHead was sent to the client. bufferedHead waits for the first chunk.
	sentHead     *wire.ForwardHead
	bufferedHead *wire.ForwardHead
	// tokens counts the token events that were sent to the client.
	tokens int
	// partialEvent is set if the last chunk that was sent ends within an event.
	partialEvent bool
	// complete is set once the end-of-stream event was sent to the client.
	complete bool
	// firstTarget is the target whose tokens were sent to the client first.
	firstTarget target
}

// begin prepares for an attempt at the target. A stream cannot be resumed by
// another version of the model.
func (r *relay) begin(t target) error {
	r.bufferedHead = nil
	if r.tokens > 0 && r.firstTarget.version != t.version {
		return fail.New(fail.TruncatedAnswer, "the model version that began the response no longer serves it").WithRan(fail.RanUnknown)
	}
	if r.tokens == 0 {
		r.firstTarget = t
	}
	return nil
}

// canContinue reports whether another attempt can send the rest of the response.
func (r *relay) canContinue(resumable bool) bool {
	if !r.stream || r.sentHead == nil {
		return true
	}
	return resumable && endpoint.IsEventStream(int(r.sentHead.Status), r.sentHead.ContentType) && !r.partialEvent && r.tokens > 0
}

// handle forwards one event of an attempt.
func (r *relay) handle(e *wire.ForwardEvent) error {
	if !r.stream {
		return r.out(e)
	}
	switch b := e.Body.(type) {
	case *wire.ForwardEvent_Head:
		return r.handleHead(b.Head)
	case *wire.ForwardEvent_Chunk:
		return r.handleChunk(e, b.Chunk)
	case *wire.ForwardEvent_End:
		if err := r.sendHead(); err != nil {
			return err
		}
		return r.out(e)
	}
	return nil
}

func (r *relay) handleHead(h *wire.ForwardHead) error {
	if r.sentHead == nil {
		r.bufferedHead = h
		return nil
	}
	if h.Status != r.sentHead.Status || h.ContentType != r.sentHead.ContentType {
		return fail.New(fail.EndpointFailed, "the status or content type of the resumed response differs").WithRan(fail.RanUnknown)
	}
	return nil
}

func (r *relay) sendHead() error {
	if r.bufferedHead == nil {
		return nil
	}
	r.sentHead, r.bufferedHead = r.bufferedHead, nil
	return r.out(&wire.ForwardEvent{Body: &wire.ForwardEvent_Head{Head: r.sentHead}})
}

func (r *relay) handleChunk(e *wire.ForwardEvent, chunk []byte) error {
	if err := r.sendHead(); err != nil {
		return err
	}
	r.tokens += endpoint.CountTokenEvents(chunk)
	r.partialEvent = !endpoint.EndsEvent(chunk)
	r.complete = r.complete || endpoint.EndsStream(chunk)
	return r.out(e)
}
