package transport

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
)

// serveBlocking starts a server whose handler sends to begun and then blocks
// until it receives from release.
func serveBlocking(t *testing.T) (s *ClientFacingServer, begun chan struct{}, release chan struct{}) {
	t.Helper()
	begun, release = make(chan struct{}, 8), make(chan struct{})
	l, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s = ServeClients(l, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		begun <- struct{}{}
		<-release
		io.WriteString(w, "complete")
	}))
	t.Cleanup(func() { s.Close() })
	return s, begun, release
}

func dialServer(t *testing.T, s *ClientFacingServer) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp4", s.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

func sendRequest(t *testing.T, c net.Conn) {
	t.Helper()
	if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
}

func TestCloseIdleClosesOnlyIdleConnections(t *testing.T) {
	s, begun, release := serveBlocking(t)
	busy, idle := dialServer(t, s), dialServer(t, s)
	sendRequest(t, idle)
	<-begun
	sendRequest(t, busy)
	<-begun
	release <- struct{}{}
	release <- struct{}{}
	for _, c := range []net.Conn{idle, busy} {
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatal(err)
		}
		io.Copy(io.Discard, resp.Body)
	}
	sendRequest(t, busy)
	<-begun
	s.Drain()
	s.CloseIdle()
	if n, err := idle.Read(make([]byte, 1)); err == nil {
		t.Errorf("read %d bytes from an idle connection after CloseIdle, want it closed", n)
	}
	release <- struct{}{}
	resp, err := http.ReadResponse(bufio.NewReader(busy), nil)
	if err != nil {
		t.Fatalf("connection closed during a request: %v", err)
	}
	if body, err := io.ReadAll(resp.Body); err != nil || string(body) != "complete" {
		t.Errorf("body %q, error %v, want the body complete", body, err)
	}
}

func TestRequestAfterCloseIdleIsNotServed(t *testing.T) {
	s, begun, _ := serveBlocking(t)
	c := &trackedConn{Conn: dialServer(t, s), server: s}
	c.closeIdle()
	if c.beginRequest() {
		t.Error("beginRequest succeeded on a connection that CloseIdle had closed")
	}
	select {
	case <-begun:
		t.Error("the request was served")
	default:
	}
}

func TestDrainClosesConnectionsAfterTheResponse(t *testing.T) {
	s, begun, release := serveBlocking(t)
	c := dialServer(t, s)
	sendRequest(t, c)
	<-begun
	s.Drain()
	release <- struct{}{}
	first, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	io.Copy(io.Discard, first.Body)
	second := dialServer(t, s)
	sendRequest(t, second)
	<-begun
	release <- struct{}{}
	resp, err := http.ReadResponse(bufio.NewReader(second), nil)
	if err != nil || !resp.Close {
		t.Errorf("response %v, error %v, want a response with Connection: close", resp, err)
	}
}
