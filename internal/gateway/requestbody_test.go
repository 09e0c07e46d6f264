package gateway

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"parsleyramp/internal/document"
	"parsleyramp/internal/wire"
)

// post sends a body to the gateway, in chunks if the length is not stated.
func post(t *testing.T, address, id string, body []byte, chunked bool) *http.Response {
	t.Helper()
	var reader io.Reader = bytes.NewReader(body)
	if chunked {
		reader = io.MultiReader(reader)
	}
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address+"/a/x", reader)
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h"
	req.Header.Set("Id", id)
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	return resp
}

// TestBodiesInFlightAreBoundedTogether guards against a gateway that exceeds its memory because
// it holds the bodies of many large requests.
func TestBodiesInFlightAreBoundedTogether(t *testing.T) {
	for _, chunked := range []bool{false, true} {
		e := startEngine(t, response(200, "Signed: 1\r\n", "one"), response(200, "Signed: 1\r\n", "two"))
		running, end := make(chan struct{}), make(chan struct{})
		e.onReceive = func() {
			running <- struct{}{}
			<-end
		}
		g := newTestGateway(t, nonIdempotent, document.Service{}, &wire.FleetEndpoint{Address: e.address})
		g.cfg.MemoryMB = 8
		address := serveGateway(t, g)
		limit := int(g.cfg.ClientLimits.Config(g.cfg.MemoryMB).BodyBytes)
		body := bytes.Repeat([]byte("0123456789abcdef"), (limit/2+1000)/16)
		first := make(chan int)
		go func() { first <- post(t, address, "first", body, chunked).StatusCode }()
		<-running
		if resp := post(t, address, "second", body, chunked); resp.StatusCode != 503 || resp.Header.Get("Retry-After") == "" {
			t.Errorf("chunked %v: second body: status %d, want 503 with a time to come back", chunked, resp.StatusCode)
		}
		end <- struct{}{}
		if status := <-first; status != 200 {
			t.Errorf("chunked %v: first body: status %d, want 200", chunked, status)
		}
		go func() { first <- post(t, address, "third", body, chunked).StatusCode }()
		<-running
		end <- struct{}{}
		if status := <-first; status != 200 {
			t.Errorf("chunked %v: a body after the first has ended: status %d, want 200", chunked, status)
		}
		held := func() int64 {
			_, _, bytes := g.clientLimits.Taken()
			return bytes
		}
		for range 100 {
			if held() == 0 {
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
		if held := held(); held != 0 || len(e.requests()) != 2 {
			t.Errorf("chunked %v: %d bytes still count, and the endpoint got %d requests; want 0 and 2", chunked, held, len(e.requests()))
		}
	}
}

func TestBodyIsReadWholeUpToItsLimit(t *testing.T) {
	const limit = 300000
	for _, c := range []struct{ size, want int }{{0, 200}, {1, 200}, {bodyChunkBytes, 200}, {bodyChunkBytes + 1, 200}, {limit, 200}, {limit + 1, 413}} {
		for _, chunked := range []bool{false, true} {
			received := make(chan []byte, 1)
			g := newTestGateway(t, nonIdempotent, document.Service{})
			handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				q := &request{g: g, w: w, httpRequest: r}
				if err := q.readBody(r.Context(), limit); err != nil {
					g.reject(w, r, RequestInfo{}, err)
					return
				}
				received <- q.body
			})
			body := bytes.Repeat([]byte{'x'}, c.size)
			resp := post(t, serveHandler(t, handler), "a", body, chunked)
			if resp.StatusCode != c.want {
				t.Errorf("%d bytes, chunked %v: status %d, want %d", c.size, chunked, resp.StatusCode, c.want)
			}
			if c.want == 200 && !bytes.Equal(<-received, body) {
				t.Errorf("%d bytes, chunked %v: another body was read", c.size, chunked)
			}
		}
	}
}

// TestBodyThatBreaksOffIsNotSent guards against a request that reaches an endpoint with a part of its body, as if that were
// the whole.
func TestBodyThatBreaksOffIsNotSent(t *testing.T) {
	for name, request := range map[string]string{
		"chunks": "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n", "part of a chunk": "Transfer-Encoding: chunked\r\n\r\n8\r\nbody",
		"length": "Content-Length: 8\r\n\r\nbody",
	} {
		t.Run(name, func(t *testing.T) {
			e := startEngine(t, response(200, "Signed: 1\r\n", "one"))
			address := serveGateway(t, newTestGateway(t, nonIdempotent, document.Service{}, &wire.FleetEndpoint{Address: e.address}))
			c, err := net.Dial("tcp4", address)
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			if _, err := io.WriteString(c, "POST /a/x HTTP/1.1\r\nHost: h\r\nId: a\r\n"+request); err != nil {
				t.Fatal(err)
			}
			if err := c.(*net.TCPConn).CloseWrite(); err != nil {
				t.Fatal(err)
			}
			// The gateway closes the connection once it has dealt with the request.
			answer, _ := io.ReadAll(c)
			if n := len(e.requests()); n != 0 || bytes.HasPrefix(answer, []byte("HTTP/1.1 200")) {
				t.Errorf("the endpoint got %d requests, and the client %q; want none, and no success", n, answer)
			}
		})
	}
}
