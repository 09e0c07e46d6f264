package entry

import (
	"parsleyramp/internal/endpoint"
	"parsleyramp/internal/fail"
	"parsleyramp/internal/wire"
)

// relay passes the answer of one attempt after another to the caller as one
// answer. It holds a stream's head back until the first piece comes, so that a
// stream that breaks before can begin anew.
type relay struct {
	stream bool
	out    eventSink

	// head is the one that the caller got, and held one that waits.
	sentHead     *wire.ForwardHead
	bufferedHead *wire.ForwardHead
	// tokens counts the events that the caller got.
	tokens int
	// broken is true where the caller got a part of an event.
	partialEvent bool
	// done is true once the caller got the last event of a whole stream.
	complete bool
	// from is the target whose tokens the caller got first.
	firstTarget target
}

// begin prepares for an attempt at the target. Tokens of another version
// cannot go on where the first left off.
func (r *relay) begin(t target) error {
	r.bufferedHead = nil
	if r.tokens > 0 && r.firstTarget.version != t.version {
		return fail.New(fail.TruncatedAnswer, "the version that began the answer is gone").WithRan(fail.RanUnknown)
	}
	if r.tokens == 0 {
		r.firstTarget = t
	}
	return nil
}

// repeatable reports whether another attempt can give the caller the rest.
func (r *relay) canContinue(resumable bool) bool {
	if !r.stream || r.sentHead == nil {
		return true
	}
	return resumable && !r.partialEvent && r.tokens > 0
}

// take passes one event on.
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
		return fail.New(fail.EndpointFailed, "the rest of the answer is refused").WithRan(fail.RanUnknown)
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
	r.tokens += endpoint.TokenEvents(chunk)
	r.partialEvent = !endpoint.EndsEvent(chunk)
	r.complete = r.complete || endpoint.EndsStream(chunk)
	return r.out(e)
}
