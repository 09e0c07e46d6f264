package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"time"
)

// put sends a configuration to the replicas in turn until one answers clearly, as the operator does. It returns
// the status and the body of the answer, or zero.
func (s *system) put(document []byte) (int, string) {
	for _, address := range s.operators {
		status, body := operate(http.MethodPost, "http://"+address+"/config/put", document)
		if status != 0 && status < 500 {
			return status, body
		}
	}
	return 0, ""
}

// get reads the newest configuration.
func (s *system) get() (int, string) {
	for _, address := range s.operators {
		if status, body := operate(http.MethodGet, "http://"+address+"/config/get", nil); status == http.StatusOK {
			return status, body
		}
	}
	return 0, ""
}

// operate makes one call of the operator, who follows a redirect twice.
func operate(method, url string, body []byte) (int, string) {
	client := &http.Client{CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	for range 3 {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
		if err != nil {
			return 0, ""
		}
		req.Header.Set("Content-Type", "application/json")
		resp, err := client.Do(req)
		if err != nil {
			return 0, ""
		}
		data, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		if err != nil {
			return 0, ""
		}
		if resp.StatusCode != http.StatusTemporaryRedirect {
			return resp.StatusCode, string(data)
		}
		url = resp.Header.Get("Location")
	}
	return 0, ""
}

// caller sends requests to one gateway over kept connections.
type caller struct {
	s       *system
	gateway *node
	http    http.Client
	sent    int
	prefix  string
}

func (s *system) newCaller(g *node, prefix string) *caller {
	return &caller{s: s, gateway: g, prefix: prefix, http: http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16, DisableCompression: true}}}
}

// answer is what a caller got.
type answer struct {
	status int
	seal   string
	body   string
	err    error
}

// send sends one request with the further headers and waits for the answer.
func (c *caller) send(method, path string, deadline time.Duration, headers map[string]string) answer {
	c.sent++
	id := fmt.Sprintf("%s-%d", c.prefix, c.sent)
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.gateway.client+path, nil)
	if err != nil {
		return answer{err: err}
	}
	req.Host = "desk.example"
	req.Header.Set(names.ID, id)
	req.Header.Set(names.Deadline, fmt.Sprint(deadline.Milliseconds()))
	for name, value := range headers {
		req.Header.Set(name, value)
	}
	c.s.record.add("attempt %s sent to %s: %s %s %q", id, c.gateway.name, method, path, headers)
	resp, err := c.http.Do(req)
	if err != nil {
		c.s.record.add("attempt %s: no answer: %v", id, err)
		return answer{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	c.s.record.add("attempt %s answered %d: %.80q", id, resp.StatusCode, body)
	return answer{status: resp.StatusCode, seal: resp.Header.Get(names.Seal), body: string(body), err: err}
}

// sendEvery sends requests at the interval until stop is closed, each without waiting for the one before.
func (c *caller) sendEvery(interval time.Duration, stop <-chan struct{}, send func()) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-stop:
			return
		case <-t.C:
			send()
		}
	}
}
