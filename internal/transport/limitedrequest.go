package transport

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"
)

// limitedRequest is what one request takes towards the limits of the process.
type limitedRequest struct {
	conn *limitedConn
	// read counts the bytes of its body that have been read, and reserved those that the handler has
	// reserved. Only the handler uses them.
	read, reserved int64

	// The mutex of the limits guards what follows.
	taken
	// whole is set once the request has arrived whole.
	whole bool
	// refused is set once the body has found no room: the rest is discarded.
	refused bool
}

// requestKey is the key of a limitedRequest in the context of its request.
type requestKey struct{}

// limitRequests counts what requests take towards the limits of the process.
func limitRequests(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, _ := r.Context().Value(connKey{}).(net.Conn)
		c := limitedConnOf(conn)
		if c == nil {
			h.ServeHTTP(w, r)
			return
		}
		q := c.beginRequest(r)
		if q == nil {
			panic(http.ErrAbortHandler) // The connection is closed.
		}
		defer q.end(r)
		if r.Body != http.NoBody {
			body := r.Body
			r = r.WithContext(context.WithValue(r.Context(), requestKey{}, q))
			r.Body = &limitedBody{body, q}
		}
		h.ServeHTTP(w, r)
	})
}

// ReserveBody takes n bytes for the body of the request with the context before they are read, or
// returns ErrBodiesFull. The room is given back when the handler returns.
func ReserveBody(ctx context.Context, n int) error {
	q, ok := ctx.Value(requestKey{}).(*limitedRequest)
	if !ok {
		return nil
	}
	if err := q.takeBody(int64(n)); err != nil {
		return err
	}
	q.reserved += int64(n)
	return nil
}

// beginRequest counts a request that a handler begins to serve. It returns nil if the connection is
// closed, which it may be for want of room for the request's head.
func (c *limitedConn) beginRequest(r *http.Request) *limitedRequest {
	q := &limitedRequest{conn: c, whole: r.Body == http.NoBody}
	var cost int64
	if r.ProtoMajor > 1 {
		cost = headerCost(r.Header)
	}
	c.progressAt.Store(nanoseconds(time.Now()))
	l := c.address.limits
	l.mu.Lock()
	victims, ok := l.takeOrCloseLocked(c, taken{heads: cost})
	if ok {
		q.heads = cost
		c.headBytes = 0
		c.busy.Store(true)
		if q.whole {
			c.working++
		}
		c.updateLocked()
	}
	l.mu.Unlock()
	closeAll(victims)
	if !ok {
		return nil
	}
	return q
}

// headerCost returns what a parsed header takes. The bytes of an HTTP/2 connection don't tell, because
// they are compressed.
func headerCost(h http.Header) int64 {
	cost := 0
	for name, values := range h {
		for _, v := range values {
			cost += headLineCost + headByteCost*(len(name)+len(v))
		}
	}
	return int64(cost)
}

func (q *limitedRequest) addLocked(t taken) {
	q.heads += t.heads
	q.bodies += t.bodies
	q.conn.takeLocked(t)
}

// takeBody takes n bytes for the body, or returns an error if they find no room or the connection is closed.
func (q *limitedRequest) takeBody(n int64) error {
	c, l := q.conn, q.conn.address.limits
	l.mu.Lock()
	if q.refused {
		l.mu.Unlock()
		return nil
	}
	victims, short := l.makeRoomLocked(taken{bodies: n})
	// A body has room while there is no other.
	alone := l.total.bodies == q.bodies
	var err error
	switch {
	case c.released:
		err = net.ErrClosed
	case short != "" && !alone:
		c.address.refuseLocked(short)
		q.refused, err = true, ErrBodiesFull
		q.addLocked(taken{bodies: -q.bodies})
	default:
		q.addLocked(taken{bodies: n})
	}
	l.mu.Unlock()
	closeAll(victims)
	return err
}

// arrivedWhole records that the process works on the request from now on.
func (q *limitedRequest) arrivedWhole() {
	c, l := q.conn, q.conn.address.limits
	l.mu.Lock()
	defer l.mu.Unlock()
	if !q.whole {
		q.whole = true
		c.working++
		c.updateLocked()
	}
}

// end gives back what the request takes.
func (q *limitedRequest) end(r *http.Request) {
	c, l := q.conn, q.conn.address.limits
	l.mu.Lock()
	defer l.mu.Unlock()
	if q.whole {
		c.working--
	}
	if c.released || !q.whole {
		// net/http keeps the request while it waits for the rest of a body, and for a moment after that.
		r.Header = http.Header{"Connection": r.Header["Connection"]}
	}
	if c.released {
		return
	}
	q.addLocked(taken{heads: -q.heads, bodies: -q.bodies})
	c.updateLocked()
}

// becomeIdle records that no request is in flight on the connection, so that what was read belongs to none.
func (c *limitedConn) becomeIdle() {
	l := c.address.limits
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.released {
		return
	}
	c.takeLocked(taken{heads: -c.unparsed})
	c.unparsed = 0
	c.busy.Store(false)
	c.headBytes, c.idle = 0, true
	if !c.served {
		c.serveLocked()
	}
	c.waitAnewLocked()
}

// serveLocked moves the connection to those that have been served.
func (c *limitedConn) serveLocked() {
	if c.position != nil {
		c.listLocked().Remove(c.position)
		c.position = nil
	}
	c.served = true
	c.updateLocked()
}

// limitedBody is the body of a request that counts towards the limits.
type limitedBody struct {
	io.ReadCloser
	request *limitedRequest
}

// Read reads from the body. It returns ErrBodiesFull once if what it reads finds no room; what is read
// after that is to be discarded.
func (b *limitedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	q := b.request
	q.read += int64(n)
	if err == io.EOF {
		q.arrivedWhole()
	}
	if n > 0 && q.read > q.reserved {
		if takeErr := q.takeBody(bodyByteCost * int64(n)); takeErr != nil {
			return 0, takeErr
		}
	}
	return n, err
}
