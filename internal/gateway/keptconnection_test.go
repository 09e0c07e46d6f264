package gateway

import (
	"bufio"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"parsleyramp/internal/document"
)

func TestRequestAfterAStreamWrittenPastItsDeadlineIsAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const timeout = time.Second
		runs := 0
		engine := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			runs++
			w.Header().Set("Signed", "1")
			io.WriteString(w, event(1))
		})
		g := newPipeGateway(t, document.Route{Kind: document.Stream, MaxAttempts: 1, Timeout: timeout}, &loadingControl{}, engine)
		c, err := g.clients.dial(t.Context(), "")
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		r := bufio.NewReader(c)
		for range 2 {
			go io.WriteString(c, "POST /a/x HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n")
			// The bytes wait for the client until just after the deadline.
			time.Sleep(timeout + finalWriteTime/2)
			resp, err := http.ReadResponse(r, nil)
			if err != nil {
				t.Fatalf("no answer: %v", err)
			}
			if body, err := io.ReadAll(resp.Body); err != nil || string(body) != event(1) {
				t.Errorf("body %q, error %v, want event 1 and its end", body, err)
			}
			time.Sleep(5 * time.Second)
		}
		if runs != 2 {
			t.Errorf("%d runs, want 2", runs)
		}
	})
}

// serverCloseTime is more than what net/http waits, since Go 1.27, between a response to a request with an unread
// body and the close of its connection.
const serverCloseTime = time.Second

func TestRequestsThatComeAfterTheCancellationAreRefusedWithATimeToComeBack(t *testing.T) {
	for name, request := range map[string]string{
		"no body":        "GET /a/x HTTP/1.1\r\nHost: h\r\n\r\n",
		"whole body":     "POST /a/x HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody",
		"part of a body": "POST /a/x HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbo",
		"chunks":         "POST /a/x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			for range 50 {
				synctest.Test(t, func(t *testing.T) {
					g := newSilentPipeGateway(t)
					g.inFlight.cancelBefore(phaseStreaming)
					c, err := g.clients.dial(t.Context(), "")
					if err != nil {
						t.Fatal(err)
					}
					// The server closes a connection with an unread body only after a time.
					defer time.Sleep(serverCloseTime)
					defer c.Close()
					go io.WriteString(c, request)
					resp, err := http.ReadResponse(bufio.NewReader(c), nil)
					if err != nil {
						t.Fatalf("no answer: %v", err)
					}
					text, err := io.ReadAll(resp.Body)
					if err != nil || resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" {
						t.Fatalf("response %v, body %q, error %v, want status 503 with a time to come back", resp, text, err)
					}
				})
			}
		})
	}
}
