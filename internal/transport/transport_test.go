package transport

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"
)

// serve starts a server on loopback and returns its address.
func serve(t *testing.T, listen func(string) (net.Listener, error), h http.Handler) string {
	t.Helper()
	return start(t, listen, h).Address()
}

func start(t *testing.T, listen func(string) (net.Listener, error), h http.Handler) *Server {
	t.Helper()
	l, err := listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := Serve(l, h)
	t.Cleanup(func() { s.Close() })
	return s
}

func TestHeadersOverTheLimitAreRejected(t *testing.T) {
	address := serve(t, ListenClients, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	req, err := http.NewRequest(http.MethodGet, "http://"+address, nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("X-Long", strings.Repeat("a", 2*maxHeaderBytes))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return // The server closed the connection while the headers were sent.
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusRequestHeaderFieldsTooLarge {
		t.Fatalf("status %d, want 431", resp.StatusCode)
	}
}

func counterValue(name string) uint64 { return metrics.GetOrCreateCounter(name).Get() }

func TestBytesAreCountedOnBothSides(t *testing.T) {
	const size = 100_000
	body := strings.Repeat("a", size)
	h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, body)
	})
	for _, c := range []struct {
		name, dialed, accepted string
		listen                 func(string) (net.Listener, error)
		client                 *http.Client
	}{
		{"with the peer client", `{peer="system",side="dialed"}`, `{peer="system",side="accepted"}`, Listen, NewPeerClient()},
		{"with the endpoint client", `{peer="endpoint",side="dialed"}`, `{peer="caller",side="accepted"}`, ListenClients, NewEndpointClient(1)},
	} {
		t.Run(c.name, func(t *testing.T) {
			server := start(t, c.listen, h)
			names := []string{
				"parsleyramp_sent_bytes_total" + c.dialed, "parsleyramp_received_bytes_total" + c.dialed,
				"parsleyramp_sent_bytes_total" + c.accepted, "parsleyramp_received_bytes_total" + c.accepted,
			}
			var before []uint64
			for _, n := range names {
				before = append(before, counterValue(n))
			}
			resp, err := c.client.Post("http://"+server.Address(), "text/plain", strings.NewReader(body))
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			if _, err := io.Copy(io.Discard, resp.Body); err != nil {
				t.Fatal(err)
			}
			// The server counts a write after it has returned, possibly after
			// the client has read the bytes; Shutdown waits for that.
			if err := server.Shutdown(t.Context()); err != nil {
				t.Fatal(err)
			}
			for i, n := range names {
				if got := counterValue(n) - before[i]; got < size || got > size+size/10 {
					t.Errorf("%s grew by %d for %d bytes", n, got, size)
				}
			}
		})
	}
}

func TestShutdownWaitsForRequestsInFlight(t *testing.T) {
	started, release := make(chan struct{}), make(chan struct{})
	l, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := Serve(l, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(started)
		<-release
		_, _ = io.WriteString(w, "complete")
	}))
	responses := make(chan string, 1)
	go func() {
		resp, err := http.Get("http://" + s.Address())
		if err != nil {
			responses <- err.Error()
			return
		}
		defer resp.Body.Close()
		text, _ := io.ReadAll(resp.Body)
		responses <- string(text)
	}()
	<-started
	stopped := make(chan error, 1)
	go func() { stopped <- s.Shutdown(context.Background()) }()
	close(release)
	if got := <-responses; got != "complete" {
		t.Errorf("response %q, want complete", got)
	}
	if err := <-stopped; err != nil {
		t.Error(err)
	}
}
