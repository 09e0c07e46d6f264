package transport

import (
	"context"
	"net"
	"sync"
)

// Conn is a connection to an endpoint that counts the writes begun on it.
type Conn struct {
	net.Conn
	mu     sync.Mutex
	writes uint64
	closed bool
}

// Write writes to the connection. The count grows before the first byte can
// leave and never after Close, so that an unchanged count after Close proves
// that nothing was written.
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

// Writes returns how many writes were begun.
func (c *Conn) Writes() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// watchedDial returns a dial function whose connections are Conns.
func writeCountingDial(d dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := d(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &Conn{Conn: c}, nil
	}
}
