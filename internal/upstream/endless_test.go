package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"parsleyramp/internal/fail"
)

// repeat writes the text again and again until the connection is closed.
func repeat(c net.Conn, text string) {
	block := []byte(strings.Repeat(text, 1+4096/len(text)))
	for {
		if _, err := c.Write(block); err != nil {
			return
		}
	}
}

// endlessServer accepts connections, answers the first request on each with the text and
// then writes the repeated text without end. closed receives when the client closes one.
func endlessServer(t *testing.T, text, repeated string) (address string, closed chan struct{}) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	closed = make(chan struct{}, 8)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if _, err := c.Read(make([]byte, 4096)); err != nil {
					return
				}
				io.WriteString(c, text)
				repeat(c, repeated)
				closed <- struct{}{}
			}()
		}
	}()
	return l.Addr().String(), closed
}

// countedConn counts the bytes that are read from a connection.
type countedConn struct {
	net.Conn
	read *atomic.Int64
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

// TestAnswerWithoutEndIsBounded reads answers whose bytes never end, in each place in which
// a response of HTTP/1.1 has a variable length before its body.
func TestAnswerWithoutEndIsBounded(t *testing.T) {
	const maxRead = maxSkippedBytes + maxHeadBytes
	for name, c := range map[string]struct{ text, repeated string }{
		"status line":                    {"HTTP/1.1 200 ", "x"},
		"no line":                        {"", "x"},
		"header value":                   {"HTTP/1.1 200 OK\r\nA: ", "x"},
		"header lines":                   {"HTTP/1.1 200 OK\r\n", "A: b\r\n"},
		"interim responses":              {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"responses to other requests":    {"", "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 1\r\n\r\nx"},
		"body of another request":        {"HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 99999999999\r\n\r\n", "x"},
		"body of another, in chunks":     {"HTTP/1.1 200 OK\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
		"body of another, by connection": {"HTTP/1.1 200 OK\r\nId: other\r\n\r\n", "x"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address, closed := endlessServer(t, c.text, c.repeated)
			var read atomic.Int64
			p := NewPoolWithDial(func(ctx context.Context, address string) (net.Conn, error) {
				conn, err := dialTCP(ctx, address)
				return countedConn{conn, &read}, err
			})
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			resp, err := p.Do(ctx, address, &Request{Method: http.MethodPost, Target: "/", Host: "h"}, func(h http.Header) bool { return h.Get("Id") == "" })
			if err == nil {
				resp.Close()
				t.Fatal("an answer without end has a head")
			}
			if fail.From(err).Ran != fail.RanUnknown || ctx.Err() != nil {
				t.Errorf("error %v, want one at once that says that the request may have run", err)
			}
			if read.Load() > maxRead {
				t.Errorf("%d bytes read, want %d at most", read.Load(), maxRead)
			}
			<-closed
		})
	}
}

func TestHeadOfUsualSizeAfterALongBodyIsRead(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	body := strings.Repeat("x", 3*maxHeadBytes)
	go http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("A", strings.Repeat("y", maxHeadBytes/2))
		io.WriteString(w, body)
	}))
	p := NewPool()
	for range 3 {
		resp, err := p.Do(t.Context(), l.Addr().String(), &Request{Method: http.MethodPost, Target: "/", Host: "h"}, nil)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := io.ReadAll(resp.Body); err != nil || len(got) != len(body) {
			t.Errorf("%d bytes, error %v, want %d", len(got), err, len(body))
		}
		resp.Close()
	}
	if p.Opened() != 1 {
		t.Errorf("%d connections opened, want 1", p.Opened())
	}
}
