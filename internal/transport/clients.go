package transport

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
)

// ClientFacingServer is a Server that closes idle connections before a planned
// shutdown without interrupting a request that its handler serves. A request that
// arrives while its connection is being closed is not served at all.
// http.Server.Shutdown can close a connection as idle while a request on it is being
// read.
type ClientFacingServer struct {
	*Server
	mu       sync.Mutex
	conns    map[*trackedConn]bool
	draining atomic.Bool
}

// ServeClients starts to serve the handler on the listener.
func ServeClients(l net.Listener, h http.Handler) *ClientFacingServer {
	s := &ClientFacingServer{conns: map[*trackedConn]bool{}}
	s.Server = newServer(&trackingListener{Listener: l, server: s}, s.trackRequests(h))
	s.http.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, trackedConnKey{}, c)
	}
	s.start()
	return s
}

// Drain adds "Connection: close" to the headers of every further response, so
// that clients send their next request on another connection.
func (s *ClientFacingServer) Drain() { s.draining.Store(true) }

// CloseIdle closes the connections on which no request is in flight.
func (s *ClientFacingServer) CloseIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.closeIdle()
	}
}

// trackRequests counts the requests in flight on each connection and aborts a
// request whose connection CloseIdle has closed.
func (s *ClientFacingServer) trackRequests(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(trackedConnKey{}).(*trackedConn)
		if ok {
			if !c.beginRequest() {
				panic(http.ErrAbortHandler)
			}
			defer c.endRequest()
		}
		if s.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

type trackedConnKey struct{}

// trackedConn counts the requests in flight on a connection.
type trackedConn struct {
	net.Conn
	server   *ClientFacingServer
	mu       sync.Mutex
	inFlight int
	closed   bool
}

func (c *trackedConn) beginRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.inFlight++
	return true
}

func (c *trackedConn) endRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight--
}

// closeIdle closes the connection unless a request is in flight on it. An error
// of the close is ignored: it affects only the client.
func (c *trackedConn) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inFlight > 0 || c.closed {
		return
	}
	c.closed = true
	_ = c.Conn.Close()
}

// Close closes the connection and removes it from the server's set.
func (c *trackedConn) Close() error {
	c.server.mu.Lock()
	delete(c.server.conns, c)
	c.server.mu.Unlock()
	return c.Conn.Close()
}

type trackingListener struct {
	net.Listener
	server *ClientFacingServer
}

// Accept waits for the next connection.
func (l *trackingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tracked := &trackedConn{Conn: c, server: l.server}
	l.server.mu.Lock()
	l.server.conns[tracked] = true
	l.server.mu.Unlock()
	return tracked, nil
}
