package abusive

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"net/netip"
	"net/url"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"

	"parsleyramp/internal/testnet"
	"parsleyramp/platform/standin"
	"parsleyramp/scripts/internal/testbed"
)

const (
	// smallGatewayMB is the memory of the smallest gateways in use, in MB.
	smallGatewayMB = 184
	// faultyEndpoints have faultySlots each, and get endlessRequests in all at the same time.
	faultyEndpoints = 20
	faultySlots     = 64
	endlessRequests = 1000
	// soundRequests are sent one after another beside them.
	soundRequests = 30
	// retryInterval is the pause between two requests of a client.
	retryInterval = time.Second
	// endpointStall is how long a faulty endpoint stops before it goes on.
	endpointStall = 3 * time.Second
	// soundHeader marks a request that an endpoint answers soundly.
	soundHeader = "Sound"
)

// endlessAnswer is an answer that begins with begin and goes on with repeated, without end. After
// pauseAt bytes, if not zero, it stops for endpointStall.
type endlessAnswer struct {
	path, begin, repeated string
	pauseAt               int
}

const (
	signedHead = "HTTP/1.1 200 OK\r\n" + standin.SignatureLine
	eventsHead = signedHead + "Content-Type: text/event-stream\r\n\r\n"
)

func endlessAnswers() map[string]endlessAnswer {
	line := strings.Repeat("x", 1024)
	return map[string]endlessAnswer{
		"no answer":          {"/post/x", "", line, 0},
		"head line":          {"/post/x", "HTTP/1.1 200 OK\r\nX: ", line, 0},
		"head lines":         {"/post/x", "HTTP/1.1 200 OK\r\n", "A: b\r\n", 0},
		"interim responses":  {"/post/x", "", "HTTP/1.1 100 Continue\r\n\r\n", 0},
		"body":               {"/post/x", signedHead + "\r\n", line, 0},
		"body with a length": {"/post/x", signedHead + "Content-Length: 99999999999\r\n\r\n", line, 0},
		"line of a chunk":    {"/post/x", signedHead + "Transfer-Encoding: chunked\r\n\r\n1;", line, 0},
		"chunks":             {"/post/x", signedHead + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", 0},
		"trailer":            {"/post/x", signedHead + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n", 0},
		"failure":            {"/post/x", "HTTP/1.1 500 X\r\n" + standin.SignatureLine + "\r\n", line, 0},
		"event":              {"/draft/x", eventsHead, line, 0},
		"events":             {"/draft/x", eventsHead, "data: x\n\n", 0},
		"event that stops":   {"/draft/x", eventsHead, line, 250 << 10},
		"head that stops":    {"/post/x", "HTTP/1.1 200 OK\r\n", "A: b\r\n", 60 << 10},
		"body that stops":    {"/post/x", signedHead + "\r\n", line, 1 << 20},
	}
}

// write writes the answer until the connection is closed.
func (a endlessAnswer) write(c net.Conn) {
	defer c.Close()
	if _, err := io.WriteString(c, a.begin); err != nil {
		return
	}
	block := []byte(strings.Repeat(a.repeated, max(1, (4<<10)/len(a.repeated))))
	for sent := 0; ; sent += len(block) {
		if a.pauseAt > 0 && sent < a.pauseAt && sent+len(block) >= a.pauseAt {
			time.Sleep(endpointStall)
		}
		if _, err := c.Write(block); err != nil {
			return
		}
	}
}

// startFaultyEndpoint adds an endpoint of the service to the list, which answers as the answer says
// unless the request asks for a sound one.
func startFaultyEndpoint(t *testing.T, list *standin.LiveList, host, service string, answer *atomic.Pointer[endlessAnswer]) {
	t.Helper()
	behind, err := standin.NewEndpoint(host, service, "d0", &standin.Limits{Slots: faultySlots, WeightsMB: 1000}, standin.NewChecker())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(behind.Crash)
	proxy := &httputil.ReverseProxy{Rewrite: func(r *httputil.ProxyRequest) { r.SetURL(&url.URL{Scheme: "http", Host: behind.Address()}) }}
	l, err := net.Listen("tcp4", host+":0")
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case !strings.HasPrefix(r.URL.Path, "/post/") && !strings.HasPrefix(r.URL.Path, "/draft/"):
			proxy.ServeHTTP(w, r)
		case r.Header.Get(soundHeader) != "":
			io.Copy(io.Discard, r.Body)
			answerSoundly(w, r)
		default:
			if c, _, err := http.NewResponseController(w).Hijack(); err == nil {
				answer.Load().write(c)
			}
		}
	})}
	go s.Serve(l)
	t.Cleanup(func() { s.Close() })
	list.Add(behind, l.Addr().String())
}

func answerSoundly(w http.ResponseWriter, r *http.Request) {
	standin.Sign(w.Header(), r)
	body := []byte("id: 1\ndata: x\n\n")
	if strings.HasPrefix(r.URL.Path, "/draft/") {
		w.Header().Set("Content-Type", "text/event-stream")
	} else {
		body = bytes.Repeat([]byte("x"), 64<<10)
	}
	w.Write(body)
}

// sendTo sends a request to the gateway and returns the status of a whole answer.
func sendTo(ctx context.Context, address, path string, sound bool) (int, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, strings.NewReader(uuid.NewString()))
	if err != nil {
		return 0, err
	}
	req.Host = standin.Host
	standin.Identify(req.Header, uuid.NewString())
	if sound {
		req.Header.Set(soundHeader, "1")
	}
	return send(req)
}

// startBesideFaultyEndpoints starts a gateway of smallGatewayMB whose endpoints answer as the answer says, and
// returns its process and the address for clients.
func startBesideFaultyEndpoints(t *testing.T, answer *atomic.Pointer[endlessAnswer]) (*testbed.Process, string) {
	t.Helper()
	dir := t.TempDir()
	list, err := standin.NewLiveList()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(list.Close)
	stop := make(chan struct{})
	t.Cleanup(func() { close(stop) })
	host, _, _ := strings.Cut(testnet.Address(t), ":")
	for range faultyEndpoints {
		for _, service := range []string{standin.LedgerService, standin.EngineService} {
			startFaultyEndpoint(t, list, host, service, answer)
		}
	}
	go list.Run(stop)
	internal, operator, caller := netip.MustParseAddrPort(testnet.Address(t)), testnet.Address(t), testnet.Address(t)
	launch(t, dir, "parsleyramp-fleet", map[string]any{
		"id": "control", "address": internal.String(), "operator_address": operator, "domain": "d0", "data_folder": filepath.Join(dir, "control"),
		"live_list": list.Address(), "seeds": []string{operator}, "tolerated_losses": 0, "first_start": true,
	})
	// Without the limit on descriptors, which is below the number of the requests.
	gateway := launch(t, dir, "parsleyramp-gateway.bin", map[string]any{
		"id": "gateway", "caller_address": caller, "ready_address": testnet.Address(t), "directory_address": testnet.Address(t),
		"metrics_address": testnet.Address(t), "peer_address": testnet.Address(t), "domain": "d0", "control_seeds": []string{operator},
		"control_port": internal.Port(), "memory_mb": smallGatewayMB,
	})
	document := standin.Document(1, &standin.Limits{Slots: faultySlots, WeightsMB: 1000}, nil)
	eventually(t, startTimeout, func(ctx context.Context) error {
		if status := standin.NewOperator().Put(ctx, operator, document); status != http.StatusOK {
			return fmt.Errorf("the document is not acknowledged: status %d", status)
		}
		return nil
	})
	return gateway, caller
}

// sendEndless has clients that send a request each, again and again, until stop is called.
func sendEndless(t *testing.T, address, path string) (stop func()) {
	ctx, cancel := context.WithCancel(t.Context())
	var clients sync.WaitGroup
	for range endlessRequests {
		clients.Go(func() {
			for ctx.Err() == nil {
				// The answer is broken off.
				_, _ = sendTo(ctx, address, path, false)
				time.Sleep(retryInterval)
			}
		})
	}
	return func() {
		cancel()
		clients.Wait()
	}
}

// TestGatewayBearsAnswersWithoutEnd checks that a process whose endpoints answer without end stays within its
// memory and serves sound answers.
func TestGatewayBearsAnswersWithoutEnd(t *testing.T) {
	var answer atomic.Pointer[endlessAnswer]
	gateway, address := startBesideFaultyEndpoints(t, &answer)
	for name, a := range endlessAnswers() {
		t.Run(name, func(t *testing.T) {
			answer.Store(&a)
			eventually(t, startTimeout, func(ctx context.Context) error { return sound(ctx, address, a.path) })
			u := watchUsage(t, gateway.PID(), address)
			stop := sendEndless(t, address, a.path)
			served, lastErr := 0, error(nil)
			for range soundRequests {
				if err := sound(t.Context(), address, a.path); err == nil {
					served++
				} else {
					lastErr = err
				}
			}
			stop()
			if !gateway.Running() {
				t.Fatal("the process has ended")
			}
			memory, _, err := u.end()
			if err != nil {
				t.Fatal(err)
			}
			t.Logf("peak: %d MB; %d of %d sound answers were served, last error %v", memory/mib, served, soundRequests, lastErr)
			if memory > smallGatewayMB*mib {
				t.Errorf("the process took %d MB, its machine has %d", memory/mib, smallGatewayMB)
			}
			if served < soundRequests*9/10 {
				t.Errorf("%d of %d sound answers were served, want 0.9 of them; last error %v", served, soundRequests, lastErr)
			}
		})
	}
}

// sound sends a request that an endpoint answers soundly.
func sound(ctx context.Context, address, path string) error {
	status, err := sendTo(ctx, address, path, true)
	if err == nil && status != http.StatusOK {
		return fmt.Errorf("status %d", status)
	}
	return err
}
