package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/sirupsen/logrus"

	"parsleyramp/internal/endpoint"
	"parsleyramp/internal/settings"
	"parsleyramp/internal/standin"
	"parsleyramp/internal/testnet"
	"parsleyramp/internal/transport"
	"parsleyramp/internal/wire"
	"parsleyramp/internal/wire/wireconnect"
)

// fakeControl grants leases, and moves the endpoints of draining entries to others.
type fakeControl struct {
	wireconnect.UnimplementedControlServiceHandler
	mu   sync.Mutex
	view *wire.View
}

// Heartbeat responds with a lease, and with the view if it changed.
func (c *fakeControl) Heartbeat(_ context.Context, req *connect.Request[wire.HeartbeatRequest]) (*connect.Response[wire.HeartbeatResponse], error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e := req.Msg.Entry; e.Draining {
		c.moveEndpoints(e.Id)
	}
	resp := &wire.HeartbeatResponse{LeaseMs: testLease.Milliseconds()}
	if req.Msg.ViewRevision != c.view.Revision {
		resp.View = c.view
	}
	return connect.NewResponse(resp), nil
}

// moveEndpoints marks the entry as draining, and makes the first entry that does
// not drain the owner of its endpoints.
func (c *fakeControl) moveEndpoints(id string) {
	next := cloneView(c.view)
	next.Entries = nil
	successor := ""
	changed := false
	for _, e := range c.view.Entries {
		e = &wire.EntryVM{Id: e.Id, CallerAddress: e.CallerAddress, PeerAddress: e.PeerAddress, Live: true, Draining: e.Draining || e.Id == id}
		next.Entries = append(next.Entries, e)
		if !e.Draining && successor == "" {
			successor = e.Id
		}
	}
	for _, vm := range next.Endpoints {
		if vm.Owner == id && successor != "" {
			vm.Owner, vm.OwnerEpoch, changed = successor, vm.OwnerEpoch+1, true
		}
	}
	if changed {
		next.Revision++
		c.view = next
	}
}

// deployment consists of real entries and engines on loopback, with a fake control
// plane.
type deployment struct {
	control *fakeControl
	servers []*Server
}

// deploy starts entries; the last one owns every engine.
func deploy(t testing.TB, entries int, edit func(*Settings), engines ...http.Handler) *deployment {
	f := newFleet(len(engines), 1)
	d := &deployment{control: &fakeControl{view: f.view}}
	f.view.Entries = nil
	var all []Settings
	for i := range entries {
		cfg := DefaultSettings()
		cfg.ID, cfg.CallerAddress, cfg.PeerAddress = fmt.Sprint("entry-", i), testnet.Address(t), testnet.Address(t)
		cfg.Heartbeat, cfg.KeepAddresses = settings.Duration(20*time.Millisecond), settings.Duration(200*time.Millisecond)
		if edit != nil {
			edit(&cfg)
		}
		f.view.Entries = append(f.view.Entries, &wire.EntryVM{Id: cfg.ID, CallerAddress: cfg.CallerAddress, PeerAddress: cfg.PeerAddress, Live: true})
		all = append(all, cfg)
	}
	f.view.Endpoints = f.view.Endpoints[:len(engines)]
	for i, h := range engines {
		s := httptest.NewServer(h)
		t.Cleanup(s.Close)
		f.view.Endpoints[i].Address = s.Listener.Addr().String()
		f.view.Endpoints[i].Owner = fmt.Sprint("entry-", entries-1)
		f.view.Endpoints[i].Slots = 64
	}
	mux := http.NewServeMux()
	mux.Handle(wireconnect.NewControlServiceHandler(d.control))
	l, err := transport.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	control := transport.Serve(l, mux)
	t.Cleanup(func() { control.Close() })
	log := logrus.New()
	log.SetOutput(io.Discard)
	for i, cfg := range all {
		cfg.Control = []string{control.Address()}
		s, err := Start(cfg, uint64(i), logrus.NewEntry(log))
		if err != nil {
			t.Fatal(err)
		}
		d.servers = append(d.servers, s)
		t.Cleanup(func() {
			s.stop()
			s.clientServer.Close()
			s.peerServer.Close()
		})
		for _, err := s.session.catalog(); err != nil; _, err = s.session.catalog() {
			time.Sleep(time.Millisecond)
		}
	}
	return d
}

// newEngineHandler returns a fake engine that responds with the given number of
// tokens, and pads each with size bytes.
func newEngineHandler(tokens int, interval time.Duration, size int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		var c struct {
			Prompt string `json:"prompt"`
		}
		_ = json.Unmarshal(body, &c)
		id := r.Header.Get(endpoint.HeaderRequestID)
		w.Header().Set(endpoint.HeaderRequestID, id)
		w.Header().Set("Content-Type", "text/event-stream")
		for i := range tokens {
			text := standin.CompletionToken(c.Prompt, i) + strings.Repeat("x", size)
			if _, err := fmt.Fprintf(w, "data: {\"id\":%q,\"text\":%q}\n\n", id, text); err != nil {
				return
			}
			http.NewResponseController(w).Flush()
			if interval > 0 {
				time.Sleep(interval)
			}
		}
		fmt.Fprint(w, "data: [DONE]\n\n")
	}
}

func post(client *http.Client, address, prompt string) (*http.Response, error) {
	body, _ := json.Marshal(map[string]any{"model": testModel, "prompt": prompt, "stream": true})
	return client.Post("http://"+address+"/v1/completions", "application/json", bytes.NewReader(body))
}

// TestShutdownUnderLoad stops, under load, the entry that owns the engine. Clients
// use its address until a response names other entries. No response is truncated,
// and each client gets the response to its own request.
func TestShutdownUnderLoad(t *testing.T) {
	const clients, tokens = 12, 8
	d := deploy(t, 2, nil, newEngineHandler(tokens, 5*time.Millisecond, 0))
	stopping := d.servers[1]
	var redirected, finished atomic.Int64
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i := range clients {
		wg.Go(func() {
			client := &http.Client{Transport: &http.Transport{}}
			address := stopping.cfg.CallerAddress
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				prompt := fmt.Sprintf("caller %d call %d", i, n)
				resp, err := post(client, address, prompt)
				if err != nil {
					t.Errorf("%s through %s: %v", prompt, address, err)
					return
				}
				got, err := io.ReadAll(resp.Body)
				resp.Body.Close()
				if err != nil || resp.StatusCode != http.StatusOK || strings.Count(string(got), standin.CompletionToken(prompt, 0)[:8]) != tokens || !strings.Contains(string(got), "[DONE]") {
					t.Errorf("%s through %s: got status %d, body %q and error %v, want the complete response", prompt, address, resp.StatusCode, got, err)
					return
				}
				finished.Add(1)
				if use := resp.Header.Get(HeaderUseEntries); use != "" {
					redirected.Add(1)
					address = use
				}
			}
		})
	}
	for finished.Load() < 2*clients {
		time.Sleep(time.Millisecond)
	}
	if err := stopping.Shutdown(t.Context()); err != nil {
		t.Error(err)
	}
	before := finished.Load()
	for finished.Load() < before+2*clients && !t.Failed() {
		time.Sleep(time.Millisecond)
	}
	close(stop)
	wg.Wait()
	if redirected.Load() < clients {
		t.Errorf("%d responses named another entry, want at least one per client", redirected.Load())
	}
}

// TestSlowReaderIsDisconnected sends a request of a client that reads nothing: the
// engine's slot is released although the client keeps the connection open.
func TestSlowReaderIsDisconnected(t *testing.T) {
	ended := make(chan struct{})
	endless := newEngineHandler(1<<20, 0, 32<<10)
	d := deploy(t, 2, func(s *Settings) { s.WriteTimeout = settings.Duration(200 * time.Millisecond) },
		http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path != "/v1/completions" {
				return
			}
			defer close(ended)
			endless(w, r)
		}))
	resp, err := post(http.DefaultClient, d.servers[0].cfg.CallerAddress, "slow")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	<-ended
	for d.servers[1].owner.busy() {
		time.Sleep(time.Millisecond)
	}
}

// BenchmarkAddedLatency measures a short streamed call directly to a fake engine,
// through its owner, and through another entry and its owner.
func BenchmarkAddedLatency(b *testing.B) {
	engine := newEngineHandler(4, 0, 0)
	d := deploy(b, 2, nil, engine)
	direct := httptest.NewServer(engine)
	defer direct.Close()
	for _, path := range []struct{ name, address string }{
		{"direct", direct.Listener.Addr().String()},
		{"owner", d.servers[1].cfg.CallerAddress},
		{"entry_and_owner", d.servers[0].cfg.CallerAddress},
	} {
		b.Run(path.name, func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				resp, err := post(http.DefaultClient, path.address, "hello")
				if err != nil {
					b.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
				if resp.StatusCode != http.StatusOK {
					b.Fatal(resp.Status)
				}
			}
		})
	}
}
