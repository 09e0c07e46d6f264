package transport

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// finalReadTimeout is how long a closing connection waits for a request that its
// client may already have sent.
const finalReadTimeout = 250 * time.Millisecond

// lingerTime is how long a connection stays open, after the response to a request whose
// body has not been read, for its client to read the response: bytes that arrive at a
// closed connection reset it, and a reset can overtake the response.
const lingerTime = 300 * time.Millisecond

// expired is a read deadline in the past.
var expired = time.Unix(1, 0)

// trackedConn is a server's connection that can be closed between two requests.
// It is closed by the expiry of its read deadline, upon which the HTTP server
// closes it, and not by Close, because the HTTP server may just have read a
// request.
type trackedConn struct {
	net.Conn
	mu sync.Mutex
	// inFlight is set from the first byte of a request to the end of its response.
	inFlight bool
	// closing is set once the connection is to be closed between two requests.
	closing bool
	// deadline is the read deadline that the HTTP server has set. It is not in
	// force while the connection is closing and no request is in flight.
	deadline time.Time
	// idle is set from the end of a response to the first byte of the next request.
	idle bool
	// minTimes are those of the server.
	minTimes *minTimes
	// linger is set if the connection is to be closed only after lingerTime, or once its
	// client has closed it. It is not set while the connection may serve another request.
	linger bool
	// ahead tells of requests behind the one that is served.
	ahead lookahead
}

// minTimes are how long clients may take at least. Their zero value leaves the deadlines of the
// HTTP server as they are. They are safe for concurrent use.
type minTimes struct {
	header, idle atomic.Int64
}

// extend returns the deadline, or a later one if the client may take longer for the next request
// (idle) or for the rest of a header. No deadline, and one that has passed, remain.
func (m *minTimes) extend(deadline time.Time, idle bool) time.Time {
	now := time.Now()
	if !deadline.After(now) {
		return deadline
	}
	least := m.header.Load()
	if idle {
		least = m.idle.Load()
	}
	if at := now.Add(time.Duration(least)); at.After(deadline) {
		return at
	}
	return deadline
}

// setLinger sets whether Close waits for the client to read the last response.
func (c *trackedConn) setLinger(linger bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.linger = linger
}

// lingerSetter is a connection that can be reset in place of an orderly close.
type lingerSetter interface{ SetLinger(seconds int) error }

// setLinger sets what becomes of unsent bytes when the connection is closed, if it can.
func setLinger(c net.Conn, seconds int) error {
	if l, ok := c.(lingerSetter); ok {
		return l.SetLinger(seconds)
	}
	return nil
}

// resetOnClose makes Close reset the connection.
func (c *trackedConn) resetOnClose() {
	// An error means that the connection is closed.
	_ = setLinger(c.Conn, 0)
}

// Close closes the connection. A connection that lingers first discards what its client
// still sends. Another call closes it at once.
func (c *trackedConn) Close() error {
	c.mu.Lock()
	linger := c.linger
	c.linger = false
	c.mu.Unlock()
	if linger && c.Conn.SetReadDeadline(time.Now().Add(lingerTime)) == nil {
		// The connection is closed next, whatever ends the read.
		_, _ = io.Copy(io.Discard, withoutLimits(c.Conn))
	}
	return c.Conn.Close()
}

// closeWhenIdle closes the connection as soon as no request is in flight.
func (c *trackedConn) closeWhenIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return // A final read may be in progress.
	}
	c.closing = true
	c.applyDeadlineLocked()
}

// setInFlight records the begin or the end of a request. The end must be recorded
// before the HTTP server reads the next request.
func (c *trackedConn) setInFlight(inFlight bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inFlight == inFlight {
		return
	}
	c.inFlight, c.idle = inFlight, !inFlight
	c.linger = false
	c.applyDeadlineLocked()
}

func (c *trackedConn) requestInFlight() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.inFlight
}

// applyDeadlineLocked sets the read deadline of a closing connection after a
// change. It ignores an error, which means that the connection is closed.
func (c *trackedConn) applyDeadlineLocked() {
	if c.closing {
		_ = c.Conn.SetReadDeadline(c.deadlineLocked())
	}
}

func (c *trackedConn) deadlineLocked() time.Time {
	if c.closing && !c.inFlight {
		return expired
	}
	return c.deadline
}

// SetReadDeadline sets the read deadline of the requests on the connection. A deadline that
// lies ahead is that of the HTTP server for the next request or for the rest of its header.
func (c *trackedConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = c.minTimes.extend(t, c.idle)
	return c.Conn.SetReadDeadline(c.deadlineLocked())
}

// Read reads from the connection.
func (c *trackedConn) Read(p []byte) (int, error) {
	c.resetAheadIfIdle()
	n, err := c.Conn.Read(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.beginFinalRead() {
		n, err = c.Conn.Read(p)
	}
	if n > 0 {
		c.setInFlight(true)
		c.recordRead(p[:n])
	}
	return n, err
}

func (c *trackedConn) resetAheadIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.inFlight {
		c.ahead.reset()
	}
}

func (c *trackedConn) recordRead(p []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ahead.read(p)
}

// beginRequest records that a request is served, whose body has the length; below zero for one
// in chunks.
func (c *trackedConn) beginRequest(body int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ahead.begin(body)
}

// requestBehind reports whether a part of another request has been read.
func (c *trackedConn) requestBehind() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ahead.more()
}

// beginFinalRead permits one more read from a closing connection whose deadline
// has expired, because an expired deadline fails a read even if bytes have arrived.
func (c *trackedConn) beginFinalRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closing || c.inFlight {
		return false
	}
	return c.Conn.SetReadDeadline(time.Now().Add(finalReadTimeout)) == nil
}
