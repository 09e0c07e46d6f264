package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"parsleyramp/internal/fail"
	"parsleyramp/internal/standin"
)

// Codes of failures that callers see beside those of package fail.
const (
	// codeConnection is a connection that failed or broke before an answer.
	codeConnection fail.Code = "connection"
	// codeTruncated is a stream that ended before its last event.
	codeTruncated fail.Code = "truncated"
	// codeForeign is an answer that is not the caller's own or not whole,
	// though it was passed as whole.
	codeForeign fail.Code = "foreign"
)

const (
	dialTimeout   = time.Second
	headerClass   = "Parsleyramp-Class"
	completions   = "/v1/completions"
	minRetryDelay = 50 * time.Millisecond
)

// newClient returns the HTTP client that all callers share.
func newClient() *http.Client {
	d := net.Dialer{Timeout: dialTimeout}
	return &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 1024, DisableCompression: true,
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return d.DialContext(ctx, "tcp4", address)
		},
	}}
}

// directory keeps the answer to which entries to use, as one caller does.
type directory struct {
	client *http.Client
	first  []string

	mu      sync.Mutex
	entries []string
	until   time.Time
	rng     *rand.Rand
}

func newDirectory(client *http.Client, first []string, seed uint64) *directory {
	return &directory{client: client, first: first, rng: rand.New(rand.NewPCG(seed, 3))}
}

// choose returns an entry other than avoid, where there is one. It asks again
// once the kept answer is too old.
func (d *directory) choose(ctx context.Context, avoid string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if time.Now().After(d.until) {
		d.refresh(ctx)
	}
	known := d.entries
	if len(known) == 0 {
		known = d.first
	}
	i := d.rng.IntN(len(known))
	if known[i] == avoid {
		i = (i + 1) % len(known)
	}
	return known[i]
}

// fix keeps the first addresses for the time, without asking for others.
func (d *directory) fix(keep time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.entries, d.until = d.first, time.Now().Add(keep)
}

// forget asks for the entries again before the next request.
func (d *directory) forget() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.until = time.Time{}
}

func (d *directory) refresh(ctx context.Context) {
	ask := append(append([]string{}, d.entries...), d.first...)
	start := d.rng.IntN(len(ask))
	for i := range ask {
		if d.ask(ctx, ask[(start+i)%len(ask)]) {
			return
		}
	}
}

func (d *directory) ask(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/entries", nil)
	if err != nil {
		return false
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	var answer struct {
		Entries []struct{ Address string }
		Keep    float64 `json:"keep_seconds"`
	}
	if resp.StatusCode != http.StatusOK || json.NewDecoder(resp.Body).Decode(&answer) != nil || len(answer.Entries) == 0 {
		return false
	}
	d.entries = nil
	for _, e := range answer.Entries {
		d.entries = append(d.entries, e.Address)
	}
	d.until = time.Now().Add(time.Duration(answer.Keep * float64(time.Second)))
	return true
}

// answer is what came of one attempt.
type answer struct {
	status int
	// first is when the first token came and gaps are the times between tokens.
	first time.Time
	gaps  []time.Duration
	end   time.Time
	whole bool
	code  fail.Code
	ran   fail.Ran
	// retryAfter is how long the system asked to wait; retryable is false
	// where asking again does not help.
	retryAfter time.Duration
	retryable  bool
	location   string
}

// ask sends the arrival to an entry and reads the answer to its end.
func ask(ctx context.Context, client *http.Client, entry string, a Arrival) answer {
	overnight := a.Class.FinishBy != ""
	body, _ := json.Marshal(map[string]any{"model": a.Model, "prompt": a.Prompt, "stream": !overnight, "max_tokens": a.MaxTokens})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+completions, bytes.NewReader(body))
	if err != nil {
		return answer{code: codeConnection, ran: fail.RanNo}
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(headerClass, a.Class.Name)
	resp, err := client.Do(req)
	if err != nil {
		return answer{code: codeConnection, ran: fail.RanUnknown, retryable: ctx.Err() == nil}
	}
	defer resp.Body.Close()
	out := answer{status: resp.StatusCode, location: resp.Header.Get("Location")}
	switch {
	case resp.StatusCode == http.StatusOK:
		readStream(resp.Body, a, &out)
	case resp.StatusCode == http.StatusAccepted && overnight:
		out.whole, out.end = true, time.Now()
	default:
		readRefusal(resp, &out)
	}
	return out
}

func readRefusal(resp *http.Response, out *answer) {
	var refusal struct {
		Error struct {
			Code         fail.Code `json:"code"`
			Ran          fail.Ran  `json:"ran"`
			RetryAfterMS int64     `json:"retry_after_ms"`
		} `json:"error"`
	}
	out.code, out.ran = fail.Code("status_"+strconv.Itoa(resp.StatusCode)), fail.RanUnknown
	if json.NewDecoder(resp.Body).Decode(&refusal) == nil && refusal.Error.Code != "" {
		out.code, out.ran = refusal.Error.Code, refusal.Error.Ran
		out.retryAfter = time.Duration(refusal.Error.RetryAfterMS) * time.Millisecond
	}
	if seconds, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil && out.retryAfter == 0 {
		out.retryAfter = time.Duration(seconds) * time.Second
	}
	out.retryable = out.retryAfter > 0
}

// readStream checks every token of the answer against the caller's own.
func readStream(body io.Reader, a Arrival, out *answer) {
	own, done, tokens := true, false, 0
	var last time.Time
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			done = true
			continue
		}
		now := time.Now()
		if out.first.IsZero() {
			out.first = now
		} else {
			out.gaps = append(out.gaps, now.Sub(last))
		}
		last = now
		var c standin.Completion
		err := json.Unmarshal([]byte(data), &c)
		own = own && err == nil && len(c.Choices) == 1 && c.Choices[0].Text == standin.CompletionToken(a.Prompt, tokens)
		tokens++
	}
	out.end = time.Now()
	switch {
	case !own:
		out.code, out.ran = codeForeign, fail.RanYes
	case !done || lines.Err() != nil:
		out.code, out.ran, out.retryable = codeTruncated, fail.RanUnknown, true
	case tokens != a.MaxTokens:
		out.code, out.ran = codeForeign, fail.RanYes
	default:
		out.whole = true
	}
}
