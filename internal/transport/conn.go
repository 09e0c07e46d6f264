package transport

import (
	"context"
	"io"
	"net"
	"net/http/httptrace"
	"sync"
)

// Conn is a connection to an endpoint that counts the calls of Write. It ends in order only once
// the request that was written to it is delivered.
type Conn struct {
	net.Conn
	// writing is held during a write, and guards writeErr, the first error of one.
	writing  sync.Mutex
	writeErr error

	mu     sync.Mutex
	writes uint64
	closed bool
	// request is the last request that was begun; nil for none.
	request *sentRequest
}

// sentRequest is a request that is written to a connection.
type sentRequest struct {
	delivery *Delivery
	finish   sync.Once
	// writesBefore is the number of writes begun before the request.
	writesBefore uint64
	// ended is closed when the connection is closed.
	ended chan struct{}
}

// written records that net/http has written the request, up to what it still buffers.
func (r *sentRequest) written(err error) { r.finish.Do(func() { r.delivery.Finish(err) }) }

// beginRequest records that a request is about to be written.
func (c *Conn) beginRequest() *sentRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.request = &sentRequest{delivery: NewDelivery(), writesBefore: c.writes, ended: make(chan struct{})}
	if c.closed {
		close(c.request.ended)
	}
	return c.request
}

// Read reads from the connection. It returns io.EOF only once the request that has begun to be
// written is delivered: see Delivery.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != io.EOF {
		return n, err
	}
	if failure := c.confirmDelivery(); failure != nil {
		return n, failure
	}
	return n, io.EOF
}

func (c *Conn) confirmDelivery() error {
	c.mu.Lock()
	r := c.request
	unsent := r == nil || c.writes == r.writesBefore
	c.mu.Unlock()
	if unsent {
		return nil
	}
	if err := r.delivery.wait(r.ended); err != nil {
		return err
	}
	if err := c.writeError(); err != nil {
		return err
	}
	return awaitAcknowledgment(c.Conn, r.ended)
}

// writeError waits for the end of a write, and returns the first error of one.
func (c *Conn) writeError() error {
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.writeErr
}

// Write writes to the connection. The count is incremented before the first
// byte can be sent and never after Close, so an unchanged count after Close
// proves that nothing was written in between.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return 0, net.ErrClosed
	}
	c.writes++
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	if c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// Close closes the connection.
func (c *Conn) Close() error {
	c.mu.Lock()
	if !c.closed && c.request != nil {
		close(c.request.ended)
	}
	c.closed = true
	c.mu.Unlock()
	return c.Conn.Close()
}

// Writes returns the number of writes begun.
func (c *Conn) Writes() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// writeCountingDial wraps a dial function so that it returns Conns.
func writeCountingDial(d dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := d(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &Conn{Conn: c}, nil
	}
}

// traceDelivery returns a context for one request that tells the Conn on which net/http writes it.
func traceDelivery(ctx context.Context) context.Context {
	var mu sync.Mutex
	var current *sentRequest
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := info.Conn.(*Conn); ok {
				mu.Lock()
				defer mu.Unlock()
				current = c.beginRequest()
			}
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			mu.Lock()
			defer mu.Unlock()
			if current != nil {
				current.written(info.Err)
			}
		},
	})
}
