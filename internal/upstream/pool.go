package upstream

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"parsleyramp/internal/answer"
	"parsleyramp/internal/fail"
)

const (
	// maxIdlePerEndpoint bounds the idle connections to one endpoint.
	maxIdlePerEndpoint = 32
	// maxSkippedResponses bounds the skipped responses to earlier requests.
	maxSkippedResponses = 2
	// concurrentWriteBytes is the size of an encoded request above which it is
	// written while the response is read, because an endpoint may respond before
	// it has read the whole body.
	concurrentWriteBytes = 4 << 10
)

// Request is one request to an endpoint.
type Request struct {
	Method string
	// Target is the path with the query, as the client sent it.
	Target string
	Host   string
	// Header is sent unchanged; Host and Content-Length are added.
	Header http.Header
	Body   []byte
	// MayWrite, if not nil, is called immediately before the request is written. If
	// it returns false, the request is not written, and Do fails with
	// ErrMayNotWrite.
	MayWrite func() bool
	// NewConnection requires a connection that has carried no request, so that the response
	// cannot be an earlier one.
	NewConnection bool
	// LastOnConnection makes the connection be closed after the response.
	LastOnConnection bool
}

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
	moved       bool
	writeResult <-chan error
	request     *Request
}

// Pool is a pool of connections to endpoints.
type Pool struct {
	dial   DialFunc
	mu     sync.Mutex
	idle   map[string][]*conn
	opened atomic.Uint64
}

// NewPool returns an empty pool of TCP connections.
func NewPool() *Pool { return NewPoolWithDial(dialTCP) }

// NewPoolFrom returns an empty pool of TCP connections from the local IP; empty for any.
func NewPoolFrom(ip string) *Pool {
	if ip == "" {
		return NewPool()
	}
	return NewPoolWithDial(dialFrom(&net.TCPAddr{IP: net.ParseIP(ip)}))
}

// NewPoolWithDial returns an empty pool whose connections dial opens.
func NewPoolWithDial(dial DialFunc) *Pool { return &Pool{dial: dial, idle: map[string][]*conn{}} }

// Opened returns the number of attempts to open a connection so far.
func (p *Pool) Opened() uint64 { return p.opened.Load() }

// Do sends the request and returns the first response for whose header accept
// returns true; a nil accept stands for any header. The error states whether the
// request can have run. The connection is closed when ctx ends, but if it ends because the
// process drains, the rest of a response that has begun may be read for FinalReadTime.
func (p *Pool) Do(ctx context.Context, address string, r *Request, accept func(http.Header) bool) (*Response, error) {
	c, err := p.connect(ctx, address, r)
	if err != nil {
		return nil, fail.Wrap(err, fail.EndpointFailed, "connect to "+address)
	}
	reused := c.used
	stop := context.AfterFunc(ctx, func() { c.Close() })
	discard := func() {
		stop()
		c.Close()
	}
	if ctx.Err() != nil {
		discard()
		return nil, fail.Wrap(ctx.Err(), fail.EndpointFailed, "connect to "+address)
	}
	written, err := c.send(r)
	if err != nil {
		discard()
		return nil, err
	}
	resp, err := c.readHeader(r.Method, accept)
	if err != nil {
		discard()
		return nil, fail.Wrap(err, fail.EndpointFailed, "read response from "+address).WithRan(fail.RanUnknown)
	}
	c.applyKeepAlive(resp.Header)
	if stop() {
		stop = context.AfterFunc(ctx, func() { c.endReads(context.Cause(ctx)) })
	}
	out := &Response{
		Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, Head: answer.HeadOf(resp),
		Reused: reused, pool: p, conn: c, resp: resp, stop: stop, writeResult: written, request: r,
	}
	out.Body = &bodyReader{out}
	return out, nil
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

// HoldTime is how long a new connection must usually stay open to count as accepted: a proxy
// before an endpoint that has ended accepts it and closes it at once.
const HoldTime = 150 * time.Millisecond

// Accepts reports whether the endpoint accepts a new connection, and does not close it
// before hold has passed. It opens one and sends nothing.
func (p *Pool) Accepts(ctx context.Context, address string, hold time.Duration) bool {
	p.opened.Add(1)
	c, err := p.dial(ctx, address)
	if err != nil {
		return false
	}
	defer c.Close()
	if err := c.SetReadDeadline(time.Now().Add(hold)); err != nil {
		return false
	}
	_, err = c.Read(make([]byte, 1))
	return err == nil || errors.Is(err, os.ErrDeadlineExceeded)
}

// send writes the request. A request above concurrentWriteBytes is written by
// another goroutine, which sends its result on the returned channel.
func (c *conn) send(r *Request) (<-chan error, error) {
	c.used = true
	head := encodeHead(r)
	if r.MayWrite != nil && !r.MayWrite() {
		return nil, ErrMayNotWrite
	}
	if len(head)+len(r.Body) <= concurrentWriteBytes {
		n, err := c.Write(append(head, r.Body...))
		if err == nil {
			return nil, nil
		}
		ran := fail.RanUnknown
		if n == 0 {
			ran = fail.RanNo
		}
		return nil, fail.Wrap(err, fail.EndpointFailed, "send to "+c.address).WithRan(ran)
	}
	done := make(chan error, 1)
	go func() {
		// The body may be large, so it is not copied behind the head.
		_, err := c.Write(head)
		if err == nil && len(r.Body) > 0 {
			_, err = c.Write(r.Body)
		}
		done <- err
	}()
	return done, nil
}

// ErrMayNotWrite is the failure of a request that MayWrite kept from being written. It says
// nothing about the endpoint.
var ErrMayNotWrite = fail.New(fail.DeadlinePassed, "the request expired before it was written").WithRan(fail.RanNo)

// readHeader reads the response header. It skips interim responses, and complete
// responses that accept rejects, as far as maxSkippedBytes allow.
func (c *conn) readHeader(method string, accept func(http.Header) bool) (*http.Response, error) {
	defer c.limit.lift()
	skipped, left := 0, int64(maxSkippedBytes)
	for {
		resp, err := c.readOneHeader(method, &left)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= 100 && resp.StatusCode < 200 {
			continue
		}
		if accept == nil || accept(resp.Header) {
			return resp, nil
		}
		if skipped++; skipped > maxSkippedResponses {
			return nil, errForeignResponses
		}
		c.limit.set(left)
		_, err = io.Copy(io.Discard, resp.Body)
		left = c.limit.left
		if err != nil {
			return nil, err
		}
	}
}

// readOneHeader reads the next header, and takes what it reads from left.
func (c *conn) readOneHeader(method string, left *int64) (*http.Response, error) {
	allowed := min(*left, maxHeadBytes)
	c.limit.set(allowed)
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	*left -= allowed - c.limit.left
	return resp, err
}

var errForeignResponses = fail.New(fail.ForeignAnswer, "the responses belong to other requests").WithRan(fail.RanUnknown)

// hopByHopHeaders concern one connection only and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// RemoveHopByHopHeaders removes the headers that concern one connection only,
// including those listed in the Connection header.
func RemoveHopByHopHeaders(h http.Header) {
	for _, name := range connectionOptions(h) {
		h.Del(name)
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
}

func connectionOptions(h http.Header) []string {
	var out []string
	for _, line := range h.Values("Connection") {
		for _, name := range strings.Split(line, ",") {
			out = append(out, strings.TrimSpace(name))
		}
	}
	return out
}

func encodeHead(r *Request) []byte {
	var b bytes.Buffer
	b.Grow(512)
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	// Writing to a buffer does not fail, and net/http, which parsed the header,
	// rejects line breaks in it.
	_ = r.Header.Write(&b)
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead && r.Method != http.MethodDelete {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// bodyReader records that the complete response was read.
type bodyReader struct{ r *Response }

func (b *bodyReader) Read(p []byte) (int, error) {
	n, err := b.r.resp.Body.Read(p)
	if err == io.EOF {
		b.r.reachedEOF = true
	}
	return n, err
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
	if r.writeResult == nil {
		return true
	}
	select {
	case err := <-r.writeResult:
		return err == nil
	default:
		return false
	}
}

// connect returns the most recently used idle connection that is clean and within its
// idle timeout, or a new one. It closes the connections that it skips. A required new one
// that is kept afterwards takes the place of an idle one.
func (p *Pool) connect(ctx context.Context, address string, r *Request) (*conn, error) {
	for !r.NewConnection || !r.LastOnConnection {
		c := p.pop(address)
		if c == nil {
			break
		}
		if !r.NewConnection && time.Since(c.idleSince) < c.idleTimeout && c.clean() {
			return c, nil
		}
		c.Close()
		if r.NewConnection {
			break
		}
	}
	p.opened.Add(1)
	c, err := p.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return newConn(c, address), nil
}

func (p *Pool) pop(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return c
}

func (p *Pool) put(c *conn) {
	c.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.address]) >= maxIdlePerEndpoint {
		c.Close()
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

// Retain closes idle connections to addresses that are not given, and those
// that exceeded their idle timeout.
func (p *Pool) Retain(addresses map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		var retained []*conn
		for _, c := range list {
			if addresses[address] && time.Since(c.idleSince) < c.idleTimeout {
				retained = append(retained, c)
			} else {
				c.Close()
			}
		}
		if len(retained) == 0 {
			delete(p.idle, address)
		} else {
			p.idle[address] = retained
		}
	}
}
