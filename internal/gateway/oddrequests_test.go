package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"parsleyramp/internal/wire"
)

// startEchoEngine starts an engine that answers with the method, target and body that it got.
func startEchoEngine(t *testing.T) *wire.FleetEndpoint {
	t.Helper()
	// A server of transport takes as many header lines as a gateway does.
	address := serveHandler(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			t.Error(err)
		}
		w.Header().Set("Signed", "1")
		w.Header().Set("Id", r.Header.Get("Id"))
		fmt.Fprintf(w, "%s %s %s", r.Method, r.RequestURI, body)
	}))
	return &wire.FleetEndpoint{Address: address}
}

func TestOddButProperRequestsAreAnsweredOnTheirKeptConnection(t *testing.T) {
	const length4 = "Content-Length: 4\r\n\r\nbody"
	const chunked = "Transfer-Encoding: chunked\r\n"
	odd := map[string]struct{ method, target, rest, body string }{
		"HEAD":                   {"HEAD", "/a/x", "\r\n", ""},
		"OPTIONS":                {"OPTIONS", "/a/x", "\r\n", ""},
		"unknown method":         {"PURGE", "/a/x", "\r\n", ""},
		"DELETE with a body":     {"DELETE", "/a/x", length4, "body"},
		"GET with a body":        {"GET", "/a/x", length4, "body"},
		"POST without a length":  {"POST", "/a/x", "\r\n", ""},
		"Expect":                 {"POST", "/a/x", "Expect: 100-continue\r\n" + length4, "body"},
		"chunks and a trailer":   {"POST", "/a/x", chunked + "Trailer: T\r\n\r\n2;e=1\r\nbo\r\n2\r\ndy\r\n0\r\nT: 1\r\n\r\n", "body"},
		"no chunks":              {"PUT", "/a/x", chunked + "\r\n0\r\n\r\n", ""},
		"large headers":          {"GET", "/a/x", "X: " + strings.Repeat("x", 15<<10) + "\r\n\r\n", ""},
		"many headers":           {"GET", "/a/x", strings.Repeat("X: 1\r\n", 500) + "\r\n", ""},
		"empty segments":         {"GET", "/a//x///", "\r\n", ""},
		"dot segments":           {"GET", "/a/../a/./x", "\r\n", ""},
		"percent-encoding":       {"GET", "/a/%2F%20%C3%A9%00?q=%zz&;=", "\r\n", ""},
		"empty query":            {"GET", "/a/?", "\r\n", ""},
		"Connection lists":       {"GET", "/a/x", "Connection: X, keep-alive\r\nX: 1\r\n\r\n", ""},
		"folded header":          {"GET", "/a/x", "X: a\r\n b\r\n\r\n", ""},
		"empty and odd values":   {"GET", "/a/x", "X:\r\nY: \xff\xfe\r\nCookie: a=b; c\r\nTe: trailers\r\nUpgrade: h2c\r\n\r\n", ""},
		"absurd times and sizes": {"GET", "/a/x", "Deadline: 9999999h\r\nOutput: 99999999999999999999\r\nMaximum: -7\r\n\r\n", ""},
	}
	address := startGatewayTo(t, idempotent, startEchoEngine(t))
	for name, o := range odd {
		for _, pipelined := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, pipelined %t", name, pipelined), func(t *testing.T) {
				c, err := net.Dial("tcp4", address)
				if err != nil {
					t.Fatal(err)
				}
				defer c.Close()
				r := bufio.NewReader(c)
				first := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h\r\nId: one\r\n%s", o.method, o.target, o.rest)
				const second = "POST /a/second HTTP/1.1\r\nHost: h\r\nId: two\r\nContent-Length: 3\r\n\r\nend"
				io.WriteString(c, first)
				if pipelined {
					io.WriteString(c, second)
				}
				want := fmt.Sprintf("%s %s %s", o.method, o.target, o.body)
				if o.method == http.MethodHead {
					want = ""
				}
				checkAnswer(t, r, o.method, want)
				if !pipelined {
					io.WriteString(c, second)
				}
				checkAnswer(t, r, http.MethodPost, "POST /a/second end")
			})
		}
	}
}

func checkAnswer(t *testing.T, r *bufio.Reader, method, want string) {
	t.Helper()
	resp, err := http.ReadResponse(r, &http.Request{Method: method})
	for err == nil && resp.StatusCode == http.StatusContinue {
		resp, err = http.ReadResponse(r, &http.Request{Method: method})
	}
	if err != nil {
		t.Fatalf("%s: no answer: %v", method, err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK || string(body) != want {
		t.Errorf("status %d, body %q, error %v, want 200 and %q", resp.StatusCode, body, err, want)
	}
}

func TestOddAnswersOfAnEndpointDoNotCloseTheConnectionOfTheClient(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nSigned: 1\r\n"
	const plain = ok + "Content-Length: 2\r\n"
	for name, c := range map[string]struct {
		method, answer string
		status         int
	}{
		"HEAD with a length":            {"HEAD", ok + "Content-Length: 7\r\n\r\n", 200},
		"HEAD with chunks":              {"HEAD", ok + "Transfer-Encoding: chunked\r\n\r\n", 200},
		"HEAD without a length":         {"HEAD", ok + "\r\n", 200},
		"204":                           {"GET", "HTTP/1.1 204 X\r\nSigned: 1\r\n\r\n", 204},
		"204 with a body":               {"GET", "HTTP/1.1 204 X\r\nSigned: 1\r\nContent-Length: 2\r\n\r\nok", 204},
		"204 with chunks":               {"GET", "HTTP/1.1 204 X\r\nSigned: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 204},
		"205":                           {"GET", "HTTP/1.1 205 X\r\nSigned: 1\r\nContent-Length: 0\r\n\r\n", 205},
		"304 with a length":             {"GET", "HTTP/1.1 304 X\r\nSigned: 1\r\nContent-Length: 9\r\n\r\n", 304},
		"interim responses":             {"GET", strings.Repeat("HTTP/1.1 103 X\r\nLink: a\r\n\r\n", 9) + plain + "\r\nok", 200},
		"length and chunks":             {"GET", plain + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", 200},
		"one length twice":              {"GET", plain + "Content-Length: 2\r\n\r\nok", 200},
		"two lengths":                   {"GET", plain + "Content-Length: 3\r\n\r\nok", 502},
		"invalid length":                {"GET", ok + "Content-Length: x\r\n\r\nok", 502},
		"invalid header name":           {"GET", plain + "A b: c\r\n\r\nok", 502},
		"invalid header value":          {"GET", plain + "A: b\x00\x7f\xff\r\n\r\nok", 502},
		"trailer":                       {"GET", ok + "Trailer: T\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nT: 1\r\n\r\n", 200},
		"Connection lists":              {"GET", plain + "Connection: close, A\r\nA: b\r\n\r\nok", 200},
		"other coding":                  {"GET", ok + "Transfer-Encoding: gzip, chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", 502},
		"HTTP/1.0 with keep-alive":      {"GET", "HTTP/1.0 200 OK\r\nSigned: 1\r\nConnection: keep-alive\r\nContent-Length: 2\r\n\r\nok", 200},
		"more bytes than its length":    {"GET", plain + "\r\nokHTTP/1.1 500 X\r\n\r\n", 200},
		"fewer bytes than its length":   {"GET", plain + "\r\no", 502},
		"body above the limit":          {"GET", ok + fmt.Sprintf("Content-Length: %d\r\n\r\n", maxBufferedBytes+1) + strings.Repeat("x", maxBufferedBytes+1), 502},
		"head above the limit":          {"GET", ok + "A: " + strings.Repeat("x", 70<<10) + "\r\n\r\n", 502},
		"head under the limit":          {"GET", plain + "A: " + strings.Repeat("x", 60<<10) + "\r\n\r\nok", 200},
		"no version":                    {"GET", "200 OK\r\n\r\nok", 502},
		"an upgrade":                    {"GET", "HTTP/1.1 101 X\r\nSigned: 1\r\nUpgrade: x\r\n\r\n", 502},
		"a redirection without a place": {"GET", "HTTP/1.1 302 X\r\nSigned: 1\r\nContent-Length: 0\r\n\r\n", 302},
	} {
		t.Run(name, func(t *testing.T) {
			conn, err := net.Dial("tcp4", startGatewayTo(t, nonIdempotent, startAnsweringEngine(t, c.answer, plain+"\r\nok")))
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			r := bufio.NewReader(conn)
			fmt.Fprintf(conn, "%s /a/x HTTP/1.1\r\nHost: h\r\nId: one\r\n\r\n", c.method)
			resp, err := http.ReadResponse(r, &http.Request{Method: c.method})
			if err != nil {
				t.Fatalf("no answer: %v", err)
			}
			if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.StatusCode != c.status {
				t.Errorf("status %d, error %v, want %d", resp.StatusCode, err, c.status)
			}
			// Without an id, it goes over a new connection to the engine.
			io.WriteString(conn, "GET /a/second HTTP/1.1\r\nHost: h\r\n\r\n")
			checkAnswer(t, r, http.MethodGet, "ok")
		})
	}
}

func TestAnswerToHeadKeepsTheLengthOfTheEndpoint(t *testing.T) {
	address := startGatewayTo(t, idempotent, startAnsweringEngine(t, "HTTP/1.1 200 OK\r\nSigned: 1\r\nContent-Length: 7\r\n\r\n"))
	req, err := http.NewRequest(http.MethodHead, "http://"+address+"/a/x", nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h"
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil || resp.ContentLength != 7 {
		t.Errorf("response %v, error %v, want the length 7", resp, err)
	}
}
