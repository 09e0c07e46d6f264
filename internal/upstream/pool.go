package upstream

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"parsleyramp/internal/answer"
	"parsleyramp/internal/fail"
	"parsleyramp/internal/transport"
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
	// HoldHead, if not nil, is called with the size in bytes of a long head that is being read and
	// is held in memory. If it fails, so does the request.
	HoldHead func(bytes int) error
	// LastOnConnection makes the connection be closed after the response.
	LastOnConnection bool
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
	sent, err := c.send(r)
	if err != nil {
		discard()
		return nil, err
	}
	c.limit.hold = r.HoldHead
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
		Reused: reused, pool: p, conn: c, resp: resp, stop: stop, delivery: sent, ended: ctx.Done(), request: r,
	}
	out.Body = &bodyReader{out}
	return out, nil
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

// send writes the request. A request above concurrentWriteBytes is written by another goroutine.
func (c *conn) send(r *Request) (*transport.Delivery, error) {
	c.used = true
	head := encodeHead(r)
	if r.MayWrite != nil && !r.MayWrite() {
		return nil, ErrMayNotWrite
	}
	d := transport.NewDelivery()
	if len(head)+len(r.Body) <= concurrentWriteBytes {
		n, err := c.Write(append(head, r.Body...))
		if err == nil {
			d.Finish(nil)
			return d, nil
		}
		ran := fail.RanUnknown
		if n == 0 {
			ran = fail.RanNo
		}
		return nil, fail.Wrap(err, fail.EndpointFailed, "send to "+c.address).WithRan(ran)
	}
	go func() {
		// The body may be large, so it is not copied behind the head.
		_, err := c.Write(head)
		if err == nil && len(r.Body) > 0 {
			_, err = c.Write(r.Body)
		}
		d.Finish(err)
	}()
	return d, nil
}

// ErrMayNotWrite is the failure of a request that MayWrite kept from being written. It says
// nothing about the endpoint.
var ErrMayNotWrite = fail.New(fail.DeadlinePassed, "the request expired before it was written").WithRan(fail.RanNo)

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
