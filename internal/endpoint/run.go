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

	"parsleyramp/internal/answer"
	"parsleyramp/internal/buffers"
	"parsleyramp/internal/fail"
	"parsleyramp/internal/ratelimit"
	"parsleyramp/internal/telemetry"
)

// maxStaleConns bounds how often an attempt is moved to another connection because
// the endpoint had closed the idle connection that was reused.
const maxStaleConns = 8

// Run sends the attempt over HTTP. Its error states that the attempt did not run
// only if no byte of it was written to a connection.
func (h *HTTP) Run(ctx context.Context, address string, r Request) (*Response, error) {
	for stale := 0; ; stale++ {
		tracker := &sendTracker{beforeSend: r.BeforeSend}
		resp, err := h.sendHeld(ctx, address, r, tracker)
		if err == nil {
			return checkResponse(r, resp)
		}
		ran := tracker.ran()
		if beforeErr := tracker.beforeErr.Load(); beforeErr != nil && ran == fail.RanNo {
			return nil, *beforeErr
		}
		if ran == fail.RanNo && tracker.reused.Load() && ctx.Err() == nil && stale < maxStaleConns {
			continue
		}
		return nil, runFailure(ctx, err, ran)
	}
}

// heldResponse is a response with its share of the budget for buffers.
type heldResponse struct {
	*http.Response
	share *buffers.Share
	// cancel ends the attempt.
	cancel context.CancelFunc
}

// hold records how many bytes are held of the response.
func (h *heldResponse) hold(bytes int) error { return h.share.Resize(int64(bytes)) }

// heldBody is a body that returns the share of its response when it is closed.
type heldBody struct {
	io.ReadCloser
	held *heldResponse
}

// Close closes the body.
func (b *heldBody) Close() error {
	err := b.ReadCloser.Close()
	b.held.cancel()
	b.held.share.End()
	return err
}

// sendHeld sends the attempt and returns a response whose body must be closed.
func (h *HTTP) sendHeld(ctx context.Context, address string, r Request, tracker *sendTracker) (*heldResponse, error) {
	ctx, cancel := context.WithCancel(ctx)
	resp, err := h.send(ctx, address, r, tracker)
	if err != nil {
		cancel()
		return nil, err
	}
	return h.begin(ctx, cancel, resp), nil
}

// begin returns the response with a share of the budget. cancel ends ctx and the attempt.
func (h *HTTP) begin(ctx context.Context, cancel context.CancelFunc, resp *http.Response) *heldResponse {
	held := &heldResponse{Response: resp, share: h.buffers.Begin(ctx, cancel), cancel: cancel}
	resp.Body = &heldBody{resp.Body, held}
	return held
}

func (h *HTTP) send(ctx context.Context, address string, r Request, tracker *sendTracker) (*http.Response, error) {
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: tracker.gotConn})
	// A body without GetBody keeps net/http from sending the request twice.
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+address+r.Path, io.NopCloser(bytes.NewReader(r.Body)))
	if err != nil {
		return nil, fail.Wrap(err, fail.BadRequest, "cannot create the request to the endpoint")
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
	return h.client.Do(req)
}

// writeCounter is a connection that counts the writes begun on it.
type writeCounter interface {
	net.Conn
	Writes() uint64
}

// sendTracker determines whether any byte of one attempt may have been sent.
type sendTracker struct {
	beforeSend func() error
	beforeErr  atomic.Pointer[error]
	reused     atomic.Bool
	// mayHaveSent is true once a byte may have been sent on an earlier connection:
	// net/http itself retries some requests without a body.
	mayHaveSent atomic.Bool
	connected   atomic.Bool
	conn        atomic.Pointer[writeCounter]
	writes      atomic.Uint64
}

// gotConn records the number of writes begun on the connection, and closes the
// connection if beforeSend fails. Then every write of the attempt fails, since
// net/http writes only after gotConn returns.
func (t *sendTracker) gotConn(info httptrace.GotConnInfo) {
	if t.ran() != fail.RanNo {
		t.mayHaveSent.Store(true)
	}
	if c, ok := info.Conn.(writeCounter); ok {
		t.writes.Store(c.Writes())
		t.conn.Store(&c)
	}
	t.reused.Store(info.Reused)
	t.connected.Store(true)
	if t.beforeSend == nil {
		return
	}
	if err := t.beforeSend(); err != nil {
		t.beforeErr.Store(&err)
		_ = info.Conn.Close()
	}
}

// ran returns whether a failed attempt may have run. It closes the connection
// before it reads the number of writes, so that no write that begins later can
// succeed.
func (t *sendTracker) ran() fail.Ran {
	switch c := t.conn.Load(); {
	case t.mayHaveSent.Load():
		return fail.RanUnknown
	case !t.connected.Load():
		return fail.RanNo
	case c == nil:
		return fail.RanUnknown
	default:
		_ = (*c).Close()
		if (*c).Writes() != t.writes.Load() {
			return fail.RanUnknown
		}
		return fail.RanNo
	}
}

// runFailure returns the error of a failed attempt, with the deadline or the
// cancellation of ctx as its code if either ended it.
func runFailure(ctx context.Context, err error, ran fail.Ran) error {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return fail.Wrap(err, fail.DeadlinePassed, "the endpoint did not respond before the deadline").WithRan(ran)
	case ctx.Err() != nil:
		return fail.Wrap(err, fail.Canceled, "the request was canceled").WithRan(ran)
	}
	return fail.Wrap(err, fail.EndpointFailed, "the request to the endpoint failed").WithRan(ran)
}

// IsEventStream reports whether a response with the status and content type is a stream of events.
func IsEventStream(status int, contentType string) bool {
	return status == http.StatusOK && strings.HasPrefix(contentType, "text/event-stream")
}

// checkResponse rejects a response that carries the ID of another request, and
// wraps the body so that reading it returns io.EOF only if it is complete.
func checkResponse(r Request, resp *heldResponse) (*Response, error) {
	id := resp.Header.Get(HeaderRequestID)
	missing := r.RequireID && id == "" && resp.StatusCode == http.StatusOK
	if missing || (id != "" && id != r.ID) {
		resp.Body.Close()
		return nil, fail.New(fail.ForeignAnswer, "the header of the response does not carry the ID of this request").WithRan(fail.RanUnknown)
	}
	out := &Response{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), HasRequestID: id == r.ID, Body: http.MaxBytesReader(nil, resp.Body, maxPassedBytes)}
	out.Limit = ratelimit.ParseLimit(resp.Header.Values(HeaderLimit))
	head := answer.HeadOf(resp.Response)
	switch {
	case IsEventStream(out.Status, out.ContentType):
		out.Body = newEventStream(resp, r)
	case r.RequireID && resp.StatusCode == http.StatusOK:
		out.Body = &jsonBody{resp: resp, head: head, requestID: r.ID}
	case head.Framing == answer.ByConnection:
		out.Body = &jsonBody{resp: resp, head: head}
	}
	return out, nil
}
