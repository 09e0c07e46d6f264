package upstream

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"strings"

	"parsleyramp/internal/answer"
	"parsleyramp/internal/fail"
)

// readHeader reads the response header. It skips interim responses, and complete
// responses that accept rejects, as far as maxSkippedBytes allow.
func (c *conn) readHeader(method string, accept func(http.Header) bool) (*http.Response, error) {
	defer c.limit.lift()
	skipped, left := 0, int64(maxSkippedBytes)
	for {
		resp, err := c.readOneHeader(method, &left)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= 100 && resp.StatusCode < 200 {
			continue
		}
		if accept == nil || accept(resp.Header) {
			return resp, nil
		}
		if skipped++; skipped > maxSkippedResponses {
			return nil, errForeignResponses
		}
		c.limit.set(left)
		_, err = io.Copy(io.Discard, resp.Body)
		left = c.limit.left
		if err != nil {
			return nil, err
		}
	}
}

// readOneHeader reads the next header, and takes what it reads from left.
func (c *conn) readOneHeader(method string, left *int64) (*http.Response, error) {
	allowed := min(*left, maxHeadBytes)
	c.limit.set(allowed)
	// Peek does not fail for bytes that have been read.
	begun, _ := c.reader.Peek(c.reader.Buffered())
	var head answer.HeadScanner
	head.Scan(begun)
	c.limit.head = &head
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	c.limit.head = nil
	*left -= allowed - c.limit.left
	if err != nil {
		return nil, err
	}
	return resp, head.Check(resp.ProtoAtLeast(1, 1))
}

var errForeignResponses = fail.New(fail.ForeignAnswer, "the responses belong to other requests").WithRan(fail.RanUnknown)

// hopByHopHeaders concern one connection only and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// RemoveHopByHopHeaders removes the headers that concern one connection only,
// including those listed in the Connection header.
func RemoveHopByHopHeaders(h http.Header) {
	for _, name := range connectionOptions(h) {
		h.Del(name)
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
}

func connectionOptions(h http.Header) []string {
	var out []string
	for _, line := range h.Values("Connection") {
		for _, name := range strings.Split(line, ",") {
			out = append(out, strings.TrimSpace(name))
		}
	}
	return out
}

func encodeHead(r *Request) []byte {
	var b bytes.Buffer
	b.Grow(512)
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	// Writing to a buffer does not fail, and net/http, which parsed the header,
	// rejects line breaks in it.
	_ = r.Header.Write(&b)
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead && r.Method != http.MethodDelete {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}
