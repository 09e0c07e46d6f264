package upstream

import (
	"io"
	"net/http"

	"parsleyramp/internal/answer"
	"parsleyramp/internal/fail"
	"parsleyramp/internal/transport"
)

// Response is a response whose header has been read. Body returns io.EOF only
// if the response is complete. Close must be called once.
type Response struct {
	Status int
	Header http.Header
	// Length of the body in bytes, or -1 if unknown.
	Length int64
	// Head is what the head states about the body.
	Head answer.Head
	// Reused is set if the connection has carried another request before, whose response may
	// come once more.
	Reused bool
	Body   io.Reader

	pool       *Pool
	conn       *conn
	resp       *http.Response
	stop       func() bool
	reachedEOF bool
	// moved is set if the connection belongs to the next response.
	moved    bool
	delivery *transport.Delivery
	// ended is closed when the request ends.
	ended   <-chan struct{}
	request *Request
}

// Next returns the response that follows on the connection, in place of this one, which
// belongs to an earlier request and whose body must have been read. If it succeeds, only
// the returned response needs Close.
func (r *Response) Next() (*Response, error) {
	resp, err := r.conn.readHeader(r.request.Method, nil)
	if err != nil {
		return nil, fail.Wrap(err, fail.EndpointFailed, "read response from "+r.conn.address).WithRan(fail.RanUnknown)
	}
	out := *r
	out.Status, out.Header, out.Length, out.Head = resp.StatusCode, resp.Header, resp.ContentLength, answer.HeadOf(resp)
	out.resp, out.reachedEOF, out.moved = resp, false, false
	out.Body = &bodyReader{&out}
	r.moved = true
	return &out, nil
}

// bodyReader records that the complete response was read.
type bodyReader struct{ r *Response }

func (b *bodyReader) Read(p []byte) (int, error) {
	n, err := b.r.resp.Body.Read(p)
	if err == io.EOF {
		err = b.r.end()
	}
	return n, err
}

// end returns io.EOF at the end of the body. The end of a connection ends a response only if
// nothing else on the connection has failed: the endpoint must have received the whole request.
func (r *Response) end() error {
	if r.Head.Framing == answer.ByConnection {
		if err := r.delivery.Confirm(r.conn.Conn, r.ended); err != nil {
			return fail.Wrap(err, fail.TruncatedAnswer, "the connection ended before the request was delivered").WithRan(fail.RanUnknown)
		}
	}
	r.reachedEOF = true
	return io.EOF
}

// Close returns the connection to the pool if the complete request was written,
// the complete response was read and no bytes follow it. Otherwise it closes
// the connection.
func (r *Response) Close() {
	if r.moved {
		return
	}
	open := r.stop()
	if !open || !r.reusable() {
		r.conn.Close()
		return
	}
	r.pool.put(r.conn)
}

func (r *Response) reusable() bool {
	if r.request.LastOnConnection || !r.reachedEOF || r.resp.Close || r.conn.reader.Buffered() > 0 {
		return false
	}
	return r.delivery.Written()
}
