package gateway

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"parsleyramp/internal/document"
	"parsleyramp/internal/upstream"
	"parsleyramp/internal/wait"
	"parsleyramp/internal/wire"
)

const (
	postHead  = "POST /a/x HTTP/1.1\r\nHost: h\r\n"
	wholePost = postHead + "Content-Length: 0\r\n\r\n"
)

// countingEngine begins each response at once, ends it after work, and counts the requests.
type countingEngine struct {
	work time.Duration
	sent atomic.Int64
}

func (e *countingEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.sent.Add(1)
	w.Header().Set("Signed", "1")
	_, _ = io.WriteString(w, event(1))
	_ = http.NewResponseController(w).Flush()
	wait.For(r.Context(), e.work)
	_, _ = io.WriteString(w, event(2))
}

// rawClient is a client on one connection.
type rawClient struct {
	net.Conn
	reader *bufio.Reader
}

func (g *pipeGateway) connect(t *testing.T) *rawClient {
	t.Helper()
	c, err := g.clients.dial(t.Context(), "")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return &rawClient{c, bufio.NewReader(c)}
}

// write writes in the background, because a pipe has no buffer.
func (c *rawClient) write(text string) { go func() { _, _ = io.WriteString(c, text) }() }

// read returns the status of the next whole response, zero if the connection ends before.
func (c *rawClient) read() (int, http.Header) {
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, nil
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, nil
	}
	return resp.StatusCode, resp.Header
}

func TestRequestThatArrivesLateInADrainIsRefusedAtOnce(t *testing.T) {
	const late = 4 * time.Second
	for name, c := range map[string]struct {
		// first is sent before the drain, and rest at late; the last response counts.
		first, rest string
		responses   int
	}{
		"next on a connection whose stream ends late": {wholePost, wholePost, 2},
		"pipelined behind a stream that ends late":    {wholePost + wholePost, "", 2},
		"whose head arrives in parts":                 {postHead, "Content-Length: 0\r\n\r\n", 1},
		"whose body arrives in parts":                 {postHead + "Content-Length: 4\r\n\r\nab", "cd", 1},
		"in chunks":                                   {postHead + "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n", "0\r\n\r\n", 1},
		"of HTTP/1.0":                                 {"POST /a/x HTTP/1.0\r\nHost: h\r\n", "\r\n", 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := &countingEngine{work: late}
				g := newPipeGateway(t, document.Route{Kind: document.Stream, MaxAttempts: 1, Timeout: 20 * time.Second}, &loadingControl{}, e)
				client := g.connect(t)
				client.write(c.first)
				synctest.Wait()
				begun, stopped := g.clock(), make(chan struct{})
				go func() {
					defer close(stopped)
					g.stop(t)
				}()
				for range c.responses - 1 {
					if status, _ := client.read(); status != http.StatusOK {
						t.Fatalf("status %d of the stream before it, want 200", status)
					}
				}
				time.Sleep(begun + late - g.clock())
				client.write(c.rest)
				status, header := client.read()
				if took := g.clock() - begun - late; status != http.StatusServiceUnavailable || header.Get("Retry-After") == "" || took > 0 {
					t.Errorf("status %d, %v after the request, want 503 with Retry-After at once", status, took)
				}
				if sent := e.sent.Load(); sent != int64(c.responses-1) {
					t.Errorf("%d requests reached the endpoint, want %d", sent, c.responses-1)
				}
				<-stopped
			})
		})
	}
}

func TestRequestThatCouldBeSentOnlyLateInADrainIsNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newSilentPipeGateway(t)
		var sent atomic.Bool
		g.pool = upstream.NewPoolWithDial(func(context.Context, string) (net.Conn, error) {
			time.Sleep(5 * time.Second)
			near, far := net.Pipe()
			go func() {
				n, _ := far.Read(make([]byte, 1))
				sent.Store(n > 0)
			}()
			return near, nil
		})
		received := g.send(t, "")
		synctest.Wait()
		g.stop(t)
		if a := <-received; a.status != http.StatusServiceUnavailable || sent.Load() {
			t.Errorf("answer %+v, sent %t, want status 503 and nothing sent", a, sent.Load())
		}
	})
}

func TestRequestThatAStoppingGatewayRefusesToRelayGoesByWayOfAnother(t *testing.T) {
	e, atStopping := startEngine(t, response(200, "Signed: 1\r\n", "fine")), startEngine(t, response(200, "Signed: 1\r\n", "by way of the stopping one"))
	p := startCutPair(t, nonIdempotent, versioned(e, "v1"))
	stopping := newTestGateway(t, nonIdempotent, document.Service{}, versioned(atStopping, "v1"))
	// It has just begun to drain.
	stopping.drain.Store(&drainTimes{admitUntil: time.Hour, sendUntil: time.Hour, cancelAt: time.Hour})
	next := *p.cut.view.Load()
	next.Gateways = append([]*wire.Gateway{{Id: "stopping", Accepting: true, PeerAddress: serveRelay(t, stopping)}}, next.Gateways...)
	p.cut.view.Store(&next)
	p.awaitCut(t)
	if resp, body, err := call(t, t.Context(), p.address, "Id", "once"); err != nil || resp.StatusCode != 200 || body != "fine" {
		t.Errorf("response %v, body %q, error %v, want it served", resp, body, err)
	}
}

func TestStreamOnWhichItsEndpointStillWorksIsCanceledBeforeTheEndOfTheGracePeriod(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &countingEngine{work: time.Minute}
		g := newPipeGateway(t, document.Route{Kind: document.Stream, MaxAttempts: 1, Timeout: 20 * time.Second}, &loadingControl{}, e)
		client := g.connect(t)
		client.write(wholePost)
		synctest.Wait()
		begun, stopped := g.clock(), make(chan struct{})
		go func() {
			defer close(stopped)
			g.stop(t)
		}()
		status, _ := client.read()
		if took, want := g.clock()-begun, g.cfg.Grace.D()-exitReserve; status != 0 || took != want {
			t.Errorf("status %d, %v after the begin of the drain; want an abort after %v", status, took, want)
		}
		<-stopped
	})
}
