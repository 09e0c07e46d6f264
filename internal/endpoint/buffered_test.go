package endpoint

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"parsleyramp/internal/transport"
)

// TestBufferedAnswersAreBoundedTogether holds many answers that cannot be passed on yet, and asks for a
// sound one beside them.
func TestBufferedAnswersAreBoundedTogether(t *testing.T) {
	const sound = `{"id":"7"}`
	for name, c := range map[string]struct {
		contentType     string
		bytes, attempts int64
	}{
		"JSON":  {"application/json", 6 << 20, 20},
		"event": {"text/event-stream", 200 << 10, 300},
	} {
		t.Run(name, func(t *testing.T) {
			var open atomic.Int64
			stalled := make(chan struct{}, c.attempts)
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set(HeaderRequestID, r.Header.Get(HeaderRequestID))
				if r.URL.Path == "/sound" {
					io.WriteString(w, sound)
					return
				}
				w.Header().Set("Content-Type", c.contentType)
				io.WriteString(w, `{"`+strings.Repeat("x", int(c.bytes)))
				http.NewResponseController(w).Flush()
				open.Add(1)
				defer open.Add(-1)
				stalled <- struct{}{}
				<-r.Context().Done()
			}))
			defer s.Close()
			h := NewHTTP(transport.NewEndpointClient(1))
			ctx, cancel := context.WithCancel(t.Context())
			var all sync.WaitGroup
			defer all.Wait()
			defer cancel()
			run := func(path string) (string, error) {
				resp, err := h.Run(ctx, s.Listener.Addr().String(), Request{ID: "7", Method: http.MethodPost, Path: path, RequireID: true})
				if err != nil {
					return "", err
				}
				defer resp.Body.Close()
				body, err := io.ReadAll(resp.Body)
				return string(body), err
			}
			for range c.attempts {
				all.Go(func() { _, _ = run("/") })
			}
			for range c.attempts {
				<-stalled
			}
			for end := time.Now().Add(5 * time.Second); open.Load()*c.bytes > maxAllBufferedBytes; time.Sleep(time.Millisecond) {
				if time.Now().After(end) {
					t.Fatalf("%d answers of %d bytes are held, want %d bytes at most", open.Load(), c.bytes, maxAllBufferedBytes)
				}
			}
			if body, err := run("/sound"); err != nil || body != sound {
				t.Errorf("body %q, error %v, want the sound answer", body, err)
			}
		})
	}
}
