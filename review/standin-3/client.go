package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// answer is what a client got.
type answer struct {
	status int
	header http.Header
	body   string
	// err is set if the answer is not whole.
	err error
}

// send sends one request on a new connection, and waits until its deadline. The target goes onto the wire
// as it is.
func send(address, method, target, id, body string, deadline time.Duration) answer {
	return sendFor(address, method, target, id, body, deadline, deadline)
}

// sendFor is send, and leaves after the time.
func sendFor(address, method, target, id, body string, deadline, wait time.Duration) answer {
	c, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(wait))
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", method, target, host, headerID, id, headerDeadline, deadline.Milliseconds())
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(body), body)
	if _, err := io.WriteString(c, b.String()); err != nil {
		return answer{err: err}
	}
	return readAnswer(bufio.NewReader(c), method)
}

func readAnswer(r *bufio.Reader, method string) answer {
	resp, err := http.ReadResponse(r, &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return answer{resp.StatusCode, resp.Header, string(data), err}
}

// runs counts the runs of each request at all engines.
type runs struct {
	mu sync.Mutex
	by map[string][]string
}

func newRuns() *runs { return &runs{by: map[string][]string{}} }

func (r *runs) add(id, engine string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.by[id] = append(r.by[id], engine)
}

func (r *runs) of(id string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string{}, r.by[id]...)
}

// text describes an answer for the record.
func (a answer) text() string {
	if a.err != nil {
		return fmt.Sprintf("status %d, not whole: %v", a.status, a.err)
	}
	return fmt.Sprintf("status %d, %.60q", a.status, a.body)
}
