package transport

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"parsleyramp/internal/fail"
)

// ClientFacingServer is an HTTP/1.1 server that stops without dropping a request
// that it has begun to read: it serves such a request before it closes the
// connection. http.Server.Shutdown drops a request whose header it has not yet
// parsed.
type ClientFacingServer struct {
	*Server
	draining atomic.Bool
	minTimes minTimes
	// accepting is the listener.
	accepting *trackingListener
	mu        sync.Mutex
	// stopping is set once Shutdown has been called.
	stopping bool
	conns    map[*trackedConn]bool
	// open counts the connections that are not closed.
	open sync.WaitGroup
}

// maxClientHeaderBytes bounds the head that clients may be told they can send.
const maxClientHeaderBytes = 256 << 10

// ServeProbes starts to serve the handler on the listener, over HTTP/1.1 and for clients whose requests are small.
func ServeProbes(l net.Listener, h http.Handler) *ClientFacingServer {
	s := ServeClients(l, h)
	s.LimitHeads(probeHeadBytes)
	return s
}

// probeHeadBytes is the largest head of a probe, or of a request of the platform or an operator.
const probeHeadBytes = 16 << 10

// ServeClients starts to serve the handler on the listener, over HTTP/1.1.
func ServeClients(l net.Listener, h http.Handler) *ClientFacingServer {
	s := &ClientFacingServer{conns: map[*trackedConn]bool{}}
	s.accepting = &trackingListener{Listener: l, server: s}
	s.Server = newServer(s.accepting, s.announceClose(recordUnreadBody(resetAborted(h))))
	// The listener limits heads further.
	s.http.MaxHeaderBytes = maxClientHeaderBytes
	allowHeaderLines(s.http)
	s.http.Protocols = new(http.Protocols)
	s.http.Protocols.SetHTTP1(true)
	s.http.ConnState = s.recordState
	s.start()
	return s
}

// Close closes all connections at once, aborting the requests on them.
func (s *ClientFacingServer) Close() error {
	s.mu.Lock()
	for c := range s.conns {
		c.setLinger(false)
	}
	s.mu.Unlock()
	return s.Server.Close()
}

// Drain adds "Connection: close" to the header of every response that is written
// from now on, so that clients send their next request on another connection, but for one
// behind which another request has arrived.
func (s *ClientFacingServer) Drain() { s.draining.Store(true) }

// AllowClients makes the server wait at least that long for the header of a request, and for the
// next request on an idle connection. It applies from the next request on each connection.
func (s *ClientFacingServer) AllowClients(header, idle time.Duration) {
	s.minTimes.header.Store(int64(header))
	s.minTimes.idle.Store(int64(idle))
}

// LimitHeads sets the largest size of a request's head in bytes; zero for the default. It needs a listener with limits.
func (s *ClientFacingServer) LimitHeads(bytes int) {
	if bytes <= 0 {
		bytes = defaultHeadBytes
	}
	if l := limitedListenerOf(s.accepting); l != nil {
		l.address.headLimit.Store(int64(min(bytes, maxClientHeaderBytes-headSlack)))
	}
}

// CloseIdle starts to close the connections on which no request is in flight. A
// connection on which a request arrives in the meantime serves it.
func (s *ClientFacingServer) CloseIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closeIdleLocked()
}

func (s *ClientFacingServer) closeIdleLocked() {
	for c := range s.conns {
		c.closeWhenIdle()
	}
}

// Shutdown drains the server, stops accepting connections, and closes each
// connection once no request is in flight on it. It returns an error if a request
// is in flight when ctx ends; another call continues to wait for it, and Close
// aborts it.
func (s *ClientFacingServer) Shutdown(ctx context.Context) error {
	s.Drain()
	s.mu.Lock()
	s.stopping = true
	s.closeIdleLocked()
	s.mu.Unlock()
	// Serve returns once the listener is closed.
	s.accepting.stop()
	serveErr := s.serveError(net.ErrClosed, http.ErrServerClosed)
	if err := s.awaitConns(ctx); err != nil {
		return fail.Wrap(err, fail.Internal, "shut down HTTP server")
	}
	return serveErr
}

// awaitConns waits until all connections are closed. It returns an error if a
// request is in flight when ctx ends.
func (s *ClientFacingServer) awaitConns(ctx context.Context) error {
	closed := make(chan struct{})
	go func() {
		s.open.Wait()
		close(closed)
	}()
	select {
	case <-closed:
		return nil
	case <-ctx.Done():
	}
	if s.requestInFlight() {
		return ctx.Err()
	}
	return nil
}

func (s *ClientFacingServer) requestInFlight() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.requestInFlight() {
			return true
		}
	}
	return false
}

// announceClose adds "Connection: close" to the last responses that are written while the server
// drains.
func (s *ClientFacingServer) announceClose(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*trackedConn)
		if ok {
			c.beginRequest(r.ContentLength)
		}
		out := &drainWriter{ResponseWriter: w, server: s, conn: c}
		h.ServeHTTP(out, r)
		out.announceClose() // A handler may write nothing.
	})
}

// recordState records the state that the HTTP server reports of a connection.
func (s *ClientFacingServer) recordState(conn net.Conn, state http.ConnState) {
	recordIdle(conn, state)
	c, ok := conn.(*trackedConn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		c.setInFlight(true)
	case http.StateIdle:
		c.setInFlight(false)
	case http.StateClosed, http.StateHijacked:
		s.remove(c)
	}
}

// add adds an accepted connection to the set of open connections.
func (s *ClientFacingServer) add(c *trackedConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = true
	s.open.Add(1)
	if s.stopping {
		c.closeWhenIdle()
	}
}

func (s *ClientFacingServer) remove(c *trackedConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	s.open.Done()
}
