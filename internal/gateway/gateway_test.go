package gateway

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"parsleyramp/internal/buffers"
	"parsleyramp/internal/controlclient"
	"parsleyramp/internal/document"
	"parsleyramp/internal/fleet"
	"parsleyramp/internal/retry"
	"parsleyramp/internal/transport"
	"parsleyramp/internal/upstream"
	"parsleyramp/internal/wire"
)

// testProtocol is a minimal Protocol for tests.
type testProtocol struct{}

func (testProtocol) ParseRequest(r *http.Request) (RequestInfo, error) {
	info := RequestInfo{ID: r.Header.Get("Id"), Model: r.Header.Get("Model"), Resumed: r.Header.Get("After") != "", Resumes: r.Header.Get("Resumes"), LastEvent: r.Header.Get("After")}
	if key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer "); ok {
		info.Key = document.NewKey(key)
	}
	info.Parts = strings.Fields(r.Header.Get("Parts"))
	info.Timeout, _ = time.ParseDuration(r.Header.Get("Deadline"))
	info.ExpectedOutputTokens, _ = strconv.Atoi(r.Header.Get("Output"))
	info.MaxOutputTokens, _ = strconv.Atoi(r.Header.Get("Maximum"))
	return info, nil
}

func (p testProtocol) PrepareHeaders(h http.Header, s SendOptions) {
	if s.WithKeys {
		p.RemoveKey(h)
	}
	if s.Workspace != "" {
		h.Set("Workspace", s.Workspace)
	}
	h.Set("Priority", strconv.Itoa(s.Priority))
	h.Set("For", s.Endpoint)
	h.Set("Left", s.TimeLeft.String())
	h.Del("After")
	if s.LastEventID != "" {
		h.Set("After", s.LastEventID)
	}
}

func (testProtocol) RemoveKey(h http.Header) {
	h.Del("Authorization")
	h.Del("Workspace")
}

func (testProtocol) MatchesRequest(h http.Header, id string) bool {
	return h.Get("Id") == "" || h.Get("Id") == id
}

func (testProtocol) ParseResponse(status int, h http.Header) ResponseInfo {
	// The time is zero if the header is missing.
	rest, _ := time.ParseDuration(h.Get("Rest"))
	return ResponseInfo{
		NotRun: h.Get("Not-Run") != "", Signed: h.Get("Signed") != "", Misdirected: status == http.StatusMisdirectedRequest, Endpoint: h.Get("Other"),
		Leaving: h.Get("Leaving") != "", RetryAfter: rest, Identified: h.Get("Id") != "",
	}
}

func (testProtocol) SetRetryAfter(h http.Header, after time.Duration) {
	h.Set("Retry-After", after.String())
}

// scriptedEngine responds to each request with the next raw text and records the
// requests. After a text that ends in "..." the connection stays open; after one
// that ends in "CUT", or within a chunked body, it is closed.
type scriptedEngine struct {
	mu           sync.Mutex
	responses    []string
	received     []*http.Request
	disconnected chan struct{}
	// onReceive, if not nil, is called for each request before it is answered.
	onReceive func()
	// anonymous engines do not name the attempt in their responses.
	anonymous bool
	address   string
}

// withID returns the response with the id of the attempt, as endpoints echo it, unless it
// names one.
func withID(text, id string) string {
	status, rest, ok := strings.Cut(text, "\r\n")
	header, _, _ := strings.Cut(rest, "\r\n\r\n")
	if !ok || id == "" || strings.Contains(header, "Id: ") {
		return text
	}
	return status + "\r\nId: " + id + "\r\n" + rest
}

func startEngine(t *testing.T, responses ...string) *scriptedEngine {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	s := &scriptedEngine{responses: responses, disconnected: make(chan struct{}, 16), address: l.Addr().String()}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return s
}

func (s *scriptedEngine) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		io.Copy(io.Discard, req.Body)
		if strings.HasPrefix(req.URL.Path, "/parsleyramp.wire.") {
			// It is for a server of an earlier test, whose port this engine has now.
			return
		}
		text := s.next(req)
		if s.onReceive != nil {
			s.onReceive()
		}
		if text == "" {
			return
		}
		if !s.anonymous {
			text = withID(text, req.Header.Get("Id"))
		}
		open := strings.HasSuffix(text, "...")
		io.WriteString(c, strings.TrimSuffix(text, "..."))
		if open {
			_, _ = r.ReadByte()
			s.disconnected <- struct{}{}
			return
		}
		if strings.HasSuffix(text, "CUT") || strings.Contains(text, "chunked") && !strings.HasSuffix(text, "0\r\n\r\n") {
			return
		}
	}
}

func (s *scriptedEngine) next(r *http.Request) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.received = append(s.received, r)
	if len(s.responses) == 0 {
		return ""
	}
	text := s.responses[0]
	s.responses = s.responses[1:]
	return text
}

func (s *scriptedEngine) requests() []*http.Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*http.Request(nil), s.received...)
}

func response(status int, headers, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\n%sContent-Length: %d\r\n\r\n%s", status, headers, len(body), body)
}

// chunks returns a chunked response, with or without its last chunk.
func chunks(end bool, events ...string) string {
	out := "HTTP/1.1 200 OK\r\nSigned: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, e := range events {
		out += fmt.Sprintf("%x\r\n%s\r\n", len(e), e)
	}
	if end {
		out += "0\r\n\r\n"
	}
	return out
}

func event(id int) string { return fmt.Sprintf("id: %d\ndata: chunk %d\n\n", id, id) }

// newTestGateway returns a gateway with one route to the endpoints of one service,
// without a server.
func newTestGateway(t testing.TB, route document.Route, service document.Service, endpoints ...*wire.FleetEndpoint) *Gateway {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	start := time.Now()
	config := retry.GatewayBudgetConfig{Ratio: 100, Window: 10 * time.Second}
	g := &Gateway{
		cfg: DefaultSettings(), deps: Dependencies{Protocol: testProtocol{}}, log: logrus.NewEntry(log),
		clock: func() time.Duration { return time.Since(start) }, loads: fleet.NewLoads(func(int) int { return 0 }),
		serviceTimes: fleet.NewServiceTimes(), waits: fleet.NewWaitHistory(), pool: upstream.NewPool(), retries: retry.NewGatewayBudget(config, 0), randFloat: func() float64 { return 0 },
		control: controlclient.New(transport.NewPeerClient(), []string{"127.0.0.1:1"}), cancel: func() {},
	}
	g.cfg.ID, g.bootClock = "g", g.clock
	g.changed.init()
	g.streams.init(g.clock, g.log)
	g.buffers = buffers.NewBudget(maxAllBufferedBytes)
	g.quotas.init("g", "test", g.clock)
	g.loads.OnRoom(g.roomAppeared)
	service.Name = "s"
	route.Name, route.Host, route.Prefix, route.Split = "r", "h", "/a/", []document.Share{{Service: service.Name, Weight: 1}}
	if route.Timeout == 0 {
		route.Timeout = 20 * time.Second
	}
	d := &document.Document{Version: 1, Routes: []document.Route{route}, Services: []document.Service{service}}
	if err := d.Check(); err != nil {
		t.Fatal(err)
	}
	g.table.Store(document.NewTable(d))
	view := &wire.FleetView{}
	for i, e := range endpoints {
		e.Id, e.Service, e.Slots, e.Version = fmt.Sprintf("e%d", i), service.Name, 10, cmp.Or(e.Version, "v1")
		view.Endpoints = append(view.Endpoints, e)
	}
	g.view.Store(fleet.NewView(view))
	// No test lasts that long, unless it makes the view older.
	g.viewConfirmedAt.Store(int64(time.Hour))
	return g
}

// startGateway starts a gateway with one route to the engines and returns its
// address.
func startGateway(t *testing.T, route document.Route, engines ...*scriptedEngine) string {
	t.Helper()
	var endpoints []*wire.FleetEndpoint
	for _, e := range engines {
		endpoints = append(endpoints, &wire.FleetEndpoint{Address: e.address})
	}
	return startGatewayTo(t, route, endpoints...)
}

// startGatewayTo starts a gateway with one route to the endpoints and returns its
// address.
func startGatewayTo(t *testing.T, route document.Route, endpoints ...*wire.FleetEndpoint) string {
	t.Helper()
	return serveGateway(t, newTestGateway(t, route, document.Service{}, endpoints...))
}

// serveGateway starts a server for the gateway and returns its address.
func serveGateway(t *testing.T, g *Gateway) string {
	t.Helper()
	g.clientLimits = transport.NewClientLimits(g.cfg.ClientLimits.Config(g.cfg.MemoryMB), g.log)
	l, err := g.clientLimits.Listen("127.0.0.1:0", "caller", transport.PeerKindClient)
	if err != nil {
		t.Fatal(err)
	}
	s := transport.ServeClients(l, g)
	t.Cleanup(func() { s.Close() })
	return s.Address()
}

// serveHandler serves clients and returns the address.
func serveHandler(t *testing.T, h http.Handler) string {
	t.Helper()
	l, err := transport.ListenClients("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := transport.ServeClients(l, h)
	t.Cleanup(func() { s.Close() })
	return s.Address()
}

// call sends one request and returns the response and its body, which may be
// truncated.
func call(t *testing.T, ctx context.Context, address string, headers ...string) (*http.Response, string, error) {
	t.Helper()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/a/x?q=1", strings.NewReader("body"))
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h"
	req.Header.Set("Id", "attempt")
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp, string(body), err
}

var (
	nonIdempotent = document.Route{Kind: document.AtMostOnce, MaxAttempts: 1}
	idempotent    = document.Route{Kind: document.Idempotent, MaxAttempts: 2}
	stream        = document.Route{Kind: document.Stream, MaxAttempts: 1}
	resumable     = document.Route{Kind: document.Stream, MaxAttempts: 2, Resumable: true}
)

func TestResponsesOfOneEndpoint(t *testing.T) {
	signed := "Signed: 1\r\n"
	for _, c := range []struct {
		name      string
		route     document.Route
		responses []string
		status    int
		body      string
		sends     int
	}{
		{"complete response", nonIdempotent, []string{response(200, signed, "fine")}, 200, "fine", 1},
		{"endpoint failure is forwarded", nonIdempotent, []string{response(500, signed, "broken")}, 500, "broken", 1},
		{"4xx is forwarded", idempotent, []string{response(404, signed, "none")}, 404, "none", 1},
		{"success without a signature", nonIdempotent, []string{response(200, "", "fine")}, 502, "", 1},
		{"not run is a rejection", nonIdempotent, []string{response(503, "Not-Run: 1\r\n", "")}, 503, "", 1},
		{"503 without a not-run statement is not a rejection", nonIdempotent, []string{response(503, signed, "")}, 502, "", 1},
		{"429 without a not-run statement is not a rejection", nonIdempotent, []string{response(429, signed, "")}, 502, "", 1},
		{"truncated response", nonIdempotent, []string{"HTTP/1.1 200 OK\r\nSigned: 1\r\nContent-Length: 9\r\n\r\npartCUT"}, 502, "", 1},
		{"no response", nonIdempotent, []string{""}, 502, "", 1},
		{"response to another request", nonIdempotent, []string{response(200, signed+"Id: other\r\n", "theirs") + response(200, signed, "mine")}, 200, "mine", 1},
		{"stream", stream, []string{chunks(true, event(1), event(2))}, 200, event(1) + event(2), 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := startEngine(t, c.responses...)
			resp, body, err := call(t, t.Context(), startGateway(t, c.route, e))
			if err != nil {
				t.Fatal(err)
			}
			if resp.StatusCode != c.status || c.body != "" && body != c.body {
				t.Errorf("status %d, body %q, want %d %q", resp.StatusCode, body, c.status, c.body)
			}
			if got := e.requests(); len(got) != c.sends || got[0].RequestURI != "/a/x?q=1" || got[0].Host != "h" || got[0].Header.Get("For") != "e0" {
				t.Errorf("the endpoint received %d requests, want 1 for endpoint e0 with the host and path of the client: %+v", len(got), got)
			}
			if rejected := resp.StatusCode == 503; rejected != (resp.Header.Get("Retry-After") != "") {
				t.Errorf("status %d with Retry-After %q, want the header with status 503 only", resp.StatusCode, resp.Header.Get("Retry-After"))
			}
		})
	}
}

func TestIdempotentRequestIsRetriedAtAnotherEndpoint(t *testing.T) {
	good := response(200, "Signed: 1\r\n", "fine")
	for name, first := range map[string]string{
		"failed": response(500, "Signed: 1\r\n", "broken"), "not run": response(503, "Not-Run: 1\r\n", ""), "lost": "",
	} {
		t.Run(name, func(t *testing.T) {
			a, b := startEngine(t, first), startEngine(t, good)
			resp, body, err := call(t, t.Context(), startGateway(t, idempotent, a, b))
			if err != nil || resp.StatusCode != 200 || body != "fine" {
				t.Fatalf("response %v, body %q, error %v, want status 200 and body fine", resp, body, err)
			}
			if len(a.requests()) != 1 || len(b.requests()) != 1 {
				t.Errorf("the endpoints received %d and %d requests, want 1 each", len(a.requests()), len(b.requests()))
			}
		})
	}
}

func TestEndpointFailureIsForwardedWithoutAnotherEndpoint(t *testing.T) {
	e := startEngine(t, response(500, "Signed: 1\r\n", "broken"))
	resp, body, err := call(t, t.Context(), startGateway(t, idempotent, e))
	if err != nil || resp.StatusCode != 500 || body != "broken" {
		t.Errorf("response %v, body %q, error %v, want status 500 and body broken", resp, body, err)
	}
}

func TestNonIdempotentRequestIsNotRetried(t *testing.T) {
	for name, first := range map[string]string{"failed": response(500, "Signed: 1\r\n", "broken"), "lost": ""} {
		a, b := startEngine(t, first), startEngine(t, response(200, "Signed: 1\r\n", "fine"))
		route := nonIdempotent
		route.MaxAttempts = 3
		if _, _, err := call(t, t.Context(), startGateway(t, route, a, b)); err != nil {
			t.Fatal(err)
		}
		if n := len(a.requests()) + len(b.requests()); n != 1 {
			t.Errorf("%s: sent %d times, want 1", name, n)
		}
	}
}

func TestTruncatedStreamIsNotReportedComplete(t *testing.T) {
	e := startEngine(t, chunks(false, event(1)))
	_, body, err := call(t, t.Context(), startGateway(t, stream, e))
	if err == nil {
		t.Errorf("body %q of a truncated stream was read without an error", body)
	}
}

func TestTruncatedStreamResumesAtAnotherEndpoint(t *testing.T) {
	half := event(3)[:7]
	a, b := startEngine(t, chunks(false, event(1), event(2), half)), startEngine(t, chunks(true, event(3), event(4)))
	resp, body, err := call(t, t.Context(), startGateway(t, resumable, a, b))
	if err != nil || resp.StatusCode != 200 || body != event(1)+event(2)+event(3)+event(4) {
		t.Fatalf("body %q, error %v, want events 1 to 4", body, err)
	}
	if after := b.requests()[0].Header.Get("After"); after != "2" {
		t.Errorf("resumed after event %q, want 2", after)
	}
}

func TestStreamEndingWithinAnEventResumesAtAnotherEndpoint(t *testing.T) {
	a, b := startEngine(t, chunks(true, event(1), event(2)[:9])), startEngine(t, chunks(true, event(2)))
	_, body, err := call(t, t.Context(), startGateway(t, resumable, a, b))
	if err != nil || body != event(1)+event(2) {
		t.Errorf("body %q, error %v, want events 1 and 2", body, err)
	}
}

func TestServiceWithoutEndpointRejectsRequest(t *testing.T) {
	resp, _, err := call(t, t.Context(), startGateway(t, nonIdempotent))
	if err != nil || resp.StatusCode != 503 || resp.Header.Get("Retry-After") == "" {
		t.Errorf("response %v, error %v, want status 503 with Retry-After", resp, err)
	}
}

func TestTimeoutIsReportedAtTheDeadline(t *testing.T) {
	route := nonIdempotent
	route.Timeout = 200 * time.Millisecond
	e := startEngine(t, "...")
	started := time.Now()
	resp, _, err := call(t, t.Context(), startGateway(t, route, e))
	if err != nil || resp.StatusCode != http.StatusGatewayTimeout {
		t.Fatalf("response %v, error %v, want status 504", resp, err)
	}
	if took := time.Since(started); took > 5*time.Second {
		t.Errorf("response after %v, want at most 5 s", took)
	}
	left, err := time.ParseDuration(e.requests()[0].Header.Get("Left"))
	if err != nil || left > route.Timeout {
		t.Errorf("the endpoint received a time left of %v, want at most %v", left, route.Timeout)
	}
	<-e.disconnected
}

func TestClientDisconnectCancelsEndpointRequest(t *testing.T) {
	e := startEngine(t, "HTTP/1.1 200 OK\r\nSigned: 1\r\nTransfer-Encoding: chunked\r\n\r\n...")
	address := startGateway(t, stream, e)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _, _ = call(t, ctx, address)
	}()
	for len(e.requests()) == 0 {
		time.Sleep(time.Millisecond)
	}
	cancel()
	<-e.disconnected
	<-done
}

func TestUnknownPathIsNotFound(t *testing.T) {
	address := startGateway(t, nonIdempotent, startEngine(t))
	req, err := http.NewRequest(http.MethodGet, "http://"+address+"/elsewhere/", nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h"
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil || resp.StatusCode != http.StatusNotFound {
		t.Fatalf("response %v, error %v, want status 404", resp, err)
	}
	resp.Body.Close()
}

func TestPickAddresses(t *testing.T) {
	gateways := []*wire.Gateway{
		{CallerAddress: "a1", Domain: "a", Accepting: true}, {CallerAddress: "a2", Domain: "a", Accepting: true},
		{CallerAddress: "b1", Domain: "b", Accepting: true}, {CallerAddress: "b2", Domain: "b"},
	}
	for domain, want := range map[string]string{"a": "a1 a2", "b": "b1 a1 a2", "c": "a1 a2 b1"} {
		if got := strings.Join(pickAddresses(gateways, domain), " "); got != want {
			t.Errorf("domain %s: addresses %s, want %s", domain, got, want)
		}
	}
}

// TestEarlierResponseOnAKeptConnectionIsNotTakenForTheNext guards against clients that are
// told that a request has not run, and against a second run, because an endpoint wrote an
// earlier response once more.
func TestEarlierResponseOnAKeptConnectionIsNotTakenForTheNext(t *testing.T) {
	refusal, done := response(503, "Not-Run: 1\r\n", ""), response(200, "Signed: 1\r\n", "mine")
	for _, c := range []struct {
		name      string
		anonymous bool
		earlier   string
		want      int
	}{
		{"a refusal that names its attempt", false, withID(refusal, "first"), 200},
		{"a refusal that names none", true, refusal, 502},
		{"a misdirection that names none", true, response(421, "", ""), 502},
		{"an answer that names its attempt", false, withID(done, "first"), 200},
		{"an answer that names none", true, response(200, "Signed: 1\r\n", "theirs"), 502},
		{"a failure that names none", true, response(404, "Signed: 1\r\n", ""), 502},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := startEngine(t, c.earlier, c.earlier+withID(done, "second"))
			other := startEngine(t, done, done)
			e.anonymous = c.anonymous
			g := newTestGateway(t, nonIdempotent, document.Service{}, versioned(e, "v1"))
			address := serveGateway(t, g)
			if _, _, err := call(t, t.Context(), address, "Id", "first"); err != nil {
				t.Fatal(err)
			}
			g.view.Store(fleet.NewView(&wire.FleetView{Endpoints: withIDs([]*wire.FleetEndpoint{versioned(e, "v1"), versioned(other, "v1")})}))
			resp, body, err := call(t, t.Context(), address, "Id", "second")
			if err != nil || resp.StatusCode != c.want || c.want == 200 && body != "mine" {
				t.Errorf("response %v, body %q, error %v, want status %d", resp, body, err, c.want)
			}
			if n := len(other.requests()); n != 0 {
				t.Errorf("the request was sent to %d more endpoints, want none: it may have run", n)
			}
		})
	}
}
