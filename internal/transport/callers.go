package transport

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
)

// ClientFacingServer is a Server whose planned stop never closes a connection on
// which a request has begun. net/http's own closing of idle connections can
// cross a request that is just being read.
type ClientFacingServer struct {
	*Server
	mu       sync.Mutex
	conns    map[*callerConn]bool
	draining atomic.Bool
}

// ServeClients starts to serve the handler on the listener.
func ServeClients(l net.Listener, h http.Handler) *ClientFacingServer {
	s := &ClientFacingServer{conns: map[*callerConn]bool{}}
	s.Server = newServer(&callerListener{Listener: l, server: s}, s.guard(h))
	s.http.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, callerConnKey{}, c)
	}
	s.start()
	return s
}

// Drain asks callers, with every further answer, to use another connection.
func (s *ClientFacingServer) Drain() { s.draining.Store(true) }

// CloseIdle closes the connections on which no request has begun.
func (s *ClientFacingServer) CloseIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.closeIdle()
	}
}

// guard lets a request through where its connection was not closed as idle.
func (s *ClientFacingServer) guard(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(callerConnKey{}).(*callerConn)
		if ok {
			if !c.begin() {
				panic(http.ErrAbortHandler)
			}
			defer c.end()
		}
		if s.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

type callerConnKey struct{}

// callerConn knows whether a request is being served on it.
type callerConn struct {
	net.Conn
	server *ClientFacingServer
	mu     sync.Mutex
	busy   int
	closed bool
}

func (c *callerConn) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.busy++
	return true
}

func (c *callerConn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy--
}

// closeIdle closes the connection unless a request has begun on it. The failure
// of a close is the caller's.
func (c *callerConn) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy > 0 || c.closed {
		return
	}
	c.closed = true
	_ = c.Conn.Close()
}

// Close closes the connection and forgets it.
func (c *callerConn) Close() error {
	c.server.mu.Lock()
	delete(c.server.conns, c)
	c.server.mu.Unlock()
	return c.Conn.Close()
}

type callerListener struct {
	net.Listener
	server *ClientFacingServer
}

// Accept waits for the next connection.
func (l *callerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tracked := &callerConn{Conn: c, server: l.server}
	l.server.mu.Lock()
	l.server.conns[tracked] = true
	l.server.mu.Unlock()
	return tracked, nil
}
