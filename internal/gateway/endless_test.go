package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"parsleyramp/internal/document"
	"parsleyramp/internal/wire"
)

// startEndlessEngine starts an engine that answers each request with the text and then with
// bytes without end. open waits for the connections to be closed.
func startEndlessEngine(t *testing.T, text string) (e *wire.FleetEndpoint, open *sync.WaitGroup) {
	t.Helper()
	block := []byte(strings.Repeat("x", 64<<10))
	return startRawEngine(t, func(c net.Conn) {
		_, err := io.WriteString(c, text)
		for err == nil {
			_, err = c.Write(block)
		}
	})
}

func TestAnswerWithoutEndIsBrokenOffAndItsConnectionClosed(t *testing.T) {
	const signed = "HTTP/1.1 200 OK\r\nSigned: 1\r\n"
	const length = "Content-Length: 99999999999\r\n\r\n"
	for name, c := range map[string]struct {
		route  document.Route
		text   string
		status int
	}{
		"no answer":               {nonIdempotent, "", http.StatusBadGateway},
		"buffered, by length":     {nonIdempotent, signed + length, http.StatusBadGateway},
		"buffered, by connection": {nonIdempotent, signed + "\r\n", http.StatusBadGateway},
		"failure":                 {nonIdempotent, "HTTP/1.1 500 X\r\nSigned: 1\r\n" + length, http.StatusBadGateway},
		"rejection":               {nonIdempotent, "HTTP/1.1 503 X\r\nNot-Run: 1\r\n" + length, http.StatusServiceUnavailable},
		"first event":             {stream, signed + "\r\n", http.StatusBadGateway},
		"first event, resumable":  {resumable, signed + "\r\n", http.StatusBadGateway},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e, open := startEndlessEngine(t, c.text)
			resp, body, err := call(t, t.Context(), startGatewayTo(t, c.route, e))
			if err != nil || resp.StatusCode != c.status || strings.Contains(body, "xxx") {
				t.Errorf("response %v, error %v, want status %d and no byte of the engine", resp, err, c.status)
			}
			open.Wait()
		})
	}
}

func TestEventWithoutEndIsBrokenOffAfterTheEventsBeforeIt(t *testing.T) {
	e, open := startEndlessEngine(t, "HTTP/1.1 200 OK\r\nSigned: 1\r\n\r\n"+event(1))
	if _, body, err := call(t, t.Context(), startGatewayTo(t, stream, e)); err == nil || body != event(1) {
		t.Errorf("body of %d bytes, error %v, want the first event and an error", len(body), err)
	}
	open.Wait()
}

func TestManyAnswersWithoutEndAreBoundedTogether(t *testing.T) {
	const requests = 40
	e, open := startEndlessEngine(t, "HTTP/1.1 200 OK\r\nSigned: 1\r\n\r\n")
	g := newTestGateway(t, nonIdempotent, document.Service{}, e)
	address := serveGateway(t, g)
	var all sync.WaitGroup
	for range requests {
		all.Go(func() {
			if resp, _, err := call(t, t.Context(), address); err == nil && resp.StatusCode == http.StatusOK {
				t.Error("an answer without end was forwarded")
			}
			if used := g.buffers.Used(); used > maxAllBufferedBytes {
				t.Errorf("%d bytes are buffered, want %d at most", used, maxAllBufferedBytes)
			}
		})
	}
	all.Wait()
	open.Wait()
	if used := g.buffers.Used(); used != 0 {
		t.Errorf("%d bytes are still counted as buffered", used)
	}
}

// startStallingEngine starts an engine that answers a request with the header Sound with soundBytes, and
// any other with the text, after which it is silent. stalled receives when it falls silent.
func startStallingEngine(t *testing.T, text string, soundBytes int) (e *wire.FleetEndpoint, stalled chan struct{}) {
	t.Helper()
	stalled = make(chan struct{}, 1000)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		if r.Header.Get("Sound") != "" {
			w.Header().Set("Signed", "1")
			w.Write(make([]byte, soundBytes))
			return
		}
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer c.Close()
		io.WriteString(c, text)
		stalled <- struct{}{}
		// It returns when the gateway closes the connection.
		_, _ = c.Read(make([]byte, 1))
	}))
	t.Cleanup(s.Close)
	return &wire.FleetEndpoint{Address: s.Listener.Addr().String()}, stalled
}

// TestSoundAnswerIsServedBesideAnswersWithoutEnd fills the memory for responses with such as hold more than
// a sound one, and go on.
func TestSoundAnswerIsServedBesideAnswersWithoutEnd(t *testing.T) {
	const held, soundBytes = 6 << 20, 4 << 20
	const endless = maxAllBufferedBytes / held
	for name, head := range map[string]string{
		"connection": "HTTP/1.1 200 OK\r\nSigned: 1\r\n\r\n", "length": "HTTP/1.1 200 OK\r\nSigned: 1\r\nContent-Length: 8000000\r\n\r\n", "failure": "HTTP/1.1 500 X\r\nSigned: 1\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			e, stalled := startStallingEngine(t, head+strings.Repeat("x", held), soundBytes)
			g := newTestGateway(t, nonIdempotent, document.Service{}, e)
			address := serveGateway(t, g)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			var all sync.WaitGroup
			defer all.Wait()
			defer cancel()
			for range endless {
				all.Go(func() { _, _, _ = call(t, ctx, address) })
				<-stalled
			}
			for end := time.Now().Add(5 * time.Second); g.buffers.Used() < endless*held; time.Sleep(time.Millisecond) {
				if time.Now().After(end) {
					t.Fatalf("%d bytes are held, want %d", g.buffers.Used(), endless*held)
				}
			}
			resp, body, err := call(t, t.Context(), address, "Sound", "1")
			if err != nil || resp.StatusCode != http.StatusOK || len(body) != soundBytes {
				t.Errorf("response %v with %d bytes, error %v, want the sound one served", resp, len(body), err)
			}
		})
	}
}
