package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"parsleyramp/internal/document"
	"parsleyramp/internal/fleet"
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

// stallingEngine answers a request with the header Sound with soundBytes, and any other with a text, after
// which it is silent.
type stallingEngine struct {
	*wire.FleetEndpoint
	// stalled receives when a connection falls silent, and open counts those that are.
	stalled chan struct{}
	open    atomic.Int64
}

func startStallingEngine(t *testing.T, text string, soundBytes int) *stallingEngine {
	t.Helper()
	e := &stallingEngine{stalled: make(chan struct{}, 1000)}
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
		e.open.Add(1)
		defer e.open.Add(-1)
		e.stalled <- struct{}{}
		// It returns when the gateway closes the connection.
		_, _ = c.Read(make([]byte, 1))
	}))
	t.Cleanup(s.Close)
	e.FleetEndpoint = &wire.FleetEndpoint{Address: s.Listener.Addr().String()}
	return e
}

// stall sends requests, waits until the engine has fallen silent on each of them, and ends them with the
// test.
func (e *stallingEngine) stall(t *testing.T, address string, requests int) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	var all sync.WaitGroup
	t.Cleanup(func() {
		cancel()
		all.Wait()
	})
	for range requests {
		all.Go(func() { _, _, _ = call(t, ctx, address) })
	}
	for range requests {
		<-e.stalled
	}
}

// expectSoon waits for the condition.
func expectSoon(t *testing.T, what string, met func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !met(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(what)
		}
	}
}

// TestSoundAnswerIsServedBesideAnswersWithoutEnd fills the memory for responses with such as hold more than
// a sound one, and go on.
func TestSoundAnswerIsServedBesideAnswersWithoutEnd(t *testing.T) {
	const held, soundBytes = 6 << 20, 4 << 20
	const endless = maxAllBufferedBytes / held
	for name, head := range map[string]string{
		"connection": "HTTP/1.1 200 OK\r\nSigned: 1\r\n\r\n",
		"length":     "HTTP/1.1 200 OK\r\nSigned: 1\r\nContent-Length: 8000000\r\n\r\n",
		"failure":    "HTTP/1.1 500 X\r\nSigned: 1\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			e := startStallingEngine(t, head+strings.Repeat("x", held), soundBytes)
			g := newTestGateway(t, nonIdempotent, document.Service{}, e.FleetEndpoint)
			address := serveGateway(t, g)
			e.stall(t, address, endless)
			expectSoon(t, "the answers are not held", func() bool { return g.buffers.Used() >= endless*held })
			resp, body, err := call(t, t.Context(), address, "Sound", "1")
			if err != nil || resp.StatusCode != http.StatusOK || len(body) != soundBytes {
				t.Errorf("response %v with %d bytes, error %v, want the sound one served", resp, len(body), err)
			}
		})
	}
}

// TestLongHeadsAndEventsAreBoundedTogether holds many answers of which no part is forwarded yet.
func TestLongHeadsAndEventsAreBoundedTogether(t *testing.T) {
	const requests, eventBytes, headBytes = 300, 200 << 10, 60 << 10
	const line = "A: b\r\n"
	for name, c := range map[string]struct {
		route document.Route
		text  string
		bytes int64
	}{
		"event": {stream, "HTTP/1.1 200 OK\r\nSigned: 1\r\n\r\n" + strings.Repeat("x", eventBytes), eventBytes},
		"head":  {nonIdempotent, "HTTP/1.1 200 OK\r\nSigned: 1\r\n" + strings.Repeat(line, headBytes/len(line)), headByteCost * headBytes},
	} {
		t.Run(name, func(t *testing.T) {
			const soundBytes = 64 << 10
			e := startStallingEngine(t, c.text, soundBytes)
			g := newTestGateway(t, c.route, document.Service{}, e.FleetEndpoint)
			e.Slots = 2 * requests
			g.view.Store(fleet.NewView(&wire.FleetView{Endpoints: []*wire.FleetEndpoint{e.FleetEndpoint}}))
			address := serveGateway(t, g)
			e.stall(t, address, requests)
			expectSoon(t, "more answers are held than the limit on their bytes allows", func() bool { return e.open.Load()*c.bytes <= maxAllBufferedBytes })
			if resp, _, err := call(t, t.Context(), address, "Sound", "1"); err != nil || resp.StatusCode != http.StatusOK {
				t.Errorf("response %v, error %v, want the sound one served", resp, err)
			}
			if used := g.buffers.Used(); used > maxAllBufferedBytes {
				t.Errorf("%d bytes are held, want %d at most", used, maxAllBufferedBytes)
			}
		})
	}
}
