package transport

import (
	"context"
	"net"
	"sync"
)

// Conn is a connection to an endpoint that counts the calls of Write.
type Conn struct {
	net.Conn
	mu     sync.Mutex
	writes uint64
	closed bool
}

// Write writes to the connection. The count is incremented before the first
// byte can be sent and never after Close, so an unchanged count after Close
// proves that nothing was written in between.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return 0, net.ErrClosed
	}
	c.writes++
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// Close closes the connection.
func (c *Conn) Close() error {
	c.mu.Lock()
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
