package transport

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
)

// gate blocks the goroutines that pass it while it is shut.
type gate struct {
	mu   sync.Mutex
	shut chan struct{}
}

func (g *gate) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.shut = make(chan struct{})
}

func (g *gate) open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.shut != nil {
		close(g.shut)
		g.shut = nil
	}
}

func (g *gate) pass() {
	g.mu.Lock()
	shut := g.shut
	g.mu.Unlock()
	if shut != nil {
		<-shut
	}
}

// gatedConn holds a Read before it reads or after it has read bytes.
type gatedConn struct {
	net.Conn
	before, after gate
}

func (c *gatedConn) Read(p []byte) (int, error) {
	c.before.pass()
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.after.pass()
	}
	return n, err
}

// pipeListener accepts connections in memory, which can be used in a synctest
// bubble.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
	// last is a connection that Accept returns after Close; nil for none.
	last net.Conn
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
	}
	if c := l.last; c != nil {
		l.last = nil
		return c, nil
	}
	return nil, net.ErrClosed
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func servePipes(t *testing.T, h http.HandlerFunc) (*ClientFacingServer, *pipeListener) {
	t.Helper()
	l := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
	s := ServeClients(l, h)
	t.Cleanup(func() { s.Close() })
	return s, l
}

// pipeClient is a client with one connection.
type pipeClient struct {
	net.Conn
	server *gatedConn
	reader *bufio.Reader
}

func (l *pipeListener) dial(t *testing.T) *pipeClient {
	t.Helper()
	c := newPipeClient(t)
	l.conns <- c.server
	return c
}

func newPipeClient(t *testing.T) *pipeClient {
	t.Helper()
	near, far := net.Pipe()
	c := &pipeClient{Conn: near, server: &gatedConn{Conn: far}, reader: bufio.NewReader(near)}
	t.Cleanup(func() {
		c.Close()
		c.server.before.open()
		c.server.after.open()
	})
	return c
}

const getRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// send writes in the background, because a pipe has no buffer.
func (c *pipeClient) send(text string) { go io.WriteString(c, text) }

// expectResponse reads a complete response with the body "complete".
func (c *pipeClient) expectResponse(t *testing.T) *http.Response {
	t.Helper()
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		t.Errorf("reading the response: %v, want a response", err)
		return nil
	}
	if body, err := io.ReadAll(resp.Body); err != nil || string(body) != "complete" {
		t.Errorf("body %q, error %v, want the body complete", body, err)
	}
	return resp
}

func (c *pipeClient) expectClosed(t *testing.T) {
	t.Helper()
	if b, err := c.reader.ReadByte(); err == nil {
		t.Errorf("read %q, want the connection closed", b)
	}
}

func respondComplete(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "complete") }

// stops are the ways to close the connections without a request.
var stops = map[string]func(*ClientFacingServer){
	"CloseIdle": (*ClientFacingServer).CloseIdle,
	"Shutdown":  shutdownAtOnce,
	"CloseIdle and Shutdown": func(s *ClientFacingServer) {
		s.CloseIdle()
		synctest.Wait()
		shutdownAtOnce(s)
	},
}

// shutdownAtOnce calls Shutdown without waiting for the connections to close.
func shutdownAtOnce(s *ClientFacingServer) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = s.Shutdown(ctx)
}
