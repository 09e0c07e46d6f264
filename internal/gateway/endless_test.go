package gateway

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

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
			if used := g.buffers.used.Load(); used > maxAllBufferedBytes {
				t.Errorf("%d bytes are buffered, want %d at most", used, maxAllBufferedBytes)
			}
		})
	}
	all.Wait()
	open.Wait()
	if used := g.buffers.used.Load(); used != 0 {
		t.Errorf("%d bytes are still counted as buffered", used)
	}
}
