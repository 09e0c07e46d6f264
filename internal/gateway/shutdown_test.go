package gateway

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/sirupsen/logrus"

	"parsleyramp/internal/controlclient"
	"parsleyramp/internal/document"
	"parsleyramp/internal/settings"
	"parsleyramp/internal/transport"
	"parsleyramp/internal/upstream"
	"parsleyramp/internal/wait"
	"parsleyramp/internal/wire"
	"parsleyramp/internal/wire/wireconnect"
)

// pipeListener accepts in-memory connections, on which synthetic time advances.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// dial connects to the listener; it implements upstream.DialFunc.
func (l *pipeListener) dial(context.Context, string) (net.Conn, error) {
	client, server := net.Pipe()
	select {
	case l.conns <- server:
		return client, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// loadingControl is a control plane on which every requested model becomes ready
// at readyAt.
type loadingControl struct {
	wireconnect.UnimplementedFleetServiceHandler
	readyAt time.Time
}

func (c *loadingControl) Want(context.Context, *connect.Request[wire.WantRequest]) (*connect.Response[wire.WantResponse], error) {
	return connect.NewResponse(&wire.WantResponse{ReadyInMs: uint32(max(time.Until(c.readyAt), 0).Milliseconds())}), nil
}

// roundTripper answers requests with a handler in the same goroutine.
type roundTripper struct{ http.Handler }

func (r roundTripper) RoundTrip(req *http.Request) (*http.Response, error) {
	rec := httptest.NewRecorder()
	r.ServeHTTP(rec, req)
	return rec.Result(), nil
}

// pipeGateway is a gateway with one endpoint, all connected in memory.
type pipeGateway struct {
	*Gateway
	clients *pipeListener
}

// newPipeGateway starts a gateway for the route. Its endpoint is served by engine;
// models are ready when control reports it.
func newPipeGateway(t *testing.T, route document.Route, control *loadingControl, engine http.Handler) *pipeGateway {
	t.Helper()
	endpoint := newPipeListener()
	engineServer := &http.Server{Handler: engine}
	go func() { _ = engineServer.Serve(endpoint) }()
	t.Cleanup(func() { engineServer.Close() })
	_, controlHandler := wireconnect.NewFleetServiceHandler(control)
	g := newTestGateway(t, route, document.Service{Engine: &document.Engine{}}, &wire.FleetEndpoint{Models: []*wire.HeldModel{{Name: "resident"}}})
	g.pool = upstream.NewPoolWithDial(endpoint.dial)
	g.control = controlclient.New(&http.Client{Transport: roundTripper{controlHandler}}, []string{"control"})
	out := &pipeGateway{Gateway: g, clients: newPipeListener()}
	g.clientServer = transport.ServeClients(out.clients, g)
	g.servers = append(g.servers, g.clientServer.Server)
	t.Cleanup(g.closeAll)
	return out
}

// answer is what a client receives for a request, and when. The status is zero if
// the connection is closed without a complete answer.
type answer struct {
	status     int
	retryAfter string
	at         time.Duration
}

// send sends a request for the model on a connection of its own, with headers as
// pairs of name and value.
func (g *pipeGateway) send(t *testing.T, model string, headers ...string) <-chan answer {
	t.Helper()
	c, err := g.clients.dial(t.Context(), "")
	if err != nil {
		t.Fatal(err)
	}
	req, err := http.NewRequest(http.MethodPost, "http://h/a/x", nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Model", model)
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	if err := req.Write(c); err != nil {
		t.Fatal(err)
	}
	out := make(chan answer, 1)
	go func() {
		defer c.Close()
		a := answer{}
		resp, err := http.ReadResponse(bufio.NewReader(c), req)
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
		}
		if err == nil {
			a = answer{status: resp.StatusCode, retryAfter: resp.Header.Get("Retry-After")}
		}
		a.at = g.clock()
		out <- a
	}()
	return out
}

// stop shuts the gateway down and checks that it stops within its grace period.
func (g *pipeGateway) stop(t *testing.T) {
	t.Helper()
	started := g.clock()
	if err := g.Shutdown(t.Context()); err != nil {
		t.Error(err)
	}
	if took := g.clock() - started; took >= g.cfg.Grace.D() {
		t.Errorf("stopped after %v, want less than the grace period of %v", took, g.cfg.Grace.D())
	}
}

func TestRequestThatWaitsIsAnsweredWhenTheGracePeriodEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		control := &loadingControl{readyAt: time.Now().Add(11 * time.Second)}
		g := newPipeGateway(t, document.Route{Kind: document.Stream, MaxAttempts: 1, Timeout: 20 * time.Second}, control, http.NotFoundHandler())
		received := g.send(t, "loading")
		time.Sleep(2600 * time.Millisecond)
		g.stop(t)
		if a := <-received; a.status != http.StatusServiceUnavailable || a.retryAfter == "" {
			t.Errorf("answer %+v, want status 503 with Retry-After", a)
		}
	})
}

func TestSentRequestIsAnsweredWhenTheGracePeriodEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		silent := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
		g := newPipeGateway(t, document.Route{Kind: document.AtMostOnce, MaxAttempts: 1, Timeout: 20 * time.Second}, &loadingControl{}, silent)
		received := g.send(t, "")
		synctest.Wait()
		g.stop(t)
		if a := <-received; a.status != http.StatusBadGateway {
			t.Errorf("answer %+v, want status 502", a)
		}
	})
}

func TestStoppingGatewayRejectsAtOnceWhatItCannotFinish(t *testing.T) {
	const longOutput, tokenTime = 2000, 6 * time.Millisecond
	for _, c := range []struct {
		name    string
		model   string
		readyIn time.Duration
		// header states the tokens as expected ("Output") or as the maximum.
		header       string
		outputTokens int
		rejected     bool
	}{
		{"model ready too late", "loading", 8 * time.Second, "Output", 0, true},
		{"response too long", "resident", 0, "Output", longOutput, true},
		{"response in time", "resident", 0, "Output", longOutput / 10, false},
		{"response in time at the maximum length", "resident", 0, "Maximum", longOutput / 2, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				engine := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					wait.For(r.Context(), time.Duration(c.outputTokens)*tokenTime)
					w.Header().Set("Signed", "1")
				})
				control := &loadingControl{readyAt: time.Now().Add(c.readyIn)}
				g := newPipeGateway(t, document.Route{Kind: document.Stream, MaxAttempts: 1, Timeout: 20 * time.Second}, control, engine)
				stopped := make(chan struct{})
				begin := g.clock()
				go func() {
					defer close(stopped)
					g.stop(t)
				}()
				synctest.Wait()
				a := <-g.send(t, c.model, c.header, strconv.Itoa(c.outputTokens))
				if rejected := a.status == http.StatusServiceUnavailable && a.retryAfter != ""; rejected != c.rejected || !rejected && a.status != http.StatusOK {
					t.Errorf("answer %+v, want rejected %t", a, c.rejected)
				}
				if c.rejected && a.at-begin > time.Second {
					t.Errorf("rejected %v into the shutdown, want at once", a.at-begin)
				}
				<-stopped
			})
		})
	}
}

func TestRequestThatWaitsIsRejectedWhenTheShutdownBegins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		control := &loadingControl{readyAt: time.Now().Add(11 * time.Second)}
		g := newPipeGateway(t, document.Route{Kind: document.Stream, MaxAttempts: 1, Timeout: 20 * time.Second}, control, http.NotFoundHandler())
		received := g.send(t, "loading")
		time.Sleep(2600 * time.Millisecond)
		begin := g.clock()
		g.stop(t)
		if a := <-received; a.status != http.StatusServiceUnavailable || a.at-begin > time.Second {
			t.Errorf("answer %+v, %v into the shutdown, want status 503 at once", a, a.at-begin)
		}
	})
}

func TestRequestIsAnsweredWithinAShortGracePeriod(t *testing.T) {
	for _, grace := range []time.Duration{time.Second, 2 * time.Second} {
		t.Run(grace.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				silent := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
				g := newPipeGateway(t, document.Route{Kind: document.AtMostOnce, MaxAttempts: 1, Timeout: 20 * time.Second}, &loadingControl{}, silent)
				g.cfg.Grace = settings.Duration(grace)
				received := g.send(t, "")
				synctest.Wait()
				g.stop(t)
				if a := <-received; a.status != http.StatusBadGateway {
					t.Errorf("answer %+v, want status 502", a)
				}
			})
		})
	}
}

// pauseHook delays the first line with the message.
type pauseHook struct {
	message string
	pause   time.Duration
	once    sync.Once
}

func (h *pauseHook) Levels() []logrus.Level { return logrus.AllLevels }

func (h *pauseHook) Fire(e *logrus.Entry) error {
	if e.Message == h.message {
		h.once.Do(func() { time.Sleep(h.pause) })
	}
	return nil
}

func TestRequestIsAnsweredWhenTheProcessPausesAtTheEndOfTheGracePeriod(t *testing.T) {
	for name, hook := range map[string]*pauseHook{
		"before the cancellation": {message: "request unfinished at the end of the grace period", pause: 500 * time.Millisecond},
		"before the answer":       {message: "request ended", pause: 300 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				silent := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
				g := newPipeGateway(t, document.Route{Kind: document.AtMostOnce, MaxAttempts: 1, Timeout: 20 * time.Second}, &loadingControl{}, silent)
				g.log.Logger.AddHook(hook)
				received := g.send(t, "")
				synctest.Wait()
				g.stop(t)
				if a := <-received; a.status != http.StatusBadGateway {
					t.Errorf("answer %+v, want status 502", a)
				}
			})
		})
	}
}

func TestRequestIsAnsweredWhenTheShutdownContextEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		silent := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
		g := newPipeGateway(t, document.Route{Kind: document.AtMostOnce, MaxAttempts: 1, Timeout: 20 * time.Second}, &loadingControl{}, silent)
		received := g.send(t, "")
		synctest.Wait()
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		if err := g.Shutdown(ctx); err != nil {
			t.Error(err)
		}
		if a := <-received; a.status != http.StatusBadGateway {
			t.Errorf("answer %+v, want status 502", a)
		}
	})
}

func TestRequestWithoutItsWholeBodyIsRejectedWhenTheGracePeriodEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newPipeGateway(t, document.Route{Kind: document.AtMostOnce, MaxAttempts: 1, Timeout: 20 * time.Second}, &loadingControl{}, http.NotFoundHandler())
		c, err := g.clients.dial(t.Context(), "")
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if _, err := io.WriteString(c, "POST /a/x HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n12345"); err != nil {
			t.Fatal(err)
		}
		stopped := make(chan struct{})
		go func() {
			defer close(stopped)
			g.stop(t)
		}()
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil || resp.StatusCode != http.StatusServiceUnavailable {
			t.Errorf("response %+v, error %v, want status 503", resp, err)
		}
		<-stopped
	})
}

func TestStreamThatEndsBeforeTheExitIsComplete(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Signed", "1")
			_, _ = io.WriteString(w, event(1))
			_ = http.NewResponseController(w).Flush()
			wait.For(r.Context(), DefaultSettings().Grace.D()-exitReserve-answerReserve/2)
			_, _ = io.WriteString(w, event(2))
		})
		g := newPipeGateway(t, document.Route{Kind: document.Stream, MaxAttempts: 1, Timeout: 20 * time.Second}, &loadingControl{}, engine)
		received := g.send(t, "")
		synctest.Wait()
		g.stop(t)
		if a := <-received; a.status != http.StatusOK {
			t.Errorf("answer %+v, want status 200 and the whole stream", a)
		}
	})
}
