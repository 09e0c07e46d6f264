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

// maxStaleConns bounds how many idle connections that the endpoint has closed
// are passed over before an attempt counts as failed.
const maxStaleConns = 8

// Run sends the attempt over HTTP. The failure says that it did not run only
// where no byte of it was written to a connection.
func (h *HTTP) Run(ctx context.Context, address string, r Request) (*Response, error) {
	for stale := 0; ; stale++ {
		tracker := &sendTracker{before: r.BeforeSend}
		resp, err := h.send(ctx, address, r, tracker)
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

func (h *HTTP) send(ctx context.Context, address string, r Request, tracker *sendTracker) (*http.Response, error) {
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: tracker.gotConn})
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
	return h.client.Do(req)
}

// writeCounter is a connection that counts the writes begun on it.
type writeCounter interface {
	net.Conn
	Writes() uint64
}

// sendWatch learns whether any byte of one attempt can have left.
type sendTracker struct {
	before    func() error
	beforeErr atomic.Pointer[error]
	reused    atomic.Bool
	// sent is true once a byte can have left on an earlier connection: net/http
	// repeats some requests without a body by itself.
	mayHaveSent   atomic.Bool
	gotConnection atomic.Bool
	conn          atomic.Pointer[writeCounter]
	writes        atomic.Uint64
}

// gotConn notes the connection's count of writes. Closing a connection here
// makes every later write fail, since net/http writes only after this returns.
func (t *sendTracker) gotConn(info httptrace.GotConnInfo) {
	if t.ran() != fail.RanNo {
		t.mayHaveSent.Store(true)
	}
	if c, ok := info.Conn.(writeCounter); ok {
		t.writes.Store(c.Writes())
		t.conn.Store(&c)
	}
	t.reused.Store(info.Reused)
	t.gotConnection.Store(true)
	if t.before == nil {
		return
	}
	if err := t.before(); err != nil {
		t.beforeErr.Store(&err)
		_ = info.Conn.Close()
	}
}

// ran tells what a failure proves. The connection is closed before its count
// is read: a write that begins later cannot succeed.
func (t *sendTracker) ran() fail.Ran {
	switch c := t.conn.Load(); {
	case t.mayHaveSent.Load():
		return fail.RanUnknown
	case !t.gotConnection.Load():
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

func runFailure(ctx context.Context, err error, ran fail.Ran) error {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return fail.Wrap(err, fail.DeadlinePassed, "the endpoint did not answer in time").WithRan(ran)
	case ctx.Err() != nil:
		return fail.Wrap(err, fail.Canceled, "the caller went away").WithRan(ran)
	}
	return fail.Wrap(err, fail.EndpointFailed, "the endpoint did not answer").WithRan(ran)
}

// checkAnswer refuses an answer that names another request, and wraps the
// body so that reading it ends with io.EOF only where it is whole.
func checkResponse(r Request, resp *http.Response) (*Response, error) {
	id := resp.Header.Get(HeaderRequestID)
	missing := r.RequireID && id == "" && resp.StatusCode == http.StatusOK
	if missing || (id != "" && id != r.ID) {
		resp.Body.Close()
		return nil, fail.New(fail.ForeignAnswer, "the answer does not name this request").WithRan(fail.RanUnknown)
	}
	out := &Response{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), HasRequestID: id == r.ID, Body: resp.Body}
	stream := strings.HasPrefix(out.ContentType, "text/event-stream") && resp.StatusCode == http.StatusOK
	switch {
	case stream:
		out.Body = newEventStream(resp.Body, r)
	case r.RequireID && resp.StatusCode == http.StatusOK:
		out.Body = &jsonBody{body: resp.Body, requestID: r.ID}
	case closeDelimited(resp):
		out.Body = &jsonBody{body: resp.Body}
	}
	return out, nil
}

// closeDelimited reports whether only the end of the connection ends the
// body, so that a break looks like an end (RFC 9112, 6.3).
func closeDelimited(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.ProtoMajor == 1
}
