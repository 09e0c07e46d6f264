package entry

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"parsleyramp/internal/wire"
)

// makeServices turns the endpoints of the deployment into those of the ledger service, and waits until the
// entries know.
func (d *deployment) makeServices(t *testing.T) {
	t.Helper()
	d.control.mu.Lock()
	next := cloneView(d.control.view)
	for _, e := range next.Endpoints {
		e.Kind, e.Service = wire.EndpointKind_ENDPOINT_KIND_SERVICE, "ledger"
	}
	next.Revision++
	d.control.view = next
	d.control.mu.Unlock()
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
		resp, err := http.Get("http://" + d.servers[0].cfg.CallerAddress + "/ledger/sound")
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("status %d of a service, want 200", resp.StatusCode)
		}
	}
}

// TestAnswersOfServicesAreBoundedTogether holds answers of services, in chunks, which an entry passes on once
// they are complete.
func TestAnswersOfServicesAreBoundedTogether(t *testing.T) {
	const requests, bytes, sound = 24, 3 << 20, "sound"
	var open atomic.Int64
	stalled := make(chan struct{}, requests)
	d := deploy(t, 1, nil, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/sound") {
			io.WriteString(w, sound)
			return
		}
		io.WriteString(w, strings.Repeat("x", bytes))
		http.NewResponseController(w).Flush()
		open.Add(1)
		defer open.Add(-1)
		stalled <- struct{}{}
		<-r.Context().Done()
	}))
	d.makeServices(t)
	address := d.servers[0].cfg.CallerAddress
	ctx, cancel := context.WithCancel(t.Context())
	var all sync.WaitGroup
	defer all.Wait()
	defer cancel()
	for i := range requests {
		all.Go(func() {
			req, _ := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s/ledger/%d", address, i), nil)
			if resp, err := http.DefaultClient.Do(req); err == nil {
				resp.Body.Close()
			}
		})
	}
	for range requests {
		<-stalled
	}
	for end := time.Now().Add(5 * time.Second); open.Load()*bytes > maxAllAnswerBytes; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d answers of %d bytes are held, want %d bytes at most", open.Load(), bytes, maxAllAnswerBytes)
		}
	}
	resp, err := http.Get("http://" + address + "/ledger/sound")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if body, err := io.ReadAll(resp.Body); err != nil || string(body) != sound {
		t.Errorf("status %d, body %q, error %v, want the sound answer", resp.StatusCode, body, err)
	}
}
