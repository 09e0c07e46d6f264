package transport

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
)

// serveCallers starts a server whose requests wait until they are let go.
func serveCallers(t *testing.T) (s *ClientFacingServer, begun chan struct{}, letGo chan struct{}) {
	t.Helper()
	begun, letGo = make(chan struct{}, 8), make(chan struct{})
	l, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s = ServeClients(l, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		begun <- struct{}{}
		<-letGo
		io.WriteString(w, "whole")
	}))
	t.Cleanup(func() { s.Close() })
	return s, begun, letGo
}

func dialCaller(t *testing.T, s *ClientFacingServer) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp4", s.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

func ask(t *testing.T, c net.Conn) {
	t.Helper()
	if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
}

func TestIdleConnectionsCloseAndBusyOnesDoNot(t *testing.T) {
	s, begun, letGo := serveCallers(t)
	busy, idle := dialCaller(t, s), dialCaller(t, s)
	ask(t, idle)
	<-begun
	ask(t, busy)
	<-begun
	letGo <- struct{}{}
	letGo <- struct{}{}
	for _, c := range []net.Conn{idle, busy} {
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatal(err)
		}
		io.Copy(io.Discard, resp.Body)
	}
	ask(t, busy)
	<-begun
	s.Drain()
	s.CloseIdle()
	if n, err := idle.Read(make([]byte, 1)); err == nil {
		t.Errorf("%d bytes on a connection that was idle, want its end", n)
	}
	letGo <- struct{}{}
	resp, err := http.ReadResponse(bufio.NewReader(busy), nil)
	if err != nil {
		t.Fatalf("a connection was closed over a request: %v", err)
	}
	if body, err := io.ReadAll(resp.Body); err != nil || string(body) != "whole" {
		t.Errorf("%q, %v", body, err)
	}
}

func TestRequestThatCrossesTheCloseIsNotServed(t *testing.T) {
	s, begun, _ := serveCallers(t)
	c := &callerConn{Conn: dialCaller(t, s), server: s}
	c.closeIdle()
	if c.begin() {
		t.Error("a request began on a connection that was closed as idle")
	}
	select {
	case <-begun:
		t.Error("the request was served")
	default:
	}
}

func TestDrainingAsksForAnotherConnection(t *testing.T) {
	s, begun, letGo := serveCallers(t)
	c := dialCaller(t, s)
	ask(t, c)
	<-begun
	s.Drain()
	letGo <- struct{}{}
	first, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	io.Copy(io.Discard, first.Body)
	other := dialCaller(t, s)
	ask(t, other)
	<-begun
	letGo <- struct{}{}
	resp, err := http.ReadResponse(bufio.NewReader(other), nil)
	if err != nil || !resp.Close {
		t.Errorf("%v, %v: want an answer that closes the connection", resp, err)
	}
}
