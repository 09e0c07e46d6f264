package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"testing"
	"time"

	"parsleyramp/internal/answer"
	"parsleyramp/internal/fail"
	"parsleyramp/internal/testnet"
)

const (
	// longBodyBytes is more than the buffers of a connection hold, so that the body is still being
	// written when an endpoint answers early.
	longBodyBytes = 16 << 20
	// maxBufferedBody bounds a response in these tests.
	maxBufferedBody = 1 << 20
)

// unframedHead is the head of a response that ends with its connection.
const unframedHead = "HTTP/1.1 200 OK\r\nId: a\r\n\r\n"

func dialWriteFirst(ctx context.Context, address string) (net.Conn, error) {
	c, err := dialTCP(ctx, address)
	if err != nil {
		return nil, err
	}
	return testnet.NewWriteFirst(c)
}

// readHead reads the head of a request, and leaves its body.
func readHead(r *bufio.Reader) {
	for {
		if line, err := r.ReadString('\n'); err != nil || line == "\r\n" {
			return
		}
	}
}

// reset resets the connection.
func reset(c net.Conn) {
	c.(*net.TCPConn).SetLinger(0)
	c.Close()
}

// readResponse sends the body and returns that of the response.
func readResponse(t *testing.T, p *Pool, address string, body []byte) (string, error) {
	t.Helper()
	r := request("a")
	r.Body = body
	resp, err := p.Do(t.Context(), address, r, matchID("a"))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Close()
	got, err := answer.ReadAll(resp.Body, resp.Head, maxBufferedBody)
	return string(got), err
}

func TestResetThatTheWriterOfTheRequestGetsIsNoEndOfTheResponse(t *testing.T) {
	for name, text := range map[string]string{
		"text":              unframedHead + "part",
		"JSON":              "HTTP/1.1 200 OK\r\nId: a\r\nContent-Type: application/json\r\n\r\n{}",
		"Connection: close": "HTTP/1.1 200 OK\r\nId: a\r\nConnection: close\r\n\r\npart",
		"HTTP/1.0":          "HTTP/1.0 200 OK\r\nId: a\r\n\r\npart",
		"failure":           "HTTP/1.1 404 Not Found\r\nId: a\r\n\r\npart",
	} {
		t.Run(name, func(t *testing.T) {
			address := listen(t, func(c net.Conn, r *bufio.Reader) {
				readHead(r)
				io.WriteString(c, text)
				reset(c)
			})
			got, err := readResponse(t, NewPoolWithDial(dialWriteFirst), address, make([]byte, longBodyBytes))
			if f := fail.From(err); err == nil || f.Code != fail.TruncatedAnswer || f.Ran != fail.RanUnknown {
				t.Errorf("body %q, error %v, want a truncated answer whose request may have run", got, err)
			}
		})
	}
}

// TestEndOfAConnectionWhoseRequestIsNotReadIsNoEndOfTheResponse ends the endpoint's side in order. What
// the client has sent then arrives nowhere.
func TestEndOfAConnectionWhoseRequestIsNotReadIsNoEndOfTheResponse(t *testing.T) {
	for name, c := range map[string]struct{ bodyBytes, sendBufferBytes int }{
		"while it is being written": {longBodyBytes, 0},
		"after it was written":      {1 << 20, 4 << 20},
	} {
		t.Run(name, func(t *testing.T) {
			address := listen(t, func(c net.Conn, r *bufio.Reader) {
				readHead(r)
				io.WriteString(c, unframedHead+"part")
				c.(*net.TCPConn).CloseWrite()
				time.Sleep(100 * time.Millisecond)
				reset(c)
			})
			p := NewPoolWithDial(func(ctx context.Context, address string) (net.Conn, error) {
				conn, err := dialTCP(ctx, address)
				if err == nil && c.sendBufferBytes > 0 {
					err = conn.(*net.TCPConn).SetWriteBuffer(c.sendBufferBytes)
				}
				return conn, err
			})
			if got, err := readResponse(t, p, address, make([]byte, c.bodyBytes)); !fail.Is(err, fail.TruncatedAnswer) {
				t.Errorf("body %q, error %v, want a truncated answer", got, err)
			}
		})
	}
}

func TestSoundResponseToALongUploadIsWhole(t *testing.T) {
	const pause = 100 * time.Millisecond
	discard := func(r *bufio.Reader) { io.Copy(io.Discard, r) }
	readBody := func(r *bufio.Reader) { io.CopyN(io.Discard, r, longBodyBytes) }
	for name, script := range map[string]connScript{
		"after the request": func(c net.Conn, r *bufio.Reader) {
			readHead(r)
			readBody(r)
			io.WriteString(c, unframedHead+"whole")
		},
		"before the body": func(c net.Conn, r *bufio.Reader) {
			readHead(r)
			io.WriteString(c, unframedHead+"whole")
			readBody(r)
		},
		"before the body, whose rest is read after the end of the response": func(c net.Conn, r *bufio.Reader) {
			readHead(r)
			io.WriteString(c, unframedHead+"whole")
			c.(*net.TCPConn).CloseWrite()
			time.Sleep(pause)
			discard(r)
		},
		"before the body, with a length": func(c net.Conn, r *bufio.Reader) {
			readHead(r)
			io.WriteString(c, "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 5\r\n\r\nwhole")
			readBody(r)
			time.Sleep(pause)
		},
		"before a reset, in chunks": func(c net.Conn, r *bufio.Reader) {
			readHead(r)
			io.WriteString(c, "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n")
			time.Sleep(pause)
			reset(c)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if got, err := readResponse(t, NewPool(), listen(t, script), make([]byte, longBodyBytes)); err != nil || got != "whole" {
				t.Errorf("body %q, error %v, want the whole body", got, err)
			}
		})
	}
}

// TestWaitForTheRequestEndsWithIt ends a request whose endpoint has ended its side and reads nothing.
func TestWaitForTheRequestEndsWithIt(t *testing.T) {
	for name, cause := range map[string]error{"canceled": context.Canceled, "drained": fail.New(fail.Draining, "the gateway stops")} {
		t.Run(name, func(t *testing.T) {
			stop := make(chan struct{})
			defer close(stop)
			address := listen(t, func(c net.Conn, r *bufio.Reader) {
				readHead(r)
				io.WriteString(c, unframedHead+"part")
				c.(*net.TCPConn).CloseWrite()
				<-stop
			})
			ctx, cancel := context.WithCancelCause(t.Context())
			defer cancel(nil)
			r := request("a")
			r.Body = make([]byte, longBodyBytes)
			resp, err := NewPool().Do(ctx, address, r, matchID("a"))
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Close()
			time.AfterFunc(50*time.Millisecond, func() { cancel(cause) })
			began := time.Now()
			if got, err := io.ReadAll(resp.Body); err == nil || time.Since(began) > time.Second {
				t.Errorf("body %q, error %v after %v, want an error soon after the end of the request", got, err, time.Since(began))
			}
		})
	}
}
