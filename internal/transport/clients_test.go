package transport

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"
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
	s, begun, release := serveBlocking(t)
	c := dialServer(t, s)
	sendRequest(t, c)
	<-begun
	release <- struct{}{}
	r := bufio.NewReader(c)
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatal(err)
	}
	io.Copy(io.Discard, resp.Body)
	s.CloseIdle()
	if _, err := r.ReadByte(); err == nil {
		t.Fatal("the connection was not closed")
	}
	// The write may fail, because the server has closed the connection.
	_, _ = io.WriteString(c, getRequest)
	if err := s.Shutdown(context.Background()); err != nil {
		t.Fatal(err)
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

// forEachStop runs a test in a synctest bubble once for each way to close the
// connections without a request.
func forEachStop(t *testing.T, f func(t *testing.T, stop func(*ClientFacingServer))) {
	for name, stop := range stops {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { f(t, stop) })
		})
	}
}

// keepConnection returns a client whose connection has been idle for some time
// after a first response.
func keepConnection(t *testing.T, l *pipeListener) *pipeClient {
	t.Helper()
	c := l.dial(t)
	c.send(getRequest)
	c.expectResponse(t)
	time.Sleep(idleTimeout / 2)
	return c
}

// A Read of the server returns the whole request only after the stop.
func TestRequestReadBeforeStopIsAnswered(t *testing.T) {
	forEachStop(t, func(t *testing.T, stop func(*ClientFacingServer)) {
		s, l := servePipes(t, respondComplete)
		c := keepConnection(t, l)
		c.server.after.close()
		c.send(getRequest)
		synctest.Wait()
		stop(s)
		c.server.after.open()
		c.expectResponse(t)
	})
}

func TestRequestHeaderReadInPartBeforeStopIsAnswered(t *testing.T) {
	forEachStop(t, func(t *testing.T, stop func(*ClientFacingServer)) {
		s, l := servePipes(t, respondComplete)
		c := keepConnection(t, l)
		c.send(getRequest[:10])
		synctest.Wait()
		stop(s)
		time.Sleep(readHeaderTimeout / 2)
		c.send(getRequest[10:])
		c.expectResponse(t)
	})
}

func TestRequestInSocketBufferAtStopIsAnswered(t *testing.T) {
	forEachStop(t, func(t *testing.T, stop func(*ClientFacingServer)) {
		release := make(chan struct{})
		s, l := servePipes(t, func(w http.ResponseWriter, r *http.Request) {
			<-release
			respondComplete(w, r)
		})
		c := l.dial(t)
		c.send(getRequest)
		synctest.Wait()
		c.server.before.close()
		close(release)
		c.expectResponse(t)
		time.Sleep(idleTimeout / 2)
		c.send(getRequest)
		synctest.Wait()
		stop(s)
		synctest.Wait()
		c.server.before.open()
		c.expectResponse(t)
	})
}

func TestFirstRequestAfterStopIsAnswered(t *testing.T) {
	forEachStop(t, func(t *testing.T, stop func(*ClientFacingServer)) {
		s, l := servePipes(t, respondComplete)
		c := l.dial(t)
		synctest.Wait()
		stop(s)
		synctest.Wait()
		c.send(getRequest[:10])
		time.Sleep(readHeaderTimeout / 2)
		c.send(getRequest[10:])
		c.expectResponse(t)
	})
}

// heldListener holds each Accept while its gate is shut.
type heldListener struct {
	*countingListener
	gate gate
}

func (l *heldListener) Accept() (net.Conn, error) {
	l.gate.pass()
	return l.countingListener.Accept()
}

// The kernel has completed the connection, and the process accepts none until Shutdown has begun.
func TestConnectionThatWaitsToBeAcceptedAtShutdownIsServed(t *testing.T) {
	inner, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &heldListener{countingListener: inner.(*countingListener)}
	l.gate.close()
	s := ServeClients(l, http.HandlerFunc(respondComplete))
	t.Cleanup(func() { s.Close() })
	c := dialServer(t, s)
	sendRequest(t, c)
	begun, stopped := make(chan struct{}), make(chan error, 1)
	go func() {
		close(begun)
		stopped <- s.Shutdown(t.Context())
	}()
	<-begun
	time.Sleep(50 * time.Millisecond)
	l.gate.open()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatalf("%v, want a response", err)
	}
	if body, err := io.ReadAll(resp.Body); err != nil || string(body) != "complete" || !resp.Close {
		t.Errorf("body %q, error %v, close %t, want the whole response and the close announced", body, err, resp.Close)
	}
	if err := <-stopped; err != nil {
		t.Error(err)
	}
	if _, err := net.Dial("tcp4", s.Address()); err == nil {
		t.Error("connected after Shutdown, want the listener closed")
	}
}

// The HTTP server has buffered the second request when the first response ends.
func TestPipelinedRequestIsNotCanceledByCloseIdle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, l := servePipes(t, func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(2 * finalReadTimeout)
			if err := r.Context().Err(); err != nil {
				t.Errorf("request canceled: %v", err)
			}
			respondComplete(w, r)
		})
		c := l.dial(t)
		c.send(getRequest + getRequest)
		synctest.Wait()
		s.CloseIdle()
		c.expectResponse(t)
		c.expectResponse(t)
		c.expectClosed(t)
	})
}

func TestRequestsPipelinedBehindOneThatEndsInADrainAreAnswered(t *testing.T) {
	const post, chunked = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n"
	for name, parts := range map[string][]string{
		"in one write":           {getRequest + getRequest + getRequest},
		"in separate writes":     {getRequest, getRequest, getRequest},
		"with bodies":            {post + post + post},
		"with bodies in chunks":  {chunked + chunked + chunked},
		"in writes across heads": {getRequest + getRequest[:20], getRequest[20:] + getRequest[:len(getRequest)-1], "\n"},
		"byte by byte":           strings.Split(post+chunked+getRequest, ""),
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, l := servePipes(t, func(w http.ResponseWriter, r *http.Request) {
					_, _ = io.Copy(io.Discard, r.Body)
					time.Sleep(2 * finalReadTimeout)
					respondComplete(w, r)
				})
				c := l.dial(t)
				go func() {
					for _, p := range parts {
						_, _ = io.WriteString(c, p)
					}
				}()
				synctest.Wait()
				s.Drain()
				s.CloseIdle()
				for i := range 3 {
					if resp := c.expectResponse(t); resp == nil || resp.Close != (i == 2) {
						t.Fatalf("response %d: %v, want the close announced by the last of 3", i, resp)
					}
				}
				c.expectClosed(t)
			})
		})
	}
}

// The header of the first response is sent before the drain begins.
func TestRequestAfterResponseEndingInShutdownIsAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		release := make(chan struct{})
		s, l := servePipes(t, func(w http.ResponseWriter, _ *http.Request) {
			http.NewResponseController(w).Flush()
			<-release
			io.WriteString(w, "complete")
		})
		c := l.dial(t)
		c.send(getRequest)
		synctest.Wait()
		s.Drain()
		stopped := make(chan error, 1)
		go func() { stopped <- s.Shutdown(context.Background()) }()
		synctest.Wait()
		close(release)
		if resp := c.expectResponse(t); resp == nil || resp.Close {
			t.Fatalf("response %v, want one that keeps its connection", resp)
		}
		c.send(getRequest)
		if resp := c.expectResponse(t); resp != nil && !resp.Close {
			t.Error("the last response lacks Connection: close")
		}
		c.expectClosed(t)
		if err := <-stopped; err != nil {
			t.Error(err)
		}
	})
}

// responders are the ways in which a handler can write its response.
var responders = map[string]http.HandlerFunc{
	"nothing": func(http.ResponseWriter, *http.Request) {},
	"Write":   respondComplete,
	"WriteHeader": func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusNoContent)
	},
	"Flush": func(w http.ResponseWriter, _ *http.Request) {
		http.NewResponseController(w).Flush()
	},
	"informational header first": func(w http.ResponseWriter, r *http.Request) {
		w.WriteHeader(http.StatusEarlyHints)
		respondComplete(w, r)
	},
	"without the connection header of the server": func(w http.ResponseWriter, r *http.Request) {
		w.Header().Del("Connection")
		respondComplete(w, r)
	},
}

// readFinalResponse reads a response after its informational ones.
func (c *pipeClient) readFinalResponse(t *testing.T) *http.Response {
	t.Helper()
	for {
		resp, err := http.ReadResponse(c.reader, nil)
		if err != nil {
			t.Fatal(err)
		}
		if resp.StatusCode >= http.StatusOK {
			return resp
		}
		if resp.Close {
			t.Errorf("informational response %d has Connection: close", resp.StatusCode)
		}
	}
}

// forEachResponder checks, for each responder, a response that is written during a
// drain. begun says whether its request begins before the drain.
func forEachResponder(t *testing.T, begun bool) {
	for name, respond := range responders {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { expectCloseAnnounced(t, begun, respond) })
		})
	}
}

func expectCloseAnnounced(t *testing.T, begun bool, respond http.HandlerFunc) {
	t.Helper()
	release := make(chan struct{})
	s, l := servePipes(t, func(w http.ResponseWriter, r *http.Request) {
		<-release
		respond(w, r)
	})
	c := l.dial(t)
	if !begun {
		s.Drain()
	}
	c.send(getRequest)
	synctest.Wait()
	s.Drain()
	close(release)
	resp := c.readFinalResponse(t)
	if !resp.Close {
		t.Error("the response lacks Connection: close")
	}
	io.Copy(io.Discard, resp.Body)
	written := time.Now()
	c.expectClosed(t)
	if d := time.Since(written); d > 0 {
		t.Errorf("the connection was closed %v after the response", d)
	}
}

func TestResponseBegunBeforeDrainAnnouncesClose(t *testing.T) { forEachResponder(t, true) }

func TestResponseDuringDrainAnnouncesClose(t *testing.T) { forEachResponder(t, false) }

func TestClientFacingServerDoesNotSpeakHTTP2(t *testing.T) {
	l, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := ServeClients(l, http.HandlerFunc(respondComplete))
	t.Cleanup(func() { s.Close() })
	if resp, err := NewPeerClient().Get("http://" + s.Address()); err == nil {
		resp.Body.Close()
		t.Errorf("got status %d over HTTP/2, want an error", resp.StatusCode)
	}
}

func TestConnectionClosesAfterRequestInFlightAtCloseIdle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, l := servePipes(t, func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(time.Second)
			respondComplete(w, r)
		})
		c := l.dial(t)
		c.send(getRequest)
		synctest.Wait()
		s.CloseIdle()
		c.expectResponse(t)
		ended := time.Now()
		c.expectClosed(t)
		if d := time.Since(ended); d > finalReadTimeout {
			t.Errorf("closed %v after the response, want at most %v", d, finalReadTimeout)
		}
	})
}

func TestShutdownClosesIdleConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, l := servePipes(t, respondComplete)
		kept, unused := keepConnection(t, l), l.dial(t)
		late := newPipeClient(t)
		l.last = late.server
		started := time.Now()
		if err := s.Shutdown(context.Background()); err != nil {
			t.Error(err)
		}
		if d := time.Since(started); d > finalReadTimeout {
			t.Errorf("Shutdown took %v, want at most %v", d, finalReadTimeout)
		}
		kept.expectClosed(t)
		unused.expectClosed(t)
		late.expectClosed(t)
	})
}

func TestShutdownReturnsAnErrorForARequestInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		release := make(chan struct{})
		s, l := servePipes(t, func(w http.ResponseWriter, r *http.Request) {
			<-release
			respondComplete(w, r)
		})
		c := l.dial(t)
		c.send(getRequest)
		synctest.Wait()
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		if err := s.Shutdown(ctx); err == nil {
			t.Error("Shutdown returned no error, want one for the request in flight")
		}
		close(release)
		c.expectResponse(t)
		if err := s.Shutdown(context.Background()); err != nil {
			t.Errorf("second Shutdown: %v", err)
		}
	})
}

// The HTTP server discards the rest of a short body and keeps the connection.
func TestKeptConnectionDoesNotLingerOverItsNextRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, l := servePipes(t, respondComplete)
		c := l.dial(t)
		c.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody")
		c.expectResponse(t)
		synctest.Wait()
		begin := time.Now()
		s.CloseIdle()
		c.expectClosed(t)
		if took := time.Since(begin); took > finalReadTimeout {
			t.Errorf("closed after %v, want %v: a request sent in between gets no answer", took, finalReadTimeout)
		}
	})
}
