package answer

import (
	"bytes"
	"errors"
	"io"
)

const (
	// MaxEventBytes bounds the bytes of an event that is not complete yet, and
	// MaxStreamBytes those of a stream.
	MaxEventBytes   = 256 << 10
	MaxStreamBytes  = 64 << 20
	readBufferBytes = 8 << 10
	// MinHeldBytes is the least size of a part of an answer that is reported as held in memory.
	MinHeldBytes = 4 << 10
)

// Events reads a stream of server-sent events (WHATWG HTML, section 9.2.6). A line ends
// with CR, LF or both, an event with an empty line; comments belong to no event.
type Events struct {
	// Hold, if not nil, is called with the number of bytes that are held in memory for an event that
	// is not complete after MinHeldBytes, and with zero once they are not. If it fails, so does the stream.
	Hold    func(bytes int) error
	body    io.Reader
	framing Framing
	buffer  []byte
	// pending holds the bytes that have been read and not returned. The first scanned
	// of them are known to the position, and the first complete are whole events.
	pending []byte
	// total counts the bytes that have been read.
	total             int
	scanned, complete int
	position          position
	// any is set once an event is complete.
	any bool
	// held is set while bytes are reported as held.
	held bool
	// cut is set if the body has ended inside an event.
	cut bool
	err error
}

// NewEvents returns a reader of the events in the body.
func NewEvents(body io.Reader, f Framing) *Events {
	return &Events{body: body, framing: f, buffer: make([]byte, readBufferBytes)}
}

// Next returns the bytes of one or more complete events, with the comments between them.
// They are valid until the next call. It returns io.EOF once the stream has ended and is
// whole: not inside an event, and, if only the end of the connection ended it, after at
// least one event. Otherwise it fails with fail.TruncatedAnswer.
func (e *Events) Next() ([]byte, error) {
	e.pending = append(e.pending[:0], e.pending[e.complete:]...)
	e.scanned -= e.complete
	e.complete = 0
	e.release()
	for e.err == nil {
		n, err := e.body.Read(e.buffer)
		if e.total += n; e.total > MaxStreamBytes {
			e.err = truncated(nil, "the stream exceeds the size limit")
			break
		}
		e.pending = append(e.pending, e.buffer[:n]...)
		e.scan()
		if e.err = e.hold(); e.err != nil {
			break
		}
		if err != nil {
			e.err = e.end(err)
		}
		if e.complete > 0 {
			return e.pending[:e.complete], nil
		}
		if e.err == nil && len(e.pending) > MaxEventBytes {
			e.err = truncated(nil, "an event of the stream exceeds the size limit")
		}
	}
	return nil, e.err
}

// hold reports the bytes of a long event that is not complete.
func (e *Events) hold() error {
	if e.Hold == nil || e.complete > 0 || len(e.pending) < MinHeldBytes {
		return nil
	}
	e.held = true
	if err := e.Hold(cap(e.pending)); err != nil {
		return truncated(err, "an event of the stream cannot be held")
	}
	return nil
}

// release drops the memory of a long event that was returned.
func (e *Events) release() {
	if !e.held || len(e.pending) >= MinHeldBytes {
		return
	}
	e.held = false
	e.pending = append([]byte(nil), e.pending...)
	// Holding nothing does not fail, unless the stream has been given up, which its reader notices.
	_ = e.Hold(0)
}

// Any reports whether an event is complete.
func (e *Events) Any() bool { return e.any }

// Cut reports whether the body has ended, in order, inside an event.
func (e *Events) Cut() bool { return e.cut }

// scan advances the position over the bytes that have been read.
func (e *Events) scan() {
	for ; e.scanned < len(e.pending); e.scanned++ {
		if e.position.step(e.pending[e.scanned]) {
			e.any = true
		}
		if e.position.betweenEvents() {
			e.complete = e.scanned + 1
		}
	}
}

// end returns the error of a stream whose body ended with err.
func (e *Events) end(err error) error {
	switch {
	case !errors.Is(err, io.EOF):
		return truncated(err, "the stream was interrupted")
	case !e.position.betweenEvents():
		e.cut = true
		return truncated(nil, "the stream ended within an event")
	case !e.any && e.framing == ByConnection:
		return truncated(nil, "the connection ended before the first event of the stream")
	}
	return io.EOF
}

// position is a position in a stream of events. Its zero value is the start.
type position struct {
	// inLine is set within a line, inEvent within an event, afterCR after a CR, to which
	// an LF belongs.
	inLine, inEvent, afterCR bool
}

// betweenEvents reports whether no event and no line is incomplete.
func (p position) betweenEvents() bool { return !p.inLine && !p.inEvent }

// step advances the position by one byte, and reports whether that completes an event.
func (p *position) step(b byte) bool {
	afterCR := p.afterCR
	p.afterCR = b == '\r'
	switch {
	case b == '\n' && afterCR:
		return false
	case b != '\n' && b != '\r':
		if !p.inLine && b != ':' {
			p.inEvent = true
		}
		p.inLine = true
		return false
	}
	completes := !p.inLine && p.inEvent
	if completes {
		p.inEvent = false
	}
	p.inLine = false
	return completes
}

// CutEvent returns the first complete event of p, with the empty line that ends it and
// the comments before it, and the rest. It returns false if p has no complete event.
func CutEvent(p []byte) (event, rest []byte, ok bool) {
	var at position
	for i, b := range p {
		if !at.step(b) {
			continue
		}
		end := i + 1
		if b == '\r' && end < len(p) && p[end] == '\n' {
			end++
		}
		return p[:end], p[end:], true
	}
	return nil, p, false
}

// LastEvent returns the id of the last complete event of p, empty if that event has none, and
// whether p has an event at all.
func LastEvent(p []byte) (id string, ok bool) {
	var last []byte
	for {
		event, rest, more := CutEvent(p)
		if !more {
			return LastEventID(last), last != nil
		}
		last, p = event, rest
	}
}

// LastEventID returns the id of the last event in p that has one.
func LastEventID(p []byte) string {
	last := ""
	for _, line := range Lines(p) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			last = string(bytes.TrimPrefix(value, []byte(" ")))
		}
	}
	return last
}

// Lines returns the lines of complete events that are not empty, without their ends.
func Lines(p []byte) [][]byte {
	return bytes.FieldsFunc(p, func(r rune) bool { return r == '\n' || r == '\r' })
}
