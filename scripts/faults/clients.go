package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"parsleyramp/internal/standin"
	"parsleyramp/scripts/internal/testbed"
)

const (
	streamClients    = 8
	payoutClients    = 4
	requestPause     = 40 * time.Millisecond
	payoutAttempts   = 20
	dialAttempts     = 5
	payoutRetryDelay = 250 * time.Millisecond
	requestTimeout   = 20 * time.Second
	payoutPath       = "/ledger/payouts"
	streamTokens     = 40
)

// clients sends requests continuously until stop and checks every response.
type clients struct {
	bed     *testbed.Bed
	http    *http.Client
	stopped atomic.Bool
	done    sync.WaitGroup

	mu      sync.Mutex
	result  result
	payouts map[string]*payout
}

// payout is the result of one non-idempotent request as its client sees it.
type payout struct {
	succeeded bool
	// mayHaveRun is set if an attempt failed without the report that it did not
	// run.
	mayHaveRun bool
}

func startClients(bed *testbed.Bed) *clients {
	c := &clients{bed: bed, http: &http.Client{Timeout: requestTimeout}, payouts: map[string]*payout{}}
	for i := range streamClients {
		c.done.Go(func() { c.loop(uint64(i), c.stream) })
	}
	for i := range payoutClients {
		c.done.Go(func() { c.loop(uint64(100+i), c.payout) })
	}
	return c
}

func (c *clients) loop(seed uint64, send func(*rand.Rand, *directory)) {
	rng := rand.New(rand.NewPCG(seed, 1))
	d := &directory{http: c.http, bed: c.bed, rng: rng}
	for !c.stopped.Load() {
		send(rng, d)
		time.Sleep(requestPause)
	}
}

// stop stops the clients and returns their counts.
func (c *clients) stop() *result {
	c.stopped.Store(true)
	c.done.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.result
	return &r
}

func (c *clients) recordViolation(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.result.violations = append(c.result.violations, fmt.Sprintf(format, args...))
}

// directory caches the addresses of entries that the system returned.
type directory struct {
	http      *http.Client
	bed       *testbed.Bed
	rng       *rand.Rand
	addresses []string
	expires   time.Time
}

// choose returns a random cached address, or that of any entry if none is cached.
// It refreshes the cache after its expiry.
func (d *directory) choose() string {
	if time.Now().After(d.expires) {
		d.refresh()
	}
	if len(d.addresses) == 0 {
		return d.bed.Entries[d.rng.IntN(len(d.bed.Entries))].Address
	}
	return d.addresses[d.rng.IntN(len(d.addresses))]
}

func (d *directory) refresh() {
	for range d.bed.Entries {
		entry := d.bed.Entries[d.rng.IntN(len(d.bed.Entries))].Address
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		addresses, lifetime, err := d.fetchEntries(ctx, entry)
		cancel()
		if err == nil && len(addresses) > 0 {
			d.addresses, d.expires = addresses, time.Now().Add(lifetime)
			return
		}
	}
}

func (d *directory) fetchEntries(ctx context.Context, entry string) ([]string, time.Duration, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+entry+"/v1/entries", nil)
	if err != nil {
		return nil, 0, err
	}
	resp, err := d.http.Do(req)
	if err != nil {
		return nil, 0, err
	}
	defer resp.Body.Close()
	var list struct {
		Entries     []struct{ Address string }
		KeepSeconds float64 `json:"keep_seconds"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&list); err != nil {
		return nil, 0, err
	}
	var out []string
	for _, e := range list.Entries {
		out = append(out, e.Address)
	}
	return out, time.Duration(list.KeepSeconds * float64(time.Second)), nil
}

// remove drops an entry that refuses connections from the cache. An empty cache
// expires at once.
func (d *directory) remove(entry string) {
	d.addresses = slices.DeleteFunc(d.addresses, func(e string) bool { return e == entry })
	if len(d.addresses) == 0 {
		d.expires = time.Time{}
	}
}

// response is one response as received. err is set if it is missing or aborted.
type response struct {
	status int
	body   string
	ran    string
	err    error
}

// sendAny sends a request to a cached entry. If no connection to it can be
// opened, it tries another one, which is safe because nothing was sent.
func (c *clients) sendAny(d *directory, path, key, body string) response {
	var r response
	for range dialAttempts {
		entry := d.choose()
		r = c.send(entry, path, key, body)
		var op *net.OpError
		if !errors.As(r.err, &op) || op.Op != "dial" {
			return r
		}
		d.remove(entry)
	}
	return r
}

func (c *clients) send(entry, path, key, body string) response {
	req, err := http.NewRequest(http.MethodPost, "http://"+entry+path, strings.NewReader(body))
	if err != nil {
		return response{err: err}
	}
	req.Header.Set("Content-Type", "application/json")
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return response{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return response{status: resp.StatusCode, body: string(data), ran: resp.Header.Get("Parsleyramp-Ran"), err: err}
}

func (c *clients) count(r response, complete bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.result.requests++
	switch {
	case complete:
		c.result.complete++
	case r.err == nil && r.ran == "no":
		c.result.rejected++
	default:
		c.result.failed++
	}
}

// stream sends a streaming request and checks that a response without an error
// is complete and belongs to the request.
func (c *clients) stream(rng *rand.Rand, d *directory) {
	prompt := fmt.Sprintf("note %d", rng.Uint64())
	models := []string{"/purity-note", "/purity-note:kandy", "/valuation"}
	body, _ := json.Marshal(map[string]any{"model": team + models[rng.IntN(len(models))], "prompt": prompt, "stream": true, "max_tokens": streamTokens})
	r := c.sendAny(d, "/v1/completions", "", string(body))
	finished := r.err == nil && r.status == http.StatusOK
	complete := finished && streamText(r.body) == expectedText(prompt)
	if finished && !complete {
		c.recordViolation("a response without an error is incomplete or belongs to another request")
	}
	c.count(r, complete)
}

// expectedText returns the complete text that a stand-in engine generates for a
// prompt.
func expectedText(prompt string) string {
	var text strings.Builder
	for i := range streamTokens {
		text.WriteString(standin.CompletionToken(prompt, i))
	}
	return text.String()
}

// streamText returns the text of a stream, or an empty string if its last event
// is missing.
func streamText(body string) string {
	if !strings.HasSuffix(strings.TrimSpace(body), "data: [DONE]") {
		return ""
	}
	var text strings.Builder
	for _, line := range strings.Split(body, "\n") {
		data, ok := strings.CutPrefix(line, "data: ")
		var event standin.Completion
		if ok && json.Unmarshal([]byte(data), &event) == nil && len(event.Choices) > 0 {
			text.WriteString(event.Choices[0].Text)
		}
	}
	return text.String()
}

// payout sends a non-idempotent request and resends it with the same key through
// any entry, until it succeeds, the attempts are used up or the clients stop.
func (c *clients) payout(_ *rand.Rand, d *directory) {
	key, err := uuid.NewV7()
	if err != nil {
		return
	}
	body := fmt.Sprintf(`{"payout":%q}`, key)
	p := &payout{}
	c.mu.Lock()
	c.payouts[body] = p
	c.mu.Unlock()
	for range payoutAttempts {
		r := c.sendAny(d, payoutPath, key.String(), body)
		p.succeeded = r.err == nil && r.status == http.StatusOK
		if !p.succeeded && (r.err != nil || r.ran != "no") {
			p.mayHaveRun = true
		}
		c.count(r, p.succeeded)
		if p.succeeded || c.stopped.Load() {
			return
		}
		time.Sleep(payoutRetryDelay)
	}
}
