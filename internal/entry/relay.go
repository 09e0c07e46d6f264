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
	out    sink

	// head is the one that the caller got, and held one that waits.
	head *wire.ForwardHead
	held *wire.ForwardHead
	// tokens counts the events that the caller got.
	tokens int
	// broken is true where the caller got a part of an event.
	broken bool
	// done is true once the caller got the last event of a whole stream.
	done bool
	// from is the target whose tokens the caller got first.
	from target
}

// begin prepares for an attempt at the target. Tokens of another version
// cannot go on where the first left off.
func (r *relay) begin(t target) error {
	r.held = nil
	if r.tokens > 0 && r.from.version != t.version {
		return fail.New(fail.TruncatedAnswer, "the version that began the answer is gone").WithRan(fail.RanUnknown)
	}
	if r.tokens == 0 {
		r.from = t
	}
	return nil
}

// repeatable reports whether another attempt can give the caller the rest.
func (r *relay) repeatable(resumable bool) bool {
	if !r.stream || r.head == nil {
		return true
	}
	return resumable && !r.broken && r.tokens > 0
}

// take passes one event on.
func (r *relay) take(e *wire.ForwardEvent) error {
	if !r.stream {
		return r.out(e)
	}
	switch b := e.Body.(type) {
	case *wire.ForwardEvent_Head:
		return r.takeHead(b.Head)
	case *wire.ForwardEvent_Chunk:
		return r.takeChunk(e, b.Chunk)
	case *wire.ForwardEvent_End:
		if err := r.releaseHead(); err != nil {
			return err
		}
		return r.out(e)
	}
	return nil
}

func (r *relay) takeHead(h *wire.ForwardHead) error {
	if r.head == nil {
		r.held = h
		return nil
	}
	if h.Status != r.head.Status || h.ContentType != r.head.ContentType {
		return fail.New(fail.EndpointFailed, "the rest of the answer is refused").WithRan(fail.RanUnknown)
	}
	return nil
}

func (r *relay) releaseHead() error {
	if r.held == nil {
		return nil
	}
	r.head, r.held = r.held, nil
	return r.out(&wire.ForwardEvent{Body: &wire.ForwardEvent_Head{Head: r.head}})
}

func (r *relay) takeChunk(e *wire.ForwardEvent, chunk []byte) error {
	if err := r.releaseHead(); err != nil {
		return err
	}
	r.tokens += endpoint.TokenEvents(chunk)
	r.broken = !endpoint.EndsEvent(chunk)
	r.done = r.done || endpoint.EndsStream(chunk)
	return r.out(e)
}
