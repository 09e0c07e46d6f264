package transport

import (
	"bytes"
	"container/list"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// writeTimeout is how long a client may take nothing of a response before its connection is
	// closed; it may be up to writeDeadlineSlack longer.
	writeTimeout       = 20 * time.Second
	writeDeadlineSlack = 10 * time.Second
	// writePartBytes is the part of a response that a client must take within writeTimeout.
	writePartBytes = 64 << 10
	// maxHeadCost bounds the cost of a head: net/http reads no larger one.
	maxHeadCost = 2 << 20
	// headSlack is how much more than a head may have been read of a connection when the head ends.
	headSlack = 4 << 10
	// refusalTime is how long the client has to read why its head is refused, and maxRefusing how many clients
	// have it at the same time.
	refusalTime = 300 * time.Millisecond
	maxRefusing = 32
	// http2Preface begins the first bytes of an HTTP/2 connection.
	http2Preface = "PRI * HTTP/2"
)

// limitedConn is an accepted connection that counts towards the limits of its process.
type limitedConn struct {
	net.Conn
	address *addressLimits
	// busy is set from the head of a request to the end of the last one in flight.
	busy atomic.Bool
	// progressAt is when the client last made progress with a body, and
	// received counts the bytes since. Only Read uses the latter.
	progressAt atomic.Int64
	received   int
	// writingSince is when the write in progress has begun; zero for none.
	writingSince atomic.Int64

	// The mutex of the limits guards what follows.
	taken
	// unparsed is the part of heads that counts for bytes that have been read since the connection was idle.
	unparsed int64
	// position is that in the list of connections that wait for their clients; nil if the
	// process works on a request.
	position *list.Element
	// working counts the requests on which the process works: those that have arrived whole.
	working int
	// waitsSince is when the connection has begun to wait for its client.
	waitsSince time.Time
	// idle is set from the end of a request to the first byte of the next one, and served once a request
	// has ended.
	idle, served bool
	// headBytes counts the bytes of the head that is being read.
	headBytes int
	// readAny is set once the client has sent anything, and http2 if that began an HTTP/2 connection.
	readAny, http2 bool
	// refused is set once the head has been refused: Close waits for the client to read why.
	refused bool
	// released is set once the connection does not count any more.
	released bool

	writeMu sync.Mutex
	// handlerDeadline is the write deadline that the handler has set, and deadline the one in force; zero for none.
	handlerDeadline, deadline time.Time
}

// limitedConnOf returns the limited connection that a server's connection wraps, or nil.
func limitedConnOf(c net.Conn) *limitedConn {
	if t, ok := c.(*trackedConn); ok {
		c = t.Conn
	}
	l, _ := c.(*limitedConn)
	return l
}

// withoutLimits returns a connection from which bytes are read to be discarded.
func withoutLimits(c net.Conn) net.Conn {
	if l, ok := c.(*limitedConn); ok {
		return l.Conn
	}
	return c
}

// takeLocked adds to what the connection takes.
func (c *limitedConn) takeLocked(t taken) {
	for _, sum := range []*taken{&c.taken, &c.address.taken, &c.address.limits.total} {
		sum.connections += t.connections
		sum.heads += t.heads
		sum.bodies += t.bodies
	}
}

// releaseLocked gives back all that the connection takes.
func (c *limitedConn) releaseLocked() {
	if c.released {
		return
	}
	c.released = true
	c.takeLocked(taken{-c.connections, -c.heads, -c.bodies})
	delete(c.address.conns, c)
	c.address.open.Dec()
	c.updateLocked()
}

// updateLocked brings the connection's place in the list up to date.
func (c *limitedConn) updateLocked() {
	waits := !c.released && c.working == 0
	if waits == (c.position != nil) {
		return
	}
	if !waits {
		c.listLocked().Remove(c.position)
		c.position = nil
		return
	}
	c.waitsSince = time.Now()
	c.position = c.listLocked().PushBack(c)
}

// listLocked returns the list in which the connection waits.
func (c *limitedConn) listLocked() *list.List {
	if c.served {
		return &c.address.kept
	}
	return &c.address.fresh
}

// waitAnewLocked makes the connection wait from now on.
func (c *limitedConn) waitAnewLocked() {
	if c.position != nil {
		c.waitsSince = time.Now()
		c.listLocked().MoveToBack(c.position)
	}
}

// processStart is the origin of times in nanoseconds, which steps of the time of day do not change.
var processStart = time.Now()

func nanoseconds(t time.Time) int64 { return int64(t.Sub(processStart)) }

// stalled reports whether the body that is being received makes no progress.
func (c *limitedConn) stalled(now time.Time) bool {
	return nanoseconds(now)-c.progressAt.Load() >= int64(stallTime)
}

// blocked reports whether a write waits for the client.
func (c *limitedConn) blocked(now time.Time) bool {
	since := c.writingSince.Load()
	return since != 0 && nanoseconds(now)-since >= int64(blockTime)
}

// SetLinger sets what becomes of unsent bytes when the connection is closed.
func (c *limitedConn) SetLinger(seconds int) error { return setLinger(c.Conn, seconds) }

// Close closes the connection.
func (c *limitedConn) Close() error {
	c.awaitRefusalRead()
	l := c.address.limits
	l.mu.Lock()
	c.releaseLocked()
	l.mu.Unlock()
	return c.Conn.Close()
}

// awaitRefusalRead gives the client of a refused head the time to read why, unless many others have it: bytes that
// arrive at a closed connection reset it, and a reset can overtake the response.
func (c *limitedConn) awaitRefusalRead() {
	l := c.address.limits
	l.mu.Lock()
	waits := c.refused && !c.released && l.refusing < maxRefusing
	c.refused = false
	if waits {
		l.refusing++
	}
	l.mu.Unlock()
	if !waits {
		return
	}
	if c.Conn.SetReadDeadline(time.Now().Add(refusalTime)) == nil {
		// Whatever ends the read, the connection is closed next.
		_, _ = io.Copy(io.Discard, c.Conn)
	}
	l.mu.Lock()
	l.refusing--
	l.mu.Unlock()
}

// Read reads from the connection. It fails if the head that it reads finds no room.
func (c *limitedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	switch {
	case n == 0:
	case c.busy.Load():
		c.recordProgress(n)
	default:
		if err := c.takeHead(p[:n]); err != nil {
			return 0, &net.OpError{Op: "read", Net: "tcp", Err: err}
		}
	}
	return n, err
}

func (c *limitedConn) recordProgress(n int) {
	if c.received += n; c.received >= progressBytes {
		c.received = 0
		c.progressAt.Store(nanoseconds(time.Now()))
	}
}

var (
	errHeadTooLarge = errors.New("the head of the request exceeds the size limit")
	errNoRoom       = errors.New("the connection is closed in favor of others")
)

// takeHead counts bytes of a head. It returns an error if the head is too large, or the connection is closed for
// want of room.
func (c *limitedConn) takeHead(p []byte) error {
	l := c.address.limits
	l.mu.Lock()
	victims, err := c.takeHeadLocked(p)
	l.mu.Unlock()
	closeAll(victims)
	if err == errHeadTooLarge {
		c.address.headsTooLarge.Inc()
		// An error means that the connection is closed.
		_, _ = io.WriteString(c.Conn, headTooLargeResponse)
	}
	return err
}

// headTooLargeResponse is the response to a head that exceeds the limit.
const headTooLargeResponse = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

func (c *limitedConn) takeHeadLocked(p []byte) (victims []*limitedConn, err error) {
	cost := int64(headByteCost*len(p) + headLineCost*bytes.Count(p, []byte{'\n'}))
	if !c.readAny && bytes.HasPrefix(p, []byte(http2Preface)) {
		c.http2 = true
	}
	if c.idle {
		// The wait for the rest of the request begins.
		c.idle = false
		c.waitAnewLocked()
	}
	c.headBytes += len(p)
	if !c.http2 && int64(c.headBytes) > c.address.headLimit.Load()+headSlack {
		c.refused = true
		return nil, errHeadTooLarge
	}
	cost = max(min(cost, maxHeadCost-c.unparsed), 0)
	more := taken{heads: cost}
	if c.http2 && !c.readAny {
		more.heads += http2ConnectionBytes
	}
	c.readAny = true
	victims, ok := c.address.limits.takeOrCloseLocked(c, more)
	if !ok {
		return victims, errNoRoom
	}
	c.unparsed += cost
	return victims, nil
}

// SetDeadline sets the deadlines of reads and writes.
func (c *limitedConn) SetDeadline(t time.Time) error {
	if err := c.SetWriteDeadline(t); err != nil {
		return err
	}
	return c.Conn.SetReadDeadline(t)
}

// SetWriteDeadline sets the time at which writes fail; zero for that of the limits.
func (c *limitedConn) SetWriteDeadline(t time.Time) error {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	c.handlerDeadline, c.deadline = t, t
	return c.Conn.SetWriteDeadline(t)
}

// Write writes to the connection. It fails if the client takes nothing for writeTimeout.
func (c *limitedConn) Write(p []byte) (int, error) {
	total := 0
	for {
		part := p[total:min(len(p), total+writePartBytes)]
		now := time.Now()
		if err := c.renewWriteDeadline(now); err != nil {
			return total, err
		}
		c.writingSince.Store(nanoseconds(now))
		n, err := c.Conn.Write(part)
		c.writingSince.Store(0)
		total += n
		if err != nil || total == len(p) {
			return total, err
		}
	}
}

// renewWriteDeadline sets the deadline of the next write, unless the one in force will do.
func (c *limitedConn) renewWriteDeadline(now time.Time) error {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	want := now.Add(writeTimeout + writeDeadlineSlack)
	if !c.handlerDeadline.IsZero() && c.handlerDeadline.Before(want) {
		want = c.handlerDeadline
	}
	longEnough := c.deadline.After(now.Add(writeTimeout)) && !c.deadline.After(want)
	if longEnough || c.deadline.Equal(want) {
		return nil
	}
	c.deadline = want
	return c.Conn.SetWriteDeadline(want)
}
