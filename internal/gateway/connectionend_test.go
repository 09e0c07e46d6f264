package gateway

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"parsleyramp/internal/document"
	"parsleyramp/internal/testnet"
	"parsleyramp/internal/upstream"
	"parsleyramp/internal/wire"
)

// uploadBytes is a body that is still being written when an endpoint answers at once.
const uploadBytes = 3 << 20

// startResettingEngine starts an engine that answers each request with the text before it has read
// the body, and then resets the connection.
func startResettingEngine(t *testing.T, text string) *wire.FleetEndpoint {
	t.Helper()
	address := testnet.Serve(t, func(c *net.TCPConn) {
		if _, err := c.Read(make([]byte, 4096)); err != nil {
			return
		}
		io.WriteString(c, text)
		c.SetLinger(0)
	})
	return &wire.FleetEndpoint{Address: address}
}

// writeFirstPool returns a pool whose writes get the resets of connections to the endpoint.
func writeFirstPool(e *wire.FleetEndpoint) *upstream.Pool {
	return upstream.NewPoolWithDial(func(ctx context.Context, address string) (net.Conn, error) {
		var d net.Dialer
		c, err := d.DialContext(ctx, "tcp4", address)
		if err != nil || address != e.Address {
			return c, err
		}
		return testnet.NewWriteFirst(c)
	})
}

// upload sends a long body and returns the status and the body of the response, and the error that
// a client notices.
func upload(t *testing.T, address string) (int, string, error) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address+"/a/x", bytes.NewReader(make([]byte, uploadBytes)))
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h"
	req.Header.Set("Id", "attempt")
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body), err
}

// resetAnswers are answers that end with their connection, which is reset after them.
var resetAnswers = map[string]struct {
	route document.Route
	text  string
}{
	"text":              {nonIdempotent, "HTTP/1.1 200 OK\r\nSigned: 1\r\n\r\npart"},
	"JSON":              {nonIdempotent, "HTTP/1.1 200 OK\r\nSigned: 1\r\nContent-Type: application/json\r\n\r\n{}"},
	"event":             {stream, "HTTP/1.1 200 OK\r\nSigned: 1\r\nContent-Type: text/event-stream\r\n\r\n" + event(1)},
	"event, resumable":  {resumable, "HTTP/1.1 200 OK\r\nSigned: 1\r\nContent-Type: text/event-stream\r\n\r\n" + event(1)},
	"Connection: close": {nonIdempotent, "HTTP/1.1 200 OK\r\nSigned: 1\r\nConnection: close\r\n\r\npart"},
	"HTTP/1.0":          {nonIdempotent, "HTTP/1.0 200 OK\r\nSigned: 1\r\n\r\npart"},
	"failure":           {nonIdempotent, "HTTP/1.1 404 Not Found\r\nSigned: 1\r\n\r\npart"},
}

func checkNotComplete(t *testing.T, address string) {
	t.Helper()
	if status, body, err := upload(t, address); err == nil && status != http.StatusBadGateway {
		t.Errorf("status %d with body %q looks complete, want 502 or an answer that breaks off", status, body)
	}
}

func TestAnswerResetDuringAnUploadDoesNotLookComplete(t *testing.T) {
	for name, c := range resetAnswers {
		t.Run(name, func(t *testing.T) {
			e := startResettingEngine(t, c.text)
			g := newTestGateway(t, c.route, document.Service{}, e)
			g.pool = writeFirstPool(e)
			checkNotComplete(t, serveGateway(t, g))
		})
	}
}

func TestAnswerResetDuringAnUploadByWayOfAnotherGatewayDoesNotLookComplete(t *testing.T) {
	for name, c := range resetAnswers {
		t.Run(name, func(t *testing.T) {
			e := startResettingEngine(t, c.text)
			p := startCutPair(t, c.route, e)
			p.sound.pool = writeFirstPool(e)
			p.awaitCut(t)
			checkNotComplete(t, p.address)
		})
	}
}

func TestRejectionResetDuringAnUploadMeansNotRun(t *testing.T) {
	e := startResettingEngine(t, "HTTP/1.1 503 X\r\nNot-Run: 1\r\n\r\nfull")
	g := newTestGateway(t, nonIdempotent, document.Service{}, e)
	g.pool = writeFirstPool(e)
	if status, _, err := upload(t, serveGateway(t, g)); err != nil || status != http.StatusServiceUnavailable {
		t.Errorf("status %d, error %v, want 503: the endpoint states that it has not run the request", status, err)
	}
}

func TestOnlyIdempotentRequestIsSentAgainAfterAResetDuringItsUpload(t *testing.T) {
	for name, c := range map[string]struct {
		route  document.Route
		status int
	}{
		"idempotent": {idempotent, http.StatusOK}, "at most once": {document.Route{Kind: document.AtMostOnce, MaxAttempts: 2}, http.StatusBadGateway},
	} {
		t.Run(name, func(t *testing.T) {
			broken := startResettingEngine(t, resetAnswers["text"].text)
			sound := startEngine(t, response(200, "Signed: 1\r\n", "whole"))
			g := newTestGateway(t, c.route, document.Service{}, broken, versioned(sound, ""))
			g.pool = writeFirstPool(broken)
			status, body, err := upload(t, serveGateway(t, g))
			if err != nil || status != c.status || status == http.StatusOK && body != "whole" {
				t.Errorf("status %d, body %q, error %v, want status %d", status, body, err, c.status)
			}
		})
	}
}
