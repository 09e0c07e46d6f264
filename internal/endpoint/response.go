package endpoint

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"strings"

	"parsleyramp/internal/answer"
	"parsleyramp/internal/buffers"
	"parsleyramp/internal/fail"
)

const (
	// maxJSONBytes bounds a response that is buffered and checked before it is passed on,
	// and maxPassedBytes one that is passed on as it arrives.
	maxJSONBytes   = 16 << 20
	maxPassedBytes = 64 << 20
	// maxAllBufferedBytes bounds what all responses hold that cannot be passed on yet.
	maxAllBufferedBytes = 32 << 20
)

// doneData is the data of the last event of a complete OpenAI-style stream.
const doneData = "[DONE]"

// eventDelimiter ends every event that a stream of this package passes on.
const eventDelimiter = "\n\n"

func truncated(err error, message string) error {
	if err == nil || errors.Is(err, io.EOF) {
		return fail.New(fail.TruncatedAnswer, message).WithRan(fail.RanUnknown)
	}
	return fail.Wrap(err, fail.TruncatedAnswer, message).WithRan(fail.RanUnknown)
}

func foreignResponse(message string) error {
	return fail.New(fail.ForeignAnswer, message).WithRan(fail.RanUnknown)
}

// eventStream passes on complete server-sent events, each ended by an empty
// line. If requireID is set, it checks that each event carries the request ID.
// It drops comments. It returns io.EOF only after the last event of a complete
// stream.
type eventStream struct {
	body       io.Closer
	events     *answer.Events
	requestID  string
	responseID string
	requireID  bool
	ready      []byte
	done       bool
	err        error
}

func newEventStream(resp *heldResponse, r Request) *eventStream {
	events := answer.NewEvents(resp.Body, answer.HeadOf(resp.Response).Framing)
	events.Hold = resp.hold
	return &eventStream{
		body: resp.Body, events: events,
		requestID: r.ID, responseID: r.ResponseID, requireID: r.RequireID,
	}
}

// Read reads complete events, as far as they fit into p.
func (s *eventStream) Read(p []byte) (int, error) {
	for len(s.ready) == 0 && s.err == nil {
		s.fill()
	}
	if len(s.ready) == 0 {
		return 0, s.err
	}
	n := copy(p, s.ready)
	s.ready = s.ready[n:]
	return n, nil
}

// Close closes the body of the response.
func (s *eventStream) Close() error { return s.body.Close() }

func (s *eventStream) fill() {
	events, err := s.events.Next()
	s.ready = s.ready[:0]
	if errors.Is(err, io.EOF) && !s.done {
		err = truncated(err, "the stream ended before its last event")
	}
	s.err = err
	for s.err == nil {
		event, rest, ok := answer.CutEvent(events)
		if !ok {
			break
		}
		events = rest
		s.err = s.accept(event)
	}
}

// accept checks one event and appends its data to ready. It drops the other fields
// of the event, and events without data.
func (s *eventStream) accept(event []byte) error {
	data := eventData(event)
	if len(data) == 0 {
		return nil
	}
	if s.done {
		return foreignResponse("the stream contains data after its last event")
	}
	if string(data) == doneData {
		s.done = true
		s.ready = append(s.ready, "data: "+doneData+eventDelimiter...)
		return nil
	}
	if !s.requireID {
		s.ready = append(append(append(s.ready, "data: "...), data...), eventDelimiter...)
		return nil
	}
	start, end, ok := topLevelString(data, "id")
	if !ok || !matchesRequestID(string(data[start:end]), s.requestID) {
		return foreignResponse("an event does not carry the ID of this request")
	}
	s.ready = append(s.ready, "data: "...)
	if s.responseID == "" {
		s.ready = append(append(s.ready, data...), eventDelimiter...)
		return nil
	}
	s.ready = append(s.ready, data[:start]...)
	s.ready = append(s.ready, s.responseID...)
	s.ready = append(append(s.ready, data[end:]...), eventDelimiter...)
	return nil
}

// eventData returns the data lines of an event, joined by spaces. The WHATWG HTML
// standard, section 9.2.6, joins them by line feeds, which cannot be part of the
// one data line that is passed on. Both are white space in JSON.
func eventData(event []byte) []byte {
	var data []byte
	for _, line := range answer.Lines(event) {
		value, ok := bytes.CutPrefix(line, []byte("data:"))
		if !ok {
			continue
		}
		value = bytes.TrimPrefix(value, []byte(" "))
		if data == nil {
			data = value
			continue
		}
		data = append(append(bytes.Clone(data), ' '), value...)
	}
	return data
}

// matchesRequestID reports whether an ID in a response is the request ID, before
// which engines may put a prefix of their own, such as chatcmpl-.
func matchesRequestID(id, requestID string) bool {
	prefix, ok := strings.CutSuffix(id, requestID)
	return ok && (prefix == "" || strings.HasSuffix(prefix, "-"))
}

// CountTokenEvents counts the events in a chunk of complete events, except the
// last event of the stream. Engines send one token per event.
func CountTokenEvents(chunk []byte) int {
	n := bytes.Count(chunk, []byte(eventDelimiter))
	if EndsStream(chunk) {
		n--
	}
	return n
}

// EndsStream reports whether the chunk ends with the last event of a stream.
func EndsStream(chunk []byte) bool {
	return bytes.HasSuffix(chunk, []byte("data: "+doneData+eventDelimiter))
}

// EndsEvent reports whether the chunk ends with a complete event.
func EndsEvent(chunk []byte) bool { return bytes.HasSuffix(chunk, []byte(eventDelimiter)) }

// topLevelString finds a top-level string field of a JSON object without
// decoding the object. It returns the bounds of the value without its quotes.
func topLevelString(object []byte, field string) (start, end int, ok bool) {
	depth, key := 0, false
	for i := 0; i < len(object); i++ {
		switch object[i] {
		case '{', '[':
			depth++
			key = depth == 1
		case '}', ']':
			depth--
		case ',':
			key = depth == 1
		case ':':
			key = false
		case '"':
			from := i + 1
			i = stringEnd(object, from)
			if i < 0 {
				return 0, 0, false
			}
			if key && string(object[from:i]) == field {
				return stringValue(object, i+1)
			}
		}
	}
	return 0, 0, false
}

// stringEnd returns the index of the quote that ends the string, or -1.
func stringEnd(b []byte, from int) int {
	for i := from; i < len(b); i++ {
		switch b[i] {
		case '\\':
			i++
		case '"':
			return i
		}
	}
	return -1
}

// stringValue returns the bounds of the string that follows a colon.
func stringValue(b []byte, at int) (start, end int, ok bool) {
	rest := bytes.TrimLeft(b[at:], " \t\r\n")
	if len(rest) == 0 || rest[0] != ':' {
		return 0, 0, false
	}
	rest = bytes.TrimLeft(rest[1:], " \t\r\n")
	if len(rest) == 0 || rest[0] != '"' {
		return 0, 0, false
	}
	start = len(b) - len(rest) + 1
	end = stringEnd(b, start)
	return start, end, end >= 0
}

// jsonBody passes on a JSON response once it has been read to its end and found
// complete. If requestID is set, the response must carry it.
type jsonBody struct {
	resp      *heldResponse
	head      answer.Head
	requestID string
	checked   *bytes.Reader
	err       error
}

// Read reads the checked response.
func (j *jsonBody) Read(p []byte) (int, error) {
	if j.checked == nil && j.err == nil {
		j.readAll()
	}
	if j.err != nil {
		return 0, j.err
	}
	return j.checked.Read(p)
}

// Close closes the body of the response.
func (j *jsonBody) Close() error { return j.resp.Body.Close() }

func (j *jsonBody) readAll() {
	data, err := answer.ReadAll(buffers.NewReader(j.resp.Body, j.resp.hold), j.head, maxJSONBytes)
	object := bytes.TrimSpace(data)
	isContainer := len(object) > 0 && (object[0] == '{' || object[0] == '[')
	switch {
	case err != nil:
		j.err = err
	case !isContainer || !json.Valid(data):
		j.err = truncated(nil, "the response is not a complete JSON object or array")
	case j.requestID != "" && !j.hasRequestID(object):
		j.err = foreignResponse("the response does not carry the ID of this request")
	default:
		j.checked = bytes.NewReader(data)
	}
}

func (j *jsonBody) hasRequestID(object []byte) bool {
	start, end, ok := topLevelString(object, "id")
	return ok && matchesRequestID(string(object[start:end]), j.requestID)
}
