package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"

	"parsleyramp/internal/standin"
)

const deferredTimeout = 15 * time.Second

type step struct {
	name string
	run  func(context.Context) (string, error)
}

func (d *demo) steps() []step {
	return []step{
		{"start stand-ins", d.startStandins},
		{"start control replicas and entries", d.startSystem},
		{"form the control group", func(ctx context.Context) (string, error) { return d.ctl(ctx, "bootstrap") }},
		{"entries hold a lease", d.waitReady},
		{"check the section", func(ctx context.Context) (string, error) {
			return d.ctl(ctx, "check", "examples/demo/closing-desk.jsonc")
		}},
		{"apply the section", func(ctx context.Context) (string, error) {
			return d.ctl(ctx, "apply", "examples/demo/closing-desk.jsonc")
		}},
		{"the section is met", func(ctx context.Context) (string, error) { return d.ctl(ctx, "status", "-watch", team) }},
		{"fetch the addresses of entries", d.fetchEntries},
		{"streamed response from a model", func(ctx context.Context) (string, error) {
			return d.stream(ctx, team+"/purity-note", "draft a purity note for pledge 4711")
		}},
		{"streamed response from an adapter", func(ctx context.Context) (string, error) {
			return d.stream(ctx, team+"/purity-note:kandy", "draft a purity note for pledge 4712")
		}},
		{"unary response from the plain service", d.callService},
		{"non-idempotent request, sent twice", d.callNonIdempotent},
		{"deferred request is accepted and finished", d.sendDeferred},
		{"rejected request reports that it did not run", d.checkRejection},
		{"status", func(ctx context.Context) (string, error) { return d.ctl(ctx, "status", team) }},
		{"stop all processes with SIGTERM", d.stopAll},
	}
}

func (d *demo) waitReady(ctx context.Context) (string, error) {
	return "all ready", d.bed.WaitReady(ctx)
}

// call sends a request and returns the status and body of the response.
func call(ctx context.Context, method, url, key, body string) (int, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, data, err
}

func (d *demo) fetchEntries(ctx context.Context) (string, error) {
	_, data, err := call(ctx, http.MethodGet, "http://"+d.bed.Entries[0].Address+"/v1/entries?domain=domain-2", "", "")
	if err != nil {
		return "", err
	}
	var response struct {
		Entries     []struct{ ID, Address, Domain string }
		KeepSeconds float64 `json:"keep_seconds"`
	}
	if err := json.Unmarshal(data, &response); err != nil {
		return "", err
	}
	if len(response.Entries) != len(d.bed.Entries) || response.Entries[0].Domain != "domain-2" {
		return "", fmt.Errorf("unexpected list of entries: %s", data)
	}
	d.entryAddress = response.Entries[0].Address
	return fmt.Sprintf("%s at %s, cacheable for %gs", response.Entries[0].ID, d.entryAddress, response.KeepSeconds), nil
}

func (d *demo) stream(ctx context.Context, model, prompt string) (string, error) {
	body, _ := json.Marshal(map[string]any{"model": model, "stream": true, "max_tokens": 12, "messages": []map[string]string{{"role": "user", "content": prompt}}})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.entryAddress+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return "", err
	}
	start := time.Now()
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	var text strings.Builder
	var first time.Duration
	done := false
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			done = true
			continue
		}
		if first == 0 {
			first = time.Since(start)
		}
		var c standin.Completion
		if err := json.Unmarshal([]byte(data), &c); err != nil {
			return "", err
		}
		text.WriteString(c.Choices[0].Delta.Content)
	}
	var want strings.Builder
	for i := range 12 {
		want.WriteString(standin.CompletionToken(" "+prompt, i))
	}
	if resp.StatusCode != http.StatusOK || !done || text.String() != want.String() {
		return "", fmt.Errorf("unexpected response: status %d, complete %t, text %q", resp.StatusCode, done, text.String())
	}
	return fmt.Sprintf("complete and correct, 12 tokens, first token after %s", first.Round(time.Millisecond)), nil
}

func (d *demo) callService(ctx context.Context) (string, error) {
	status, data, err := call(ctx, http.MethodGet, "http://"+d.entryAddress+"/ledger/pledges/4711", "", "")
	if err != nil || status != http.StatusOK {
		return "", fmt.Errorf("request to the plain service: status %d, body %s, error %v", status, data, err)
	}
	return strings.TrimSpace(string(data)), nil
}

// callNonIdempotent sends a payout twice with the same key, through two entries,
// and checks that it ran once.
func (d *demo) callNonIdempotent(ctx context.Context) (string, error) {
	key, err := uuid.NewV7()
	if err != nil {
		return "", err
	}
	const path, body = "/ledger/payouts", `{"pledge":4711,"amount":120}`
	var responses [2]string
	for i, entry := range []string{d.entryAddress, d.bed.Entries[0].Address} {
		status, data, err := call(ctx, http.MethodPost, "http://"+entry+path, key.String(), body)
		if err != nil || status != http.StatusOK {
			return "", fmt.Errorf("payout: status %d, body %s, error %v", status, data, err)
		}
		responses[i] = string(data)
	}
	_, runs, err := call(ctx, http.MethodGet, "http://"+d.bed.Services[0].Address+"/standin/runs", "", "")
	if err != nil {
		return "", err
	}
	var counts map[string]int
	if err := json.Unmarshal(runs, &counts); err != nil {
		return "", err
	}
	if n := counts["POST "+path+" "+body]; n != 1 || responses[0] != responses[1] {
		return "", fmt.Errorf("payout ran %d times, want 1 run and equal responses, got %q", n, responses)
	}
	return "recorded response replayed, 1 run", nil
}

func (d *demo) sendDeferred(ctx context.Context) (string, error) {
	body, _ := json.Marshal(map[string]any{"model": team + "/valuation", "prompt": "summarise the valuations of today"})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.entryAddress+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return "", err
	}
	req.Header.Set("Parsleyramp-Class", "overnight")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", err
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusAccepted {
		return "", fmt.Errorf("deferred request: status %d, want 202", resp.StatusCode)
	}
	location := resp.Header.Get("Location")
	for deadline := time.Now().Add(deferredTimeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		status, _, err := call(ctx, http.MethodGet, "http://"+d.bed.Entries[0].Address+location, "", "")
		if err == nil && status == http.StatusOK {
			return "202, then the response through another entry", nil
		}
	}
	return "", fmt.Errorf("no response to the deferred request at %s", location)
}

func (d *demo) checkRejection(ctx context.Context) (string, error) {
	status, data, err := call(ctx, http.MethodPost, "http://"+d.entryAddress+"/ledger/payouts", "", "{}")
	if err != nil || status != http.StatusBadRequest || !strings.Contains(string(data), `"ran":"no"`) {
		return "", fmt.Errorf("payout without a key: status %d, body %s, error %v; want 400 and ran no", status, data, err)
	}
	return "400, ran no: the key is missing", nil
}
