package endpoint

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"

	"parsleyramp/internal/fail"
	"parsleyramp/internal/telemetry"
)

// Run sends the attempt over HTTP. The failure says that it did not run only
// where no byte of it was written to a connection.
func (h *HTTP) Run(ctx context.Context, address string, r Request) (*Answer, error) {
	var written atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { written.Store(true) },
	})
	// A body without GetBody keeps net/http from sending the request twice.
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+address+r.Path, io.NopCloser(bytes.NewReader(r.Body)))
	if err != nil {
		return nil, fail.Wrap(err, fail.BadRequest, "request")
	}
	req.ContentLength = int64(len(r.Body))
	if len(r.Body) == 0 {
		req.Body = http.NoBody
	}
	if r.ContentType != "" {
		req.Header.Set("Content-Type", r.ContentType)
	}
	req.Header.Set(HeaderRequestID, r.ID)
	if r.Incarnation != "" {
		req.Header.Set(HeaderIncarnation, r.Incarnation)
	}
	telemetry.Inject(ctx, req.Header)
	resp, err := h.client.Do(req)
	if err != nil {
		return nil, runFailure(err, written.Load())
	}
	return checkAnswer(r, resp)
}

func runFailure(err error, written bool) error {
	ran := fail.RanUnknown
	var op *net.OpError
	if !written || (errors.As(err, &op) && op.Op == "dial") {
		ran = fail.RanNo
	}
	return fail.Wrap(err, fail.EndpointFailed, "the endpoint did not answer").WithRan(ran)
}

// checkAnswer refuses an answer that names another request, and wraps the
// body so that a stream without its last event is not taken for whole.
func checkAnswer(r Request, resp *http.Response) (*Answer, error) {
	if id := resp.Header.Get(HeaderRequestID); id != "" && id != r.ID {
		resp.Body.Close()
		return nil, fail.New(fail.ForeignAnswer, "the answer names another request").WithRan(fail.RanUnknown)
	}
	a := &Answer{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: resp.Body}
	if strings.HasPrefix(a.ContentType, "text/event-stream") && resp.StatusCode == http.StatusOK {
		a.Body = &eventStream{body: resp.Body}
	}
	return a, nil
}

// doneEvent is the last event of a whole OpenAI-style stream.
var doneEvent = []byte("data: [DONE]")

// eventStream passes a stream on and ends with an error where the last event
// is missing.
type eventStream struct {
	body io.ReadCloser
	tail []byte
}

const tailBytes = 64

// Read reads from the stream.
func (s *eventStream) Read(p []byte) (int, error) {
	n, err := s.body.Read(p)
	s.tail = append(s.tail, p[:n]...)
	if len(s.tail) > tailBytes {
		s.tail = append(s.tail[:0], s.tail[len(s.tail)-tailBytes:]...)
	}
	if err == nil {
		return n, nil
	}
	if errors.Is(err, io.EOF) && bytes.HasSuffix(bytes.TrimRight(s.tail, "\r\n"), doneEvent) {
		return n, io.EOF
	}
	if errors.Is(err, io.EOF) {
		return n, fail.New(fail.TruncatedAnswer, "the stream ended before its last event").WithRan(fail.RanYes)
	}
	return n, fail.Wrap(err, fail.TruncatedAnswer, "the stream broke").WithRan(fail.RanYes)
}

// Close closes the connection's stream.
func (s *eventStream) Close() error { return s.body.Close() }
